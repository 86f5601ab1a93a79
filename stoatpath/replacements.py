"""Decides whether an instance with failing tasks leaves its callers to others."""

import logging

from stoatpath.membership.messages import LIVE
from stoatpath.outcomes import is_failure

logger = logging.getLogger(__name__)

READY_TOPIC = "ready"
CHECK_PERIOD_MS = 5_000.0
MIN_JITTER = 0.5
# Asking a few is enough: an error that all instances have shows in most answers.
MAX_ASKED = 3


class Replacements:
    """The task that asks other instances whether they are ready.

    `is_yielding` is true while a task of this process keeps failing and most of the
    instances asked say that they are ready. An error that comes from a row or a
    configuration fails everywhere; then all stay ready. `node` has the supervisor, the
    members and the peer client and server; `is_ready` returns whether this instance is
    ready. Instances of earlier builds don't know the topic and count as not ready.
    """

    __slots__ = ("is_yielding", "_node", "_is_ready", "_clock", "_random")

    def __init__(self, node, is_ready, random):
        self.is_yielding = False
        self._node = node
        self._is_ready = is_ready
        self._clock = node.clock
        self._random = random
        node.peer_server.register(READY_TOPIC, self._handle_question)

    async def run(self):
        """Check until cancelled."""
        while True:
            pause_ms = CHECK_PERIOD_MS * self._random.uniform(MIN_JITTER, 1.0)
            await self._clock.sleep_until(self._clock.now_ms() + pause_ms)
            await self.check()

    async def check(self):
        """Ask others if a task keeps failing; update `is_yielding`."""
        failing = self._node.supervisor.lasting_failures()
        is_yielding = bool(failing) and await self._are_others_ready()
        if is_yielding != self.is_yielding:
            self.is_yielding = is_yielding
            extra = {"is_yielding": is_yielding, "tasks": failing}
            logger.warning("ready.yielding", extra=extra)

    async def _are_others_ready(self):
        members = self._node.members
        peers = [
            each for each in members.peers(members.local.role) if each.state == LIVE
        ]
        asked = self._random.sample(peers, min(MAX_ASKED, len(peers)))
        ready = 0
        for peer in asked:
            answer = await self._node.peer_client.ask(peer.address, READY_TOPIC, {})
            if not is_failure(answer) and isinstance(answer, dict):
                ready += answer.get("is_ready") is True
        return 2 * ready > len(asked)

    async def _handle_question(self, message):
        # An instance whose own tasks keep failing is no replacement: two that ask each
        # other at the same time would both yield.
        is_sound = not self._node.supervisor.lasting_failures()
        return {"is_ready": is_sound and bool(self._is_ready())}

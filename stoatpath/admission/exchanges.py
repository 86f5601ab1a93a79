"""The task that asks peers for the unused part of their rate limits."""

import asyncio
import logging

from stoatpath.membership.messages import LEAVING
from stoatpath.outcomes import is_failure

logger = logging.getLogger(__name__)

RATE_TOPIC = "rates"
ROUTER = "router"
EXCHANGE_PERIOD_MS = 100
MAX_PEERS_ASKED = 4


class RateExchange:
    """Keeps the divisor of the limits, borrows for this instance, lends to peers.

    Wire form of a question: `wanted`, a list of organisation, whole limit and
    requests a second wanted. Of an answer: `lent`, requests a second by
    organisation.
    """

    __slots__ = ("_limits", "_members", "_client", "_clock", "_random")

    def __init__(self, limits, node, random):
        self._limits = limits
        self._members = node.members
        self._client = node.peer_client
        self._clock = node.clock
        self._random = random
        node.peer_server.register(RATE_TOPIC, self._lend)

    async def run(self):
        """Exchange until cancelled."""
        while True:
            started_ms = self._clock.now_ms()
            self.count_instances()
            await self.request_loans()
            await self._clock.sleep_until(started_ms + EXCHANGE_PERIOD_MS)

    def count_instances(self):
        """Take the membership as it stands, the own instance included."""
        own = self._members.local
        leaving = [
            member.name
            for member in (own, *self._members.peers(ROUTER))
            if member.state == LEAVING
        ]
        live = self._members.live_names(ROUTER)
        self._limits.instances.update(live, leaving, self._clock.now_ms())

    async def request_loans(self):
        """Ask a few peers for what is missing here."""
        missing_by_name = self._limits.pop_shortfalls(self._clock.now_ms())
        if not missing_by_name:
            return
        peers = self._members.peers(ROUTER)
        chosen = self._random.sample(peers, min(MAX_PEERS_ASKED, len(peers)))
        if not chosen:
            return
        wanted = [
            [name, self._limits.limit_per_s(name), missing / len(chosen)]
            for name, missing in missing_by_name.items()
        ]
        await asyncio.gather(*(self._ask(peer, wanted) for peer in chosen))

    async def _ask(self, peer, wanted):
        asked_ms = self._clock.now_ms()
        answer = await self._client.ask(peer.address, RATE_TOPIC, {"wanted": wanted})
        if is_failure(answer):
            logger.info("rates.ask-failed", extra={"peer": peer.name})
            return
        for name, per_s in answer["lent"].items():
            self._limits.add_borrowed(name, per_s, asked_ms, self._clock.now_ms())

    async def _lend(self, message):
        now_ms = self._clock.now_ms()
        lent_by_name = {}
        for name, limit_per_s, wanted_per_s in message["wanted"]:
            per_s = self._limits.lend(name, limit_per_s, wanted_per_s, now_ms)
            if per_s > 0.0:
                lent_by_name[name] = per_s
        return {"lent": lent_by_name}

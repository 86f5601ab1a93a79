"""Reports rating counts from routers to the controller that owns a roll-out.

On a small site routers report to the owner itself. On a large one each reports to
one of a few collectors, which merge counts and forward them to the owner.
"""

import logging
import math
from functools import lru_cache

from stoatpath.outcomes import is_failure
from stoatpath.rollouts.counters import RatingCounters
from stoatpath.rollouts.messages import Cell
from stoatpath.utils import rendezvous_rank

logger = logging.getLogger(__name__)

RATINGS_TOPIC = "rating-counts"
REPORT_PERIOD_MS = 100
# With more routers than this, counts go through collectors.
MAX_DIRECT_REPORTERS = 32
RANK_CACHE_SIZE = 256


def owner_of(rollout_name, controllers):
    """Return the controller that owns a roll-out, or None if none is live."""
    ranked = _cached_rank(rollout_name, tuple(controllers))
    return ranked[0] if ranked else None


def collector_of(rollout_name, reporter, controllers, reporters):
    """Return the controller that a router reports to, or None if none is live.

    With few routers that is the owner itself. With `n` there are up to `isqrt(n)`
    collectors, so that collectors and owner each receive the reports of about
    `isqrt(n)` processes.
    """
    ranked = _cached_rank(rollout_name, tuple(controllers))
    if len(ranked) < 2 or reporters <= MAX_DIRECT_REPORTERS:
        return ranked[0] if ranked else None
    collectors = ranked[1 : 1 + math.isqrt(reporters)]
    return rendezvous_rank(reporter, collectors)[0]


@lru_cache(maxsize=RANK_CACHE_SIZE)
def _cached_rank(key, names):
    """Return the rendezvous ranking, cached: it only changes with the members."""
    return rendezvous_rank(key, names)


class CountReporter:
    """Sends changed counts, and all counts after a change of receiver.

    `select_receiver` returns the name of the member to report a roll-out to.
    """

    __slots__ = (
        "_counters",
        "_members",
        "_client",
        "_clock",
        "_select_receiver",
        "_receiver_by_rollout",
    )

    def __init__(self, counters, members, client, clock, select_receiver):
        self._counters = counters
        self._members = members
        self._client = client
        self._clock = clock
        self._select_receiver = select_receiver
        self._receiver_by_rollout = {}

    async def run(self):
        """Report until cancelled."""
        while True:
            await self.report()
            await self._clock.sleep_until(self._clock.now_ms() + REPORT_PERIOD_MS)

    async def report(self):
        """Send the counts that changed since the last report."""
        if self._update_receivers():
            self._counters.mark_all_changed()
        cells_by_receiver = {}
        for cell in self._counters.drain_changed():
            receiver = self._receiver_by_rollout.get(cell.arm.rollout)
            if receiver is not None and receiver != self._members.local.name:
                cells_by_receiver.setdefault(receiver, []).append(cell)
        for receiver, cells in cells_by_receiver.items():
            await self._send(receiver, cells)

    def _update_receivers(self):
        """Select the receivers again; return whether any has changed."""
        rollouts = {key[0] for key in self._counters.totals_by_arm}
        receivers = {name: self._select_receiver(name) for name in rollouts}
        has_changed = any(
            self._receiver_by_rollout.get(name) != receiver
            for name, receiver in receivers.items()
        )
        self._receiver_by_rollout = receivers
        return has_changed

    async def _send(self, receiver, cells):
        member = self._members.by_name.get(receiver)
        message = {"cells": [cell.to_json() for cell in cells]}
        answer = None
        if member is not None:
            answer = await self._client.ask(member.address, RATINGS_TOPIC, message)
        if answer is None or is_failure(answer):
            logger.info("rollouts.report-failed", extra={"peer": receiver})
            self._counters.mark_changed(cells)


class CountReceiver:
    """Merges the counts that other members report."""

    __slots__ = ("counters",)

    def __init__(self, server):
        self.counters = RatingCounters()
        server.register(RATINGS_TOPIC, self._receive)

    async def _receive(self, message):
        for data in message["cells"]:
            self.counters.merge(Cell.from_json(data))
        return {}

"""Brings rating counts from routers to the controller that judges.

In a small site routers report to the judge itself; in a large one to one of a
few collectors, which merge and pass on.
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
DIRECT_REPORTERS = 32
RANKS_KEPT = 256


def judge_of(rollout_name, controllers):
    """Return the controller that judges a roll-out, or None."""
    ranked = _rank(rollout_name, tuple(controllers))
    return ranked[0] if ranked else None


def collector_of(rollout_name, reporter, controllers, reporters):
    """Return whom a router reports to."""
    ranked = _rank(rollout_name, tuple(controllers))
    if len(ranked) < 2 or reporters <= DIRECT_REPORTERS:
        return ranked[0] if ranked else None
    collectors = ranked[1 : 1 + math.isqrt(reporters)]
    return rendezvous_rank(reporter, collectors)[0]


@lru_cache(maxsize=RANKS_KEPT)
def _rank(key, names):
    """Return a ranking that is asked for many times while members stay the same."""
    return rendezvous_rank(key, names)


class CountReporter:
    """Sends counts that changed, and sends all of them to a new receiver.

    `find_receiver` returns the name of the member to report a roll-out to.
    """

    __slots__ = ("_counters", "_members", "_client", "_clock", "_find_receiver", "_to")

    def __init__(self, counters, members, client, clock, find_receiver):
        self._counters = counters
        self._members = members
        self._client = client
        self._clock = clock
        self._find_receiver = find_receiver
        self._to = {}

    async def run(self):
        """Report until cancelled."""
        while True:
            await self.report()
            await self._clock.sleep_until(self._clock.now_ms() + REPORT_PERIOD_MS)

    async def report(self):
        """Send the counts that changed since the last report."""
        if self._note_receivers():
            self._counters.mark_all_changed()
        cells_by_receiver = {}
        for cell in self._counters.take_changed():
            receiver = self._to.get(cell.arm.rollout)
            if receiver is not None and receiver != self._members.local.name:
                cells_by_receiver.setdefault(receiver, []).append(cell)
        for receiver, cells in cells_by_receiver.items():
            await self._send(receiver, cells)

    def _note_receivers(self):
        """Return whether a roll-out has a new receiver."""
        rollouts = {key[0] for key in self._counters.totals_by_arm}
        receivers = {name: self._find_receiver(name) for name in rollouts}
        has_changed = any(self._to.get(name) != to for name, to in receivers.items())
        self._to = receivers
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

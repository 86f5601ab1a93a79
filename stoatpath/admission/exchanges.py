"""Borrows from and lends to peers the unused parts of rate limits."""

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
    """Updates the instance count of the limits, requests loans and lends to peers.

    Wire form of a loan request: `wanted`, a list of triples of organisation, limit over
    all instances and wanted requests per second. Of a response: `lent`, requests per
    second by organisation.
    """

    __slots__ = ("_limits", "_members", "_client", "_clock", "_random")

    def __init__(self, limits, node, random):
        self._limits = limits
        self._members = node.members
        self._client = node.peer_client
        self._clock = node.clock
        self._random = random
        node.peer_server.register(RATE_TOPIC, self._handle_loan_request)

    async def run(self):
        """Update the instance count and request loans periodically until cancelled."""
        while True:
            started_ms = self._clock.now_ms()
            self.count_instances()
            await self.request_loans()
            await self._clock.sleep_until(started_ms + EXCHANGE_PERIOD_MS)

    def count_instances(self):
        """Update the instance count from the members, the local instance included."""
        local = self._members.local
        leaving = [
            member.name
            for member in (local, *self._members.peers(ROUTER))
            if member.state == LEAVING
        ]
        live = self._members.live_names(ROUTER)
        self._limits.instance_count.update(live, leaving, self._clock.now_ms())

    async def request_loans(self):
        """Request the missing rates in equal parts from a few random peers."""
        shortfalls_by_name = self._limits.pop_shortfalls(self._clock.now_ms())
        if not shortfalls_by_name:
            return
        peers = self._members.peers(ROUTER)
        chosen = self._random.sample(peers, min(MAX_PEERS_ASKED, len(peers)))
        if not chosen:
            return
        wanted = [
            [name, self._limits.limit_per_s(name), shortfall_per_s / len(chosen)]
            for name, shortfall_per_s in shortfalls_by_name.items()
        ]
        await asyncio.gather(
            *(self._request_loans_from(peer, wanted) for peer in chosen)
        )

    async def _request_loans_from(self, peer, wanted):
        requested_ms = self._clock.now_ms()
        response = await self._client.ask(peer.address, RATE_TOPIC, {"wanted": wanted})
        if is_failure(response):
            logger.info("rates.ask-failed", extra={"peer": peer.name})
            return
        for name, per_s in response["lent"].items():
            self._limits.add_borrowed(name, per_s, requested_ms, self._clock.now_ms())

    async def _handle_loan_request(self, message):
        now_ms = self._clock.now_ms()
        lent_per_s_by_name = {}
        for name, limit_per_s, wanted_per_s in message["wanted"]:
            per_s = self._limits.lend(name, limit_per_s, wanted_per_s, now_ms)
            if per_s > 0.0:
                lent_per_s_by_name[name] = per_s
        return {"lent": lent_per_s_by_name}

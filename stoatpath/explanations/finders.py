"""Finds the explanation of a request at the instance that routed it."""

import asyncio

from stoatpath.explanations.messages import Explanation
from stoatpath.outcomes import NOT_FOUND, Failure, is_failure

EXPLAIN_TOPIC = "explain"
ROUTER = "router"
MAX_CONCURRENT_LOOKUPS = 32


class ExplanationFinder:
    """Looks up explanations in the local ring and at peers, and serves peers.

    `ring` is None on members that route no requests. Wire form of a request:
    `request_id`; of its response: `explanation`, or null.
    """

    __slots__ = ("_ring", "_members", "_client")

    def __init__(self, node, ring=None):
        self._ring = ring
        self._members = node.members
        self._client = node.peer_client
        node.peer_server.register(EXPLAIN_TOPIC, self._handle_explain)

    async def find_explanations(self, request_id):
        """Return the explanations of all instances that have one, or a failure."""
        local = self._local_explanation(request_id)
        peers = self._members.peers(ROUTER)
        slots = asyncio.Semaphore(MAX_CONCURRENT_LOOKUPS)
        answers = await asyncio.gather(
            *(self._request_explanation(peer, request_id, slots) for peer in peers)
        )
        found = [each for each in (local, *answers) if isinstance(each, Explanation)]
        if found:
            return found
        unresponsive = [
            peer.name for peer, answer in zip(peers, answers) if is_failure(answer)
        ]
        detail = "no instance remembers the request"
        if unresponsive:
            detail += f"; no answer from {', '.join(unresponsive)}"
        return Failure(NOT_FOUND, detail, field="request_id")

    def _local_explanation(self, request_id):
        decisions = (
            self._ring.get_decisions(request_id) if self._ring is not None else None
        )
        if decisions is None:
            return None
        return Explanation(request_id, self._members.local.name, decisions)

    async def _request_explanation(self, peer, request_id, slots):
        async with slots:
            message = {"request_id": request_id}
            answer = await self._client.ask(peer.address, EXPLAIN_TOPIC, message)
        if is_failure(answer):
            return answer
        found = answer["explanation"]
        return None if found is None else Explanation.from_json(found)

    async def _handle_explain(self, message):
        local = self._local_explanation(message["request_id"])
        return {"explanation": None if local is None else local.to_json()}

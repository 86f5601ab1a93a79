"""Finds the instance that decided about a request, and asks it why."""

import asyncio

from stoatpath.explanations.messages import Explanation
from stoatpath.outcomes import NOT_FOUND, Failure, is_failure

EXPLAIN_TOPIC = "explain"
ROUTER = "router"
MAX_ASKED_AT_ONCE = 32


class ExplanationFinder:
    """Answers peers from the own ring, and asks the rings of peers.

    `ring` is None on members that route nothing. Wire form of a question:
    `request_id`; of an answer: `explanation`, or null.
    """

    __slots__ = ("_ring", "_members", "_client")

    def __init__(self, node, ring=None):
        self._ring = ring
        self._members = node.members
        self._client = node.peer_client
        node.peer_server.register(EXPLAIN_TOPIC, self._answer)

    async def find_explanations(self, request_id):
        """Return the explanations of all instances that know, or a failure."""
        own = self._own(request_id)
        peers = self._members.peers(ROUTER)
        slots = asyncio.Semaphore(MAX_ASKED_AT_ONCE)
        answers = await asyncio.gather(
            *(self._ask(peer, request_id, slots) for peer in peers)
        )
        found = [each for each in (own, *answers) if isinstance(each, Explanation)]
        if found:
            return found
        silent = [
            peer.name for peer, answer in zip(peers, answers) if is_failure(answer)
        ]
        detail = "no instance remembers the request"
        if silent:
            detail += f"; no answer from {', '.join(silent)}"
        return Failure(NOT_FOUND, detail, field="request_id")

    def _own(self, request_id):
        decisions = (
            self._ring.get_decisions(request_id) if self._ring is not None else None
        )
        if decisions is None:
            return None
        return Explanation(request_id, self._members.local.name, decisions)

    async def _ask(self, peer, request_id, slots):
        async with slots:
            message = {"request_id": request_id}
            answer = await self._client.ask(peer.address, EXPLAIN_TOPIC, message)
        if is_failure(answer):
            return answer
        found = answer["explanation"]
        return None if found is None else Explanation.from_json(found)

    async def _answer(self, message):
        own = self._own(message["request_id"])
        return {"explanation": None if own is None else own.to_json()}

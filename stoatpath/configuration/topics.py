"""Distributes the configuration in force among members.

Gossip carries only the revision and its age. A member that receives a higher revision
fetches it from the sender: the history rows in between or, if the sender does not have
them all, the whole snapshot.
"""

import asyncio
import logging

from stoatpath.configuration.followers import UNREADABLE
from stoatpath.configuration.messages import AcceptedChange
from stoatpath.configuration.snapshots import Snapshot
from stoatpath.outcomes import is_failure

logger = logging.getLogger(__name__)

FETCH_TOPIC = "configuration"
FETCH_TIMEOUT_MS = 3_000
MAX_AGE_MS = 1_000_000_000


class ConfigurationTopic:
    """Gossips the revision in force and its age, and fetches higher ones.

    Only answers to requests of this process count as confirmations, dated at the time
    of the request. A message that was delayed, in a queue or in a paused process, can't
    make an old revision look confirmed.
    """

    __slots__ = ("_follower", "_clock", "_client", "_get_address", "_fetch_queue")

    name = "configuration"
    is_vital = True

    def __init__(self, follower, clock, client, server, get_address):
        self._follower = follower
        self._clock = clock
        self._client = client
        self._get_address = get_address
        self._fetch_queue = asyncio.Queue(maxsize=8)
        server.register(FETCH_TOPIC, self._handle_fetch)

    def collect(self):
        """Return the revision in force and the time since its confirmation."""
        age_ms = self._clock.now_ms() - self._follower.fresh_as_of_ms
        revision = self._follower.snapshot.revision
        return {"revision": revision, "age_ms": round(min(age_ms, MAX_AGE_MS))}

    def merge(self, sender, data):
        """Queue a fetch if the sender has a higher revision; return whether it has."""
        if data["revision"] <= self._follower.snapshot.revision:
            return False
        if not self._fetch_queue.full():
            self._fetch_queue.put_nowait(sender)
        return True

    def merge_answer(self, sender, data, sent_ms):
        """Handle the answer to a message that was sent at a clock reading.

        An equal revision confirms the one in force; a higher one is fetched.
        """
        if data["revision"] == self._follower.snapshot.revision:
            as_of_ms = sent_ms - max(0, data["age_ms"])
            self._follower.apply_snapshot(self._follower.snapshot, as_of_ms)
            return False
        return self.merge(sender, data)

    async def run(self):
        """Fetch higher revisions from members until cancelled."""
        while True:
            await self.fetch(await self._fetch_queue.get())

    async def fetch(self, sender):
        """Fetch from a member what is above the revision in force, and apply it."""
        address = self._get_address(sender)
        if not address:
            return
        sent_ms = self._clock.now_ms()
        request = {"after": self._follower.snapshot.revision}
        answer = await self._client.ask(address, FETCH_TOPIC, request, FETCH_TIMEOUT_MS)
        if is_failure(answer):
            logger.info("configuration.fetch-failed", extra={"peer": sender})
            return
        try:
            self._apply_answer(answer, sent_ms)
        except UNREADABLE as error:
            logger.warning(
                "configuration.fetch-unreadable",
                extra={"peer": sender, "why": repr(error)},
            )

    def _apply_answer(self, answer, sent_ms):
        as_of_ms = sent_ms - max(0, answer["age_ms"])
        if "snapshot" in answer:
            self._follower.apply_snapshot(
                Snapshot.from_json(answer["snapshot"]), as_of_ms
            )
            return
        changes = [AcceptedChange.from_json(each) for each in answer["changes"]]
        current = self._follower.snapshot
        expected = range(current.revision + 1, current.revision + 1 + len(changes))
        if [change.revision for change in changes] == list(expected):
            self._follower.apply_history(current, changes, as_of_ms)

    async def _handle_fetch(self, message):
        changes = self._follower.changes_after(int(message["after"]))
        answer = self.collect()
        if changes is None:
            answer["snapshot"] = self._follower.snapshot.to_json()
        else:
            answer["changes"] = [change.to_json() for change in changes]
        return answer

"""Spreads the configuration in force from member to member.

Gossip carries revision and age only. Who hears of a higher revision asks the
member that has it: for the history rows in between or, if that member no
longer has them all, for the whole snapshot.
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

    Freshness is taken only from answers to own questions, dated at the asking:
    a message that waited, in a queue or in a process that was suspended, can't
    make an old statement look new.
    """

    __slots__ = ("_follower", "_clock", "_client", "_find_address", "_wanted")

    name = "configuration"
    is_vital = True

    def __init__(self, follower, clock, client, server, find_address):
        self._follower = follower
        self._clock = clock
        self._client = client
        self._find_address = find_address
        self._wanted = asyncio.Queue(maxsize=8)
        server.register(FETCH_TOPIC, self._answer)

    def collect(self):
        """Return the revision in force and how long ago it was confirmed."""
        age_ms = self._clock.now_ms() - self._follower.fresh_as_of_ms
        revision = self._follower.snapshot.revision
        return {"revision": revision, "age_ms": round(min(age_ms, MAX_AGE_MS))}

    def merge(self, sender, data):
        """Note a higher revision that another member has; return whether it is."""
        if data["revision"] <= self._follower.snapshot.revision:
            return False
        if not self._wanted.full():
            self._wanted.put_nowait(sender)
        return True

    def merge_answer(self, sender, data, asked_at_ms):
        """Take an answer to a question that was asked at a clock reading."""
        if data["revision"] == self._follower.snapshot.revision:
            as_of_ms = asked_at_ms - max(0, data["age_ms"])
            self._follower.apply_snapshot(self._follower.snapshot, as_of_ms)
            return False
        return self.merge(sender, data)

    async def run(self):
        """Fetch what members have until cancelled."""
        while True:
            await self.fetch(await self._wanted.get())

    async def fetch(self, sender):
        """Ask a member for what it has above the revision in force."""
        address = self._find_address(sender)
        if not address:
            return
        asked_at_ms = self._clock.now_ms()
        question = {"after": self._follower.snapshot.revision}
        answer = await self._client.ask(
            address, FETCH_TOPIC, question, FETCH_TIMEOUT_MS
        )
        if is_failure(answer):
            logger.info("configuration.fetch-failed", extra={"peer": sender})
            return
        try:
            self._take(answer, asked_at_ms)
        except UNREADABLE as error:
            logger.warning(
                "configuration.fetch-unreadable",
                extra={"peer": sender, "why": repr(error)},
            )

    def _take(self, answer, asked_at_ms):
        as_of_ms = asked_at_ms - max(0, answer["age_ms"])
        if "snapshot" in answer:
            self._follower.apply_snapshot(
                Snapshot.from_json(answer["snapshot"]), as_of_ms
            )
            return
        changes = [AcceptedChange.from_json(each) for each in answer["changes"]]
        known = self._follower.snapshot
        expected = range(known.revision + 1, known.revision + 1 + len(changes))
        if [change.revision for change in changes] == list(expected):
            self._follower.apply_history(known, changes, as_of_ms)

    async def _answer(self, message):
        changes = self._follower.changes_after(int(message["after"]))
        answer = self.collect()
        if changes is None:
            answer["snapshot"] = self._follower.snapshot.to_json()
        else:
            answer["changes"] = [change.to_json() for change in changes]
        return answer

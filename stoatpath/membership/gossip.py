"""Exchanges news with a few random members in each round.

Slices add topics; a topic has a `name`, `collect()` that returns JSON or None,
and `merge(sender, data)` that takes the JSON of another member.
"""

import logging

from stoatpath.membership.messages import Member
from stoatpath.outcomes import is_failure

logger = logging.getLogger(__name__)

GOSSIP_PERIOD_MS = 250
FANOUT = 2
GOSSIP_TOPIC = "gossip"


class Gossip:
    """The task that pushes and pulls news."""

    __slots__ = ("_members", "_client", "_clock", "_random", "_topics_by_name")

    def __init__(self, members, client, server, clock, random):
        self._members = members
        self._client = client
        self._clock = clock
        self._random = random
        self._topics_by_name = {}
        server.register(GOSSIP_TOPIC, self._answer)

    def add_topic(self, topic):
        """Carry the news of a slice."""
        self._topics_by_name[topic.name] = topic

    async def run(self):
        """Gossip until cancelled."""
        while True:
            started_ms = self._clock.now_ms()
            await self.round()
            await self._clock.sleep_until(started_ms + GOSSIP_PERIOD_MS)

    async def round(self):
        """Exchange news with a few random peers."""
        self._members.beat()
        self._members.judge(self._clock.now_ms())
        peers = self._members.peers()
        for peer in self._random.sample(peers, min(FANOUT, len(peers))):
            answer = await self._client.ask(peer.address, GOSSIP_TOPIC, self._news())
            if not is_failure(answer):
                self._take(answer)

    def seed(self, entries):
        """Start from the platform's list of instances."""
        members = [
            Member(entry.name, entry.role, entry.address, entry.zone, 0, 0, "live")
            for entry in entries
            if entry.role in ("router", "controller") and entry.state == "live"
        ]
        self._members.merge(members, self._clock.now_ms())

    async def _answer(self, message):
        self._take(message)
        return self._news()

    def _news(self):
        members = [member.to_json() for member in self._members.peers()]
        topics = {}
        for name, topic in self._topics_by_name.items():
            data = topic.collect()
            if data is not None:
                topics[name] = data
        return {
            "from": self._members.own.to_json(),
            "members": members,
            "topics": topics,
        }

    def _take(self, message):
        sender = Member.from_json(message["from"])
        others = [Member.from_json(each) for each in message["members"]]
        self._members.merge([sender, *others], self._clock.now_ms())
        for name, data in message["topics"].items():
            topic = self._topics_by_name.get(name)
            if topic is not None:
                topic.merge(sender.name, data)

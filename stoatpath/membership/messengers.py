"""Builds and handles gossip messages.

A message always carries member updates and vital topics; other topics are included
while the byte budget has bytes left.

Other packages add topics. A topic has a `name`, `collect()`, which returns the JSON
to send or None, and `merge(sender, data)`, which merges the JSON of another member
and returns whether the change should be pushed to others at once. Two attributes are
optional: `is_vital` marks a small topic that every message carries, and
`merge_answer(sender, data, sent_ms)` is called for answers instead of `merge`, with
the clock reading at which the request was sent.
"""

import logging

from stoatpath.membership.messages import LIVE, Member, members_from
from stoatpath.utils import encode_json

logger = logging.getLogger(__name__)

MAX_UPDATES_BYTES = 1_000
# Limit of the optional topics of one message; a single topic may exceed it alone.
MAX_TOPICS_BYTES = 1_500
MAX_TOPIC_BYTES = 16_000
UNREADABLE = (ArithmeticError, AttributeError, LookupError, TypeError, ValueError)


class Messenger:
    """Builds messages, and merges received ones into the member table and topics."""

    __slots__ = ("_members", "_budget", "_clock", "_topics_by_name", "_next_topic")

    def __init__(self, members, budget, clock):
        self._members = members
        self._budget = budget
        self._clock = clock
        self._topics_by_name = {}
        self._next_topic = 0

    def add_topic(self, topic):
        """Include a topic in the messages."""
        self._topics_by_name[topic.name] = topic

    def build_message(self, recipient="", claimed_incarnation=None):
        """Return a message for a member.

        `claimed_incarnation` is the recipient's own incarnation in the message that
        this one answers, or None. If the local record of the recipient has another
        incarnation or is not live, it is included, so that the recipient can refute it.
        """
        members = self._members.updates.next_batch(
            self._records_by_name(), MAX_UPDATES_BYTES
        )
        record = self._members.by_name.get(recipient)
        if record is not None:
            is_conflicting = claimed_incarnation not in (None, record.incarnation)
            if is_conflicting or record.state != LIVE:
                members.append(record.to_json())
        message = {
            "from": self._members.local.to_json(),
            "digest": self._members.digest(),
            "members": members,
            "topics": self._collect(),
        }
        self._budget.spend(len(encode_json(message)), self._clock.now_ms())
        return message

    def handle_message(self, message, sent_ms=None):
        """Merge a message; return the sender and whether anything changed.

        `sent_ms` is the clock reading of the request that the message answers, or
        None if the message is a request itself. The sender is None if the message is
        malformed.
        """
        sender = Member.from_json(message.get("from"))
        if sender is None:
            return None, False
        members = [sender, *members_from(message.get("members"))]
        has_updates = bool(self._members.merge(members, self._clock.now_ms()))
        topics = message.get("topics")
        for name, data in topics.items() if isinstance(topics, dict) else ():
            topic = self._topics_by_name.get(name)
            if topic is not None and self._merge(topic, sender, data, sent_ms):
                has_updates = True
        return sender, has_updates

    def _records_by_name(self):
        local = self._members.local
        return {**self._members.by_name, local.name: local}

    def _merge(self, topic, sender, data, sent_ms):
        try:
            if sent_ms is not None and hasattr(topic, "merge_answer"):
                return bool(topic.merge_answer(sender.name, data, sent_ms))
            return bool(topic.merge(sender.name, data))
        except UNREADABLE as error:
            logger.warning(
                "membership.topic-unreadable",
                extra={"topic": topic.name, "from": sender.name, "why": repr(error)},
            )
            return False

    def _collect(self):
        """Return the vital topics, then others in rotation within the byte limits."""
        vital = [each for each in self._topics_by_name.values() if _is_vital(each)]
        others = [each for each in self._topics_by_name.values() if not _is_vital(each)]
        collected = {topic.name: topic.collect() for topic in vital}
        if others and self._budget.has_bytes_left(self._clock.now_ms()):
            self._collect_in_turn(others, collected)
        return {name: data for name, data in collected.items() if data is not None}

    def _collect_in_turn(self, topics, collected):
        start = self._next_topic % len(topics)
        size = 0
        for index, topic in enumerate(topics[start:] + topics[:start]):
            data = topic.collect()
            if data is None:
                continue
            topic_bytes = len(encode_json(data))
            if topic_bytes > MAX_TOPIC_BYTES:
                extra = {"topic": topic.name, "bytes": topic_bytes}
                logger.warning("membership.topic-too-large", extra=extra)
                continue
            if size and size + topic_bytes > MAX_TOPICS_BYTES:
                self._next_topic = start + index
                return
            size += topic_bytes
            collected[topic.name] = data
        self._next_topic = start + 1


def _is_vital(topic):
    return getattr(topic, "is_vital", False)

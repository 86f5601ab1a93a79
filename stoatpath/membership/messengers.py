"""Builds and takes the messages that carry news, within their byte budget.

Slices add topics. A topic has a `name`, `collect()` that returns JSON or None,
and `merge(sender, data)` that takes the JSON of another member and returns
whether it was news to pass on at once. Two things are optional: `is_vital` for
a small topic that every message carries, and `merge_answer(sender, data,
asked_at_ms)` for one that must know when the question was asked.
"""

import logging

from stoatpath.membership.messages import LIVE, Member, members_from
from stoatpath.utils import encode_json

logger = logging.getLogger(__name__)

MEMBER_NEWS_BYTES = 1_000
TOPICS_BYTES = 1_500
MAX_TOPIC_BYTES = 16_000
UNREADABLE = (AttributeError, KeyError, TypeError, ValueError)


class Messenger:
    """Builds messages for members and hands what they say to its owners."""

    __slots__ = ("_members", "_budget", "_clock", "_topics_by_name", "_turn")

    def __init__(self, members, budget, clock):
        self._members = members
        self._budget = budget
        self._clock = clock
        self._topics_by_name = {}
        self._turn = 0

    def add_topic(self, topic):
        """Carry the news of a slice."""
        self._topics_by_name[topic.name] = topic

    def build(self, recipient="", said_incarnation=None):
        """Return a message for a member, with what it may have to refute.

        `said_incarnation` is what the recipient just said of itself, if it did.
        """
        members = self._members.news.take(self._known(), MEMBER_NEWS_BYTES)
        known = self._members.by_name.get(recipient)
        if known is not None:
            is_other = said_incarnation not in (None, known.incarnation)
            if is_other or known.state != LIVE:
                members.append(known.to_json())
        message = {
            "from": self._members.local.to_json(),
            "digest": self._members.digest(),
            "members": members,
            "topics": self._collect(),
        }
        self._budget.spend(len(encode_json(message)), self._clock.now_ms())
        return message

    def take(self, message, asked_at_ms=None):
        """Take a message; return the sender and whether there was news.

        `asked_at_ms` is the clock reading of the question that the message
        answers, or None for one that came unasked. The sender is None if the
        message is malformed.
        """
        sender = Member.from_json(message.get("from"))
        if sender is None:
            return None, False
        members = [sender, *members_from(message.get("members"))]
        is_news = bool(self._members.merge(members, self._clock.now_ms()))
        topics = message.get("topics")
        for name, data in topics.items() if isinstance(topics, dict) else ():
            topic = self._topics_by_name.get(name)
            if topic is not None and self._merge(topic, sender, data, asked_at_ms):
                is_news = True
        return sender, is_news

    def _known(self):
        own = self._members.local
        return {**self._members.by_name, own.name: own}

    def _merge(self, topic, sender, data, asked_at_ms):
        try:
            if asked_at_ms is not None and hasattr(topic, "merge_answer"):
                return bool(topic.merge_answer(sender.name, data, asked_at_ms))
            return bool(topic.merge(sender.name, data))
        except UNREADABLE as error:
            logger.warning(
                "membership.topic-unreadable",
                extra={"topic": topic.name, "from": sender.name, "why": repr(error)},
            )
            return False

    def _collect(self):
        """Return the vital topics, then others in turn as far as bytes reach."""
        vital = [each for each in self._topics_by_name.values() if _is_vital(each)]
        others = [each for each in self._topics_by_name.values() if not _is_vital(each)]
        collected = {topic.name: topic.collect() for topic in vital}
        if others and self._budget.has_room(self._clock.now_ms()):
            self._collect_in_turn(others, collected)
        return {name: data for name, data in collected.items() if data is not None}

    def _collect_in_turn(self, topics, collected):
        start = self._turn % len(topics)
        size = 0
        for index, topic in enumerate(topics[start:] + topics[:start]):
            data = topic.collect()
            if data is None:
                continue
            bytes_needed = len(encode_json(data))
            if bytes_needed > MAX_TOPIC_BYTES:
                extra = {"topic": topic.name, "bytes": bytes_needed}
                logger.warning("membership.topic-too-large", extra=extra)
                continue
            if size and size + bytes_needed > TOPICS_BYTES:
                self._turn = start + index
                return
            size += bytes_needed
            collected[topic.name] = data
        self._turn = start + 1


def _is_vital(topic):
    return getattr(topic, "is_vital", False)

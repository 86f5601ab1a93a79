"""Keeps long prompts on a part of the backend servers, away from short ones.

An engine reads prompts in the order in which they came. A long one on a large model
holds back the first tokens of everything behind it; that costs a short answer its
objective, and a long one little. All instances rank the backend servers alike, so
they agree on the parts without a word.
"""

from stoatpath.utils import rendezvous_rank

# A prompt is long from this many times the mean work of recent ones.
LONG_FACTOR = 2.0
# The short ones' part of a fleet is this many times their part of the work: they are
# served at once only where there is room.
SHORT_HEADROOM = 1.5
MAX_SHORT_PART = 0.5
# Below this fleet size each backend server is needed for everything.
MIN_FLEET = 3
# Prompts that make a mean, and the time in which what was seen counts half.
MIN_PROMPTS = 20.0
HALF_LIFE_MS = 10_000.0


class PromptLengthPartition:
    """Learns what is long from the prompts that this instance sends."""

    __slots__ = ("_count", "_work", "_long_work", "_updated_ms", "_ranked_by_service")

    def __init__(self):
        self._count = 0.0
        self._work = 0.0
        self._long_work = 0.0
        self._updated_ms = 0.0
        self._ranked_by_service = {}

    def record_prompt(self, work, now_ms):
        """Take the work of a prompt that is sent now."""
        kept = 0.5 ** (max(0.0, now_ms - self._updated_ms) / HALF_LIFE_MS)
        self._updated_ms = now_ms
        self._count = kept * self._count + 1.0
        self._work = kept * self._work + work
        self._long_work = kept * self._long_work + (work if self.is_long(work) else 0)

    def is_long(self, work):
        """Return whether a prompt is long beside recent ones."""
        return work * self._count > LONG_FACTOR * self._work

    def backends_to_avoid(self, service, work, names):
        """Return the set of names that a prompt of so much work had better avoid."""
        if len(names) < MIN_FLEET or self._count < MIN_PROMPTS:
            return frozenset()
        short_work = 1.0 - self._long_work / self._work
        part = min(MAX_SHORT_PART, SHORT_HEADROOM * short_work)
        count = min(len(names) - 1, max(1, round(part * len(names))))
        ranked = self._rank(service, names)
        return set(ranked[:count] if self.is_long(work) else ranked[count:])

    def _rank(self, service, names):
        """Return names in the order that all instances agree on.

        Fleets change seldom, so the last order of a service is kept.
        """
        known = self._ranked_by_service.get(service)
        if known is None or known[0] != names:
            ranked = rendezvous_rank(f"{service}/short prompts", names)
            known = self._ranked_by_service[service] = (names, ranked)
        return known[1]

"""Partitions the backend servers between long and short prompts.

The length of a prompt is its work: its tokens, weighted by the cost of the model.

An engine processes prompts in order of arrival, so a long prompt delays the first
token of every request queued behind it (head-of-line blocking). Short requests miss
their latency objective through that, long ones hardly suffer. All instances rank the
backend servers by the same hash, so their partitions agree without messages, except
at the boundary, which follows the prompts that each instance sent.
"""

from stoatpath.utils import rendezvous_rank

# A prompt is long above this multiple of the mean work of recent prompts.
LONG_PROMPT_FACTOR = 2.0
# Share of the fleet for short prompts, as a multiple of their share of the work: they
# need spare capacity to start without queueing.
SHORT_CAPACITY_FACTOR = 1.5
MAX_SHORT_SHARE = 0.5
# Smaller fleets are not partitioned: every backend server is needed for all prompts.
MIN_FLEET_SIZE = 3
# No partition before this many (decayed) prompts: the mean is not reliable yet.
MIN_PROMPTS = 20.0
HALF_LIFE_MS = 10_000.0


class PromptLengthPartition:
    """Classifies prompts by length and selects the backend servers to avoid.

    The threshold follows the mean work of the prompts that this instance sent, decayed
    with `HALF_LIFE_MS`.
    """

    __slots__ = ("_count", "_work", "_long_work", "_updated_ms", "_ranked_by_service")

    def __init__(self):
        self._count = 0.0
        self._work = 0.0
        self._long_work = 0.0
        self._updated_ms = 0.0
        self._ranked_by_service = {}

    def record_prompt(self, work, now_ms):
        """Update the mean with the work of a prompt that is being sent."""
        decay = 0.5 ** (max(0.0, now_ms - self._updated_ms) / HALF_LIFE_MS)
        self._updated_ms = now_ms
        self._count = decay * self._count + 1.0
        self._work = decay * self._work + work
        self._long_work = decay * self._long_work + (work if self.is_long(work) else 0)

    def is_long(self, work):
        """Return whether a prompt is long compared to recent ones."""
        return work * self._count > LONG_PROMPT_FACTOR * self._work

    def backends_to_avoid(self, service, work, names):
        """Return the names reserved for prompts of the other length than this one's."""
        if len(names) < MIN_FLEET_SIZE or self._count < MIN_PROMPTS:
            return frozenset()
        short_work_share = 1.0 - self._long_work / self._work
        fleet_share = min(MAX_SHORT_SHARE, SHORT_CAPACITY_FACTOR * short_work_share)
        count = min(len(names) - 1, max(1, round(fleet_share * len(names))))
        ranked = self._rank_cached(service, names)
        return set(ranked[:count] if self.is_long(work) else ranked[count:])

    def _rank_cached(self, service, names):
        """Return names in the rendezvous order, which is the same on all instances.

        The order is cached per service, since fleets change seldom.
        """
        cached = self._ranked_by_service.get(service)
        if cached is None or cached[0] != names:
            ranked = rendezvous_rank(f"{service}/short prompts", names)
            cached = self._ranked_by_service[service] = (names, ranked)
        return cached[1]

"""The requests of one organisation that wait for a slot in one pool."""

from bisect import bisect_left, insort


class WaitingQueue:
    """Waiting requests sorted by deadline, with short and long work kept apart.

    Each entry is a deadline, a sequence number that breaks ties, and a request.
    `weight` is the weight of the organisation.
    """

    __slots__ = ("weight", "_short", "_long")

    def __init__(self):
        self.weight = 1.0
        self._short = []
        self._long = []

    def __len__(self):
        return len(self._short) + len(self._long)

    def add(self, request, sequence):
        """Insert a request in deadline order."""
        self.weight = request.weight
        entries = self._entries(request.is_short)
        insort(entries, (request.deadline_ms, sequence, request))

    def remove(self, request, sequence):
        """Remove a request."""
        entries = self._entries(request.is_short)
        del entries[bisect_left(entries, (request.deadline_ms, sequence))]

    def discard(self, request):
        """Remove all entries of a request."""
        entries = self._entries(request.is_short)
        entries[:] = [entry for entry in entries if entry[2] is not request]

    def first_feasible(self, is_short, now_ms):
        """Return the first request of a class that can meet its deadline, or None."""
        for deadline_ms, _, request in self._entries(is_short):
            if now_ms + request.expected_ms <= deadline_ms:
                return request
        return None

    def count_ahead(self, request):
        """Return how many requests of its class have an earlier deadline."""
        return bisect_left(self._entries(request.is_short), (request.deadline_ms,))

    def has_waiting(self, is_short):
        """Return whether requests of a class (short or long work) wait."""
        return bool(self._entries(is_short))

    def _entries(self, is_short):
        return self._short if is_short else self._long

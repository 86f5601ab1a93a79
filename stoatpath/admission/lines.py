"""The requests of one organisation that wait for one pool, in order."""

from bisect import bisect_left, insort


class WaitingLine:
    """Waiting requests by deadline, short work apart.

    Each place is a deadline, a sequence number that breaks ties, and a request.
    """

    __slots__ = ("weight", "_short", "_long")

    def __init__(self):
        self.weight = 1.0
        self._short = []
        self._long = []

    def __len__(self):
        return len(self._short) + len(self._long)

    def add(self, request, sequence):
        """Put a request in its place."""
        self.weight = request.weight
        places = self._places(request.is_short)
        insort(places, (request.deadline_ms, sequence, request))

    def remove(self, request, sequence):
        """Take a request out."""
        places = self._places(request.is_short)
        del places[bisect_left(places, (request.deadline_ms, sequence))]

    def first(self, is_short, now_ms):
        """Return the first of a class that can end by its deadline, or None."""
        for deadline_ms, _, request in self._places(is_short):
            if now_ms + request.expected_ms <= deadline_ms:
                return request
        return None

    def count_before(self, request):
        """Return how many of its class would be served before a request."""
        return bisect_left(self._places(request.is_short), (request.deadline_ms,))

    def has_class(self, is_short):
        """Return whether work of a class waits."""
        return bool(self._places(is_short))

    def _places(self, is_short):
        return self._short if is_short else self._long

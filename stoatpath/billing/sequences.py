"""Sets of sequence numbers, stored as ranges."""


class SequenceSet:
    """A set of positive integers; `ranges` are sorted pairs of first and last."""

    __slots__ = ("ranges",)

    def __init__(self, ranges=()):
        self.ranges = [tuple(each) for each in ranges]

    def __contains__(self, number):
        return any(first <= number <= last for first, last in self.ranges)

    def union(self, numbers):
        """Return a new set with these numbers added."""
        merged = []
        pairs = self.ranges + [(number, number) for number in numbers]
        for first, last in sorted(pairs):
            if merged and first <= merged[-1][1] + 1:
                merged[-1] = (merged[-1][0], max(merged[-1][1], last))
            else:
                merged.append((first, last))
        return SequenceSet(merged)

    def to_json(self):
        """Return the stored form."""
        return [list(each) for each in self.ranges]

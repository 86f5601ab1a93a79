"""Virtual time: events in order of time, then of arrangement."""

import heapq


class EventQueue:
    """Runs arranged actions in order and sets the time to each one's."""

    __slots__ = ("now_ms", "_heap", "_sequence")

    def __init__(self):
        self.now_ms = 0.0
        self._heap = []
        self._sequence = 0

    def at(self, when_ms, action, *arguments):
        """Arrange a call at a time; times in the past mean now."""
        self._sequence += 1
        when_ms = max(when_ms, self.now_ms)
        heapq.heappush(self._heap, (when_ms, self._sequence, action, arguments))

    def run_until(self, end_ms):
        """Run everything that is due by a time."""
        while self._heap and self._heap[0][0] <= end_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self._heap)
            action(*arguments)
        self.now_ms = max(self.now_ms, end_ms)

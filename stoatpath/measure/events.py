"""A queue of events in virtual time, ordered by time, then by order of scheduling."""

import heapq


class EventQueue:
    """Runs scheduled actions in order and advances the virtual time to each."""

    __slots__ = ("now_ms", "_heap", "_sequence")

    def __init__(self):
        self.now_ms = 0.0
        self._heap = []
        self._sequence = 0

    def schedule(self, due_ms, action, *arguments):
        """Schedule a call; a time in the past means now."""
        self._sequence += 1
        due_ms = max(due_ms, self.now_ms)
        heapq.heappush(self._heap, (due_ms, self._sequence, action, arguments))

    def run_until(self, end_ms):
        """Run all actions that are due by `end_ms`."""
        while self._heap and self._heap[0][0] <= end_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self._heap)
            action(*arguments)
        self.now_ms = max(self.now_ms, end_ms)

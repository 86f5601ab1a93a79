"""Finds the prompt part that the attempts lost in several crashes have in common."""

from collections import deque

# A crash that took an attempt whose answer had just begun counts fully against its
# parts. One that only waited beside others is rarely the cause.
BEGUN_WEIGHT = 1.0
WAITING_WEIGHT = 0.34
MIN_SCORE = 2.0
# A single request may have met several ordinary crashes.
MIN_REQUESTS = 2
# The same for a part that was in quarantine before and was not answered since.
MIN_SCORE_AGAIN = 1.0
MIN_REQUESTS_AGAIN = 1
# Crashes closer together may have one cause outside of the backend servers.
SEPARATION_MS = 100.0
WINDOW_MS = 60_000.0
MAX_ATTEMPTS = 2_000
NEVER_MS = float("-inf")


class Suspicion:
    """A part that may end backend servers.

    `since_ms` is when the first of the crashes took place that count against it,
    `answered_ms` when an answer to it last began, as far as is known.
    """

    __slots__ = ("part", "score", "since_ms", "answered_ms")

    def __init__(self, part, score, since_ms, answered_ms):
        self.part = part
        self.score = score
        self.since_ms = since_ms
        self.answered_ms = answered_ms


class SuspicionTable:
    """The lost attempts of one service, and when its parts were last answered.

    A part is answered when an answer to a request with it comes as far as its first
    event: crashes before that don't count against it.
    """

    __slots__ = ("_attempts", "_answered_ms_by_part")

    def __init__(self):
        self._attempts = deque(maxlen=MAX_ATTEMPTS)
        self._answered_ms_by_part = {}

    def record_lost(self, attempts):
        """Add lost attempts."""
        self._attempts.extend(attempts)

    def record_answered(self, part, answered_ms):
        """Record when a part was answered."""
        known_ms = self._answered_ms_by_part.get(part, NEVER_MS)
        self._answered_ms_by_part[part] = max(known_ms, answered_ms)

    def find(self, now_ms, is_known):
        """Return a `Suspicion` for each part with enough evidence, strongest first.

        `is_known(part)` tells whether a part was in quarantine before. Of parts with
        equal evidence, the one that was not answered for longest comes first.
        """
        self._expire(now_ms)
        attempts_by_part = {}
        for attempt in self._attempts:
            for part in attempt.parts:
                if attempt.lost_ms > self._answered_ms_by_part.get(part, NEVER_MS):
                    attempts_by_part.setdefault(part, []).append(attempt)
        found = []
        for part, attempts in attempts_by_part.items():
            min_score, min_requests = (
                (MIN_SCORE_AGAIN, MIN_REQUESTS_AGAIN)
                if is_known(part)
                else (MIN_SCORE, MIN_REQUESTS)
            )
            score = _score(attempts)
            requests = {attempt.request_id for attempt in attempts}
            if score >= min_score and len(requests) >= min_requests:
                since_ms = min(attempt.lost_ms for attempt in attempts)
                answered_ms = self._answered_ms_by_part.get(part, NEVER_MS)
                found.append(Suspicion(part, score, since_ms, answered_ms))
        return sorted(
            found,
            key=lambda each: (not is_known(each.part), -each.score, each.answered_ms),
        )

    def dismiss(self, part):
        """Drop the crashes that a part explains, with all attempts lost in them."""
        explained = {
            attempt.backend for attempt in self._attempts if part in attempt.parts
        }
        kept = [each for each in self._attempts if each.backend not in explained]
        self._attempts = deque(kept, MAX_ATTEMPTS)

    def _expire(self, now_ms):
        while self._attempts and self._attempts[0].lost_ms < now_ms - WINDOW_MS:
            self._attempts.popleft()
        if not self._attempts:
            self._answered_ms_by_part.clear()


def _score(attempts):
    """Return the weight of the crashes in which attempts were lost.

    Attempts with the same backend server or lost at almost the same time count as one
    crash, with the weight of the strongest.
    """
    crashes_by_backend = {}
    for attempt in attempts:
        weight = BEGUN_WEIGHT if attempt.has_begun else WAITING_WEIGHT
        lost_ms, known_weight = crashes_by_backend.get(
            attempt.backend, (attempt.lost_ms, 0.0)
        )
        crashes_by_backend[attempt.backend] = (
            min(lost_ms, attempt.lost_ms),
            max(known_weight, weight),
        )
    score = 0.0
    group_ms, group_weight = NEVER_MS, 0.0
    for lost_ms, weight in sorted(crashes_by_backend.values()):
        if lost_ms - group_ms >= SEPARATION_MS:
            score += group_weight
            group_ms, group_weight = lost_ms, weight
        else:
            group_weight = max(group_weight, weight)
    return score + group_weight

"""Finds what the attempts lost in several crashes have in common.

That is a prompt part, or the whole content of requests that are the same.
"""

from collections import deque

from stoatpath.quarantine.messages import is_whole_request

# A crash that took an attempt whose answer had just begun counts fully against its
# parts. One that only waited beside others is rarely the cause.
BEGUN_WEIGHT = 1.0
WAITING_WEIGHT = 0.34
# The same for whole requests, for an attempt whose answer had not begun: alone on its
# backend server, or beside others of which none had begun.
ALONE_WEIGHT = 1.0
BESIDE_WEIGHT = 0.67
MIN_SCORE = 2.0
# Without the crashes of any one content, as a request may end backend servers as a
# whole: then its parts are sound.
MIN_SCORE_OF_OTHERS = 1.0
# The same for what was in quarantine before and was not answered since.
MIN_SCORE_AGAIN = 1.0
MIN_WHOLE_SCORE_AGAIN = WAITING_WEIGHT
# Crashes closer together may have one cause outside of the backend servers.
SEPARATION_MS = 100.0
# A backend server that has ended is not back sooner. Covers what reports take, too.
MIN_RESTART_MS = 100.0
WINDOW_MS = 60_000.0
MAX_ATTEMPTS = 2_000
NEVER_MS = float("-inf")


class Suspicion:
    """A part, or a whole request, that may end backend servers.

    `crashes` are the keys of the crashes that took attempts with it, `since_ms` is when
    the first of them was, `answered_ms` when an answer to it last began, as far as is
    known.
    """

    __slots__ = ("part", "score", "crashes", "since_ms", "answered_ms")

    def __init__(self, part, score, crashes, since_ms, answered_ms):
        self.part = part
        self.score = score
        self.crashes = crashes
        self.since_ms = since_ms
        self.answered_ms = answered_ms


class _Loss:
    """The strongest evidence of one crash against a part or a whole request.

    `contents` are those of the attempts that have this weight.
    """

    __slots__ = ("weight", "started_ms", "lost_ms", "contents")

    def __init__(self, weight, attempt):
        self.weight = weight
        self.started_ms = attempt.started_ms
        self.lost_ms = attempt.lost_ms
        self.contents = {attempt.content}

    def add(self, weight, attempt):
        """Take another attempt of the same crash into account."""
        if weight > self.weight:
            self.weight = weight
            self.started_ms = attempt.started_ms
            self.contents = set()
        if weight == self.weight:
            self.contents.add(attempt.content)
        self.lost_ms = min(self.lost_ms, attempt.lost_ms)


class SuspicionTable:
    """The lost attempts of one service, and when its parts were last answered.

    A part is answered when an answer to a request with it comes as far as its first
    event, a whole request when one with the same content is: crashes before that don't
    count against it.
    """

    __slots__ = ("_attempts", "_answered_ms_by_part")

    def __init__(self):
        self._attempts = deque(maxlen=MAX_ATTEMPTS)
        self._answered_ms_by_part = {}

    def record_lost(self, attempts):
        """Add lost attempts."""
        self._attempts.extend(attempts)

    def record_answered(self, part, answered_ms):
        """Record when a part, or a whole request, was answered."""
        known_ms = self._answered_ms_by_part.get(part, NEVER_MS)
        self._answered_ms_by_part[part] = max(known_ms, answered_ms)

    def find(self, now_ms, is_known):
        """Return a `Suspicion` for all with enough evidence, strongest first.

        `is_known(part)` tells whether it was in quarantine before. Parts come before
        whole requests, which have them; of equal evidence, what was not answered for
        longest comes first.
        """
        self._expire(now_ms)
        found = []
        for part, losses_by_crash in self._losses_by_part().items():
            suspicion = self._suspect(part, losses_by_crash, is_known(part))
            if suspicion is not None:
                found.append(suspicion)
        return sorted(
            found,
            key=lambda each: (
                not is_known(each.part),
                is_whole_request(each.part),
                -each.score,
                each.answered_ms,
            ),
        )

    def dismiss(self, part):
        """Drop the crashes that a part explains, with all attempts lost in them.

        The attempts of a whole request still count against its parts, since one of
        these may end backend servers under other requests too.
        """
        kept = []
        for attempts in self._attempts_by_crash().values():
            is_explained = any(part in attempt.names for attempt in attempts)
            kept += [
                attempt
                for attempt in attempts
                if not is_explained
                or (is_whole_request(part) and attempt.content == part)
            ]
        kept.sort(key=lambda attempt: attempt.lost_ms)
        if is_whole_request(part):
            kept = [
                attempt.without_content() if attempt.content == part else attempt
                for attempt in kept
            ]
        self._attempts = deque(kept, MAX_ATTEMPTS)

    def _suspect(self, part, losses_by_crash, is_known):
        """Return a `Suspicion`, or None if there is too little evidence."""
        losses = list(losses_by_crash.values())
        if is_whole_request(part):
            score = _score(losses, is_later_attempt=_is_sent_after)
            min_score = MIN_WHOLE_SCORE_AGAIN if is_known else MIN_SCORE
        else:
            score = _score(losses)
            min_score = MIN_SCORE_AGAIN if is_known else MIN_SCORE
            if not is_known and _score_of_others(losses) < MIN_SCORE_OF_OTHERS:
                return None
        if score < min_score:
            return None
        since_ms = min(loss.lost_ms for loss in losses)
        answered_ms = self._answered_ms_by_part.get(part, NEVER_MS)
        crashes = frozenset(losses_by_crash)
        return Suspicion(part, score, crashes, since_ms, answered_ms)

    def _attempts_by_crash(self):
        """Return the attempts by the backend server and the time of its crash.

        A backend server may come back under its name: attempts that were sent to it
        well after a loss were lost in a later crash.
        """
        attempts_by_backend = {}
        for attempt in self._attempts:
            attempts_by_backend.setdefault(attempt.backend, []).append(attempt)
        attempts_by_crash = {}
        for backend, attempts in attempts_by_backend.items():
            crash = None
            for attempt in sorted(attempts, key=lambda each: each.lost_ms):
                if crash is None or attempt.started_ms >= crash[1] + MIN_RESTART_MS:
                    crash = (backend, attempt.lost_ms)
                attempts_by_crash.setdefault(crash, []).append(attempt)
        return attempts_by_crash

    def _losses_by_part(self):
        """Return the `_Loss` of each crash by part and by the key of the crash."""
        losses_by_part = {}
        for crash, attempts in self._attempts_by_crash().items():
            has_begun = any(attempt.has_begun for attempt in attempts)
            is_alone = len({attempt.content for attempt in attempts}) == 1
            for attempt in attempts:
                for part in attempt.names:
                    if attempt.lost_ms <= self._answered_ms_by_part.get(part, NEVER_MS):
                        continue
                    weight = _weight(attempt, part, has_begun, is_alone)
                    losses = losses_by_part.setdefault(part, {})
                    if crash in losses:
                        losses[crash].add(weight, attempt)
                    else:
                        losses[crash] = _Loss(weight, attempt)
        return losses_by_part

    def _expire(self, now_ms):
        while self._attempts and self._attempts[0].lost_ms < now_ms - WINDOW_MS:
            self._attempts.popleft()
        if not self._attempts:
            self._answered_ms_by_part.clear()


def _weight(attempt, part, has_begun, is_alone):
    """Return how much a lost attempt counts against its part or its whole content.

    `has_begun` says that an answer of the backend server had begun, `is_alone` that all
    its lost attempts have the same content.
    """
    if attempt.has_begun:
        return BEGUN_WEIGHT
    if has_begun or not is_whole_request(part):
        return WAITING_WEIGHT
    return ALONE_WEIGHT if is_alone else BESIDE_WEIGHT


def _score(losses, is_later_attempt=lambda loss, first: False):
    """Return the weight of several crashes.

    Those at almost the same time count as one, with the weight of the strongest, unless
    `is_later_attempt(loss, first)` rules out that they have one cause.
    """
    score = 0.0
    first, group_weight = None, 0.0
    for loss in sorted(losses, key=lambda each: each.lost_ms):
        if (
            first is None
            or loss.lost_ms - first.lost_ms >= SEPARATION_MS
            or is_later_attempt(loss, first)
        ):
            score += group_weight
            first, group_weight = loss, loss.weight
        else:
            group_weight = max(group_weight, loss.weight)
    return score + group_weight


def _is_sent_after(loss, first):
    """Return whether an attempt was sent only after an earlier crash."""
    return loss.started_ms >= first.lost_ms


def _score_of_others(losses):
    """Return the least weight that is left without the crashes of one content."""
    contents = set().union(*(loss.contents for loss in losses))
    return min(
        _score([loss for loss in losses if loss.contents != {content}])
        for content in contents
    )

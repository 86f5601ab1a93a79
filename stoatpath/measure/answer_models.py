"""How good, long and slow the answers of a cheap and a dear version are.

The rating service is modelled with noise, bias, delay and missing ratings.
"""

TIDE_DIFFICULTY = (1.2, 5.0)
DIFFICULTY_BY_PURPOSE = {
    "guest-question": (1.6, 3.5),
    "tide-note": TIDE_DIFFICULTY,
    "lease-summary": (2.0, 2.5),
    "risk-note": (1.6, 3.5),
    "ward-briefing": (2.0, 2.5),
    "status-check": TIDE_DIFFICULTY,
}
TOP_QUALITY = (0.97, 0.99)
QUALITY_SLOPE = (0.75, 0.22)
QUALITY_EXPONENT = 1.5
QUALITY_NOISE = 0.04
TOKEN_SECONDS = (0.010, 0.030)
RATING_NOISE = 0.03
RATING_SECONDS = 0.06


class Fault:
    """What goes wrong: shares from 0 to 1, `bias` is a factor on ratings.

    `drift` is taken off the quality of the cheap version during the middle of
    the run; late ratings come `late_ms` after the answer.
    """

    __slots__ = ("name", "late", "late_ms", "missing", "bias", "drift")

    def __init__(self, name, late=0.0, missing=0.0, bias=1.0, drift=0.0):
        self.name = name
        self.late = late
        self.late_ms = 60_000.0
        self.missing = missing
        self.bias = bias
        self.drift = drift


FAULTS = (
    Fault("none"),
    Fault("late", late=0.5),
    Fault("missing", missing=0.3),
    Fault("few", missing=0.9),
    Fault("too-high", bias=1.1),
    Fault("too-low", bias=0.9),
    Fault("drift", drift=0.3),
    Fault("drift-and-missing", drift=0.3, missing=0.3),
)
FAULTS_BY_NAME = {fault.name: fault for fault in FAULTS}
DRIFT_FROM = 0.35
DRIFT_UNTIL = 0.65


class AnswerModel:
    """Draws the true quality of each version's answer to each request.

    All draws for a request are made when it arrives, so that every way of
    choosing meets the same answers.
    """

    __slots__ = ("_rng", "_fault", "_seconds")

    def __init__(self, rng, fault, seconds):
        self._rng = rng
        self._fault = fault
        self._seconds = seconds

    def draw(self, arrival):
        """Return the `Draw` of one arrival."""
        rng = self._rng
        difficulty = rng.betavariate(*DIFFICULTY_BY_PURPOSE[arrival.purpose.name])
        qualities = [
            self._quality(place, difficulty, arrival.at_ms)
            for place in range(len(TOP_QUALITY))
        ]
        ratings = [self._rating(quality) for quality in qualities]
        is_late = [rng.random() < self._fault.late for _ in qualities]
        return Draw(qualities, ratings, is_late)

    def _quality(self, place, difficulty, at_ms):
        quality = TOP_QUALITY[place]
        quality -= QUALITY_SLOPE[place] * difficulty**QUALITY_EXPONENT
        day_share = at_ms / 1000 / self._seconds
        if place == 0 and DRIFT_FROM <= day_share < DRIFT_UNTIL:
            quality -= self._fault.drift
        return _clip(quality + self._rng.gauss(0.0, QUALITY_NOISE))

    def _rating(self, quality):
        is_missing = self._rng.random() < self._fault.missing
        rating = _clip(quality * self._fault.bias + self._rng.gauss(0, RATING_NOISE))
        return None if is_missing else rating


class Draw:
    """True qualities, ratings (None if missing) and lateness, cheap to dear."""

    __slots__ = ("qualities", "ratings", "is_late")

    def __init__(self, qualities, ratings, is_late):
        self.qualities = qualities
        self.ratings = ratings
        self.is_late = is_late


def _clip(value):
    return min(1.0, max(0.0, value))

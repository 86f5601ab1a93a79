"""Models the quality of the answers of a cheap and an expensive version.

The rating service is modelled with noise, bias, delay and missing ratings.
Values in pairs are for the cheap and the expensive version.
"""

SHORT_NOTE_DIFFICULTY = (1.2, 5.0)
DIFFICULTY_BETA_BY_PURPOSE = {
    "guest-question": (1.6, 3.5),
    "tide-note": SHORT_NOTE_DIFFICULTY,
    "lease-summary": (2.0, 2.5),
    "risk-note": (1.6, 3.5),
    "ward-briefing": (2.0, 2.5),
    "status-check": SHORT_NOTE_DIFFICULTY,
}
BASE_QUALITY = (0.97, 0.99)
QUALITY_SLOPE = (0.75, 0.22)
QUALITY_EXPONENT = 1.5
QUALITY_NOISE = 0.04  # standard deviation
TOKEN_SECONDS = (0.010, 0.030)  # per token
RATING_NOISE = 0.03  # standard deviation
RATING_SECONDS = 0.06


class RatingFault:
    """Faults of the rating service, and a drop of the cheap version's quality.

    Shares are from 0 to 1; `rating_factor` multiplies all ratings. `quality_drop`
    is subtracted from the quality of the cheap version in the middle of the run.
    Late ratings arrive a minute after the request.
    """

    __slots__ = (
        "name",
        "late_share",
        "late_ms",
        "missing_share",
        "rating_factor",
        "quality_drop",
    )

    def __init__(
        self,
        name,
        late_share=0.0,
        missing_share=0.0,
        rating_factor=1.0,
        quality_drop=0.0,
    ):
        self.name = name
        self.late_share = late_share
        self.late_ms = 60_000.0
        self.missing_share = missing_share
        self.rating_factor = rating_factor
        self.quality_drop = quality_drop


FAULTS = (
    RatingFault("none"),
    RatingFault("late", late_share=0.5),
    RatingFault("missing", missing_share=0.3),
    RatingFault("few", missing_share=0.9),
    RatingFault("too-high", rating_factor=1.1),
    RatingFault("too-low", rating_factor=0.9),
    RatingFault("drift", quality_drop=0.3),
    RatingFault("drift-and-missing", quality_drop=0.3, missing_share=0.3),
)
FAULTS_BY_NAME = {fault.name: fault for fault in FAULTS}
DRIFT_START_SHARE = 0.35
DRIFT_END_SHARE = 0.65


class AnswerModel:
    """Draws the true quality of each version's answer to each request.

    All values of a request are drawn on its arrival, so that every strategy is
    compared on the same answers.
    """

    __slots__ = ("_rng", "_fault", "_seconds")

    def __init__(self, rng, fault, seconds):
        self._rng = rng
        self._fault = fault
        self._seconds = seconds

    def draw(self, arrival):
        """Return the `DrawnAnswers` of one arrival."""
        rng = self._rng
        difficulty = rng.betavariate(*DIFFICULTY_BETA_BY_PURPOSE[arrival.purpose.name])
        qualities = [
            self._draw_quality(index, difficulty, arrival.at_ms)
            for index in range(len(BASE_QUALITY))
        ]
        ratings = [self._draw_rating(quality) for quality in qualities]
        is_late = [rng.random() < self._fault.late_share for _ in qualities]
        return DrawnAnswers(qualities, ratings, is_late)

    def _draw_quality(self, index, difficulty, at_ms):
        quality = BASE_QUALITY[index]
        quality -= QUALITY_SLOPE[index] * difficulty**QUALITY_EXPONENT
        run_share = at_ms / 1000 / self._seconds
        if index == 0 and DRIFT_START_SHARE <= run_share < DRIFT_END_SHARE:
            quality -= self._fault.quality_drop
        return _clamp(quality + self._rng.gauss(0.0, QUALITY_NOISE))

    def _draw_rating(self, quality):
        is_missing = self._rng.random() < self._fault.missing_share
        rating = _clamp(
            quality * self._fault.rating_factor + self._rng.gauss(0, RATING_NOISE)
        )
        return None if is_missing else rating


class DrawnAnswers:
    """Qualities, ratings (None: missing) and late flags, cheapest version first."""

    __slots__ = ("qualities", "ratings", "is_late")

    def __init__(self, qualities, ratings, is_late):
        self.qualities = qualities
        self.ratings = ratings
        self.is_late = is_late


def _clamp(value):
    return min(1.0, max(0.0, value))

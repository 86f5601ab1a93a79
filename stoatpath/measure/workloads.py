"""Seeded request arrivals with bursts, an afternoon peak, heavy tails and sessions."""

import math

PEAK_DAY_SHARE = 0.65
PEAK_WIDTH_SHARE = 0.18
PEAK_HEIGHT = 1.0
OFF_PEAK = 0.5
BURST_FACTOR = 2.0  # rate in a burst over the mean rate
BURST_S = 0.5
BURST_PERIOD_S = 8.0
MAX_TOKENS = 4_000
MAX_SESSION_TURNS = 8
MAX_OPEN_SESSIONS = 10


class Arrival:
    """One request of a workload.

    `session` is the session name or "", `turn` counts the earlier requests of the
    session, and `difficulty` (0 to 1) does not depend on the version that answers.
    """

    __slots__ = (
        "request_id",
        "at_ms",
        "organisation",
        "purpose",
        "prompt_tokens",
        "tokens",
        "session",
        "turn",
        "deadline_ms",
        "difficulty",
    )

    def __init__(self, request_id, at_ms, organisation, purpose):
        self.request_id = request_id
        self.at_ms = at_ms
        self.organisation = organisation
        self.purpose = purpose
        self.prompt_tokens = 0
        self.tokens = 0
        self.session = ""
        self.turn = 0
        self.deadline_ms = at_ms + purpose.timeout_ms
        self.difficulty = 0.0


class Workload:
    """Generates the arrivals of one day, compressed into `seconds`.

    `peak_per_s` is the mean rate at the top of the afternoon peak. Bursts exceed
    it, and the rate between bursts is lower, so that the mean over a burst period
    stays the same. With `is_flat` the peak rate lasts all day.
    """

    __slots__ = (
        "is_flat",
        "_deployment",
        "_rng",
        "_peak_per_s",
        "_seconds",
        "_open_sessions_by_key",
    )

    def __init__(self, deployment, rng, peak_per_s, seconds):
        self.is_flat = False
        self._deployment = deployment
        self._rng = rng
        self._peak_per_s = peak_per_s
        self._seconds = seconds
        self._open_sessions_by_key = {}

    def arrivals(self):
        """Return all arrivals in order of time."""
        arrivals = []
        at_s = 0.0
        max_rate_per_s = self._peak_per_s * BURST_FACTOR
        while True:
            at_s += self._rng.expovariate(max_rate_per_s)
            if at_s >= self._seconds:
                return arrivals
            if self._rng.random() * max_rate_per_s < self._rate_per_s(at_s):
                arrivals.append(self._draw_arrival(len(arrivals), at_s * 1000))

    def mean_tokens(self):
        """Return the mean answer length over all purposes."""
        return sum(
            traffic.share * traffic.tokens for _, traffic in self._deployment.traffic()
        )

    def _rate_per_s(self, at_s):
        day_factor = 1.0
        if not self.is_flat:
            offset = (at_s / self._seconds - PEAK_DAY_SHARE) / PEAK_WIDTH_SHARE
            day_factor = OFF_PEAK + (PEAK_HEIGHT - OFF_PEAK) * math.exp(
                -offset * offset
            )
        burst_share = BURST_S / BURST_PERIOD_S
        calm_factor = (1 - BURST_FACTOR * burst_share) / (1 - burst_share)
        is_burst = at_s % BURST_PERIOD_S < BURST_S
        return (
            self._peak_per_s * day_factor * (BURST_FACTOR if is_burst else calm_factor)
        )

    def _draw_arrival(self, index, at_ms):
        rng = self._rng
        deployment = self._deployment
        purpose_traffic = deployment.traffic()
        weights = [traffic.share for _, traffic in purpose_traffic]
        purpose, traffic = rng.choices(purpose_traffic, weights)[0]
        organisations = deployment.organisations
        weights = [organisation.weight for organisation in organisations]
        organisation = rng.choices(organisations, weights)[0]
        arrival = Arrival(f"req-{index}", at_ms, organisation, purpose)
        arrival.prompt_tokens = self._draw_length(traffic.prompt_tokens, 0.5)
        arrival.tokens = self._draw_length(traffic.tokens, traffic.tokens_sigma)
        arrival.difficulty = rng.betavariate(1.6, 3.0)
        if rng.random() < traffic.session_share:
            self._join_session(arrival)
        return arrival

    def _draw_length(self, mean, sigma):
        value = self._rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)
        return max(4, min(MAX_TOKENS, int(value)))

    def _join_session(self, arrival):
        key = (arrival.organisation.name, arrival.purpose.name)
        sessions = self._open_sessions_by_key.setdefault(key, [])
        if len(sessions) < MAX_OPEN_SESSIONS:
            sessions.append(_Session(arrival))
        session = self._rng.choice(sessions)
        session.add_turn(arrival)
        if session.turns >= MAX_SESSION_TURNS:
            sessions.remove(session)


class _Session:
    """A conversation whose prompt grows by each turn's prompt and answer."""

    __slots__ = ("name", "turns", "prompt_tokens")

    def __init__(self, arrival):
        self.name = f"session-{arrival.request_id}"
        self.turns = 0
        self.prompt_tokens = 0

    def add_turn(self, arrival):
        self.prompt_tokens += arrival.prompt_tokens // (self.turns + 1)
        arrival.session = self.name
        arrival.turn = self.turns
        arrival.prompt_tokens = self.prompt_tokens
        self.turns += 1
        self.prompt_tokens += arrival.tokens

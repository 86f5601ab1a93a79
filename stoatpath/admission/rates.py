"""Divides each organisation's rate limit over the live instances: pure state.

Every instance holds an equal share of a limit as a token bucket. A share that an
instance does not use is lent to one that asks for it: the lender takes it off its
own rate before it answers, and counts it back later than the borrower gives it up,
so that lost, late and doubled messages only ever leave a limit unused.
"""

from stoatpath.outcomes import RATE_LIMITED, Failure

BURST_S = 1.0
LOAN_MS = 10_000.0
LOAN_MARGIN_MS = 500.0
DEMAND_WINDOW_MS = 2_000.0
HEADROOM = 1.25
HOLD_MS = 300_000.0
MIN_LOAN_PER_S = 0.01


class InstanceCount:
    """Counts the instances that may be using a share of the limits.

    One that fell silent without saying that it leaves may be alive behind a
    network fault, and is counted on for `HOLD_MS`.
    """

    __slots__ = ("_seen_ms_by_name", "_leaving")

    def __init__(self):
        self._seen_ms_by_name = {}
        self._leaving = set()

    def update(self, live_names, leaving_names, now_ms):
        """Take the names that are live and those that still serve but leave."""
        present = {*live_names, *leaving_names}
        self._leaving = (self._leaving - set(live_names)) | set(leaving_names)
        for name in present:
            self._seen_ms_by_name[name] = now_ms
        for name in set(self._seen_ms_by_name) - present:
            has_left = name in self._leaving
            if has_left or now_ms - self._seen_ms_by_name[name] > HOLD_MS:
                del self._seen_ms_by_name[name]
                self._leaving.discard(name)

    def value(self):
        """Return the divisor of every limit."""
        return max(1, len(self._seen_ms_by_name))


class Loan:
    """A part of a limit, in requests a second, until a clock reading."""

    __slots__ = ("per_s", "until_ms")

    def __init__(self, per_s, until_ms):
        self.per_s = per_s
        self.until_ms = until_ms


class _Bucket:
    """The tokens, the demand and the loans of one organisation here."""

    __slots__ = ("tokens", "filled_ms", "demand_per_s", "lent", "borrowed", "is_short")

    def __init__(self, tokens, now_ms):
        self.tokens = tokens
        self.filled_ms = now_ms
        self.demand_per_s = 0.0
        self.lent = []
        self.borrowed = []
        self.is_short = False

    def drop_ended_loans(self, now_ms):
        self.lent = [loan for loan in self.lent if loan.until_ms > now_ms]
        self.borrowed = [loan for loan in self.borrowed if loan.until_ms > now_ms]


class RateLimits:
    """Token buckets by organisation, with what is lent and borrowed."""

    __slots__ = ("instances", "_buckets_by_name", "_limits_by_name", "refusals")

    def __init__(self):
        self.instances = InstanceCount()
        self._buckets_by_name = {}
        self._limits_by_name = {}
        self.refusals = 0

    def acquire_token(self, organisation, now_ms):
        """Return None when a request may pass, or the failure that refuses it."""
        name = organisation.name
        self._limits_by_name[name] = organisation.rate_per_s
        bucket = self._bucket(name, now_ms)
        self._fill(name, bucket, now_ms)
        bucket.demand_per_s += 1000.0 / DEMAND_WINDOW_MS
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return None
        bucket.is_short = True
        self.refusals += 1
        rate = max(self.rate_per_s(name, now_ms), 1e-3)
        retry_at_ms = now_ms + (1.0 - bucket.tokens) / rate * 1000.0
        detail = f"{name} may send {organisation.rate_per_s:g} requests a second"
        return Failure(RATE_LIMITED, detail, retry_at_ms=retry_at_ms)

    def rate_per_s(self, name, now_ms):
        """Return what this instance may admit of an organisation's limit."""
        bucket = self._bucket(name, now_ms)
        bucket.drop_ended_loans(now_ms)
        lent = sum(loan.per_s for loan in bucket.lent)
        borrowed = sum(loan.per_s for loan in bucket.borrowed)
        return max(0.0, self._share_per_s(name) - lent) + borrowed

    def pop_shortfalls(self, now_ms):
        """Return what is missing here, in requests a second by organisation."""
        missing_by_name = {}
        for name, bucket in self._buckets_by_name.items():
            self._fill(name, bucket, now_ms)
            if not bucket.is_short:
                continue
            bucket.is_short = False
            target = min(bucket.demand_per_s * HEADROOM, self._limits_by_name[name])
            missing = target - self.rate_per_s(name, now_ms)
            if missing > MIN_LOAN_PER_S:
                missing_by_name[name] = missing
        return missing_by_name

    def lend(self, name, limit_per_s, wanted_per_s, now_ms):
        """Return how much of the own share is lent, taken off the own rate at once."""
        self._limits_by_name.setdefault(name, limit_per_s)
        bucket = self._bucket(name, now_ms)
        self._fill(name, bucket, now_ms)
        lent = sum(loan.per_s for loan in bucket.lent)
        kept = min(bucket.demand_per_s * HEADROOM, self._share_per_s(name))
        spare = self._share_per_s(name) - lent - kept
        per_s = min(spare, wanted_per_s)
        if per_s < MIN_LOAN_PER_S:
            return 0.0
        bucket.lent.append(Loan(per_s, now_ms + LOAN_MS + LOAN_MARGIN_MS))
        bucket.tokens = min(bucket.tokens, self._burst(name, now_ms))
        return per_s

    def add_borrowed(self, name, per_s, asked_ms, now_ms):
        """Take a loan that was asked for at a clock reading."""
        bucket = self._bucket(name, now_ms)
        self._fill(name, bucket, now_ms)
        bucket.borrowed.append(Loan(per_s, asked_ms + LOAN_MS))

    def limit_per_s(self, name):
        """Return the whole limit of an organisation as last seen."""
        return self._limits_by_name[name]

    def _share_per_s(self, name):
        return self._limits_by_name.get(name, 0.0) / self.instances.value()

    def _burst(self, name, now_ms):
        return max(1.0, self.rate_per_s(name, now_ms) * BURST_S)

    def _bucket(self, name, now_ms):
        bucket = self._buckets_by_name.get(name)
        if bucket is None:
            tokens = max(1.0, self._share_per_s(name) * BURST_S)
            bucket = self._buckets_by_name[name] = _Bucket(tokens, now_ms)
        return bucket

    def _fill(self, name, bucket, now_ms):
        """Add tokens for the time since the last call, loan by loan."""
        elapsed_ms = max(0.0, now_ms - bucket.filled_ms)
        lent = sum(loan.per_s for loan in bucket.lent)
        gained = max(0.0, self._share_per_s(name) - lent) * elapsed_ms
        for loan in bucket.borrowed:
            used_ms = min(now_ms, loan.until_ms) - bucket.filled_ms
            gained += loan.per_s * max(0.0, used_ms)
        bucket.filled_ms = now_ms
        bucket.drop_ended_loans(now_ms)
        burst = self._burst(name, now_ms)
        bucket.tokens = min(burst, bucket.tokens + gained / 1000.0)
        bucket.demand_per_s *= max(0.0, 1.0 - elapsed_ms / DEMAND_WINDOW_MS)

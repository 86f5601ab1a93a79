"""Divides each organisation's rate limit over the live instances: state only, no I/O.

Every instance holds an equal share of a limit as a token bucket. An instance lends the
unused part of its share on request: it subtracts the loan from its own rate before it
responds, and for at least `LOAN_MARGIN_MS` longer than the borrower uses it, so that
lost, late and duplicate messages can leave a part of a limit unused, but never make
the shares add up to more than the limit. Bursts come on top: `BURST_S` of a limit and
at least one request per instance.
"""

from stoatpath.outcomes import RATE_LIMITED, Failure

BURST_S = 1.0
LOAN_DURATION_MS = 10_000.0
LOAN_MARGIN_MS = 500.0
DEMAND_DECAY_MS = 2_000.0
DEMAND_HEADROOM_FACTOR = 1.25
SILENT_INSTANCE_COUNTED_MS = 300_000.0
MIN_LOAN_PER_S = 0.01


class InstanceCount:
    """Counts the instances that may be using a share of the limits.

    An instance that disappears without having announced that it leaves may still run
    behind a network fault, and is counted for `SILENT_INSTANCE_COUNTED_MS` more.
    """

    __slots__ = ("_last_seen_ms_by_name", "_leaving")

    def __init__(self):
        self._last_seen_ms_by_name = {}
        self._leaving = set()

    def update(self, live_names, leaving_names, now_ms):
        """Update from the live instances and the leaving ones, which still serve."""
        present = {*live_names, *leaving_names}
        self._leaving = (self._leaving - set(live_names)) | set(leaving_names)
        for name in present:
            self._last_seen_ms_by_name[name] = now_ms
        for name in set(self._last_seen_ms_by_name) - present:
            has_left = name in self._leaving
            if (
                has_left
                or now_ms - self._last_seen_ms_by_name[name]
                > SILENT_INSTANCE_COUNTED_MS
            ):
                del self._last_seen_ms_by_name[name]
                self._leaving.discard(name)

    def divisor(self):
        """Return the number of instances by which every limit is divided."""
        return max(1, len(self._last_seen_ms_by_name))


class Loan:
    """A part of a limit, in requests per second, lent until a clock reading."""

    __slots__ = ("per_s", "until_ms")

    def __init__(self, per_s, until_ms):
        self.per_s = per_s
        self.until_ms = until_ms


class _Bucket:
    """The token bucket, the demand and the loans of one organisation on this instance.

    `demand_per_s` is the recent rate of requests, admitted or not, which decays within
    `DEMAND_DECAY_MS`. `was_refused` says whether a request was refused since the last
    loan request.
    """

    __slots__ = (
        "tokens",
        "refilled_ms",
        "demand_per_s",
        "lent_loans",
        "borrowed_loans",
        "was_refused",
    )

    def __init__(self, tokens, now_ms):
        self.tokens = tokens
        self.refilled_ms = now_ms
        self.demand_per_s = 0.0
        self.lent_loans = []
        self.borrowed_loans = []
        self.was_refused = False

    def remove_expired_loans(self, now_ms):
        self.lent_loans = [loan for loan in self.lent_loans if loan.until_ms > now_ms]
        self.borrowed_loans = [
            loan for loan in self.borrowed_loans if loan.until_ms > now_ms
        ]


class RateLimits:
    """Token buckets by organisation, with the rates lent and borrowed."""

    __slots__ = ("instance_count", "_buckets_by_name", "_limits_by_name", "refusals")

    def __init__(self):
        self.instance_count = InstanceCount()
        self._buckets_by_name = {}
        self._limits_by_name = {}
        self.refusals = 0

    def acquire_token(self, organisation, now_ms):
        """Take a token for one request; return None, or a failure if there is none."""
        name = organisation.name
        self._limits_by_name[name] = organisation.rate_per_s
        bucket = self._bucket(name, now_ms)
        self._refill(name, bucket, now_ms)
        bucket.demand_per_s += 1000.0 / DEMAND_DECAY_MS
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return None
        bucket.was_refused = True
        self.refusals += 1
        rate = max(self.rate_per_s(name, now_ms), 1e-3)
        retry_at_ms = now_ms + (1.0 - bucket.tokens) / rate * 1000.0
        detail = f"{name} may send {organisation.rate_per_s:g} requests a second"
        return Failure(RATE_LIMITED, detail, retry_at_ms=retry_at_ms)

    def rate_per_s(self, name, now_ms):
        """Return the rate that this instance may admit, loans included."""
        bucket = self._bucket(name, now_ms)
        bucket.remove_expired_loans(now_ms)
        lent_per_s = sum(loan.per_s for loan in bucket.lent_loans)
        borrowed_per_s = sum(loan.per_s for loan in bucket.borrowed_loans)
        return max(0.0, self._share_per_s(name) - lent_per_s) + borrowed_per_s

    def pop_shortfalls(self, now_ms):
        """Return the rate that each organisation lacks here, in requests per second.

        Covers the organisations with a refusal since the last call.
        """
        shortfalls_by_name = {}
        for name, bucket in self._buckets_by_name.items():
            self._refill(name, bucket, now_ms)
            if not bucket.was_refused:
                continue
            bucket.was_refused = False
            target = min(
                bucket.demand_per_s * DEMAND_HEADROOM_FACTOR, self._limits_by_name[name]
            )
            shortfall_per_s = target - self.rate_per_s(name, now_ms)
            if shortfall_per_s > MIN_LOAN_PER_S:
                shortfalls_by_name[name] = shortfall_per_s
        return shortfalls_by_name

    def lend(self, name, limit_per_s, wanted_per_s, now_ms):
        """Return the rate lent, which is subtracted from the local rate at once."""
        self._limits_by_name.setdefault(name, limit_per_s)
        bucket = self._bucket(name, now_ms)
        self._refill(name, bucket, now_ms)
        lent_per_s = sum(loan.per_s for loan in bucket.lent_loans)
        reserved_per_s = min(
            bucket.demand_per_s * DEMAND_HEADROOM_FACTOR, self._share_per_s(name)
        )
        spare_per_s = self._share_per_s(name) - lent_per_s - reserved_per_s
        per_s = min(spare_per_s, wanted_per_s)
        if per_s < MIN_LOAN_PER_S:
            return 0.0
        bucket.lent_loans.append(
            Loan(per_s, now_ms + LOAN_DURATION_MS + LOAN_MARGIN_MS)
        )
        bucket.tokens = min(bucket.tokens, self._burst_tokens(name, now_ms))
        return per_s

    def add_borrowed(self, name, per_s, requested_ms, now_ms):
        """Add a loan, which runs from the clock reading at which it was requested."""
        bucket = self._bucket(name, now_ms)
        self._refill(name, bucket, now_ms)
        bucket.borrowed_loans.append(Loan(per_s, requested_ms + LOAN_DURATION_MS))

    def limit_per_s(self, name):
        """Return the last known limit of an organisation over all instances."""
        return self._limits_by_name[name]

    def _share_per_s(self, name):
        return self._limits_by_name.get(name, 0.0) / self.instance_count.divisor()

    def _burst_tokens(self, name, now_ms):
        return max(1.0, self.rate_per_s(name, now_ms) * BURST_S)

    def _bucket(self, name, now_ms):
        bucket = self._buckets_by_name.get(name)
        if bucket is None:
            tokens = max(1.0, self._share_per_s(name) * BURST_S)
            bucket = self._buckets_by_name[name] = _Bucket(tokens, now_ms)
        return bucket

    def _refill(self, name, bucket, now_ms):
        """Add the tokens earned since the last call; each loan counts until it ends."""
        elapsed_ms = max(0.0, now_ms - bucket.refilled_ms)
        lent_per_s = sum(loan.per_s for loan in bucket.lent_loans)
        gained = max(0.0, self._share_per_s(name) - lent_per_s) * elapsed_ms
        for loan in bucket.borrowed_loans:
            used_ms = min(now_ms, loan.until_ms) - bucket.refilled_ms
            gained += loan.per_s * max(0.0, used_ms)
        bucket.refilled_ms = now_ms
        bucket.remove_expired_loans(now_ms)
        burst = self._burst_tokens(name, now_ms)
        bucket.tokens = min(burst, bucket.tokens + gained / 1000.0)
        bucket.demand_per_s *= max(0.0, 1.0 - elapsed_ms / DEMAND_DECAY_MS)

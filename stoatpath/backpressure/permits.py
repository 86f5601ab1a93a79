"""Permits to send to backend servers with a limit: token buckets, no I/O."""

# Permits that accumulate while none is requested: seconds of the rate, and the least.
BURST_S = 0.25
MIN_BURST = 2.0
# An instance that was refused a permit counts as waiting for this time.
WAITING_MS = 5_000.0
MAX_WAIT_MS = 5_000.0
# Waiting instances return twice as often as there are permits, as some of them have no
# request by then.
RETURN_FACTOR = 2.0


class PermitGrant:
    """`count` permits; `retry_at_ms` is when to ask again if there are none."""

    __slots__ = ("count", "retry_at_ms")

    def __init__(self, count, retry_at_ms):
        self.count = count
        self.retry_at_ms = retry_at_ms


class _Bucket:
    """The tokens of one backend server, and until when each instance is waiting."""

    __slots__ = ("tokens", "refilled_ms", "waits_until_ms_by_instance")

    def __init__(self, now_ms):
        self.tokens = 0.0
        self.refilled_ms = now_ms
        self.waits_until_ms_by_instance = {}


class PermitIssuer:
    """Grants permits at a rate for each backend server.

    The bucket of a backend server is empty at first, so that a change of the issuer
    never adds permits.
    """

    __slots__ = ("_buckets_by_backend",)

    def __init__(self):
        self._buckets_by_backend = {}

    def grant(self, backend, instance, wanted, rate_per_s, now_ms):
        """Return a `PermitGrant` of at most `wanted` permits to an instance."""
        bucket = self._buckets_by_backend.get(backend)
        if bucket is None:
            bucket = self._buckets_by_backend[backend] = _Bucket(now_ms)
        elapsed_s = max(0.0, now_ms - bucket.refilled_ms) / 1000
        burst = max(MIN_BURST, BURST_S * rate_per_s)
        bucket.tokens = min(burst, bucket.tokens + rate_per_s * elapsed_s)
        bucket.refilled_ms = now_ms
        waits = bucket.waits_until_ms_by_instance
        count = min(wanted, int(bucket.tokens))
        if count > 0:
            bucket.tokens -= count
            waits.pop(instance, None)
            return PermitGrant(count, now_ms)
        waits[instance] = now_ms + WAITING_MS
        for name in [name for name in waits if waits[name] <= now_ms]:
            del waits[name]
        wait_s = max(
            (1.0 - bucket.tokens) / rate_per_s, len(waits) / rate_per_s / RETURN_FACTOR
        )
        return PermitGrant(0, now_ms + min(MAX_WAIT_MS, wait_s * 1000))

    def retain_backends(self, names):
        """Drop the state of all backend servers but the named ones."""
        for name in [name for name in self._buckets_by_backend if name not in names]:
            del self._buckets_by_backend[name]

"""Until when a gateway that stops takes requests, and by when it answers them."""

from stoatpath.outcomes import SHUTTING_DOWN, Failure

# The platform probes readiness once a second and removes an instance after two failed
# probes. Connections made before the removal still carry new requests.
READINESS_LAG_MS = 3_000.0
MAX_READINESS_LAG_SHARE = 0.375
# Left for the process to exit before the platform kills it. With the time for final
# answers it is less than a sixth of the grace period: work that lasts until then may
# be given up.
EXIT_MARGIN_MS = 900.0
MAX_EXIT_MARGIN_SHARE = 0.12
# Between the last deadline and the moment when what is still open is answered.
FINAL_ANSWERS_MS = 200.0
MAX_FINAL_ANSWERS_SHARE = 0.03
# Time for the requests that have arrived when no more connections are accepted.
LAST_REQUESTS_MS = 500.0
MAX_LAST_REQUESTS_SHARE = 0.0625
# Share of the grace period before `abort_at_ms` in which no new request is accepted:
# an accepted request needs time to end.
NO_ACCEPT_SHARE = 0.2
# Share of the exit margin in which the last answers are written, and their least time.
WRITE_SHARE = 0.5
MIN_WRITE_MS = 100.0


class StopTimes:
    """Clock readings of a stop, infinite unless the instance stops.

    Until `accept_all_until_ms` it takes all requests, then until `accept_until_ms`
    those whose own deadline is not later than `end_by_ms`. That is the latest deadline
    that backend servers are given. At `last_requests_ms` no more connections are
    accepted, at `abort_at_ms` all open requests are answered, and at `write_until_ms`
    the connections close.
    """

    __slots__ = (
        "accept_all_until_ms",
        "accept_until_ms",
        "last_requests_ms",
        "end_by_ms",
        "abort_at_ms",
        "write_until_ms",
    )

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, float("inf"))

    def begin(self, began_ms, grace_ms):
        """Set the times of a stop that began at a clock reading."""
        exit_margin_ms = min(EXIT_MARGIN_MS, MAX_EXIT_MARGIN_SHARE * grace_ms)
        lag_ms = min(READINESS_LAG_MS, MAX_READINESS_LAG_SHARE * grace_ms)
        self.accept_all_until_ms = began_ms + lag_ms
        self.abort_at_ms = began_ms + grace_ms - exit_margin_ms
        self.accept_until_ms = self.abort_at_ms - NO_ACCEPT_SHARE * grace_ms
        self.end_by_ms = self.abort_at_ms - min(
            FINAL_ANSWERS_MS, MAX_FINAL_ANSWERS_SHARE * grace_ms
        )
        self.last_requests_ms = self.abort_at_ms - min(
            LAST_REQUESTS_MS, MAX_LAST_REQUESTS_SHARE * grace_ms
        )
        self.write_until_ms = self.abort_at_ms + max(
            MIN_WRITE_MS, WRITE_SHARE * exit_margin_ms
        )

    def limit(self, deadline_ms):
        """Return a deadline that is not later than the end of the instance."""
        return min(deadline_ms, self.end_by_ms)

    def check_arrival(self, now_ms, deadline_ms):
        """Return the failure of a request that arrives too late, or None."""
        if now_ms > self.accept_until_ms:
            return _too_late()
        return self.check_first_send(now_ms, deadline_ms)

    def check_first_send(self, now_ms, deadline_ms):
        """Return the failure of a request that must not begin to run, or None.

        It has not run, and can run elsewhere; here it might not end in time.
        """
        if now_ms <= self.accept_all_until_ms or deadline_ms <= self.end_by_ms:
            return None
        return _too_late()

    def check_send(self, now_ms, request):
        """Return the failure of a request that must not be sent any more, or None."""
        if request.run_count and now_ms < self.end_by_ms:
            return None
        return self.check_first_send(now_ms, request.deadline_ms)


def _too_late():
    return Failure(SHUTTING_DOWN, "the instance stops before it could end")

"""Times until which backend servers want no requests from this instance."""

import logging

logger = logging.getLogger(__name__)

# Added at random, so that instances that were turned away together return one by one.
SPREAD_SHARE = 0.1
MAX_SPREAD_MS = 1_000.0


class HoldOffs:
    """The end of each hold-off, as a clock reading, by backend server."""

    __slots__ = ("_until_ms_by_name", "_started_ms_by_name", "_random")

    def __init__(self, random):
        self._until_ms_by_name = {}
        self._started_ms_by_name = {}
        self._random = random

    def observe(self, name, signals, now_ms, sent_ms=float("inf")):
        """Record the signals of an answer; return whether the hold-off changed.

        An answer to a request sent before the process was new is of an earlier one.
        """
        if signals.hold_off_ms is None:
            return False
        if sent_ms < self._started_ms_by_name.get(name, float("-inf")):
            return False
        spread_ms = min(MAX_SPREAD_MS, SPREAD_SHARE * signals.hold_off_ms)
        until_ms = now_ms + signals.hold_off_ms + self._random.uniform(0.0, spread_ms)
        if until_ms <= self.until_ms(name):
            return False
        self._until_ms_by_name[name] = until_ms
        logger.info(
            "backends.held-off",
            extra={"backend": name, "for_ms": round(until_ms - now_ms)},
        )
        return True

    def extend(self, name, until_ms):
        """Hold a backend server off until a clock reading; return the end in force."""
        until_ms = max(until_ms, self.until_ms(name))
        self._until_ms_by_name[name] = until_ms
        return until_ms

    def forget(self, name, now_ms):
        """End the hold-off of a backend server whose process is new."""
        self._until_ms_by_name.pop(name, None)
        self._started_ms_by_name[name] = now_ms

    def until_ms(self, name):
        """Return the end of the last hold-off of a backend server, -inf for none."""
        return self._until_ms_by_name.get(name, float("-inf"))

    def names(self):
        """Return the names of all backend servers that were held off."""
        return self._until_ms_by_name.keys()

    def has_any(self):
        """Return whether any backend server was held off."""
        return bool(self._until_ms_by_name)

    def count(self, now_ms):
        """Return the number of backend servers that are held off."""
        return sum(until_ms > now_ms for until_ms in self._until_ms_by_name.values())

    def retain_backends(self, names):
        """Drop the state of all backend servers but the named ones."""
        for by_name in (self._until_ms_by_name, self._started_ms_by_name):
            for name in [name for name in by_name if name not in names]:
                del by_name[name]

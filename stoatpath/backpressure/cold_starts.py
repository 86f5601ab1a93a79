"""Which backend servers are cold, until when, and how many requests they may get.

A cold backend server crashes if all instances together send it more than a number of
requests in one second. The number follows from the configuration of its service and
from the settings of the deployment; without these, no bound applies.
"""

import logging

from stoatpath.membership.directories import ADDED, FIRST_TABLE, RESTARTED

logger = logging.getLogger(__name__)

# After the cold time the bound doubles with each step, then it ends.
RAMP_STEP_MS = 1_000.0
RAMP_STEPS = 2
RAMP_MS = RAMP_STEPS * RAMP_STEP_MS
# A row that arrives sooner after a failed connection may have been written before it.
ROW_DELAY_MS = 1_000.0
# Until all instances know that a backend server is cold, those that don't may send any
# number of requests. Rows take up to half a second, and a second has to be kept.
SPREAD_MS = 1_000.0
# Ends told by other instances grow by the time that messages take. A later end is new
# knowledge only if it differs by more.
MERGE_TOLERANCE_MS = 500.0
MAX_COLD_MS = 600_000.0
# Failed servers of a zone or a service, without an answer of another one meanwhile,
# from which all of it count as failed. Few instances try each before all return.
FAILED_TOGETHER = 2
MAX_PER_S = 1e6
MAX_REMEMBERED_TEXTS = 100
NEVER_MS = float("-inf")
# Reasons in logs.
BY_ROW = "its entry says so"
BY_START = "it has started"
BY_ZONE = "its zone has returned"
BY_FAILURE = "a connection to it failed"
BY_INSTANCE = "another instance says so"
BY_SERVICE = "the configuration of its service"


class _ColdServer:
    """What is known of one backend server; all times are clock readings.

    `row_end_ms` is the end of the cold time by its entry, `told_end_ms` by another
    instance, which also named `told_per_s` at `told_ms`. It counts as started at
    `started_ms` and as returned with its zone at `returned_ms`. `failed_ms` is the last
    failed connection since the last entry, `answered_ms` the first answer after it.
    `since_ms` is since when the current cold time is known, other than by a failed
    connection.
    """

    __slots__ = (
        "service",
        "zone",
        "row_end_ms",
        "told_end_ms",
        "told_per_s",
        "told_ms",
        "started_ms",
        "returned_ms",
        "failed_ms",
        "answered_ms",
        "since_ms",
        "is_logged",
    )

    def __init__(self):
        self.service = None
        self.zone = None
        self.returned_ms = NEVER_MS
        self.is_logged = False
        self.reset()

    def reset(self):
        """Forget an earlier process of the name; its zone remains."""
        self.row_end_ms = NEVER_MS
        self.told_end_ms = NEVER_MS
        self.told_per_s = None
        self.told_ms = NEVER_MS
        self.started_ms = NEVER_MS
        self.failed_ms = None
        self.answered_ms = None
        self.since_ms = None

    def known_end_ms(self, cold_ms):
        """Return the end of the cold time, failed connections left out."""
        return max(
            self.row_end_ms,
            self.told_end_ms,
            self.started_ms + cold_ms,
            self.returned_ms + cold_ms,
        )

    def end_ms(self, cold_ms):
        """Return the end of the cold time; `cold_ms` is that of its service."""
        end_ms = self.known_end_ms(cold_ms)
        if self.failed_ms is None:
            return end_ms
        if self.answered_ms is None:
            return float("inf")
        return max(end_ms, self.answered_ms + cold_ms)


class ColdStartTable:
    """Cold backend servers by name, with the bound on requests a second.

    The bound is the rate that the service configures times `over`, plus `slack`
    requests. With `over` None no backend server has one.
    """

    __slots__ = (
        "by_name",
        "_over",
        "_slack",
        "_services_by_name",
        "_watched",
        "_failed_names_by_scope",
        "_unreadable_texts",
    )

    def __init__(self, over=None, slack=0.0):
        self.by_name = {}
        self._services_by_name = {}
        self._watched = set()
        self._failed_names_by_scope = {}
        self._unreadable_texts = set()
        self.set_bound(over, slack)

    def set_bound(self, over, slack):
        """Set the factor and the addend of the bound; None for no bound."""
        self._over = over
        self._slack = slack

    def set_services(self, services_by_name, now_ms):
        """Apply the `RoutedService`s in force."""
        self._services_by_name = services_by_name
        for service in services_by_name.values():
            for text in service.unreadable:
                self._log_unreadable(text, service=service.name)
        for name in self._watched:
            self._log_change(name, BY_SERVICE, now_ms)

    def observe_entry(self, entry, change, now_ms):
        """Record the `ListedBackend` of a row and what it changed in the directory.

        A row that states no cold time says nothing, unless the process is new.
        """
        server = self.by_name.setdefault(entry.name, _ColdServer())
        server.service = entry.service
        server.zone = entry.zone
        for text in entry.unreadable:
            self._log_unreadable(text, backend=entry.name)
        why = BY_ROW
        if change is RESTARTED:
            server.reset()
        left_ms = entry.cold_left_ms
        if left_ms is not None:
            server.started_ms = NEVER_MS
            ends_ms = now_ms + left_ms
            server.row_end_ms = (
                ends_ms if left_ms > 0.0 else min(server.row_end_ms, ends_ms)
            )
            if left_ms == 0.0 and now_ms >= server.told_ms + ROW_DELAY_MS:
                server.told_end_ms = min(server.told_end_ms, now_ms)
        elif change in (ADDED, RESTARTED):
            server.started_ms = now_ms
            why = BY_START
        failed_ms = server.failed_ms
        is_later = failed_ms is not None and now_ms >= failed_ms + ROW_DELAY_MS
        if is_later or change is FIRST_TABLE:
            server.failed_ms = server.answered_ms = None
        self._watch(entry.name, why, now_ms)

    def observe_restart(self, name, now_ms):
        """Record that a process has started under the name of a backend server."""
        server = self.by_name.setdefault(name, _ColdServer())
        server.reset()
        server.started_ms = now_ms
        self._watch(name, BY_START, now_ms)

    def observe_zone_return(self, zone, now_ms):
        """Record that a drained zone is back: all of its backend servers are cold."""
        for name, server in self.by_name.items():
            if server.zone == zone:
                server.returned_ms = now_ms
                self._watch(name, BY_ZONE, now_ms)

    def observe_failure(self, name, now_ms):
        """Record that a connection failed: the process may be another one next time."""
        server = self.by_name.get(name)
        if server is None or self._parameters(server) is None:
            return
        self._record_failure(name, server, now_ms)
        for scope in _scopes(server):
            failed = self._failed_names_by_scope.setdefault(scope, set())
            is_new = name not in failed
            failed.add(name)
            if is_new and len(failed) >= FAILED_TOGETHER:
                self._suspect_scope(scope, now_ms)

    def observe_pause(self, now_ms):
        """Record that this process stood still: any backend server may be new."""
        for name, server in self.by_name.items():
            if self._parameters(server) is not None:
                server.failed_ms = now_ms
                server.answered_ms = None
                self._watched.add(name)

    def observe_answer(self, name, sent_ms, now_ms):
        """Record the answer to a request sent at `sent_ms`."""
        server = self.by_name.get(name)
        if server is None:
            return
        for scope in _scopes(server):
            self._failed_names_by_scope.pop(scope, None)
        if server.failed_ms is None:
            return
        if server.answered_ms is None and sent_ms > server.failed_ms:
            server.answered_ms = now_ms

    def merge(self, name, left_ms, per_s, now_ms):
        """Record what another instance knows: the cold time left and the rate.

        A negative time is the time since the end of the cold time.
        """
        server = self.by_name.setdefault(name, _ColdServer())
        told_end_ms = now_ms + left_ms
        parameters = self._parameters(server)
        known_end_ms = server.end_ms(parameters[0] if parameters else 0.0)
        if told_end_ms > known_end_ms + MERGE_TOLERANCE_MS:
            server.told_end_ms = told_end_ms
            server.told_per_s = per_s
            server.told_ms = now_ms
            self._watch(name, BY_INSTANCE, now_ms)

    def has_any(self):
        """Return whether any backend server may have a bound in force."""
        return self._over is not None and bool(self._watched)

    def limit_per_s(self, name, now_ms):
        """Return how many requests all instances may send in a second, or None."""
        if self._over is None or name not in self._watched:
            return None
        server = self.by_name[name]
        parameters = self._parameters(server)
        if parameters is None:
            return None
        cold_ms, per_s = parameters
        over_ms = now_ms - server.end_ms(cold_ms)
        if over_ms >= RAMP_MS:
            return None
        bound_per_s = per_s * self._over + self._slack
        if over_ms < 0.0:
            return bound_per_s
        return bound_per_s * 2.0 ** (1 + int(over_ms / RAMP_STEP_MS))

    def is_spreading(self, name, now_ms):
        """Return whether other instances may not know yet that it is cold."""
        server = self.by_name[name]
        parameters = self._parameters(server)
        if parameters is None or now_ms >= server.end_ms(parameters[0]):
            return False
        return server.since_ms is None or now_ms < server.since_ms + SPREAD_MS

    def knowledge(self, name, now_ms):
        """Return the cold time left in ms and the rate of the service, or None."""
        if self.limit_per_s(name, now_ms) is None:
            return None
        server = self.by_name[name]
        cold_ms, per_s = self._parameters(server)
        end_ms = server.end_ms(cold_ms)
        left_ms = cold_ms if end_ms == float("inf") else end_ms - now_ms
        return min(MAX_COLD_MS, left_ms), per_s

    def watched_names(self):
        """Return the names of those that are cold or were a moment ago."""
        return self._watched

    def count(self, now_ms):
        """Return the number of backend servers with a bound in force."""
        return sum(self.limit_per_s(name, now_ms) is not None for name in self._watched)

    def expire(self, now_ms):
        """End the watch of backend servers that have become warm."""
        for name in list(self._watched):
            server = self.by_name[name]
            parameters = self._parameters(server)
            # Without a configuration, the cold time of its service isn't known yet.
            cold_ms = parameters[0] if parameters else MAX_COLD_MS
            if now_ms >= server.end_ms(cold_ms) + RAMP_MS:
                self._watched.discard(name)
                if server.is_logged:
                    server.is_logged = False
                    logger.info("backends.warm", extra={"backend": name})

    def retain_backends(self, names):
        """Drop the state of all backend servers but the named ones."""
        for name in [name for name in self.by_name if name not in names]:
            del self.by_name[name]
            self._watched.discard(name)

    def _record_failure(self, name, server, now_ms):
        server.failed_ms = now_ms
        server.answered_ms = None
        self._watch(name, BY_FAILURE, now_ms)

    def _suspect_scope(self, scope, now_ms):
        """Take all backend servers of a zone or a service for failed."""
        for name, server in self.by_name.items():
            if scope in _scopes(server) and server.failed_ms is None:
                self._record_failure(name, server, now_ms)

    def _parameters(self, server):
        """Return the cold time in ms and the rate of a backend server, or None."""
        service = self._services_by_name.get(server.service)
        if service is not None and service.cold_start_ms and service.cold_start_per_s:
            per_s = service.cold_start_per_s
            if server.told_per_s is not None:
                per_s = min(per_s, server.told_per_s)
            return service.cold_start_ms, per_s
        return None if server.told_per_s is None else (0.0, server.told_per_s)

    def _watch(self, name, why, now_ms):
        self._watched.add(name)
        server = self.by_name[name]
        parameters = self._parameters(server)
        is_cold = now_ms < server.known_end_ms(parameters[0] if parameters else 0.0)
        if not is_cold:
            server.since_ms = None
        elif server.since_ms is None:
            server.since_ms = now_ms
        self._log_change(name, why, now_ms)

    def _log_change(self, name, why, now_ms):
        server = self.by_name[name]
        limit_per_s = self.limit_per_s(name, now_ms)
        if server.is_logged or limit_per_s is None:
            return
        server.is_logged = True
        left_ms, _ = self.knowledge(name, now_ms)
        logger.info(
            "backends.cold",
            extra={
                "backend": name,
                "why": why,
                "for_ms": round(left_ms),
                "per_s": limit_per_s,
            },
        )

    def _log_unreadable(self, text, **subject):
        """Log a text once, as every row may repeat it."""
        key = (text, *subject.values())
        if key in self._unreadable_texts:
            return
        if len(self._unreadable_texts) < MAX_REMEMBERED_TEXTS:
            self._unreadable_texts.add(key)
            extra = {**subject, "text": text}
            logger.warning("backends.cold-time-unreadable", extra=extra)


def _scopes(server):
    """Return the keys of the zone and of the service of a backend server."""
    return (server.service, server.zone), (server.service, None)


def decode_knowledge(data):
    """Return the cold time left in ms and the rate that a message states, or None.

    Raises `ValueError` if it is malformed.
    """
    if data is None:
        return None
    if not isinstance(data, (list, tuple)) or len(data) != 2:
        raise ValueError(f"no cold time: {data!r}")
    for value in data:
        if not isinstance(value, (int, float)) or isinstance(value, bool):
            raise ValueError(f"no cold time: {data!r}")
    left_ms, per_s = data
    if not -RAMP_MS <= left_ms <= MAX_COLD_MS or not 0.0 < per_s <= MAX_PER_S:
        raise ValueError(f"no cold time: {data!r}")
    return float(left_ms), float(per_s)

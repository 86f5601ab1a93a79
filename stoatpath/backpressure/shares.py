"""This instance's share of the slots of backend servers that must not be overrun."""

import logging

from stoatpath.utils import rendezvous_rank

logger = logging.getLogger(__name__)

# Shortest and longest pause after a rejection, drawn at random to spread instances.
REJECTED_PAUSE_MS = (1_000.0, 1_500.0)


class SlotShares:
    """Splits slots among the instances, for backend servers that limit rejections.

    Such a backend server ends if it has to reject too many requests in a second. While
    one of a service says so, all of the service count as such, and the instances
    together send each no more requests at a time than it has slots. Each computes the
    same split from the members that it knows.
    """

    __slots__ = (
        "_members",
        "_random",
        "_heard_ms_by_service",
        "_ranked_names",
        "_rank_by_backend",
    )

    def __init__(self, members, random):
        self._members = members
        self._random = random
        self._heard_ms_by_service = {}
        self._ranked_names = ()
        self._rank_by_backend = {}

    def observe(self, service, signals, sent_ms, now_ms):
        """Record the signals of an answer to a request sent at `sent_ms`."""
        heard_ms = self._heard_ms_by_service.get(service)
        if signals.max_rejections_per_s is not None:
            self._heard_ms_by_service[service] = now_ms
            if heard_ms is None:
                self._log_change(service, signals.max_rejections_per_s)
        elif heard_ms is not None and sent_ms > heard_ms and signals.is_authentic:
            del self._heard_ms_by_service[service]
            self._log_change(service, None)

    def has_any(self):
        """Return whether any service limits rejections."""
        return bool(self._heard_ms_by_service)

    def limits_rejections(self, service):
        """Return whether a service limits rejections."""
        return service in self._heard_ms_by_service

    def allowed(self, backends):
        """Return how many requests may be in flight from here, by backend server.

        The shares of all instances add up to the slots of each backend server. An
        instance that would have none at all gets one where it ranks first.
        """
        local = self._members.local
        names = tuple(self._members.live_names(local.role)) or (local.name,)
        if names != self._ranked_names:
            self._ranked_names = names
            self._rank_by_backend = {}
        allowed = {}
        ranks = {}
        for backend in backends:
            rank = ranks[backend.name] = self._rank(backend.name, names)
            extra = rank < backend.slots % len(names)
            allowed[backend.name] = backend.slots // len(names) + extra
        if allowed and not any(allowed.values()):
            allowed[min(ranks, key=ranks.get)] = 1
        return allowed

    def pause_ms(self):
        """Return the pause that a backend server gets from here after a rejection."""
        return self._random.uniform(*REJECTED_PAUSE_MS)

    def _rank(self, backend, names):
        """Return the place of this instance among all at a backend server."""
        if backend not in self._rank_by_backend:
            ranked = rendezvous_rank(f"slots/{backend}", names)
            local_name = self._members.local.name
            is_member = local_name in names
            rank = ranked.index(local_name) if is_member else len(names)
            self._rank_by_backend[backend] = rank
        return self._rank_by_backend[backend]

    @staticmethod
    def _log_change(service, max_rejections_per_s):
        logger.warning(
            "backends.rejection-limit",
            extra={
                "service": service,
                "max_rejections_per_s": max_rejections_per_s,
            },
        )

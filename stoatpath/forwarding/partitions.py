"""Detects that this instance reaches none of the backend servers of a service."""

import asyncio
import logging

from stoatpath.outcomes import CONNECT_FAILED, SILENT_CONNECTION
from stoatpath.utils import cancel_and_wait

logger = logging.getLogger(__name__)

SUSPICIOUS_REASONS = (CONNECT_FAILED, SILENT_CONNECTION)
# Backend servers that are contacted at the same time.
PROBED_BACKENDS = 4
RECHECK_PERIOD_MS = 300.0
# Failures of backend servers are frequent where these are overloaded or leave.
CHECK_PERIOD_MS = 200.0


class PartitionDetector:
    """The services of which no backend server accepts connections from here.

    Either this instance is cut off, or all of them are down: that can't be told from
    here. `is_reachable` is a coroutine function that returns whether an address accepts
    connections. Each of `observers` is called with a service when the belief changes.
    """

    __slots__ = (
        "observers",
        "_backends",
        "_is_reachable",
        "_clock",
        "_random",
        "_since_ms_by_service",
        "_next_check_ms_by_service",
        "_checks_by_service",
    )

    def __init__(self, backends, is_reachable, clock, random):
        self.observers = []
        self._backends = backends
        self._is_reachable = is_reachable
        self._clock = clock
        self._random = random
        self._since_ms_by_service = {}
        self._next_check_ms_by_service = {}
        self._checks_by_service = {}

    def observe(self, result):
        """Start a check after an `AttemptResult` that looks like a partition."""
        if result.reason not in SUSPICIOUS_REASONS:
            return
        service = result.request.service.name
        now_ms = self._clock.now_ms()
        if service in self._checks_by_service:
            return
        if now_ms < self._next_check_ms_by_service.get(service, float("-inf")):
            return
        self._next_check_ms_by_service[service] = now_ms + CHECK_PERIOD_MS
        task = asyncio.get_running_loop().create_task(self._check(service))
        self._checks_by_service[service] = task
        task.add_done_callback(lambda _: self._checks_by_service.pop(service, None))

    def is_unreachable(self, service):
        """Return whether no backend server of a service can be reached."""
        return service in self._since_ms_by_service

    def unreachable_services(self):
        """Return the names of all such services."""
        return list(self._since_ms_by_service)

    async def close(self):
        """Cancel all tasks."""
        await cancel_and_wait(list(self._checks_by_service.values()))

    async def _check(self, service):
        """Probe backend servers; if none can be reached, go on until one can."""
        if await self._probe(service):
            return
        started_ms = self._clock.now_ms()
        self._since_ms_by_service[service] = started_ms
        logger.warning("backends.unreachable", extra={"service": service})
        self._notify(service)
        try:
            while True:
                due_ms = self._clock.now_ms() + RECHECK_PERIOD_MS
                await self._clock.sleep_until(due_ms)
                if await self._probe(service):
                    break
        finally:
            del self._since_ms_by_service[service]
        after_ms = round(self._clock.now_ms() - started_ms)
        logger.info(
            "backends.reachable", extra={"service": service, "after_ms": after_ms}
        )
        self._notify(service)

    async def _probe(self, service):
        """Return whether one of some backend servers of a service can be reached."""
        backends = self._backends.of_service(service)
        probed = self._random.sample(backends, min(PROBED_BACKENDS, len(backends)))
        answers = await asyncio.gather(
            *(self._is_reachable(backend.address) for backend in probed)
        )
        return any(answers) or not probed

    def _notify(self, service):
        for observer in self.observers:
            observer(service)

"""Reports attempts that were lost because their backend server ended."""

import asyncio
import logging

from stoatpath.outcomes import BROKEN_ANSWER, SILENT_CONNECTION
from stoatpath.quarantine.messages import LostAttempt, whole_request_name
from stoatpath.utils import cancel_and_wait

logger = logging.getLogger(__name__)

LOST_REASONS = (BROKEN_ANSWER, SILENT_CONNECTION)
# All connections of a backend server that ends are lost within this time. It accepts
# none at the end of it, unless it is back already.
COLLECT_MS = 20.0
# Other backend servers that are contacted, to rule out that this instance is cut off.
COMPARED_BACKENDS = 3
MAX_REPORTED_ATTEMPTS = 64


class CrashReporter:
    """Finds out whether a lost attempt means that its backend server has ended.

    `is_reachable` is a coroutine function that returns whether an address accepts
    connections. `report` is a coroutine function that gets a service and the
    `LostAttempt`s of one crash.
    """

    __slots__ = (
        "crashes",
        "_backends",
        "_is_reachable",
        "_report",
        "_clock",
        "_random",
        "_results_by_backend",
        "_tasks",
    )

    def __init__(self, backends, is_reachable, report, clock, random):
        self.crashes = 0
        self._backends = backends
        self._is_reachable = is_reachable
        self._report = report
        self._clock = clock
        self._random = random
        self._results_by_backend = {}
        self._tasks = set()

    def observe(self, result):
        """Look at the `AttemptResult` of an attempt."""
        if result.reason not in LOST_REASONS or result.events:
            return
        results = self._results_by_backend.get(result.backend)
        if results is not None:
            results.append(result)
            return
        self._results_by_backend[result.backend] = [result]
        check = self._check(result.backend, result.request.service.name)
        task = asyncio.get_running_loop().create_task(check)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self):
        """Cancel all tasks."""
        await cancel_and_wait(list(self._tasks))

    async def _check(self, name, service):
        collected_ms = self._clock.now_ms() + COLLECT_MS
        try:
            # It may be back soon, so it is contacted at once, too.
            has_ended = await self._has_ended(name)
            await self._clock.sleep_until(collected_ms)
            has_ended = has_ended or await self._has_ended(name)
        finally:
            results = self._results_by_backend.pop(name)
        attempts = [_lost_attempt(result) for result in results]
        if not has_ended:
            extra = {"backend": name, "lost": len(attempts)}
            logger.info("backends.connections-lost", extra=extra)
            return
        self.crashes += 1
        for result in results:
            result.request.crashes += 1
        logger.info(
            "backends.crashed",
            extra={
                "backend": name,
                "lost": len(attempts),
                "begun": [each.request_id for each in attempts if each.has_begun],
            },
        )
        # Attempts that had begun first: they are the stronger evidence.
        attempts.sort(key=lambda each: not each.has_begun)
        await self._report(service, attempts[:MAX_REPORTED_ATTEMPTS])

    async def _has_ended(self, name):
        """Return whether a backend server is unreachable while others are not.

        All of a service may have ended, so those of other services count too.
        """
        backend = self._backends.by_name.get(name)
        if backend is None:
            return True
        if await self._is_reachable(backend.address):
            return False
        others = [each for each in self._backends.by_name.values() if each.name != name]
        of_service = [each for each in others if each.service == backend.service]
        of_other_services = [each for each in others if each not in of_service]
        for group in (of_service, of_other_services):
            if await self._is_any_reachable(group):
                return True
        return not others

    async def _is_any_reachable(self, backends):
        """Return whether one of some backend servers accepts connections."""
        compared = self._random.sample(backends, min(COMPARED_BACKENDS, len(backends)))
        answers = await asyncio.gather(
            *(self._is_reachable(each.address) for each in compared)
        )
        return any(answers)


def _lost_attempt(result):
    request = result.request
    return LostAttempt(
        result.backend,
        request.request_id,
        request.shared_part_names,
        whole_request_name(request.content),
        result.first_byte_ms is not None,
        result.started_ms,
        result.ended_ms,
    )

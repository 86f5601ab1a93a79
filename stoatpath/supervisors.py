"""Runs the tasks of a process, and starts a task again when it fails."""

import asyncio
import logging

from stoatpath.utils import cancel_and_wait

logger = logging.getLogger(__name__)

# The pause before a failed task starts again. The first is short, since most errors
# come from one message or row; the last keeps an error that returns at once from using
# the processor or the store.
FIRST_PAUSE_MS = 100.0
MAX_PAUSE_MS = 5_000.0
MIN_JITTER = 0.5
# A task that ran for two of the longest pauses without an error has recovered.
RECOVERED_AFTER_MS = 2 * MAX_PAUSE_MS
# Errors of a single message or of a short outage have ended by then.
LASTING_AFTER_MS = 30_000.0

# What the process can't do while a task isn't running, for its log lines.
LOSS_BY_TASK = {
    "answers": "session pins are not archived",
    "backends": "changes of backend servers are not seen",
    "billing": "billing records are not written, and billed requests are refused",
    "capacities": "the admission capacity is not updated",
    "changes": "new revisions reach peers only with regular gossip",
    "claims": "claims of idempotency keys are not renewed",
    "cleanup": "unused connections and state of removed servers stay",
    "configuration": "changes of the configuration come from peers only",
    "counts": "counts of roll-outs are not passed on",
    "fetches": "changes of the configuration come from the table only",
    "gossip": "members that come, leave or fail are not seen",
    "history": "old revisions of the configuration are not archived",
    "instances": "the platform's list of instances is not read",
    "leases": "leases are not renewed, and another controller takes them",
    "maintenance": "capacities are not updated, and state of removed servers stays",
    "mirrors": "billing records of failed peers are not written",
    "operator-rows": "the configuration and the orders are not read from the store",
    "pins": "session pins are not handed over",
    "placement": "models are not placed",
    "quarantine-rows": "quarantines are not read from the store",
    "rates": "shares of rate limits are not exchanged",
    "ratings": "counts of rated answers are not reported",
    "releases": "roll-outs do not advance and are not rolled back by this instance",
    "replacements": "this instance stays ready whatever fails",
    "rollout-decisions": "roll-outs do not advance",
    "rollouts": "the state of roll-outs is not read",
    "server-rows": "the list of backend servers is not read from the store",
    "status-rows": "the states of roll-outs are not read from the store",
    "sweeper": "expired claims stay in the table",
    "tables": "tables are not fetched from other instances",
    "tls": "changed certificates are not loaded",
}


class Supervisor:
    """Starts tasks, and starts each again after an error, with growing pauses.

    Nothing here ends the process. `failures_by_task` counts the errors by the name of
    the task. A task that returns has failed as well, since tasks run until cancelled.
    """

    __slots__ = ("failures_by_task", "_clock", "_random", "_series_by_task")

    def __init__(self, clock, random):
        self.failures_by_task = {}
        self._clock = clock
        self._random = random
        self._series_by_task = {}

    def start(self, runs_by_name):
        """Return started tasks for coroutine functions; cancel them to end them."""
        for name in runs_by_name:
            self.failures_by_task.setdefault(name, 0)
        return [
            asyncio.create_task(self._supervise(name, run), name=name)
            for name, run in runs_by_name.items()
        ]

    def lasting_failures(self):
        """Return the names of tasks that have kept failing for a long time."""
        now_ms = self._clock.now_ms()
        return [
            name
            for name, series in self._series_by_task.items()
            if series.is_lasting(now_ms)
        ]

    async def _supervise(self, name, run):
        while True:
            started_ms = self._clock.now_ms()
            error = await _run_until_error(name, run)
            now_ms = self._clock.now_ms()
            series = self._series_by_task.get(name)
            if series is None or now_ms - started_ms >= RECOVERED_AFTER_MS:
                series = self._series_by_task[name] = FailureSeries(now_ms)
            pause_ms = series.next_pause_ms() * self._random.uniform(MIN_JITTER, 1.0)
            self._record_failure(name, error, pause_ms)
            await self._clock.sleep_until(now_ms + pause_ms)
            series.restarted_ms = self._clock.now_ms()

    def _record_failure(self, name, error, pause_ms):
        self.failures_by_task[name] += 1
        extra = {
            "task": name,
            "why": repr(error),
            "loss": LOSS_BY_TASK.get(name, ""),
            "failures": self.failures_by_task[name],
            "restart_in_ms": round(pause_ms),
        }
        logger.critical("supervisor.task-failed", extra=extra, exc_info=error)


class FailureSeries:
    """Errors of one task that follow each other without a recovery in between.

    `restarted_ms` is the clock reading of the last restart, None during a pause.
    """

    __slots__ = ("began_ms", "restarted_ms", "_errors")

    def __init__(self, began_ms):
        self.began_ms = began_ms
        self.restarted_ms = None
        self._errors = 0

    def next_pause_ms(self):
        """Record an error; return the longest pause that may follow it."""
        self.restarted_ms = None
        self._errors += 1
        # The exponent is limited, since 2.0**1100 does not fit a float.
        return min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2.0 ** min(self._errors - 1, 16))

    def is_lasting(self, now_ms):
        """Return whether the series is long and the task has not recovered."""
        if self.restarted_ms is not None:
            if now_ms - self.restarted_ms >= RECOVERED_AFTER_MS:
                return False
        return now_ms - self.began_ms >= LASTING_AFTER_MS


async def _run_until_error(name, run):
    """Run a task; return its error, or one that says that it returned.

    It runs in an asyncio task of its own, since a `TaskGroup` of Python 3.11 that fails
    leaves the surrounding task marked as being cancelled.
    """
    task = asyncio.create_task(run(), name=name)
    try:
        await asyncio.wait([task])
    except asyncio.CancelledError:
        await _end(task)
        raise
    if task.cancelled():
        return asyncio.CancelledError("the task was cancelled from within")
    return task.exception() or RuntimeError("the task returned")


async def _end(task):
    """Cancel a task and return once it has ended, also when cancelled meanwhile."""
    while not task.done():
        try:
            await cancel_and_wait([task])
        except asyncio.CancelledError:
            continue

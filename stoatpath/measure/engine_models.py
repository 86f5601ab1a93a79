"""A model engine with continuous batching, simulated in virtual time.

All running requests advance by one token a step, and a step takes longer the more
requests run. Progress is counted in steps since the start of the engine, so that
a change of the batch updates one clock and not every request.
"""

import heapq
from collections import OrderedDict, deque

SLOTS = 16
TOKEN_MS = 20.0
STEP_GROWTH = 0.06  # relative growth of a step for each further running request
PREFILL_TOKENS_PER_STEP = 100.0
CACHED_TOKENS = 30_000
COLD_SLOWNESS = 3.0  # factor on the token time during the warm-up
WARM_UP_MS = 5_000.0


class EngineModel:
    """One engine; `slowness` multiplies its token time.

    A job has an `arrival`; the engine calls its `finish()` or `fail()` at the end.
    """

    __slots__ = (
        "name",
        "zone",
        "slots",
        "slowness",
        "is_down",
        "_events",
        "_steps",
        "_updated_ms",
        "_running",
        "_waiting",
        "_schedule_id",
        "_cached_by_session",
    )

    def __init__(self, name, zone, events, slots=SLOTS, slowness=1.0):
        self.name = name
        self.zone = zone
        self.slots = slots
        self.slowness = slowness
        self.is_down = False
        self._events = events
        self._steps = 0.0
        self._updated_ms = 0.0
        self._running = []
        self._waiting = deque()
        self._schedule_id = 0
        self._cached_by_session = OrderedDict()

    @property
    def open_requests(self):
        """Return the number of running and waiting requests."""
        return len(self._running) + len(self._waiting)

    @property
    def token_ms(self):
        """Return the duration of one step at the current batch size."""
        batch = max(1, len(self._running))
        return TOKEN_MS * self.slowness * (1 + STEP_GROWTH * (batch - 1))

    @staticmethod
    def full_tokens_per_s(slots=SLOTS):
        """Return the throughput of a fully loaded engine at normal speed."""
        return slots * 1000 / (TOKEN_MS * (1 + STEP_GROWTH * (slots - 1)))

    def cached_tokens(self, arrival):
        """Return how many tokens of a prompt are in the prefix cache."""
        if not arrival.session:
            return 0
        return min(
            arrival.prompt_tokens, self._cached_by_session.get(arrival.session, 0)
        )

    def work_steps(self, arrival):
        """Return the number of steps that a request takes, with its prefill."""
        fresh = arrival.prompt_tokens - self.cached_tokens(arrival)
        return arrival.tokens + fresh / PREFILL_TOKENS_PER_STEP

    def accept_job(self, job):
        """Queue a job; it runs as soon as a slot is free."""
        self._advance()
        self._waiting.append(job)
        self._start_waiting()

    def crash(self):
        """Fail all jobs, clear the prefix cache, and stay down until `restart`."""
        self.is_down = True
        jobs = [entry[2] for entry in self._running] + list(self._waiting)
        self._running.clear()
        self._waiting.clear()
        self._cached_by_session.clear()
        self._schedule_id += 1
        for job in jobs:
            job.fail()

    def restart(self):
        """Come back up, slower until the warm-up ends."""
        self.is_down = False
        self._set_slowness(self.slowness * COLD_SLOWNESS)
        warm_ms = self._events.now_ms + WARM_UP_MS
        self._events.schedule(
            warm_ms, self._set_slowness, self.slowness / COLD_SLOWNESS
        )

    def _set_slowness(self, slowness):
        self._advance()
        self.slowness = slowness
        self._schedule_completion()

    def predict_duration_ms(self, arrival):
        """Estimate the duration of a request, assuming a constant batch size."""
        self._advance()
        batch = min(self.slots, self.open_requests + 1)
        step_ms = TOKEN_MS * self.slowness * (1 + STEP_GROWTH * (batch - 1))
        wait_steps = 0.0
        queued_count = self.open_requests + 1 - self.slots
        if queued_count > 0:
            end_steps = sorted(entry[0] for entry in self._running)
            backlog = sum(self.work_steps(job.arrival) for job in self._waiting)
            wait_steps = end_steps[min(queued_count, len(end_steps)) - 1] - self._steps
            wait_steps = max(wait_steps, backlog / self.slots)
        return (wait_steps + self.work_steps(arrival)) * step_ms

    def _advance(self):
        now_ms = self._events.now_ms
        if self._running:
            self._steps += (now_ms - self._updated_ms) / self.token_ms
        self._updated_ms = now_ms

    def _start_waiting(self):
        while self._waiting and len(self._running) < self.slots:
            job = self._waiting.popleft()
            end_step = self._steps + self.work_steps(job.arrival)
            self._cache_prefix(job.arrival)
            heapq.heappush(self._running, (end_step, job.arrival.request_id, job))
        self._schedule_completion()

    def _cache_prefix(self, arrival):
        if not arrival.session:
            return
        cached = self._cached_by_session
        cached.pop(arrival.session, None)
        cached[arrival.session] = arrival.prompt_tokens + arrival.tokens
        while sum(cached.values()) > CACHED_TOKENS:
            cached.popitem(last=False)

    def _schedule_completion(self):
        self._schedule_id += 1
        if self._running:
            steps = max(0.0, self._running[0][0] - self._steps)
            due_ms = self._events.now_ms + steps * self.token_ms
            self._events.schedule(due_ms, self._complete, self._schedule_id)

    def _complete(self, schedule_id):
        if schedule_id != self._schedule_id:
            return
        self._advance()
        self._steps = max(self._steps, self._running[0][0])
        _, _, job = heapq.heappop(self._running)
        self._start_waiting()
        job.finish()

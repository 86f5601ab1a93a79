"""A model engine in virtual time that batches continuously.

All running requests advance one token a step; a step takes longer the more of
them run. Progress is counted in steps since the start of the engine, so that a
change of the batch touches only the clock and not every request.
"""

import heapq
from collections import OrderedDict, deque

SLOTS = 16
TOKEN_MS = 20.0
STEP_GROWTH = 0.06
PREFILL_TOKENS_PER_STEP = 100.0
CACHED_TOKENS = 30_000
COLD_SLOWNESS = 3.0
WARM_UP_MS = 5_000.0


class EngineModel:
    """One engine; `slowness` multiplies its token time.

    A job has an `arrival`, and `finish()` and `fail()` for how it ends.
    """

    __slots__ = (
        "name",
        "zone",
        "slots",
        "slowness",
        "is_lost",
        "_events",
        "_steps",
        "_updated_ms",
        "_running",
        "_waiting",
        "_epoch",
        "_cached_by_session",
    )

    def __init__(self, name, zone, events, slots=SLOTS, slowness=1.0):
        self.name = name
        self.zone = zone
        self.slots = slots
        self.slowness = slowness
        self.is_lost = False
        self._events = events
        self._steps = 0.0
        self._updated_ms = 0.0
        self._running = []
        self._waiting = deque()
        self._epoch = 0
        self._cached_by_session = OrderedDict()

    @property
    def running(self):
        """Return how many requests run or wait here."""
        return len(self._running) + len(self._waiting)

    @property
    def token_ms(self):
        """Return the time of one step at the present batch."""
        batch = max(1, len(self._running))
        return TOKEN_MS * self.slowness * (1 + STEP_GROWTH * (batch - 1))

    @staticmethod
    def full_tokens_per_s(slots=SLOTS):
        """Return the output of a full engine of ordinary speed."""
        return slots * 1000 / (TOKEN_MS * (1 + STEP_GROWTH * (slots - 1)))

    def cached_tokens(self, arrival):
        """Return how much of a prompt is in the prefix cache."""
        if not arrival.session:
            return 0
        return min(
            arrival.prompt_tokens, self._cached_by_session.get(arrival.session, 0)
        )

    def work_steps(self, arrival):
        """Return the steps that a request would take."""
        fresh = arrival.prompt_tokens - self.cached_tokens(arrival)
        return arrival.tokens + fresh / PREFILL_TOKENS_PER_STEP

    def accept(self, job):
        """Take a job; run it at once or when a slot frees."""
        self._advance()
        self._waiting.append(job)
        self._fill()

    def lose(self):
        """Fail everything here and refuse all work until `restore`."""
        self.is_lost = True
        jobs = [entry[2] for entry in self._running] + list(self._waiting)
        self._running.clear()
        self._waiting.clear()
        self._cached_by_session.clear()
        self._epoch += 1
        for job in jobs:
            job.fail()

    def restore(self):
        """Take work again, slowly until warm."""
        self.is_lost = False
        self._set_slowness(self.slowness * COLD_SLOWNESS)
        warm_ms = self._events.now_ms + WARM_UP_MS
        self._events.at(warm_ms, self._set_slowness, self.slowness / COLD_SLOWNESS)

    def _set_slowness(self, slowness):
        self._advance()
        self.slowness = slowness
        self._arrange()

    def time_for_ms(self, arrival):
        """Return the exact time that a request would take with nothing after it."""
        self._advance()
        batch = min(self.slots, self.running + 1)
        step_ms = TOKEN_MS * self.slowness * (1 + STEP_GROWTH * (batch - 1))
        wait_steps = 0.0
        behind = self.running + 1 - self.slots
        if behind > 0:
            ends = sorted(entry[0] for entry in self._running)
            backlog = sum(self.work_steps(job.arrival) for job in self._waiting)
            wait_steps = ends[min(behind, len(ends)) - 1] - self._steps
            wait_steps = max(wait_steps, backlog / self.slots)
        return (wait_steps + self.work_steps(arrival)) * step_ms

    def _advance(self):
        now_ms = self._events.now_ms
        if self._running:
            self._steps += (now_ms - self._updated_ms) / self.token_ms
        self._updated_ms = now_ms

    def _fill(self):
        while self._waiting and len(self._running) < self.slots:
            job = self._waiting.popleft()
            end = self._steps + self.work_steps(job.arrival)
            self._remember(job.arrival)
            heapq.heappush(self._running, (end, job.arrival.request_id, job))
        self._arrange()

    def _remember(self, arrival):
        if not arrival.session:
            return
        cached = self._cached_by_session
        cached.pop(arrival.session, None)
        cached[arrival.session] = arrival.prompt_tokens + arrival.tokens
        while sum(cached.values()) > CACHED_TOKENS:
            cached.popitem(last=False)

    def _arrange(self):
        self._epoch += 1
        if self._running:
            steps = max(0.0, self._running[0][0] - self._steps)
            due_ms = self._events.now_ms + steps * self.token_ms
            self._events.at(due_ms, self._complete, self._epoch)

    def _complete(self, epoch):
        if epoch != self._epoch:
            return
        self._advance()
        self._steps = max(self._steps, self._running[0][0])
        _, _, job = heapq.heappop(self._running)
        self._fill()
        job.finish()

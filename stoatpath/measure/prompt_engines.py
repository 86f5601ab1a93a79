"""A model engine in virtual time that prefills prompts in order of arrival.

Prompts are prefilled one after another, in chunks between the tokens of running
answers, so a long prompt delays the first tokens of all requests behind it.
"""

import heapq
from collections import OrderedDict, deque

# The engine of the reference deployments: prefilled tokens per millisecond for a model
# of pace 1, duration of a step, capacity of the prompt cache.
PREFILL_TOKENS_PER_MS = 61.2
STEP_MS = 3.37
CACHE_TOKENS = 500_000
# Share of the time that is left for prefill besides running answers.
PREFILL_TIME_SHARE = 0.7
# Batching: slots, growth of a step for each further running request, and the share of
# moments in which an engine is slower.
SLOTS = 32
STEP_GROWTH = 0.06
MOMENT_MS = 600.0
SLOW_MOMENT_SHARE = 0.15
SLOW_MOMENT_FACTOR = 2.5


class PromptJob:
    """One run: the pace of a model, the segments of a prompt, the tokens to generate.

    `on_first_token` is called with the job at the first token and returns whether to
    go on generating. `on_end` is called when the job ends or its engine crashes.
    """

    __slots__ = (
        "model",
        "pace",
        "segments",
        "tokens",
        "on_first_token",
        "on_end",
        "is_complete",
        "engine",
    )

    def __init__(self, model, pace, segments, tokens, on_first_token, on_end):
        self.model = model
        self.pace = pace
        self.segments = segments
        self.tokens = tokens
        self.on_first_token = on_first_token
        self.on_end = on_end
        self.is_complete = False
        self.engine = None


class PromptEngine:
    """One engine; `prefill_tokens` counts the prompt tokens that were not cached.

    An engine with `is_down` generates nothing more; its open jobs end incomplete.
    """

    __slots__ = (
        "name",
        "prefill_tokens",
        "is_down",
        "_events",
        "_prefill_free_ms",
        "_cached",
        "_cached_tokens",
        "_open_jobs",
    )

    def __init__(self, name, events):
        self.name = name
        self.prefill_tokens = 0
        self.is_down = False
        self._events = events
        self._prefill_free_ms = 0.0
        self._cached = OrderedDict()
        self._cached_tokens = 0
        self._open_jobs = {}

    def accept_job(self, job):
        """Queue a job."""
        job.engine = self
        self._open_jobs[job] = None
        uncached_tokens = self._cache_prompt(job)
        self.prefill_tokens += uncached_tokens
        prefill_ms = (
            uncached_tokens * job.pace / (PREFILL_TOKENS_PER_MS * PREFILL_TIME_SHARE)
        )
        self._prefill_free_ms = (
            max(self._prefill_free_ms, self._events.now_ms) + prefill_ms
        )
        self._events.schedule(self._prefill_free_ms + STEP_MS, self._start_answer, job)

    def crash(self):
        """Stop the engine; all open jobs end incomplete."""
        self.is_down = True
        jobs, self._open_jobs = self._open_jobs, {}
        for job in jobs:
            job.on_end(job)

    def _cache_prompt(self, job):
        """Add a prompt to the cache; return how many of its tokens were not cached."""
        uncached_tokens = 0
        is_cached = True
        for segment, tokens in job.segments:
            key = (job.model, segment)
            is_cached = is_cached and key in self._cached
            if is_cached:
                self._cached.move_to_end(key)
                continue
            uncached_tokens += tokens
            if self._cached.pop(key, None) is None:
                self._cached_tokens += tokens
            self._cached[key] = tokens
        while self._cached_tokens > CACHE_TOKENS:
            _, tokens = self._cached.popitem(last=False)
            self._cached_tokens -= tokens
        return uncached_tokens

    def _start_answer(self, job):
        if job not in self._open_jobs:
            return
        if not job.on_first_token(job):
            self._open_jobs.pop(job, None)
            job.on_end(job)
            return
        due_ms = self._events.now_ms + job.tokens * STEP_MS / PREFILL_TIME_SHARE
        self._events.schedule(due_ms, self._finish, job)

    def _finish(self, job):
        if job in self._open_jobs:
            self._open_jobs.pop(job, None)
            job.is_complete = True
            job.on_end(job)


class BatchingEngine(PromptEngine):
    """An engine of some speed whose running requests slow each other.

    A request takes a slot, its prompt is read after those before it, and it generates
    tokens with all others, in steps that take longer the more run. In a share of all
    moments the engine is slower. Progress of prompts is counted in milliseconds at the
    common speed, that of answers in steps of model pace 1.
    """

    __slots__ = (
        "speed",
        "sends",
        "_random",
        "_slowness",
        "_updated_ms",
        "_prompt_progress_ms",
        "_steps",
        "_waiting",
        "_reading",
        "_prompt_end_ms",
        "_generating",
        "_sequence",
        "_schedule_id",
    )

    def __init__(self, name, events, speed, random):
        super().__init__(name, events)
        self.speed = speed
        self.sends = 0
        self._random = random
        self._slowness = 1.0
        self._updated_ms = 0.0
        self._prompt_progress_ms = 0.0
        self._steps = 0.0
        self._waiting = deque()
        self._reading = deque()
        self._prompt_end_ms = 0.0
        self._generating = []
        self._sequence = 0
        self._schedule_id = 0
        self._start_moment()

    @property
    def open_requests(self):
        """Return the number of running and waiting requests."""
        return len(self._open_jobs)

    def accept_job(self, job):
        """Queue a job; it runs as soon as a slot is free."""
        self._advance()
        self.sends += 1
        job.engine = self
        self._open_jobs[job] = None
        self._waiting.append(job)
        self._fill_slots()

    def cancel(self, job):
        """End a job that is not complete."""
        self._advance()
        if self._open_jobs.pop(job, self) is self:
            return
        was_reading = bool(self._reading) and self._reading[0] is job
        for queue in (self._waiting, self._reading):
            if job in queue:
                queue.remove(job)
        self._generating = [each for each in self._generating if each[2] is not job]
        heapq.heapify(self._generating)
        if was_reading:
            self._start_prompt()
        self._fill_slots()
        job.on_end(job)

    def _start_moment(self):
        self._advance()
        is_slow = self._random.random() < SLOW_MOMENT_SHARE
        self._slowness = SLOW_MOMENT_FACTOR if is_slow else 1.0
        self._schedule_next()
        due_ms = self._events.now_ms + MOMENT_MS
        self._events.schedule(due_ms, self._start_moment)

    def _advance(self):
        now_ms = self._events.now_ms
        pace = (now_ms - self._updated_ms) * self.speed / self._slowness
        self._updated_ms = now_ms
        if self._reading:
            self._prompt_progress_ms += pace
        if self._generating:
            self._steps += pace / self._step_ms()

    def _step_ms(self):
        running = len(self._generating) + len(self._reading)
        return STEP_MS * (1.0 + STEP_GROWTH * max(0, running - 1))

    def _fill_slots(self):
        while self._waiting and len(self._generating) + len(self._reading) < SLOTS:
            self._reading.append(self._waiting.popleft())
            if len(self._reading) == 1:
                self._start_prompt()
        self._schedule_next()

    def _start_prompt(self):
        if self._reading:
            job = self._reading[0]
            tokens = self._cache_prompt(job)
            self.prefill_tokens += tokens
            rate = PREFILL_TOKENS_PER_MS * PREFILL_TIME_SHARE
            self._prompt_end_ms = self._prompt_progress_ms + tokens * job.pace / rate

    def _schedule_next(self):
        self._schedule_id += 1
        delays_ms = []
        if self._reading:
            delays_ms.append(self._prompt_end_ms - self._prompt_progress_ms)
        if self._generating:
            steps = self._generating[0][0] - self._steps
            delays_ms.append(steps * self._step_ms())
        if delays_ms:
            delay_ms = max(0.0, min(delays_ms)) * self._slowness / self.speed
            due_ms = self._events.now_ms + delay_ms
            self._events.schedule(due_ms, self._proceed, self._schedule_id)

    def _proceed(self, schedule_id):
        if schedule_id != self._schedule_id:
            return
        self._advance()
        ended = []
        if self._reading and self._prompt_end_ms <= self._prompt_progress_ms + 1e-6:
            job = self._reading.popleft()
            self._start_prompt()
            if job.on_first_token(job):
                self._sequence += 1
                end_step = self._steps + job.tokens * job.pace
                heapq.heappush(self._generating, (end_step, self._sequence, job))
            else:
                ended.append(job)
        while self._generating and self._generating[0][0] <= self._steps + 1e-6:
            job = heapq.heappop(self._generating)[2]
            job.is_complete = True
            ended.append(job)
        for job in ended:
            self._open_jobs.pop(job, None)
        self._fill_slots()
        for job in ended:
            job.on_end(job)

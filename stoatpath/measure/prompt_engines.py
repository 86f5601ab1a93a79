"""A model engine in virtual time that prefills prompts in order of arrival.

Prompts are prefilled one after another, in chunks between the tokens of running
answers, so a long prompt delays the first tokens of all requests behind it.
"""

from collections import OrderedDict

# The engine of the reference deployments: prefilled tokens per millisecond for a model
# of pace 1, duration of a step, capacity of the prompt cache.
PREFILL_TOKENS_PER_MS = 61.2
STEP_MS = 3.37
CACHE_TOKENS = 500_000
# Share of the time that is left for prefill besides running answers.
PREFILL_TIME_SHARE = 0.7


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

"""A model engine in virtual time that reads prompts in the order of their arrival.

Prompts are read one after another, in chunks between the tokens of running answers;
so a long prompt holds back the first tokens of everything behind it.
"""

from collections import OrderedDict

# An engine of the pages: tokens read in a millisecond by a model of pace 1, time of a
# step, memory in tokens.
READ_PER_MS = 61.2
STEP_MS = 3.37
MEMORY_TOKENS = 500_000
# Part of the time that is left for reading beside running answers.
READING_PART = 0.7


class PromptJob:
    """One run: a model's pace, the parts of a prompt, the tokens to generate.

    `on_head` is called with the job when the first token is made, and returns whether
    the answer is wanted; `on_end` when it ends, or is lost with its engine.
    """

    __slots__ = (
        "model",
        "pace",
        "parts",
        "tokens",
        "on_head",
        "on_end",
        "is_whole",
        "engine",
    )

    def __init__(self, model, pace, parts, tokens, on_head, on_end):
        self.model = model
        self.pace = pace
        self.parts = parts
        self.tokens = tokens
        self.on_head = on_head
        self.on_end = on_end
        self.is_whole = False
        self.engine = None


class PromptEngine:
    """One engine; `read_tokens` and `read_again` count prompt tokens.

    `is_lost` engines answer nothing more; what they held ends unfinished.
    """

    __slots__ = (
        "name",
        "read_tokens",
        "is_lost",
        "_events",
        "_free_ms",
        "_cached",
        "_cached_tokens",
        "_open",
    )

    def __init__(self, name, events):
        self.name = name
        self.read_tokens = 0
        self.is_lost = False
        self._events = events
        self._free_ms = 0.0
        self._cached = OrderedDict()
        self._cached_tokens = 0
        self._open = {}

    def accept(self, job):
        """Queue a job."""
        job.engine = self
        self._open[job] = None
        fresh = self._read(job)
        self.read_tokens += fresh
        read_ms = fresh * job.pace / (READ_PER_MS * READING_PART)
        self._free_ms = max(self._free_ms, self._events.now_ms) + read_ms
        self._events.schedule(self._free_ms + STEP_MS, self._begin, job)

    def lose(self):
        """Crash: end everything unfinished."""
        self.is_lost = True
        jobs, self._open = self._open, {}
        for job in jobs:
            job.on_end(job)

    def _read(self, job):
        """Return how many tokens are not cached, and cache them."""
        fresh = 0
        is_cached = True
        for part, tokens in job.parts:
            key = (job.model, part)
            is_cached = is_cached and key in self._cached
            if is_cached:
                self._cached.move_to_end(key)
                continue
            fresh += tokens
            if self._cached.pop(key, None) is None:
                self._cached_tokens += tokens
            self._cached[key] = tokens
        while self._cached_tokens > MEMORY_TOKENS:
            _, tokens = self._cached.popitem(last=False)
            self._cached_tokens -= tokens
        return fresh

    def _begin(self, job):
        if job not in self._open:
            return
        if not job.on_head(job):
            self._open.pop(job, None)
            job.on_end(job)
            return
        due_ms = self._events.now_ms + job.tokens * STEP_MS / READING_PART
        self._events.schedule(due_ms, self._end, job)

    def _end(self, job):
        if job in self._open:
            self._open.pop(job, None)
            job.is_whole = True
            job.on_end(job)

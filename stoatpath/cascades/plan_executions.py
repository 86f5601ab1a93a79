"""Follows one request through its plan: go up, stop, and which answer to return."""


class _Answered:
    """An answer of a stage with its result."""

    __slots__ = ("answer", "result")

    def __init__(self, answer, result):
        self.answer = answer
        self.result = result


class PlanExecution:
    """The stages of one request that ran so far, and what comes next."""

    __slots__ = ("reason", "query", "_planner", "_stages", "_next", "_answered")

    def __init__(self, planner, query, plan):
        self.reason = plan.reason
        self._planner = planner
        self.query = query
        self._stages = plan.stages
        self._next = 0
        self._answered = []

    @property
    def stage(self):
        """Return the stage to run next, or None when the execution is over."""
        if self._next >= len(self._stages):
            return None
        return self._stages[self._next]

    @property
    def is_escalated(self):
        """Return whether an earlier stage was not good enough."""
        return bool(self._answered)

    @property
    def results(self):
        """Return the results of all stages that ran."""
        return [each.result for each in self._answered]

    @property
    def next_stage(self):
        """Return the stage after the next one, or None."""
        place = self._next + 1
        return self._stages[place] if place < len(self._stages) else None

    def skip_to(self, version):
        """Leave out the stages before a version of this execution."""
        while self.stage is not None and self.stage.version.name != version:
            self._next += 1

    def record_result(self, answer, result, now_ms):
        """Take what the next stage answered and decide whether to go up."""
        stage = self.stage
        is_escalated = self.is_escalated
        self._answered.append(_Answered(answer, result))
        self._next += 1
        following = self.stage
        if following is None:
            self.reason = "last stage"
        elif stage.accept_threshold is None:
            self._stop("not rated")
        elif result.rating is None:
            self._take_unrated(stage, following, is_escalated, now_ms)
        elif result.rating >= stage.accept_threshold:
            self._stop("good enough")
        elif not self._has_time(following, now_ms):
            self._stop("too low, but no time for another stage")
        else:
            self.reason = "too low"

    def record_failure(self):
        """End the execution because the next stage failed."""
        self._stop("a later stage failed")

    def best_answer(self):
        """Return the best answer with its result, or None when there is none.

        Rated answers go by their rating; an unrated one stands for what its
        plan expects of it, which is the target.
        """
        best = None
        for each in self._answered:
            if best is None or self._worth(each.result) >= self._worth(best.result):
                best = each
        return best

    def _take_unrated(self, stage, following, is_escalated, now_ms):
        accepts = self._planner.accepts_unrated(
            self.query, stage.version, following.version, is_escalated, now_ms
        )
        if accepts or not self._has_time(following, now_ms):
            self._stop("no rating")
        else:
            self.reason = "no rating, and not sure enough"

    def _stop(self, reason):
        self.reason = reason
        self._next = len(self._stages)

    def _has_time(self, following, now_ms):
        seconds = self._planner.expected_seconds(self.query, following.version)
        return now_ms + seconds * 1000 < self.query.deadline_ms

    def _worth(self, result):
        if result.rating is None:
            return self.query.purpose.quality
        return result.rating

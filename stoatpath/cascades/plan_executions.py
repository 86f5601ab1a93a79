"""The execution of a plan: escalate or stop, and which answer to return."""


class _StageAnswer:
    """An answer of a stage with its result."""

    __slots__ = ("answer", "result")

    def __init__(self, answer, result):
        self.answer = answer
        self.result = result


class PlanExecution:
    """The stages of one request that have run, and the stage to run now."""

    __slots__ = ("reason", "query", "_planner", "_stages", "_index", "_answers")

    def __init__(self, planner, query, plan):
        self.reason = plan.reason
        self._planner = planner
        self.query = query
        self._stages = plan.stages
        self._index = 0
        self._answers = []

    @property
    def stage(self):
        """Return the current stage, or None when the execution is over."""
        if self._index >= len(self._stages):
            return None
        return self._stages[self._index]

    @property
    def is_escalated(self):
        """Return whether an earlier stage has answered."""
        return bool(self._answers)

    @property
    def results(self):
        """Return the results of all stages that ran."""
        return [each.result for each in self._answers]

    @property
    def next_stage(self):
        """Return the stage after the current one, or None."""
        index = self._index + 1
        return self._stages[index] if index < len(self._stages) else None

    def skip_to(self, version_name):
        """Skip the stages before the one that runs the named version."""
        while self.stage is not None and self.stage.version.name != version_name:
            self._index += 1

    def record_result(self, answer, result, now_ms):
        """Record the result of the current stage and decide whether to escalate."""
        stage = self.stage
        is_escalated = self.is_escalated
        self._answers.append(_StageAnswer(answer, result))
        self._index += 1
        next_stage = self.stage
        if next_stage is None:
            self.reason = "last stage"
        elif stage.accept_threshold is None:
            self._stop("not rated")
        elif result.rating is None:
            self._record_unrated(stage, next_stage, is_escalated, now_ms)
        elif result.rating >= stage.accept_threshold:
            self._stop("good enough")
        elif not self._has_time(next_stage, now_ms):
            self._stop("too low, but no time for another stage")
        else:
            self.reason = "too low"

    def record_failure(self):
        """End the execution after a failed stage; an earlier stage has answered."""
        self._stop("a later stage failed")

    def best_answer(self):
        """Return the best answer with its result, or None when there is none.

        Answers compare by rating, and a later one wins a tie. An answer without a
        rating counts as one at the quality target.
        """
        best = None
        for each in self._answers:
            if best is None or self._effective_rating(
                each.result
            ) >= self._effective_rating(best.result):
                best = each
        return best

    def _record_unrated(self, stage, next_stage, is_escalated, now_ms):
        accepts = self._planner.accepts_unrated(
            self.query, stage.version, next_stage.version, is_escalated, now_ms
        )
        if accepts or not self._has_time(next_stage, now_ms):
            self._stop("no rating")
        else:
            self.reason = "no rating, and not sure enough"

    def _stop(self, reason):
        self.reason = reason
        self._index = len(self._stages)

    def _has_time(self, next_stage, now_ms):
        seconds = self._planner.expected_seconds(self.query, next_stage.version)
        return now_ms + seconds * 1000 < self.query.deadline_ms

    def _effective_rating(self, result):
        if result.rating is None:
            return self.query.purpose.quality
        return result.rating

"""Gossips steps and verdicts from node to node."""


class ProgressTopic:
    """Carries all steps and verdicts in each round; they are few and small."""

    __slots__ = ("_progress",)

    name = "rollouts"

    def __init__(self, progress):
        self._progress = progress

    def collect(self):
        """Return all steps and verdicts, or None when there are none."""
        news = self._progress.to_json()
        return news if news["steps"] or news["verdicts"] else None

    def merge(self, sender, data):
        """Take the steps and verdicts of another node; return whether it was news."""
        return self._progress.merge_json(data)

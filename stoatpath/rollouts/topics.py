"""The gossip topic of steps and verdicts."""


class ProgressTopic:
    """Sends the full state in each gossip round, as it is small."""

    __slots__ = ("_progress",)

    name = "rollouts"

    def __init__(self, progress):
        self._progress = progress

    def collect(self):
        """Return all steps and verdicts, or None when there are none."""
        updates = self._progress.to_json()
        return updates if updates["steps"] or updates["verdicts"] else None

    def merge(self, sender, data):
        """Merge the state of another node; return whether anything changed."""
        return self._progress.merge_json(data)

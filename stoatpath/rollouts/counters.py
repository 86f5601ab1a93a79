"""Rating counters by router, incarnation and arm, merged as a grow-only CRDT."""

from stoatpath.rollouts.messages import RATING_LEVELS, Cell


class ArmTotal:
    """Counts of one arm summed over all sources."""

    __slots__ = ("arm", "levels", "served")

    def __init__(self, arm):
        self.arm = arm
        self.levels = [0] * RATING_LEVELS
        self.served = 0


class RatingCounters:
    """Cells by source and arm, and their totals by arm.

    Merging keeps the larger of each count, so the result is the same if messages
    are lost and resent, duplicated or reordered.
    """

    __slots__ = ("_cells_by_key", "totals_by_arm", "_changed")

    def __init__(self):
        self._cells_by_key = {}
        self.totals_by_arm = {}
        self._changed = set()

    def count(self, source, arm, level):
        """Count one request that ran; `level` is its rating or None if unrated."""
        cell = self._cell(source, arm)
        total = self.totals_by_arm[arm.key]
        cell.served += 1
        total.served += 1
        if level is not None:
            self._add(cell, total, level, 1)
        self._changed.add((source.key, arm.key))

    def add_rating(self, source, arm, level):
        """Add the rating of a request that was counted unrated before."""
        cell = self._cell(source, arm)
        self._add(cell, self.totals_by_arm[arm.key], level, 1)
        self._changed.add((source.key, arm.key))

    def merge(self, cell):
        """Merge the counts of a cell that another process reported."""
        local = self._cell(cell.source, cell.arm)
        total = self.totals_by_arm[cell.arm.key]
        has_grown = False
        for level, count in enumerate(cell.levels):
            if count > local.levels[level]:
                self._add(local, total, level, count - local.levels[level])
                has_grown = True
        if cell.served > local.served:
            total.served += cell.served - local.served
            local.served = cell.served
            has_grown = True
        if has_grown:
            self._changed.add((cell.source.key, cell.arm.key))

    def drain_changed(self):
        """Return the cells that changed since the last call."""
        cells = [self._cells_by_key[key] for key in sorted(self._changed)]
        self._changed.clear()
        return cells

    def mark_changed(self, cells):
        """Mark cells as changed again after their delivery failed."""
        for cell in cells:
            key = (cell.source.key, cell.arm.key)
            if key in self._cells_by_key:
                self._changed.add(key)

    def mark_all_changed(self):
        """Mark every cell as changed, for a new receiver."""
        self._changed.update(self._cells_by_key)

    def retain_trials(self, trials):
        """Drop the counts of all but some `(rollout, trial)` pairs."""
        for key in list(self._cells_by_key):
            if key[1][:2] not in trials:
                del self._cells_by_key[key]
                self._changed.discard(key)
        for key in list(self.totals_by_arm):
            if key[:2] not in trials:
                del self.totals_by_arm[key]

    def totals(self, rollout, trial, version):
        """Return totals by purpose of one version in one trial."""
        prefix = (rollout, trial, version)
        return {
            key[3]: total
            for key, total in self.totals_by_arm.items()
            if key[:3] == prefix
        }

    def _cell(self, source, arm):
        key = (source.key, arm.key)
        cell = self._cells_by_key.get(key)
        if cell is None:
            cell = Cell(source, arm)
            self._cells_by_key[key] = cell
            self.totals_by_arm.setdefault(arm.key, ArmTotal(arm))
        return cell

    def _add(self, cell, total, level, count):
        cell.levels[level] += count
        total.levels[level] += count

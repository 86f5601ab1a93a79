"""Long prompts among short ones, with and without partitioning of the engines."""

from stoatpath.measure.prompt_loads import KINDS, PromptLoad
from stoatpath.measure.reports import Figure, Report
from stoatpath.routing.affinity import AffinityChooser

SEEDS_PER_RUN = 20
CRASH_AT_MS = 10_000.0
# Multiple of the usual rate, and when an engine crashes (None: never).
PATTERNS_BY_NAME = {
    "usual": (1.0, None),
    "pool lost": (1.0, CRASH_AT_MS),
    "burst": (1.6, None),
    "burst and pool lost": (1.6, CRASH_AT_MS),
}


class NoPartition:
    """A length partition that reserves no backend servers."""

    __slots__ = ()

    def record_prompt(self, work, now_ms):
        """Ignore the prompt."""

    def backends_to_avoid(self, service, work, names):
        """Return no backend servers to avoid."""
        return frozenset()


def make_unpartitioned_chooser(zone, random):
    """Return a chooser that may send any prompt to any backend server."""
    chooser = AffinityChooser(zone, random)
    chooser.length_partition = NoPartition()
    return chooser


CHOOSERS_BY_STRATEGY = {
    "anywhere": make_unpartitioned_chooser,
    "apart": AffinityChooser,
}


def list_trials(seed):
    """Return all combinations of pattern, strategy and seed."""
    return [
        (pattern, strategy, seed + offset)
        for pattern in PATTERNS_BY_NAME
        for strategy in CHOOSERS_BY_STRATEGY
        for offset in range(SEEDS_PER_RUN)
    ]


def run_trial(trial):
    """Return the pattern, the strategy, the credit, and the late share by kind."""
    pattern, strategy, seed = trial
    scale, crash_at_ms = PATTERNS_BY_NAME[pattern]
    load = PromptLoad(
        seed,
        scale,
        crash_at_ms=crash_at_ms,
        make_chooser=CHOOSERS_BY_STRATEGY[strategy],
    )
    load.run()
    late_by_kind = {kind.name: load.late_share(kind.name) for kind in KINDS}
    return pattern, strategy, load.credit(), late_by_kind


def summarise(seed, results):
    """Return the means over all seeds."""
    figures = []
    for pattern in PATTERNS_BY_NAME:
        for strategy in CHOOSERS_BY_STRATEGY:
            group = [each for each in results if each[:2] == (pattern, strategy)]
            credit = sum(each[2] for each in group) / len(group)
            title = f"{pattern}, {strategy}"
            figures.append(Figure(f"credit, {title}", round(credit, 4), "of owed"))
            for kind in KINDS:
                late = sum(each[3][kind.name] for each in group) / len(group)
                name = f"late {kind.name} prompts, {title}"
                figures.append(Figure(name, round(late, 4), "of asked"))
    return Report("prompts", seed, figures, [])


def run(seed):
    """Run all trials one after the other."""
    return summarise(seed, [run_trial(trial) for trial in list_trials(seed)])

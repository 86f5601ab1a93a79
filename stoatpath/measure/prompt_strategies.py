"""Long prompts among short ones: what keeping them apart does, over many seeds."""

from stoatpath.measure.prompt_loads import KINDS, PromptLoad
from stoatpath.measure.reports import Figure, Report
from stoatpath.routing.affinity import AffinityChooser

SEEDS_PER_RUN = 20
LOST_AT_MS = 10_000.0
# Rate, as a multiple of the usual one, and whether an engine is lost midway.
PATTERNS_BY_NAME = {
    "usual": (1.0, None),
    "pool lost": (1.0, LOST_AT_MS),
    "burst": (1.6, None),
    "burst and pool lost": (1.6, LOST_AT_MS),
}


class NoPartition:
    """A split that keeps nothing apart."""

    __slots__ = ()

    def record_prompt(self, work, now_ms):
        """Learn nothing."""

    def backends_to_avoid(self, service, work, names):
        """Avoid nobody."""
        return frozenset()


def make_unpartitioned_chooser(zone, random):
    """Return a chooser that lets all prompts go anywhere."""
    chooser = AffinityChooser(zone, random)
    chooser.length_partition = NoPartition()
    return chooser


CHOOSERS_BY_STRATEGY = {
    "anywhere": make_unpartitioned_chooser,
    "apart": AffinityChooser,
}


def list_trials(seed):
    """Return all pairs of pattern and way, with each seed."""
    return [
        (pattern, strategy, seed + offset)
        for pattern in PATTERNS_BY_NAME
        for strategy in CHOOSERS_BY_STRATEGY
        for offset in range(SEEDS_PER_RUN)
    ]


def run_trial(trial):
    """Return the pattern, the way, the credit, and the late part by kind."""
    pattern, strategy, seed = trial
    scale, lost_at_ms = PATTERNS_BY_NAME[pattern]
    load = PromptLoad(
        seed, scale, lost_at_ms=lost_at_ms, make_chooser=CHOOSERS_BY_STRATEGY[strategy]
    )
    load.run()
    late_by_kind = {kind.name: load.late_part(kind.name) for kind in KINDS}
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

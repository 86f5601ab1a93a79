"""Reports of experiments: figures, targets and the command to reproduce them."""

import datetime
import json
import os

REPORT_FOLDER = os.path.join("docs", "measurements")


class Figure:
    """One measured number with its name and unit."""

    __slots__ = ("name", "value", "unit")

    def __init__(self, name, value, unit):
        self.name = name
        self.value = value
        self.unit = unit

    def to_json(self):
        """Return the figure as stored in the report file."""
        return {"name": self.name, "value": self.value, "unit": self.unit}


class Target:
    """A bound on a figure. `kind` is `at-most` or `at-least`."""

    __slots__ = ("figure", "kind", "bound")

    def __init__(self, figure, kind, bound):
        self.figure = figure
        self.kind = kind
        self.bound = bound

    def is_met(self, value):
        """Return whether a value is within the bound."""
        return value <= self.bound if self.kind == "at-most" else value >= self.bound


class Report:
    """The figures and targets of one experiment at one seed.

    `is_timed` marks figures that depend on the machine; such a report contains the
    date of the run. Other reports are reproducible from the seed.
    """

    __slots__ = ("name", "seed", "figures", "targets", "is_timed")

    def __init__(self, name, seed, figures, targets=(), is_timed=False):
        self.name = name
        self.seed = seed
        self.figures = figures
        self.targets = targets
        self.is_timed = is_timed

    def to_json(self):
        """Return the report as stored in its file."""
        by_name = {figure.name: figure for figure in self.figures}
        targets = []
        for target in self.targets:
            value = by_name[target.figure].value
            targets.append(
                {
                    "figure": target.figure,
                    "kind": target.kind,
                    "bound": target.bound,
                    "value": value,
                    "met": target.is_met(value),
                }
            )
        day = {"date": datetime.date.today().isoformat()} if self.is_timed else {}
        return {
            "experiment": self.name,
            "seed": self.seed,
            **day,
            "command": f"make measure EXPERIMENT={self.name} SEED={self.seed}",
            "figures": [figure.to_json() for figure in self.figures],
            "targets": targets,
        }

    def write(self):
        """Write the report to `docs/measurements`; return the path."""
        os.makedirs(REPORT_FOLDER, exist_ok=True)
        path = os.path.join(REPORT_FOLDER, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.to_json(), file, indent=2)
            file.write("\n")
        return path

    def print_table(self):
        """Print the figures, then whether each target was met."""
        print(f"\n{self.name} (seed {self.seed})")
        width = max(len(figure.name) for figure in self.figures)
        for figure in self.figures:
            print(f"  {figure.name.ljust(width)}  {figure.value:>14,.4f} {figure.unit}")
        for target in self.to_json()["targets"]:
            verdict = "met" if target["met"] else "MISSED"
            print(f"  {verdict}: {target['figure']} {target['kind']} {target['bound']}")

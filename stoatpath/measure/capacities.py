"""Works out what each role needs at the size to design for, from measured slopes."""

import json
import os

from stoatpath.measure.reports import DIRECTORY

NOT_MEASURED = "not measured"


class Resource:
    """Something that a role uses, its unit, and its budget or None."""

    __slots__ = ("name", "unit", "budget")

    def __init__(self, name, unit, budget):
        self.name = name
        self.unit = unit
        self.budget = budget


class Line:
    """One measured slope times a count.

    `scale` turns the slope times the count into the resource's unit. `bound` is a
    slope that the code or the size fixes and no experiment measures, else None.
    """

    __slots__ = (
        "what",
        "experiment",
        "figure",
        "count",
        "count_meaning",
        "scale",
        "mechanism",
        "bound",
    )

    def __init__(
        self, what, experiment, figure, count, count_meaning, scale, mechanism
    ):
        self.what = what
        self.experiment = experiment
        self.figure = figure
        self.count = count
        self.count_meaning = count_meaning
        self.scale = scale
        self.mechanism = mechanism
        self.bound = None

    @classmethod
    def bounded(cls, what, value, unit, count, count_meaning, scale, mechanism):
        """Build a line whose slope is fixed and not measured."""
        line = cls(what, "", "fixed", count, count_meaning, scale, mechanism)
        line.bound = Slope(value, unit, "", "")
        return line


class Demand:
    """What one role needs of one resource: the sum of its lines."""

    __slots__ = ("role", "resource", "lines")

    def __init__(self, role, resource, lines):
        self.role = role
        self.resource = resource
        self.lines = lines


class Slope:
    """A figure read from a report, with the command and day that gave it."""

    __slots__ = ("value", "unit", "command", "date")

    def __init__(self, value, unit, command, date):
        self.value = value
        self.unit = unit
        self.command = command
        self.date = date


class SlopeBook:
    """Slopes by experiment and figure, from the reports in a folder."""

    __slots__ = ("_slopes_by_key",)

    def __init__(self, slopes_by_key):
        self._slopes_by_key = slopes_by_key

    @classmethod
    def from_folder(cls, folder=DIRECTORY):
        """Read every report of a folder."""
        slopes_by_key = {}
        for name in sorted(os.listdir(folder)):
            if not name.endswith(".json"):
                continue
            with open(os.path.join(folder, name), encoding="utf-8") as file:
                report = json.load(file)
            if "experiment" not in report:
                continue
            for figure in report["figures"]:
                key = (report["experiment"], figure["name"])
                slopes_by_key[key] = Slope(
                    figure["value"],
                    figure["unit"],
                    report["command"],
                    report.get("date", "any day: same for the same seed"),
                )
        return cls(slopes_by_key)

    def find(self, line):
        """Return the slope of a line, or None."""
        if line.bound is not None:
            return line.bound
        return self._slopes_by_key.get((line.experiment, line.figure))


def render_demand(demand, book):
    """Return the Markdown table of one demand, with its total and budget."""
    resource = demand.resource
    rows = [
        f"### {demand.role}: {resource.name}",
        "",
        f"| what | slope | count | {resource.unit} | mechanism |",
        "| --- | --- | --- | --- | --- |",
    ]
    total = 0.0
    missing = 0
    for line in demand.lines:
        slope = book.find(line)
        if slope is None:
            missing += 1
            value = NOT_MEASURED
            slope_text = f"`{line.experiment}`: `{line.figure}`: {NOT_MEASURED}"
        else:
            used = slope.value * line.count * line.scale
            total += used
            value = _number(used)
            slope_text = f"{_number(slope.value)} {slope.unit} (`{line.figure}`)"
        rows.append(
            f"| {line.what} | {slope_text} "
            f"| {_number(line.count)} {line.count_meaning} "
            f"| {value} | {line.mechanism} |"
        )
    rows += ["", _verdict(resource, total, missing)]
    return "\n".join(rows)


def render_sources(demands, book):
    """Return the Markdown table of the commands that gave the slopes."""
    rows = ["| experiment | command | taken on |", "| --- | --- | --- |"]
    seen = set()
    for line in (line for demand in demands for line in demand.lines):
        slope = book.find(line)
        if slope is None or line.experiment in seen or not line.experiment:
            continue
        seen.add(line.experiment)
        rows.append(f"| {line.experiment} | `{slope.command}` | {slope.date} |")
    return "\n".join(rows)


def _number(value):
    """Return a number with three significant digits and no exponent."""
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _verdict(resource, total, missing):
    gap = f", {missing} lines not measured" if missing else ""
    text = f"Total: {_number(total)} {resource.unit}"
    if resource.budget is None:
        return f"{text}{gap}."
    verdict = "within" if total <= resource.budget else "OVER"
    return f"{text}, {verdict} the budget of {resource.budget:,g} {resource.unit}{gap}."

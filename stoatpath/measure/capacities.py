"""Estimates the resources of each role at the design size, from measured slopes.

A slope is the measured cost of one unit, such as the bytes of one session pin. The
design size is the largest site that the system is designed for.
"""

import json
import os

from stoatpath.measure.reports import REPORT_FOLDER

NOT_MEASURED = "not measured"


class Resource:
    """A resource that a role uses, with its unit and its budget (None: no budget)."""

    __slots__ = ("name", "unit", "budget")

    def __init__(self, name, unit, budget):
        self.name = name
        self.unit = unit
        self.budget = budget


class EstimateItem:
    """One row of an estimate: a slope times a count.

    `scale` converts the product into the unit of the resource. `fixed_slope` is set
    where the code or the design size fixes the slope, so that no experiment
    measures it; else it is None. `mechanism` names what keeps the cost bounded.
    """

    __slots__ = (
        "label",
        "experiment",
        "figure",
        "count",
        "count_meaning",
        "scale",
        "mechanism",
        "fixed_slope",
    )

    def __init__(
        self, label, experiment, figure, count, count_meaning, scale, mechanism
    ):
        self.label = label
        self.experiment = experiment
        self.figure = figure
        self.count = count
        self.count_meaning = count_meaning
        self.scale = scale
        self.mechanism = mechanism
        self.fixed_slope = None

    @classmethod
    def with_fixed_slope(
        cls, label, value, unit, count, count_meaning, scale, mechanism
    ):
        """Build an item whose slope is fixed and not measured."""
        item = cls(label, "", "fixed", count, count_meaning, scale, mechanism)
        item.fixed_slope = Slope(value, unit, "", "")
        return item


class ResourceEstimate:
    """What one role needs of one resource: the sum of its items."""

    __slots__ = ("role", "resource", "items")

    def __init__(self, role, resource, items):
        self.role = role
        self.resource = resource
        self.items = items


class Slope:
    """A figure of a report, with the command that measured it and the date."""

    __slots__ = ("value", "unit", "command", "date")

    def __init__(self, value, unit, command, date):
        self.value = value
        self.unit = unit
        self.command = command
        self.date = date


class MeasuredSlopes:
    """The slopes of all reports in a folder, by experiment and figure."""

    __slots__ = ("_slopes_by_key",)

    def __init__(self, slopes_by_key):
        self._slopes_by_key = slopes_by_key

    @classmethod
    def from_folder(cls, folder=REPORT_FOLDER):
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

    def get_slope(self, item):
        """Return the slope of an item, or None if it was not measured."""
        if item.fixed_slope is not None:
            return item.fixed_slope
        return self._slopes_by_key.get((item.experiment, item.figure))


def render_estimate(estimate, slopes):
    """Return the Markdown table of one estimate, with its total and budget."""
    resource = estimate.resource
    rows = [
        f"### {estimate.role}: {resource.name}",
        "",
        f"| what | slope | count | {resource.unit} | mechanism |",
        "| --- | --- | --- | --- | --- |",
    ]
    total = 0.0
    unmeasured_count = 0
    for item in estimate.items:
        slope = slopes.get_slope(item)
        if slope is None:
            unmeasured_count += 1
            value = NOT_MEASURED
            slope_text = f"`{item.experiment}`: `{item.figure}`: {NOT_MEASURED}"
        else:
            needed = slope.value * item.count * item.scale
            total += needed
            value = _format_number(needed)
            slope_text = f"{_format_number(slope.value)} {slope.unit} (`{item.figure}`)"
        rows.append(
            f"| {item.label} | {slope_text} "
            f"| {_format_number(item.count)} {item.count_meaning} "
            f"| {value} | {item.mechanism} |"
        )
    rows += ["", _budget_text(resource, total, unmeasured_count)]
    return "\n".join(rows)


def render_sources(estimates, slopes):
    """Return the Markdown table of the commands that measured the slopes."""
    rows = ["| experiment | command | taken on |", "| --- | --- | --- |"]
    seen = set()
    for item in (item for estimate in estimates for item in estimate.items):
        slope = slopes.get_slope(item)
        if slope is None or item.experiment in seen or not item.experiment:
            continue
        seen.add(item.experiment)
        rows.append(f"| {item.experiment} | `{slope.command}` | {slope.date} |")
    return "\n".join(rows)


def _format_number(value):
    """Format a number with three significant digits, or as an integer from 100 on."""
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _budget_text(resource, total, unmeasured_count):
    suffix = f", {unmeasured_count} lines not measured" if unmeasured_count else ""
    text = f"Total: {_format_number(total)} {resource.unit}"
    if resource.budget is None:
        return f"{text}{suffix}."
    verdict = "within" if total <= resource.budget else "OVER"
    return (
        f"{text}, {verdict} the budget of {resource.budget:,g} {resource.unit}{suffix}."
    )

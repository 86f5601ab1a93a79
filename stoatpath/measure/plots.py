"""Draws the figures of a report if matplotlib is installed."""

import os

from stoatpath.measure.reports import REPORT_FOLDER

NOT_INSTALLED = "no plot: install the extra `stoatpath[reports]` (matplotlib) to draw"
SUMMARY_SUFFIXES = (".deviation", ".lowest", ".highest")


def draw_report(report):
    """Write a bar chart of the means; return its path, or why there is none."""
    try:
        from matplotlib import pyplot
    except ImportError:
        return NOT_INSTALLED
    figures = [
        figure
        for figure in report.figures
        if not figure.name.endswith(SUMMARY_SUFFIXES)
    ]
    chart, axes = pyplot.subplots(figsize=(9, 1 + len(figures) / 4))
    axes.barh([each.name for each in figures], [each.value for each in figures])
    axes.set_title(f"{report.name}, seed {report.seed}")
    chart.tight_layout()
    path = os.path.join(REPORT_FOLDER, f"{report.name}.svg")
    chart.savefig(path)
    pyplot.close(chart)
    return path

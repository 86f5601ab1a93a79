"""Generates the tables of docs/CAPACITY.md from docs/measurements."""

import sys

from stoatpath.measure.capacities import (
    MeasuredSlopes,
    render_estimate,
    render_sources,
)
from stoatpath.measure.design_sizes import resource_estimates

PAGE = "docs/CAPACITY.md"
BEGIN = "<!-- tables: written by `make capacity` -->"
END = "<!-- end of tables -->"


def render_page(text):
    """Return the page with its tables generated again."""
    before, _, after_begin = text.partition(BEGIN)
    _, _, after = after_begin.partition(END)
    slopes = MeasuredSlopes.from_folder()
    parts = [render_estimate(estimate, slopes) for estimate in resource_estimates()]
    parts += [
        "### Where the slopes come from",
        render_sources(resource_estimates(), slopes),
    ]
    tables = "\n\n".join(parts)
    return f"{before}{BEGIN}\n\n{tables}\n\n{END}{after}"


def main():
    """Rewrite the page; return the exit code."""
    with open(PAGE, encoding="utf-8") as file:
        text = file.read()
    if BEGIN not in text or END not in text:
        print(f"{PAGE}: the marks around the tables are missing", file=sys.stderr)
        return 1
    with open(PAGE, "w", encoding="utf-8") as file:
        file.write(render_page(text))
    return 0


if __name__ == "__main__":
    sys.exit(main())

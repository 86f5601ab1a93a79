"""The program `stoatpath-measure`."""

import sys

from absl import app, flags

import stoatpath
from stoatpath.measure.experiments import MODULES_BY_NAME
from stoatpath.measure.trials import run_experiments
from stoatpath.tools.programs import show_flags

FLAGS = flags.FLAGS
EXIT_BAD_NAME = 2

flags.DEFINE_string("experiment", "all", "The experiment to run, or all.")
flags.DEFINE_integer("seed", 1, "The seed of all random choices.")
flags.DEFINE_bool("plots", False, "Draw the figures, with matplotlib installed.")
flags.DEFINE_bool("version", False, "Print the version and exit.")
show_flags("experiment", "seed", "plots", "version")


def main(argv):
    """Run experiments, write and print their reports; return the exit code."""
    if FLAGS.version:
        print(f"stoatpath-measure {stoatpath.VERSION}")
        return 0
    names = [FLAGS.experiment]
    if FLAGS.experiment == "all":
        names = sorted(MODULES_BY_NAME)
    for name in names:
        if name not in MODULES_BY_NAME:
            known = ", ".join(sorted(MODULES_BY_NAME))
            print(f"no experiment {name!r}; there are: {known}", file=sys.stderr)
            return EXIT_BAD_NAME
    print(f"running {', '.join(names)} ...", flush=True)
    for report in run_experiments(names, FLAGS.seed):
        path = report.write()
        report.print_table()
        print(f"  written to {path}", flush=True)
        if FLAGS.plots:
            _draw(report)
    return 0


def _draw(report):
    from stoatpath.measure.plots import draw_report

    print(f"  {draw_report(report)}")


def run():
    """Entry point of the program."""
    app.run(main)


if __name__ == "__main__":
    run()

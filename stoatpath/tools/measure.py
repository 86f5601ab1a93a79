"""The program `stoatpath-measure`."""

import sys

from absl import app, flags

from stoatpath.measure.experiments import MODULES_BY_NAME, run_experiment

FLAGS = flags.FLAGS
EXIT_BAD_NAME = 2

flags.DEFINE_string("experiment", "all", "The experiment to run, or all.")
flags.DEFINE_integer("seed", 1, "The seed of all random choices.")


def main(argv):
    """Run experiments, write and print their reports; return the exit code."""
    names = [FLAGS.experiment]
    if FLAGS.experiment == "all":
        names = sorted(MODULES_BY_NAME)
    for name in names:
        if name not in MODULES_BY_NAME:
            known = ", ".join(sorted(MODULES_BY_NAME))
            print(f"no experiment {name!r}; there are: {known}", file=sys.stderr)
            return EXIT_BAD_NAME
        print(f"running {name} ...", flush=True)
        report = run_experiment(name, FLAGS.seed)
        path = report.write()
        report.print_table()
        print(f"  written to {path}")
    return 0


def run():
    """Entry point of the program."""
    app.run(main)


if __name__ == "__main__":
    run()

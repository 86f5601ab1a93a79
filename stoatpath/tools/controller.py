"""The program `stoatpath-controller`."""

from absl import app

from stoatpath.controllers import Controller
from stoatpath.tools.programs import define_flags, run_daemon

define_flags()


def main(argv):
    """Run a controller; return the exit code."""
    return run_daemon("stoatpath-controller", Controller.from_settings)


def run():
    """Entry point of the program."""
    app.run(main)


if __name__ == "__main__":
    run()

"""The program `stoatpath-router`."""

from absl import app

from stoatpath.routers import Router
from stoatpath.tools.programs import define_flags, run_daemon

define_flags()


def main(argv):
    """Run a router; return the exit code."""
    return run_daemon("stoatpath-router", Router.from_settings)


def run():
    """Entry point of the program."""
    app.run(main)


if __name__ == "__main__":
    run()

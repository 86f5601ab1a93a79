"""The command line and main loop that the daemons share."""

import asyncio
import logging
import signal
import sys

import uvloop
from absl import flags

import stoatpath
from stoatpath import log
from stoatpath.settings import Settings
from stoatpath.tools.command_lines import (
    EXIT_BAD_SETTINGS,
    EXIT_CUT,
    EXIT_OK,
    show_flags,
)

logger = logging.getLogger(__name__)

FLAGS = flags.FLAGS


def define_flags():
    """Define the flags that every daemon has."""
    flags.DEFINE_string("settings", None, "Settings file, JSON with comments.")
    flags.DEFINE_bool("check", False, "Check the settings and exit.")
    flags.DEFINE_bool("version", False, "Print the version and exit.")
    show_flags("settings", "check", "version")


def run_daemon(program, build):
    """Run the daemon that `build(settings)` returns until SIGTERM or SIGINT.

    Return the exit code, which is 1 if work was cut off at the shutdown deadline.
    """
    if FLAGS.version:
        print(f"{program} {stoatpath.VERSION}")
        return EXIT_OK
    if FLAGS.settings is None:
        print(f"{program}: --settings FILE is needed", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings, problems = Settings.from_file(FLAGS.settings)
    for problem in problems:
        print(f"{FLAGS.settings}: {problem}", file=sys.stderr)
    if problems:
        return EXIT_BAD_SETTINGS
    if FLAGS.check:
        print(f"{FLAGS.settings}: no problems found")
        return EXIT_OK
    log.setup(program, settings.name, settings.log_level)
    return uvloop.run(_serve(build(settings)))


async def _serve(daemon):
    """Run a daemon until the first signal; print pending work at later signals."""
    stopping = asyncio.Event()

    def handle_signal():
        if stopping.is_set():
            print(
                f"still stopping; {daemon.pending_work()}", file=sys.stderr, flush=True
            )
        stopping.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle_signal)
    loop.add_signal_handler(signal.SIGHUP, _ignore_hangup)
    await daemon.start()
    logger.info("program.listening", extra=daemon.addresses())
    await stopping.wait()
    is_clean = await daemon.stop()
    return EXIT_OK if is_clean else EXIT_CUT


def _ignore_hangup():
    """Log SIGHUP, which would end the process and cut its requests by default."""
    logger.info("program.hangup-ignored")

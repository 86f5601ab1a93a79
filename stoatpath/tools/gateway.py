"""The program `stoatpath-gateway`: the router on the users' platform."""

import asyncio
import logging
import os
import signal
import sys

import uvloop
from absl import app, flags

import stoatpath
from stoatpath import log
from stoatpath.gateways import Gateway
from stoatpath.outcomes import is_failure
from stoatpath.platform.boot_files import BOOT_VARIABLE, BootFile
from stoatpath.platform.deploy_files import DeployFile
from stoatpath.tools.command_lines import (
    EXIT_BAD_SETTINGS,
    EXIT_CUT,
    EXIT_OK,
    show_flags,
)

logger = logging.getLogger("stoatpath.tools.gateway")

FLAGS = flags.FLAGS
PROGRAM = "stoatpath-gateway"

flags.DEFINE_string(
    "boot", None, f"Settings file; else the one that ${BOOT_VARIABLE} names."
)
flags.DEFINE_integer("metrics_port", 7340, "Port of the metrics; 0 takes a free one.")
flags.DEFINE_float(
    "extra_work_share",
    0.0,
    "Share of requests, and of their tokens, that may be sent a second time against "
    "slow answers, by service; 0 sends no stream twice.",
    lower_bound=0.0,
    upper_bound=0.5,
)
flags.DEFINE_bool("check", False, "Check the settings and exit.")
flags.DEFINE_string("deploy", None, "Deploy file to check beside the settings.")
flags.DEFINE_bool("version", False, "Print the version and exit.")
show_flags("boot", "metrics_port", "extra_work_share", "check", "deploy", "version")


def main(argv):
    """Run a gateway until SIGTERM; return the exit code."""
    if FLAGS.version:
        print(f"{PROGRAM} {stoatpath.VERSION}")
        return EXIT_OK
    if FLAGS.check:
        return _check()
    boot = _read_boot()
    if is_failure(boot):
        print(f"{PROGRAM}: {boot.detail}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    log.setup(PROGRAM, boot.instance, handler=log.BoundedHandler(sys.stdout.fileno()))
    gateway = Gateway.from_boot(boot, extra_work_share=FLAGS.extra_work_share)
    code = uvloop.run(_serve(gateway))
    # Freeing all objects would take some of the grace period.
    sys.stdout.flush()
    os._exit(code)


def _check():
    """Print all problems of the settings file and of the deploy file, if given.

    With only a deploy file, the settings are not checked.
    """
    results = []
    if FLAGS.boot or not FLAGS.deploy:
        results.append(_read_boot())
    if FLAGS.deploy:
        results.append(DeployFile.from_file(FLAGS.deploy))
    failures = [each for each in results if is_failure(each)]
    for failure in failures:
        print(f"{PROGRAM}: {failure.detail}", file=sys.stderr)
    if failures:
        return EXIT_BAD_SETTINGS
    print(f"{PROGRAM}: no problems found")
    return EXIT_OK


async def _serve(gateway):
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, gateway)
    await gateway.start(f"{gateway.boot.ip}:{FLAGS.metrics_port}")
    logger.info("program.listening", extra=gateway.addresses() | {"pid": os.getpid()})
    await stopping.wait()
    is_clean = await gateway.stop()
    logger.info("program.stopped", extra={"is_clean": is_clean})
    return EXIT_OK if is_clean else EXIT_CUT


def _read_boot():
    return BootFile.from_file(FLAGS.boot) if FLAGS.boot else BootFile.from_environment()


def _reload(gateway):
    boot = _read_boot()
    if is_failure(boot):
        logger.error("settings.unreadable", extra={"why": boot.detail})
    else:
        gateway.reload(boot)


def run():
    """Entry point of the program."""
    app.run(main)


if __name__ == "__main__":
    run()

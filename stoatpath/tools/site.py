"""Starts a small site, sends requests of every kind, checks the guarantees."""

import asyncio
import logging
import sys

from absl import app, flags

from stoatpath import log
from stoatpath.standins.sites import Site
from stoatpath.tools.demonstrations import Demonstration

FLAGS = flags.FLAGS

flags.DEFINE_bool("serve", False, "Keep the site up and print how to reach it.")
flags.DEFINE_string("log_file", "", "Where the log lines of all processes go.")


async def _run():
    site = Site()
    print("Starting the site: stand-ins, two routers, one controller ...", flush=True)
    await site.start()
    try:
        demonstration = Demonstration(site)
        print("Submitting the sample configurations ...", flush=True)
        await demonstration.submit_samples()
        if FLAGS.serve:
            demonstration.print_addresses()
            await asyncio.Event().wait()
        print("Sending requests ...", flush=True)
        return await demonstration.run()
    finally:
        await site.stop()


def main(argv):
    """Run the site; return the exit code."""
    if FLAGS.log_file:
        with open(FLAGS.log_file, "w", encoding="utf-8") as stream:
            log.setup("site", "local", stream=stream)
            return asyncio.run(_run())
    logging.getLogger("stoatpath").setLevel(logging.CRITICAL)
    try:
        return asyncio.run(_run())
    except KeyboardInterrupt:
        return 0


def run():
    """Entry point of the program."""
    app.run(main)


if __name__ == "__main__":
    sys.exit(run())

"""The program `stoatpath-standins`: a local platform and backend servers."""

import asyncio
import json
import signal

from absl import app, flags

import stoatpath
from stoatpath.services.messages import ListedInstance
from stoatpath.standins.sites import Site

FLAGS = flags.FLAGS
MEMBER_FIELDS = 4
EXIT_BAD_MEMBER = 2

flags.DEFINE_list(
    "members",
    [],
    "Routers and controllers to list, each NAME/ROLE/ZONE/IP:PORT (its peer address).",
)
flags.DEFINE_bool("version", False, "Print the version and exit.")


def _read_member(text):
    """Return a listed instance, or None if the text is malformed."""
    fields = text.split("/")
    if len(fields) != MEMBER_FIELDS or fields[1] not in ("router", "controller"):
        return None
    name, role, zone, address = fields
    return ListedInstance(name, role, address, zone, "", "live")


async def _serve(members):
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    site = Site()
    urls = await site.start_standins()
    for member in members:
        site.instance_list.add(member)
    print("// Put this into the settings of routers and controllers.")
    print(json.dumps(urls, indent=2), flush=True)
    await stopping.wait()
    await site.stop()


def main(argv):
    """Run the stand-ins until SIGTERM; return the exit code."""
    if FLAGS.version:
        print(f"stoatpath-standins {stoatpath.VERSION}")
        return 0
    members = [_read_member(text) for text in FLAGS.members]
    if None in members:
        print("--members: expected NAME/ROLE/ZONE/IP:PORT, role router or controller")
        return EXIT_BAD_MEMBER
    asyncio.run(_serve(members))
    return 0


def run():
    """Entry point of the program."""
    app.run(main)


if __name__ == "__main__":
    run()

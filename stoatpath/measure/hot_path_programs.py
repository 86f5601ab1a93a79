"""The processes of the hot-path experiment: a site, a router or a relay.

Run as `python -m stoatpath.measure.hot_path_programs ROLE ARGUMENT`. Each writes a
line of JSON once it listens, then one with its usage for every line that it reads.
"""

import asyncio
import logging
import os
import sys
import time

import uvloop

from stoatpath import log
from stoatpath.measure.relays import Relay
from stoatpath.routers import Router
from stoatpath.settings import Settings
from stoatpath.standins.sites import Site
from stoatpath.tools.demonstrations import Demonstration
from stoatpath.utils import decode_json, encode_json

SITE = "site"
ROUTER = "router"
RELAY = "relay"
ENGINE_SLOTS = 4_096
RATE_PER_S = 1_000_000
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class _FastSite(Site):
    """The small site with a single sample configuration."""

    __slots__ = ()

    def sample_files(self):
        """Return the path of one sample configuration."""
        return [path for path in super().sample_files() if "coral-coast" in path]


def raise_rate_limits(changes):
    """Return the changes with rate limits too high to be reached."""
    for change in changes:
        if change.kind == "organisation":
            change.body["parameters"]["rate_per_s"] = RATE_PER_S
    return changes


async def _start_site(argument):
    site = _FastSite()
    await site.start(routers=1)
    for engine in site.engines_by_name.values():
        engine.slots = ENGINE_SLOTS
        engine.token_ms = argument["token_ms"]
    await Demonstration(site, raise_rate_limits).submit_samples()
    engine = site.engines_by_name["engine-tern-large-1"]
    settings = site.settings("router-9", "zone-b")
    return {
        "engine": engine.address,
        "settings": {
            name.upper(): getattr(settings, name) for name in Settings.__slots__
        },
    }


async def _start_router(argument):
    if argument.get("logs"):
        log.setup(ROUTER, ROUTER, stream=open(os.devnull, "w", encoding="utf-8"))
    settings, problems = Settings.from_mapping(argument["settings"])
    if problems:
        raise ValueError("; ".join(map(str, problems)))
    router = Router.from_settings(settings)
    await router.start()
    return {"address": router.address}


async def _start_relay(argument):
    relay = Relay(argument["engine"])
    await relay.start()
    return {"address": relay.address}


def _read_usage():
    with open("/proc/self/statm", encoding="ascii") as file:
        resident_bytes = int(file.read().split()[1]) * PAGE_BYTES
    return {"cpu_s": time.process_time(), "resident_bytes": resident_bytes}


async def _serve(role, argument):
    start = {SITE: _start_site, ROUTER: _start_router, RELAY: _start_relay}[role]
    _write_line(await start(argument))
    loop = asyncio.get_running_loop()
    while await loop.run_in_executor(None, sys.stdin.readline):
        _write_line(_read_usage())


def _write_line(message):
    sys.stdout.write(encode_json(message).decode() + "\n")
    sys.stdout.flush()


def main():
    """Run one process until its input ends."""
    logging.getLogger("stoatpath").setLevel(logging.CRITICAL)
    role, argument = sys.argv[1:]
    uvloop.run(_serve(role, decode_json(argument.encode())))


if __name__ == "__main__":
    main()

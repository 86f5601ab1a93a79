"""Processor time and memory of single decisions; the times vary from run to run."""

import random
import time
import tracemalloc

from stoatpath.measure.reports import Figure, Report
from stoatpath.membership.backends import ENGINE, BackendServers
from stoatpath.outcomes import is_failure
from stoatpath.platform.messages import LiveInstance
from stoatpath.routing.choosers import Chooser
from stoatpath.routing.messages import RoutingQuery

NAME = "decision-costs"
BACKEND_COUNTS = (9, 280, 2_800)
VERSIONS = 29
CHOICES = 2_000
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
MICROSECONDS = 1_000_000


def run(seed):
    """Return the slopes of routing, admission and cascades."""
    figures = []
    for count in BACKEND_COUNTS:
        figures.append(_choice_time(seed, count))
    figures.append(_bytes_per_backend())
    return Report(NAME, seed, figures, is_timed=True)


def time_each(action, count):
    """Return the processor time of one call of many, in microseconds."""
    started = time.process_time()
    for index in range(count):
        action(index)
    return (time.process_time() - started) * MICROSECONDS / count


def bytes_each(build, count):
    """Return the memory that one of many built objects takes."""
    tracemalloc.start()
    kept = build(count)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / count


def _choice_time(seed, count):
    servers = _build_servers(count)
    chooser = Chooser(ZONES[0], random.Random(seed))

    def choose(index):
        query = RoutingQuery(f"req-{index}", "service", "model@0", 100, 60_000.0, set())
        choice = chooser.choose(query, servers.serving("model@0"), 100.0)
        if is_failure(choice):
            raise AssertionError(choice.detail)

    value = time_each(choose, CHOICES)
    return Figure(f"routing.choice_us.backends-{count}", round(value, 2), "us")


def _bytes_per_backend():
    value = bytes_each(_build_servers, BACKEND_COUNTS[-1])
    return Figure("routing.bytes_per_backend", round(value), "bytes")


def _build_servers(count):
    """Return backend servers of which every one serves `model@0` and one other."""
    servers = BackendServers()
    entries = {}
    for index in range(count):
        name = f"engine-{index}"
        zone = ZONES[index % len(ZONES)]
        entries[name] = LiveInstance(name, ENGINE, "10.0.0.1:80", zone, "m", "live")
    servers.apply_list(entries, -60_000.0)
    for index, name in enumerate(entries):
        versions = ["model@0", f"model@{1 + index % (VERSIONS - 1)}"]
        report = {
            "versions": versions,
            "slots": 16,
            "running": index % 16,
            "token_ms": 20.0,
            "leaving": False,
        }
        servers.apply_report(name, report, 0.0)
    return servers

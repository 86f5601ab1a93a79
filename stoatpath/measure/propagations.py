"""Measures how fast changes of the store reach the instances of a model fleet."""

import argparse
import asyncio
import logging
from collections import Counter

from stoatpath.measure.relay_models import LEAD, ModelFleet, build_config_value
from stoatpath.measure.virtual_loops import run_virtually
from stoatpath.utils import cancel_and_wait

SETTLE_S = 5.0
SAMPLE_S = 0.005
LIMIT_MS = 12_000.0
BURST_MS = 50.0
LINKS_MBITS = (10, 100, 5, 20)
SMALL_ROUTES = 20
LARGE_ROUTES = 1_400
CONFIG_KEY = "config"
SERVERS = 40
SERVER_VALUE = bytes(200)
NO_FAULT = "none"
# The reader and others of its zone lose the store, as in a recorded trial with 18 of
# 59 instances.
READER_ZONE_CUT = "reader-zone-cut"
READER_CUT = "reader-cut"
READER_SILENT = "reader-silent"
# The reader's zone loses the store, and the instances below its first followers too.
READER_ISOLATED = "reader-isolated"
FAULTS = (NO_FAULT, READER_CUT, READER_ZONE_CUT, READER_SILENT, READER_ISOLATED)


class ChangeTimes:
    """How long a change took from the store to each instance, in ms.

    `times_ms` are sorted; instances that did not get it within `LIMIT_MS` are
    `missing`. `peak_calls` is the highest number of store calls in `BURST_MS`,
    `rejected` counts the rejected sources by reason, `given_up` the answers not
    waited for, `bytes_sent` what the instances sent to each other.
    """

    __slots__ = (
        "times_ms",
        "missing",
        "peak_calls",
        "calls",
        "rejected",
        "given_up",
        "bytes_sent",
    )

    def __init__(self):
        self.times_ms = []
        self.missing = 0
        self.peak_calls = 0
        self.calls = 0
        self.rejected = Counter()
        self.given_up = 0
        self.bytes_sent = 0

    @property
    def last_ms(self):
        """The time until the last instance had the change, or infinity."""
        return float("inf") if self.missing else self.times_ms[-1]

    def __str__(self):
        times = self.times_ms or [float("nan")]
        return (
            f"first {times[0]:.0f} median {times[len(times) // 2]:.0f} "
            f"last {times[-1]:.0f} missing {self.missing} calls {self.calls} "
            f"peak {self.peak_calls} given up {self.given_up} "
            f"MB {self.bytes_sent / 1e6:.1f} rejected {dict(self.rejected)}"
        )


class RejectionCounter(logging.Handler):
    """Counts the rejected sources by reason."""

    def __init__(self):
        super().__init__()
        self.counts = Counter()

    def emit(self, record):
        """Count a record of a rejected source."""
        if record.getMessage() == "tables.source-rejected":
            self.counts[record.why] += 1


def measure_change(
    count,
    zones,
    bound_ms,
    links_mbits=LINKS_MBITS,
    fault=NO_FAULT,
    routes=LARGE_ROUTES,
    delay_ms=0.0,
    seed=1,
    plain=(),
    writes_per_s=0.0,
):
    """Run a fleet, let the fault begin, change the operator's row; return the times.

    The change follows the fault after `delay_ms`. The instances in `plain`, by index,
    do not understand compressed rows. Rows of servers change `writes_per_s` times.
    """
    counter = RejectionCounter()
    logger = logging.getLogger("stoatpath.feeds.relays")
    level = logger.level
    logger.addHandler(counter)
    logger.setLevel(logging.INFO)
    try:
        return run_virtually(
            lambda loop: _run(
                ModelFleet(loop, count, zones, bound_ms, seed, links_mbits),
                fault,
                routes,
                delay_ms,
                counter,
                plain,
                writes_per_s,
            )
        )
    finally:
        logger.removeHandler(counter)
        logger.setLevel(level)


async def _write_servers(fleet, writes_per_s):
    index = 0
    while writes_per_s:
        await asyncio.sleep(1 / writes_per_s)
        index += 1
        fleet.store.put("servers", f"server-{index % SERVERS}", value=SERVER_VALUE)


async def _run(fleet, fault, routes, delay_ms, counter, plain, writes_per_s):
    value = build_config_value(SMALL_ROUTES, 1)
    fleet.store.put(LEAD, CONFIG_KEY, value=value)
    names = list(fleet.instances_by_name)
    fleet.plain.update(names[index] for index in plain)
    fleet.start()
    writes = asyncio.create_task(_write_servers(fleet, writes_per_s))
    try:
        await asyncio.sleep(SETTLE_S)
        result = ChangeTimes()
        start_fault(fleet, fault)
        await asyncio.sleep(delay_ms / 1000)
        counter.counts.clear()
        calls_before = len(fleet.store.call_starts)
        bytes_before, given_up_before = fleet.bytes_sent, fleet.given_up
        value = build_config_value(routes, 2)
        version = fleet.store.put(LEAD, CONFIG_KEY, value=value)
        await _wait_for_version(fleet, version, result)
        result.calls = len(fleet.store.call_starts) - calls_before
        result.peak_calls = _peak(fleet.store.call_starts[calls_before:])
        result.rejected = Counter(counter.counts)
        result.given_up = fleet.given_up - given_up_before
        result.bytes_sent = fleet.bytes_sent - bytes_before
        return result
    finally:
        await cancel_and_wait([writes])
        await fleet.stop()


def start_fault(fleet, fault):
    """Begin a fault of `FAULTS`."""
    reader = fleet.readers()[0]
    zone = [
        each.name
        for each in fleet.instances_by_name.values()
        if each.zone == reader.zone
    ]
    if fault in (READER_CUT, READER_SILENT):
        fleet.store.unreachable_from.add(reader.name)
    if fault in (READER_ZONE_CUT, READER_ISOLATED):
        fleet.store.unreachable_from.update(zone)
    if fault == READER_SILENT:
        fleet.silent.add(reader.name)
    if fault == READER_ISOLATED:
        others = set(fleet.instances_by_name) - set(zone)
        fleet.cuts.update(frozenset((reader.name, name)) for name in others)


async def _wait_for_version(fleet, version, result):
    started_s = fleet.loop.time()
    waiting = {name for name in fleet.instances_by_name if name not in fleet.silent}
    while waiting:
        now_ms = (fleet.loop.time() - started_s) * 1000
        for name in list(waiting):
            if fleet.instances_by_name[name].version(LEAD) >= version:
                waiting.remove(name)
                result.times_ms.append(now_ms)
        if now_ms > LIMIT_MS:
            break
        await asyncio.sleep(SAMPLE_S)
    result.missing = len(waiting)


def _peak(call_starts):
    times = [started_ms for started_ms, _ in call_starts]
    peak = first = 0
    for index, started_ms in enumerate(times):
        while times[first] < started_ms - BURST_MS:
            first += 1
        peak = max(peak, index - first + 1)
    return peak


def main():
    """Print the times for sizes of fleets and faults."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[7, 69, 195, 544])
    parser.add_argument("--faults", nargs="+", default=FAULTS, choices=FAULTS)
    parser.add_argument("--zones", type=int, default=3)
    parser.add_argument("--bound-ms", type=float, default=2_500.0)
    parser.add_argument("--routes", type=int, default=LARGE_ROUTES)
    parser.add_argument("--links-mbits", type=float, nargs="+", default=LINKS_MBITS)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--writes-per-s", type=float, default=0.0)
    arguments = parser.parse_args()
    for count in arguments.sizes:
        for fault in arguments.faults:
            for seed in range(1, arguments.seeds + 1):
                result = measure_change(
                    count,
                    arguments.zones,
                    arguments.bound_ms,
                    arguments.links_mbits,
                    fault,
                    arguments.routes,
                    seed=seed,
                    writes_per_s=arguments.writes_per_s,
                )
                print(f"{count} {fault} seed {seed}: {result}", flush=True)


if __name__ == "__main__":
    main()

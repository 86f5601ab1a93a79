"""Measures the resident memory and idle processor time of real daemons."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile

from stoatpath.measure.reports import Figure, Report, Target
from stoatpath.standins.sites import Site

NAME = "footprints"
MODULES_BY_ROLE = {
    "router": "stoatpath.tools.router",
    "controller": "stoatpath.tools.controller",
}
MEMORY_BUDGET_KB = 64_000
CORE_BUDGET = 0.034
SETTLE_S = 5
MEASURED_S = 10
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def run(seed):
    """Start one daemon of each role at a small site and measure it while idle."""
    figures = []
    targets = []
    for role, module in MODULES_BY_ROLE.items():
        usage = asyncio.run(_measure_daemon(role, module))
        figures.append(Figure(f"{role}.resident_kb", usage.resident_kb, "kB"))
        figures.append(Figure(f"{role}.idle_core", usage.core_share, "core"))
        targets.append(Target(f"{role}.resident_kb", "at-most", MEMORY_BUDGET_KB))
        targets.append(Target(f"{role}.idle_core", "at-most", CORE_BUDGET))
    return Report(NAME, seed, figures, targets, is_timed=True)


class _Usage:
    """Resident memory in kB, and processor time as a share of one core."""

    __slots__ = ("resident_kb", "core_share")

    def __init__(self, resident_kb, core_share):
        self.resident_kb = resident_kb
        self.core_share = core_share


async def _measure_daemon(role, module):
    site = Site()
    urls_by_setting = await site.start_standins()
    try:
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "settings.json5")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(_build_settings(role, urls_by_setting), file)
            return await _measure_process(
                [sys.executable, "-m", module, "--settings", path]
            )
    finally:
        await site.stop()


def _build_settings(role, urls_by_setting):
    return {
        "NAME": f"{role}-1",
        "ZONE": "zone-a",
        "SESSION_KEYS": {"1": "sample-session-key"},
        "PEER_KEYS": {"1": "sample-peer-key"},
        "BALANCER_LAG_MS": 0,
        **urls_by_setting,
    }


async def _measure_process(command):
    process = subprocess.Popen(command, stderr=subprocess.DEVNULL)
    try:
        await asyncio.sleep(SETTLE_S)
        before_s = _cpu_s(process.pid)
        await asyncio.sleep(MEASURED_S)
        core_share = (_cpu_s(process.pid) - before_s) / MEASURED_S
        return _Usage(_resident_kb(process.pid), round(core_share, 5))
    finally:
        process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(process.wait)


def _resident_kb(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


def _cpu_s(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

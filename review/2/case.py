"""A gateway gets SIGTERM; bookings that it accepts afterwards take two seconds."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from harness import (
    GRACE_S,
    READY_PERIOD_S,
    Replica,
    config,
    main,
    plain_work,
    route,
    send,
)

KEY = "n2ctnfzs989anu6wsjnb"
TIMEOUT_MS = 4_000
WORK_S = 2.0
PERIOD_S = 0.1
BEFORE_S = 2.0
LOSS_SLACK_S = 0.2


class Rotation:
    """The platform's choice of a gateway for the callers of a zone.

    It asks each gateway once a second and takes it out of rotation after two misses. If
    fewer than half of a zone's gateways are in rotation, all of that zone are used.
    """

    def __init__(self, site):
        self._site = site
        self._misses = {gateway: 0 for gateway in site.gateways}

    async def run(self):
        while True:
            for gateway in self._site.gateways:
                is_ready = await gateway.is_ready()
                before = self._misses[gateway]
                self._misses[gateway] = 0 if is_ready else before + 1
                if self._misses[gateway] == 2:
                    self._site.record.line(f"{gateway.name} is out of rotation")
            await asyncio.sleep(READY_PERIOD_S)

    def choose(self, zone):
        of_zone = [each for each in self._site.gateways if each.zone == zone]
        in_rotation = [each for each in of_zone if self._misses[each] < 2]
        return in_rotation[0] if 2 * len(in_rotation) >= len(of_zone) else of_zone[0]


def build_config():
    routes = [
        route(
            "bookings",
            "/book/",
            "non_idempotent",
            "booking-desk",
            timeout_ms=TIMEOUT_MS,
        )
    ]
    tenants = [{"name": "hule930", "api_keys": [KEY], "priority": 1}]
    return config(3, routes, ["booking-desk"], tenants)


async def case(site, has_trouble):
    record = site.record
    replicas = [
        Replica(
            f"i-{index}", "booking-desk", zone, record, plain_work(WORK_S), slots=64
        )
        for index, zone in enumerate(site.zones * 2)
    ]
    await site.start(build_config(), replicas)
    rotation = Rotation(site)
    watching = asyncio.create_task(rotation.run())
    zone = site.zones[0]
    stopped = site.gateways[0]
    sends = []

    async def press(seconds):
        until = record.now() + seconds
        while record.now() < until:
            gateway = rotation.choose(zone)
            task = asyncio.create_task(
                send(record, gateway.front, "/book/1", KEY, deadline_ms=TIMEOUT_MS)
            )
            sends.append((gateway, task))
            await asyncio.sleep(PERIOD_S)

    await press(BEFORE_S)
    terminated = record.now()
    if has_trouble:
        stopped.signal(signal.SIGTERM)
    await press(GRACE_S + 1.0)
    answers = [(gateway, await task) for gateway, task in sends]
    watching.cancel()
    if has_trouble:
        record.line(f"{stopped.name} ended with code {stopped.process.returncode}")
    runs = {run.id: run for replica in replicas for run in replica.runs}
    lost = []
    for gateway, answer in answers:
        if gateway is not stopped or not answer.was_connected or answer.is_complete:
            continue
        if not terminated <= answer.ended <= terminated + GRACE_S + 1.0:
            continue
        run = runs.get(answer.id)
        if run is None:
            continue  # not passed on: judged by what the replicas saw alone
        has_used_time = answer.ended - answer.sent >= TIMEOUT_MS / 1000 - 0.1
        was_late_work = run.ended >= terminated + GRACE_S * 5 / 6
        is_excused = was_late_work and answer.sent <= terminated + 3.0
        if not has_used_time and not is_excused:
            lost.append((answer, run))
    for answer, run in lost:
        record.line(
            f"lost: {answer.id} sent {answer.sent - terminated:.2f} s after SIGTERM, ran at "
            f"{run.replica.name} from {run.began - terminated:.2f} s, connection closed at "
            f"{answer.ended - terminated:.2f} s"
        )
    if not lost:
        return []
    return [
        f"LOST: {len(lost)} bookings that were sent after the SIGTERM, read and passed on to a "
        f"replica got no answer, first {lost[0][0].id}"
    ]


main(case)

"""Another writer's entry is among those of the replicas when all gateways restart."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from harness import Replica, config, main, plain_work, route, send

KEY = "n2ctnfzs989anu6wsjnb"
SERVICE = "booking-desk"
TIME_BUDGET_MS = 4_000
PERIOD_S = 0.1
BEFORE_S = 3.0
DOWN_S = 0.84
RECOVER_S = 12.0
AFTER_S = 4.0
# The entry has all fields of a replica's, and one of another type: a text for a number.
FOREIGN_ENTRY = {
    "service": SERVICE,
    "address": "127.0.0.1:9",
    "zone": "hall-taf",
    "version": "v1",
    "slots": "-32",
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 1,
}


def build_config():
    routes = [
        route("bookings", "/book/", "non_idempotent", SERVICE, timeout_ms=4_000),
        route("lookups", "/look/", "idempotent", SERVICE, max_attempts=2),
    ]
    tenants = [{"name": "hule930", "api_keys": [KEY], "priority": 1}]
    return config(3, routes, [SERVICE], tenants)


async def case(site, has_trouble):
    record = site.record
    replicas = [
        Replica(f"i-{index}", SERVICE, zone, record, plain_work(0.06))
        for index, zone in enumerate(site.zones + site.zones[:1])
    ]
    await site.start(build_config(), replicas)

    async def press(seconds):
        tasks = []
        until = record.now() + seconds
        while record.now() < until:
            number = len(tasks)
            gateway = site.gateways[number % len(site.gateways)]
            path = "/look/1" if number % 3 == 2 else "/book/1"
            tasks.append(
                asyncio.create_task(
                    send(record, gateway.front, path, KEY, deadline_ms=TIME_BUDGET_MS)
                )
            )
            await asyncio.sleep(PERIOD_S)
        return await asyncio.gather(*tasks)

    before = await press(BEFORE_S)
    # The final fault: all processes are killed, and start again.
    for gateway in site.gateways:
        gateway.signal(signal.SIGKILL)
        await gateway.process.wait()
    if has_trouble:
        await site.store.put("servers", "other-7f3a91c2", FOREIGN_ENTRY)
        record.line(f"another writer has put servers/other-7f3a91c2: {FOREIGN_ENTRY}")
    await asyncio.sleep(DOWN_S)
    await asyncio.gather(
        *(site.start_gateway(each, is_first=False) for each in site.gateways)
    )
    await asyncio.gather(*(each.wait_until_ready() for each in site.gateways))
    back = record.now()
    record.line("all gateways are back and say that they are ready")
    await asyncio.sleep(RECOVER_S)
    after = await press(AFTER_S)
    served_before = sum(each.status == 200 and each.is_complete for each in before)
    served_after = sum(each.status == 200 and each.is_complete for each in after)
    record.line(f"before the final fault {served_before} of {len(before)} were served")
    record.line(
        f"{after[0].sent - back:.1f} s after the return and later {served_after} of "
        f"{len(after)} were served; {sum(each.status is None for each in after)} got no "
        "answer in their time"
    )
    if 4 * served_before < len(before) or 4 * served_after >= len(after):
        return []
    return [
        f"RECOVER: {served_after} of {len(after)} requests sent later than "
        f"{RECOVER_S:g} s after the return were served, and {served_before} of "
        f"{len(before)} before the final fault"
    ]


main(case)

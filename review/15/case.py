"""A release on one replica that answers several times slower is never rolled back."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_3 import Caller, Replica, config, has_trouble, now, run_case

FOLDER = Path(__file__).resolve().parent
CALLERS = 6
WORK_S = 0.01
SLOWER = 8
ORDER_S = 3.0
DURATION_S = 24.0
ROLLBACK_S = 5.0
BAD_ANSWERS = 50
END_S = 32.0


async def send(deployment, index, sent):
    caller = Caller(deployment.gateways[index % 2].front)
    number = 0
    while now() < deployment.began + END_S:
        request_id = f"r{index}-{number}"
        sent[request_id] = now()
        answer = await caller.ask(f"/look/{number}", request_id)
        deployment.note(f"{request_id} is answered {answer.status}")
        number += 1
        await asyncio.sleep(0.05)


async def main(deployment):
    old = Replica("i-old", "booking-desk", work_s=WORK_S)
    await deployment.start([old], config(1), gateways=2)
    sent = {}
    senders = [
        asyncio.create_task(send(deployment, index, sent)) for index in range(CALLERS)
    ]
    work_s = SLOWER * WORK_S if has_trouble() else WORK_S
    new = Replica("i-new", "booking-desk", "v2", work_s)
    await deployment.sleep_until(ORDER_S)
    await deployment.add_replica(new)
    order = {"service": "booking-desk", "to": "v2", "duration_s": DURATION_S}
    await deployment.store.put("op", "rollout/booking-desk", order)
    deployment.note(f"the operator orders v2, whose work takes {1000 * work_s:.0f} ms")
    state = None
    while now() < deployment.began + END_S:
        found = deployment.store.value("status", "rollout/booking-desk")
        if found is not None and found["state"] != state:
            state = found["state"]
            deployment.note(f"the status is {state}: {found.get('reason')}")
            if state == "completed":
                # Its replicas stop at once.
                await deployment.store.remove("servers", old.name)
                await old.close()
        await asyncio.sleep(0.05)
    await asyncio.gather(*senders)
    bad = sorted(ran + work_s for ran, *_ in new.runs) if has_trouble() else []
    late = []
    if len(bad) >= BAD_ANSWERS:
        limit = bad[BAD_ANSWERS - 1] + ROLLBACK_S
        late = [each for _, each in new.arrivals if sent[each] > limit]
        at = deployment.seconds(bad[BAD_ANSWERS - 1])
        deployment.note(f"bad answer {BAD_ANSWERS} came at {at:.3f} s")
    for arrived, request_id in new.arrivals:
        at = deployment.seconds(arrived)
        deployment.note(f"i-new got {request_id} at {at:.3f} s")
    deployment.note(f"{len(bad)} bad answers, {len(late)} requests past the bound")
    print(
        f"status {state}, {len(bad)} bad answers, {len(late)} requests past the bound"
    )
    return 1 if late else 0


run_case(main, FOLDER)

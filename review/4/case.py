"""A replica crashes within streams; one that fails part of its requests gets some of them."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from harness import (
    HEARTBEAT_S,
    CannotRun,
    Replica,
    config,
    encode_head,
    main,
    reply,
    route,
    seal,
    send,
)

KEY = "n2ctnfzs989anu6wsjnb"
SERVICE = "stoat-llm"
MODEL = "daka510000"
EVENTS = 20
EVENT_S = 0.2
# One replica of seven crashes and one of seven fails part of its requests: 0.143 of them.
REPLICAS = 7
FAILED_SHARE = 0.45
STREAMS = 150
SHORT_PROMPT, LONG_PROMPT = 628, 6_610
WAVES = 2
CRASH_AFTER_S = 2.0
# An entry goes after three heartbeats of silence.
DOWN_S = 3 * HEARTBEAT_S
FAILED_STATUS = int(os.environ.get("FAILED_STATUS", "409"))


def build_config():
    routes = [
        route(
            "notes",
            "/note/",
            "streaming",
            SERVICE,
            timeout_ms=20_000,
            target_latency_ms=1_000,
            gap_aim_ms=800,
            max_attempts=3,
            resumable=True,
            sticky=True,
        )
    ]
    tenants = [{"name": "hule930", "api_keys": [KEY], "priority": 1}]
    whole = config(3, routes, [SERVICE], tenants)
    whole["services"][0]["engine"] = {
        "slots": 64,
        "kv_tokens": 432311,
        "models": [{"name": MODEL, "cost": 0.35}],
    }
    return whole


class Service:
    """What the replicas of the service do. `grey` fails part of its requests."""

    def __init__(self):
        self.grey = None
        self.requests = 0

    def fails(self, replica):
        if replica is not self.grey:
            return False
        self.requests += 1
        return int(self.requests * FAILED_SHARE) > int(
            (self.requests - 1) * FAILED_SHARE
        )

    async def work(self, run, writer):
        replica = run.replica
        start = int(run.request.header("Last-Event-Id") or 0)
        if self.fails(replica):
            replica.record.line(
                f"{replica.name} answers {run.id} {FAILED_STATUS}, resumed after {start}"
            )
            head = seal(run) + [("Content-Type", "application/json")]
            await reply(writer, FAILED_STATUS, head, b'{"error":"the request failed"}')
            return
        head = seal(run) + [
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(encode_head("HTTP/1.1 200 OK", head))
        for number in range(start + 1, EVENTS + 1):
            event = f"id: {number}\ndata: token-{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def event_ids(answer):
    body = b"" if answer.message is None else answer.message.body
    return [int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")]


def running(replica):
    return sum(run.ended is None for run in replica.runs)


async def case(site, has_trouble):
    record = site.record
    service = Service()
    replicas = [
        Replica(
            f"i-{index}",
            SERVICE,
            site.zones[index % len(site.zones)],
            record,
            service.work,
            slots=64,
        )
        for index in range(REPLICAS)
    ]
    await site.start(build_config(), replicas)

    def start_stream(index):
        tokens = LONG_PROMPT if index % 2 else SHORT_PROMPT
        headers = [
            ("X-Stoatpath-Model", MODEL),
            ("X-Stoatpath-Token-Counts", f"{tokens},120"),
            ("X-Stoatpath-Prompt-Prefix", f"{index:08x}:{tokens}"),
        ]
        return asyncio.create_task(
            send(
                record,
                site.gateways[index // 2 % 2].front,
                "/note/1",
                KEY,
                body=b"x" * 830,
                headers=headers,
                deadline_ms=20_000,
            )
        )

    answers = []
    for wave in range(WAVES):
        tasks = [start_stream(wave * STREAMS + index) for index in range(STREAMS)]
        await asyncio.sleep(CRASH_AFTER_S)
        if has_trouble:
            # The busiest replica crashes; the one after it fails part of its requests.
            crashed, service.grey = sorted(replicas, key=running, reverse=True)[:2]
            crashed.crash()
            await asyncio.sleep(DOWN_S)
            await site.store.remove("servers", crashed.name)
            service.grey = None
            crashed.name = f"{crashed.name}-again"
            await crashed.start(site.store)
        answers += await asyncio.gather(*tasks)
    broken = []
    for answer in answers:
        ids = event_ids(answer)
        whole = list(range(1, EVENTS + 1))
        record.line(f"{answer} with events {ids[:1]}..{ids[-1:]}")
        if answer.status == 200 and answer.is_complete and ids != whole:
            broken.append(answer)
    if not has_trouble and any(event_ids(each) != whole for each in answers):
        raise CannotRun("not all streams were served without trouble")
    if not broken:
        return []
    return [
        f"ORDER: {len(broken)} of {len(answers)} streams ended as complete before their last event, "
        f"first {broken[0].id} after event {event_ids(broken[0])[-1]} of {EVENTS}"
    ]


main(case)

"""The store is down and forgets its history; do all instances follow it again?

Three instances, four backend servers of two services. The store is down for `DOWN_S`; an
entry expires meanwhile, and is back a second after the store. The store comes back
without the history from before. Ten seconds later, when it is stable again, the operator
moves a public route to the other service.
"""

import asyncio
import collections
import os
import signal
import sys
import tempfile
import time

from standins import (
    ID, NOT_RUN, EXPECT, SEAL, Gateway, Store, boot_text, config, entry, free_ip, head_bytes,
    now_ms, read_body, read_head, request_bytes, route,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
INSTANCES = 3
DOWN_S = 4.5
# Three liveness report intervals of 1.2 s.
LAPSE_S = 3.6
CALM_S = 10.0
CONFIG_MS = 2_000
OUTER_MS = 5_000
WATCH_S = 20.0
SERVICES = [{"name": name, "health_path": "/healthz"} for name in ("desk", "annex")]

runs = []
record = []


def note(text):
    record.append(f"{time.strftime('%H:%M:%S')} {now_ms():.0f} {text}")


async def start_replica(ip, name, service):
    """Start a backend server that answers 200 and records what it ran."""

    async def serve(reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                headers = head[1]
                await read_body(reader, headers)
                request_id = headers.get(ID.lower())
                answer = [("X-Stoatpath-Replica-Id", name), ("Content-Length", 2)]
                start = "HTTP/1.1 200 OK"
                if headers.get(EXPECT.lower(), name) != name:
                    start = "HTTP/1.1 421 Misdirected Request"
                    answer += [(ID, request_id), (NOT_RUN, "1")]
                elif request_id is not None:
                    runs.append((now_ms(), service, request_id))
                    answer += [(ID, request_id), (SEAL, f"seal.{name}")]
                writer.write(head_bytes(start, answer) + b"ok")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, ip, 0)
    return "%s:%d" % server.sockets[0].getsockname()[:2]


async def call(ip, raw):
    """Return the status of an answer, or what happened instead."""
    try:
        reader, writer = await asyncio.open_connection(ip, 8227)
    except OSError as error:
        return repr(error)
    try:
        writer.write(raw)
        async with asyncio.timeout(5):
            head = await read_head(reader)
            if head is None:
                return "closed"
            await read_body(reader, head[1])
            return head[0].split(" ")[1]
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return repr(error)
    finally:
        writer.close()


def make_config(version, service):
    routes = [
        route("open", "idempotent", service, attempts=2, public=True),
        route("book", "non_idempotent", "desk"),
    ]
    return config(version, routes, {"harbour": ["key-1"]}, SERVICES)


async def play(folder, gateways):
    store, ip = Store(), free_ip()
    await store.start(ip)
    await store.put("op", "config", make_config(3, "desk"))
    entries = {}
    for number, service in enumerate(("desk", "desk", "annex", "annex")):
        address = await start_replica(ip, f"s-{number}", service)
        entries[f"s-{number}"] = entry(service, address, 1_000 + number)
        await store.put("servers", f"s-{number}", entries[f"s-{number}"])
    ips = [free_ip() for _ in range(INSTANCES)]
    seeds = [f"{each}:8229" for each in ips]
    for number, each in enumerate(ips):
        text = boot_text(f"front-{number}", each, store.address, seeds=seeds)
        gateways.append(Gateway(f"front-{number}", each, folder, text))
    for gateway in gateways:
        gateway.start()
    if not all([await gateway.wait_ready() for gateway in gateways]):
        note("an instance did not become ready")
        return 2
    await asyncio.sleep(6)
    if TROUBLE:
        store.set_down(True)
        note("the store is down: it resets all connections")
    await asyncio.sleep(LAPSE_S)
    if TROUBLE:
        await store.remove("servers", "s-1")
        note("the entry of s-1 expires, as the store gets no report")
    await asyncio.sleep(DOWN_S - LAPSE_S)
    if TROUBLE:
        store.drop_history()
        store.set_down(False)
        note("the store is back; feeds from before its return get 410")
    await asyncio.sleep(1)
    await store.put("servers", "s-1", entries["s-1"])
    note("s-1 writes its entry")
    await asyncio.sleep(CALM_S)
    acked_ms = await store.put("op", "config", make_config(8, "annex"))
    note("the operator's version 8 is acknowledged: /open/ moves from desk to annex")
    sent = {}
    answers = {}

    async def ask(gateway, path, number):
        request_id = f"{gateway.name}.{path.strip('/')}.{number}"
        sent[request_id] = now_ms()
        raw = request_bytes(path + "1", request_id, "key-1")
        answers[request_id] = await call(gateway.ip, raw)

    tasks = []
    number = 0
    while now_ms() < acked_ms + WATCH_S * 1000:
        number += 1
        for gateway in gateways:
            for path in ("/open/", "/book/"):
                tasks.append(asyncio.create_task(ask(gateway, path, number)))
        await asyncio.sleep(0.25)
    await asyncio.gather(*tasks)
    service_by_id = {request_id: service for _, service, request_id in runs}
    late = collections.Counter()
    for request_id, sent_ms in sorted(sent.items(), key=lambda each: each[1]):
        after_ms = sent_ms - acked_ms
        service = service_by_id.get(request_id, "-")
        note(f"sent {after_ms:.0f} ms after the ack: {request_id} -> {answers[request_id]}, run by {service}")
        name, path, _ = request_id.split(".")
        if path == "open" and service == "desk" and after_ms > CONFIG_MS + OUTER_MS:
            late[name] += 1
        if path == "book" and answers[request_id] != "200":
            late[name + ", keyed requests not served"] += 1
    for name, count in sorted(late.items()):
        note(f"{name}: {count}")
    stale = [name for name in late if "," not in name]
    note(f"run by the old service over {CONFIG_MS + OUTER_MS} ms after the ack at: {stale or 'no instance'}")
    return 1 if stale else 0


async def main():
    gateways = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            result = await play(folder, gateways)
        except Exception as error:
            note(f"could not run: {error!r}")
            result = 2
        finally:
            for gateway in gateways:
                gateway.end()
            for gateway in gateways:
                with open(gateway.log) as log:
                    lines = [line for line in log if "history-gone" in line]
                note(f"log of {gateway.name}: {len(lines)} x store.history-gone")
    with open("record.txt", "w") as file:
        file.write("\n".join(record) + "\n")
    print("\n".join(record[-8:]))
    return result


def run():
    """Return the exit code; processes are ended also when SIGTERM ends the script."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        return asyncio.run(main())
    except (KeyboardInterrupt, asyncio.CancelledError):
        return 2


if __name__ == "__main__":
    sys.exit(run())

"""Steps about planned stops under load."""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time

import yaml
from behave import given, then, when
from malformed_steps import use_deployment
from task_steps import wait_until

from stoatpath import gateways
from stoatpath.standins.deployments import (
    CALLER_KEY,
    HOST,
    Deployment,
    boot_mapping,
)
from stoatpath.standins.sites import ZONES, Site

GRACE_S = 6
ANSWER_TIMEOUT_S = 5
LOAD_S = 1.0


def look_request(number, is_kept=True):
    """Return the bytes of a sound request."""
    closing = "" if is_kept else "Connection: close\r\n"
    head = (
        f"GET /look/{number} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Stoatpath-Attempt-Id: stop-{number}\r\nX-Stoatpath-Deadline-Ms: 4000\r\n"
        f"Authorization: Bearer {CALLER_KEY}\r\n{closing}\r\n"
    )
    return head.encode()


async def open_connection(address):
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def read_status(reader):
    """Read one answer with a length; return its status, 0 if there is none."""
    status, _ = await read_answer(reader)
    return status


async def read_answer(reader):
    """Read one answer; return its status, 0 without one, and whether it says close."""
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode().lower().split("\r\n")
            lengths = [each for each in lines if each.startswith("content-length:")]
            if lengths:
                await reader.readexactly(int(lengths[0].partition(":")[2]))
            return int(head.split()[1]), "connection: close" in lines
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return 0, True


async def request_status(gateway, route, number):
    """Send a request on a new connection; return its status, 0 without an answer."""
    try:
        reader, writer = await open_connection(gateway.listener.address)
    except ConnectionError:
        return 0
    request = look_request(number, is_kept=False)
    if route == "book":
        request = request.replace(b"GET /look/", b"POST /book/")
        request = request.replace(b"\r\n\r\n", b"\r\nContent-Length: 0\r\n\r\n")
    try:
        writer.write(request)
        return await read_status(reader)
    except ConnectionError:
        return 0
    finally:
        writer.close()


@given("a gateway with a kept connection")
def step_impl(context):
    use_deployment(context)

    async def work():
        await context.deployment.start(models=0, plain=1)
        gateway = context.deployment.gateways[0]
        context.reader, context.writer = await open_connection(gateway.listener.address)
        context.writer.write(look_request(1))
        assert await read_status(context.reader) == 200
        await asyncio.sleep(0.05)

    context.loop.run_until_complete(work())


@when("a request is written to it and idle connections are closed at once")
def step_impl(context):
    async def work():
        listener = context.deployment.gateways[0].listener
        listener.mark_leaving()
        # The event loop has no chance to read the request before the close.
        connection = context.writer.get_extra_info("socket")
        os.write(connection.fileno(), look_request(2))
        listener.close_idle()
        context.status = await read_status(context.reader)

    context.loop.run_until_complete(work())


@then("the request is answered")
def step_impl(context):
    assert context.status == 200, context.status


@given("a gateway that has ended its open requests")
def step_impl(context):
    use_deployment(context)
    context.loop.run_until_complete(context.deployment.start(models=0, plain=1))


@when("a request comes on a new connection while the gateway closes")
def step_impl(context):
    original = gateways.cancel_and_wait
    for replica in context.deployment.replicas_by_name.values():
        replica.delay_ms = 300.0

    async def work():
        gateway = context.deployment.gateways[0]

        async def cancel(tasks):
            await send_late()
            await original(tasks)

        async def send_late():
            try:
                reader, writer = await open_connection(gateway.listener.address)
            except ConnectionRefusedError:
                context.status = "refused"
                return
            writer.write(look_request(3))
            context.answer = asyncio.create_task(read_status(reader))
            await asyncio.sleep(0.05)

        context.answer = None
        gateways.cancel_and_wait = cancel
        try:
            await gateway.stop()
        finally:
            gateways.cancel_and_wait = original
        context.deployment.gateways.clear()
        if context.answer is not None:
            context.status = await context.answer

    context.loop.run_until_complete(work())


@then("it is answered, or its connection is refused")
def step_impl(context):
    assert context.status in (200, "refused"), context.status


@given("a gateway with a connection on which half a head has arrived")
def step_impl(context):
    use_deployment(context)

    async def work():
        await context.deployment.start(models=0, plain=1)
        await context.deployment.update_config(
            limits=context.deployment.config["limits"] | {"header_timeout_ms": 9_000}
        )

    context.loop.run_until_complete(work())


@when("the gateway stops and the other half comes 100 ms after its last request")
def step_impl(context):
    async def work():
        gateway = context.deployment.gateways[0]
        gateway.boot.grace_ms = GRACE_S * 1_000
        reader, writer = await open_connection(gateway.listener.address)
        data = look_request(4)
        writer.write(data[:60])
        await asyncio.sleep(0.05)
        stop = asyncio.create_task(gateway.stop())
        # Nothing is in flight when the platform has had time to send callers away.
        await asyncio.sleep(3.1)
        writer.write(data[60:])
        context.status = await read_status(reader)
        assert await stop
        context.deployment.gateways.clear()

    context.loop.run_until_complete(work())


@given("a router with a connection on which half a head has arrived")
def step_impl(context):
    context.site = Site()


@when("the router stops and the other half comes after its last request")
def step_impl(context):
    async def work():
        await context.site.start(routers=0)
        router = await context.site.start_router(
            "router-1", ZONES[0], BALANCER_LAG_MS=100
        )
        reader, writer = await open_connection(router.address)
        data = b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"
        writer.write(data[:10])
        await asyncio.sleep(0.05)
        stop = asyncio.create_task(router.stop())
        await asyncio.sleep(0.3)
        writer.write(data[10:])
        status = await read_status(reader)
        # A router that leaves answers the probe of its readiness with 503.
        context.status = 200 if status == 503 else status
        await stop
        context.site.routers_by_name.clear()
        await context.site.stop()

    asyncio.run(work())


class GatewayProcess:
    """One `stoatpath-gateway` process with its boot file and log in a folder."""

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory()
        self.process = None
        self.started_s = 0.0

    async def start(self, store_address, grace_s=GRACE_S, **limits):
        mapping = boot_mapping("gateway-p", store_address, {"grace_s": grace_s})
        mapping["limits"] |= limits
        boot = os.path.join(self.folder.name, "boot.yaml")
        with open(boot, "w", encoding="utf-8") as file:
            yaml.safe_dump(mapping, file)
        command = [sys.executable, "-m", "stoatpath.tools.gateway"]
        self.started_s = time.monotonic()
        with open(f"{boot}.log", "w", encoding="utf-8") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, "--boot", boot, "--metrics_port", "0", stdout=log, stderr=log
            )

    def output(self):
        with open(f"{self.folder.name}/boot.yaml.log", encoding="utf-8") as file:
            return file.read()

    def events(self, name):
        lines = [each for each in self.output().splitlines() if each.startswith("{")]
        return [each for each in map(json.loads, lines) if each["event"] == name]

    async def close(self):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.folder.cleanup()


class CountedLoad:
    """Callers on kept and on new connections; keeps what became of each request."""

    def __init__(self, address):
        self.address = address
        self.results = []
        self.is_over = False
        self._number = 100

    async def run(self):
        """Send until the process refuses connections."""
        await asyncio.gather(
            *(self._send_kept() for _ in range(6)),
            *(self._send_new() for _ in range(4)),
            *(self._send_stream() for _ in range(2)),
        )

    def _next(self):
        self._number += 1
        return self._number

    async def _open(self):
        try:
            return await open_connection(self.address)
        except (ConnectionRefusedError, ConnectionResetError):
            # As the listener closes, the kernel resets connections that are being set
            # up. Nothing has been sent on them.
            self.is_over = True
            return None, None

    async def _send_kept(self):
        """Reconnect after an answer that says close, as a caller must."""
        while not self.is_over:
            reader, writer = await self._open()
            is_last = reader is None
            while not is_last:
                writer.write(look_request(self._next()))
                status, is_last = await read_answer(reader)
                self.results.append(("kept", status, time.monotonic()))
                await asyncio.sleep(0.003)
            if writer is not None:
                writer.transport.abort()

    async def _send_new(self):
        while not self.is_over:
            reader, writer = await self._open()
            if reader is None:
                return
            writer.write(look_request(self._next(), is_kept=False))
            self.results.append(("new", await read_status(reader), time.monotonic()))
            writer.transport.abort()
            await asyncio.sleep(0.005)

    async def _send_stream(self):
        while not self.is_over:
            reader, writer = await self._open()
            if reader is None:
                return
            data = look_request(self._next(), is_kept=False)
            data = data.replace(b"GET /look", b"POST /chat").replace(
                b"Connection: close",
                b"Accept: text/event-stream\r\nX-Stoatpath-Model: *\r\n"
                b"X-Stoatpath-Token-Counts: 100,50\r\n"
                b"X-Stoatpath-Prompt-Prefix: aa:60,bb:40\r\n"
                b"Content-Length: 0\r\nConnection: close",
            )
            writer.write(data)
            try:
                answer = await asyncio.wait_for(reader.read(), 8)
            except (OSError, TimeoutError):
                answer = b""
            is_whole = answer.endswith(b"0\r\n\r\n") or b" 503 " in answer[:20]
            status = 200 if is_whole else 0
            self.results.append(("stream", status, time.monotonic()))
            await asyncio.sleep(0.02)


@given("a gateway process under load on kept and new connections")
def step_impl(context):
    context.process = GatewayProcess()


@when("it is sent SIGTERM twice")
def step_impl(context):
    async def work():
        deployment = Deployment()
        process = context.process
        try:
            await deployment.start(models=1, plain=2, gateways=0)
            for replica in deployment.replicas_by_name.values():
                replica.delay_ms = 20.0
                replica.event_ms = 100.0
            await process.start(deployment.store_address)
            # Both are logged by tasks of their own, in any order.
            for event, count in (("backends.listed", 3), ("program.listening", 1)):
                await wait_until(lambda: len(process.events(event)) >= count, 20)
            address = process.events("program.listening")[0]["callers"]
            load = CountedLoad(address)
            sending = asyncio.create_task(load.run())
            await asyncio.sleep(LOAD_S)
            process.process.send_signal(signal.SIGTERM)
            context.stopped_s = time.monotonic()
            await asyncio.sleep(0.5)
            process.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(GRACE_S + 3):
                context.exit_code = await process.process.wait()
            context.stop_took_s = time.monotonic() - context.stopped_s
            load.is_over = True
            await sending
            context.load = load
            context.output = process.output()
        finally:
            await process.close()
            await deployment.stop()

    asyncio.run(work())


@then("it exits with 0 within its grace period")
def step_impl(context):
    assert context.exit_code == 0, context.output[-3000:]
    assert context.stop_took_s < GRACE_S, context.stop_took_s


@then("each request was answered, or its connection refused after the stop began")
def step_impl(context):
    results = context.load.results
    kinds = {kind for kind, _, _ in results}
    assert kinds == {"kept", "new", "stream"}, kinds
    cut = [
        (kind, status, round(ended_s - context.stopped_s, 3))
        for kind, status, ended_s in results
        if status not in (200, 503)
    ]
    print(len(results), "requests")
    assert not cut, (len(cut), len(results), cut[:10])


@when("a gateway process gets SIGTERM after {delay:d} ms")
def step_impl(context, delay):
    async def work():
        deployment = Deployment()
        process = GatewayProcess()
        try:
            await deployment.start(models=0, plain=1, gateways=0)
            await process.start(deployment.store_address)
            await asyncio.sleep(delay / 1000)
            process.process.send_signal(signal.SIGTERM)
            sent_s = time.monotonic()
            async with asyncio.timeout(20):
                context.exit_code = await process.process.wait()
            context.stop_took_s = time.monotonic() - sent_s
            context.output = process.output()
        finally:
            await process.close()
            await deployment.stop()

    asyncio.run(work())


@then("it has ended within its grace period")
def step_impl(context):
    # Before the handler is set, the signal ends the process: nothing was accepted.
    assert context.exit_code in (0, -signal.SIGTERM), context.output
    assert context.stop_took_s < GRACE_S, context.stop_took_s
    if context.exit_code:
        assert "callers.listening" not in context.output


@when("a router process whose table is silent gets SIGTERM after {delay:d} ms")
def step_impl(context, delay):
    async def work():
        site = Site()
        silent = socket.create_server(("127.0.0.1", 0))
        folder = tempfile.TemporaryDirectory()
        try:
            await site.start_standins()
            port = silent.getsockname()[1]
            mapping = site.settings_mapping(
                "router-9", ZONES[0], TABLE_URL=f"http://127.0.0.1:{port}"
            )
            path = os.path.join(folder.name, "settings.json")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(mapping, file)
            with open(f"{path}.log", "w", encoding="utf-8") as log:
                process = await asyncio.create_subprocess_exec(
                    *(sys.executable, "-m", "stoatpath.tools.router"),
                    *("--settings", path),
                    stdout=log,
                    stderr=log,
                )
            await asyncio.sleep(delay / 1000)
            process.send_signal(signal.SIGTERM)
            sent_s = time.monotonic()
            try:
                async with asyncio.timeout(30):
                    context.exit_code = await process.wait()
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()
            context.stop_took_s = time.monotonic() - sent_s
            with open(f"{path}.log", encoding="utf-8") as log:
                context.output = log.read()
        finally:
            silent.close()
            folder.cleanup()
            await site.stop()

    asyncio.run(work())


@then("it has ended within {seconds:d} s")
def step_impl(context, seconds):
    assert context.stop_took_s < seconds, (context.stop_took_s, context.output)


@given(
    "a gateway with a grace period of {grace:d} s, "
    "and backend servers with {slots:d} slots"
)
def step_impl(context, grace, slots):
    use_deployment(context)
    deployment = context.deployment

    async def work():
        deployment.config["routes"] = [
            each | {"timeout_ms": 4_000} if each["name"] in ("book", "look") else each
            for each in deployment.config["routes"]
        ]
        await deployment.start(models=0, plain=2)
        gateway = deployment.gateways[0]
        gateway.boot.grace_ms = 1000 * grace
        for name, replica in deployment.replicas_by_name.items():
            replica.delay_ms = 2_000.0
            await deployment.store.put("servers", name, replica.server_row(slots=slots))
        backends = gateway.backends.by_name.values()
        await wait_until(lambda: all(each.slots == slots for each in backends))

    context.loop.run_until_complete(work())


@when("{route} requests with a time limit of 4 s come until it has ended")
def step_impl(context, route):
    async def work():
        gateway = context.deployment.gateways.pop()
        stop = asyncio.create_task(gateway.stop())
        began_s = time.monotonic()
        context.sent = []
        while not stop.done():
            number = len(context.sent)
            send = asyncio.create_task(request_status(gateway, route, number))
            context.sent.append((time.monotonic() - began_s, send))
            await asyncio.sleep(0.1)
        await stop
        for _, send in context.sent:
            await send

    context.loop.run_until_complete(work())


@then("each is answered with 200, 504, or with 503 and never ran")
def step_impl(context):
    replicas = context.deployment.replicas_by_name.values()
    ran_ids = {run.request_id for replica in replicas for run in replica.runs}
    for number, (sent_s, send) in enumerate(context.sent):
        status = send.result()
        has_run = f"stop-{number}" in ran_ids
        # Without a connection, nothing was read; 504 tells that its time has passed.
        allowed = ((200, True), (503, False), (0, False), (504, False), (504, True))
        assert (status, has_run) in allowed, (
            number,
            sent_s,
            status,
            has_run,
        )


@then("those in its first {seconds:d} s are answered with {statuses}")
def step_impl(context, seconds, statuses):
    allowed = {int(each) for each in statuses.replace(" or ", ", ").split(", ")}
    first = [send.result() for sent_s, send in context.sent if sent_s < seconds]
    assert set(first) <= allowed and 200 in first, first


@then("those later than {seconds:g} s, which might not end in time, never ran")
def step_impl(context, seconds):
    replicas = context.deployment.replicas_by_name.values()
    ran_ids = {run.request_id for replica in replicas for run in replica.runs}
    late = [
        (send.result(), f"stop-{number}" in ran_ids)
        for number, (sent_s, send) in enumerate(context.sent)
        if sent_s > seconds
    ]
    assert set(late) <= {(503, False), (0, False)} and (503, False) in late, late


@when(
    "a configuration without the route of {count:d} open book requests comes into force"
)
def step_impl(context, count):
    async def work():
        deployment = context.deployment
        gateway = deployment.gateways[0]
        for replica in deployment.replicas_by_name.values():
            replica.delay_ms = 800.0
        sends = [
            asyncio.create_task(request_status(gateway, "book", number))
            for number in range(count)
        ]
        await wait_until(lambda: len(gateway.listener.open_by_id) == count)
        routes = [
            each for each in deployment.config["routes"] if each["name"] != "book"
        ]
        config = {"version": deployment.config["version"] + 1, "routes": routes}
        deployment.config = deployment.config | config
        await deployment.store.put("op", "config", deployment.config)
        await wait_until(lambda: gateway.routes.table.revision == config["version"])
        assert not any(send.done() for send in sends)
        context.statuses = await asyncio.gather(*sends)
        context.status = await request_status(gateway, "book", count)

    context.loop.run_until_complete(work())


@then("these requests are answered with {status:d}")
def step_impl(context, status):
    assert set(context.statuses) == {status}, context.statuses


@then("a new one is answered with {status:d}")
def step_impl(context, status):
    assert context.status == status, context.status

"""Steps about requests that come late in the grace period of a gateway."""

import asyncio
import signal
import time

from behave import given, then, when
from malformed_steps import use_deployment
from stop_steps import GatewayProcess, open_connection
from task_steps import replace, wait_until

from stoatpath.clock import Clock
from stoatpath.standins.deployments import CALLER_KEY, HOST, LLM_SERVICE, Deployment
from stoatpath.standins.faults import Fault
from stoatpath.standins.replicas import SEAL_HEADER, ReplicaStandin
from stoatpath.utils import cancel_and_wait

ROUTES = ("book", "look", "tell", "chat")
STREAM_ROUTES = ("tell", "chat")
WAYS = ("new", "kept", "pipelined")
ROUTE_TIMEOUT_MS = 20_000
PERIOD_S = 0.1
EVENT_MS = 150.0
# A process that is told to stop has begun within this time, and a connection that is
# reset as its listener closes is reset within it.
SLACK_MS = 150.0
LARGE_BODY = bytes(4_000_000)


class Sent:
    """A request that was sent, and its answer.

    `status` is None without an answer; `was_refused` says that its connection was
    refused, or closed before it was sent.
    """

    def __init__(self, number, route, way, limit_ms=None):
        self.request_id = f"late-{number}"
        self.route = route
        self.way = way
        self.limit_ms = limit_ms
        self.sent_ms = Clock().now_ms()
        self.ended_ms = 0.0
        self.status = None
        self.headers = ""
        self.is_whole = False
        self.was_refused = False

    @property
    def deadline_ms(self):
        limit_ms = ROUTE_TIMEOUT_MS if self.limit_ms is None else self.limit_ms
        return self.sent_ms + limit_ms

    def head(self, more=()):
        method = "GET" if self.route == "look" else "POST"
        lines = [
            f"{method} /{self.route}/1 HTTP/1.1",
            f"Host: {HOST}",
            f"X-Stoatpath-Attempt-Id: {self.request_id}",
            f"Authorization: Bearer {CALLER_KEY}",
            *more,
        ]
        if self.limit_ms is not None:
            lines.append(f"X-Stoatpath-Deadline-Ms: {self.limit_ms}")
        if self.route in STREAM_ROUTES:
            lines += [
                "Accept: text/event-stream",
                "X-Stoatpath-Model: *",
                "X-Stoatpath-Token-Counts: 100,50",
            ]
        if method == "POST" and not more:
            lines.append("Content-Length: 0")
        return "\r\n".join([*lines, "", ""]).encode()

    def __repr__(self):
        return f"{vars(self)}"


async def read_answers(reader, sents):
    """Read the answers of requests on one connection, in order."""
    for sent in sents:
        try:
            head = b"HTTP/1.1 100 "
            while head.startswith(b"HTTP/1.1 100 "):
                head = await reader.readuntil(b"\r\n\r\n")
            sent.headers = head.decode().lower()
            sent.status = int(head.split()[1])
            await read_body(reader, sent.headers)
            sent.is_whole = True
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        sent.ended_ms = Clock().now_ms()


async def read_body(reader, headers):
    for line in headers.split("\r\n"):
        if line.startswith("content-length:"):
            await reader.readexactly(int(line.partition(":")[2]))
            return
    while size := int(await reader.readuntil(b"\r\n"), 16):
        await reader.readexactly(size + 2)
    await reader.readexactly(2)


class LateLoad:
    """Sends requests on all routes, in all ways, and keeps what became of them."""

    def __init__(self, address, limit_ms):
        self.address = address
        self.limit_ms = limit_ms
        self.sents = []
        self._kept = []
        self._tasks = []

    async def open_kept(self, count):
        """Open connections and use each once."""
        for _ in range(count):
            reader, writer = await open_connection(self.address)
            first = Sent("first", "none", "kept")
            writer.write(first.head())
            await read_answers(reader, [first])
            assert first.status == 404, first
            self._kept.append((reader, writer))

    def send_some(self):
        """Send a request on each route, in ways that take turns."""
        for index, route in enumerate(ROUTES):
            way = WAYS[(len(self.sents) + index) % len(WAYS)]
            self._tasks.append(asyncio.create_task(self._send(route, way)))

    async def send_until(self, has_ended):
        """Send until a condition is met."""
        while not has_ended():
            self.send_some()
            await asyncio.sleep(PERIOD_S)

    async def wait(self):
        """Return when all are answered or their connections closed."""
        async with asyncio.timeout(10):
            await asyncio.gather(*self._tasks)
        for _, writer in self._kept:
            writer.transport.abort()

    def _add(self, route, way):
        sent = Sent(len(self.sents), route, way, self.limit_ms)
        self.sents.append(sent)
        return sent

    async def _send(self, route, way):
        # A request behind a stream that is cut can't be answered, and isn't sent.
        routes = ("look", route) if way == "pipelined" else (route,)
        sents = [self._add(each, way) for each in routes]
        if way == "kept" and self._kept:
            reader, writer = self._kept.pop()
        else:
            try:
                reader, writer = await open_connection(self.address)
            except ConnectionError:
                reader = None
        if reader is None or reader.at_eof():
            for sent in sents:
                sent.was_refused = True
            return
        try:
            writer.write(b"".join(sent.head() for sent in sents))
            await read_answers(reader, sents)
        finally:
            writer.transport.abort()


def set_times(deployment, delay_s):
    """Let backend servers take some time, and streams go on after their first event."""
    for replica in deployment.replicas_by_name.values():
        if replica.service == LLM_SERVICE:
            replica.events = 1_000
            replica.event_ms = EVENT_MS
        else:
            replica.delay_ms = 1_000.0 * delay_s


def use_long_timeouts(deployment):
    deployment.config["routes"] = [
        each | {"timeout_ms": ROUTE_TIMEOUT_MS} for each in deployment.config["routes"]
    ]


@given(
    "a gateway with a grace period of {grace:g} s, "
    "whose backend servers take {delay:g} s"
)
def step_impl(context, grace, delay):
    use_deployment(context)
    deployment = context.deployment
    use_long_timeouts(deployment)
    context.loop.run_until_complete(deployment.start(models=1, plain=1))
    deployment.gateways[0].boot.grace_ms = 1_000 * grace
    context.grace_ms = 1_000 * grace
    set_times(deployment, delay)


@given("it has {slots:d} slot")
def step_impl(context, slots):
    deployment = context.deployment

    async def work():
        replica = deployment.replicas_by_name["p0"]
        await deployment.store.put("servers", "p0", replica.server_row(slots=slots))
        backends = deployment.gateways[0].backends.by_name
        await wait_until(lambda: backends["p0"].slots == slots)

    context.loop.run_until_complete(work())


def parse_limit_ms(text):
    return None if text.startswith("no ") else int(text.split()[-2])


@when("requests with {limit} come on all routes until the gateway has ended")
def step_impl(context, limit):
    gateway = context.deployment.gateways[0]

    async def work():
        load = LateLoad(gateway.listener.address, parse_limit_ms(limit))
        await load.open_kept(len(ROUTES) + 10)
        load.send_some()
        await asyncio.sleep(0.2)
        context.began_ms = Clock().now_ms()
        stop = asyncio.create_task(gateway.stop())
        await asyncio.sleep(0)
        await load.send_until(stop.done)
        context.is_clean = await stop
        await load.wait()
        context.sents = load.sents

    context.loop.run_until_complete(work())
    context.deployment.gateways.clear()
    record_runs(context, context.deployment)


def record_runs(context, deployment):
    """Keep when each request reached a backend server, and the time it was given."""
    replicas = deployment.replicas_by_name.values()
    context.runs_by_id = {
        run.request_id: run for replica in replicas for run in replica.runs
    }
    context.arrivals_ms_by_id = {
        request_id: arrived_ms
        for replica in replicas
        for arrived_ms, request_id in replica.arrivals
    }


def has_fair_end(context, sent):
    """Return whether a caller got an answer, or sees that it has none of a stream."""
    if sent.is_whole:
        return True
    if sent.was_refused or sent.request_id not in context.arrivals_ms_by_id:
        # The listener closes as its connection is set up, or it crosses the close.
        return sent.was_refused or sent.ended_ms < sent.sent_ms + SLACK_MS
    return sent.route in STREAM_ROUTES and sent.status == 200


@then("each is answered, or is a stream that is visibly cut, or its connection refused")
def step_impl(context):
    unfair = [each for each in context.sents if not has_fair_end(context, each)]
    assert not unfair, (len(unfair), len(context.sents), unfair[:5])
    assert any(each.is_whole for each in context.sents)


@then("those answered with 503 never ran, name a time to retry and say close")
def step_impl(context):
    refused = [each for each in context.sents if each.status in (408, 429, 503)]
    assert refused
    for sent in refused:
        assert sent.request_id not in context.arrivals_ms_by_id, sent
        assert "\r\nretry-after: " in sent.headers, sent
        if sent.way != "pipelined":
            assert "\r\nconnection: close" in sent.headers, sent


@then("none began to run that might not end before the gateway")
def step_impl(context):
    half_ms = context.began_ms + context.grace_ms / 2
    end_ms = context.began_ms + context.grace_ms
    late = [
        (sent, context.arrivals_ms_by_id[sent.request_id] - context.began_ms)
        for sent in context.sents
        if context.arrivals_ms_by_id.get(sent.request_id, 0.0) > half_ms + SLACK_MS
        and sent.deadline_ms > end_ms
    ]
    assert not late, (len(late), late[:5])


@then("backend servers were given no time beyond the end of the gateway")
def step_impl(context):
    end_ms = context.began_ms + context.grace_ms
    for request_id, run in context.runs_by_id.items():
        arrived_ms = context.arrivals_ms_by_id[request_id]
        if arrived_ms > context.began_ms + SLACK_MS:
            given_ms = int(run.headers["X-Stoatpath-Deadline-Ms"])
            assert arrived_ms + given_ms <= end_ms, (request_id, given_ms)


@when("a book request whose body {body} comes 0.3 s after the stop began")
def step_impl(context, body):
    gateway = context.deployment.gateways[0]

    async def work():
        stop = asyncio.create_task(gateway.stop())
        await asyncio.sleep(0.3)
        reader, writer = await open_connection(gateway.listener.address)
        context.sent = Sent(0, "book", "new")
        more = ["Content-Length: 4"]
        if body.startswith("is awaited"):
            more.append("Expect: 100-continue")
        writer.write(context.sent.head(more))
        if body.startswith("is awaited"):
            assert (
                await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            )
        writer.write(b"ab")
        if body != "never ends":
            await asyncio.sleep(1.4)
            writer.write(b"cd")
        await read_answers(reader, [context.sent])
        writer.transport.abort()
        await stop

    context.loop.run_until_complete(work())
    context.deployment.gateways.clear()
    record_runs(context, context.deployment)


@then("it is answered with {status:d} and has not run")
def step_impl(context, status):
    assert context.sent.status == status and context.sent.is_whole, context.sent
    assert not context.runs_by_id


@when("{count:d} book requests come 0.1 s after the stop began")
def step_impl(context, count):
    gateway = context.deployment.gateways[0]

    async def work():
        context.began_ms = Clock().now_ms()
        stop = asyncio.create_task(gateway.stop())
        await asyncio.sleep(0.1)
        context.sents = [Sent(number, "book", "new") for number in range(count)]

        async def send(sent):
            reader, writer = await open_connection(gateway.listener.address)
            writer.write(sent.head())
            await read_answers(reader, [sent])
            writer.transport.abort()

        await asyncio.gather(*map(send, context.sents))
        await stop

    context.loop.run_until_complete(work())
    context.deployment.gateways.clear()
    record_runs(context, context.deployment)


@then(
    "{served:d} are answered with 200, and the others with 503 within {seconds:g} s "
    "of the stop"
)
def step_impl(context, served, seconds):
    statuses = sorted(sent.status or 0 for sent in context.sents)
    refused = len(context.sents) - served
    assert statuses == served * [200] + refused * [503], context.sents
    for sent in context.sents:
        has_run = sent.request_id in context.runs_by_id
        assert has_run == (sent.status == 200), sent
        if not has_run:
            assert sent.ended_ms < context.began_ms + 1_000 * seconds, sent


@when("a caller takes {seconds:g} s to read an answer of 4 MB")
def step_impl(context, seconds):
    gateway = context.deployment.gateways[0]
    original = ReplicaStandin._answer

    async def answer(replica, request, run, kind, headers):
        response = await original(replica, request, run, kind, headers)
        response.body = LARGE_BODY
        assert SEAL_HEADER in response.headers
        return response

    replace(context, ReplicaStandin, "_answer", answer)

    async def work():
        stop = asyncio.create_task(gateway.stop())
        await asyncio.sleep(0.8)
        host, _, port = gateway.listener.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=20_000)
        context.sent = Sent(0, "look", "new")
        writer.write(context.sent.head())
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200"), head
        size = 0
        began_s = time.monotonic()
        while chunk := await reader.read(20_000):
            size += len(chunk)
            due_s = began_s + seconds * size / len(LARGE_BODY)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        context.size = size
        writer.transport.abort()
        context.is_clean = await stop

    context.loop.run_until_complete(work())
    context.deployment.gateways.clear()


@then("the answer is whole")
def step_impl(context):
    assert context.size == len(LARGE_BODY), context.size
    assert context.is_clean


@given(
    "a gateway process with a grace period of {grace:g} s, "
    "whose backend servers take {delay:g} s"
)
def step_impl(context, grace, delay):
    context.grace_ms = 1_000 * grace
    context.delay_s = delay


@when("it gets SIGTERM and then {event}, while requests come")
def step_impl(context, event):
    async def work():
        deployment = Deployment()
        use_long_timeouts(deployment)
        process = GatewayProcess()
        try:
            await deployment.start(models=1, plain=1, gateways=0)
            set_times(deployment, context.delay_s)
            await process.start(deployment.store_address, context.grace_ms / 1_000)
            for name, count in (("backends.listed", 2), ("program.listening", 1)):
                await wait_until(lambda: len(process.events(name)) >= count, 20)
            address = process.events("program.listening")[0]["callers"]
            load = LateLoad(address, None)
            await load.open_kept(len(ROUTES) + 10)
            load.send_some()
            await asyncio.sleep(0.2)
            context.began_ms = Clock().now_ms()
            process.process.send_signal(signal.SIGTERM)
            ended = asyncio.create_task(process.process.wait())
            disturb = asyncio.create_task(disturb_process(context, process, event))
            async with asyncio.timeout(context.grace_ms / 1_000 + 3):
                await load.send_until(ended.done)
            context.took_ms = Clock().now_ms() - context.began_ms
            await load.wait()
            await cancel_and_wait([disturb])
            context.sents = load.sents
            context.output = process.output()
            record_runs(context, deployment)
        finally:
            await process.close()
            await deployment.stop()

    asyncio.run(work())


async def disturb_process(context, process, event):
    """Do to a process what `event` says, from 1 s after its SIGTERM on."""
    await asyncio.sleep(1.0)
    if event == "gets SIGTERM and SIGHUP":
        process.process.send_signal(signal.SIGTERM)
        process.process.send_signal(signal.SIGHUP)
    if event.startswith("is paused"):
        process.process.send_signal(signal.SIGSTOP)
        # In its last 450 ms it should have answered and be ending.
        left_s = context.grace_ms / 1_000 - 1.45
        await asyncio.sleep(1.0 if event == "is paused for 1 s" else left_s)
        process.process.send_signal(signal.SIGCONT)


@then("it has ended before the end of its grace period")
def step_impl(context):
    assert context.took_ms < context.grace_ms, (context.took_ms, context.output)


@when("two book requests are written to it at once as the gateway stops")
def step_impl(context):
    gateway = context.deployment.gateways[0]

    async def work():
        stop = asyncio.create_task(gateway.stop())
        await asyncio.sleep(0.1)
        context.sents = [Sent(number, "book", "kept") for number in range(2)]
        context.writer.write(b"".join(sent.head() for sent in context.sents))
        await read_answers(context.reader, context.sents)
        await stop

    context.loop.run_until_complete(work())
    context.deployment.gateways.clear()


@then("both are answered with 200, and the second answer says close")
def step_impl(context):
    first, second = context.sents
    assert (first.status, second.status) == (200, 200), context.sents
    assert "\r\nconnection: close" in second.headers, second
    assert "\r\nconnection: close" not in first.headers, first


@when(
    "a chat stream comes 0.1 s after the stop began, "
    "and breaks off after {events:d} events"
)
def step_impl(context, events):
    deployment = context.deployment
    gateway = deployment.gateways[0]

    async def work():
        await add_model_replica(deployment)
        for replica in deployment.replicas_by_name.values():
            replica.faults.add(Fault("serve", f"cut-{events}"))
        context.began_ms = Clock().now_ms()
        stop = asyncio.create_task(gateway.stop())
        await asyncio.sleep(0.1)
        reader, writer = await open_connection(gateway.listener.address)
        writer.write(Sent(0, "chat", "new").head())
        context.received = await read_all(reader)
        writer.transport.abort()
        await stop

    context.loop.run_until_complete(work())
    deployment.gateways.clear()


async def add_model_replica(deployment):
    replica = await deployment.add_replica("m1", LLM_SERVICE)
    replica.events = 1_000
    replica.event_ms = EVENT_MS
    await deployment.wait_until_in_sync()


async def read_all(reader):
    received = b""
    try:
        while chunk := await reader.read(65_536):
            received += chunk
    except ConnectionError:
        pass
    return received


@then("it was carried on by another backend server, and then visibly cut")
def step_impl(context):
    replicas = context.deployment.replicas_by_name
    starts = {name: replicas[name].runs for name in ("m0", "m1")}
    assert [len(runs) for runs in starts.values()] == [1, 1], starts
    ids = [line for line in context.received.split(b"\n") if line.startswith(b"id: ")]
    assert ids == [f"id: {each + 1}".encode() for each in range(len(ids))], ids
    assert len(ids) > 9, ids
    assert not context.received.endswith(b"0\r\n\r\n")


@then("both were given no time beyond the end of the gateway")
def step_impl(context):
    end_ms = context.began_ms + context.grace_ms
    for name in ("m0", "m1"):
        replica = context.deployment.replicas_by_name[name]
        arrived_ms, _ = replica.arrivals[-1]
        given_ms = int(replica.runs[-1].headers["X-Stoatpath-Deadline-Ms"])
        assert arrived_ms + given_ms <= end_ms, (name, given_ms)

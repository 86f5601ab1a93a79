"""Steps on requests and answers that stop within their heads."""

import asyncio
from itertools import cycle
from types import SimpleNamespace

from aiohttp import web
from behave import given, then, when
from malformed_steps import use_deployment
from stop_steps import open_connection

from stoatpath.clock import Clock, ManualClock
from stoatpath.commands.clients import ControllerClient
from stoatpath.configuration.documents import PLAIN_SERVICE
from stoatpath.dispatch.messages import Attempt
from stoatpath.dispatch.senders import Sender
from stoatpath.membership.peers import PeerClient, PeerServer, PeerSigner
from stoatpath.membership.signatures import NONCE_HEADER, new_nonce
from stoatpath.outcomes import Outcome, is_failure
from stoatpath.platform.row_stores import RowStore, RowWrite
from stoatpath.services.connections import PlatformConnection
from stoatpath.standins.cut_heads import LAYOUTS_BY_NAME, write_cut_head
from stoatpath.standins.deployments import CALLER_KEY, HOST
from stoatpath.standins.servers import StandinServer, reset_connection

# More than any head of the server has: of a few answers nothing is written.
MAX_MISSING_BYTES = 240
ANSWER_HEADERS = {
    "Content-Type": "application/json",
    "Stoatpath-Request-Id": "request-1",
    "Stoatpath-Peer-Signature": "k1:0123456789abcdef",
    "Store-Era": "3",
}
TIMEOUT_MS = 2_000
BATCH = 50
# Longer than a gateway of the deployment waits for a head.
SILENT_S = 0.7
BODY = b"number of the hut"


class CutServer:
    """Answers no request in full: `kind` tells how the next answer is cut."""

    def __init__(self):
        self.kind = ""
        self.received_count = 0
        self._server = StandinServer([web.route("*", "/{path:.*}", self._serve)])

    async def start(self):
        return await self._server.start()

    async def stop(self):
        await self._server.stop()

    async def _serve(self, request):
        await request.read()
        self.received_count += 1
        return await write_cut_head(request, self.kind, ANSWER_HEADERS, 2)


class RouterClient:
    """Sends one attempt at a plain service, as a router does."""

    def __init__(self, address, is_repeatable):
        gate = SimpleNamespace(observe=lambda *signals: None)
        self._clock = Clock()
        self._sender = Sender(self._clock, TIMEOUT_MS, gate)
        self._is_repeatable = is_repeatable
        self._backend = SimpleNamespace(name="s0", address=address)
        self._is_started = False
        # Otherwise no connection is kept.
        self._sender._pools.record_echo(address)

    async def call(self):
        if not self._is_started:
            await self._sender.start()
            self._is_started = True
        deadline_ms = self._clock.now_ms() + TIMEOUT_MS
        request = SimpleNamespace(
            request_id="request-1",
            service=SimpleNamespace(kind=PLAIN_SERVICE),
            is_repeatable=self._is_repeatable,
            deadline_ms=deadline_ms,
            method="PUT",
            path="/bookings",
            content_type="text/plain",
            body=BODY,
        )
        attempt = Attempt(request, None, self._backend, 1, deadline_ms, None)
        return await self._sender.send(attempt)

    async def close(self):
        await self._sender.close()


def build_client(name, address):
    """Return a function that makes a call, and one that closes the client."""
    url = f"http://{address}"
    if name == "a peer":
        peer = PeerClient(PeerSigner({}), ManualClock())
        return lambda: peer.ask(address, "echo", {}, TIMEOUT_MS), peer.close
    if name == "a client of a platform service":
        connection = PlatformConnection(url, TIMEOUT_MS)
        return lambda: connection.post("/v1/read", {}), connection.close
    if name == "a client of a controller":
        client = ControllerClient([url], "key")
        return lambda: client._send_once("POST", url + "/v1/x", b"{}"), client.close
    if name.startswith("a router"):
        router = RouterClient(address, name.endswith("repeats"))
        return router.call, router.close
    store = RowStore.from_address(address)
    calls = {
        "a reader of the store": lambda: store.read("op"),
        "a writer of the store": lambda: store.write([RowWrite("t", "k", b"v", 0)]),
        "a follower of the store": lambda: store.wait_for_changes("op", 0, 50),
    }
    return calls[name], store.close


@given("a server whose answers stop within their heads")
def step_impl(context):
    context.server = CutServer()


@when("{client} calls it, and answers {end} at each byte")
def step_impl(context, client, end):
    server = context.server

    async def work():
        call, close = build_client(client, await server.start())
        context.results = []
        missing = range(1, MAX_MISSING_BYTES + 1)
        for layout, count in zip(cycle(LAYOUTS_BY_NAME), missing):
            server.kind = f"head-{layout}-{end}-{count}"
            context.results.append((server.kind, await call()))
        await close()
        await server.stop()

    asyncio.run(work())


@then("each call fails, may have been run, and reached the server once")
def step_impl(context):
    for kind, result in context.results:
        assert is_failure(result), (kind, result)
        assert result.outcome is Outcome.UNKNOWN, (kind, result.detail)
    assert context.server.received_count == len(context.results)


def encode_request(kind, number):
    """Return the bytes of a request to a gateway."""
    lines = [
        f"Host: {HOST}",
        f"X-Stoatpath-Attempt-Id: cut-{number:0>5}",
        "X-Stoatpath-Deadline-Ms: 4000",
        f"Authorization: Bearer {CALLER_KEY}",
    ]
    body = b""
    if kind == "request without a body":
        lines.insert(0, "GET /look/1 HTTP/1.1")
    else:
        lines.insert(0, "POST /book/1 HTTP/1.1")
    if kind == "request with a length":
        lines.append(f"Content-Length: {len(BODY)}")
        body = BODY
    elif kind == "request in chunks":
        lines.append("Transfer-Encoding: chunked")
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)
    return "\r\n".join([*lines, "", ""]).encode() + body


async def send_cut(address, data, leaves):
    """Send bytes and leave; return the status of an answer, 0 without one."""
    reader, writer = await open_connection(address)
    writer.write(data)
    line = b""
    try:
        if leaves == "closes":
            writer.write_eof()
        elif leaves == "resets":
            await writer.drain()
            await asyncio.sleep(0.01)
            reset_connection(writer)
            return 0
        async with asyncio.timeout(SILENT_S):
            line = await reader.readline()
    except (ConnectionError, TimeoutError):
        pass
    finally:
        writer.transport.abort()
    return int(line.split()[1]) if line else 0


@given("a deployment of one gateway")
def step_impl(context):
    use_deployment(context)
    context.loop.run_until_complete(context.deployment.start(models=0, plain=1))


@when("a {request} is cut at each byte, and its caller {leaves}")
def step_impl(context, request, leaves):
    gateway = context.deployment.gateways[0]
    address = gateway.listener.address
    (replica,) = context.deployment.replicas_by_name.values()

    async def work():
        whole = encode_request(request, "whole")
        context.statuses = []
        for start in range(0, len(whole), BATCH):
            sends = (
                send_cut(address, encode_request(request, size)[:size], leaves)
                for size in range(start, min(start + BATCH, len(whole)))
            )
            context.statuses += await asyncio.gather(*sends)
        context.received_count = replica.received_count
        context.whole_status = await send_cut(address, whole, "waits")

    context.loop.run_until_complete(work())


@then("none of them runs, and no caller gets a 2xx")
def step_impl(context):
    assert context.received_count == 0, (context.received_count, context.statuses)
    assert all(not 200 <= status < 300 for status in context.statuses)


@then("the whole request runs once")
def step_impl(context):
    (replica,) = context.deployment.replicas_by_name.values()
    assert context.whole_status == 200, context.whole_status
    assert [run.request_id for run in replica.runs] == ["cut-whole"], replica.runs


@given("a server for messages of peers")
def step_impl(context):
    context.handled = []


@when("a message is cut at each byte, and its sender closes")
def step_impl(context):
    async def handle(message):
        context.handled.append(message)
        return {}

    async def work():
        clock = Clock()
        server = PeerServer(PeerSigner({}), clock)
        server.register("echo", handle)
        await server.start("127.0.0.1:0")
        body = b'{"text": "whole"}'
        head = (
            f"POST /peers/v1/echo HTTP/1.1\r\nHost: {server.address}\r\n"
            f"{NONCE_HEADER}: {new_nonce(clock.wall_ms())}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        whole = head.encode() + body
        for size in range(len(whole)):
            await send_cut(server.address, whole[:size], "closes")
        context.handled_of_cut = len(context.handled)
        await send_cut(server.address, whole, "waits")
        await server.stop()

    asyncio.run(work())


@then("none of them is handled, and the whole one is")
def step_impl(context):
    assert context.handled_of_cut == 0, context.handled_of_cut
    assert context.handled == [{"text": "whole"}], context.handled

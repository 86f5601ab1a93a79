"""Steps on the heads of responses."""

import asyncio
import random
from types import SimpleNamespace

import aiohttp
from behave import given, then, when
from hypothesis import given as forall, settings, strategies as st

from stoatpath.clock import Clock
from stoatpath.configuration.routes import MODEL_SERVICE
from stoatpath.membership.backends import ENGINE
from stoatpath.membership.peers import PeerClient, PeerSigner
from stoatpath.membership.watchers import BackendWatcher
from stoatpath.outcomes import is_failure
from stoatpath.platform.backend_calls import BackendClient
from stoatpath.platform.row_stores import RowStore
from stoatpath.response_handlers import RECEIVE_BYTES, CheckedResponseHandler
from stoatpath.response_heads import ResponseHeadError, ResponseHeadReader
from stoatpath.services.connections import PlatformConnection
from stoatpath.standins.odd_heads import CHUNKED_BODY, ODD_NAMES, build_odd_head

TRIALS = settings(derandomize=True, deadline=None, max_examples=200)
LINES = [b"Content-Type: application/json", b"Store-Era: 1"]
BODY = b'{"rows": [], "ver": 1, "now_ms": 1}'
VALID_HEADS = [
    b"HTTP/1.1 200 OK\r\n\r\n",
    b"HTTP/1.1 200\r\n\r\n",
    b"HTTP/1.1 200 \r\n\r\n",
    b"HTTP/1.0 599 Na\xc3\xafve\r\nContent-Length: 5\r\n\r\n",
    b"HTTP/1.1 204 No Content\r\nX-Empty:\r\nX-Tab:\ta\tb \r\n\r\n",
    b"HTTP/1.1 200 OK\r\nx!#$%&'*+-.^_`|~9: \x80\xff\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding:Chunked\r\n\r\n",
    b"HTTP/1.1 200 OK\nContent-Length: 5\nX-A: b\n\n",
]
INTERIM_HEADS = [
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    b"HTTP/1.1 199 Odd\n\n",
]
ENDLESS_PART = b"X-More: more\r\n"


def split(data, cuts):
    """Return data in parts that end at positions."""
    ends = sorted({cut % (len(data) + 1) for cut in cuts} | {len(data)})
    return [data[start:end] for start, end in zip([0, *ends], ends)]


def read_parts(parts):
    """Return what a reader passes on of the parts of a response."""
    reader = ResponseHeadReader()
    for number, part in enumerate(parts):
        passed_on = reader.read(part)
        if passed_on:
            return passed_on + b"".join(parts[number + 1 :])
    return b""


def is_refused(parts):
    try:
        passed_on = read_parts(parts)
    except ResponseHeadError:
        return True
    assert not passed_on, passed_on
    return False


positions = st.lists(st.integers(0, 400), max_size=6)


@given("each head that HTTP forbids, in any parts")
def step_impl(context):
    def check(name):
        @TRIALS
        @forall(positions)
        def refuses(cuts):
            head = build_odd_head(name, LINES, len(BODY))
            assert is_refused(split(head, cuts)), name
            assert is_refused(split(head, range(len(head)))), name

        refuses()

    context.check = lambda: [check(name) for name in ODD_NAMES]


@then("it is refused, and no byte of it is passed on")
@then("each is passed on as it came, without the interim answers")
def step_impl(context):
    context.check()


@given("valid heads after any interim answers, in any parts")
def step_impl(context):
    @TRIALS
    @forall(
        st.lists(st.sampled_from(INTERIM_HEADS), max_size=3),
        st.sampled_from(VALID_HEADS),
        st.sampled_from([b"", b"\r\n", b"hello", b"5\r\nhello\r\n0\r\n\r\n"]),
        positions,
    )
    def check(interim, head, body, cuts):
        expected = head + body
        assert read_parts(split(b"".join(interim) + expected, cuts)) == expected

    context.check = check


@when("a response begins with {text}")
def step_impl(context, text):
    context.parts = [text.encode().decode("unicode_escape").encode("latin-1")]


@then("it is refused")
def step_impl(context):
    assert is_refused(context.parts), context.parts


@when("a response has a head without end")
def step_impl(context):
    reader = ResponseHeadReader()
    reader.read(b"HTTP/1.1 200 OK\r\n")
    context.read_bytes = 0
    try:
        while context.read_bytes < 1_000_000:
            context.read_bytes += len(ENDLESS_PART)
            assert reader.read(ENDLESS_PART) == b""
    except ResponseHeadError:
        pass


@then("it is refused after at most {limit:d} KB")
def step_impl(context, limit):
    assert context.read_bytes <= limit * 1024, context.read_bytes


@given("a connection that waits for a response")
def step_impl(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.handler = CheckedResponseHandler(context.loop, bytearray(RECEIVE_BYTES))
    context.handler.set_response_params()


@when("{count:d} interim answers arrive")
def step_impl(context, count):
    context.handler.data_received(b"")
    context.handler.data_received(INTERIM_HEADS[0] * count)


@then("no response is kept for its reader")
def step_impl(context):
    assert not context.handler._buffer, len(context.handler._buffer)


@then("the response after them is read")
def step_impl(context):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    context.handler.data_received(head)
    message, _ = context.loop.run_until_complete(context.handler.read())
    assert message.code == 200, message


@then("the connection has failed")
def step_impl(context):
    assert isinstance(context.handler.exception(), aiohttp.ClientPayloadError)


class OddServer:
    """Answers the calls of a client with the heads that HTTP forbids, one by one."""

    def __init__(self):
        self.answers = []
        self.address = ""
        self._server = None

    async def start(self):
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            name = self.answers[0]
            body = CHUNKED_BODY if name.startswith("coding-") else BODY
            writer.write(build_odd_head(name, LINES, len(body)) + body)
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def close(self):
        """Stop listening."""
        self._server.close()


async def call_store(address, call_each):
    client = RowStore.from_address(address)
    await call_each(lambda: client.read("servers"))
    await client.close()


async def call_peer(address, call_each):
    client = PeerClient(PeerSigner({}), Clock())
    await call_each(lambda: client.ask(address, "tables", {}))
    await client.close()


async def call_service(address, call_each):
    client = PlatformConnection(f"http://{address}", 1_000)
    await call_each(lambda: client.post("/v1/any", {}))
    await client.close()


async def call_engine(address, call_each):
    reports = []
    backend = SimpleNamespace(name="e1", kind=ENGINE, address=address)
    servers = SimpleNamespace(
        by_name={"e1": backend},
        apply_list=lambda *entries: None,
        apply_report=lambda name, report, sent_ms: reports.append(report),
    )

    async def read_no_entries(now_ms):
        return []

    instances = SimpleNamespace(read_cached=read_no_entries)
    watcher = BackendWatcher(servers, instances, Clock())
    watching = asyncio.create_task(watcher.run())

    async def read_report():
        polls = watcher.polls
        while watcher.polls < polls + 2:
            await asyncio.sleep(0.01)
        return reports

    await call_each(read_report)
    watching.cancel()


async def call_for_identity(address, call_each):
    client = BackendClient()
    await client.start()
    entry = SimpleNamespace(born=None)
    backend = SimpleNamespace(name="m1", address=address, entry=entry)
    service = SimpleNamespace(kind=MODEL_SERVICE, health_path="")
    await call_each(lambda: client.is_running(backend, service))
    await client.close()


CALLS_BY_SENDER = {
    "store": call_store,
    "peer": call_peer,
    "platform service": call_service,
    "engine": call_engine,
    "identity": call_for_identity,
}


@given("a {sender} that answers each call with a head that HTTP forbids")
def step_impl(context, sender):
    context.call = CALLS_BY_SENDER[sender]
    context.server = OddServer()


@when("it is called once for each of them")
def step_impl(context):
    context.results_by_name = {}
    names = list(ODD_NAMES)
    if context.call is call_engine:
        # It is polled four times a second.
        names = random.Random(1).sample(names, 6)

    async def work():
        server = context.server
        await server.start()

        async def call_each(call):
            for name in names:
                server.answers = [name]
                context.results_by_name[name] = await call()

        await context.call(server.address, call_each)
        server.close()

    asyncio.run(work())


@then("each call failed")
def step_impl(context):
    assert context.results_by_name
    for name, result in context.results_by_name.items():
        assert is_failure(result) or not result, (name, result)

"""Steps that send invalid requests to a listener."""

import asyncio

from bad_requests import CASES, MAX_HEAD_BYTES, chunked, completion, request
from behave import given, then, when
from hypothesis import given as forall, settings, strategies as st
from listeners import (
    REPLY_TIMEOUT_S,
    FakeRouter,
    RecordingPipeline,
    exchange,
    read_reply,
    sample_snapshot,
    with_listener,
)
from multidict import CIMultiDict

from stoatpath.callers.heads import check_headers
from stoatpath.callers.listeners import Listener
from stoatpath.callers.messages import CallerRequest
from stoatpath.callers.parsers import RequestHead, parse_completion
from stoatpath.outcomes import Outcome, is_failure
from stoatpath.utils import encode_json

VALID_REQUEST = request()
PROFILE = settings(derandomize=True, database=None, deadline=None, max_examples=150)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(
        st.sampled_from(["model", "messages", "role", "content", "stream", "x"]),
        inner,
        max_size=4,
    ),
    max_leaves=12,
)
HEADER_NAMES = (
    "Authorization",
    "Idempotency-Key",
    "Stoatpath-Session",
    "Stoatpath-Timeout-Ms",
    "Stoatpath-Purpose",
    "Content-Type",
)


@given("a listener with small limits")
def step_impl(context):
    context.overrides = {}


@when("a caller sends: {case}")
def step_impl(context, case):
    async def work(listener, pipeline):
        context.reply = await exchange(listener.address, CASES[case])
        context.ran = list(pipeline.served)
        context.next_reply = await exchange(listener.address, VALID_REQUEST)

    asyncio.run(with_listener(work))


@then("the answer is {status:d} {kind} naming {field}, and nothing ran")
def step_impl(context, status, kind, field):
    assert context.reply is not None, "the connection was closed with no answer"
    error = context.reply.error
    seen = (context.reply.status, error["type"], error["field"], error["outcome"])
    assert seen == (status, kind, field, "not-run"), seen
    assert context.reply.headers["Stoatpath-Outcome"] == "not-run"
    assert context.ran == []


@then("the listener still serves requests")
def step_impl(context):
    assert context.next_reply.status == 200, context.next_reply.body


@when("more connections are opened than the listener allows")
def step_impl(context):
    async def work(listener, pipeline):
        host, _, port = listener.address.rpartition(":")
        opened = [await asyncio.open_connection(host, int(port)) for _ in range(8)]
        await asyncio.sleep(0.05)
        context.refused = await exchange(listener.address, b"")
        reader, writer = opened[0]
        writer.write(VALID_REQUEST)
        context.served = await read_reply(reader)
        for _, writer in opened:
            writer.transport.abort()

    asyncio.run(with_listener(work))


@then("the last one is refused as overloaded and the first is served")
def step_impl(context):
    assert context.refused.status == 503
    assert context.refused.error["type"] == "overloaded"
    assert context.refused.error["outcome"] == "not-run"
    assert context.served.status == 200


@when("many callers send large bodies slowly at once")
def step_impl(context):
    async def work(listener, pipeline):
        body = completion(padding="x" * 15_000)
        data = request(body)[:-10]
        sends = [exchange(listener.address, data) for _ in range(6)]
        context.replies = await asyncio.gather(*sends)
        context.buffered = listener._interface.bodies.memory.held_bytes

    asyncio.run(with_listener(work))


@then("some are refused as overloaded, and no body stays buffered")
def step_impl(context):
    kinds = [reply.error["type"] for reply in context.replies]
    assert set(kinds) == {"overloaded", "body-too-slow"}, kinds
    assert context.buffered == 0


@then("it survives any bytes and any change of a valid request")
def step_impl(context):
    noise = st.binary(max_size=200)
    changed = st.tuples(
        st.integers(0, len(VALID_REQUEST) - 1),
        st.integers(0, 40),
        st.binary(max_size=8),
    ).map(
        lambda cut: VALID_REQUEST[: cut[0]] + cut[2] + VALID_REQUEST[cut[0] + cut[1] :]
    )
    limits = {"HEADER_TIMEOUT_MS": 20, "BODY_TIMEOUT_MS": 20, "IDLE_TIMEOUT_MS": 40}
    loop = asyncio.new_event_loop()
    listener = Listener(FakeRouter(**limits), RecordingPipeline())
    loop.run_until_complete(listener.start("127.0.0.1:0"))

    @PROFILE
    @forall(noise | changed)
    def check(data):
        reply = loop.run_until_complete(exchange(listener.address, data))
        assert reply is None or reply.status != 500, (data, reply.body)
        if reply is not None and reply.status >= 400:
            assert reply.error["outcome"] == "not-run"
            assert reply.error["field"], reply.error

    check()
    reply = loop.run_until_complete(exchange(listener.address, VALID_REQUEST))
    assert reply.status == 200
    loop.run_until_complete(listener.stop())
    loop.close()


@then("each JSON body yields a request or a failure with a field")
def step_impl(context):
    snapshot = sample_snapshot()
    organisation = snapshot.organisations_by_name["reef-villages"]
    message = st.fixed_dictionaries({"role": JSON, "content": JSON})
    almost_valid = st.fixed_dictionaries(
        {"model": st.just("desk-assist"), "messages": st.lists(message, max_size=2)},
        optional={"stream": JSON, "max_tokens": JSON, "temperature": JSON},
    )

    @PROFILE
    @forall(JSON | almost_valid)
    def check(value):
        head = RequestHead("POST", "/v1/chat/completions", {}, 0.0, "req-1")
        data = encode_json(value)
        parsed = parse_completion(snapshot, organisation, head, data, 1_000)
        if is_failure(parsed):
            assert parsed.field and parsed.outcome is Outcome.NOT_RUN
            assert 400 <= parsed.reason.status < 500
        else:
            assert isinstance(parsed, CallerRequest)
            assert isinstance(parsed.is_stream, bool)

    check()


@then("all headers yield a request or a failure with a field")
def step_impl(context):
    snapshot = sample_snapshot()
    organisation = snapshot.organisations_by_name["reef-villages"]
    pairs = st.lists(
        st.tuples(st.sampled_from(HEADER_NAMES), st.text(max_size=30)), max_size=4
    )

    @PROFILE
    @forall(pairs)
    def check(headers):
        headers = CIMultiDict(headers)
        problem = check_headers(headers)
        if problem is not None:
            assert problem.field in HEADER_NAMES
            return
        head = RequestHead("POST", "/v1/chat/completions", headers, 0.0, "req-1")
        data = completion()
        parsed = parse_completion(snapshot, organisation, head, data, 1_000)
        if is_failure(parsed):
            assert parsed.field in HEADER_NAMES, parsed
        else:
            assert 0 < parsed.deadline_ms <= 60_000

    check()


async def send_in_chunks(address, head, chunks, loop_iterations, pause_s):
    """Send a head, let the event loop run some iterations, then send body chunks."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(head)
    for _ in range(loop_iterations):
        await asyncio.sleep(0)
    for chunk in chunks:
        writer.write(chunk)
        await asyncio.sleep(pause_s)
    try:
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            return await read_reply(reader)
    finally:
        writer.transport.abort()


def split_request(size):
    data = request(completion(padding="x" * size))
    head, _, body = data.partition(b"\r\n\r\n")
    return head + b"\r\n\r\n", body


@when("a body over the head size limit arrives between the head and its handler")
def step_impl(context):
    async def work(listener, pipeline):
        head, body = split_request(MAX_HEAD_BYTES + 1_000)
        server = listener._server
        make_request = server.request_factory

        def make_then_receive(message, payload, protocol, writer, task):
            made = make_request(message, payload, protocol, writer, task)
            protocol.data_received(body)
            return made

        server.request_factory = make_then_receive
        context.replies = [await send_in_chunks(listener.address, head, [], 0, 0)]

    asyncio.run(with_listener(work))


@when(
    "a body arrives in chunks at various times after its head, beyond the head timeout"
)
def step_impl(context):
    async def work(listener, pipeline):
        head, body = split_request(200)
        chunks = [body[:50], body[50:]]
        sends = [
            send_in_chunks(listener.address, head, chunks, loop_iterations, 0.5)
            for loop_iterations in range(8)
        ]
        context.replies = await asyncio.gather(*sends)

    asyncio.run(with_listener(work, BODY_TIMEOUT_MS=5_000))


@then("each of them is answered 200")
def step_impl(context):
    statuses = [reply and reply.status for reply in context.replies]
    assert set(statuses) == {200}, statuses


class RecordingTransport(asyncio.Transport):
    """Records what is written to a connection."""

    def __init__(self):
        super().__init__()
        self.written = b""

    def write(self, data):
        self.written += bytes(data)

    def is_closing(self):
        return False

    def close(self):
        pass

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


@when("a request with a large body arrives as soon as the connection is made")
def step_impl(context):
    async def work(listener, pipeline):
        transport = RecordingTransport()
        connection = listener._server()
        connection.connection_made(transport)
        # The aiohttp task of the connection has not run yet.
        connection.data_received(request(completion(padding="x" * MAX_HEAD_BYTES)))
        for _ in range(100):
            await asyncio.sleep(0.01)
            if transport.written:
                break
        context.written = transport.written
        connection.connection_lost(None)

    asyncio.run(with_listener(work))


@then("the request is answered 200")
def step_impl(context):
    assert context.written.startswith(b"HTTP/1.1 200 "), context.written[:80]


@when("a request with {framing} is cut at each byte, and its caller closes")
def step_impl(context, framing):
    whole = VALID_REQUEST
    if framing == "chunks":
        whole = chunked([completion()[:20], completion()[20:]])

    async def work(listener, pipeline):
        host, _, port = listener.address.rpartition(":")
        for size in range(len(whole)):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(whole[:size])
            writer.write_eof()
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                await reader.read()
            writer.close()
        context.served_of_cut = list(pipeline.served)
        context.reply = await exchange(listener.address, whole)
        context.served = list(pipeline.served)

    asyncio.run(with_listener(work))


@then("none of them runs, and the whole one does")
def step_impl(context):
    assert context.served_of_cut == [], len(context.served_of_cut)
    assert context.reply.status == 200 and len(context.served) == 1

"""Steps about requests that a gateway relays to backend servers."""

import asyncio
import gzip
import socket
import time
import zlib
from collections import Counter
from unittest import mock

from behave import given, then, when
from callers import (
    ATTEMPT_ID,
    CallerResponse,
    request_headers,
    send_bytes,
    send_raw,
    send_request,
    wait_until,
)

from stoatpath.dispatch.liveness import LivenessWatch
from stoatpath.platform.backend_calls import create_socket
from stoatpath.standins.deployments import (
    CALLER_KEY,
    HOST,
    LLM_SERVICE,
    PLAIN_SERVICE,
    Deployment,
)
from stoatpath.standins.faults import Fault, FaultTable

FORGED = {
    "X_Stoatpath_Tenant": "other",
    "X_Stoatpath_Hold": "c11e47",
    "X_Stoatpath_Pin_Ms": "5999",
    "X_Stoatpath_Kv_Backup": "10.255.0.1:1",
    "X_Stoatpath_Request_Priority": "0",
    "X_Stoatpath_Expect_Replica": "elsewhere",
    "Kv_From": "10.255.0.1:1/c11e47",
    "Connection": "X-Private, keep-alive",
    "X_Private": "1",
}


class DeploymentFixture:
    """A deployment with an event loop of its own and faults shared by all replicas."""

    def __init__(self, **counts):
        self.loop = asyncio.new_event_loop()
        self.deployment = Deployment()
        self.faults = FaultTable()
        self.response = None
        self.is_clean = None
        self.run(self.deployment.start(**counts))
        for replica in self.replicas():
            replica.faults = self.faults

    def run(self, work):
        return self.loop.run_until_complete(work)

    def replicas(self):
        return list(self.deployment.replicas_by_name.values())

    def runs(self):
        return [run for replica in self.replicas() for run in replica.runs]

    @property
    def gateway(self):
        return self.deployment.gateways[0]

    def close(self):
        self.run(self.deployment.stop())
        self.loop.close()


@given("a deployment")
def step_impl(context):
    context.fixture = DeploymentFixture()
    context.add_cleanup(context.fixture.close)


@given("a deployment with {count:d} model replica")
def step_impl(context, count):
    context.fixture = DeploymentFixture(models=count)
    context.add_cleanup(context.fixture.close)


@given("{count:d} more model replicas")
def step_impl(context, count):
    fixture = context.fixture

    async def add():
        for number in range(count):
            replica = await fixture.deployment.add_replica(f"m1{number}", LLM_SERVICE)
            replica.faults = fixture.faults
        await fixture.deployment.wait_until_in_sync()

    fixture.run(add())


@given("the next execution has fault {kind}")
def step_impl(context, kind):
    context.fixture.faults.add(Fault("serve", kind))


@given("the second execution has fault {kind}")
def step_impl(context, kind):
    context.fixture.faults.add(Fault("serve", "none"))
    context.fixture.faults.add(Fault("serve", kind))


@given("the third execution has fault {kind}")
def step_impl(context, kind):
    context.fixture.faults.add(Fault("serve", kind))


@given("each second execution has fault {kind}")
def step_impl(context, kind):
    for _ in range(20):
        context.fixture.faults.add(Fault("serve", kind))
        context.fixture.faults.add(Fault("serve", "none"))


@when("{count:d} callers send a book request at the same time")
def step_impl(context, count):
    fixture = context.fixture

    async def send_all():
        sends = (send_request(fixture.gateway, "book", each) for each in range(count))
        return await asyncio.gather(*sends)

    context.responses = fixture.run(send_all())


@then("each was answered with 200 and ran once, or with 503 and never ran")
def step_impl(context):
    counts = Counter(run.request_id for run in context.fixture.runs())
    statuses = {}
    for number, response in enumerate(context.responses):
        statuses[f"attempt-{number}"] = response.status
    for request_id, status in statuses.items():
        assert (status, counts[request_id]) in ((200, 1), (503, 0)), statuses
    assert 200 in statuses.values()


@given("the smallest model has confidence {confidence:d}")
def step_impl(context, confidence):
    for replica in context.fixture.replicas():
        replica.confidence_by_model = {"tern-small": confidence, "tern-large": 95}


@given("streams of {events:d} events")
def step_impl(context, events):
    for replica in context.fixture.replicas():
        replica.events = events
        replica.event_ms = 10.0


@given("streams of {events:d} events with {gap:d} ms before each")
def step_impl(context, events, gap):
    for replica in context.fixture.deployment.replicas_by_name.values():
        replica.events = events
        replica.event_ms = gap


@when("a caller sends a {route} request")
def step_impl(context, route):
    fixture = context.fixture
    context.sent_s = time.monotonic()
    fixture.response = fixture.run(send_request(fixture.gateway, route))
    context.answered_s = time.monotonic()


@then("the caller gets {status:d} within {limit:d} ms")
def step_impl(context, status, limit):
    context.execute_steps(f"Then the caller gets {status}")
    took_ms = 1000 * (context.answered_s - context.sent_s)
    assert took_ms <= limit, took_ms


@when("a caller sends a look request with forged headers")
def step_impl(context):
    fixture = context.fixture
    headers = request_headers("look", 1, **FORGED)
    fixture.response = fixture.run(
        send_request(fixture.gateway, "look", headers=headers)
    )


@when("a caller disconnects from a chat request after the first bytes")
def step_impl(context):
    fixture = context.fixture

    async def work():
        host, _, port = fixture.gateway.listener.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [
            f"{name}: {value}" for name, value in request_headers("chat", 1).items()
        ]
        head = "\r\n".join(["POST /chat/1 HTTP/1.1", *lines, "Content-Length: 0"])
        writer.write(head.encode() + b"\r\n\r\n")
        await reader.readuntil(b"id: 1")
        writer.transport.abort()
        return await wait_until(lambda: fixture.runs()[0].was_cancelled)

    context.was_cancelled = fixture.run(work())


@when("backend server {name} reports that it is draining")
def step_impl(context, name):
    fixture = context.fixture
    replica = fixture.deployment.replicas_by_name[name]
    row = replica.server_row("draining")
    fixture.run(fixture.deployment.store.put("servers", name, row))
    backends = fixture.gateway.backends
    assert fixture.run(wait_until(lambda: backends.by_name[name].is_leaving))


@when("the address of {name} answers as another process")
def step_impl(context, name):
    context.fixture.deployment.replicas_by_name[name].name = "someone else"


@when("a caller sends {request}")
def step_impl(context, request):
    fixture = context.fixture
    status = fixture.run(send_raw(fixture.gateway, invalid_request(request)))
    fixture.response = CallerResponse(status, {}, b"")


@when("its backend server stops accepting connections")
def step_impl(context):
    fixture = context.fixture
    probe = LivenessWatch._probe
    probes = mock.patch.object(
        LivenessWatch, "_probe", autospec=True, side_effect=probe
    )
    context.probe = probes.start()
    context.add_cleanup(probes.stop)

    async def work():
        request = asyncio.create_task(send_request(fixture.gateway, "chat"))
        assert await wait_until(
            lambda: any(each.received_count for each in fixture.replicas())
        )
        for replica in fixture.replicas():
            if replica.received_count:
                await replica.stop_listening()
        return await request

    fixture.response = fixture.run(work())


@then("one probe was enough to detect it")
def step_impl(context):
    sends = sum(replica.received_count for replica in context.fixture.replicas())
    assert sends == 2, sends
    assert context.probe.call_count == 1, context.probe.call_count


@when("the gateway stops while a connection is idle")
def step_impl(context):
    fixture = context.fixture

    async def work():
        host, _, port = fixture.gateway.listener.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(raw_request(request_headers("look", 1)))
        await reader.readuntil(b"answers attempt-1")
        stop = asyncio.create_task(fixture.gateway.stop())
        try:
            async with asyncio.timeout(5):
                return await reader.read()
        finally:
            writer.transport.abort()
            fixture.is_clean = await stop

    context.remaining_bytes = fixture.run(work())


@when("the gateway stops while a stream is in flight")
def step_impl(context):
    fixture = context.fixture

    async def work():
        stream = asyncio.create_task(send_request(fixture.gateway, "chat"))
        assert await wait_until(fixture.runs)
        fixture.is_clean = await fixture.gateway.stop()
        return await stream

    fixture.response = fixture.run(work())


@when("the gateway waits for a stream while it stops, and new requests arrive")
def step_impl(context):
    fixture = context.fixture

    async def work():
        stream = asyncio.create_task(send_request(fixture.gateway, "chat"))
        assert await wait_until(fixture.runs)
        for replica in fixture.replicas():
            replica.delay_ms = 30.0
        stop = asyncio.create_task(fixture.gateway.stop())
        responses = []
        while not stop.done():
            responses.append(
                await send_request(fixture.gateway, "look", len(responses))
            )
            await asyncio.sleep(0.005)
        fixture.is_clean = await stop
        await stream
        return responses

    context.responses = fixture.run(work())


@then("each of them got a complete response, the last ones 503")
def step_impl(context):
    statuses = [response.status for response in context.responses]
    # The last requests may have found the listener closed: none of them was read.
    while statuses and not statuses[-1]:
        statuses.pop()
    assert set(statuses) == {200, 503}, statuses
    assert statuses[-1] == 503, statuses


@then("the caller gets {status:d}")
def step_impl(context, status):
    response = context.fixture.response
    assert response.status == status, (response.status, response.body)


@then("the request ran at most {runs:d} times")
def step_impl(context, runs):
    executions = context.fixture.runs()
    assert len(executions) <= runs, len(executions)


@then("a successful response has the replica seal and the complete body")
def step_impl(context):
    response = context.fixture.response
    if response.status != 200:
        return
    assert "X-Stoatpath-Replica-Seal" in response.headers
    assert response.headers[ATTEMPT_ID] == "attempt-1"
    if response.headers.get("Content-Type", "").startswith("text/event-stream"):
        assert event_ids(response) == list(range(1, 6)), response.body
    else:
        assert response.body.endswith(b"answers attempt-1"), response.body


@then("the caller got events {first:d} to {last:d} in order and the end of the stream")
def step_impl(context, first, last):
    response = context.fixture.response
    assert response.status == 200, response.body
    assert event_ids(response) == list(range(first, last + 1)), response.body


@then("the models that ran are {models}")
def step_impl(context, models):
    models_run = [run.headers["X-Stoatpath-Model"] for run in context.fixture.runs()]
    assert sorted(models_run) == sorted(models.split()), models_run


@then("the response is from {model}")
def step_impl(context, model):
    confidence = context.fixture.response.headers["X-Stoatpath-Confidence"]
    assert confidence == "95", confidence


@then("the replica received the organisation, its own name and the remaining time")
def step_impl(context):
    (run,) = context.fixture.runs()
    assert run.headers.getall("X-Stoatpath-Tenant") == ["harbour"]
    assert run.headers.getall("X-Stoatpath-Expect-Replica")[0].startswith("p")
    assert 0 < int(run.headers["X-Stoatpath-Deadline-Ms"]) <= 1_000
    assert run.path == "/look/1?a=b"


@then("the replica received neither the key nor any forged header")
def step_impl(context):
    (run,) = context.fixture.runs()
    for name in ("Authorization", "X-Stoatpath-Hold", "X-Stoatpath-Pin-Ms"):
        assert name not in run.headers, name
    for name in ("X-Stoatpath-Kv-Backup", "Kv-From", "X-Private"):
        assert name not in run.headers, name


@then("its execution is cancelled within half a second")
def step_impl(context):
    assert context.was_cancelled


@then("{count:d} look requests all run on {name} with a delay of {delay:d} ms")
def step_impl(context, count, name, delay):
    context.fixture.deployment.replicas_by_name[name].delay_ms = delay
    context.execute_steps(f"Then {count} look requests all run on {name}")


@then("{count:d} look requests all run on {name:w}")
def step_impl(context, count, name):
    fixture = context.fixture
    for replica in fixture.replicas():
        replica.runs.clear()
    for number in range(count):
        response = fixture.run(send_request(fixture.gateway, "look", number))
        assert response.status == 200, response.body
    assert len(fixture.deployment.replicas_by_name[name].runs) == count


@then("no backend server was reached")
def step_impl(context):
    assert not context.fixture.runs()


@then("the connection ends within the grace period")
def step_impl(context):
    assert context.remaining_bytes == b"", context.remaining_bytes
    assert context.fixture.is_clean


@then("the gateway reports that it cut no request")
def step_impl(context):
    assert context.fixture.is_clean


def event_ids(response):
    """Return the identifiers of the events of a streamed response."""
    lines = response.body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


def raw_request(headers, line="GET /look/1 HTTP/1.1", body=b""):
    lines = [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([line, *lines, "", ""]).encode() + body


def invalid_request(name):
    """Return the bytes of a request that the gateway must refuse."""
    valid_headers = request_headers("look", 1)
    book = request_headers("book", 1)
    line = "POST /book/1 HTTP/1.1"
    both_framings = {"Content-Length": "4", "Transfer-Encoding": "chunked"}
    by_name = {
        "an unknown host": raw_request(valid_headers | {"Host": "elsewhere.example"}),
        "an unknown path": raw_request(valid_headers, "GET /nowhere/1 HTTP/1.1"),
        "an unknown key": raw_request(valid_headers | {"Authorization": "Bearer no"}),
        "no key": raw_request(request_headers("look", 1, Authorization=None)),
        "no identifier": raw_request(
            request_headers("look", 1, X_Stoatpath_Attempt_Id=None)
        ),
        "two identifiers": raw_request(valid_headers | {ATTEMPT_ID.lower(): "another"}),
        "both a length and chunks": raw_request(
            book | both_framings, line, b"0\r\n\r\n"
        ),
        "two lengths": raw_request(
            book | {"Content-Length": "4", "content-length": "5"}, line, b"body!"
        ),
        "a body over the limit": raw_request(book | {"Content-Length": "200000"}, line),
        "a head over the limit": raw_request(valid_headers | {"X-Long": "x" * 20_000}),
        "a head that never ends": f"GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\n".encode(),
        "bytes that are not HTTP": b"\x16\x03\x01\x02\x00\x01\x00\x01\r\n\r\n"
        + CALLER_KEY.encode(),
    }
    return by_name[name]


@given("the socket of a connection to a backend server")
def step_impl(context):
    family = socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    context.socket = create_socket((*family, "", ("127.0.0.1", 0)))
    context.add_cleanup(context.socket.close)


@then(
    "the peer may be silent for {seconds:d} s, by keep-alive and by unacknowledged data"
)
def step_impl(context, seconds):
    idle, interval, count, unacknowledged_ms = (
        context.socket.getsockopt(socket.IPPROTO_TCP, option)
        for option in (
            socket.TCP_KEEPIDLE,
            socket.TCP_KEEPINTVL,
            socket.TCP_KEEPCNT,
            socket.TCP_USER_TIMEOUT,
        )
    )
    assert idle + interval * count == seconds
    assert unacknowledged_ms == 1000 * seconds


@then("at most {limit:d} MB without end were read")
def step_impl(context, limit):
    replicas = context.fixture.replicas()
    sent = [each.endless_bytes for each in replicas]
    assert 0 < sum(sent) <= limit * 1_000_000, sent


@when("a book request comes with a {framing} body and content coding {coding}")
def step_impl(context, framing, coding):
    plain = b"number of the hut and the nights " * 100
    encode = {"gzip": gzip.compress, "deflate": zlib.compress}.get(coding, bytes)
    context.coding = None if coding == "none" else coding
    context.body = encode(plain)
    headers = request_headers("book", 1) | {"Connection": "close"}
    if context.coding:
        headers["Content-Encoding"] = coding
    if framing == "chunked":
        headers["Transfer-Encoding"] = "chunked"
    else:
        headers["Content-Length"] = str(len(context.body))
    if framing == "expected":
        headers["Expect"] = "100-continue"

    async def work():
        host, _, port = context.fixture.gateway.listener.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(raw_request(headers, "POST /book/1 HTTP/1.1"))
        async with asyncio.timeout(5):
            if framing == "expected":
                # A caller that expects it sends no body before.
                interim = await reader.readuntil(b"\r\n\r\n")
                assert interim == b"HTTP/1.1 100 Continue\r\n\r\n", interim
            if framing == "chunked":
                half = len(context.body) // 2
                for part in (context.body[:half], context.body[half:], b""):
                    writer.write(b"%x\r\n%b\r\n" % (len(part), part))
            else:
                writer.write(context.body)
            status_line = await reader.readline()
        writer.transport.abort()
        return CallerResponse(int(status_line.split()[1]), {}, b"")

    context.fixture.response = context.fixture.run(work())


@then("the replica received its bytes and its content coding")
def step_impl(context):
    (run,) = context.fixture.runs()
    assert run.headers.get("Content-Encoding") == context.coding
    assert run.body == context.body, (len(run.body), len(context.body))


@when("a look request comes with the target {target}")
def step_impl(context, target):
    fixture = context.fixture
    headers = request_headers("look", 1) | {"Connection": "close"}
    data = raw_request(headers, f"GET {target} HTTP/1.1")
    status = fixture.run(send_raw(fixture.gateway, data))
    fixture.response = CallerResponse(status, {}, b"")


@then("the replica received the target {target}")
def step_impl(context, target):
    (run,) = context.fixture.runs()
    assert run.path == target, run.path


@when("a {route} request comes with the header bytes {values}")
def step_impl(context, route, values):
    fixture = context.fixture
    send = send_bytes(fixture.gateway, route, "attempt-1", bytes.fromhex(values))
    fixture.response = fixture.run(send)


@then("the replica and the caller received the header bytes {values}")
def step_impl(context, values):
    (run,) = context.fixture.runs()
    received = run.headers["X-Bytes"].encode(errors="surrogateescape")
    assert received == bytes.fromhex(values), received
    returned = context.fixture.response.headers["X-Bytes"]
    assert returned == bytes.fromhex(values), returned


@given("a roll-out of each service is in progress")
def step_impl(context):
    fixture = context.fixture
    registry = fixture.gateway.releases.registry

    async def begin():
        for service in (LLM_SERVICE, PLAIN_SERVICE):
            await fixture.deployment.add_replica(f"n-{service}", service, "v2")
            order = {"service": service, "to": "v2", "duration_s": 60}
            await fixture.deployment.store.put("op", f"rollout/{service}", order)
        await fixture.deployment.wait_until_in_sync()
        assert await wait_until(lambda: len(registry.open_orders()) == 2)

    fixture.run(begin())


@when("{count:d} {route} requests come with the bytes {values} in {header}")
def step_impl(context, count, route, values, header):
    fixture = context.fixture
    value = bytes.fromhex(values)

    async def send_all():
        return [
            await send_bytes(fixture.gateway, route, f"attempt-{number}", value, header)
            for number in range(count)
        ]

    context.responses = fixture.run(send_all())


@then("each gets {status:d}, and replicas received the bytes {values} in {header}")
def step_impl(context, status, values, header):
    statuses = [response.status for response in context.responses]
    assert statuses == [status] * len(statuses), statuses
    runs = context.fixture.runs()
    assert len(runs) >= len(statuses), len(runs)
    for run in runs:
        received = run.headers[header].encode(errors="surrogateescape")
        assert received == bytes.fromhex(values), received


async def read_status(reader):
    """Return the status of a response with a length, or 0 if none comes within 5 s."""
    try:
        async with asyncio.timeout(5):
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            fields = dict(line.partition(": ")[::2] for line in lines[1:])
            await reader.readexactly(int(fields["Content-Length"]))
    except (asyncio.IncompleteReadError, TimeoutError):
        return 0
    return int(lines[0].split()[1])


@when("a book request with {trailers} and then a look request are sent {how}")
def step_impl(context, trailers, how):
    context.trailers = [] if trailers == "no trailers" else trailers.split(", ")
    headers = request_headers("book", 1) | {"Transfer-Encoding": "chunked"}
    end = "".join(f"{line}\r\n" for line in ["0", *context.trailers, ""])
    body = f"4\r\nbody\r\n{end}".encode()
    first = raw_request(headers, "POST /book/1 HTTP/1.1", body)
    second = raw_request(request_headers("look", 2))

    async def send_both():
        host, _, port = context.fixture.gateway.listener.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        if how == "at once":
            writer.write(first + second)
            statuses = [await read_status(reader) for _ in range(2)]
        else:
            statuses = []
            step = 1 if how == "byte by byte" else len(first)
            for data in (first, second):
                for start in range(0, len(data), step):
                    writer.write(data[start : start + step])
                    await asyncio.sleep(0)
                statuses.append(await read_status(reader))
        writer.close()
        return statuses

    context.statuses = context.fixture.run(send_both())


@then("they get {first:d} and {second:d}")
def step_impl(context, first, second):
    assert context.statuses == [first, second], context.statuses


@then("the replicas received the body, and no header that was a trailer")
def step_impl(context):
    by_path = {run.path: run for run in context.fixture.runs()}
    assert by_path["/book/1"].body == b"body"
    assert len(by_path) == context.statuses.count(200), by_path
    for run in by_path.values():
        assert run.request_id in ("attempt-1", "attempt-2"), run.request_id
        assert not {"X-Trail", "X-More"} & set(run.headers), run.headers


@when("a chunked book request goes on with {values}")
def step_impl(context, values):
    headers = request_headers("book", 1) | {"Transfer-Encoding": "chunked"}
    head = raw_request(headers, "POST /book/1 HTTP/1.1")
    body = values.encode().decode("unicode_escape").encode()

    async def send():
        host, _, port = context.fixture.gateway.listener.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head)
        await asyncio.sleep(0.1)
        writer.write(body)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        status = await read_status(reader)
        writer.close()
        return status, loop.time() - began_s

    context.status, context.took_s = context.fixture.run(send())


@then("the caller gets {status:d} within {seconds:d} s")
def step_impl(context, status, seconds):
    assert context.status == status, context.status
    assert context.took_s < seconds, context.took_s


@when("a book request of {version} expects {expectation}")
def step_impl(context, version, expectation):
    headers = request_headers("book", 1, Connection="close", Expect=expectation)
    headers["Content-Length"] = "4"

    async def send():
        host, _, port = context.fixture.gateway.listener.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(raw_request(headers, f"POST /book/1 {version}"))
        first = b""
        if "100-continue" in expectation.lower() and version == "HTTP/1.1":
            async with asyncio.timeout(5):
                first = await reader.readuntil(b"\r\n\r\n")
        writer.write(b"body")
        async with asyncio.timeout(5):
            rest = await reader.read()
        writer.close()
        return first + rest

    answer = context.fixture.run(send())
    lines = [each for each in answer.split(b"\r\n") if each.startswith(b"HTTP/")]
    context.statuses = [int(line.split()[1]) for line in lines]


@then("its first status is {first:d}, its last one {last:d}")
def step_impl(context, first, last):
    found = context.statuses
    assert (found[0], found[-1]) == (first, last), found


@then("the replica received the expectation {expectation}")
def step_impl(context, expectation):
    (run,) = context.fixture.runs()
    assert run.headers.get("Expect", "none") == expectation, run.headers
    assert run.body == b"body", run.body

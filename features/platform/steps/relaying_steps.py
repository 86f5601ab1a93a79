"""Steps about requests that are passed on to backend servers."""

import asyncio

from behave import given, then, when
from callers import ATTEMPT_ID, Told, call, headers_of, send_raw, wait_until

from stoatpath.standins.deployments import CALLER_KEY, HOST, Deployment
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


class World:
    """A deployment that runs on the loop of the scenario."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.deployment = Deployment()
        self.faults = FaultTable()
        self.told = None
        self.is_clean = None
        self.run(self.deployment.start())
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
    context.world = World()
    context.add_cleanup(context.world.close)


@given("the next run meets {kind}")
def step_impl(context, kind):
    context.world.faults.add(Fault("serve", kind))


@given("the second run meets {kind}")
def step_impl(context, kind):
    context.world.faults.add(Fault("serve", "none"))
    context.world.faults.add(Fault("serve", kind))


@given("the third run meets {kind}")
def step_impl(context, kind):
    context.world.faults.add(Fault("serve", kind))


@given("the smallest model is sure by {confidence:d}")
def step_impl(context, confidence):
    for replica in context.world.replicas():
        replica.confidence_by_model = {"tern-small": confidence, "tern-large": 95}


@given("streams of {events:d} events")
def step_impl(context, events):
    for replica in context.world.replicas():
        replica.events = events
        replica.event_ms = 10.0


@given("streams of {events:d} events with {gap:d} ms before each")
def step_impl(context, events, gap):
    for replica in context.world.deployment.replicas_by_name.values():
        replica.events = events
        replica.event_ms = gap


@when("a caller sends a {route} request")
def step_impl(context, route):
    world = context.world
    world.told = world.run(call(world.gateway, route))


@when("a caller sends a look request with forged headers")
def step_impl(context):
    world = context.world
    headers = headers_of("look", 1, **FORGED)
    world.told = world.run(call(world.gateway, "look", headers=headers))


@when("a caller leaves a chat request after its first bytes")
def step_impl(context):
    world = context.world

    async def work():
        host, _, port = world.gateway.listener.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [f"{name}: {value}" for name, value in headers_of("chat", 1).items()]
        head = "\r\n".join(["POST /chat/1 HTTP/1.1", *lines, "Content-Length: 0"])
        writer.write(head.encode() + b"\r\n\r\n")
        await reader.readuntil(b"id: 1")
        writer.transport.abort()
        return await wait_until(lambda: world.runs()[0].was_cancelled)

    context.was_cancelled = world.run(work())


@when("backend server {name} says that it drains")
def step_impl(context, name):
    world = context.world
    replica = world.deployment.replicas_by_name[name]
    row = replica.server_row("draining")
    world.run(world.deployment.store.put("servers", name, row))
    backends = world.gateway.backends
    assert world.run(wait_until(lambda: backends.by_name[name].is_leaving))


@when("the address of {name} answers as another process")
def step_impl(context, name):
    context.world.deployment.replicas_by_name[name].name = "someone else"


@when("a caller sends {what}")
def step_impl(context, what):
    world = context.world
    status = world.run(send_raw(world.gateway, bad_request(what)))
    world.told = Told(status, {}, b"")


@when("its backend server takes no connections any more")
def step_impl(context):
    world = context.world

    async def work():
        told = asyncio.create_task(call(world.gateway, "chat"))
        assert await wait_until(
            lambda: any(each.received_count for each in world.replicas())
        )
        for replica in world.replicas():
            if replica.received_count:
                await replica.stop_listening()
        return await told

    world.told = world.run(work())


@then("one look was enough to find that")
def step_impl(context):
    sends = sum(replica.received_count for replica in context.world.replicas())
    assert sends == 2, sends
    assert context.world.gateway.backend_client.calls == sends + 1


@when("the gateway stops while a connection is idle")
def step_impl(context):
    world = context.world

    async def work():
        host, _, port = world.gateway.listener.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(raw_request(headers_of("look", 1)))
        await reader.readuntil(b"answers attempt-1")
        stop = asyncio.create_task(world.gateway.stop())
        try:
            async with asyncio.timeout(5):
                return await reader.read()
        finally:
            writer.transport.abort()
            world.is_clean = await stop

    context.rest = world.run(work())


@when("the gateway stops while a stream is in flight")
def step_impl(context):
    world = context.world

    async def work():
        stream = asyncio.create_task(call(world.gateway, "chat"))
        assert await wait_until(world.runs)
        world.is_clean = await world.gateway.stop()
        return await stream

    world.told = world.run(work())


@when("the gateway stops while a stream holds it, and requests go on coming")
def step_impl(context):
    world = context.world

    async def work():
        stream = asyncio.create_task(call(world.gateway, "chat"))
        assert await wait_until(world.runs)
        for replica in world.replicas():
            replica.delay_ms = 30.0
        stop = asyncio.create_task(world.gateway.stop())
        told = []
        while not stop.done():
            told.append(await call(world.gateway, "look", len(told)))
            await asyncio.sleep(0.005)
        world.is_clean = await stop
        await stream
        return told

    context.answers = world.run(work())


@then("every one of them got a whole answer, the last ones 503")
def step_impl(context):
    statuses = [told.status for told in context.answers]
    # The last ones may have met a listener that was closed: no request was read.
    while statuses and not statuses[-1]:
        statuses.pop()
    assert set(statuses) == {200, 503}, statuses
    assert statuses[-1] == 503, statuses


@then("the caller gets {status:d}")
def step_impl(context, status):
    told = context.world.told
    assert told.status == status, (told.status, told.body)


@then("the request ran at most {runs:d} times")
def step_impl(context, runs):
    ran = context.world.runs()
    assert len(ran) <= runs, len(ran)


@then("a success bears the seal and the whole body")
def step_impl(context):
    told = context.world.told
    if told.status != 200:
        return
    assert "X-Stoatpath-Replica-Seal" in told.headers
    assert told.headers[ATTEMPT_ID] == "attempt-1"
    if told.headers.get("Content-Type", "").startswith("text/event-stream"):
        assert events_of(told) == list(range(1, 6)), told.body
    else:
        assert told.body.endswith(b"answers attempt-1"), told.body


@then("the caller got events {first:d} to {last:d} in order, and the end")
def step_impl(context, first, last):
    told = context.world.told
    assert told.status == 200, told.body
    assert events_of(told) == list(range(first, last + 1)), told.body


@then("the models that ran are {models}")
def step_impl(context, models):
    ran = [run.headers["X-Stoatpath-Model"] for run in context.world.runs()]
    assert sorted(ran) == sorted(models.split()), ran


@then("the answer is of {model}")
def step_impl(context, model):
    seal = context.world.told.headers["X-Stoatpath-Confidence"]
    assert seal == "95", seal


@then("the replica got the organisation, its own name and the time that is left")
def step_impl(context):
    (run,) = context.world.runs()
    assert run.headers.getall("X-Stoatpath-Tenant") == ["harbour"]
    assert run.headers.getall("X-Stoatpath-Expect-Replica")[0].startswith("p")
    assert 0 < int(run.headers["X-Stoatpath-Deadline-Ms"]) <= 1_000
    assert run.path == "/look/1?a=b"


@then("the replica got neither the key nor any forged header")
def step_impl(context):
    (run,) = context.world.runs()
    for name in ("Authorization", "X-Stoatpath-Hold", "X-Stoatpath-Pin-Ms"):
        assert name not in run.headers, name
    for name in ("X-Stoatpath-Kv-Backup", "Kv-From", "X-Private"):
        assert name not in run.headers, name


@then("the run is cancelled within half a second")
def step_impl(context):
    assert context.was_cancelled


@then("{count:d} look requests all run on {name} though it takes {delay:d} ms")
def step_impl(context, count, name, delay):
    context.world.deployment.replicas_by_name[name].delay_ms = delay
    context.execute_steps(f"Then {count} look requests all run on {name}")


@then("{count:d} look requests all run on {name:w}")
def step_impl(context, count, name):
    world = context.world
    for replica in world.replicas():
        replica.runs.clear()
    for number in range(count):
        told = world.run(call(world.gateway, "look", number))
        assert told.status == 200, told.body
    assert len(world.deployment.replicas_by_name[name].runs) == count


@then("no backend server was reached")
def step_impl(context):
    assert not context.world.runs()


@then("the connection ends within the grace period")
def step_impl(context):
    assert context.rest == b"", context.rest
    assert context.world.is_clean


@then("the gateway says that nothing was cut")
def step_impl(context):
    assert context.world.is_clean


def events_of(told):
    """Return the identifiers of the events of a streamed answer."""
    lines = told.body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


def raw_request(headers, line="GET /look/1 HTTP/1.1", body=b""):
    lines = [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([line, *lines, "", ""]).encode() + body


def bad_request(what):
    """Return the bytes of a request that is to be refused."""
    good = headers_of("look", 1)
    book = headers_of("book", 1)
    line = "POST /book/1 HTTP/1.1"
    framed = {"Content-Length": "4", "Transfer-Encoding": "chunked"}
    by_name = {
        "an unknown host": raw_request(good | {"Host": "elsewhere.example"}),
        "an unknown path": raw_request(good, "GET /nowhere/1 HTTP/1.1"),
        "an unknown key": raw_request(good | {"Authorization": "Bearer no"}),
        "no key": raw_request(headers_of("look", 1, Authorization=None)),
        "no identifier": raw_request(
            headers_of("look", 1, X_Stoatpath_Attempt_Id=None)
        ),
        "two identifiers": raw_request(good | {ATTEMPT_ID.lower(): "another"}),
        "both a length and chunks": raw_request(book | framed, line, b"0\r\n\r\n"),
        "two lengths": raw_request(
            book | {"Content-Length": "4", "content-length": "5"}, line, b"body!"
        ),
        "a body over the limit": raw_request(book | {"Content-Length": "200000"}, line),
        "a head over the limit": raw_request(good | {"X-Long": "x" * 20_000}),
        "a head that never ends": f"GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\n".encode(),
        "bytes that are not HTTP": b"\x16\x03\x01\x02\x00\x01\x00\x01\r\n\r\n"
        + CALLER_KEY.encode(),
    }
    return by_name[what]

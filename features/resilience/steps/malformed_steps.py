"""Steps about messages, rows and heads of any form."""

import asyncio
import copy
import random

from behave import given, then, when
from hypothesis import (
    HealthCheck,
    Phase,
    given as any_of,
    seed,
    settings,
    strategies as st,
)
from task_steps import record_lines, replace, start_pair, wait_until

from stoatpath.feeds.copies import RowChange
from stoatpath.feeds.messages import TablesRequest
from stoatpath.gateway_metrics import gateway_samples
from stoatpath.membership import peers
from stoatpath.outcomes import is_failure
from stoatpath.platform import names
from stoatpath.platform.row_stores import (
    Committed,
    HistoryGone,
    RowPage,
    RowStore,
    StoredRow,
)
from stoatpath.quarantine.suspicions import Suspicion, SuspicionTable
from stoatpath.standins.deployments import CALLER_KEY, HOST, Deployment
from stoatpath.utils import decode_json, encode_json

SEED = 60
HANDLER_TIMEOUT_S = 0.05
SECONDS_OF_TRAFFIC = 3.5
EXTREMES = st.sampled_from(
    [
        None, True, -1, 0, 2**63, -(2**63), 2**64 - 1, 2**64, 10**400, 1e308, -1e308, 5e-324,
        "", "inf", "nan", "-inf", "1e400", "\x00", "id", "9" * 400, [], {}, [[]],
        [None], {"": None},
    ]
)  # fmt: skip
JSON = st.recursive(
    EXTREMES | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=6), inner, max_size=3),
    max_leaves=6,
)


def bounded(count):
    """Return the settings of a bounded, reproducible run."""
    return settings(
        max_examples=count,
        deadline=None,
        database=None,
        derandomize=False,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )


def paths_of(value, prefix=()):
    """Return the paths of all parts of a JSON value."""
    paths = [prefix]
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, part in items:
        paths += paths_of(part, (*prefix, key))
    return paths


@st.composite
def changed(draw, templates):
    """Return a template with one or two of its parts replaced or removed."""
    value = copy.deepcopy(draw(st.sampled_from(templates)))
    for _ in range(draw(st.integers(1, 2))):
        path = draw(st.sampled_from(paths_of(value)))
        part = copy.deepcopy(draw(JSON))
        if not path:
            if isinstance(part, dict):
                value = part
            continue
        owner = value
        for key in path[:-1]:
            owner = owner[key]
        if isinstance(owner, dict) and draw(st.integers(0, 5)) == 0:
            del owner[path[-1]]
        else:
            owner[path[-1]] = part
    return value


def run_examples(loop, strategy, count, work):
    """Run `work(value)` for examples of a strategy; return the failed ones."""
    failed = []

    @seed(SEED)
    @bounded(count)
    @any_of(strategy)
    def run(value):
        try:
            loop.run_until_complete(work(value))
        except Exception as error:
            failed.append((repr(error), repr(value)[:600]))

    run()
    return failed


def over_wire(value):
    """Return a value as a receiver decodes it, None if it can't be sent."""
    try:
        return decode_json(encode_json(value))
    except (TypeError, ValueError, OverflowError):
        return None


def use_deployment(context):
    """Make a deployment with an event loop of its own."""
    context.loop = asyncio.new_event_loop()
    context.deployment = Deployment()
    context.lines = record_lines(context)

    def close():
        context.loop.run_until_complete(context.deployment.stop())
        context.loop.close()

    context.add_cleanup(close)


async def send_look(gateway, number=1):
    """Return the status of a sound request on a new connection, 0 if closed."""
    head = (
        f"GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Stoatpath-Attempt-Id: sound-{number}\r\nX-Stoatpath-Deadline-Ms: 4000\r\n"
        f"Authorization: Bearer {CALLER_KEY}\r\nConnection: close\r\n\r\n"
    )
    answer = await exchange_bytes(gateway.listener.address, head.encode())
    return int(answer.split()[1]) if answer else 0


async def exchange_bytes(address, data, seconds=8):
    """Send bytes, end the sending side, and return all that is answered."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        async with asyncio.timeout(seconds):
            writer.write(data)
            return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.transport.abort()


def check_gateway(gateway):
    """Let a gateway build what it sends, counts and decides periodically."""
    now_ms = gateway.clock.now_ms()
    encode_json(gateway.gossip._messenger.build_message("another"))
    encode_json(gateway.tables._build_answer(TablesRequest({}, 0.0, 0.0)).to_json())
    gateway_samples(gateway)
    gateway.members.expire_members(now_ms)
    gateway.members.digest()
    gateway._acceptance()
    gateway._update_capacities()
    gateway.backends.expire_lapsed(now_ms)
    gateway.tables._selector.select(now_ms)
    gateway._instance_count()
    for backend in gateway.backends.by_name.values():
        gateway.peer_finder.can_forward(backend.service)


@given("two gateways whose messages to each other were recorded")
def step_impl(context):
    use_deployment(context)
    context.messages_by_topic = {}
    context.answers_by_topic = {}
    original = peers.PeerClient.ask

    async def ask(client, address, topic, message, *rest, **options):
        answer = await original(client, address, topic, message, *rest, **options)
        context.messages_by_topic.setdefault(topic, []).append(over_wire(message))
        if not is_failure(answer):
            context.answers_by_topic.setdefault(topic, []).append(answer)
        return answer

    async def work():
        await start_pair(context.deployment)
        await asyncio.sleep(SECONDS_OF_TRAFFIC)

    replace(context, peers.PeerClient, "ask", ask)
    context.loop.run_until_complete(work())
    context.ask = original
    context.gateway = context.deployment.gateways[0]


# Messages that two gateways without trouble don't send.
FURTHER_MESSAGES = {
    "permits": {"backend": "m0", "instance": "x", "wanted": 3, "limit": [5.0, 10.0]},
    "crash-reports": {
        "service": "desk-assist",
        "attempts": [
            {
                "backend": "m0",
                "request": "r",
                "parts": ["aa"],
                "content": "c",
                "begun": True,
                "start_age_ms": 20.0,
                "age_ms": 10.0,
            }
        ],
    },
    "part-histories": {"service": "desk-assist", "parts": ["aa"]},
    "quarantines": {
        "service": "desk-assist",
        "part": "aa",
        "version": 5,
        "left_ms": 1000.0,
        "repeats": 0,
        "lifted": False,
    },
    "probe": {"name": "gateway-1", "address": "127.0.0.1:1"},
}


def claim_about(gateway):
    """Return a message that claims that a gateway is dead, which it refutes."""
    local = gateway.members.local.to_json()
    sender = gateway.members.peers()[0].to_json()
    members = [{**local, "incarnation": local["incarnation"] + 1, "state": "dead"}]
    return {"from": sender, "digest": "x", "members": members, "topics": {}}


@when("each topic gets 150 messages, recorded ones with a part replaced")
def step_impl(context):
    server = context.gateway.peer_server
    context.errors = {}
    context.topics = sorted(server._handlers_by_topic)
    for topic in context.topics:
        handler = server._handlers_by_topic[topic]
        templates = context.messages_by_topic.get(topic, [])[-5:]
        if topic == "gossip":
            templates.append(claim_about(context.gateway))
        templates = templates or [FURTHER_MESSAGES.get(topic, {})]

        async def work(value):
            message = over_wire(value)
            if not isinstance(message, dict):
                return
            try:
                async with asyncio.timeout(HANDLER_TIMEOUT_S):
                    encode_json(await handler(message))
            except (TimeoutError, *peers.UNREADABLE):
                pass
            check_gateway(context.gateway)

        failed = run_examples(context.loop, changed(templates), 150, work)
        if failed:
            context.errors[topic] = (len(failed), failed[0])


@then("each is answered, or rejected as unreadable")
def step_impl(context):
    known = {*context.messages_by_topic, *FURTHER_MESSAGES}
    print(context.topics, sorted(known))
    assert not context.errors, context.errors


@then("the gateway still builds its own messages, metrics and decisions")
def step_impl(context):
    check_gateway(context.gateway)
    assert context.loop.run_until_complete(send_look(context.gateway)) == 200
    assert not any(context.gateway.supervisor.failures_by_task.values())


@when("the first asks for tables and gossips 150 times, and gets changed answers")
def step_impl(context):
    gateway = context.gateway
    gateway.quarantine_exchange._suspicions_by_service["desk-assist"] = SuspicionTable()
    member = gateway.members.peers()[0]
    finder = gateway.peer_finder
    jobs_by_topic = {
        "tables": lambda: gateway.tables._follow(member, gateway.clock.now_ms()),
        "gossip": lambda: gateway.gossip._exchange(member),
        "members": lambda: gateway.gossip._sync(member),
        "probe": lambda: gateway.gossip._probe_indirectly(member),
        "reach": lambda: finder._ask(member.name),
        "permits": lambda: gateway.send_gate.permits._exchange(member, "m0", 1),
        "part-histories": lambda: gateway.quarantine_exchange._ask_histories(
            "desk-assist", SuspicionTable(), [member.name]
        ),
        "ready": gateway.replacements.check,
    }
    further = {
        "reach": {"until_ms": None, "unreachable": []},
        "probe": {"reached": True},
        "permits": {"count": 1, "wait_ms": 3.0, "limit": [5.0, 10.0]},
        "ready": {"is_ready": True},
    }
    context.errors = {}
    context.refusals = {}
    for topic, job in jobs_by_topic.items():
        templates = context.answers_by_topic.get(topic, [])[-5:]
        templates = templates or [further.get(topic, {})]

        async def work(value):
            answer = over_wire(value)

            async def serve(message):
                return answer

            other = context.deployment.gateways[1].peer_server
            other._handlers_by_topic[topic] = serve
            gateway.gossip._next_sync_ms = 0
            async with asyncio.timeout(3):
                await job()
            check_gateway(gateway)

        values = changed(templates) | JSON
        failed = run_examples(context.loop, values, 150, work)
        if failed:
            context.errors[topic] = (len(failed), failed[0])


@then("neither task fails")
def step_impl(context):
    assert not context.errors, context.errors
    assert not any(context.gateway.supervisor.failures_by_task.values())


@given("a gateway with rows of all tables")
def step_impl(context):
    use_deployment(context)
    context.loop.run_until_complete(context.deployment.start())
    context.gateway = context.deployment.gateways[0]


def row_of(context, table):
    """Return follower, key and value of a sound row of a table."""
    gateway = context.gateway
    store_ms = gateway.reachability.store_ms(gateway.clock.now_ms())
    if table == "op":
        # Each example is a new revision.
        return gateway.operator_rows, names.CONFIG_KEY, context.deployment.config
    if table == "rollouts":
        value = {"service": "desk-assist", "to": "v2", "duration_s": 60}
        return gateway.operator_rows, "rollout/desk-assist", value
    if table == "servers":
        replica, *_ = context.deployment.replicas_by_name.values()
        return gateway.server_rows, "extra", replica.server_row(born=3)
    if table == "statuses":
        value = {
            "service": "desk-assist",
            "to": "v2",
            "state": "running",
            "order": 3,
            "started_ms": store_ms,
            "by": "x",
            "reason": "",
        }
        return gateway.status_rows, "rollout/desk-assist", value
    value = {
        "service": "desk-assist",
        "part": "aa",
        "version": 5,
        "until_store_ms": store_ms + 1000.0,
        "repeats": 0,
        "lifted": False,
    }
    return gateway.quarantine_rows, "aa", value


@when('200 values are applied to a row of the table "{table}"')
def step_impl(context, table):
    gateway = context.gateway
    follower, key, template = row_of(context, table)
    base = follower.copy.version + 10_000
    numbers = iter(range(100_000))
    context.statuses = []

    async def work(value):
        number = next(numbers)
        if table == "op" and isinstance(value, dict) and "version" in value:
            if value["version"] == template["version"]:
                value["version"] += number
        try:
            data = value if isinstance(value, bytes) else encode_json(value)
        except OverflowError:
            data = str(value).replace("'", '"').encode()
        row = StoredRow(key, base + number, data)
        follower._on_changes([RowChange(key, row)])
        check_gateway(gateway)
        for order in gateway.releases.registry.open_orders():
            await gateway.releases._advance_rollout(order)
        context.statuses.append(await send_look(gateway, number))

    values = changed([template]) | JSON | st.binary(max_size=40)
    context.errors = run_examples(context.loop, values, 200, work)


@then("no error but a log line comes of it, and requests are still served")
def step_impl(context):
    assert not context.errors, (len(context.errors), context.errors[:3])
    # A changed configuration may have no such route or key any more.
    assert not {0, 500} & set(context.statuses), context.statuses
    gateway = context.gateway
    assert not any(gateway.supervisor.failures_by_task.values())


@given("a store that answers with 150 pages of any JSON")
def step_impl(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)


@when("a gateway's client reads and follows a table")
def step_impl(context):
    page = {
        "rows": [{"key": "a", "ver": 3, "value": "e30=", "tombstone": False}],
        "ver": 7,
        "now_ms": 12.5,
        "truncated": False,
    }
    context.results = []

    class Response:
        def __init__(self, headers):
            self.status = 200
            self.headers = headers

    async def work(value):
        data, era = value
        store = RowStore.from_address("127.0.0.1:1")
        store.era = 1
        body = data if isinstance(data, bytes) else encode_json(data)
        response = Response({} if era is None else {"Store-Era": era})
        result = store._decode_response("/-/x", response, body, RowPage.from_json)
        if isinstance(result, RowPage):
            for row in result.rows:
                encode_json([row.key, row.version])
            encode_json([result.version, result.store_ms])
        context.results.append(result)

    values = changed([page]) | JSON | st.binary(max_size=40)
    values = values.filter(lambda value: over_wire(value) is not None)
    eras = st.sampled_from([None, None, "1", "2", "x", "", "-1", "9" * 30, "1e3"])
    pairs = st.tuples(values, eras)
    context.errors = run_examples(context.loop, pairs, 150, work)


@then("each read is a page or a failure")
def step_impl(context):
    assert not context.errors, (len(context.errors), context.errors[:3])
    kinds = (RowPage, HistoryGone, Committed)
    assert all(is_failure(each) or isinstance(each, kinds) for each in context.results)


HEADS = [
    b"GET /look/1 HTTP/1.1\r\nHost: desk.example\r\n"
    b"X-Stoatpath-Attempt-Id: a\r\nX-Stoatpath-Deadline-Ms: 400\r\n"
    b"Authorization: Bearer key-of-harbour\r\nConnection: close\r\n\r\n",
    b"POST /sum/1 HTTP/1.1\r\nHost: desk.example\r\nX-Stoatpath-Model: *\r\n"
    b"X-Stoatpath-Token-Counts: 100,50\r\nX-Stoatpath-Prompt-Prefix: aa:60,bb:40\r\n"
    b"X-Stoatpath-Attempt-Id: b\r\nX-Stoatpath-Deadline-Ms: 400\r\nSession: s\r\n"
    b"Last-Event-Id: 3\r\nAuthorization: Bearer key-of-harbour\r\n"
    b"Content-Length: 3\r\nConnection: close\r\n\r\nabc",
]
TOKENS = st.sampled_from(
    [b"\r\n", b"\x00", b"inf", b"nan", b"-1", b"9" * 400, b"1e999", b":", b"\xff",
     b"0x1F", b" ", b",", b"\xc2\xb2", b"1_0", b"Content-Length: 5\r\n",
     b"Transfer-Encoding: chunked\r\n"]
)  # fmt: skip


@st.composite
def changed_bytes(draw, templates):
    """Return a template with some ranges of bytes replaced."""
    data = draw(st.sampled_from(templates))
    for _ in range(draw(st.integers(1, 3))):
        start = draw(st.integers(0, len(data)))
        end = min(len(data), start + draw(st.integers(0, 6)))
        data = data[:start] + draw(TOKENS | st.binary(max_size=4)) + data[end:]
    return data


@when("100 callers send heads with changed or random bytes")
def step_impl(context):
    context.answers = []
    address = context.gateway.listener.address

    async def work(data):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            async with asyncio.timeout(4):
                writer.write(data)
                # What follows may be a part of another request, so one read it is.
                answer = await reader.read(300)
        except ConnectionError:
            answer = b""
        finally:
            writer.transport.abort()
        context.answers.append((data, answer))

    values = changed_bytes(HEADS) | st.binary(min_size=1, max_size=60)
    context.errors = run_examples(context.loop, values, 100, work)


@then("each is answered or closed, and requests are still served")
def step_impl(context):
    assert not context.errors, (len(context.errors), context.errors[:3])
    broken = [each for each in context.answers if each[1][9:12] == b"500"]
    assert not broken, (len(broken), broken[:2])
    assert context.loop.run_until_complete(send_look(context.gateway)) == 200


ANSWERS = [
    b"HTTP/1.1 200 OK\r\nX-Stoatpath-Attempt-Id: ID\r\nX-Stoatpath-Replica-Seal: s\r\n"
    b"Server-Limit: 5\r\nServer-Leaving: 0\r\nServer-Brittle: 9\r\n"
    b"X-Stoatpath-Confidence: 3\r\nContent-Length: 2\r\n\r\nok",
    b"HTTP/1.1 503 Busy\r\nX-Stoatpath-Attempt-Id: ID\r\nRetry-After: 1\r\n"
    b"X-Stoatpath-Not-Executed: 1\r\nServer-Limit: 5\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Stoatpath-Attempt-Id: ID\r\nX-Stoatpath-Replica-Seal: s\r\n"
    b"Transfer-Encoding: chunked\r\nConnection: X-A\r\n\r\n2\r\nok\r\n0\r\n\r\n",
]


@given("a gateway with a backend server that answers 100 times with any head")
def step_impl(context):
    use_deployment(context)
    context.answer = b""

    async def serve(reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.split(b"\r\n")
            ids = [each for each in lines if each.startswith(b"X-Stoatpath-Attempt-Id")]
            request_id = ids[0].partition(b": ")[2]
            writer.write(context.answer.replace(b"ID", request_id))
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, IndexError):
            pass
        finally:
            writer.close()

    async def work():
        await context.deployment.start(models=0, plain=1)
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        (replica,) = context.deployment.replicas_by_name.values()
        row = replica.server_row(address=f"{host}:{port}", sequence=2)
        await context.deployment.store.put("servers", replica.name, row)
        backends = context.deployment.gateways[0].backends
        await wait_until(
            lambda: backends.by_name[replica.name].address == row["address"]
        )
        return server

    context.server = context.loop.run_until_complete(work())
    context.gateway = context.deployment.gateways[0]


@when("a caller sends a request for each")
def step_impl(context):
    gateway = context.gateway
    numbers = iter(range(1_000))
    context.answers = []

    async def work(answer):
        context.answer = answer
        number = next(numbers)
        gateway.chooser.breakers.retain_backends({})
        gateway.send_gate.hold_offs.__init__(random.Random(1))
        gateway.send_gate.retain_backends({})
        context.answers.append((answer, await send_look(gateway, number)))
        check_gateway(gateway)

    values = changed_bytes(ANSWERS) | st.binary(max_size=60)
    context.errors = run_examples(context.loop, values, 100, work)


@then("each caller gets an answer that is no 500 of the gateway itself")
def step_impl(context):
    context.server.close()
    assert not context.errors, (len(context.errors), context.errors[:3])
    broken = [each for each in context.answers if each[1] in (0, 500)]
    print([each[1] for each in context.answers])
    assert not broken, (len(broken), broken[:3])
    assert not any(context.gateway.supervisor.failures_by_task.values())


@when("the first gets {what} of 2^64 - 1")
def step_impl(context, what):
    handlers = context.gateway.peer_server._handlers_by_topic
    claim = claim_about(context.gateway)
    decision = dict(FURTHER_MESSAGES["quarantines"])
    if what == "a claim of an incarnation":
        claim["members"][0]["incarnation"] = 2**64 - 1
        message, topic = claim, "gossip"
    else:
        name = "repeats" if what == "a count of quarantines" else "version"
        decision[name] = 2**64 - 1
        message, topic = decision, "quarantines"

    async def work():
        try:
            await handlers[topic](message)
        except peers.UNREADABLE as error:
            print(repr(error))

    assert topic in handlers, sorted(handlers)
    context.loop.run_until_complete(work())


@then("it still gossips with the second and decides on quarantines")
def step_impl(context):
    gateway = context.gateway
    check_gateway(gateway)
    exchange = gateway.quarantine_exchange
    member = gateway.members.peers()[0]
    table = SuspicionTable()
    suspicion = Suspicion("aa", 9.0, 2, gateway.clock.now_ms(), None)

    async def work():
        assert await gateway.gossip._exchange(member)
        decision = exchange._quarantine("desk-assist", table, suspicion)
        await exchange._tell_all(decision)
        encode_json(exchange.collect())

    context.loop.run_until_complete(work())

"""Steps about a store or a peer that answers without end."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from stoatpath.clock import Clock
from stoatpath.dispatch.cancellations import Canceller
from stoatpath.membership.backends import ENGINE
from stoatpath.membership.peers import PeerClient, PeerSigner
from stoatpath.membership.watchers import BackendWatcher
from stoatpath.outcomes import is_failure
from stoatpath.placement.senders import OrderSender
from stoatpath.platform.row_stores import RowStore
from stoatpath.services.connections import PlatformConnection
from stoatpath.utils import cancel_and_wait

BLOCK = b"x" * 65_536
TIMEOUT_MS = 5_000
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"


class EndlessServer:
    """Writes bytes to each connection until it is closed, and counts them."""

    def __init__(self):
        self.sent_bytes = []
        self.server = None

    async def start(self):
        """Listen; return the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        number = len(self.sent_bytes)
        self.sent_bytes.append(0)
        writer.write(HEAD)
        try:
            while True:
                writer.write(BLOCK)
                await writer.drain()
                self.sent_bytes[number] += len(BLOCK)
        except ConnectionError:
            writer.transport.abort()


async def ask_store(address, count):
    client = RowStore.from_address(address)
    answers = [await client.read("servers") for _ in range(count)]
    await client.close()
    return answers


async def ask_peer(address, count):
    client = PeerClient(PeerSigner({}), Clock())
    answers = [await client.ask(address, "tables", {}) for _ in range(count)]
    await client.close()
    return answers


async def ask_service(address, count):
    client = PlatformConnection(f"http://{address}", TIMEOUT_MS)
    answers = [await client.post("/v1/scan", {}) for _ in range(count)]
    await client.close()
    return answers


async def read_reports(address, count):
    """Poll the load of engines; return the reports."""
    reports = []
    names = [f"e{number}" for number in range(count)]
    servers = SimpleNamespace(
        by_name={
            name: SimpleNamespace(name=name, kind=ENGINE, address=address)
            for name in names
        },
        apply_list=lambda *entries: None,
        apply_report=lambda name, report, sent_ms: reports.append(report),
    )

    async def read_no_entries(now_ms):
        return []

    instances = SimpleNamespace(read_cached=read_no_entries)
    watcher = BackendWatcher(servers, instances, Clock())
    watching = asyncio.create_task(watcher.run())
    # The period is counted from the end of all polls.
    while watcher.polls < count + 1:
        await asyncio.sleep(0.001)
    await cancel_and_wait([watching])
    return reports


async def send_orders(address, count):
    sender = OrderSender(Clock(), (), None)
    engine = SimpleNamespace(name="e1", address=address)
    plan = SimpleNamespace(engine=engine, versions=())
    lease = SimpleNamespace(is_held=lambda until_ms: True, fencing=1)
    answers = [await sender.send(plan, lease) for _ in range(count)]
    await sender.close()
    return answers


async def send_cancellations(address, count):
    """Cancel attempts until the engine's answers have ended; they return nothing."""
    canceller = Canceller()
    attempt = SimpleNamespace(
        request=SimpleNamespace(request_id="r1"),
        attempt_id="a1",
        backend=SimpleNamespace(address=address),
    )
    for _ in range(count):
        canceller.cancel(attempt)
    await asyncio.gather(*canceller._tasks)
    await canceller.close()
    return []


CALLS_BY_SENDER = {
    "store": ask_store,
    "peer": ask_peer,
    "platform service": ask_service,
    "engine that reports": read_reports,
    "engine that gets an order": send_orders,
    "engine that is told to cancel": send_cancellations,
}


@given("a {sender} that answers without end")
def step_impl(context, sender):
    context.ask = CALLS_BY_SENDER[sender]
    context.server = EndlessServer()


@when("it is asked {count:d} times")
def step_impl(context, count):
    async def ask_all():
        address = await context.server.start()
        answers = await context.ask(address, count)
        context.server.server.close()
        return answers

    context.count = count
    context.answers = asyncio.run(ask_all())


@then("each answer is a failure, and at most {limit:d} MB of each were read")
def step_impl(context, limit):
    assert all(map(is_failure, context.answers)), context.answers
    sent = context.server.sent_bytes
    # Engines are polled again, until the polling is stopped.
    is_polled = context.ask is read_reports
    assert len(sent) == context.count or is_polled, sent
    assert all(0 < each <= limit * 1_000_000 for each in sent[: context.count]), sent
    assert all(each <= limit * 1_000_000 for each in sent), sent

"""A running site with injected faults, and a record of each response."""

import asyncio

import aiohttp

from stoatpath.billing.ledgers import find_duplicates, read_ledger
from stoatpath.services.tables import Table
from stoatpath.standins.faults import Fault
from stoatpath.standins.sites import Site
from stoatpath.tools.demonstrations import DONE_EVENT, Demonstration, chat
from stoatpath.utils import decode_json, encode_json

BACKEND_TIMEOUT_MS = 250
FAULT_DELAY_MS = 600
WAIT_TIMEOUT_S = 20
COMPLETIONS = "/v1/chat/completions"
BOOKINGS = "/services/booking-desk/bookings"
REQUEST_KINDS = ("booking", "keyed booking", "lookup", "question", "summary")


class Reply:
    """The response that one caller got to one request."""

    def __init__(self, kind, number, key):
        self.kind = kind
        self.number = number
        self.key = key
        self.request_id = ""
        self.outcome = "none"
        self.status = 0
        self.body = b""
        self.is_replay = False

    @property
    def is_repeatable(self):
        return self.kind in ("lookup", "question", "summary")


class FaultInjectionSite:
    """A site with two routers in two zones; records the response to every request."""

    def __init__(self):
        self.site = Site()
        self.session = None
        self.replies = []
        self.faulty_standins = []

    async def start(self, routers=2):
        await self.site.start(routers=0)
        for index in range(routers):
            await self.start_router(index)
        await Demonstration(self.site).submit_samples()
        self.session = aiohttp.ClientSession()
        self.faulty_standins = [
            *self.site.engines_by_name.values(),
            *self.site.services_by_name.values(),
        ]
        for router in self.routers():
            await wait_until(lambda: _has_backend_loads(router))

    async def start_router(self, index):
        return await self.site.start_router(
            f"router-{index + 1}",
            ("zone-a", "zone-b")[index % 2],
            FIRST_BYTE_TIMEOUT_MS=BACKEND_TIMEOUT_MS,
            BETWEEN_BYTES_TIMEOUT_MS=BACKEND_TIMEOUT_MS,
            BILLING_FLUSH_PERIOD_MS=1_000,
        )

    async def stop(self):
        await self.session.close()
        await self.site.stop()

    def routers(self):
        return list(self.site.routers_by_name.values())

    async def kill(self, router):
        """Stop a router without a grace period."""
        del self.site.routers_by_name[router.settings.name]
        await router.kill()

    def inject_backend_fault(self, kind, count=1):
        """Inject a fault into the next calls, whichever backend server gets them."""
        shared = self.faulty_standins[0].faults
        for standin in self.faulty_standins:
            standin.faults = shared
        for operation in ("complete", "serve"):
            shared.add(Fault(operation, kind, count, FAULT_DELAY_MS))

    def inject_table_fault(self, kind, operation="transact", count=1):
        self.site.table.faults.add(Fault(operation, kind, count, FAULT_DELAY_MS))

    async def send(self, kind, number, router=None, key=""):
        """Send one request; return the record of its response."""
        reply = Reply(kind, number, key)
        self.replies.append(reply)
        router = router or self.routers()[0]
        method, path, organisation, body, headers = _request(kind, number, key)
        secret = f"{organisation}.{organisation}-sample-secret"
        headers["Authorization"] = f"Bearer {secret}"
        url = f"http://{router.address}{path}"
        try:
            async with self.session.request(
                method, url, data=body, headers=headers
            ) as response:
                _record_head(reply, response)
                reply.body = await response.read()
                _record_end(reply, response)
        except aiohttp.ClientError:
            reply.outcome = "unknown"
        return reply

    def count_executions(self, request_id):
        """Count the executions of a request that backend servers began."""
        engines = self.site.engines_by_name.values()
        services = self.site.services_by_name.values()
        ran = [each for engine in engines for each in engine.executions]
        called = [call for service in services for call in service.executions]
        return sum(each.request_id == request_id for each in ran) + sum(
            call[0] == request_id for call in called
        )

    def count_bookings(self, number):
        """Count how often a booking ran, whichever request it was for."""
        services = self.site.services_by_name.values()
        return sum(
            call[1] == "POST" and decode_json(call[3]) == {"hut": number}
            for service in services
            for call in service.executions
        )

    async def read_billed_ids(self):
        """Flush all outboxes; return the billed request identifiers."""
        for router in self.routers():
            await router.outbox.flush()
        table = Table.from_url(self.site.settings("check", "zone-a").table_url)
        try:
            records = await read_ledger(table)
        finally:
            await table.close()
        assert find_duplicates(records) == [], find_duplicates(records)
        return [record["request_id"] for record in records]

    async def check_consistency_eventually(self):
        """Check once peers have billed for killed routers, or after a timeout."""
        try:
            await wait_until(self._are_all_billed)
        except TimeoutError:
            pass
        await self.check_consistency()

    async def _are_all_billed(self):
        billed = await self.read_billed_ids()
        return all(
            reply.request_id in billed
            for reply in self.replies
            if reply.outcome == "completed" and not reply.is_replay
        )

    async def check_consistency(self):
        """Compare the responses with the executions and the billing records."""
        billed = await self.read_billed_ids()
        for reply in self.replies:
            description = f"{reply.kind} {reply.number}: {reply.status} {reply.outcome}"
            ran = self.count_executions(reply.request_id) if reply.request_id else 0
            if reply.outcome == "not-run":
                assert ran == 0, f"{description} ran {ran} times"
            if reply.outcome == "completed" and not reply.is_replay:
                assert reply.request_id in billed, f"{description} is not billed"
                _check_body(reply, description)
            if reply.outcome == "not-run":
                assert reply.request_id not in billed, f"{description} is billed"
            if not reply.is_repeatable:
                assert (
                    self.count_bookings(reply.number) <= 1
                ), f"{description} ran twice"


def _request(kind, number, key):
    headers = {"Idempotency-Key": key} if key else {}
    if kind in ("booking", "keyed booking"):
        body = encode_json({"hut": number})
        return "POST", BOOKINGS, "sunset-huts", body, headers
    if kind == "lookup":
        path = f"/services/booking-desk/huts/{number}"
        return "GET", path, "sunset-huts", None, headers
    if kind == "summary":
        headers["Stoatpath-Purpose"] = "lease-summary"
        body = chat("desk-assist", f"Lease {number}.", stream=True, max_tokens=40)
        return "POST", COMPLETIONS, "foreshore-officers", encode_json(body), headers
    body = chat("desk-assist", f"Question {number}?")
    return "POST", COMPLETIONS, "reef-villages", encode_json(body), headers


def _record_head(reply, response):
    reply.status = response.status
    reply.request_id = response.headers.get("Stoatpath-Request-Id", "")
    reply.outcome = response.headers.get("Stoatpath-Outcome", "unknown")
    reply.is_replay = "Stoatpath-Replay" in response.headers


def _record_end(reply, response):
    if response.content_type == "text/event-stream":
        is_complete = reply.body.endswith(DONE_EVENT)
        reply.outcome = "completed" if is_complete else "unknown"


def _check_body(reply, description):
    if reply.kind == "summary":
        chunks = reply.body.split(b"\n\n")[:-2]
        events = [decode_json(chunk.removeprefix(b"data: ")) for chunk in chunks]
        assert {event["id"] for event in events} == {reply.request_id}, description
        text = "".join(each["choices"][0]["delta"]["content"] for each in events)
        assert f"Lease {reply.number}." in text and len(text.split()) == 40, text
    elif reply.kind == "question":
        answer = decode_json(reply.body)
        assert answer["id"] == reply.request_id, description
        content = answer["choices"][0]["message"]["content"]
        assert f"Question {reply.number}?" in content, content
    else:
        assert decode_json(reply.body)["request_id"] == reply.request_id, description


def _has_backend_loads(router):
    backends = router.backends.by_name.values()
    return len(backends) > 10 and all(each.slots for each in backends)


async def wait_until(check):
    """Wait until a check, which may be a coroutine function, returns a true value."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            result = check()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.01)


class HangingComponent:
    """Replaces a component of a router; one of its calls never returns."""

    def __init__(self, component, name):
        self._component = component
        self._name = name
        self.reached = asyncio.Event()

    def __getattr__(self, name):
        if name != self._name:
            return getattr(self._component, name)
        return self._hang

    async def _hang(self, *args, **changes):
        self.reached.set()
        await asyncio.Event().wait()


def hang_call(router, component, name):
    """Make one call of a component of a router never return."""
    hanging_component = HangingComponent(getattr(router, component), name)
    setattr(router, component, hanging_component)
    return hanging_component

"""A running site whose faults are arranged, and what callers were told."""

import asyncio

import aiohttp

from stoatpath.billing.ledgers import find_duplicates, read_ledger
from stoatpath.services.tables import Table
from stoatpath.standins.faults import Fault
from stoatpath.standins.sites import Site
from stoatpath.tools.demonstrations import DONE_EVENT, Demonstration, chat
from stoatpath.utils import decode_json, encode_json

SHORT_MS = 250
SLOW_MS = 600
WAIT_S = 20
COMPLETIONS = "/v1/chat/completions"
BOOKINGS = "/services/booking-desk/bookings"
KINDS = ("booking", "keyed booking", "lookup", "question", "summary")


class Told:
    """What one caller was told about one request."""

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


class FaultSite:
    """A site with two routers in two zones; every request is remembered."""

    def __init__(self):
        self.site = Site()
        self.session = None
        self.told = []
        self.faulty = []

    async def start(self, routers=2):
        await self.site.start(routers=0)
        for index in range(routers):
            await self.start_router(index)
        await Demonstration(self.site).submit_samples()
        self.session = aiohttp.ClientSession()
        self.faulty = [
            *self.site.engines_by_name.values(),
            *self.site.services_by_name.values(),
        ]
        for router in self.routers():
            await wait_until(lambda: _knows_backends(router))

    async def start_router(self, index):
        return await self.site.start_router(
            f"router-{index + 1}",
            ("zone-a", "zone-b")[index % 2],
            FIRST_BYTE_TIMEOUT_MS=SHORT_MS,
            BETWEEN_BYTES_TIMEOUT_MS=SHORT_MS,
            BILLING_FLUSH_PERIOD_MS=1_000,
        )

    async def stop(self):
        await self.session.close()
        await self.site.stop()

    def routers(self):
        return list(self.site.routers_by_name.values())

    async def kill(self, router):
        """End a router without any grace."""
        del self.site.routers_by_name[router.settings.name]
        await router.kill()

    def arrange(self, kind, count=1):
        """Have the next calls meet a fault, wherever they go."""
        shared = self.faulty[0].faults
        for standin in self.faulty:
            standin.faults = shared
        for operation in ("complete", "serve"):
            shared.add(Fault(operation, kind, count, SLOW_MS))

    def arrange_table(self, kind, operation="transact", count=1):
        self.site.table.faults.add(Fault(operation, kind, count, SLOW_MS))

    async def send(self, kind, number, router=None, key=""):
        """Send one request; return what its caller was told."""
        told = Told(kind, number, key)
        self.told.append(told)
        router = router or self.routers()[0]
        method, path, organisation, body, headers = _request(kind, number, key)
        secret = f"{organisation}.{organisation}-sample-secret"
        headers["Authorization"] = f"Bearer {secret}"
        url = f"http://{router.address}{path}"
        try:
            async with self.session.request(
                method, url, data=body, headers=headers
            ) as response:
                _note_head(told, response)
                told.body = await response.read()
                _note_end(told, response)
        except aiohttp.ClientError:
            told.outcome = "unknown"
        return told

    def runs(self, request_id):
        """Count what backend servers began to run for a request."""
        engines = self.site.engines_by_name.values()
        services = self.site.services_by_name.values()
        ran = [each for engine in engines for each in engine.executions]
        called = [call for service in services for call in service.executions]
        return sum(each.request_id == request_id for each in ran) + sum(
            call[0] == request_id for call in called
        )

    def booked(self, number):
        """Count how often a booking really ran, whoever asked for it."""
        services = self.site.services_by_name.values()
        return sum(
            call[1] == "POST" and decode_json(call[3]) == {"hut": number}
            for service in services
            for call in service.executions
        )

    async def ledger(self):
        """Return the billed request identifiers, once all outboxes are empty."""
        for router in self.routers():
            await router.outbox.flush()
        table = Table.from_url(self.site.settings("check", "zone-a").table_url)
        try:
            records = await read_ledger(table)
        finally:
            await table.close()
        assert find_duplicates(records) == [], find_duplicates(records)
        return [record["request_id"] for record in records]

    async def check_promises_in_time(self):
        """Check again until peers have written what killed routers left."""
        try:
            await wait_until(self._are_all_billed)
        except TimeoutError:
            pass
        await self.check_promises()

    async def _are_all_billed(self):
        billed = await self.ledger()
        return all(
            told.request_id in billed
            for told in self.told
            if told.outcome == "completed" and not told.is_replay
        )

    async def check_promises(self):
        """Hold what callers were told against what ran and what is billed."""
        billed = await self.ledger()
        for told in self.told:
            what = f"{told.kind} {told.number}: {told.status} {told.outcome}"
            ran = self.runs(told.request_id) if told.request_id else 0
            if told.outcome == "not-run":
                assert ran == 0, f"{what} ran {ran} times"
            if told.outcome == "completed" and not told.is_replay:
                assert told.request_id in billed, f"{what} is not billed"
                _check_own(told, what)
            if told.outcome == "not-run":
                assert told.request_id not in billed, f"{what} is billed"
            if not told.is_repeatable:
                assert self.booked(told.number) <= 1, f"{what} ran twice"


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


def _note_head(told, response):
    told.status = response.status
    told.request_id = response.headers.get("Stoatpath-Request-Id", "")
    told.outcome = response.headers.get("Stoatpath-Outcome", "unknown")
    told.is_replay = "Stoatpath-Replay" in response.headers


def _note_end(told, response):
    if response.content_type == "text/event-stream":
        is_whole = told.body.endswith(DONE_EVENT)
        told.outcome = "completed" if is_whole else "unknown"


def _check_own(told, what):
    if told.kind == "summary":
        chunks = told.body.split(b"\n\n")[:-2]
        events = [decode_json(chunk.removeprefix(b"data: ")) for chunk in chunks]
        assert {event["id"] for event in events} == {told.request_id}, what
        text = "".join(each["choices"][0]["delta"]["content"] for each in events)
        assert f"Lease {told.number}." in text and len(text.split()) == 40, text
    elif told.kind == "question":
        answer = decode_json(told.body)
        assert answer["id"] == told.request_id, what
        content = answer["choices"][0]["message"]["content"]
        assert f"Question {told.number}?" in content, content
    else:
        assert decode_json(told.body)["request_id"] == told.request_id, what


def _knows_backends(router):
    backends = router.backends.by_name.values()
    return len(backends) > 10 and all(each.slots for each in backends)


async def wait_until(check):
    """Return once a check holds, also one that is awaited."""
    async with asyncio.timeout(WAIT_S):
        while True:
            held = check()
            if asyncio.iscoroutine(held):
                held = await held
            if held:
                return
            await asyncio.sleep(0.01)


class Hanging:
    """Stands in a router's part: one of its calls never returns."""

    def __init__(self, part, name):
        self._part = part
        self._name = name
        self.reached = asyncio.Event()

    def __getattr__(self, name):
        if name != self._name:
            return getattr(self._part, name)
        return self._hang

    async def _hang(self, *args, **changes):
        self.reached.set()
        await asyncio.Event().wait()


def hang(router, part, name):
    """Have one call of a part of a router never return."""
    hanging = Hanging(getattr(router, part), name)
    setattr(router, part, hanging)
    return hanging

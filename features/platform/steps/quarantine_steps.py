"""Steps on prompt parts that end backend servers, before several gateways."""

import asyncio
import logging
import random

from backpressure_steps import FleetFixture
from behave import given, then, when
from callers import ATTEMPT_ID, CallerResponse, request_headers, send_request

from stoatpath.clock import Clock

SEED = 7
BEGINNINGS = 3
SUBJECTS = 20
CRASHES_BY_ORDINAL = {"third": 3, "fifth": 5}
POISON = "poison"
OTHER = "other"
REQUEST_LOGGER = "stoatpath.explanations.request_logs"


class SentRequest:
    """A request with the clock reading at which it was sent, and its response."""

    def __init__(self, kind, number, sent_ms, response):
        self.kind = kind
        self.number = number
        self.sent_ms = sent_ms
        self.response = response


class Traffic:
    """Sends requests through all gateways in turn, and keeps what became of them."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.gateways = fleet.gateways
        self.sent = []

    async def run(self, rates_by_kind, seconds):
        """Send requests of each kind steadily; wait for all answers."""
        senders = [
            self._send_steadily(kind, rate, seconds)
            for kind, rate in rates_by_kind.items()
        ]
        await asyncio.gather(*senders)

    async def _send_steadily(self, kind, rate, seconds):
        tasks = []
        for number in range(int(rate * seconds)):
            tasks.append(asyncio.create_task(self._send(kind, number)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)

    async def _send(self, kind, number):
        gateway = self.gateways[number % len(self.gateways)]
        sent_ms = Clock().now_ms()
        response = await self._exchange(gateway, kind, number)
        self.sent.append(SentRequest(kind, number, sent_ms, response))

    def of_kind(self, kind):
        return [each for each in self.sent if each.kind == kind]


class PathTraffic(Traffic):
    """Sends requests; poison ones all have the same path, others each their own.

    The callers of poison ones leave after `leaves_after_s`, if that is not None.
    """

    def __init__(self, fleet, path):
        super().__init__(fleet)
        _, self.route, self.name = path.split("/")
        self.leaves_after_s = None

    async def _exchange(self, gateway, kind, number):
        headers = request_headers(self.route, number)
        headers[ATTEMPT_ID] = f"{kind}-{number}"
        path = self.name if kind == POISON else f"{number}"
        request = send_request(gateway, self.route, headers=headers, path=path)
        if kind != POISON or self.leaves_after_s is None:
            return await request
        try:
            return await asyncio.wait_for(request, self.leaves_after_s)
        except TimeoutError:
            return CallerResponse(0, {}, b"")


class PromptTraffic(Traffic):
    """Sends chat requests whose prompts share parts; poison ones have `part` too."""

    def __init__(self, fleet, part):
        super().__init__(fleet)
        self.part = part
        self._random = random.Random(SEED)

    async def _exchange(self, gateway, kind, number):
        headers = request_headers("chat", number)
        headers[ATTEMPT_ID] = f"{kind}-{number}"
        headers["X-Stoatpath-Prompt-Prefix"] = self._prompt(kind, number)
        headers["Session"] = f"{kind}-{number}"
        return await send_request(gateway, "chat", headers=headers)

    def _prompt(self, kind, number):
        beginning = f"b{self._random.randrange(BEGINNINGS)}:20"
        subject = f"a{self._random.randrange(SUBJECTS)}:20"
        shared = [beginning, subject] + [f"{self.part}:10"] * (kind == POISON)
        return ",".join([*shared, f"e{kind}{number}:40"])


@given(
    "{gateways:d} gateways and {models:d} model replicas "
    'that end when an answer to the part "{part}" begins'
)
def step_impl(context, gateways, models, part):
    context.fleet = FleetFixture(gateways, plain=0, models=models)
    context.add_cleanup(context.fleet.close)
    context.fleet.deployment.crash_on(part=part)
    context.traffic = PromptTraffic(context.fleet, part)


@given(
    "{gateways:d} gateways and {count:d} {kind} replicas "
    'that end when they run the path "{path}"'
)
def step_impl(context, gateways, count, kind, path):
    plain, models = (count, 0) if kind == "plain" else (0, count)
    context.fleet = FleetFixture(gateways, plain=plain, models=models)
    context.add_cleanup(context.fleet.close)
    context.fleet.deployment.crash_on(path=path)
    context.traffic = PathTraffic(context.fleet, path)


@when(
    "callers send {other:d} other and {poison:d} poison {what} a second "
    "through all gateways for {seconds:d} s"
)
def step_impl(context, other, poison, what, seconds):
    context.fleet.run(context.traffic.run({OTHER: other, POISON: poison}, seconds))


@when(
    "callers send {other:d} other and {poison:d} poison {what} a second "
    "for {seconds:d} s, and those of poison leave after {leave:d} ms"
)
def step_impl(context, other, poison, what, seconds, leave):
    context.traffic.leaves_after_s = leave / 1000
    context.fleet.run(context.traffic.run({OTHER: other, POISON: poison}, seconds))


@given("these replicas come back under their names")
def step_impl(context):
    path = f"/{context.traffic.route}/{context.traffic.name}"
    context.fleet.deployment.crash_on(path=path, keeps_names=True)


@given("another gateway that knows no other")
def step_impl(context):
    deployment = context.fleet.deployment
    context.fleet.run(deployment.add_gateway("alone"))
    context.fleet.run(deployment.wait_until_in_sync())


@when(
    "callers send {other:d} other and {poison:d} poison lookups a second "
    "through the first {count:d} gateways for {seconds:d} s"
)
def step_impl(context, other, poison, count, seconds):
    context.traffic.gateways = context.fleet.gateways[:count]
    context.fleet.run(context.traffic.run({OTHER: other, POISON: poison}, seconds))


@when("all gateways end and {count:d} other starts")
def step_impl(context, count):
    fleet = context.fleet

    async def restart():
        for gateway in fleet.gateways:
            await gateway.kill()
        fleet.gateways.clear()
        for number in range(count):
            await fleet.deployment.add_gateway(f"successor-{number}")
        await fleet.deployment.wait_until_in_sync()

    fleet.run(restart())


@when(
    "callers send {poison:d} poison lookups a second through the last gateway "
    "for {seconds:d} s"
)
def step_impl(context, poison, seconds):
    context.traffic.gateways = context.fleet.gateways[-1:]
    context.last_from_ms = Clock().now_ms()
    context.fleet.run(context.traffic.run({POISON: poison}, seconds))


@then("no poison request of the last gateway reached a replica")
def step_impl(context):
    deployment = context.fleet.deployment
    assert len(deployment.crashes_ms) >= 2, deployment.crashes_ms
    arrivals = [
        request_id
        for arrived_ms, request_id in deployment.all_arrivals()
        if request_id.startswith(POISON) and arrived_ms >= context.last_from_ms
    ]
    assert not arrivals, arrivals


@then("at least {count:d} replicas have ended")
def step_impl(context, count):
    assert len(context.fleet.deployment.crashes_ms) >= count


@then(
    "at most {count:d} poison requests reach replicas "
    "later than {seconds:d} s after the {nth} crash"
)
def step_impl(context, count, seconds, nth):
    crashes_ms = context.fleet.deployment.crashes_ms
    from_ms = crashes_ms[: CRASHES_BY_ORDINAL[nth]][-1] + 1000 * seconds
    late = [
        request_id
        for arrived_ms, request_id in context.fleet.deployment.all_arrivals()
        if request_id.startswith(POISON) and arrived_ms > from_ms
    ]
    assert len(late) <= count, (late, len(crashes_ms))


@then("the refused poison requests are answered with {status:d} and a time to return")
def step_impl(context, status):
    refused = [
        each.response
        for each in context.traffic.of_kind(POISON)
        if each.response.status in (429, 503)
    ]
    assert refused
    for response in refused:
        assert response.status == status
        assert float(response.headers["Retry-After"]) > 0.0


@then(
    "at least {least:d} in {total:d} of the other requests sent in the last {seconds:d} s "
    "are answered with {status:d}"
)
def step_impl(context, least, total, seconds, status):
    others = context.traffic.of_kind(OTHER)
    from_ms = max(each.sent_ms for each in others) - 1000 * seconds
    last = [each.response.status for each in others if each.sent_ms >= from_ms]
    served = sum(each == status for each in last)
    assert served * total >= least * len(last), (served, len(last))


class RecordList(logging.Handler):
    """Collects the log records of requests."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


def record_request_logs(context, rates_by_kind, seconds):
    logger = logging.getLogger(REQUEST_LOGGER)
    context.request_log = RecordList()
    before_level = logger.level
    logger.addHandler(context.request_log)
    logger.setLevel(logging.INFO)
    context.fleet.run(context.traffic.run(rates_by_kind, seconds))
    logger.removeHandler(context.request_log)
    logger.setLevel(before_level)


@when("a poison chat request is sent")
def step_impl(context):
    record_request_logs(context, {POISON: 1}, 1)


@when("a poison lookup is sent through each gateway, and another one")
def step_impl(context):
    gateways = len(context.fleet.gateways)
    record_request_logs(context, {POISON: gateways, OTHER: 1}, 1)


@then(
    "the log lines of the poison lookups name the same content, "
    "that of the other another"
)
def step_impl(context):
    contents_by_kind = {POISON: set(), OTHER: set()}
    for record in context.request_log.records:
        (body,) = [each for each in record.decisions if each["step"] == "body"]
        contents_by_kind[record.request_id.partition("-")[0]].add(body["content"])
    assert [len(each) for each in contents_by_kind.values()] == [1, 1]
    assert contents_by_kind[POISON] != contents_by_kind[OTHER]


@then(
    'its log line names the part "{part}" '
    "and a failed attempt that began and had no events"
)
def step_impl(context, part):
    (record,) = context.request_log.records
    by_step = {}
    for decision in record.decisions:
        by_step.setdefault(decision["step"], []).append(decision)
    assert part in by_step["read"][0]["shared_parts"]
    began = [each for each in by_step["attempt"] if each["began_after_ms"] is not None]
    assert began and all(each["events"] == 0 for each in began), by_step["attempt"]

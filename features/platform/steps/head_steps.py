"""Steps on answers that stop within their heads."""

import asyncio
import logging
from collections import Counter
from itertools import cycle
from types import SimpleNamespace

from behave import given, then, when
from callers import ATTEMPT_ID, request_headers, send_request
from relaying_steps import DeploymentFixture, event_ids

from stoatpath.standins.cut_heads import LAYOUTS_BY_NAME
from stoatpath.standins.faults import Fault
from stoatpath.standins.odd_heads import ODD_NAMES, ODD_PREFIX
from stoatpath.standins.replicas import SEAL_HEADER, ReplicaStandin

# More than any head of a replica has: of a few answers nothing is written.
MAX_MISSING_BYTES = 240
STEP_BYTES = {"first": 1, "third": 3}
# Together no more than the slots of two replicas.
STALL_STEP_BYTES = 20
DEADLINE_MS = 500
REQUEST_LOGGER = "stoatpath.explanations.request_logs"
PROMPT_HEADER = "X-Stoatpath-Prompt-Prefix"
EVENTS = [1, 2, 3, 4, 5]
BROKEN = "broken-answer"


class _RequestLog(logging.Handler):
    """Keeps the decisions of each request, by its identifier."""

    def __init__(self):
        super().__init__()
        self.decisions_by_id = {}

    def emit(self, record):
        self.decisions_by_id.setdefault(record.request_id, []).extend(record.decisions)

    def reasons(self, request_id, step):
        decisions = self.decisions_by_id.get(request_id, ())
        return [each["reason"] for each in decisions if each["step"] == step]


def record_request_log(context):
    """Record the log lines of requests in `context.request_log`."""
    context.request_log = _RequestLog()
    logger = logging.getLogger(REQUEST_LOGGER)
    context.add_cleanup(logger.setLevel, logger.level)
    context.add_cleanup(logger.removeHandler, context.request_log)
    logger.setLevel(logging.INFO)
    logger.addHandler(context.request_log)


def head_cuts(end, step_bytes=1):
    """Return the faults of cuts at the bytes of a head, in all layouts in turn."""
    missing = range(1, MAX_MISSING_BYTES + 1, step_bytes)
    return [
        f"head-{layout}-{end}-{count}"
        for layout, count in zip(cycle(LAYOUTS_BY_NAME), missing)
    ]


def add_faults(fixture, kinds):
    fixture.faults.clear()
    for kind in kinds:
        fixture.faults.add(Fault("serve", kind))


def close_circuits(gateway):
    """Forget failures: each request is to find all backend servers in use."""
    now_ms = gateway.clock.now_ms()
    for name in gateway.backends.by_name:
        gateway.chooser.breakers.reset(name, now_ms)


async def send_numbered(gateway, route, number, deadline_ms=4_000):
    """Send a request of its own content, so that none is held back for another one."""
    headers = request_headers(route, number)
    headers["X-Stoatpath-Deadline-Ms"] = str(deadline_ms)
    if PROMPT_HEADER in headers:
        headers[PROMPT_HEADER] = f"a{number:x}:60,b{number:x}:40"
        headers["Session"] = f"s-{number}"
    return await send_request(gateway, route, headers=headers, path=f"{number}")


def send_each(context, route, faults_by_request):
    """Send a request for each list of faults, one after the other."""
    fixture = context.fixture
    record_request_log(context)

    async def work():
        responses = []
        for number, kinds in enumerate(faults_by_request):
            add_faults(fixture, kinds)
            close_circuits(fixture.gateway)
            responses.append(await send_numbered(fixture.gateway, route, number))
        return responses

    context.responses = fixture.run(work())


def is_whole(response, number):
    """Return whether a response with status 200 is all that a replica wrote."""
    if SEAL_HEADER not in response.headers:
        return False
    if response.headers.get(ATTEMPT_ID) != f"attempt-{number}":
        return False
    if response.headers.get("Content-Type", "").startswith("text/event-stream"):
        return event_ids(response) == EVENTS
    return response.body.endswith(f"answers attempt-{number}".encode())


@given("a deployment whose gateway forwards all requests to {count:d} peers")
def step_impl(context, count):
    fixture = context.fixture = DeploymentFixture(models=1, plain=1)
    context.add_cleanup(fixture.close)
    context.peers = []
    for _ in range(count):
        # Without a name, it answers requests that name no replica.
        peer = ReplicaStandin(None, "")
        peer.faults = fixture.faults
        fixture.run(peer.start())
        context.add_cleanup(lambda peer=peer: fixture.run(peer.stop()))
        context.peers.append(peer)
    fixture.gateway.forwarder._peers = SimpleNamespace(
        find=lambda *query: context.peers,
        can_forward=lambda *query: True,
        exclude=lambda peer: None,
    )


@when("the first answers to {route} requests {end} at each {nth} byte of their heads")
def step_impl(context, route, end, nth):
    send_each(context, route, [[cut] for cut in head_cuts(end, STEP_BYTES[nth])])


@when("the first answers to {route} requests have each head that HTTP forbids")
def step_impl(context, route):
    send_each(context, route, [[ODD_PREFIX + name] for name in ODD_NAMES])


@when("streams are cut, and the resumed ones have each head that HTTP forbids")
def step_impl(context):
    send_each(context, "chat", [["cut-3", ODD_PREFIX + name] for name in ODD_NAMES])


@when("all attempts to resume streams have each head that HTTP forbids")
def step_impl(context):
    send_each(
        context,
        "chat",
        [["cut-3", *[ODD_PREFIX + name] * 2] for name in ODD_NAMES],
    )


@when("streams are cut, and the resumed ones {end} at each {nth} byte of their heads")
def step_impl(context, end, nth):
    send_each(
        context, "chat", [["cut-3", cut] for cut in head_cuts(end, STEP_BYTES[nth])]
    )


@when("all attempts to resume streams {end} at each {nth} byte of their heads")
def step_impl(context, end, nth):
    send_each(
        context,
        "chat",
        [["cut-3", cut, cut] for cut in head_cuts(end, STEP_BYTES[nth])],
    )


@when(
    "the first answers to {route} requests stall within their heads until the deadline"
)
def step_impl(context, route):
    fixture = context.fixture
    cuts = head_cuts("stall", STALL_STEP_BYTES)
    add_faults(fixture, cuts)

    async def work():
        sends = (
            send_numbered(fixture.gateway, route, number, DEADLINE_MS)
            for number in range(len(cuts))
        )
        return await asyncio.gather(*sends)

    context.responses = fixture.run(work())


@when("a {route} request is answered, and then first answers stall within their heads")
def step_impl(context, route):
    send_each(
        context, route, [[], *([cut] for cut in head_cuts("stall", STALL_STEP_BYTES))]
    )


@then("each caller got {status:d} and nothing that looks whole but is not")
def step_impl(context, status):
    for number, response in enumerate(context.responses):
        assert response.status == status, (number, response.status, response.body)
        if status == 200:
            assert is_whole(response, number), (number, response.body)


@then("each request ran exactly {runs:d} times")
def step_impl(context, runs):
    check_runs(context, context.fixture.replicas(), runs)


@then("the peers ran each request exactly {runs:d} times")
def step_impl(context, runs):
    check_runs(context, context.peers, runs)


def check_runs(context, replicas, runs):
    counts = Counter(run.request_id for each in replicas for run in each.runs)
    expected = {f"attempt-{each}": runs for each in range(len(context.responses))}
    assert counts == expected, counts
    context.runs = runs


@then(
    "each request ran at most {runs:d} times, and most of them {runs_of_most:d} times"
)
def step_impl(context, runs, runs_of_most):
    runs_by_id = Counter(run.request_id for run in context.fixture.runs())
    requests_by_runs = Counter(runs_by_id.values())
    assert max(requests_by_runs) <= runs, requests_by_runs
    assert 2 * requests_by_runs[runs_of_most] > len(runs_by_id), requests_by_runs


@then("the log has a broken answer of each head, and whole answers after it only")
def step_impl(context):
    for number, response in enumerate(context.responses):
        failed = context.request_log.reasons(f"attempt-{number}", "attempt")
        answered = context.request_log.reasons(f"attempt-{number}", "answer")
        check_log(context, failed + answered, response.status)


@then("the log has a broken forward of each head, and whole ones after it only")
def step_impl(context):
    for number, response in enumerate(context.responses):
        reasons = context.request_log.reasons(f"attempt-{number}", "forward")
        check_log(context, reasons, response.status)


def check_log(context, reasons, status):
    whole = ["whole"] if status == 200 else []
    assert reasons == [BROKEN] * (context.runs - len(whole)) + whole, reasons


@then("each caller got an incomplete response with the events before the cut only")
def step_impl(context):
    for number, response in enumerate(context.responses):
        assert response.status == 0, (number, response.status, response.body)

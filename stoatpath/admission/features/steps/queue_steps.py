"""Steps for the queue that grants slots to requests."""

from behave import given, then, when
from hypothesis import given as forall, settings, strategies

from stoatpath.admission.messages import QUEUED, AdmissionRequest, Grant
from stoatpath.admission.queues import AdmissionQueue
from stoatpath.measure.fair_shares import Claim, exact_shares
from stoatpath.outcomes import Outcome, is_failure

POOL = "pool"
EXPECTED_MS = 1_000.0
DISTANT_DEADLINE_MS = 1e9


def submit_request(
    context,
    organisation,
    deadline_ms=DISTANT_DEADLINE_MS,
    pools=(POOL,),
    weight=1,
    is_short=False,
    expected_ms=EXPECTED_MS,
):
    """Offer one request to the queue; return its decision."""
    context.request_count = getattr(context, "request_count", 0) + 1
    request = AdmissionRequest(
        f"req-{context.request_count}",
        organisation,
        weight,
        pools,
        deadline_ms,
        expected_ms,
        is_short,
    )
    context.requests_by_id[request.request_id] = request
    return context.queue.offer(request, context.now_ms)


def set_up_queue(context, slots_by_pool, limit=1_000):
    """Start with an empty queue over these pools."""
    context.queue = AdmissionQueue(limit)
    context.requests_by_id = {}
    context.now_ms = 0.0
    for pool, slots in slots_by_pool.items():
        context.queue.set_capacity(pool, slots)


_actions = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["offer", "release", "cancel"]),
        strategies.sampled_from(["a", "b", "c"]),
        strategies.sampled_from([("p",), ("q",), ("p", "q")]),
        strategies.booleans(),
        strategies.floats(min_value=0, max_value=5_000),
    ),
    max_size=80,
)


@then("no sequence of requests overfills a pool or loses a slot")
def step_impl(context):
    @settings(derandomize=True, database=None, deadline=None)
    @forall(_actions)
    def check(actions):
        set_up_queue(context, {"p": 2, "q": 1}, limit=20)
        running = []
        waiting = []
        for action, organisation, pools, is_short, extra_ms in actions:
            context.now_ms += 10
            if action == "offer":
                deadline_ms = context.now_ms + 1_000 + extra_ms
                decision = submit_request(
                    context, organisation, deadline_ms, pools, 1, is_short
                )
                if isinstance(decision, Grant):
                    running.append(decision)
                elif decision is QUEUED:
                    waiting.append(
                        context.requests_by_id[f"req-{context.request_count}"]
                    )
            elif action == "release" and running:
                granted = context.queue.release(running.pop(0), context.now_ms)
                running += granted
                for grant in granted:
                    waiting.remove(grant.request)
                    assert grant.pool in grant.request.pools
            elif action == "cancel" and waiting:
                assert context.queue.remove_waiting(waiting.pop())
            for load in context.queue.pool_loads():
                held = sum(grant.pool == load.pool for grant in running)
                assert load.in_use == held <= load.capacity
        for request in waiting:
            assert context.queue.remove_waiting(request)
        for grant in running:
            assert context.queue.release(grant, context.now_ms) == []
        assert all(load.in_use == 0 for load in context.queue.pool_loads())

    check()


@given('a slot queue of 1 slot that "{organisation}" has held for {held_ms:g} ms')
def step_impl(context, organisation, held_ms):
    set_up_queue(context, {POOL: 1})
    context.grant = submit_request(context, organisation)
    context.now_ms = held_ms


@given(
    '"{first}" of weight {weight:d} and "{second}" of weight 1 each wait '
    "with one request"
)
def step_impl(context, first, weight, second):
    assert submit_request(context, first, weight=weight) is QUEUED
    assert submit_request(context, second) is QUEUED


@given('requests of "{organisation}" wait with deadlines {deadlines}')
def step_impl(context, organisation, deadlines):
    for deadline in deadlines.split(", "):
        decision = submit_request(
            context, organisation, float(deadline), expected_ms=600.0
        )
        assert decision is QUEUED, decision


@when('"{organisation}" releases the slot')
def step_impl(context, organisation):
    context.granted = context.queue.release(context.grant, context.now_ms)


@when('"{organisation}" releases the slot at {at_ms:g} ms')
def step_impl(context, organisation, at_ms):
    context.granted = context.queue.release(context.grant, at_ms)


@then('the slot goes to "{organisation}"')
def step_impl(context, organisation):
    (grant,) = context.granted
    assert grant.request.organisation == organisation, grant.request.organisation


@then("the slot goes to the request with the deadline {deadline:g}")
def step_impl(context, deadline):
    (grant,) = context.granted
    assert grant.request.deadline_ms == deadline


@given('pools "{first}" and "{second}" of {slots:d} slots each')
def step_impl(context, first, second, slots):
    set_up_queue(context, {first: slots, second: slots})
    context.pools = (first, second)


@given(
    '"{one}" that may use "{pool}" and "{both}" that may use either, both overloaded'
)
def step_impl(context, one, pool, both):
    context.running = []
    context.usable = {one: (pool,), both: context.pools}
    for _ in range(100):
        for name, pools in context.usable.items():
            decision = submit_request(context, name, pools=pools)
            if isinstance(decision, Grant):
                context.running.append(decision)


@when("{count:d} slots are released and granted again")
def step_impl(context, count):
    context.slot_steps = {}
    context.granted = []
    for _ in range(count):
        context.now_ms += 50
        grant = context.running.pop(0)
        granted = context.queue.release(grant, context.now_ms)
        context.granted += granted
        context.running += granted
        for each in context.running:
            steps = context.slot_steps
            name = each.request.organisation
            steps[name] = steps.get(name, 0) + 1
        for name, pools in getattr(context, "usable", {}).items():
            submit_request(context, name, pools=pools)
    context.count = count


@then('"{one}" and "{both}" hold {slots:d} slots each on average, within {by:g}')
def step_impl(context, one, both, slots, by):
    for name in (one, both):
        average = context.slot_steps[name] / context.count
        assert abs(average - slots) <= by, (name, average)


@given("a slot queue of {slots:d} slots")
def step_impl(context, slots):
    set_up_queue(context, {POOL: slots})


@when('"{organisation}" asks for {count:d} slots for long work')
def step_impl(context, organisation, count):
    decisions = [submit_request(context, organisation) for _ in range(count)]
    context.granted = [each for each in decisions if isinstance(each, Grant)]


@when('"{organisation}" asks for {count:d} slots for long work after some short work')
def step_impl(context, organisation, count):
    grant = submit_request(context, organisation, is_short=True)
    context.queue.release(grant, context.now_ms)
    context.execute_steps(f'When "{organisation}" asks for {count} slots for long work')


@then("{count:d} of them are granted")
def step_impl(context, count):
    assert len(context.granted) == count, len(context.granted)


@then("a short request is granted at once")
def step_impl(context):
    assert isinstance(submit_request(context, "b", is_short=True), Grant)


@given(
    "a slot queue of 1 slot with {short:d} short and {long:d} long requests of "
    '"{organisation}" waiting'
)
def step_impl(context, short, long, organisation):
    set_up_queue(context, {POOL: 1})
    context.running = [submit_request(context, organisation)]
    for count, is_short in ((short, True), (long, False)):
        for _ in range(count):
            assert submit_request(context, organisation, is_short=is_short) is QUEUED


@then("between {least:d} and {most:d} of the granted are long")
def step_impl(context, least, most):
    count = sum(not grant.request.is_short for grant in context.granted)
    assert least <= count <= most, count


@when('"{organisation}" asks with a deadline in {left_ms:g} ms')
def step_impl(context, organisation, left_ms):
    context.decision = submit_request(context, organisation, context.now_ms + left_ms)


@then("it waits, and is expected to wait for ever")
def step_impl(context):
    assert context.decision is QUEUED, context.decision
    (request,) = context.queue.waiting_requests()
    assert context.queue.expected_wait_ms(request, context.now_ms) == float("inf")


@then(
    "it gets the first slot that there is, "
    "or is told at its end to return after {wait:g} ms"
)
def step_impl(context, wait):
    (request,) = context.queue.waiting_requests()
    failure = context.queue.expire(request, context.now_ms)
    assert failure.retry_at_ms == context.now_ms + wait, failure.retry_at_ms
    assert context.queue.offer(request, context.now_ms) is QUEUED
    context.queue.set_capacity(POOL, 1)
    (grant,) = context.queue.grant_waiting(context.now_ms)
    assert grant.request is request


@then("it is refused as {reason}")
def step_impl(context, reason):
    assert is_failure(context.decision), context.decision
    assert context.decision.reason.name == reason
    assert context.decision.outcome is Outcome.NOT_RUN


@then("its retry time is in the future")
def step_impl(context):
    assert context.decision.retry_at_ms > context.now_ms


@given(
    "a slot queue of 1 slot with a limit of {limit:d} that "
    '"{organisation}" has held for {held_ms:g} ms'
)
def step_impl(context, limit, organisation, held_ms):
    set_up_queue(context, {POOL: 1}, limit)
    context.grant = submit_request(context, organisation)
    context.now_ms = held_ms


@when('"{organisation}" asks {count:d} times more')
def step_impl(context, organisation, count):
    context.decisions = [submit_request(context, organisation) for _ in range(count)]


@then("{count:d} wait and the others are refused as {reason}")
def step_impl(context, count, reason):
    waiting = [decision for decision in context.decisions if decision is QUEUED]
    refused = [decision for decision in context.decisions if is_failure(decision)]
    assert len(waiting) == count, len(waiting)
    assert len(waiting) + len(refused) == len(context.decisions)
    assert {decision.reason.name for decision in refused} == {reason}


@then('a request of "{organisation}" waits')
def step_impl(context, organisation):
    assert submit_request(context, organisation) is QUEUED


@given('both are in use and a request of "{organisation}" waits for either')
def step_impl(context, organisation):
    context.running = [
        submit_request(context, "x", pools=(pool,)) for pool in context.pools
    ]
    assert submit_request(context, organisation, pools=context.pools) is QUEUED


@when("the request is cancelled")
def step_impl(context):
    request = context.requests_by_id[f"req-{context.request_count}"]
    assert context.queue.remove_waiting(request)
    assert not context.queue.remove_waiting(request)


@then("no slot is granted to it when both are released")
def step_impl(context):
    for grant in context.running:
        assert context.queue.release(grant, context.now_ms) == []


@then("shares of three organisations on two pools match the values computed by hand")
def step_impl(context):
    claims = [
        Claim("left", 1, ("p",), 100.0),
        Claim("either", 1, ("p", "q"), 100.0),
        Claim("little", 1, ("q",), 1.0),
    ]
    shares = exact_shares(claims, {"p": 4, "q": 6})
    expected = {"left": 4.0, "either": 5.0, "little": 1.0}
    assert all(abs(shares[name] - expected[name]) < 1e-6 for name in expected), shares
    shares = exact_shares(claims[:2], {"p": 8, "q": 2})
    assert all(abs(shares[name] - 5.0) < 1e-6 for name in ("left", "either")), shares

"""Steps about the queue that decides who gets a slot."""

from behave import given, then, when
from hypothesis import given as forall, settings, strategies

from stoatpath.admission.messages import QUEUED, AdmissionRequest, Grant
from stoatpath.admission.queues import AdmissionQueue
from stoatpath.measure.fair_shares import Claim, exact_shares
from stoatpath.outcomes import Outcome, is_failure

POOL = "pool"
EXPECTED_MS = 1_000.0
FAR_MS = 1e9


def ask(
    context,
    organisation,
    deadline_ms=FAR_MS,
    pools=(POOL,),
    weight=1,
    is_short=False,
    expected_ms=EXPECTED_MS,
):
    """Offer one request; return the verdict."""
    context.asked = getattr(context, "asked", 0) + 1
    request = AdmissionRequest(
        f"req-{context.asked}",
        organisation,
        weight,
        pools,
        deadline_ms,
        expected_ms,
        is_short,
    )
    context.by_id[request.request_id] = request
    return context.queue.offer(request, context.now_ms)


def use_queue(context, slots_by_pool, limit=1_000):
    """Start with an empty queue."""
    context.queue = AdmissionQueue(limit)
    context.by_id = {}
    context.now_ms = 0.0
    for pool, slots in slots_by_pool.items():
        context.queue.set_capacity(pool, slots)


_actions = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["offer", "release", "withdraw"]),
        strategies.sampled_from(["a", "b", "c"]),
        strategies.sampled_from([("p",), ("q",), ("p", "q")]),
        strategies.booleans(),
        strategies.floats(min_value=0, max_value=5_000),
    ),
    max_size=80,
)


@then("through any work no pool is overfilled and every slot comes back")
def step_impl(context):
    @settings(derandomize=True, database=None, deadline=None)
    @forall(_actions)
    def check(actions):
        use_queue(context, {"p": 2, "q": 1}, limit=20)
        running = []
        waiting = []
        for action, organisation, pools, is_short, patience_ms in actions:
            context.now_ms += 10
            if action == "offer":
                deadline_ms = context.now_ms + 1_000 + patience_ms
                verdict = ask(context, organisation, deadline_ms, pools, 1, is_short)
                if isinstance(verdict, Grant):
                    running.append(verdict)
                elif verdict is QUEUED:
                    waiting.append(f"req-{context.asked}")
            elif action == "release" and running:
                granted = context.queue.release(running.pop(0), context.now_ms)
                running += granted
                for grant in granted:
                    waiting.remove(grant.request_id)
                    assert grant.pool in context.by_id[grant.request_id].pools
            elif action == "withdraw" and waiting:
                assert context.queue.cancel(waiting.pop())
            for load in context.queue.pool_loads():
                held = sum(grant.pool == load.pool for grant in running)
                assert load.in_use == held <= load.capacity
        for request_id in waiting:
            assert context.queue.cancel(request_id)
        for grant in running:
            assert context.queue.release(grant, context.now_ms) == []
        assert all(load.in_use == 0 for load in context.queue.pool_loads())

    check()


@given('a slot queue of 1 slot that "{organisation}" has held for {held_ms:g} ms')
def step_impl(context, organisation, held_ms):
    use_queue(context, {POOL: 1})
    context.grant = ask(context, organisation)
    context.now_ms = held_ms


@given(
    '"{first}" of weight {weight:d} and "{second}" of weight 1 each wait '
    "with one request"
)
def step_impl(context, first, weight, second):
    assert ask(context, first, weight=weight) is QUEUED
    assert ask(context, second) is QUEUED


@given('requests of "{organisation}" wait with deadlines {deadlines}')
def step_impl(context, organisation, deadlines):
    for deadline in deadlines.split(", "):
        verdict = ask(context, organisation, float(deadline), expected_ms=600.0)
        assert verdict is QUEUED, verdict


@when('"{organisation}" gives the slot back')
def step_impl(context, organisation):
    context.granted = context.queue.release(context.grant, context.now_ms)


@when('"{organisation}" gives the slot back at {at_ms:g} ms')
def step_impl(context, organisation, at_ms):
    context.granted = context.queue.release(context.grant, at_ms)


@then('the slot goes to "{organisation}"')
def step_impl(context, organisation):
    (grant,) = context.granted
    assert grant.organisation == organisation, grant.organisation


@then("the slot goes to the request with the deadline {deadline:g}")
def step_impl(context, deadline):
    (grant,) = context.granted
    assert context.by_id[grant.request_id].deadline_ms == deadline


@given('pools "{first}" and "{second}" of {slots:d} slots each')
def step_impl(context, first, second, slots):
    use_queue(context, {first: slots, second: slots})
    context.pools = (first, second)


@given(
    '"{one}" that may use "{pool}" and "{both}" that may use either, both overloaded'
)
def step_impl(context, one, pool, both):
    context.running = []
    context.usable = {one: (pool,), both: context.pools}
    for _ in range(100):
        for name, pools in context.usable.items():
            verdict = ask(context, name, pools=pools)
            if isinstance(verdict, Grant):
                context.running.append(verdict)


@when("{count:d} slots are given back and granted anew")
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
            steps[each.organisation] = steps.get(each.organisation, 0) + 1
        for name, pools in getattr(context, "usable", {}).items():
            ask(context, name, pools=pools)
    context.count = count


@then('"{one}" and "{both}" hold {slots:d} slots each on average, give or take {by:g}')
def step_impl(context, one, both, slots, by):
    for name in (one, both):
        average = context.slot_steps[name] / context.count
        assert abs(average - slots) <= by, (name, average)


@given("a slot queue of {slots:d} slots")
def step_impl(context, slots):
    use_queue(context, {POOL: slots})


@when('"{organisation}" asks for {count:d} slots for long work')
def step_impl(context, organisation, count):
    verdicts = [ask(context, organisation) for _ in range(count)]
    context.granted = [each for each in verdicts if isinstance(each, Grant)]


@when('"{organisation}" asks for {count:d} slots for long work after some short work')
def step_impl(context, organisation, count):
    grant = ask(context, organisation, is_short=True)
    context.queue.release(grant, context.now_ms)
    context.execute_steps(f'When "{organisation}" asks for {count} slots for long work')


@then("{count:d} of them are granted")
def step_impl(context, count):
    assert len(context.granted) == count, len(context.granted)


@then("a short request is granted at once")
def step_impl(context):
    assert isinstance(ask(context, "b", is_short=True), Grant)


@given(
    "a slot queue of 1 slot with {short:d} short and {long:d} long requests of "
    '"{organisation}" waiting'
)
def step_impl(context, short, long, organisation):
    use_queue(context, {POOL: 1})
    context.running = [ask(context, organisation)]
    for count, is_short in ((short, True), (long, False)):
        for _ in range(count):
            assert ask(context, organisation, is_short=is_short) is QUEUED


@then("between {least:d} and {most:d} of the granted are long")
def step_impl(context, least, most):
    count = sum(not grant.is_short for grant in context.granted)
    assert least <= count <= most, count


@when('"{organisation}" asks with a deadline in {left_ms:g} ms')
def step_impl(context, organisation, left_ms):
    context.verdict = ask(context, organisation, context.now_ms + left_ms)


@then("it is refused as {reason}")
def step_impl(context, reason):
    assert is_failure(context.verdict), context.verdict
    assert context.verdict.reason.name == reason
    assert context.verdict.outcome is Outcome.NOT_RUN


@then("it is told to come back later than now")
def step_impl(context):
    assert context.verdict.retry_at_ms > context.now_ms


@given(
    "a slot queue of 1 slot with a limit of {limit:d} that "
    '"{organisation}" has held for {held_ms:g} ms'
)
def step_impl(context, limit, organisation, held_ms):
    use_queue(context, {POOL: 1}, limit)
    context.grant = ask(context, organisation)
    context.now_ms = held_ms


@when('"{organisation}" asks {count:d} times more')
def step_impl(context, organisation, count):
    context.verdicts = [ask(context, organisation) for _ in range(count)]


@then("{count:d} wait and the others are refused as {reason}")
def step_impl(context, count, reason):
    waiting = [verdict for verdict in context.verdicts if verdict is QUEUED]
    refused = [verdict for verdict in context.verdicts if is_failure(verdict)]
    assert len(waiting) == count, len(waiting)
    assert len(waiting) + len(refused) == len(context.verdicts)
    assert {verdict.reason.name for verdict in refused} == {reason}


@then('a request of "{organisation}" waits')
def step_impl(context, organisation):
    assert ask(context, organisation) is QUEUED


@given('both are in use and a request of "{organisation}" waits for either')
def step_impl(context, organisation):
    context.running = [ask(context, "x", pools=(pool,)) for pool in context.pools]
    assert ask(context, organisation, pools=context.pools) is QUEUED


@when("the request is withdrawn")
def step_impl(context):
    assert context.queue.cancel(f"req-{context.asked}")
    assert not context.queue.cancel(f"req-{context.asked}")


@then("no slot goes to it when both are given back")
def step_impl(context):
    for grant in context.running:
        assert context.queue.release(grant, context.now_ms) == []


@then("shares of three organisations on two pools are as worked out by hand")
def step_impl(context):
    claims = [
        Claim("left", 1, ("p",), 100.0),
        Claim("either", 1, ("p", "q"), 100.0),
        Claim("little", 1, ("q",), 1.0),
    ]
    found = exact_shares(claims, {"p": 4, "q": 6})
    wanted = {"left": 4.0, "either": 5.0, "little": 1.0}
    assert all(abs(found[name] - wanted[name]) < 1e-6 for name in wanted), found
    found = exact_shares(claims[:2], {"p": 8, "q": 2})
    assert all(abs(found[name] - 5.0) < 1e-6 for name in ("left", "either")), found

"""Steps for the estimates of load and time."""

from behave import given, then, when
from choice_steps import NOW_MS, build_report, build_servers

from stoatpath.routing.estimates import LoadEstimator

TOKENS = 100


def _expected_ms(context):
    return context.estimator.expected_ms(context.backend, TOKENS, NOW_MS)


@given("backend servers on which other routers use half of the slots")
def step_impl(context):
    context.servers = build_servers(4)
    context.estimator = LoadEstimator()
    others = list(context.servers.by_name.values())[1:]
    for backend in others:
        backend.running = backend.slots // 2
    for _ in range(100):
        for backend in others:
            context.estimator.record_load(backend)


@given("one that reported {running:d} running requests {age_ms:g} ms ago")
def step_impl(context, running, age_ms):
    report = build_report(running=running)
    context.backend = context.servers.by_name["engine-0"]
    context.backend.reported_ms = float("-inf")
    context.servers.apply_report("engine-0", report, NOW_MS - age_ms)
    context.before_ms = _expected_ms(context)


@then("it is expected to run {batch:g} requests of other routers, within 0.5")
def step_impl(context, batch):
    found = context.estimator.expected_remote_load(context.backend, NOW_MS)
    assert abs(found - batch) <= 0.5, found


@when("{count:d} requests are sent to it")
def step_impl(context, count):
    context.backend.in_flight += count


@then("it is expected to take longer than before")
def step_impl(context):
    assert _expected_ms(context) > context.before_ms * 1.1


@given(
    "2 engines, one with token times of {first_ms:g} ms and one with {second_ms:g} ms"
)
def step_impl(context, first_ms, second_ms):
    servers = build_servers(2)
    context.expected_ms = []
    for name, token_ms in (("engine-0", first_ms), ("engine-1", second_ms)):
        servers.apply_report(name, build_report(token_ms=token_ms), NOW_MS)
        backend = servers.by_name[name]
        estimate_ms = LoadEstimator().expected_ms(backend, TOKENS, NOW_MS)
        context.expected_ms.append(estimate_ms)


@then("the second is expected to take {factor:g} times as long")
def step_impl(context, factor):
    first_ms, second_ms = context.expected_ms
    assert abs(second_ms / first_ms - factor) < 0.01

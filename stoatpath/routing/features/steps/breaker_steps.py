"""Steps for circuit breakers."""

import random

from behave import given, then, when
from choice_steps import NOW_MS, VERSION, build_query, build_servers

from stoatpath import outcomes
from stoatpath.dispatch.messages import AttemptResult
from stoatpath.outcomes import CONNECT_FAILED, Outcome, Reason, is_failure
from stoatpath.routing.breakers import FAILURES_TO_OPEN, CircuitBreakers
from stoatpath.routing.choosers import LeastTimeChooser

NAME = "engine-0"
REASONS_BY_NAME = {
    value.name: value for value in vars(outcomes).values() if isinstance(value, Reason)
}


def end_attempt(breakers, name, reason, now_ms):
    """Report the result of an attempt to the breakers."""
    outcome = None if reason is None else Outcome.UNKNOWN
    breakers.observe(
        AttemptResult(name, VERSION, reason, outcome, now_ms - 5, None, now_ms)
    )


@given("a breaker of one backend server")
def step_impl(context):
    context.breakers = CircuitBreakers(random.Random(3))
    context.now_ms = NOW_MS


@when("{count:d} attempts end with {ending}")
def step_impl(context, count, ending):
    reason = None if ending == "success" else REASONS_BY_NAME[ending]
    for _ in range(count):
        end_attempt(context.breakers, NAME, reason, context.now_ms)


@when("its open time has passed")
def step_impl(context):
    context.now_ms += 501


@when("a request is sent")
def step_impl(context):
    context.breakers.record_send(NAME, context.now_ms)


@when("{wait_ms:d} ms pass")
def step_impl(context, wait_ms):
    context.now_ms += wait_ms


@then("the circuit is {state}")
def step_impl(context, state):
    is_open = context.breakers.is_open(NAME, context.now_ms)
    assert is_open == (state == "open"), is_open


@then("it stays open for {least_ms:g} ms at least")
def step_impl(context, least_ms):
    assert context.breakers.is_open(NAME, context.now_ms + least_ms - 1)


@given("every circuit is open")
def step_impl(context):
    context.chooser = LeastTimeChooser("zone-a", random.Random(5))
    for name in context.servers.by_name:
        for _ in range(FAILURES_TO_OPEN):
            end_attempt(context.chooser.breakers, name, CONNECT_FAILED, NOW_MS)


@given("the circuit of the first closed {ago_ms:g} ms ago")
def step_impl(context, ago_ms):
    context.chooser = LeastTimeChooser("zone-a", random.Random(5))
    for _ in range(FAILURES_TO_OPEN):
        end_attempt(context.chooser.breakers, NAME, CONNECT_FAILED, NOW_MS - 1_000)
    end_attempt(context.chooser.breakers, NAME, None, NOW_MS - ago_ms)


@then("none of them failed")
def step_impl(context):
    assert not any(is_failure(choice) for choice in context.choices)


@then("the first was chosen less than {most:d} times")
def step_impl(context, most):
    names = [choice.backend.name for choice in context.choices]
    assert names.count(NAME) < most, names.count(NAME)
    query = build_query()
    servers = build_servers(2)
    even = LeastTimeChooser("zone-a", random.Random(5))
    backends = servers.serving(VERSION)
    names = [even.choose(query, backends, NOW_MS).backend.name for _ in range(50)]
    assert names.count(NAME) >= most, names.count(NAME)

"""Steps on which failed requests are forwarded."""

from types import SimpleNamespace

from behave import given, then, when

from stoatpath import outcomes
from stoatpath.clock import ManualClock
from stoatpath.forwarding.forwarders import Forwarder
from stoatpath.outcomes import Failure, Outcome
from stoatpath.stop_times import StopTimes

REASONS = {
    reason.name: reason
    for reason in (
        outcomes.BROKEN_ANSWER,
        outcomes.CALLER_GONE,
        outcomes.CONNECT_FAILED,
        outcomes.SILENT_CONNECTION,
    )
}


@given(
    "a {repeats} request with {runs:d} of {most:d} runs, "
    "and peers that reach its service"
)
def step_impl(context, repeats, runs, most):
    context.request = SimpleNamespace(
        service=SimpleNamespace(name="desk"),
        deadline_ms=1_000.0,
        is_forwarded=repeats == "forwarded",
        is_repeatable=repeats in ("repeatable", "bound"),
        is_stream=False,
        run_count=runs,
        may_run_again=runs < most,
    )
    router = SimpleNamespace(
        clock=ManualClock(),
        retry_budget=SimpleNamespace(try_spend=lambda service: True),
        eligible=SimpleNamespace(allows_peer=lambda request, peer: repeats != "bound"),
        stop_times=StopTimes(),
    )
    peers = SimpleNamespace(can_forward=lambda service, is_stream, allows: allows(None))
    context.forwarder = Forwarder(router, peers, None, None)


@when("it fails here as {reason}, {outcome}")
def step_impl(context, reason, outcome):
    failure = Failure(REASONS[reason], "", Outcome(outcome))
    context.result = context.forwarder.may_forward_after(context.request, failure)


@then("it is forwarded")
def step_impl(context):
    assert context.result is True


@then("it isn't forwarded")
def step_impl(context):
    assert context.result is False

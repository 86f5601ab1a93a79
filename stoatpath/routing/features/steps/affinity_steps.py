"""Steps for selection by cached prompt, load, zone and failure rate."""

import random
from collections import Counter

from behave import given, then, when

from stoatpath.dispatch.messages import AttemptResult
from stoatpath.membership.directories import DirectoryBackend
from stoatpath.membership.messages import ListedBackend
from stoatpath.outcomes import BACKEND_ERROR, CONNECT_FAILED, Outcome, is_failure
from stoatpath.routing.affinity import AffinityChooser, AffinityQuery

NOW_MS = 100_000.0
SHARED_WORK = 2_000.0  # prompt work


def chooser(zone="zone-a", seed=1):
    return AffinityChooser(zone, random.Random(seed))


def query(shared="part-1", tried=()):
    work = SHARED_WORK if shared else 0.0
    return AffinityQuery("desk-assist", "small", shared, work, set(tried))


def result(name, reason, at_ms):
    return AttemptResult(
        name, "small", reason, Outcome.UNKNOWN, at_ms - 5, None, at_ms, "chat"
    )


@given("{count:d} backend servers in zone-a and {others:d} in zone-b")
def step_impl(context, count, others):
    places = [("a", number) for number in range(count)]
    places += [("b", number) for number in range(others)]
    context.backends = [
        DirectoryBackend(
            ListedBackend(
                f"{zone}{number}", "desk-assist", "", f"zone-{zone}", "v1", 8, False
            ),
            0.0,
        )
        for zone, number in places
    ]
    context.chooser = chooser()
    context.tried = ()


def choose(context, asked, now_ms=NOW_MS):
    choice = context.chooser.choose(asked, context.backends, now_ms)
    assert not is_failure(choice), choice
    return choice.backend


@then(
    "two choosers of zone-a send {count:d} shared prompts to the same "
    "backend servers in zone-a"
)
def step_impl(context, count):
    first, second = chooser(seed=1), chooser(seed=2)
    for number in range(count):
        asked = query(f"part-{number}")
        one = first.choose(asked, context.backends, NOW_MS).backend
        two = second.choose(asked, context.backends, NOW_MS).backend
        assert one is two and one.zone == "zone-a"


@then(
    "{count:d} shared prompts of zone-a go to each of {names} "
    "{least:d} to {most:d} times"
)
def step_impl(context, count, names, least, most):
    chosen = Counter(
        choose(context, query(f"part-{number}")).name for number in range(count)
    )
    assert set(chosen) == set(names.split()), chosen
    assert all(least <= times <= most for times in chosen.values()), chosen


@when("the preferred backend server {state}")
def step_impl(context, state):
    context.preferred = choose(context, query())
    name = context.preferred.name
    if state == "has one short request in flight":
        context.preferred.in_flight = 1
    if state == "has much prompt work pending":
        context.preferred.pending_prompt_work = 50_000.0
    if state == "was tried before":
        context.tried = (name,)
    if state.startswith("failed half"):
        at_ms = NOW_MS - (30_000.0 if "ago" in state else 100.0)
        for reason in (BACKEND_ERROR, None) * 5:
            context.chooser.observe(result(name, reason, at_ms))
    if state == "refused a connection":
        context.chooser.observe(result(name, CONNECT_FAILED, NOW_MS - 10))


@then("the prompt {verdict}")
def step_impl(context, verdict):
    chosen = choose(context, query(tried=context.tried))
    assert (chosen is context.preferred) == (verdict == "stays there"), chosen.name


@then(
    "{low:d} requests in flight in zone-a keep a plain request there, "
    "{high:d} send it to zone-b"
)
def step_impl(context, low, high):
    near = context.backends[0]
    near.in_flight = low
    assert choose(context, query("")) is near
    near.in_flight = high
    assert choose(context, query("")) is not near


@when("{count:d} requests of one shared prompt come at once")
def step_impl(context, count):
    context.chosen = Counter()
    for _ in range(count):
        backend = choose(context, query())
        backend.in_flight += 1
        backend.pending_prompt_work += 600.0
        context.chosen[backend.name] += 1


@then("none of the backend servers gets more than twice its share")
def step_impl(context):
    share = sum(context.chosen.values()) / len(context.backends)
    assert max(context.chosen.values()) <= 2 * share, context.chosen


@when("all of them refused a connection")
def step_impl(context):
    for backend in context.backends:
        context.chooser.observe(result(backend.name, CONNECT_FAILED, NOW_MS - 10))


@then("a prompt goes to one of them")
def step_impl(context):
    assert choose(context, query(tried=context.tried)) in context.backends


@when("all of them were tried")
def step_impl(context):
    context.tried = [backend.name for backend in context.backends]


@then(
    "a prompt goes to its preferred backend server, "
    "with at most {most:d} candidates listed"
)
def step_impl(context, most):
    choices = [chooser(seed=seed) for seed in (1, 2, 3)]
    made = [each.choose(query(), context.backends, NOW_MS) for each in choices]
    assert len({choice.backend.name for choice in made}) == 1
    assert all(len(choice.candidates) <= most for choice in made)


@then("a plain request goes to an idle one of zone-a although 9 in 10 are busy")
def step_impl(context):
    for number, backend in enumerate(context.backends):
        backend.in_flight = 0 if number % 10 == 0 else 50
    for _ in range(20):
        chosen = choose(context, query(""))
        assert chosen.in_flight == 0 and chosen.zone == "zone-a", chosen.name

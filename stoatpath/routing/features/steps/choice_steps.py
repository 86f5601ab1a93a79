"""Steps for selecting a backend server."""

import random

from behave import given, then, when
from hypothesis import given as forall, settings, strategies

from stoatpath.membership.backends import ENGINE, BackendServers
from stoatpath.outcomes import NO_BACKEND, Outcome, is_failure
from stoatpath.routing.choosers import LeastTimeChooser
from stoatpath.routing.messages import RoutingQuery
from stoatpath.services.messages import ListedInstance

VERSION = "model@1"
NOW_MS = 100_000.0


def build_report(versions=(VERSION,), running=0, leaving=False, token_ms=20.0):
    """Return a load report of an engine."""
    return {
        "versions": list(versions),
        "slots": 16,
        "running": running,
        "token_ms": token_ms,
        "leaving": leaving,
    }


def list_entries(names):
    """Return entries of the platform's instance list."""
    return {
        name: ListedInstance(name, ENGINE, f"10.0.0.1:{index}", "zone-a", "m", "live")
        for index, name in enumerate(names)
    }


def build_servers(count):
    """Return backend servers that have just reported serving the version."""
    servers = BackendServers()
    names = [f"engine-{index}" for index in range(count)]
    servers.apply_list(list_entries(names), 0.0)
    for name in names:
        servers.apply_report(name, build_report(), NOW_MS)
    return servers


def build_query(excluded=(), tokens=100):
    """Return a query for the version."""
    return RoutingQuery(
        "req-1", "service", VERSION, tokens, NOW_MS + 60_000, set(excluded)
    )


_names = strategies.sampled_from(["a", "b", "c", "d"])
_versions = strategies.sets(strategies.sampled_from(["m@1", "m@2", "m@3"]))
_steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("report"), _names, _versions),
        strategies.tuples(strategies.just("list"), strategies.sets(_names)),
    ),
    max_size=30,
)


@then(
    "after any reports and lists each version has exactly the "
    "backend servers that serve it"
)
def step_impl(context):
    @settings(derandomize=True, database=None, deadline=None)
    @forall(_steps)
    def check(steps):
        servers = BackendServers()
        for step in steps:
            if step[0] == "list":
                servers.apply_list(list_entries(sorted(step[1])), 0.0)
            else:
                servers.apply_report(step[1], build_report(step[2]), 0.0)
            for version in ("m@1", "m@2", "m@3"):
                listed = [each.name for each in servers.serving(version)]
                wanted = [
                    each.name
                    for each in servers.by_name.values()
                    if version in each.versions
                ]
                assert sorted(listed) == sorted(wanted), (listed, wanted)

    check()


@given("{count:d} backend servers that serve a version")
def step_impl(context, count):
    context.servers = build_servers(count)
    context.excluded = set()
    context.usable_name = "engine-1"


@given("all but one of them are {state}")
def step_impl(context, state):
    _make_unusable(context, state, context.usable_name)


@given("all of them are {state}")
def step_impl(context, state):
    _make_unusable(context, state, None)


def _make_unusable(context, state, usable_name):
    for backend in context.servers.by_name.values():
        if backend.name == usable_name:
            continue
        if state == "leaving":
            backend.is_leaving = True
        elif state == "silent":
            backend.reported_ms = NOW_MS - 60_000
        else:
            context.excluded.add(backend.name)


@when("{count:d} choices are made")
def step_impl(context, count):
    chooser = getattr(context, "chooser", LeastTimeChooser("zone-a", random.Random(5)))
    query = build_query(context.excluded)
    backends = context.servers.serving(VERSION)
    context.choices = [chooser.choose(query, backends, NOW_MS) for _ in range(count)]


@when("a choice is made")
def step_impl(context):
    context.execute_steps("When 1 choices are made")


@then("each choice is the one that is left")
def step_impl(context):
    assert not any(is_failure(choice) for choice in context.choices)
    names = {choice.backend.name for choice in context.choices}
    assert names == {context.usable_name}, names


@then("it is the failure no-backend, with the outcome not-run")
def step_impl(context):
    failure = context.choices[0]
    assert is_failure(failure), failure
    assert failure.reason is NO_BACKEND
    assert failure.outcome is Outcome.NOT_RUN


@then("no choice evaluated more than {most:d} of them")
def step_impl(context, most):
    assert all(0 < len(choice.candidates) <= most for choice in context.choices)

"""Steps for selection by the load of the whole fleet."""

import random

from behave import given, then, when

from stoatpath.dispatch.messages import AttemptResult
from stoatpath.membership.directories import DirectoryBackend
from stoatpath.membership.messages import ListedBackend
from stoatpath.outcomes import BACKEND_ERROR, Outcome
from stoatpath.routing.affinity import AffinityChooser, AffinityQuery
from stoatpath.routing.load_sums import ServerLoad, encode_loads, server_id

NOW_MS = 100_000.0
# That of a long prompt's prefix for the largest model of the reference deployments.
SHARED_WORK = 80_000.0
LEARNED_MS = 100_000.0


class Directory:
    """Backend servers by name, in two zones."""

    def __init__(self, count, slots):
        entries = [
            ListedBackend(
                f"s{number}",
                "desk-assist",
                "",
                f"zone-{number % 2}",
                "v1",
                slots,
                False,
            )
            for number in range(count)
        ]
        self.by_name = {each.name: DirectoryBackend(each, 0.0) for each in entries}


def build_chooser(context, seed):
    chooser = AffinityChooser("zone-0", random.Random(seed))
    loads = chooser.share_loads(f"i{seed}", context.directory)
    sums = {server_id(name): load for name, load in context.loads_by_name.items()}
    answer = {
        "counted": None,
        "count": context.instances,
        "age_ms": context.age_ms,
        "sums": encode_loads(sums),
    }
    loads.receive_answer(answer if context.has_field else None, NOW_MS)
    return chooser


def choose(context, chooser, shared):
    work = SHARED_WORK if shared else 0.0
    query = AffinityQuery("desk-assist", "small", shared, work, set(), 2 * work)
    backends = list(context.directory.by_name.values())
    return chooser.choose(query, backends, NOW_MS).backend


def find_home(context):
    """Return the server that is chosen for the prompt when all are idle."""
    return choose(context, AffinityChooser("zone-0", random.Random(1)), "part-1").name


@given(
    "{count:d} backend servers with {slots:d} slots, of which each has {load:d} "
    "requests of other instances"
)
def step_impl(context, count, slots, load):
    context.directory = Directory(count, slots)
    context.loads_by_name = {
        name: ServerLoad(load, 0.0, LEARNED_MS, LEARNED_MS)
        for name in context.directory.by_name
    }
    context.age_ms = 600
    context.instances = 59
    context.has_field = True
    context.failing = None
    context.home = find_home(context)


@when("nothing else is known")
def step_impl(context):
    pass


@when("the home has {load:d} requests of others")
def step_impl(context, load):
    context.loads_by_name[context.home].in_flight = load


@when("the home is full, by {source}")
def step_impl(context, source):
    context.loads_by_name[context.home].in_flight = 32
    context.age_ms = 6_000 if "old" in source else 600
    context.has_field = "older build" not in source
    context.instances = 9 if "9 instances" in source else 59


@when("half of each zone is known to run at {fast:f} and the others at {slow:f}")
def step_impl(context, fast, slow):
    for number, load in enumerate(context.loads_by_name.values()):
        load.observed_ms = LEARNED_MS / (fast if number % 4 < 2 else slow)


@when("one backend server has none")
def step_impl(context):
    context.loads_by_name["s2"].in_flight = 0


@when("those of another zone have none")
def step_impl(context):
    for name, backend in context.directory.by_name.items():
        if backend.zone != "zone-0":
            context.loads_by_name[name].in_flight = 0


@when("the home is idle and fails half of its answers")
def step_impl(context):
    context.loads_by_name[context.home].in_flight = 0
    context.failing = context.home


@when("this instance sends {count:d} requests to the home")
def step_impl(context, count):
    context.directory.by_name[context.home].in_flight = count


def chosen_names(context, count, shared, instances=1):
    choosers = [build_chooser(context, seed) for seed in range(instances)]
    for chooser in choosers if context.failing else ():
        for reason in (BACKEND_ERROR, None) * 5:
            result = AttemptResult(
                context.failing,
                "small",
                reason,
                Outcome.UNKNOWN,
                NOW_MS - 50,
                None,
                NOW_MS - 40,
            )
            chooser.observe(result)
    return [
        choose(context, choosers[number % instances], shared).name
        for number in range(count)
    ]


@then("at least {least:d} of {count:d} prompts {verdict} home")
def step_impl(context, least, count, verdict):
    # Fewer prompts for each instance than make it partition the servers by length.
    names = chosen_names(context, count, "part-1", count // 10)
    at_home = names.count(context.home)
    matching = at_home if verdict == "go to" else count - at_home
    assert matching >= least, names


@then("{count:d} plain requests go to the fast ones at least {times:d} times as often")
def step_impl(context, count, times):
    names = chosen_names(context, count, "")
    fast = sum(int(name[1:]) % 4 < 2 for name in names)
    assert fast >= times * (count - fast), fast


@then("{instances:d} instances send at most {most:d} of {count:d} requests there")
def step_impl(context, instances, most, count):
    names = chosen_names(context, count, "", instances)
    assert 0 < names.count("s2") <= most, names.count("s2")


@then("at least {least:d} of {count:d} plain requests cross zones")
def step_impl(context, least, count):
    names = chosen_names(context, count, "")
    crossed = [
        name for name in names if context.directory.by_name[name].zone != "zone-0"
    ]
    assert len(crossed) >= least, names


@then("at least {least:d} of {count:d} plain requests go there")
def step_impl(context, least, count):
    names = chosen_names(context, count, "")
    assert names.count("s2") >= least, names.count("s2")

"""Steps for the partitions of long and short prompts."""

import random

from behave import given, then, when

from stoatpath.measure.prompt_loads import SERVICE
from stoatpath.measure.prompt_strategies import run_trial
from stoatpath.membership.directories import DirectoryBackend
from stoatpath.membership.messages import ListedBackend
from stoatpath.outcomes import BACKEND_ERROR
from stoatpath.routing.affinity import AffinityChooser, AffinityQuery
from stoatpath.routing.length_partitions import PromptLengthPartition

from affinity_steps import result  # isort: skip

# Prompt work.
SHORT = 1_000.0
LONG = 14_000.0
NAMES = [f"p{number}" for number in range(9)]


@when('the load "{pattern}" runs with and without partitions, for {count:d} seeds')
def step_impl(context, pattern, count):
    context.score_and_late_by_strategy = {}
    for strategy in ("apart", "anywhere"):
        results = [run_trial((pattern, strategy, seed)) for seed in range(count)]
        context.score_and_late_by_strategy[strategy] = (
            sum(each[2] for each in results) / count,
            sum(each[3]["short"] for each in results) / count,
        )


@then("partitions earn a higher score")
def step_impl(context):
    means = context.score_and_late_by_strategy
    assert means["apart"][0] > means["anywhere"][0], means


@then("at most half as many short prompts are late")
def step_impl(context):
    means = context.score_and_late_by_strategy
    assert 2 * means["apart"][1] <= means["anywhere"][1], means


def build_partition(short=40, long=10):
    partition = PromptLengthPartition()
    for _ in range(short):
        partition.record_prompt(SHORT, 0.0)
    for _ in range(long):
        partition.record_prompt(LONG, 0.0)
    return partition


@given("two instances that sent {short:d} short prompts for each {long:d} long ones")
def step_impl(context, short, long):
    context.partitions = [
        build_partition(short, long),
        build_partition(2 * short, 2 * long),
    ]


@then(
    "both reserve the same {reserved:d} of {count:d} backend servers for short prompts"
)
def step_impl(context, reserved, count):
    names = NAMES[:count]
    first, second = context.partitions
    avoided = first.backends_to_avoid(SERVICE, LONG, names)
    assert avoided == second.backends_to_avoid(SERVICE, LONG, names[::-1]), avoided
    assert len(avoided) == reserved, avoided
    assert first.backends_to_avoid(SERVICE, SHORT, names) == set(names) - avoided


@given("an instance that sent {count:d} prompts")
def step_impl(context, count):
    context.partition = build_partition(count * 4 // 5, count // 5)


@then("a long prompt avoids {avoided:d} of {count:d} backend servers")
def step_impl(context, avoided, count):
    found = context.partition.backends_to_avoid(SERVICE, LONG, NAMES[:count])
    assert len(found) == avoided, found


@given("an instance that sent {count:d} prompts of one length")
def step_impl(context, count):
    context.partition = build_partition(count, 0)


@then("such a prompt may go to at least half of {count:d} backend servers")
def step_impl(context, count):
    avoided = context.partition.backends_to_avoid(SERVICE, SHORT, NAMES[:count])
    assert 2 * len(avoided) <= count + 1, avoided


@given(
    "an instance that sent {long:d} long prompts, and 60 s later {short:d} short ones"
)
def step_impl(context, long, short):
    context.partition = PromptLengthPartition()
    for _ in range(long):
        context.partition.record_prompt(LONG, 0.0)
    for _ in range(short):
        context.partition.record_prompt(SHORT, 60_000.0)


@then("a prompt of 4 times the short length is long")
def step_impl(context):
    assert context.partition.is_long(4 * SHORT)


@given(
    "a chooser that sent {short:d} short prompts for each {long:d} long ones to "
    "{count:d} backend servers"
)
def step_impl(context, short, long, count):
    context.chooser = AffinityChooser("zone-a", random.Random(1))
    context.chooser.length_partition = build_partition(short, long)
    context.backends = [
        DirectoryBackend(
            ListedBackend(name, SERVICE, name, "zone-a", "v1", 32, False), 0.0
        )
        for name in NAMES[:count]
    ]
    context.short_names = selected_names(context, SHORT)


def selected_names(context, work):
    query = AffinityQuery(SERVICE, "small", "", 0.0, (), work)
    return {
        context.chooser.choose(query, context.backends, 0.0).backend.name
        for _ in range(40)
    }


@when("the backend servers that serve short prompts fail half of their answers")
def step_impl(context):
    for name in context.short_names:
        for number in range(6):
            reason = BACKEND_ERROR if number % 2 else None
            context.chooser.failures.observe(result(name, reason, 0.0))


@then("other backend servers serve short prompts")
def step_impl(context):
    assert not selected_names(context, SHORT) & context.short_names, context.short_names

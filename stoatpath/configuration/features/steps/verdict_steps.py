"""Steps that submit changes and check the verdicts."""

import asyncio
import json

from behave import given, then, when
from sample_sites import add_faults, changes, list_capacity, run

from stoatpath.configuration.messages import (
    Accepted,
    Change,
    Conflict,
    Invalid,
    Risky,
)
from stoatpath.outcomes import is_failure

BASE = 1


@given("the sample site")
def step_impl(context):
    context.prepare = []
    context.earlier_submissions = []


@given("two operators with the same base revision")
def step_impl(context):
    pass


@given("no engine is listed")
def step_impl(context):
    context.prepare.append(
        lambda site: setattr(site, "capacity", list_capacity((), ()))
    )


@given("the list of instances can't be read")
def step_impl(context):
    context.prepare.append(lambda site: setattr(site, "capacity", None))


@given("the next transactions meet {faults}")
def step_impl(context, faults):
    context.prepare.append(lambda site: add_faults(site, faults))


@given("the reply is lost and another operator's change follows at once")
def step_impl(context):
    def prepare(site):
        add_faults(site, "reply-lost")
        append = site.store._append

        async def append_and_race(head, submission):
            site.store = site.build_store()
            result = await append(head, submission)
            await site.submit("another weight of tiny", BASE + 1, "other")
            return result

        store = site.store
        racing = type("RacingStore", (type(store),), {"_append": None})
        site.store = racing(
            site.table_client, site.clock, site.archive, site._read_capacity
        )
        racing._append = lambda self, head, submission: append_and_race(
            head, submission
        )

    context.prepare.append(prepare)


@when("the other operator has {label} accepted")
def step_impl(context, label):
    context.earlier_submissions.append((label, "other", {}))


@when("the operator submits it again and accepts warnings")
def step_impl(context):
    _submit(context, context.label, accept_warnings=True)


@when("the operator submits {label} under the same id")
def step_impl(context, label):
    context.earlier_submissions.append(
        (context.label, "me", {"submission_id": "same-id"})
    )
    _submit(context, label, submission_id="same-id")


@when("the operator submits {label}")
def step_impl(context, label):
    context.label = label
    _submit(context, label)


@when("the operator repeats the same submission")
def step_impl(context):
    context.verdict = context.repeated_verdict
    assert isinstance(context.verdict, Accepted), context.verdict


def _submit(context, label, **fields):
    async def use_site(site):
        for other, operator, given_fields in context.earlier_submissions:
            verdict = await site.submit(other, BASE, operator, **given_fields)
            assert isinstance(verdict, Accepted), vars(verdict)
        for prepare in context.prepare:
            prepare(site)
        context.verdict = await site.submit(label, BASE, **fields)
        site.table.faults.clear()
        context.repeated_verdict = None
        if isinstance(context.verdict, Accepted) or is_failure(context.verdict):
            context.repeated_verdict = await site.submit(label, BASE, **fields)
        head = await site.store.read_head()
        context.rows = await site.store.read_changes(1, head.revision)

    run(use_site)


@then("it is refused with a problem at {path} whose value is {value}")
def step_impl(context, path, value):
    assert isinstance(context.verdict, Invalid), context.verdict
    for problem in context.verdict.problems:
        if problem.path == path and _contains(problem.value, json.loads(value)):
            assert problem.expected
            return
    raise AssertionError([each.to_json() for each in context.verdict.problems])


def _contains(value, expected):
    if isinstance(expected, dict) and isinstance(value, dict):
        return expected.items() <= value.items()
    return value == expected


@then("it is refused with {count:d} problems")
def step_impl(context, count):
    problems = [each.to_json() for each in context.verdict.problems]
    assert len(problems) == count, problems


@then("it is refused with a warning at {path}")
def step_impl(context, path):
    assert isinstance(context.verdict, Risky), context.verdict
    assert path in [each.path for each in context.verdict.warnings]


@then("nothing was accepted")
def step_impl(context):
    assert len(context.rows) == BASE, context.rows


@then("it is accepted")
def step_impl(context):
    assert isinstance(context.verdict, Accepted), context.verdict


@then("it is a conflict")
def step_impl(context):
    assert isinstance(context.verdict, Conflict), context.verdict


@then("it is a failure, {outcome}")
def step_impl(context, outcome):
    assert is_failure(context.verdict), context.verdict
    assert context.verdict.outcome.value == outcome, context.verdict


@then("a conflict shows the other operator, revision and change")
def step_impl(context):
    if isinstance(context.verdict, Accepted):
        return
    accepted_change = context.verdict.accepted_changes[0]
    assert accepted_change.submission.operator == "other"
    assert accepted_change.revision == BASE + 1
    their_changes = [
        change.to_json() for change in changes(context.earlier_submissions[0][0])
    ]
    assert [
        each.to_json() for each in accepted_change.submission.changes
    ] == their_changes
    assert context.verdict.documents


@then("the change is in the history once")
def step_impl(context):
    expected = [change.to_json() for change in changes(context.label)]
    matching_rows = [
        row
        for row in context.rows
        if [change.to_json() for change in row.submission.changes] == expected
    ]
    assert len(matching_rows) == 1, [row.to_json() for row in context.rows]


@when("{count:d} operators submit changes of {which} at once")
def step_impl(context, count, which):
    async def use_site(site):
        jobs = []
        for index in range(count):
            name = "idle" if "same" in which else f"model-{index}"
            body = {"cost": index, "current": "1", "versions": {"1": {}}}
            change = Change("model", name, body)
            jobs.append(site.submit([change], BASE, f"operator-{index}"))
        return await asyncio.gather(*jobs)

    context.verdicts = run(use_site)


@then("all {count:d} are accepted under {revisions:d} revisions")
def step_impl(context, count, revisions):
    assert all(isinstance(each, Accepted) for each in context.verdicts)
    assert len({each.revision for each in context.verdicts}) == revisions


@then("{accepted:d} is accepted and {conflicts:d} get a conflict")
def step_impl(context, accepted, conflicts):
    kinds = [type(each) for each in context.verdicts]
    assert kinds.count(Accepted) == accepted, kinds
    assert kinds.count(Conflict) == conflicts, kinds

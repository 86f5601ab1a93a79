"""Steps about roll-outs across a site."""

import asyncio

from behave import given, then, when
from sites import RolloutSite

from stoatpath.standins.faults import Fault


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given("a site with 2 routers and the sample configurations")
def step_impl(context):
    context.loop = asyncio.new_event_loop()
    context.driver = RolloutSite()
    _run(context, context.driver.start())
    context.add_cleanup(lambda: context.loop.close())
    context.add_cleanup(lambda: _run(context, context.driver.stop()))


@given("the service runs on {models} alone")
def step_impl(context, models):
    _run(context, context.driver.set_cascade([models]))


@given("all requests are for the purpose {purpose}")
def step_impl(context, purpose):
    context.driver.purpose = purpose


@given("a session that began on version 1")
def step_impl(context):
    versions = _run(context, context.driver.send(1, "guest"))
    assert versions == ["tern-small@1"], versions
    context.first_session_token = context.driver.session_token


def _set_answer_quality(context, version, quality):
    for engine in context.driver.site.engines_by_name.values():
        if version in engine.quality_by_version:
            engine.quality_by_version[version] = quality


@given("version 2 of {model} answers with quality {quality:g}")
def step_impl(context, model, quality):
    _set_answer_quality(context, f"{model}@2", quality)


@given("version 2 of {model} fails on every engine")
def step_impl(context, model):
    for engine in context.driver.site.engines_by_name.values():
        engine.faults.add(Fault(f"{model}@2", "error-after", None))


@when("version 2 of {model} degrades")
def step_impl(context, model):
    _set_answer_quality(context, f"{model}@2", 0.1)


@when("version 2 of {model} is rolled out in the steps {steps}")
def step_impl(context, model, steps):
    context.version = f"{model}@2"
    body = {
        "model": model,
        "to": "2",
        "steps": [float(step) for step in steps.split(",")],
        "min_ratings": 20,
        "step_ms": 1,
        "rating_share": 1.0,
    }
    change = {"kind": "rollout", "name": f"{model}-2", "body": body}
    _run(context, context.driver.submit([change]))


@when("version 2 of {model} is fixed and gets a new trial")
def step_impl(context, model):
    _set_answer_quality(context, f"{model}@2", 0.75)
    body = dict(context.driver.document("model", model))
    body["versions"] = {**body["versions"], "2": {"trial": 2}}
    change = {"kind": "model", "name": model, "body": body}
    _run(context, context.driver.submit([change]))


@when("an operator withdraws version 2 of {model}")
def step_impl(context, model):
    body = dict(context.driver.document("model", model))
    body["versions"] = {**body["versions"], "2": {"state": "withdrawn"}}
    change = {"kind": "model", "name": model, "body": body}
    _run(context, context.driver.submit([change]))


@when("requests are sent until it is suspended")
def step_impl(context):
    driver = context.driver
    condition = lambda: driver.is_suspended(context.version)  # noqa: E731
    _run(context, driver.send_until(condition))


@when("requests are sent until it is the current version")
def step_impl(context):
    driver = context.driver
    condition = lambda: driver.is_current(context.version)  # noqa: E731
    _run(context, driver.send_until(condition))


@when("requests are sent until it gets a share of the traffic")
def step_impl(context):
    driver = context.driver
    condition = lambda: driver.has_reached_step(context.version, 0)  # noqa: E731
    _run(context, driver.send_until(condition))


@when("requests are sent until every router has reached step {index:d}")
def step_impl(context, index):
    driver = context.driver
    condition = lambda: driver.has_reached_step(context.version, index)  # noqa: E731
    _run(context, driver.send_until(condition))


@when("{count:d} requests are sent")
def step_impl(context, count):
    _run(context, context.driver.send(count))


@when("the store goes down")
def step_impl(context):
    context.driver.start_store_outage()


@when("the store has recovered")
def step_impl(context):
    context.driver.end_store_outage()


@when("the controller is replaced")
def step_impl(context):
    _run(context, context.driver.replace_controller("controller-new"))


@when("every router and controller is replaced")
def step_impl(context):
    _run(context, context.driver.replace_all())


@then("no engine runs it for later requests")
def step_impl(context):
    driver = context.driver
    before = driver.count_executions(context.version)
    versions = _run(context, driver.send(60))
    assert driver.count_executions(context.version) == before
    assert versions.count("") == 0 and context.version not in versions, versions


@when("the verdict is stored")
@then("the verdict is stored")
def step_impl(context):
    async def is_stored():
        for _ in range(200):
            verdict = await context.driver.stored_verdict(context.version)
            if verdict is not None:
                return verdict["trial"] == 1
            await asyncio.sleep(0.05)
        return False

    assert _run(context, is_stored())


@then("the verdict is stored once the store has recovered")
def step_impl(context):
    context.driver.end_store_outage()
    context.execute_steps("Then the verdict is stored")


@then("a new router gets the verdict from its peers")
def step_impl(context):
    driver = context.driver

    async def start():
        router = await driver.site.start_router("router-late", "zone-b")
        await driver.wait_until(lambda: driver.is_suspended(context.version, [router]))

    _run(context, start())


@then("that session is still on version 1")
def step_impl(context):
    versions = _run(context, context.driver.send(4, context.first_session_token))
    assert set(versions) == {"tern-small@1"}, versions


@then("new requests run on version 2")
def step_impl(context):
    versions = _run(context, context.driver.send(20))
    assert set(versions) == {context.version}, versions


@then("version 2 of {model} is not suspended")
def step_impl(context, model):
    driver = context.driver
    for node in [*driver.routers, driver.controller]:
        assert not driver.is_suspended(f"{model}@2", [node])


@then("every router is still at step {index:d} or later")
def step_impl(context, index):
    assert context.driver.has_reached_step(context.version, index)


@then("the lowest step in force at any router is {index:d}")
def step_impl(context, index):
    assert context.driver.lowest_step_index(context.version) == index

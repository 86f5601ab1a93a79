"""Steps of the assignment of versions."""

from behave import given, then, when
from common import FixedAssigner, build_model, build_organisation, build_rollout
from hypothesis import given as forall, settings, strategies

from stoatpath.rollouts.messages import Step, Verdict


def _assign(assigner, model, key):
    return assigner.assign(model, build_organisation(), "desk", key).name


@then("for any rising shares a key never goes back to the old version")
def step_impl(context):
    @settings(derandomize=True, database=None, deadline=None)
    @forall(
        strategies.lists(strategies.floats(0, 1), min_size=2, max_size=6).map(sorted),
        strategies.text(max_size=20),
    )
    def check(steps, key):
        assigner = FixedAssigner(build_rollout(steps=tuple(steps)))
        has_moved = False
        for index in range(len(steps) + 1):
            assigner.progress.record_step(Step("m@2", 1, index))
            first = _assign(assigner, build_model(), key)
            assert first == _assign(assigner, build_model(), key)
            assert first == "m@2" or not has_moved
            has_moved = first == "m@2"
        assert has_moved

    check()


@when("{count:d} keys are assigned in two roll-outs at shares {first:g} and {second:g}")
def step_impl(context, count, first, second):
    assigner = FixedAssigner(
        build_rollout("m", (first,)), build_rollout("n", (second,))
    )
    assigner.progress.record_step(Step("m@2", 1, 0))
    assigner.progress.record_step(Step("n@2", 1, 0))
    models = (build_model("m"), build_model("n"))
    context.both = 0
    for index in range(count):
        versions = [_assign(assigner, model, f"key-{index}") for model in models]
        context.both += versions == ["m@2", "n@2"]
    context.count = count


@then("the share of keys on both new versions is near {share:g}")
def step_impl(context, share):
    assert abs(context.both / context.count - share) < 0.01


@given("a roll-out with the steps {steps}")
def step_impl(context, steps):
    shares = tuple(map(float, steps.split(",")))
    context.rollout = build_rollout(steps=shares)
    context.model = build_model()
    context.assigner = FixedAssigner(context.rollout)


@given("no step is known")
def step_impl(context):
    assert context.assigner.progress.steps_by_version == {}


@given("step {index:d} is reached")
def step_impl(context, index):
    context.assigner.progress.record_step(Step("m@2", 1, index))


@given("step {index:d} is reached by an earlier trial")
def step_impl(context, index):
    context.assigner.progress.record_step(Step("m@2", 1, index))
    context.model = build_model(trial=2)


@given("step {index:d} is reached and an operator halts it")
def step_impl(context, index):
    context.assigner.progress.record_step(Step("m@2", 1, index))
    context.rollout.is_halted = True


@given("step {index:d} is reached and it is suspended")
def step_impl(context, index):
    context.assigner.progress.record_step(Step("m@2", 1, index))
    context.assigner.progress.suspensions.add(Verdict("m@2", 1, "bad", 0))


@given("step {index:d} is reached and then step {late:d} arrives")
def step_impl(context, index, late):
    context.assigner.progress.record_step(Step("m@2", 1, index))
    assert not context.assigner.progress.record_step(Step("m@2", 1, late))


@then("the new version gets a share of {share:g}")
def step_impl(context, share):
    version = context.model.by_version["m@2"]
    assert context.assigner.progress.share(context.rollout, version) == share


@then("every key is assigned the old version")
def step_impl(context):
    for index in range(200):
        assert _assign(context.assigner, context.model, f"key-{index}") == "m@1"

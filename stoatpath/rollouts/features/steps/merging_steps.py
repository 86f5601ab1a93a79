"""Steps of merging counts, steps and verdicts."""

import random

from behave import given, then, when
from common import build_model
from hypothesis import given as forall, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from stoatpath.rollouts.counters import RatingCounters
from stoatpath.rollouts.messages import RATING_LEVELS, Arm, Cell, Source, Verdict
from stoatpath.rollouts.progress import Progress
from stoatpath.utils import decode_json, encode_json

ARMS = (Arm("r", 1, "m@2", "a"), Arm("r", 1, "m@1", "a"), Arm("r", 1, "m@2", "b"))


def _round_trip(cell):
    """Return a cell after encoding and decoding it."""
    return Cell.from_json(decode_json(encode_json(cell.to_json())))


def _count_all(counters):
    return {
        key: (list(total.levels), total.served)
        for key, total in counters.totals_by_arm.items()
    }


@then("counts sent with loss, duplication and reordering converge to the true counts")
def step_impl(context):
    event = strategies.tuples(
        strategies.integers(0, 2),
        strategies.sampled_from(ARMS),
        strategies.integers(0, RATING_LEVELS - 1),
        strategies.sampled_from(("lost", "once", "twice", "late")),
    )

    @settings(derandomize=True, database=None, deadline=None)
    @forall(strategies.lists(event, max_size=40), strategies.integers(0, 99))
    def check(events, seed):
        everything = RatingCounters()
        routers = [RatingCounters() for _ in range(3)]
        sources = [Source(f"router-{index}", index) for index in range(3)]
        late = []
        owner = RatingCounters()
        for index, arm, level, fate in events:
            routers[index].count(sources[index], arm, level)
            everything.count(sources[index], arm, level)
            cells = [_round_trip(cell) for cell in routers[index].drain_changed()]
            late += cells if fate == "late" else []
            for cell in (
                cells * ("lost", "once", "twice").index(fate)
                if (fate != "late")
                else []
            ):
                owner.merge(cell)
            if fate == "lost":
                routers[index].mark_changed(cells)
        random.Random(seed).shuffle(late)
        for cell in late:
            owner.merge(cell)
        for router in routers:
            for cell in router.drain_changed():
                owner.merge(_round_trip(cell))
        assert _count_all(owner) == _count_all(everything)

    check()


@given("a router that counted {count:d} ratings")
def step_impl(context, count):
    context.owner = RatingCounters()
    _count(context, 1, count)


@when("it restarts and counts {count:d} ratings")
def step_impl(context, count):
    _count(context, 2, count)


def _count(context, incarnation, count):
    router = RatingCounters()
    for _ in range(count):
        router.count(Source("router-1", incarnation), ARMS[0], 20)
    for cell in router.drain_changed():
        context.owner.merge(_round_trip(cell))


@then("the owner counts {count:d} ratings")
def step_impl(context, count):
    totals = context.owner.totals("r", 1, "m@2")
    assert sum(totals["a"].levels) == count


class SuspensionMachine(RuleBasedStateMachine):
    """Nodes that suspend, gossip, restart from a peer and see new trials."""

    NODES = 4

    def __init__(self):
        super().__init__()
        self.nodes = [Progress() for _ in range(self.NODES)]
        self.trials = [1] * self.NODES
        self.highest_suspended_trial = 0

    nodes = strategies.integers(0, NODES - 1)

    @rule(node=nodes)
    def suspend(self, node):
        trial = self.trials[node]
        self.nodes[node].suspensions.add(Verdict("m@2", trial, "bad", 0))
        self.highest_suspended_trial = max(self.highest_suspended_trial, trial)

    @rule(sender=nodes, receiver=nodes)
    def gossip(self, sender, receiver):
        updates = decode_json(encode_json(self.nodes[sender].to_json()))
        self.nodes[receiver].merge_json(updates)
        self.trials[receiver] = max(self.trials[receiver], self.trials[sender])

    @rule(node=nodes)
    def start_new_trial(self, node):
        self.trials[node] = max(self.trials) + 1

    @rule(node=nodes, peer=nodes)
    def restart(self, node, peer):
        updates = self.nodes[peer].to_json()
        self.nodes[node] = Progress()
        self.nodes[node].merge_json(updates)
        self.trials[node] = self.trials[peer]

    @invariant()
    def only_a_later_trial_lifts(self):
        for progress, trial in zip(self.nodes, self.trials):
            verdict = progress.suspensions.by_version.get("m@2")
            version = build_model(trial=trial).by_version["m@2"]
            is_held = progress.suspensions.is_suspended(version)
            assert is_held == (verdict is not None and verdict.trial >= trial)
            assert verdict is None or verdict.trial <= self.highest_suspended_trial

    def teardown(self):
        """Once faults stop, all nodes agree on the latest verdict."""
        known = 0
        for node in self.nodes:
            verdict = node.suspensions.by_version.get("m@2")
            known = max(known, verdict.trial if verdict else 0)
        for _ in range(2):
            for index in range(self.NODES):
                self.gossip(index, (index + 1) % self.NODES)
        for node in self.nodes:
            verdict = node.suspensions.by_version.get("m@2")
            assert (verdict.trial if verdict else 0) == known


@then("no order of verdicts, restarts, gossip and configurations breaks suspension")
def step_impl(context):
    run_state_machine_as_test(
        SuspensionMachine,
        settings=settings(
            derandomize=True, database=None, deadline=None, max_examples=60
        ),
    )


@when('the update "{update}" is merged')
def step_impl(context, update):
    context.progress = Progress()
    context.progress.merge_json(decode_json(update.encode()))


@then("{version} is suspended")
def step_impl(context, version):
    assert context.progress.suspensions.is_suspended(build_model().by_version[version])


@then("{version} is not suspended")
def step_impl(context, version):
    assert not context.progress.suspensions.is_suspended(
        build_model().by_version[version]
    )


@then("{version} has reached step {index:d}")
def step_impl(context, version, index):
    assert context.progress.step_index(build_model().by_version[version]) == index

"""Steps of counts, steps and verdicts that merge."""

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


def _send(cell):
    """Return a cell as it arrives over the wire."""
    return Cell.from_json(decode_json(encode_json(cell.to_json())))


def _count_all(counters):
    return {
        key: (list(total.levels), total.served)
        for key, total in counters.totals_by_arm.items()
    }


@then("counts sent with loss, doubling and reordering converge to what was counted")
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
        judge = RatingCounters()
        for index, arm, level, fate in events:
            routers[index].count(sources[index], arm, level)
            everything.count(sources[index], arm, level)
            cells = [_send(cell) for cell in routers[index].drain_changed()]
            late += cells if fate == "late" else []
            for cell in (
                cells * ("lost", "once", "twice").index(fate)
                if (fate != "late")
                else []
            ):
                judge.merge(cell)
            if fate == "lost":
                routers[index].mark_changed(cells)
        random.Random(seed).shuffle(late)
        for cell in late:
            judge.merge(cell)
        for router in routers:
            for cell in router.drain_changed():
                judge.merge(_send(cell))
        assert _count_all(judge) == _count_all(everything)

    check()


@given("a router that counted {count:d} ratings")
def step_impl(context, count):
    context.judge = RatingCounters()
    _count(context, 1, count)


@when("it restarts and counts {count:d} ratings")
def step_impl(context, count):
    _count(context, 2, count)


def _count(context, incarnation, count):
    router = RatingCounters()
    for _ in range(count):
        router.count(Source("router-1", incarnation), ARMS[0], 20)
    for cell in router.drain_changed():
        context.judge.merge(_send(cell))


@then("the judge knows {count:d} ratings")
def step_impl(context, count):
    totals = context.judge.totals("r", 1, "m@2")
    assert sum(totals["a"].levels) == count


class SuspensionMachine(RuleBasedStateMachine):
    """Nodes that judge, gossip, restart from a peer, and configurations."""

    NODES = 4

    def __init__(self):
        super().__init__()
        self.nodes = [Progress() for _ in range(self.NODES)]
        self.trials = [1] * self.NODES
        self.highest_verdict = 0

    nodes = strategies.integers(0, NODES - 1)

    @rule(node=nodes)
    def judge(self, node):
        trial = self.trials[node]
        self.nodes[node].suspensions.add(Verdict("m@2", trial, "bad", 0))
        self.highest_verdict = max(self.highest_verdict, trial)

    @rule(sender=nodes, receiver=nodes)
    def gossip(self, sender, receiver):
        news = decode_json(encode_json(self.nodes[sender].to_json()))
        self.nodes[receiver].merge_json(news)
        self.trials[receiver] = max(self.trials[receiver], self.trials[sender])

    @rule(node=nodes)
    def operator_lifts(self, node):
        self.trials[node] = max(self.trials) + 1

    @rule(node=nodes, peer=nodes)
    def restart(self, node, peer):
        news = self.nodes[peer].to_json()
        self.nodes[node] = Progress()
        self.nodes[node].merge_json(news)
        self.trials[node] = self.trials[peer]

    @invariant()
    def only_a_later_trial_lifts(self):
        for progress, trial in zip(self.nodes, self.trials):
            verdict = progress.suspensions.by_version.get("m@2")
            version = build_model(trial=trial).by_version["m@2"]
            is_held = progress.suspensions.is_suspended(version)
            assert is_held == (verdict is not None and verdict.trial >= trial)
            assert verdict is None or verdict.trial <= self.highest_verdict

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


@when('the news "{news}" is merged')
def step_impl(context, news):
    context.progress = Progress()
    context.progress.merge_json(decode_json(news.encode()))


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

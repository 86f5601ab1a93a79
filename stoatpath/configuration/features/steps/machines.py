"""A state machine of concurrent operators, a faulty table and gossiping followers."""

import asyncio

from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from stoatpath.clock import ManualClock
from stoatpath.configuration.followers import ConfigurationFollower
from stoatpath.configuration.messages import Accepted, Change, Submission
from stoatpath.configuration.stores import ConfigurationStore
from stoatpath.configuration.topics import ConfigurationTopic
from stoatpath.outcomes import (
    CONNECT_FAILED,
    PLATFORM_UNAVAILABLE,
    Failure,
    Outcome,
    is_failure,
)
from stoatpath.services.messages import Applied, Rejected, Row
from stoatpath.utils import decode_json, encode_json

FOLLOWERS = 3
DOCUMENTS = 3
FAULTS = (
    "none",
    "none",
    "reply-lost",
    "request-lost",
    "late",
    "late then down",
    "reply-lost then down",
)


class MemoryTable:
    """A table in memory, with faults chosen by the test."""

    def __init__(self):
        self.rows = {}
        self.faults = []
        self.late_transactions = []
        self.is_down = False

    async def read(self, keys):
        if self.is_down:
            return Failure(PLATFORM_UNAVAILABLE, "down")
        rows = {key: Row(key, *self.rows.get(key, (0, None))) for key in keys}
        return {
            key: Row(key, row.version, _copy(row.value)) for key, row in rows.items()
        }

    async def transact(self, transaction):
        if self.is_down:
            return Failure(PLATFORM_UNAVAILABLE, "down")
        fault, _, rest = (self.faults.pop(0) if self.faults else "").partition(" ")
        self.is_down = bool(rest)
        if fault == "late":
            self.late_transactions.append(transaction)
        if fault in ("late", "request-lost"):
            return Failure(PLATFORM_UNAVAILABLE, fault, Outcome.UNKNOWN)
        conditions_hold = self.apply(transaction)
        if fault == "reply-lost":
            return Failure(PLATFORM_UNAVAILABLE, fault, Outcome.UNKNOWN)
        if conditions_hold:
            return Applied()
        return Rejected(await self.read([each.key for each in transaction.conditions]))

    def apply(self, transaction):
        """Apply a transaction if its conditions hold; return whether they do."""
        for condition in transaction.conditions:
            if self.rows.get(condition.key, (0, None))[0] != condition.version:
                return False
        for put in transaction.puts:
            version = self.rows.get(put.key, (0, None))[0]
            self.rows[put.key] = (version + 1, _copy(put.value))
        return True


class DirectClient:
    """A peer client and server that call handlers directly, unless disconnected."""

    def __init__(self):
        self.handlers_by_address = {}
        self.is_disconnected = False
        self.answers = []

    async def ask(self, address, topic, message, timeout_ms):
        if self.is_disconnected:
            return Failure(CONNECT_FAILED, "cut")
        answer = _copy(await self.handlers_by_address[address](message))
        self.answers.append(answer)
        return answer

    def server_of(self, address):
        client = self

        class Server:
            def register(self, topic, handler):
                client.handlers_by_address[address] = handler

        return Server()


class ConfigurationMachine(RuleBasedStateMachine):
    """Submissions and followers under faults; the invariants state what must hold."""

    @initialize()
    def build(self):
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.client = DirectClient()
        self.store = ConfigurationStore(self.table, self.clock)
        self.followers = [None] * FOLLOWERS
        self.topics = [None] * FOLLOWERS
        self.highest = [0] * FOLLOWERS
        for index in range(FOLLOWERS):
            self.restart(index)
        self.submission_count = 0
        self.verdicts = {}
        self.submissions = {}

    def restart(self, index):
        follower = ConfigurationFollower(self.store, self.clock)
        self.followers[index] = follower
        self.topics[index] = ConfigurationTopic(
            follower, self.clock, self.client, self.client.server_of(str(index)), str
        )
        self.highest[index] = 0

    @rule(index=strategies.integers(0, FOLLOWERS - 1))
    def replace(self, index):
        self.restart(index)

    @rule(
        lag=strategies.sampled_from((0, 0, 0, 1, 2)),
        document=strategies.integers(0, DOCUMENTS - 1),
        faults=strategies.lists(strategies.sampled_from(FAULTS), max_size=3),
        is_down=strategies.sampled_from((False, False, False, False, True)),
    )
    def submit(self, lag, document, faults, is_down):
        """Submit on a base that is some revisions old."""
        self.table.is_down = is_down
        self.submission_count += 1
        body = {"cost": self.submission_count, "current": "1", "versions": {"1": {}}}
        changes = [Change("model", f"model-{document}", body)]
        base = max(0, len(self.history()) - lag)
        submission = Submission(f"s-{self.submission_count}", "operator", base, changes)
        self.submissions[submission.submission_id] = submission
        self.send(submission, faults)

    @rule(number=strategies.integers(1, 12), faults=strategies.just(["reply-lost"]))
    def repeat(self, number, faults):
        submission = self.submissions.get(f"s-{number}")
        if submission is not None:
            self.send(submission, faults)

    def send(self, submission, faults):
        self.table.faults = list(faults)
        follower = self.followers[0]
        verdict = asyncio.run(self.store.submit(follower.snapshot, submission))
        self.table.faults = []
        earlier = self.verdicts.setdefault(submission.submission_id, [])
        earlier.append(verdict)

    @rule()
    def apply_late_transaction(self):
        if self.table.late_transactions:
            self.table.apply(self.table.late_transactions.pop(0))

    @rule(is_down=strategies.sampled_from((False, False, False, True)))
    def switch_store(self, is_down):
        self.table.is_down = is_down

    @rule(is_disconnected=strategies.sampled_from((False, False, False, True)))
    def switch_network(self, is_disconnected):
        self.client.is_disconnected = is_disconnected

    @rule(index=strategies.integers(0, FOLLOWERS - 1))
    def poll(self, index):
        asyncio.run(self.followers[index].poll())

    @rule()
    def poll_all_but_the_last(self):
        self.table.is_down = False
        for index in range(FOLLOWERS - 1):
            self.poll(index)

    @rule(
        sender=strategies.integers(0, FOLLOWERS - 1),
        receiver=strategies.integers(0, FOLLOWERS - 1),
    )
    def gossip(self, sender, receiver):
        if self.topics[receiver].merge(str(sender), self.topics[sender].collect()):
            asyncio.run(self.topics[receiver].fetch(str(sender)))

    @rule(
        number=strategies.integers(0, 30),
        receiver=strategies.integers(0, FOLLOWERS - 1),
    )
    def deliver_again(self, number, receiver):
        """Deliver an answer late, twice, or to a process that sent no request."""
        answers = self.client.answers
        if answers:
            answer = answers[number % len(answers)]
            self.topics[receiver]._apply_answer(answer, self.clock.now_ms())

    @invariant()
    def never_reverts(self):
        for index, follower in enumerate(self.followers):
            assert follower.snapshot.revision >= self.highest[index]
            self.highest[index] = follower.snapshot.revision

    @invariant()
    def accepted_submissions_stay_in_history(self):
        ids = [row["submission"]["submission_id"] for row in self.history()]
        assert len(ids) == len(set(ids)), ids
        for submission_id, verdicts in self.verdicts.items():
            accepted = [each for each in verdicts if isinstance(each, Accepted)]
            if accepted:
                assert ids[accepted[0].revision - 1] == submission_id
                assert len({each.revision for each in accepted}) == 1
            unknown = [each for each in verdicts if has_unknown_outcome(each)]
            if not accepted and not unknown:
                assert submission_id not in ids

    @invariant()
    def equal_revisions_are_equal(self):
        for follower in self.followers:
            rows = self.history()[: follower.snapshot.revision]
            expected = {}
            for row in rows:
                for change in row["submission"]["changes"]:
                    expected[change["name"]] = change["body"]
            assert follower.snapshot.by_kind["model"] == expected

    def history(self):
        keys = sorted(key for key in self.table.rows if "changes" in key)
        return [self.table.rows[key][1] for key in keys]

    def teardown(self):
        """Without faults, all followers converge through the store or their peers."""
        if not hasattr(self, "table"):
            return
        self.table.is_down = False
        self.client.is_disconnected = False
        asyncio.run(self.followers[0].poll())
        self.table.is_down = True
        for index in range(1, FOLLOWERS):
            self.gossip(0, index)
        revisions = {each.snapshot.revision for each in self.followers}
        assert revisions == {len(self.history())}, revisions


def has_unknown_outcome(verdict):
    """Return whether it is unknown if a submission was stored."""
    return is_failure(verdict) and verdict.outcome is Outcome.UNKNOWN


def _copy(value):
    return decode_json(encode_json(value))

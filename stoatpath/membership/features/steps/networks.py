"""Real members on a simulated network, store and clock, advanced by the test."""

import asyncio
import random
from types import SimpleNamespace

from stoatpath.clock import ManualClock
from stoatpath.configuration.followers import ConfigurationFollower
from stoatpath.configuration.guards import FreshnessGuard
from stoatpath.configuration.messages import Accepted, Change, Submission
from stoatpath.configuration.stores import ConfigurationStore
from stoatpath.configuration.topics import ConfigurationTopic
from stoatpath.membership.gossip import GOSSIP_PERIOD_MS, Gossip
from stoatpath.membership.members import MemberTable
from stoatpath.membership.messages import LIVE, Member
from stoatpath.outcomes import (
    CONNECT_FAILED,
    CONNECTION_REFUSED,
    PLATFORM_UNAVAILABLE,
    Failure,
    Outcome,
)
from stoatpath.rollouts.assigners import VersionAssigner
from stoatpath.services.messages import Applied, ListedInstance, Rejected, Row
from stoatpath.utils import decode_json, encode_json

STEP_MS = 250
TURNS_PER_STEP = 60  # event loop iterations
STALENESS_LIMIT_MS = 12_000
MODEL = {"cost": 1, "current": "1", "versions": {"1": {}, "2": {}}}
WITHDRAWN = {
    "cost": 1,
    "current": "2",
    "versions": {"1": {"state": "withdrawn"}, "2": {}},
}
CHAT = {
    "kind": "model",
    "cascade": ["small"],
    "default_purpose": "any",
    "purposes": {"any": {"timeout_ms": 1000}},
}
TEMPLATE = {
    "parameters": {},
    "organisation": {
        "weight": 1,
        "rate_per_s": 1,
        "keys": {},
        "allowed": {"chat": ["small"]},
    },
}


class MemoryTable:
    """The rows of the platform's table, which only some members can reach."""

    def __init__(self, network):
        self.rows = {}
        self.network = network

    def client_of(self, name):
        table = self

        class Client:
            async def read(self, keys):
                if not table.network.reaches_store(name):
                    return Failure(PLATFORM_UNAVAILABLE, "out of reach")
                return {key: Row(key, *table.rows.get(key, (0, None))) for key in keys}

            async def transact(self, transaction):
                if not table.network.reaches_store(name):
                    return Failure(PLATFORM_UNAVAILABLE, "out of reach")
                for each in transaction.conditions:
                    if table.rows.get(each.key, (0, None))[0] != each.version:
                        return Rejected({})
                for put in transaction.puts:
                    version = table.rows.get(put.key, (0, None))[0]
                    value = decode_json(encode_json(put.value))
                    table.rows[put.key] = (version + 1, value)
                return Applied()

        return Client()


class SimulatedMember:
    """One member built of the real table, gossip, follower, topic and guard."""

    def __init__(self, network, name, role, zone, incarnation, serve_stale=False):
        self.network = network
        self.name = name
        self.handlers_by_topic = {}
        self.is_paused = False
        self.is_ended = False
        self.next_round_ms = network.clock.now_ms() + network.random.randrange(1000)
        clock = network.clock
        address = f"{name}:{incarnation}"
        local = Member(name, role, address, zone, incarnation, LIVE)
        self.members = MemberTable(local)
        rng = random.Random(f"{network.seed} {name}")
        self.gossip = Gossip(self.members, self, self, clock, rng)
        store = ConfigurationStore(network.table.client_of(name), clock)
        self.store = store
        self.follower = ConfigurationFollower(store, clock)
        self.follower.count_members = lambda: len(self.members.peers()) + 1
        self.topic = ConfigurationTopic(
            self.follower, clock, self, self, self.members.address_of
        )
        self.gossip.add_topic(self.topic)
        settings = SimpleNamespace(
            staleness_limit_ms=STALENESS_LIMIT_MS, serve_when_cut_off=serve_stale
        )
        self.guard = FreshnessGuard(
            self.follower, VersionAssigner(), self.gossip.contacts, settings, clock
        )

    def register(self, topic, handler):
        self.handlers_by_topic[topic] = handler

    async def ask(self, address, topic, message, timeout_ms=1_000):
        return await self.network.ask(self.name, address, topic, message, timeout_ms)

    def step(self):
        """Start the tasks that are due, unless the process is paused or ended."""
        if not (self.is_paused or self.is_ended):
            self.network.start(self._run_due_tasks())

    async def _run_due_tasks(self):
        now_ms = self.network.clock.now_ms()
        if now_ms >= self.next_round_ms:
            self.next_round_ms = now_ms + GOSSIP_PERIOD_MS
            if not self.network.is_list_down:
                self.gossip.update_candidates(self.network.listed.values())
            await self.follower.poll()
            await self.gossip.run_round()
        if self.gossip._push_requested.is_set():
            self.gossip._push_requested.clear()
            await self.gossip.push()
        while not self.topic._fetch_queue.empty():
            await self.topic.fetch(self.topic._fetch_queue.get_nowait())

    def may_send(self, version="small@1"):
        """Return whether work for a version would be sent right now."""
        request = SimpleNamespace(
            organisation=SimpleNamespace(name="acme"),
            service=SimpleNamespace(name="chat"),
        )
        return self.guard.check_send(request, SimpleNamespace(name=version)) is None

    def revision(self):
        return self.follower.snapshot.revision


class Network:
    """Members by name, their connectivity, and the store and list they share."""

    def __init__(self, seed=1):
        self.seed = seed
        self.random = random.Random(seed)
        self.clock = ManualClock(now_ms=1_000_000.0)
        self.table = MemoryTable(self)
        self.members_by_name = {}
        self.listed = {}
        self.groups = None
        self.store_groups = None
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.delayed = []
        self.messages = 0
        self.submission_count = 0
        self.is_list_down = False
        self.tasks = set()

    def add(self, name, role, zone="a", is_listed=True, incarnation=1, **fields):
        member = SimulatedMember(self, name, role, zone, incarnation, **fields)
        self.members_by_name[name] = member
        if is_listed:
            self.list(name)
        return member

    def list(self, name, state="live"):
        local = self.members_by_name[name].members.local
        self.listed[name] = ListedInstance(
            name, local.role, local.address, local.zone, "", state
        )

    def reaches_store(self, name):
        if self.store_groups is None:
            return True
        return self.group_of(name) in self.store_groups

    def group_of(self, name):
        for index, group in enumerate(self.groups or ()):
            if name in group:
                return index
        return -1

    def start(self, job):
        task = asyncio.create_task(job)
        self.tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task):
        self.tasks.discard(task)
        if not task.cancelled():
            task.result()

    async def ask(self, sender, address, topic, message, timeout_ms):
        """Deliver a message; without an answer, the sender waits for its timeout."""
        self.messages += 1
        target = self._find_member(address)
        is_cut = target and self.group_of(sender) != self.group_of(target.name)
        if not is_cut and (target is None or target.is_ended):
            return Failure(CONNECTION_REFUSED, "refused")
        if is_cut or target.is_paused or self.random.random() < self.loss_rate:
            await self.clock.sleep_until(self.clock.now_ms() + timeout_ms)
            return Failure(CONNECT_FAILED, "silent", Outcome.UNKNOWN)
        copy = decode_json(encode_json(message))
        handler = target.handlers_by_topic[topic]
        if self.random.random() < self.duplicate_rate:
            self.delayed.append((target.name, topic, copy))
        answer = await handler(copy)
        if self.random.random() < self.loss_rate:
            return Failure(CONNECT_FAILED, "lost", Outcome.UNKNOWN)
        return decode_json(encode_json(answer))

    def _find_member(self, address):
        for member in self.members_by_name.values():
            if member.members.local.address == address:
                return member
        return None

    async def run_for(self, seconds, after_step=None):
        for _ in range(round(seconds * 1000 / STEP_MS)):
            self.clock.advance_by(STEP_MS)
            await self._deliver_delayed()
            for member in list(self.members_by_name.values()):
                member.step()
            for _ in range(TURNS_PER_STEP):
                await asyncio.sleep(0)
            if after_step is not None:
                after_step()

    async def _deliver_delayed(self):
        """Deliver delayed copies of messages, out of order."""
        if self.delayed and self.random.random() < 0.3:
            index = self.random.randrange(len(self.delayed))
            name, topic, message = self.delayed.pop(index)
            target = self.members_by_name.get(name)
            if target is not None and not (target.is_paused or target.is_ended):
                await target.handlers_by_topic[topic](message)

    async def accept(self, name, changes):
        """Have one member accept changes; return the verdict."""
        member = self.members_by_name[name]
        self.submission_count += 1
        submission = Submission(
            f"s-{self.submission_count}", "test", member.revision(), changes, True
        )
        verdict = await member.store.submit(member.follower.snapshot, submission)
        if isinstance(verdict, Accepted):
            await member.follower.poll()
            member.gossip.trigger_push()
        return verdict


def first_changes():
    return [
        Change("model", "small", MODEL),
        Change("service", "chat", CHAT),
        Change("template", "basic", TEMPLATE),
        Change("organisation", "acme", {"template": "basic", "parameters": {}}),
    ]


def withdrawal():
    return [Change("model", "small", WITHDRAWN)]


def run(main):
    return asyncio.run(main)

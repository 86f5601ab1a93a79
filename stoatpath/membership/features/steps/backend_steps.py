"""Steps on the backend servers known to a router."""

import asyncio
import random

from behave import given, then, when

from stoatpath.clock import Clock
from stoatpath.membership.backends import ENGINE, BackendServers
from stoatpath.membership.subsets import choose_subset
from stoatpath.membership.watchers import (
    BYTES_PER_POLL,
    MAX_POLL_BYTES_PER_S,
    BackendWatcher,
)
from stoatpath.outcomes import is_failure
from stoatpath.routing.choosers import LeastTimeChooser
from stoatpath.routing.messages import RoutingQuery
from stoatpath.services.instance_lists import InstanceList
from stoatpath.services.messages import ListedInstance
from stoatpath.standins.engines import EngineStandin
from stoatpath.standins.instance_lists import InstanceListStandin

VERSION = "m@1"
NAMES = ("b1", "b2", "b3")
POLL_MS = 250
LIST_MS = 2_000


def _report(leaving=False):
    return {
        "versions": [VERSION],
        "slots": 8,
        "running": 0,
        "token_ms": 1,
        "leaving": leaving,
    }


class Backends:
    """The actual state of backend servers, the list, and a router's view of them."""

    def __init__(self):
        self.servers = BackendServers()
        self.now_ms = 0.0
        self.leaving = set()
        self.silent = set()
        self.refusing = set()
        self.malformed = set()
        self.listed = {name: self._entry(name) for name in NAMES}

    @staticmethod
    def _entry(name, state="live", port=1):
        return ListedInstance(name, ENGINE, f"127.0.0.1:{port}", "a", "m", state)

    def run_for(self, seconds):
        until_ms = self.now_ms + seconds * 1000
        while self.now_ms < until_ms:
            if self.now_ms % LIST_MS == 0:
                self.servers.apply_list(self.listed, self.now_ms)
            for name in NAMES:
                self._poll(name)
            self.now_ms += POLL_MS

    def _poll(self, name):
        if name in self.refusing:
            self.servers.apply_refusal(name)
        elif name in self.malformed:
            report = {"versions": VERSION, "slots": "many"}
            self.servers.apply_report(name, report, self.now_ms)
        elif name not in self.silent:
            report = _report(name in self.leaving)
            self.servers.apply_report(name, report, self.now_ms)

    def usable(self):
        chooser = LeastTimeChooser("a", random.Random(1))
        found = set()
        for _ in range(60):
            query = RoutingQuery("r", "chat", VERSION, 1, self.now_ms + 60_000, set())
            serving = self.servers.serving(VERSION)
            choice = chooser.choose(query, serving, self.now_ms)
            if not is_failure(choice):
                found |= {
                    candidate.name
                    for candidate in choice.candidates
                    if candidate.cost is not None
                }
        return found

    def apply_event(self, event):
        actions = {
            "nothing happens": lambda: None,
            "b1 reports that it leaves": lambda: self.leaving.add("b1"),
            "b1 is listed as leaving": lambda: self._list_leaving(False),
            "b1 is listed as leaving and then as live": lambda: self._list_leaving(
                True
            ),
            "b1 stops reporting": lambda: self.silent.add("b1"),
            "b1 refuses connections": lambda: self.refusing.add("b1"),
            "b1 is missing from the list": lambda: self.listed.pop("b1"),
            "all are missing from the list": lambda: self.listed.clear(),
            "b1 starts again elsewhere and reports": self._move,
            "b1 sends a malformed report": lambda: self.malformed.add("b1"),
            "an old report of b1 arrives late": self._delay,
        }
        actions[event]()

    def _list_leaving(self, then_live):
        self.listed["b1"] = self._entry("b1", "leaving")
        self.servers.apply_list(self.listed, self.now_ms)
        if then_live:
            self.listed["b1"] = self._entry("b1")

    def _move(self):
        self.listed["b1"] = self._entry("b1", port=2)

    def _delay(self):
        self.leaving.add("b1")
        self.run_for(1)
        self.silent.add("b1")
        self.servers.apply_report("b1", _report(), self.now_ms - 5_000)


@given("a router that knows backend servers b1, b2 and b3")
def step_impl(context):
    context.backends = Backends()
    context.backends.run_for(4)
    assert context.backends.usable() == set(NAMES)


@then("after {seconds:d} s it may use {names}")
def step_impl(context, seconds, names):
    for event in context.events.split("; "):
        context.backends.apply_event(event)
    context.backends.run_for(seconds)
    usable = context.backends.usable()
    assert usable == set(names.split(", ")), usable


@when("these events happen: {events}")
def step_impl(context, events):
    context.events = events


@given("a router's watcher and {count:d} engine stand-ins")
def step_impl(context, count):
    context.count = count


@when("an engine stand-in {what}")
def step_impl(context, what):
    async def main():
        engines = [EngineStandin(f"e{i}", {VERSION: 0.9}) for i in range(context.count)]
        listing = InstanceListStandin()
        for engine in engines:
            address = await engine.start()
            entry = ListedInstance(engine.name, ENGINE, address, "a", "m", "live")
            listing.add(entry)
        client = InstanceList.from_url(await listing.start())
        servers = BackendServers("router-1")
        watcher = BackendWatcher(servers, client, Clock())
        task = asyncio.create_task(watcher.run())
        await _until(lambda: len(servers.serving(VERSION)) == context.count)
        if "leaves" in what:
            engines[0].leaving = True
        else:
            await engines[0].stop()
        polls = watcher.polls
        victim = servers.by_name["e0"]
        await _until(lambda: victim.is_leaving or victim.reported_ms < 0)
        context.polls = (watcher.polls - polls) / context.count
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await client.close()
        for each in [*engines, listing]:
            await each.stop()

    asyncio.run(main())


async def _until(holds):
    while not holds():
        await asyncio.sleep(0.01)


@then("the router stops using it after at most {polls:d} polls of it")
def step_impl(context, polls):
    assert context.polls <= polls, context.polls


@given(
    "{count:d} replicas in {pools:d} pools and {zones:d} zones, and {routers:d} routers"
)
def step_impl(context, count, pools, zones, routers):
    context.entries = [
        ListedInstance(
            f"e{i}", ENGINE, f"10.0.0.1:{i}", f"z{i % zones}", f"m{i % pools}", "live"
        )
        for i in range(count)
    ]
    context.subsets = [
        choose_subset(f"router-{index}", context.entries) for index in range(routers)
    ]


@then(
    "each router selects at least {least:d} and at most {most:d} of each pool"
    " and one of each zone"
)
def step_impl(context, least, most):
    for subset in context.subsets:
        by_pool = {}
        for entry in subset.by_name.values():
            by_pool.setdefault(entry.serves, []).append(entry.zone)
        assert len(by_pool) == 29
        for zones in by_pool.values():
            assert least <= len(zones) <= most, len(zones)
            assert len(set(zones)) == 8


@then("a replica is selected by at most {times:d} times as many routers as the average")
def step_impl(context, times):
    counts = dict.fromkeys((entry.name for entry in context.entries), 0)
    for subset in context.subsets:
        for name in subset.by_name:
            counts[name] += 1
    average = sum(counts.values()) / len(counts)
    assert max(counts.values()) <= times * average, (max(counts.values()), average)


@then("removing a replica changes the subset of a router by at most one")
def step_impl(context):
    for index in range(0, 540, 45):
        before = set(context.subsets[index].by_name)
        gone = sorted(before)[0]
        left = [entry for entry in context.entries if entry.name != gone]
        after = set(choose_subset(f"router-{index}", left).by_name)
        assert len(before - after) == 1 and len(after - before) <= 1


@then("the weights of a router's subset add up to all replicas")
def step_impl(context):
    for subset in context.subsets[:20]:
        assert round(sum(subset.weights_by_name.values())) == len(context.entries)


@then("the polling period grows with the backend servers and is at least 250 ms")
def step_impl(context):
    servers = BackendServers()
    watcher = BackendWatcher(servers, None, Clock())
    assert watcher.load_period_ms() == 250
    servers.by_name = dict.fromkeys(range(100))
    bytes_per_s = 100 * BYTES_PER_POLL / watcher.load_period_ms() * 1000
    assert round(bytes_per_s) == MAX_POLL_BYTES_PER_S

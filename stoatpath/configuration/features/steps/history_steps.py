"""Steps on history, snapshots and the state machine."""

import asyncio

from behave import given, then, when
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test
from machines import ConfigurationMachine
from sample_sites import StoredSite

from stoatpath.configuration.archives import HISTORY_PREFIX, SNAPSHOT_PREFIX
from stoatpath.configuration.followers import ConfigurationFollower
from stoatpath.configuration.keepers import HistoryKeeper
from stoatpath.configuration.messages import Accepted, Change, Submission
from stoatpath.configuration.snapshots import Snapshot
from stoatpath.configuration.stores import CHANGE_PREFIX
from stoatpath.outcomes import is_failure
from stoatpath.standins.faults import Fault

MAX_EXAMPLES = 150
STEPS_PER_EXAMPLE = 40
KEEPER_RUN_EVERY = 50


class GrownSite:
    """A site with a long history, and the faults and keeper runs that follow it."""

    def __init__(self, count, kept_rows):
        self.count = count
        self.kept_rows = kept_rows
        self.faults = []
        self.keeper_runs = 0

    def run(self, use_site):
        async def main():
            site = StoredSite()
            await site.start()
            try:
                await self._grow(site)
                for service, fault in self.faults:
                    getattr(site, service).faults.add(fault)
                for _ in range(self.keeper_runs):
                    await self.keeper.maintain_history()
                return await use_site(site)
            finally:
                await site.stop()

        return asyncio.run(main())

    async def _grow(self, site):
        follower = ConfigurationFollower(site.store, site.clock)
        self.keeper = HistoryKeeper(
            site.store, site.archive, follower, None, site.clock, self.kept_rows
        )
        for index in range(1, self.count + 1):
            body = {"cost": index, "current": "1", "versions": {"1": {}}}
            change = Change("model", f"model-{index % 7}", body)
            submission = Submission(f"s-{index}", "grower", index - 1, [change])
            verdict = await site.store.submit(follower.snapshot, submission)
            assert isinstance(verdict, Accepted), vars(verdict)
            await follower.poll()
            if self.kept_rows and index % KEEPER_RUN_EVERY == 0:
                await self.keeper.maintain_history()


@given("a site with {count:d} accepted changes and snapshots when due")
def step_impl(context, count):
    context.site = GrownSite(count, 10_000)


@given("a site with {count:d} accepted changes of which {kept:d} rows are kept")
def step_impl(context, count, kept):
    context.site = GrownSite(count, kept)


@given("a site with {count:d} accepted changes")
def step_impl(context, count):
    context.site = GrownSite(count, 0)


@given("the object store is down")
def step_impl(context):
    context.site.faults.append(("objects", Fault("get", "down", count=None)))


@given("the {service} meets {fault} on {operation}")
def step_impl(context, service, fault, operation):
    name = "objects" if service == "object store" else "table"
    context.site.faults.append((name, Fault(operation, fault)))


@when("a new instance reads the configuration")
def step_impl(context):
    async def use_site(site):
        table = site.table_client.connection
        calls = table.calls
        follower = ConfigurationFollower(site.store, site.clock)
        read_changes = site.store.read_changes
        context.rows_read = 0

        class CountingStore(type(site.store)):
            async def read_changes(self, first, last):
                context.rows_read += last - first + 1
                return await read_changes(first, last)

        follower._store = CountingStore(
            site.table_client, site.clock, site.archive, None
        )
        await follower.poll()
        context.calls = table.calls - calls
        context.follower = follower
        await _collect_stored(context, site)

    context.site.run(use_site)


async def _collect_stored(context, site):
    context.rows = [key for key in site.table.rows if key.startswith(CHANGE_PREFIX)]
    context.archived = [
        row["revision"]
        for key, rows in site.objects.by_key.items()
        if key.startswith(HISTORY_PREFIX)
        for row in rows
    ]
    context.snapshots = [
        key for key in site.objects.by_key if key.startswith(SNAPSHOT_PREFIX)
    ]


@then("it has the latest revision")
def step_impl(context):
    snapshot = context.follower.snapshot
    assert snapshot.revision == context.site.count, snapshot.revision
    latest = f"model-{context.site.count % 7}"
    assert snapshot.by_kind["model"][latest]["cost"] == context.site.count


@then("it read at most {count:d} history rows")
def step_impl(context, count):
    assert context.rows_read <= count, context.rows_read


@then("at most {count:d} rows are in the table")
def step_impl(context, count):
    context.site.run(lambda site: _collect_stored(context, site))
    assert len(context.rows) <= count, len(context.rows)


@then("every revision from 1 to {last:d} is in the table or in the archive")
def step_impl(context, last):
    in_table = [int(key.removeprefix(CHANGE_PREFIX)) for key in context.rows]
    assert sorted({*in_table, *context.archived}) == list(range(1, last + 1))
    assert not set(in_table) & set(context.archived)


@then("at most {count:d} snapshots are kept")
def step_impl(context, count):
    assert 1 <= len(context.snapshots) <= count, context.snapshots


@then("an instance at revision {revision:d} catches up")
def step_impl(context, revision):
    async def use_site(site):
        follower = ConfigurationFollower(site.store, site.clock)
        follower.snapshot = Snapshot(revision, Snapshot.empty().by_kind)
        await follower.poll()
        return follower.snapshot.revision

    assert context.site.run(use_site) == context.site.count


@when("a submission based on revision {base:d} is made")
def step_impl(context, base):
    async def use_site(site):
        change = Change(
            "model", "m", {"cost": 1, "current": "1", "versions": {"1": {}}}
        )
        submission = Submission("late", "me", base, [change])
        return await site.store.submit(Snapshot.empty(), submission)

    context.verdict = context.site.run(use_site)


@when("the history keeper runs {count:d} times")
def step_impl(context, count):
    context.site.keeper_runs = count


@then("the head names a snapshot that can be read")
def step_impl(context):
    async def use_site(site):
        head = await site.store.read_head()
        return head, await site.archive.read_snapshot(head.snapshot_revision)

    head, snapshot = context.site.run(use_site)
    assert head.snapshot_revision > 0
    assert not is_failure(snapshot)
    assert snapshot.revision == head.snapshot_revision


@then("under any order of submissions, races and faults nothing reverts or is lost")
def step_impl(context):
    run_state_machine_as_test(
        ConfigurationMachine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=MAX_EXAMPLES,
            stateful_step_count=STEPS_PER_EXAMPLE,
        ),
    )

"""A model of a roll-out of a plain service on the users' platform, in virtual time.

The instances run the keepers of gateways: assignment, evidence, verdicts. The store and
the backend servers are simulated.
"""

import asyncio
import random

from stoatpath.dispatch.messages import AttemptResult
from stoatpath.measure.virtual_loops import VirtualClock
from stoatpath.outcomes import BACKEND_ERROR
from stoatpath.platform.row_stores import Committed, RowPage, StoredRow
from stoatpath.rollouts.messages import RUNNING, ReleaseOrder
from stoatpath.rollouts.release_keepers import ReleaseKeeper
from stoatpath.rollouts.releases import ReleaseRegistry
from stoatpath.sessions.releases import SessionReleases

SERVICE = "desk"
OLD_RELEASE, NEW_RELEASE = "v1", "v2"
SERVERS_PER_RELEASE = 4
STATUS_TABLE = "status"
STORE_DELAY_MS = 5.0
RELAY_DELAY_MS = 30.0
ORDER_VERSION = 7
SESSION_MS = 5_000.0
EXPOSURE_SHARE = 0.15
EXPOSURE_SLACK = 30
# Network time of an answer within a zone and from another one.
NETWORK_MS = (2.6, 5.8)
MAX_ATTEMPTS = 2
WARM_UP_S = 20.0


class ModelKind:
    """A kind of request: its share, the median time of its work and of failures.

    `spread` is the standard deviation of the logarithm of the time. A failing thing
    fails at each backend server; `things` is their number.
    """

    __slots__ = ("route", "share", "work_ms", "spread", "failing_share", "things")

    def __init__(self, route, share, work_ms, spread, failing_share, things=50):
        self.route = route
        self.share = share
        self.work_ms = work_ms
        self.spread = spread
        self.failing_share = failing_share
        self.things = things


DESK_KINDS = (
    ModelKind("book", 0.6, 20.0, 0.5, 0.004),
    ModelKind("look", 0.2, 20.0, 0.5, 0.14),
    ModelKind("open", 0.2, 1.0, 0.1, 0.0),
)


class Regression:
    """How the new release is worse: `share` of answers fail or take `factor` times."""

    __slots__ = ("share", "factor", "is_failing", "from_s")

    def __init__(self, share=0.0, factor=1.0, is_failing=False, from_s=0.0):
        self.share = share
        self.factor = factor
        self.is_failing = is_failing
        self.from_s = from_s


class ModelBackend:
    """A backend server of one release."""

    __slots__ = ("name", "service", "release", "is_leaving")

    def __init__(self, name, release):
        self.name = name
        self.service = SERVICE
        self.release = release
        self.is_leaving = False


class ModelDirectory:
    """The backend servers that all instances know."""

    __slots__ = ("by_name",)

    def __init__(self):
        backends = [
            ModelBackend(f"{release}-{index}", release)
            for release in (OLD_RELEASE, NEW_RELEASE)
            for index in range(SERVERS_PER_RELEASE)
        ]
        self.by_name = {backend.name: backend for backend in backends}

    def of_service(self, service):
        """Return all backend servers."""
        return list(self.by_name.values())


class ModelRows:
    """The store's rows that keepers read and write."""

    __slots__ = ("version", "rows_by_table", "on_status")

    def __init__(self):
        self.version = ORDER_VERSION
        self.rows_by_table = {}
        self.on_status = None

    async def write(self, writes):
        """Apply conditional writes; statuses reach all instances a little later."""
        await asyncio.sleep(STORE_DELAY_MS / 1000)
        for each in writes:
            known = self.rows_by_table.get(each.table, {}).get(each.key)
            if each.expected_version != (0 if known is None else known.version):
                return None
        self.version += 1
        for each in writes:
            row = StoredRow(each.key, self.version, each.value, False)
            self.rows_by_table.setdefault(each.table, {})[each.key] = row
            if each.table == STATUS_TABLE:
                self.on_status(each.value, self.version)
        return Committed(self.version, 0.0)

    async def read(self, table, start=""):
        """Return all rows of a table."""
        await asyncio.sleep(STORE_DELAY_MS / 1000)
        rows = list(self.rows_by_table.get(table, {}).values())
        return RowPage(rows, self.version, 0.0, True)


class ModelCodec:
    """Stores statuses as they are."""

    status_table = STATUS_TABLE

    def status_key(self, service):
        """Return the key of a service."""
        return service

    def encode_status(self, status):
        """Return the status itself."""
        return status


class ModelReachability:
    """A store that always answers, on the clock of the loop."""

    outage_start_ms = None

    def store_ms(self, now_ms):
        """Return the same reading."""
        return now_ms


class ModelRequest:
    """What keepers use of a request."""

    __slots__ = ("service", "session", "request_id")

    def __init__(self, request_id):
        self.service = self
        self.session = ""
        self.request_id = request_id

    @property
    def name(self):
        """Return the name of the service."""
        return SERVICE


class ReleaseFleet:
    """Instances that send requests to a service while it is rolled out.

    `exposed` and `requests` count the requests to the new release and all, from the
    order to the end of its duration.
    """

    __slots__ = (
        "loop",
        "keepers",
        "rows",
        "exposed",
        "requests",
        "_clock",
        "_rate_per_s",
        "_kinds",
        "_regression",
        "_random",
        "_directory",
        "_ordered_ms",
        "_ends_ms",
        "_tasks",
    )

    def __init__(self, loop, count, rate_per_s, kinds, regression, seed):
        self.loop = loop
        self.rows = ModelRows()
        self.rows.on_status = self._spread_status
        self.exposed = self.requests = 0
        self._clock = VirtualClock(loop)
        self._rate_per_s = rate_per_s
        self._kinds = kinds
        self._regression = regression
        self._random = random.Random(seed)
        self._directory = ModelDirectory()
        self._ordered_ms = self._ends_ms = float("inf")
        self._tasks = set()
        self.keepers = [self._build_keeper(index, count) for index in range(count)]

    def _build_keeper(self, index, count):
        keeper = ReleaseKeeper(
            f"instance-{index}",
            ReleaseRegistry(EXPOSURE_SHARE),
            self.rows,
            ModelCodec(),
            SessionReleases(SESSION_MS),
            self._directory,
            ModelReachability(),
            self._clock,
            self._random,
        )
        keeper.instance_count = lambda: count
        keeper.request_rate = lambda service: self._rate_per_s / count
        keeper.exposure_slack = EXPOSURE_SLACK
        return keeper

    async def play(self, duration_s):
        """Roll out the new release; return the final state, or None."""
        for keeper in self.keepers:
            self._start(keeper.run())
        self._start(self._send_requests())
        await asyncio.sleep(WARM_UP_S)
        order = ReleaseOrder(SERVICE, NEW_RELEASE, duration_s * 1000, ORDER_VERSION)
        self._ordered_ms = self._clock.now_ms()
        self._ends_ms = self._ordered_ms + order.duration_ms
        for keeper in self.keepers:
            keeper.apply_order(order)
        await asyncio.sleep(duration_s)
        state = self.keepers[0].registry.state(order)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        return None if state is RUNNING else state

    def _start(self, coroutine):
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _spread_status(self, status, version):
        def apply(keeper):
            keeper.status_versions_by_service[SERVICE] = version
            keeper.apply_status(status)

        status.version = version
        for keeper in self.keepers:
            delay_s = self._random.uniform(0.0, RELAY_DELAY_MS) / 1000
            self.loop.call_later(delay_s, apply, keeper)

    async def _send_requests(self):
        number = 0
        while True:
            await asyncio.sleep(self._random.expovariate(self._rate_per_s))
            number += 1
            keeper = self._random.choice(self.keepers)
            shares = [kind.share for kind in self._kinds]
            kind = self._random.choices(self._kinds, shares)[0]
            self._start(self._send(keeper, kind, f"request-{number}"))

    async def _send(self, keeper, kind, request_id):
        request = ModelRequest(request_id)
        thing = self._random.randrange(kind.things)
        fails = thing < kind.failing_share * kind.things
        tried = set()
        for number in range(1, MAX_ATTEMPTS + 1):
            choice = keeper.choose(request)
            backends = choice.select(self._directory.of_service(""))
            backends = [each for each in backends if each.name not in tried]
            backend = self._random.choice(backends)
            tried.add(backend.name)
            new_share = choice.new_share
            if not await self._attempt(keeper, kind, backend, number, new_share, fails):
                return

    async def _attempt(self, keeper, kind, backend, number, new_share, fails):
        """Send one attempt; return whether it failed."""
        started_ms = self._clock.now_ms()
        is_new = backend.release == NEW_RELEASE
        if self._ordered_ms <= started_ms < self._ends_ms:
            self.requests += 1
            self.exposed += is_new
        work_ms = kind.work_ms * self._random.lognormvariate(0.0, kind.spread)
        regression = self._regression
        begins_ms = self._ordered_ms + regression.from_s * 1000
        if (
            is_new
            and started_ms >= begins_ms
            and self._random.random() < regression.share
        ):
            work_ms *= regression.factor
            fails = fails or regression.is_failing
        await asyncio.sleep((work_ms + self._random.choice(NETWORK_MS)) / 1000)
        ended_ms = self._clock.now_ms()
        keeper.observe(
            AttemptResult(
                backend.name,
                SERVICE,
                BACKEND_ERROR if fails else None,
                None,
                started_ms,
                ended_ms,
                ended_ms,
                kind.route,
                None,
                number=number,
                new_share=new_share,
            )
        )
        return fails

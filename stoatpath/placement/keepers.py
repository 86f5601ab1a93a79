"""The controller's task that places versions on the engines of its shards."""

import asyncio
import logging

import aiohttp

from stoatpath.configuration.documents import ACTIVE, WITHDRAWN
from stoatpath.leases.keepers import SHARDS
from stoatpath.outcomes import is_failure
from stoatpath.placement.budgets import LoadBudget
from stoatpath.placement.demand import DemandTracker
from stoatpath.placement.messages import EngineView
from stoatpath.placement.planners import plan_pool
from stoatpath.placement.senders import ORDER_TIMEOUT_MS, OrderSender
from stoatpath.response_handlers import build_connector
from stoatpath.tls import url_scheme
from stoatpath.utils import decode_json, read_at_most

logger = logging.getLogger(__name__)

MIN_PLACEMENT_PERIOD_MS = 1_000
# Assumed bytes of one load report.
BYTES_PER_POLL = 400
POLL_BYTES_PER_S = 8_000
REPORT_TIMEOUT_MS = 1_000
MAX_REPORT_BYTES = 64 * 1024
ENGINE = "engine"
MALFORMED_REPORT_ERRORS = (AttributeError, KeyError, TypeError)


def placement_period_ms(engine_count):
    """Return the period that keeps polling reports within `POLL_BYTES_PER_S`."""
    budget_ms = engine_count * BYTES_PER_POLL / POLL_BYTES_PER_S * 1000
    return max(MIN_PLACEMENT_PERIOD_MS, budget_ms)


class PlacementKeeper:
    """Reads the engines' reports, plans, and sends orders for the changes.

    A pool is the set of engines that serve the same model by the platform's instance
    list; it belongs to one shard. Results are read back in the next round: an order
    that was lost, refused or partly applied is planned again from the engine's report.
    """

    __slots__ = (
        "_node",
        "_clock",
        "_leases",
        "_progress",
        "_sender",
        "_demand_by_pool",
        "_budgets_by_shard",
        "_loads_per_minute",
        "_session",
        "_engine_count",
    )

    def __init__(self, node, leases, progress):
        settings = node.settings
        self._node = node
        self._clock = node.clock
        self._leases = leases
        self._progress = progress
        self._sender = OrderSender(
            node.clock, settings.engines_without_fencing, node.tls.backends
        )
        self._demand_by_pool = {}
        self._budgets_by_shard = {}
        self._loads_per_minute = settings.weight_loads_per_minute
        self._session = None
        self._engine_count = 0

    async def run(self):
        """Plan and send orders periodically until cancelled."""
        connector = build_connector(ssl=self._node.tls.backends or True)
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_MS / 1000)
        try:
            async with aiohttp.ClientSession(
                connector=connector, timeout=timeout
            ) as self._session:
                while True:
                    await self.place()
                    next_ms = self._clock.now_ms() + placement_period_ms(
                        self._engine_count
                    )
                    await self._clock.sleep_until(next_ms)
        finally:
            await self._sender.close()

    async def place(self):
        """Plan and send orders once for every pool whose lease is held here."""
        entries = await self._node.instance_list.read_cached(self._clock.now_ms())
        if is_failure(entries):
            logger.warning("placement.list-failed", extra={"why": entries.detail})
            return
        self._engine_count = 0
        entries_by_pool = {}
        for entry in entries.values():
            if entry.role == ENGINE:
                entries_by_pool.setdefault(entry.serves, []).append(entry)
        for pool, listed in sorted(entries_by_pool.items()):
            lease = self._leases.lease_of(pool)
            if lease.is_held(self._clock.now_ms() + ORDER_TIMEOUT_MS):
                await self._place_pool(pool, listed, lease)

    async def _place_pool(self, pool, listed, lease):
        self._engine_count += len(listed)
        reports = await asyncio.gather(*(self._read_report(entry) for entry in listed))
        engines = [view for view in reports if view is not None]
        model = self._node.follower.snapshot.models_by_name.get(pool)
        if model is None or not engines:
            return
        now_ms = self._clock.now_ms()
        versions = model.by_version.values()
        withdrawn = {each.name for each in versions if each.state == WITHDRAWN}
        accepting = [each.name for each in versions if self._accepts_work(each)]
        tracker = self._demand_by_pool.setdefault(pool, DemandTracker())
        demand_by_version = tracker.update(sorted(accepting), engines, now_ms)
        budget = self._budget(lease.shard)
        plans = plan_pool(
            engines,
            demand_by_version,
            withdrawn,
            budget.available(lease.fencing, now_ms),
        )
        for plan in plans:
            budget.spend(len(plan.versions - plan.engine.ordered))
            await self._send_order(pool, plan, lease)

    def _accepts_work(self, version):
        is_suspended = self._progress.suspensions.is_suspended(version)
        return version.state == ACTIVE and not is_suspended

    async def _send_order(self, pool, plan, lease):
        self._leases.defer_handover(
            lease.shard, self._clock.now_ms() + ORDER_TIMEOUT_MS
        )
        sent = await self._sender.send(plan, lease)
        logger.info(
            "placement.decision",
            extra={
                "pool": pool,
                "engine": plan.engine.name,
                "versions": sorted(plan.versions),
                "why": plan.reason,
                "fencing": lease.fencing,
                "outcome": sent.detail if is_failure(sent) else sent.order_id,
            },
        )

    def _budget(self, shard):
        if shard not in self._budgets_by_shard:
            budget = LoadBudget(self._loads_per_minute, SHARDS)
            self._budgets_by_shard[shard] = budget
        return self._budgets_by_shard[shard]

    async def _read_report(self, entry):
        """Return the view of an engine, or None if its report can't be read."""
        url = f"{url_scheme(self._node.tls.backends)}://{entry.address}/v1/load"
        try:
            async with self._session.get(url) as response:
                body = await read_at_most(response.content, MAX_REPORT_BYTES)
            report = decode_json(body)
            return EngineView.from_report(entry, report)
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            OSError,
            *MALFORMED_REPORT_ERRORS,
        ):
            return None

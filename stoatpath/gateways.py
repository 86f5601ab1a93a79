"""Assembles the router that runs on the users' platform, in one process."""

import asyncio
import logging
import random

from stoatpath.admission.gates import AdmissionGate
from stoatpath.admission.queues import AdmissionQueue
from stoatpath.callers.bodies import BodyReader
from stoatpath.callers.connections import ConnectionLimits
from stoatpath.callers.listeners import Listener
from stoatpath.callers.pipelines import Pipeline
from stoatpath.callers.relays import RelayInterface
from stoatpath.callers.statistics import Durations
from stoatpath.cascades.confidence import ConfidencePlanner, ConfidenceRunner
from stoatpath.clock import Clock
from stoatpath.configuration.route_guards import RouteGuard
from stoatpath.configuration.route_keepers import RouteKeeper
from stoatpath.dispatch.attempt_statistics import AttemptStatistics
from stoatpath.dispatch.attempts import AttemptRunner
from stoatpath.dispatch.relay_policies import RelayPolicy
from stoatpath.dispatch.relay_senders import RelaySender
from stoatpath.dispatch.window_budgets import WindowBudget
from stoatpath.drains import Drain
from stoatpath.explanations.request_logs import RequestLog
from stoatpath.feeds.followers import TableFollower
from stoatpath.feeds.reachability import Reachability
from stoatpath.gateway_metrics import gateway_samples
from stoatpath.membership.directories import BackendDirectory
from stoatpath.metrics import MetricsServer
from stoatpath.outcomes import WRONG_PROCESS, is_failure
from stoatpath.platform import documents, names
from stoatpath.platform.backend_calls import BackendClient, decode_head
from stoatpath.platform.caller_heads import CallerHeads
from stoatpath.platform.row_stores import RowStore
from stoatpath.readiness import ReadyServer
from stoatpath.rollouts.release_keepers import ReleaseKeeper
from stoatpath.rollouts.releases import ReleaseRegistry
from stoatpath.routing.affinity import AffinityChooser
from stoatpath.sessions.releases import SessionReleases
from stoatpath.utils import cancel_and_wait

logger = logging.getLogger(__name__)

# Longest wait of one read for changes, as parts of bounds. Each answer confirms what is
# known, so that keys are served for 0.6 of `revoke_ms`, as long as they are owed, into
# any loss of the store.
OPERATOR_WAIT_PART = 0.3
# A connection that went silent is noticed in time for a roll-back.
STATUS_WAIT_PART = 0.5
# The store's rates are for all instances together; tighter bounds go unmet.
MIN_WAIT_MS = 50
# Nothing is bounded by how old the list of backend servers is while it is quiet.
SERVERS_WAIT_MS = 4_000
# How long changes are gathered before the next read. Entries change in series, while
# fleets start or shrink; this part of `drain_ms` leaves the rest to the read itself.
# Orders and verdicts can't wait.
OPERATOR_GATHER_MS = 200
SERVERS_GATHER_PART = 0.5
STATUS_GATHER_MS = 50
TEND_PERIOD_MS = 250.0
# Of 4,100 descriptors, 200 are for files; the rest go to callers, sends and the store.
MAX_CONNECTIONS = 3_000
# Limits towards callers until a configuration is in force.
FIRST_HEAD_BYTES = 16_384
FIRST_BODY_BYTES = 4_194_304
FIRST_HEAD_TIMEOUT_MS = 3_000
FIRST_IDLE_TIMEOUT_MS = 15_000
MAX_QUEUED = 2_000
# Part of a process's memory that bodies may take while they are read.
BODY_MEMORY_PART = 0.2
BODY_TIMEOUT_MS = 10_000
MEGABYTE = 1_000_000


class Gateway:
    """Everything between a caller and a backend server, on the platform.

    The platform keeps the configuration, the list of backend servers and the state
    of roll-outs; what a process holds it may lose at any time.
    """

    __slots__ = (
        "boot",
        "clock",
        "random",
        "ring",
        "store",
        "reachability",
        "routes",
        "backends",
        "releases",
        "guard",
        "rates",
        "outbox",
        "retry_budget",
        "chooser",
        "backend_client",
        "sender",
        "attempts",
        "attempt_statistics",
        "loop_lag",
        "gate",
        "planner",
        "stages",
        "pipeline",
        "interface",
        "listener",
        "ready_server",
        "metrics",
        "operator_rows",
        "server_rows",
        "status_rows",
        "_tasks",
    )

    def __init__(self, boot, clock, rng):
        self.boot = boot
        self.clock = clock
        self.random = rng
        self.ring = RequestLog(clock)
        self.store = RowStore.from_address(boot.store_address)
        self.reachability = Reachability()
        self.routes = RouteKeeper(documents.decode_route_table)
        self.backends = BackendDirectory(documents.decode_backend, self.reachability)
        self.releases = self._build_releases()
        self._build_followers()
        self.guard = RouteGuard(self.routes, boot.fails_closed, boot.revoke_ms, clock)
        self._build_path()
        self.ready_server = ReadyServer(self.is_ready)
        self.metrics = MetricsServer(lambda: gateway_samples(self))
        self.loop_lag = Durations()
        self._tasks = []

    @classmethod
    def from_boot(cls, boot, clock=None, rng=None):
        """Build a gateway that is not yet started."""
        return cls(boot, clock or Clock(), rng or random.Random())

    def _build_releases(self):
        return ReleaseKeeper(
            self.boot.instance,
            ReleaseRegistry(self.boot.exposure_share),
            self.store,
            documents.StatusCodec(),
            SessionReleases(self.boot.session_ms),
            self.backends,
            self.reachability,
            self.clock,
            self.random,
        )

    def _build_followers(self):
        self.operator_rows = self._follow(names.OPERATOR_TABLE, self._apply_operator)
        self.routes.set_confirmation_source(self.operator_rows.copy)
        self.server_rows = self._follow(names.SERVERS_TABLE, self._apply_servers)
        self.status_rows = self._follow(names.STATUS_TABLE, self._apply_statuses)
        self.status_rows.is_enabled.clear()

    def _follow(self, table, on_changes):
        return TableFollower(
            self.store,
            table,
            *poll_times_by_table(self.boot)[table],
            self.reachability,
            self.clock,
            self.random,
            on_changes,
        )

    def _build_path(self):
        """Build what a request passes through; nothing here bills or limits rates."""
        boot = self.boot
        self.rates = None
        self.outbox = None
        self.retry_budget = WindowBudget(
            boot.retry_ratio, boot.retry_window_ms, boot.retry_slack, self.clock
        )
        self.chooser = AffinityChooser(boot.zone, self.random)
        self.backend_client = BackendClient()
        self.sender = RelaySender(self.clock, self.backend_client, decode_head)
        self.attempts = AttemptRunner(self, self.random, RelayPolicy(self))
        self.attempt_statistics = AttemptStatistics()
        self.attempts.observers += [
            self.attempt_statistics.observe,
            self.chooser.observe,
            self.releases.observe,
            self._observe,
        ]
        self.gate = AdmissionGate(AdmissionQueue(MAX_QUEUED), self.clock)
        self.planner = ConfidencePlanner(self.retry_budget)
        self.stages = ConfidenceRunner(self)
        self.pipeline = Pipeline(self)
        limits = ConnectionLimits(
            MAX_CONNECTIONS,
            FIRST_HEAD_BYTES,
            FIRST_HEAD_TIMEOUT_MS,
            FIRST_IDLE_TIMEOUT_MS,
        )
        body_bytes = int(boot.memory_mb * MEGABYTE * BODY_MEMORY_PART)
        bodies = BodyReader(FIRST_BODY_BYTES, body_bytes, BODY_TIMEOUT_MS)
        self.interface = RelayInterface(self, CallerHeads(), bodies)
        self.listener = Listener(self, self.pipeline, self.interface, limits)
        self.routes.observers.append(self._apply_limits)

    async def start(self, metrics_address=None):
        """Start all tasks and listen."""
        await self.backend_client.start()
        jobs = (
            self.operator_rows.run(),
            self.server_rows.run(),
            self.status_rows.run(),
            self.releases.run(),
            self._tend(),
        )
        self._tasks = [asyncio.create_task(job) for job in jobs]
        for task in self._tasks:
            task.add_done_callback(_fail_loudly)
        await self.listener.start(self.boot.front_address)
        await self.ready_server.start(self.boot.ready_address)
        if metrics_address is not None:
            await self.metrics.start(metrics_address)

    async def stop(self):
        """Stop gracefully within the grace period; return whether nothing was cut."""
        is_clean = await Drain(self).run()
        await self._close()
        return is_clean

    async def kill(self):
        """Stop at once, as a crash would."""
        await self.pipeline.abort()
        await self._close()

    async def _close(self):
        await cancel_and_wait(self._tasks)
        await self.listener.stop()
        await self.ready_server.stop()
        await self.metrics.stop()
        await self.backend_client.close()
        await self.store.close()

    def reload(self, boot):
        """Take changed settings; bounds apply at once, addresses at the next start."""
        changed = [
            name
            for name in boot.__slots__
            if getattr(boot, name) != getattr(self.boot, name)
        ]
        self.boot = boot
        self.guard.set_bounds(boot.fails_closed, boot.revoke_ms)
        self.retry_budget.set_bounds(
            boot.retry_ratio, boot.retry_window_ms, boot.retry_slack
        )
        self.releases.registry.set_exposure(boot.exposure_share)
        times_by_table = poll_times_by_table(boot)
        self.operator_rows.set_times(*times_by_table[names.OPERATOR_TABLE])
        self.server_rows.set_times(*times_by_table[names.SERVERS_TABLE])
        self.status_rows.set_times(*times_by_table[names.STATUS_TABLE])
        logger.info("settings.reloaded", extra={"changed": changed})

    def is_ready(self):
        """Return whether requests can be served: routes fresh, backends known."""
        has_table = self.routes.table is not None
        is_fresh = self.guard.is_fresh or not self.boot.fails_closed
        is_leaving = self.listener.is_leaving
        return has_table and is_fresh and bool(self.backends.by_name) and not is_leaving

    def addresses(self):
        """Return where this process listens, by who reaches it there."""
        return {
            "callers": self.listener.address,
            "ready": self.ready_server.address,
            "metrics": self.metrics.address,
        }

    def pending_work(self):
        """Return what a stop right now would cut."""
        return f"requests in flight: {len(self.listener.open_by_id)}"

    def _apply_operator(self, changes):
        for change in changes:
            if change.row is None:
                continue
            if change.key == names.CONFIG_KEY:
                self.routes.apply(change.row)
            elif documents.rollout_service(change.key) is not None:
                order = documents.decode_order(change.row)
                if is_failure(order):
                    _log_unreadable(change.key, order)
                else:
                    self.releases.apply_order(order)
        self._follow_statuses()

    def _apply_servers(self, changes):
        self.backends.apply(changes, self.clock.now_ms())
        self._set_capacities()

    def _apply_statuses(self, changes):
        for change in changes:
            service = documents.rollout_service(change.key)
            if service is None or change.row is None:
                continue
            self.releases.status_versions_by_service[service] = change.row.version
            status = documents.decode_status(change.row)
            if is_failure(status):
                _log_unreadable(change.key, status)
            else:
                self.releases.apply_status(status)

    def _follow_statuses(self):
        """Follow statuses only while a roll-out is open: reads are priced."""
        if self.releases.registry.open_orders():
            self.status_rows.is_enabled.set()
        else:
            self.status_rows.is_enabled.clear()

    def _observe(self, result):
        if result.reason is WRONG_PROCESS:
            self.backends.remove_reassigned(result.backend)

    def _apply_limits(self, table):
        """Apply the limits of the routes in force to callers."""
        limits = self.listener.limits
        limits.max_head_bytes = table.limits.max_head_bytes
        limits.head_timeout_ms = table.limits.head_timeout_ms
        limits.idle_timeout_ms = table.limits.idle_timeout_ms
        self.interface.bodies.max_bytes = table.limits.max_body_bytes

    async def _tend(self):
        """Do what is due with time rather than with news."""
        while True:
            due_ms = self.clock.now_ms() + TEND_PERIOD_MS
            await self.clock.sleep_until(due_ms)
            self.loop_lag.add(max(0.0, self.clock.now_ms() - due_ms))
            self.backends.expire_lapsed(self.clock.now_ms())
            self.chooser.retain_backends(self.backends.by_name)
            self._set_capacities()
            self._follow_statuses()

    def _set_capacities(self):
        slots_by_service = {}
        for backend in self.backends.by_name.values():
            if not backend.is_leaving:
                slots = slots_by_service.get(backend.service, 0)
                slots_by_service[backend.service] = slots + backend.slots
        self.gate.set_capacities(slots_by_service)


def poll_times_by_table(boot):
    """Return the longest wait for and the gathering of changes, by table, in ms."""
    return {
        names.OPERATOR_TABLE: (
            max(MIN_WAIT_MS, int(OPERATOR_WAIT_PART * boot.revoke_ms)),
            OPERATOR_GATHER_MS,
        ),
        names.SERVERS_TABLE: (SERVERS_WAIT_MS, SERVERS_GATHER_PART * boot.drain_ms),
        names.STATUS_TABLE: (
            max(MIN_WAIT_MS, int(STATUS_WAIT_PART * boot.rollback_ms)),
            STATUS_GATHER_MS,
        ),
    }


def _log_unreadable(key, failure):
    logger.warning("store.row-unreadable", extra={"row": key, "why": failure.detail})


def _fail_loudly(task):
    """Log a task that ended by an error; its work is broken from then on."""
    if not task.cancelled() and task.exception() is not None:
        logger.critical("gateway.task-failed", exc_info=task.exception())

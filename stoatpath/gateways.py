"""Assembles a gateway: the router process that runs on the users' platform."""

import logging
import random

from stoatpath.admission.gates import AdmissionGate
from stoatpath.admission.queues import AdmissionQueue
from stoatpath.backpressure.assemblies import build_send_gate
from stoatpath.backpressure.memory import MemoryAccount
from stoatpath.callers.bodies import BodyReader
from stoatpath.callers.connections import ConnectionLimits
from stoatpath.callers.listeners import Listener
from stoatpath.callers.pipelines import Pipeline
from stoatpath.callers.relays import RelayInterface
from stoatpath.callers.statistics import Durations
from stoatpath.cascades.confidence import ConfidencePlanner, ConfidenceRunner
from stoatpath.clock import Clock
from stoatpath.configuration.operator_rows import OperatorRows
from stoatpath.configuration.route_guards import RouteGuard
from stoatpath.configuration.route_keepers import RouteKeeper
from stoatpath.dispatch.attempt_statistics import AttemptStatistics
from stoatpath.dispatch.attempts import AttemptRunner
from stoatpath.dispatch.extra_work import ExtraWorkLimit
from stoatpath.dispatch.relay_policies import RelayPolicy
from stoatpath.dispatch.relay_senders import RelaySender
from stoatpath.dispatch.window_budgets import WindowBudget
from stoatpath.drains import Drain
from stoatpath.explanations.request_logs import RequestLog
from stoatpath.feeds.followers import TableFollower
from stoatpath.feeds.reachability import Reachability
from stoatpath.feeds.relays import POLL_SHARE, TableRelay
from stoatpath.feeds.sources import SourceSelector
from stoatpath.forwarding.forwarders import Forwarder
from stoatpath.forwarding.partitions import PartitionDetector
from stoatpath.forwarding.peers import Acceptance, PeerFinder
from stoatpath.gateway_metrics import gateway_samples
from stoatpath.membership.directories import BackendDirectory
from stoatpath.membership.gossip import Gossip
from stoatpath.membership.members import MemberTable
from stoatpath.membership.messages import LIVE, Member
from stoatpath.membership.peers import PeerClient, PeerServer, PeerSigner
from stoatpath.metrics import MetricsServer
from stoatpath.outcomes import WRONG_PROCESS, is_failure
from stoatpath.platform import documents, names
from stoatpath.platform.backend_calls import BackendClient, decode_head, name_backend
from stoatpath.platform.caller_heads import CallerHeaderDecoder
from stoatpath.platform.row_stores import RowStore
from stoatpath.quarantine.exchanges import QuarantineExchange
from stoatpath.quarantine.quarantines import QuarantineTable
from stoatpath.quarantine.reporters import CrashReporter
from stoatpath.quarantine.storages import QUARANTINE_TABLE, QuarantineStorage
from stoatpath.readiness import ReadyServer
from stoatpath.replacements import Replacements
from stoatpath.rollouts.release_keepers import ReleaseKeeper
from stoatpath.rollouts.releases import ReleaseRegistry
from stoatpath.routing.affinity import AffinityChooser
from stoatpath.sessions.releases import SessionReleases
from stoatpath.stop_times import StopTimes
from stoatpath.supervisors import Supervisor
from stoatpath.utils import cancel_and_wait
from stoatpath.zones.backends import EligibleBackends
from stoatpath.zones.capacities import slots_by_service

logger = logging.getLogger(__name__)

# Wait of one long poll for statuses, as a share of `rollback_ms`. A read on an
# unresponsive connection then times out in time for a roll-back.
STATUS_WAIT_SHARE = 0.5
# Shares of `revoke_ms`, `evac_ms` and `rollback_ms` within which changes must be known
# everywhere; what follows (requests on their way, further bad answers) needs the rest.
REVOKE_KNOWN_SHARE = 0.5
EVACUATION_KNOWN_SHARE = 0.5
ROLLBACK_KNOWN_SHARE = 0.5
# Lower limit of waits, since all instances share the store's rate limits. Lower bounds
# that need a shorter wait are not met.
MIN_WAIT_MS = 50
# No bound limits the age of the list of backend servers while it does not change.
SERVERS_WAIT_MS = 4_000
# Instances tell each other of quarantines; the store is for those who reach no other.
QUARANTINES_WAIT_MS = 4_000
# Delay between a change and the next read, so that one read returns several changes:
# backend servers change in series while a fleet starts or shrinks. For these it is a
# share of `drain_ms`. The delays of roll-out orders and statuses are short, since these
# are urgent.
OPERATOR_BATCH_DELAY_MS = 200
SERVERS_BATCH_DELAY_SHARE = 0.1
STATUS_BATCH_DELAY_MS = 50
QUARANTINES_BATCH_DELAY_MS = 200
MAINTENANCE_PERIOD_MS = 250.0
# Time that an instance spends on finding others before it reads the store, if all start
# at the same time, which is long before the first request, and otherwise.
FIRST_START_JOIN_MS = 1_500.0
JOIN_MS = 100.0
# A starting instance contacts others more often than in regular gossip rounds.
JOIN_ROUNDS_UNTIL_MS = 4_000.0
JOIN_ROUND_PERIOD_MS = 500.0
# Time after the start from which the number of known members counts as that of all.
MEMBERS_KNOWN_AFTER_MS = 8_000.0
# Changes of members are not urgent: sources are judged by their answers.
GOSSIP_PERIOD_MS = 2_500.0
GATEWAY_ROLE = "gateway"
# A process has 4,100 file descriptors: 200 are for files, and what callers leave is for
# connections to backend servers and the store.
MAX_CONNECTIONS = 3_000
# Limits on callers until the limits of a configuration are in force.
INITIAL_MAX_HEAD_BYTES = 16_384
INITIAL_MAX_BODY_BYTES = 4_194_304
INITIAL_HEAD_TIMEOUT_MS = 3_000
INITIAL_IDLE_TIMEOUT_MS = 15_000
MAX_QUEUED_REQUESTS = 2_000
# Share of the memory for bytes that are held for others. While these are written, a
# connection may have a copy; the process itself takes 45 MB.
HELD_MEMORY_SHARE = 0.25
BODY_TIMEOUT_MS = 10_000
BYTES_PER_MB = 1_000_000


class Gateway:
    """A reverse proxy between callers and backend servers; its state is in the store.

    The platform stores the configuration, the list of backend servers and the state
    of roll-outs; a gateway only holds copies in memory and may stop at any time.
    """

    __slots__ = (
        "boot",
        "clock",
        "random",
        "ring",
        "store",
        "store_era",
        "reachability",
        "routes",
        "backends",
        "eligible",
        "operator_orders",
        "releases",
        "guard",
        "stop_times",
        "rates",
        "outbox",
        "retry_budget",
        "extra_work",
        "chooser",
        "backend_client",
        "send_gate",
        "quarantine",
        "quarantine_exchange",
        "quarantine_storage",
        "crash_reporter",
        "partitions",
        "peer_finder",
        "forwarder",
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
        "memory",
        "ready_server",
        "metrics",
        "operator_rows",
        "server_rows",
        "status_rows",
        "quarantine_rows",
        "members",
        "peer_server",
        "peer_client",
        "gossip",
        "tables",
        "supervisor",
        "replacements",
        "_members_known_at_ms",
        "_tasks",
    )

    def __init__(self, boot, clock, rng, extra_work_share=0.0):
        self.boot = boot
        self.clock = clock
        self.extra_work = ExtraWorkLimit(extra_work_share, clock)
        self.random = rng
        self.ring = RequestLog(clock)
        self.store = RowStore.from_address(boot.store_address)
        self.store_era = 0
        self.reachability = Reachability()
        self.routes = RouteKeeper(documents.RouteTableDecoder().decode)
        self.backends = BackendDirectory(documents.decode_backend, self.reachability)
        self.eligible = EligibleBackends.from_boot(boot, self.backends, clock)
        self.releases = self._build_releases()
        self.operator_orders = OperatorRows(
            self.routes, self.releases, self.eligible.evacuations, clock
        )
        self.quarantine = QuarantineTable(self.clock)
        self.quarantine_storage = QuarantineStorage(
            self.quarantine, self.store, self.reachability, self.clock
        )
        self._build_followers()
        self._build_peers()
        self.stop_times = StopTimes()
        self.guard = RouteGuard(
            self.routes, boot.fails_closed, boot.revoke_ms, boot.has_keys, clock
        )
        self._build_request_path()
        self.ready_server = ReadyServer(self.is_ready)
        self.metrics = MetricsServer(lambda: gateway_samples(self))
        self.loop_lag = Durations()
        self._tasks = []

    @classmethod
    def from_boot(cls, boot, clock=None, rng=None, extra_work_share=0.0):
        """Build a gateway that is not yet started."""
        return cls(boot, clock or Clock(), rng or random.Random(), extra_work_share)

    def _build_releases(self):
        return ReleaseKeeper(
            self.boot.instance,
            ReleaseRegistry(self.boot.exposure_share),
            self.store,
            documents.StatusCodec(),
            SessionReleases(self.boot.session_ms),
            self.eligible,
            self.reachability,
            self.clock,
            self.random,
        )

    def _build_followers(self):
        self.operator_rows = self._build_follower(
            names.OPERATOR_TABLE, self._apply_operator_rows
        )
        self.routes.set_confirmation_source(self.operator_rows.copy)
        self.server_rows = self._build_follower(
            names.SERVERS_TABLE, self._apply_server_rows
        )
        self.status_rows = self._build_follower(
            names.STATUS_TABLE, self._apply_status_rows
        )
        self.quarantine_rows = self._build_follower(
            QUARANTINE_TABLE, self.quarantine_storage.apply
        )

    def _build_peers(self):
        """Build what instances tell each other; they are on a network of their own."""
        boot = self.boot
        signer = PeerSigner({})
        self.peer_server = PeerServer(signer, self.clock)
        self.peer_client = PeerClient(signer, self.clock)
        incarnation = self.clock.wall_ms()
        self.members = MemberTable(
            Member(
                boot.instance,
                GATEWAY_ROLE,
                boot.peer_address,
                boot.zone,
                incarnation,
                LIVE,
            )
        )
        self.gossip = Gossip(
            self.members,
            self.peer_client,
            self.peer_server,
            self.clock,
            self.random,
            push_period_ms=GOSSIP_PERIOD_MS,
            period_ms=GOSSIP_PERIOD_MS,
        )
        seeds = [seed for seed in boot.peer_seeds if seed != boot.peer_address]
        self.gossip.contacts.add_seed_addresses(seeds)
        self.supervisor = Supervisor(self.clock, self.random)
        self.replacements = Replacements(self, self.is_ready, self.random)
        self._members_known_at_ms = self.clock.now_ms() + MEMBERS_KNOWN_AFTER_MS
        join_ms = FIRST_START_JOIN_MS if boot.is_first_start else JOIN_MS
        self.tables = TableRelay(
            {
                names.OPERATOR_TABLE: self.operator_rows,
                names.SERVERS_TABLE: self.server_rows,
                names.STATUS_TABLE: self.status_rows,
                QUARANTINE_TABLE: self.quarantine_rows,
            },
            names.OPERATOR_TABLE,
            knowledge_bound_ms(boot),
            self.clock.now_ms() + (join_ms if seeds else 0.0),
            SourceSelector(self.members),
            self.members,
            self.peer_client,
            self.peer_server,
            self.reachability,
            self.clock,
            self.random,
            self.releases.shared_sessions,
        )
        self.tables.set_enabled(names.STATUS_TABLE, False)
        self.store.on_era_change = self._handle_era_change
        self.tables.on_era_change = self._handle_era_change
        self.releases.reads_store = lambda: self.tables.is_reading_store
        self.releases.instance_count = self._instance_count
        self.releases.exposure_slack = boot.exposure_slack

    def _handle_era_change(self, era):
        """Prepare for rows of a store that came back from an older copy."""
        if era <= self.store_era:
            return
        self.store_era = era
        self.reachability.record_era_change(self.clock.now_ms())
        services = self.releases.restore_statuses()
        logger.warning(
            "tables.era-changed", extra={"era": era, "statuses": sorted(services)}
        )

    def _instance_count(self):
        """Return the number of instances, None until all can be known here."""
        if self.clock.now_ms() < self._members_known_at_ms:
            return None
        return 1 + len(self.members.by_name)

    def _build_follower(self, table, on_changes):
        return TableFollower(
            self.store,
            table,
            *poll_times_by_table(self.boot)[table],
            self.reachability,
            self.clock,
            self.random,
            on_changes,
        )

    def _build_request_path(self):
        """Build what handles a request; a gateway neither bills nor limits rates."""
        boot = self.boot
        self.rates = None
        self.outbox = None
        self.retry_budget = WindowBudget(
            boot.retry_ratio, boot.retry_window_ms, boot.retry_slack, self.clock
        )
        self.chooser = AffinityChooser(boot.zone, self.random)
        self.tables.fleet_loads = self.chooser.share_loads(boot.instance, self.backends)
        self.backend_client = BackendClient()
        held_bytes = int(boot.memory_mb * BYTES_PER_MB * HELD_MEMORY_SHARE)
        self.memory = MemoryAccount(held_bytes)
        self.send_gate = build_send_gate(self)
        self._build_quarantine()
        self._build_forwarding()
        self.sender = RelaySender(
            self.clock,
            self.backend_client,
            decode_head,
            name_backend,
            self.send_gate,
            self.quarantine_exchange.record_answered,
            self.eligible.check_send,
            self.memory,
            self.stop_times,
        )
        self.attempts = AttemptRunner(self, self.random, RelayPolicy(self))
        self.attempts.abandoned_observers.append(self.crash_reporter.observe)
        self.attempt_statistics = AttemptStatistics()
        self.attempts.observers += [
            self.attempt_statistics.observe,
            self.chooser.observe,
            self.releases.observe,
            self._remove_reassigned,
            self.crash_reporter.observe,
            self.partitions.observe,
            self.send_gate.observe_result,
        ]
        self.gate = AdmissionGate(AdmissionQueue(MAX_QUEUED_REQUESTS), self.clock)
        self.releases.request_rate = self.retry_budget.request_rate
        self.planner = ConfidencePlanner(self.retry_budget)
        self.stages = ConfidenceRunner(self)
        self.pipeline = Pipeline(self)
        limits = ConnectionLimits(
            MAX_CONNECTIONS,
            INITIAL_MAX_HEAD_BYTES,
            INITIAL_HEAD_TIMEOUT_MS,
            INITIAL_IDLE_TIMEOUT_MS,
        )
        bodies = BodyReader(INITIAL_MAX_BODY_BYTES, self.memory, BODY_TIMEOUT_MS)
        self.interface = RelayInterface(self, CallerHeaderDecoder(), bodies)
        self.listener = Listener(self, self.pipeline, self.interface, limits)
        self.memory.sources.append(self.listener.waiting_bytes)
        self.routes.observers.append(self._apply_route_limits)

    def _build_forwarding(self):
        """Build what sends requests through others if no backend server is reached."""
        self.partitions = PartitionDetector(
            self.eligible,
            self.backend_client.is_reachable,
            self.clock,
            self.random,
        )
        self.peer_finder = PeerFinder(
            self.partitions,
            self.members,
            self.peer_client,
            self.peer_server,
            self._acceptance,
            self.clock,
            self.random,
        )
        self.peer_finder.drained_zones = self.eligible.evacuations.drained_zones
        self.forwarder = Forwarder(
            self, self.peer_finder, self.backend_client, decode_head
        )

    def _acceptance(self):
        """Return until when this instance takes requests that others forward."""
        return Acceptance(
            self.listener.address,
            self.stop_times.accept_until_ms,
            self.stop_times.accept_all_until_ms,
        )

    def _build_quarantine(self):
        """Build what keeps requests with harmful content from backend servers."""
        self.quarantine_exchange = QuarantineExchange(
            self.quarantine,
            self.members,
            self.peer_client,
            self.peer_server,
            self.clock,
            self.random,
        )
        self.quarantine_exchange.on_decision = self.quarantine_storage.save
        self.gossip.add_topic(self.quarantine_exchange)
        self.crash_reporter = CrashReporter(
            self.backends,
            self.backend_client.is_reachable,
            self.quarantine_exchange.report,
            self.clock,
            self.random,
        )

    async def start(self, metrics_address=None):
        """Start all tasks and listen."""
        await self.backend_client.start()
        await self.peer_server.start(self.boot.peer_address)
        self.members.local.address = self.peer_server.address
        runs_by_name = {
            "gossip": self._run_gossip,
            "tables": self.tables.run,
            "operator-rows": self.operator_rows.run,
            "server-rows": self.server_rows.run,
            "status-rows": self.status_rows.run,
            "quarantine-rows": self.quarantine_rows.run,
            "releases": self.releases.run,
            "maintenance": self._run_maintenance,
            "replacements": self.replacements.run,
        }
        self._tasks = self.supervisor.start(runs_by_name)
        await self.listener.start(self.boot.front_address)
        await self.ready_server.start(self.boot.ready_address)
        if metrics_address is not None:
            await self.metrics.start(metrics_address)

    async def stop(self):
        """Stop gracefully; return whether all requests ended in the grace period."""
        self.members.leave()
        self.tables.announce_leaving()
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
        await self.attempts.close()
        await self.send_gate.close()
        await self.peer_finder.close()
        await self.partitions.close()
        await self.crash_reporter.close()
        await self.quarantine_exchange.close()
        await self.quarantine_storage.close()
        await self.backend_client.close()
        await self.peer_server.stop()
        await self.peer_client.close()
        await self.store.close()

    def reload(self, boot):
        """Apply new settings: bounds at once, addresses only at the next start."""
        changed = [
            name
            for name in boot.__slots__
            if getattr(boot, name) != getattr(self.boot, name)
        ]
        self.boot = boot
        self.guard.set_bounds(boot.fails_closed, boot.revoke_ms, boot.has_keys)
        self.retry_budget.set_bounds(
            boot.retry_ratio, boot.retry_window_ms, boot.retry_slack
        )
        self.eligible.filter.set_regions(boot.regions_by_zone, boot.region)
        self.releases.registry.set_exposure(boot.exposure_share)
        self.releases.exposure_slack = boot.exposure_slack
        self.send_gate.cold.set_bound(boot.cold_factor, boot.cold_slack)
        self.tables.set_bound(knowledge_bound_ms(boot))
        times_by_table = poll_times_by_table(boot)
        self.operator_rows.set_times(*times_by_table[names.OPERATOR_TABLE])
        self.server_rows.set_times(*times_by_table[names.SERVERS_TABLE])
        self.status_rows.set_times(*times_by_table[names.STATUS_TABLE])
        self.quarantine_rows.set_times(*times_by_table[QUARANTINE_TABLE])
        logger.info("settings.reloaded", extra={"changed": changed})

    def is_ready(self):
        """Return whether the platform may send requests.

        Backends must be known and the gateway not leaving; routes must be fresh if
        the settings say `fail_closed`. A gateway that reaches no backend server isn't
        ready while others are at hand that do.
        """
        has_table = self.routes.table is not None
        is_fresh = self.guard.is_fresh or not self.boot.fails_closed
        is_leaving = self.listener.is_leaving or self.replacements.is_yielding
        has_backends = bool(self.backends.by_name) and not self._is_partitioned()
        return has_table and is_fresh and has_backends and not is_leaving

    def _is_partitioned(self):
        """Return whether peers reach all services, and this instance none."""
        services = self.eligible.services()
        return bool(services) and all(map(self.peer_finder.can_forward, services))

    def addresses(self):
        """Return the listening addresses by the kind of client."""
        return {
            "callers": self.listener.address,
            "ready": self.ready_server.address,
            "metrics": self.metrics.address,
        }

    def pending_work(self):
        """Describe the work that stopping now would cut off."""
        return f"requests in flight: {len(self.listener.open_by_id)}"

    def _apply_operator_rows(self, changes):
        if self.operator_orders.apply(changes):
            self._update_capacities()
        self._update_status_polling()

    def _apply_server_rows(self, changes):
        self.backends.apply(changes, self.clock.now_ms())
        self._update_capacities()

    def _apply_status_rows(self, changes):
        for change in changes:
            service = documents.parse_rollout_key(change.key)
            if service is None:
                continue
            if change.row is None:
                self.releases.status_versions_by_service.pop(service, None)
                continue
            self.releases.record_status_row(service, change.row.version)
            status = documents.decode_status(change.row)
            if is_failure(status):
                _log_unreadable(change.key, status)
            else:
                self.releases.apply_status(status)

    def _update_status_polling(self):
        """Poll statuses only while a roll-out is open, since each read has a price.

        Others copy the table from here, so a status that was written again is read.
        """
        has_open_orders = bool(self.releases.registry.open_orders())
        is_polled = has_open_orders or self.releases.has_unread_statuses
        self.tables.set_enabled(names.STATUS_TABLE, is_polled)

    def _remove_reassigned(self, result):
        if result.reason is WRONG_PROCESS:
            self.backends.remove_reassigned(result.backend)

    def _apply_route_limits(self, table):
        """Apply the caller limits of the route table in force."""
        limits = self.listener.limits
        limits.max_head_bytes = table.limits.max_head_bytes
        limits.head_timeout_ms = table.limits.head_timeout_ms
        limits.idle_timeout_ms = table.limits.idle_timeout_ms
        self.interface.bodies.max_bytes = table.limits.max_body_bytes

    async def _run_gossip(self):
        """Find the other instances quickly, then gossip at the regular pace."""
        join_ends_ms = self.clock.now_ms() + JOIN_ROUNDS_UNTIL_MS
        while self.boot.peer_seeds and self.clock.now_ms() < join_ends_ms:
            due_ms = self.clock.now_ms() + JOIN_ROUND_PERIOD_MS
            await self.gossip.run_round()
            await self.clock.sleep_until(due_ms)
        await self.gossip.run()

    async def _run_maintenance(self):
        """Do periodic work, and measure by how much the timer is late."""
        while True:
            due_ms = self.clock.now_ms() + MAINTENANCE_PERIOD_MS
            await self.clock.sleep_until(due_ms)
            self.loop_lag.add(max(0.0, self.clock.now_ms() - due_ms))
            self.backends.expire_lapsed(self.clock.now_ms())
            self.chooser.retain_backends(self.backends.by_name)
            self.send_gate.retain_backends(self.backends.by_name)
            self._update_capacities()
            self._update_status_polling()

    def _update_capacities(self):
        self.gate.set_capacities(slots_by_service(self.eligible, self.send_gate))
        if self.eligible.evacuations.has_any():
            self.gate.refuse_waiting(self.eligible.build_waiting_check())


def knowledge_bound_ms(boot):
    """Return the time within which every instance must know a change in the store."""
    return min(
        boot.config_ms,
        boot.drain_ms,
        REVOKE_KNOWN_SHARE * boot.revoke_ms,
        EVACUATION_KNOWN_SHARE * (boot.evacuation_ms or float("inf")),
        ROLLBACK_KNOWN_SHARE * boot.rollback_ms,
    )


def poll_times_by_table(boot):
    """Return the long-poll wait and the batch delay of each table, in ms."""
    return {
        names.OPERATOR_TABLE: (
            max(MIN_WAIT_MS, int(POLL_SHARE * knowledge_bound_ms(boot))),
            OPERATOR_BATCH_DELAY_MS,
        ),
        names.SERVERS_TABLE: (
            SERVERS_WAIT_MS,
            SERVERS_BATCH_DELAY_SHARE * boot.drain_ms,
        ),
        names.STATUS_TABLE: (
            max(MIN_WAIT_MS, int(STATUS_WAIT_SHARE * boot.rollback_ms)),
            STATUS_BATCH_DELAY_MS,
        ),
        QUARANTINE_TABLE: (QUARANTINES_WAIT_MS, QUARANTINES_BATCH_DELAY_MS),
    }


def _log_unreadable(key, failure):
    logger.warning("store.row-unreadable", extra={"row": key, "why": failure.detail})

"""Assembles one router process from its components."""

import math
import random

from stoatpath.admission.exchanges import RateExchange
from stoatpath.admission.gates import AdmissionGate
from stoatpath.admission.queues import AdmissionQueue
from stoatpath.admission.rates import RateLimits
from stoatpath.backpressure.exchanges import PermitExchange
from stoatpath.backpressure.gates import SendGate
from stoatpath.backpressure.hold_offs import HoldOffs
from stoatpath.backpressure.limits import LimitTable
from stoatpath.backpressure.shares import SlotShares
from stoatpath.billing.holders import MirrorHolder
from stoatpath.billing.ledgers import LedgerWriter
from stoatpath.billing.messages import Source
from stoatpath.billing.mirrors import Mirror
from stoatpath.billing.outboxes import Outbox
from stoatpath.callers.listeners import Listener
from stoatpath.callers.pipelines import Pipeline
from stoatpath.cascades.estimates import Estimates
from stoatpath.cascades.planners import Planner
from stoatpath.cascades.raters import Rater
from stoatpath.cascades.runners import StageRunner
from stoatpath.clock import Clock
from stoatpath.configuration.guards import FreshnessGuard
from stoatpath.dispatch.attempts import AttemptRunner
from stoatpath.dispatch.connections import accepts_connections
from stoatpath.dispatch.retries import RetryBudget
from stoatpath.dispatch.senders import Sender
from stoatpath.explanations.finders import ExplanationFinder
from stoatpath.explanations.rings import DecisionRing
from stoatpath.idempotency.claims import ClaimKeeper
from stoatpath.idempotency.retention import ClaimSweeper
from stoatpath.lookups.answer_caches import AnswerCache
from stoatpath.membership.backends import BackendServers
from stoatpath.membership.watchers import BackendWatcher
from stoatpath.metric_sources import router_samples
from stoatpath.metrics import MetricsServer
from stoatpath.nodes import Node
from stoatpath.quarantine.exchanges import QuarantineExchange
from stoatpath.quarantine.quarantines import QuarantineTable
from stoatpath.quarantine.reporters import CrashReporter
from stoatpath.replacements import Replacements
from stoatpath.rollouts.assigners import VersionAssigner
from stoatpath.rollouts.nodes import RolloutNode, RolloutSampling
from stoatpath.routing.choosers import LeastTimeChooser
from stoatpath.services.ratings import RatingService
from stoatpath.sessions.archives import PinArchive
from stoatpath.sessions.directories import PinDirectory
from stoatpath.sessions.tokens import TokenSigner
from stoatpath.shutdowns import PendingWork, Shutdown
from stoatpath.utils import cancel_and_wait

CAPACITY_UPDATE_PERIOD_MS = 250
CLEANUP_PERIOD_MS = 15_000
ROUTER = "router"


class Router:
    """A reverse proxy that routes requests of callers to backend servers."""

    __slots__ = (
        "settings",
        "clock",
        "node",
        "follower",
        "ring",
        "ratings",
        "claims",
        "sweeper",
        "ledger",
        "outbox",
        "holder",
        "backends",
        "watcher",
        "chooser",
        "gate",
        "rates",
        "rate_exchange",
        "rollouts",
        "assigner",
        "sampling",
        "guard",
        "estimates",
        "planner",
        "answer_cache",
        "rater",
        "archive",
        "pins",
        "explanations",
        "stages",
        "attempts",
        "sender",
        "retry_budget",
        "send_gate",
        "quarantine",
        "quarantine_exchange",
        "crash_reporter",
        "pipeline",
        "listener",
        "metrics",
        "replacements",
        "_tasks",
    )

    def __init__(self, settings, clock):
        rng = random.Random()
        self.settings = settings
        self.clock = clock
        self.node = Node.from_settings(settings, ROUTER, clock)
        self.follower = self.node.follower
        self.ring = DecisionRing(clock)
        self.ratings = RatingService.from_url(
            settings.ratings_url, self.node.tls.platform
        )
        self.claims = ClaimKeeper(self.node.table, clock, rng)
        self.sweeper = self._build_sweeper()
        self.ledger = LedgerWriter(self.node.table)
        self.outbox = self._build_outbox()
        self.holder = MirrorHolder(
            self.ledger,
            self.node.members,
            self.node.peer_client,
            self.node.peer_server,
            clock,
        )
        self.backends = BackendServers(settings.name)
        self.watcher = BackendWatcher(
            self.backends, self.node.instance_list, clock, self.node.tls.backends
        )
        self.chooser = LeastTimeChooser(settings.zone, rng)
        self.gate = AdmissionGate(AdmissionQueue(settings.max_queued_requests), clock)
        self.rollouts = RolloutNode(self.node)
        self.assigner = VersionAssigner(self.rollouts.progress, self.follower)
        self.sampling = RolloutSampling(self.node, self.assigner, self.ratings)
        self.guard = FreshnessGuard(
            self.follower, self.assigner, self.node.gossip.contacts, settings, clock
        )
        self.estimates = Estimates()
        self.planner = Planner(self.estimates, rng)
        self.answer_cache = AnswerCache()
        self.rater = Rater(self.ratings, self.estimates, clock)
        self.rates = RateLimits()
        self.rate_exchange = RateExchange(self.rates, self.node, rng)
        self.archive = PinArchive(self.node.table, self.follower, clock)
        self.pins = PinDirectory(
            self.node, TokenSigner(settings.session_keys), self.archive
        )
        self.explanations = ExplanationFinder(self.node, self.ring)
        self.retry_budget = RetryBudget()
        self.send_gate = self._build_send_gate(rng)
        self.sender = Sender(
            clock,
            settings.between_bytes_timeout_ms,
            self.send_gate,
            self.node.tls.backends,
        )
        self.attempts = AttemptRunner(self, rng)
        self._build_quarantine(rng)
        self.attempts.observers += [
            self.chooser.breakers.observe,
            self.quarantine_exchange.observe,
            self.crash_reporter.observe,
        ]
        self.attempts.abandoned_observers.append(self.crash_reporter.observe)
        self.stages = StageRunner(self)
        self.pipeline = Pipeline(self)
        self.listener = Listener(self, self.pipeline)
        self.metrics = MetricsServer(lambda: router_samples(self))
        self.replacements = Replacements(self.node, self.is_ready, rng)
        self._tasks = []

    @classmethod
    def from_settings(cls, settings, clock=None):
        """Build a router that is not yet started."""
        return cls(settings, clock or Clock())

    @property
    def address(self):
        """Return the address for callers as `host:port`."""
        return self.listener.address

    async def start(self):
        """Start all tasks and listen."""
        await self.sender.start()
        await self.node.start()
        await self.node.wait_for_peers()
        self.rate_exchange.count_instances()
        await self.pins.hand_over()
        await self.rollouts.read()
        runs_by_name = {
            "backends": self.watcher.run,
            "claims": self.claims.run,
            "sweeper": self.sweeper.run,
            "billing": self.outbox.run,
            "mirrors": self.holder.run,
            "rates": self.rate_exchange.run,
            "answers": self.archive.run,
            "pins": self.pins.run,
            "capacities": self._run_capacity_updates,
            "cleanup": self._run_cleanup,
            "rollouts": self.rollouts.run,
            "ratings": self.sampling.reporter.run,
            "replacements": self.replacements.run,
        }
        self._tasks = self.node.supervisor.start(runs_by_name)
        await self.metrics.start(self.settings.metrics_listen_address)
        await self.listener.start(self.settings.listen_address)

    async def stop(self):
        """Stop gracefully; return whether all work was finished."""
        is_clean = await Shutdown(self).run()
        await self._close()
        return is_clean

    def is_ready(self):
        """Return whether requests can be served: known routes and backend slots.

        A router whose tasks keep failing is not ready while others are.
        """
        has_backends = any(each.slots for each in self.backends.by_name.values())
        is_known = self.follower.snapshot.revision > 0 and has_backends
        return is_known and not self.replacements.is_yielding

    def addresses(self):
        """Return the listening addresses by the kind of client."""
        return {
            "callers": self.listener.address,
            "peers": self.node.peer_server.address,
            "metrics": self.metrics.address,
        }

    def pending_work(self):
        """Return the work that stopping now would cut off or lose."""
        return PendingWork(
            list(self.listener.open_by_id),
            len(self.pins.store),
            self.outbox.unwritten_count(),
        )

    async def kill(self):
        """Stop at once, as a crash would."""
        await cancel_and_wait(self._tasks)
        await self.pipeline.abort()
        await self._close()

    async def _close(self):
        await self.listener.stop()
        await self.metrics.stop()
        await self.pins.close()
        await cancel_and_wait(self._tasks)
        await self.sampling.sampler.stop()
        await self.rollouts.broadcaster.stop()
        await self.attempts.close()
        await self.send_gate.close()
        await self.crash_reporter.close()
        await self.quarantine_exchange.close()
        await self.sender.close()
        await self.rater.close()
        await self.ratings.connection.close()
        await self.node.stop()

    async def _run_capacity_updates(self):
        while True:
            self.gate.set_capacities(self._slots_by_pool())
            await self.clock.sleep_until(
                self.clock.now_ms() + CAPACITY_UPDATE_PERIOD_MS
            )

    async def _run_cleanup(self):
        """Close unused connections; drop the state of removed servers and versions."""
        while True:
            await self.clock.sleep_until(self.clock.now_ms() + CLEANUP_PERIOD_MS)
            await self.sender.close_unused()
            self.chooser.breakers.retain_backends(self.backends.by_name)
            self.send_gate.retain_backends(self.backends.by_name)
            snapshot = self.follower.snapshot
            known = {*snapshot.versions_by_name, *snapshot.services_by_name}
            self.estimates.retain_only(known)

    def _build_send_gate(self, rng):
        limits = LimitTable()
        node = self.node
        permits = PermitExchange(
            limits, node.members, node.peer_client, node.peer_server, self.clock
        )
        gate = SendGate(
            limits, permits, HoldOffs(rng), SlotShares(node.members, rng), self.clock
        )
        gate.on_hold_off = self.chooser.breakers.hold_open
        return gate

    def _build_quarantine(self, rng):
        """Build what keeps requests that end backend servers from others."""
        node = self.node
        self.quarantine = QuarantineTable(self.clock)
        self.quarantine_exchange = QuarantineExchange(
            self.quarantine,
            node.members,
            node.peer_client,
            node.peer_server,
            self.clock,
            rng,
        )
        node.gossip.add_topic(self.quarantine_exchange)
        self.crash_reporter = CrashReporter(
            self.backends,
            accepts_connections,
            self.quarantine_exchange.report,
            self.clock,
            rng,
        )

    def _build_outbox(self):
        node = self.node
        source = Source(self.settings.name, node.incarnation)
        mirror = Mirror(source, node.members, node.peer_client, self.clock)
        period_ms = self.settings.billing_flush_period_ms
        return Outbox(self.ledger, mirror, source, self.clock, period_ms)

    def _build_sweeper(self):
        return ClaimSweeper(
            self.node.table,
            self.clock,
            self.settings.name,
            self.settings.claim_answer_retention_ms,
            lambda: list(self.follower.snapshot.organisations_by_name),
            lambda: self.node.members.live_names(ROUTER),
        )

    def _slots_by_pool(self):
        slots_by_pool = {}
        for backend in self.backends.by_name.values():
            if backend.is_leaving:
                continue
            for pool in backend.versions or (backend.service,):
                slots = backend.slots * backend.weight
                slots_by_pool[pool] = slots_by_pool.get(pool, 0) + slots
        router_count = max(1, len(self.node.members.live_names(ROUTER)))
        return {
            pool: math.ceil(slots / router_count)
            for pool, slots in slots_by_pool.items()
        }

"""Assembles one router process from its slices."""

import asyncio
import math
import random

from stoatpath.admission.gates import AdmissionGate
from stoatpath.admission.queues import AdmissionQueue
from stoatpath.billing.outboxes import Outbox
from stoatpath.callers.listeners import Listener
from stoatpath.callers.pipelines import Pipeline
from stoatpath.cascades.planners import Planner, QualityEstimates
from stoatpath.cascades.runners import StageRunner
from stoatpath.clock import Clock
from stoatpath.configuration.guards import FreshnessGuard
from stoatpath.dispatch.attempts import AttemptRunner
from stoatpath.dispatch.retries import RetryBudget
from stoatpath.dispatch.senders import Sender
from stoatpath.explanations.rings import DecisionRing
from stoatpath.idempotency.claims import ClaimKeeper
from stoatpath.membership.backends import BackendServers
from stoatpath.membership.watchers import BackendWatcher
from stoatpath.nodes import Node
from stoatpath.platform.ratings import RatingService
from stoatpath.rollouts.assigners import VersionAssigner
from stoatpath.rollouts.nodes import RolloutNode, RolloutSampling
from stoatpath.routing.choosers import Chooser
from stoatpath.sessions.pins import SessionPins
from stoatpath.sessions.tokens import TokenSigner
from stoatpath.utils import cancel_and_wait

CAPACITY_PERIOD_MS = 250
TRIM_PERIOD_MS = 15_000
ROUTER = "router"


class Router:
    """Everything between a caller and a backend server, in one process."""

    __slots__ = (
        "settings",
        "clock",
        "node",
        "follower",
        "ring",
        "ratings",
        "claims",
        "outbox",
        "backends",
        "watcher",
        "chooser",
        "gate",
        "rollouts",
        "assigner",
        "sampling",
        "guard",
        "estimates",
        "planner",
        "pins",
        "stages",
        "attempts",
        "sender",
        "retry_budget",
        "listener",
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
        self.claims = ClaimKeeper(self.node.table)
        self.outbox = Outbox(
            self.node.table, clock, settings.name, self.node.incarnation
        )
        self.backends = BackendServers(settings.name)
        self.watcher = BackendWatcher(
            self.backends, self.node.instance_list, clock, self.node.tls.backends
        )
        self.chooser = Chooser(settings.zone, rng)
        self.gate = AdmissionGate(AdmissionQueue(settings.max_queued_requests), clock)
        self.rollouts = RolloutNode(self.node)
        self.assigner = VersionAssigner(self.rollouts.progress, self.follower)
        self.sampling = RolloutSampling(self.node, self.assigner, self.ratings)
        self.guard = FreshnessGuard(
            self.follower, self.assigner, self.node.gossip.contacts, settings, clock
        )
        self.estimates = QualityEstimates()
        self.planner = Planner(self.estimates)
        self.pins = SessionPins(TokenSigner(settings.session_keys))
        self.sender = Sender(
            clock, settings.between_bytes_timeout_ms, self.node.tls.backends
        )
        self.retry_budget = RetryBudget()
        self.attempts = AttemptRunner(self, rng)
        self.stages = StageRunner(self)
        self.listener = Listener(self, Pipeline(self))
        self._tasks = []

    @classmethod
    def from_settings(cls, settings, clock=None):
        """Build a router that is not yet started."""
        return cls(settings, clock or Clock())

    @property
    def address(self):
        """Return where callers reach this router, as `host:port`."""
        return self.listener.address

    async def start(self):
        """Start all tasks and listen."""
        await self.sender.start()
        await self.node.start()
        await self.rollouts.read()
        jobs = (
            self.watcher.run(),
            self.claims.run(),
            self.outbox.run(),
            self._keep_capacities(),
            self._trim_connections(),
            self.rollouts.run(),
            self.sampling.reporter.run(),
        )
        self._tasks = [asyncio.create_task(job) for job in jobs]
        await self.listener.start(self.settings.listen_address)

    async def stop(self):
        """Stop gracefully: finish every request, write every record."""
        self.node.members.leave()
        self.listener.is_closing = True
        await self.listener.drain()
        await self.outbox.flush()
        await self._close()

    async def kill(self):
        """Stop at once, as a crash would."""
        await cancel_and_wait(self._tasks)
        await self._close()

    async def _close(self):
        await self.listener.stop()
        await cancel_and_wait(self._tasks)
        await self.sampling.sampler.stop()
        await self.rollouts.spreader.stop()
        await self.sender.close()
        await self.ratings.connection.close()
        await self.node.stop()

    async def _keep_capacities(self):
        while True:
            self.gate.set_capacities(self._slots_by_pool())
            await self.clock.sleep_until(self.clock.now_ms() + CAPACITY_PERIOD_MS)

    async def _trim_connections(self):
        while True:
            await self.clock.sleep_until(self.clock.now_ms() + TRIM_PERIOD_MS)
            await self.sender.trim()

    def _slots_by_pool(self):
        slots_by_pool = {}
        for backend in self.backends.by_name.values():
            if backend.is_leaving:
                continue
            for pool in backend.versions or (backend.service,):
                slots = backend.slots * backend.weight
                slots_by_pool[pool] = slots_by_pool.get(pool, 0) + slots
        routers = max(1, len(self.node.members.live_names(ROUTER)))
        return {
            pool: math.ceil(slots / routers) for pool, slots in slots_by_pool.items()
        }

"""Assembles one controller process, which serves operators."""

from stoatpath.clock import Clock
from stoatpath.configuration.listeners import OperatorListener
from stoatpath.explanations.finders import ExplanationFinder
from stoatpath.leases.keepers import LeaseKeeper
from stoatpath.metric_sources import node_samples
from stoatpath.metrics import MetricsServer
from stoatpath.nodes import Node
from stoatpath.placement.keepers import PlacementKeeper
from stoatpath.rollouts.keepers import RolloutKeeper
from stoatpath.rollouts.nodes import RolloutNode
from stoatpath.rollouts.reporters import CountReceiver, CountReporter, owner_of
from stoatpath.utils import cancel_and_wait

CONTROLLER = "controller"


class Controller:
    """Accepts configurations, and decides on roll-outs and model placement."""

    __slots__ = (
        "settings",
        "clock",
        "node",
        "listener",
        "leases",
        "rollouts",
        "rollout_keeper",
        "placement",
        "metrics",
        "_count_receiver",
        "_count_reporter",
        "_tasks",
    )

    def __init__(self, settings, clock):
        self.settings = settings
        self.clock = clock
        self.node = Node.from_settings(settings, CONTROLLER, clock)
        self.leases = LeaseKeeper(
            self.node.table,
            clock,
            settings.name,
            self.node.incarnation,
            self._live_controllers,
        )
        self.rollouts = RolloutNode(self.node)
        self._count_receiver = CountReceiver(self.node.peer_server)
        self._count_reporter = CountReporter(
            self._count_receiver.counters,
            self.node.members,
            self.node.peer_client,
            clock,
            lambda name: owner_of(name, self._live_controllers()),
        )
        self.rollout_keeper = RolloutKeeper(
            self.node, self.rollouts, self.leases, self._count_receiver.counters
        )
        self.placement = PlacementKeeper(self.node, self.leases, self.rollouts.progress)
        self._tasks = []
        self.listener = OperatorListener(
            self.node, settings.operator_keys, ExplanationFinder(self.node)
        )
        self.metrics = MetricsServer(lambda: node_samples(self.node))

    @classmethod
    def from_settings(cls, settings, clock=None):
        """Build a controller that is not yet started."""
        return cls(settings, clock or Clock())

    @property
    def address(self):
        """Return the address for operators as `host:port`."""
        return self.listener.address

    async def start(self):
        """Start all tasks and listen."""
        await self.node.start()
        await self.rollouts.read()
        runs_by_name = {
            "leases": self.leases.run,
            "rollouts": self.rollouts.run,
            "counts": self._count_reporter.run,
            "rollout-decisions": self.rollout_keeper.run,
            "placement": self.placement.run,
        }
        self._tasks = self.node.supervisor.start(runs_by_name)
        await self.metrics.start(self.settings.metrics_listen_address)
        await self.listener.start(self.settings.operator_listen_address)

    def addresses(self):
        """Return the listening addresses by the kind of client."""
        return {
            "operators": self.listener.address,
            "peers": self.node.peer_server.address,
            "metrics": self.metrics.address,
        }

    def pending_work(self):
        """Describe what stopping now would cut off: at most answers to operators."""
        return "answers to operators under way would be cut"

    async def stop(self):
        """Stop gracefully; return True, as there is no work to finish."""
        await self.listener.stop()
        self.node.members.leave()
        await cancel_and_wait(self._tasks)
        await self.leases.release_all()
        await self.rollouts.broadcaster.stop()
        await self.metrics.stop()
        await self.node.stop()
        return True

    def _live_controllers(self):
        return self.node.members.live_names(CONTROLLER)

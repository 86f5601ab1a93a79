"""Assembles one controller process: what operators reach."""

from stoatpath.clock import Clock
from stoatpath.configuration.listeners import OperatorListener
from stoatpath.explanations.finders import ExplanationFinder
from stoatpath.metric_sources import node_samples
from stoatpath.metrics import MetricsServer
from stoatpath.nodes import Node

CONTROLLER = "controller"


class Controller:
    """Accepts configurations and works on what instances share."""

    __slots__ = ("settings", "clock", "node", "listener", "metrics")

    def __init__(self, settings, clock):
        self.settings = settings
        self.clock = clock
        self.node = Node.from_settings(settings, CONTROLLER, clock)
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
        """Return where operators reach this controller, as `host:port`."""
        return self.listener.address

    async def start(self):
        """Start all tasks and listen."""
        await self.node.start()
        await self.metrics.start(self.settings.metrics_listen_address)
        await self.listener.start(self.settings.operator_listen_address)

    def addresses(self):
        """Return where this process listens, by who reaches it there."""
        return {
            "operators": self.listener.address,
            "peers": self.node.peer_server.address,
            "metrics": self.metrics.address,
        }

    def open_work(self):
        """Return what a stop right now would cut: answers to operators at most."""
        return "answers to operators under way would be cut"

    async def stop(self):
        """Stop gracefully; return whether nothing was cut."""
        await self.listener.stop()
        self.node.members.leave()
        await self.metrics.stop()
        await self.node.stop()
        return True

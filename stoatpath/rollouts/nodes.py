"""Roll-out components that routers and controllers share."""

import logging

from stoatpath.outcomes import is_failure
from stoatpath.rollouts.counters import RatingCounters
from stoatpath.rollouts.messages import Source
from stoatpath.rollouts.progress import Progress
from stoatpath.rollouts.reporters import CountReporter, collector_of
from stoatpath.rollouts.samplers import RatingSampler
from stoatpath.rollouts.spreaders import ProgressBroadcaster
from stoatpath.rollouts.stores import RolloutStore
from stoatpath.rollouts.topics import ProgressTopic

logger = logging.getLogger(__name__)

READ_PERIOD_MS = 30_000
ROUTER = "router"
CONTROLLER = "controller"


class RolloutNode:
    """Steps and verdicts of one node, from the table, gossip and broadcasts."""

    __slots__ = ("progress", "broadcaster", "store", "_clock")

    def __init__(self, node):
        self.progress = Progress()
        self.store = RolloutStore(node.table)
        self.broadcaster = ProgressBroadcaster(
            node.members, node.peer_client, node.peer_server, self.progress
        )
        self._clock = node.clock
        node.gossip.add_topic(ProgressTopic(self.progress))

    async def run(self):
        """Read the table periodically, for state that no live peer has."""
        while True:
            await self._clock.sleep_until(self._clock.now_ms() + READ_PERIOD_MS)
            await self.read()

    async def read(self):
        """Read the table once."""
        problem = await self.store.read_into(self.progress)
        if is_failure(problem):
            logger.warning("rollouts.read-failed", extra={"why": problem.detail})


class RolloutSampling:
    """Rating counts of one router and their reports to the roll-outs' owners."""

    __slots__ = ("counters", "sampler", "reporter", "_members")

    def __init__(self, node, assigner, ratings):
        source = Source(node.settings.name, node.incarnation)
        self._members = node.members
        self.counters = RatingCounters()
        self.sampler = RatingSampler(assigner, self.counters, source, ratings)
        self.reporter = CountReporter(
            self.counters,
            node.members,
            node.peer_client,
            node.clock,
            self._select_receiver,
        )

    def _select_receiver(self, rollout_name):
        controllers = self._members.live_names(CONTROLLER)
        routers = len(self._members.live_names(ROUTER))
        local_name = self._members.local.name
        return collector_of(rollout_name, local_name, controllers, routers)

"""Broadcasts steps and verdicts to all live peers in two hops."""

import asyncio
import logging

from stoatpath.outcomes import is_failure

logger = logging.getLogger(__name__)

BROADCAST_TOPIC = "rollout-news"
MAX_GROUPS = 24


def split_groups(names):
    """Return at most `MAX_GROUPS` groups of about equal size."""
    count = min(MAX_GROUPS, len(names))
    return [names[index::count] for index in range(count)]


class ProgressBroadcaster:
    """Sends updates to the first live member of each group, which relays them.

    Delivery is best effort: gossip carries the same state to nodes that a
    broadcast missed.
    """

    __slots__ = ("_members", "_client", "_progress", "_tasks")

    def __init__(self, members, client, server, progress):
        self._members = members
        self._client = client
        self._progress = progress
        self._tasks = set()
        server.register(BROADCAST_TOPIC, self._handle_updates)

    def broadcast(self):
        """Start sending all steps and verdicts to every live peer, without waiting."""
        updates = self._progress.to_json()
        names = sorted(member.name for member in self._members.peers())
        if names:
            for group in split_groups(names):
                self._start_task(self._send_group(updates, group))

    async def stop(self):
        """Cancel the messages that are still being sent."""
        for job in list(self._tasks):
            job.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send_group(self, updates, names):
        """Send to the first member that responds; it relays to the members after it."""
        for index, name in enumerate(names):
            if await self._send(updates, name, names[index + 1 :]):
                return

    async def _send(self, updates, name, relay_to):
        member = self._members.by_name.get(name)
        if member is None:
            return False
        message = {"news": updates, "relay_to": relay_to}
        answer = await self._client.ask(member.address, BROADCAST_TOPIC, message)
        if is_failure(answer):
            logger.info("rollouts.spread-failed", extra={"peer": name})
            return False
        return True

    async def _handle_updates(self, message):
        self._progress.merge_json(message["news"])
        for name in message.get("relay_to", ()):
            self._start_task(self._send(message["news"], name, []))
        return {}

    def _start_task(self, job):
        task = asyncio.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

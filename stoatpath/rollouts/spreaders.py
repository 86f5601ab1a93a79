"""Sends steps and verdicts to all live peers at once, in two hops."""

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
    """Sends news to the head of each group, which relays it to the rest.

    What does not arrive this way arrives by gossip.
    """

    __slots__ = ("_members", "_client", "_progress", "_jobs")

    def __init__(self, members, client, server, progress):
        self._members = members
        self._client = client
        self._progress = progress
        self._jobs = set()
        server.register(BROADCAST_TOPIC, self._receive)

    def broadcast(self):
        """Start sending all steps and verdicts to every live peer."""
        news = self._progress.to_json()
        names = sorted(member.name for member in self._members.peers())
        if names:
            for group in split_groups(names):
                self._start(self._send_group(news, group))

    async def stop(self):
        """Drop what is still being sent."""
        for job in list(self._jobs):
            job.cancel()
        await asyncio.gather(*self._jobs, return_exceptions=True)

    async def _send_group(self, news, names):
        """Send to the first member of the group that answers."""
        for index, name in enumerate(names):
            if await self._send(news, name, names[index + 1 :]):
                return

    async def _send(self, news, name, relay_to):
        member = self._members.by_name.get(name)
        if member is None:
            return False
        message = {"news": news, "relay_to": relay_to}
        answer = await self._client.ask(member.address, BROADCAST_TOPIC, message)
        if is_failure(answer):
            logger.info("rollouts.spread-failed", extra={"peer": name})
            return False
        return True

    async def _receive(self, message):
        self._progress.merge_json(message["news"])
        for name in message.get("relay_to", ()):
            self._start(self._send(message["news"], name, []))
        return {}

    def _start(self, job):
        task = asyncio.create_task(job)
        self._jobs.add(task)
        task.add_done_callback(self._jobs.discard)

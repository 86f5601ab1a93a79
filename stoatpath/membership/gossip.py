"""Probes members in turn and exchanges updates with each, in the manner of SWIM.

A member that answers neither directly nor through others becomes suspect, and is
declared dead unless it refutes that in time. Urgent updates are pushed at once.
"""

import asyncio
import logging

from stoatpath.membership.budgets import ByteBudget
from stoatpath.membership.contacts import Contacts
from stoatpath.membership.messages import LIVE, Member, members_from
from stoatpath.membership.messengers import Messenger
from stoatpath.membership.probes import ProbeSchedule, member_from_entry
from stoatpath.outcomes import CONNECTION_REFUSED, is_failure

logger = logging.getLogger(__name__)

GOSSIP_PERIOD_MS = 1_000
MIN_PUSH_PERIOD_MS = 100
PUSH_FANOUT = 3
INDIRECT_PROBES = 3
# All records are fetched often at first, then less and less.
FIRST_SYNC_PERIOD_MS = 500
MAX_SYNC_PERIOD_MS = 30_000
MAX_ROUND_GAP_MS = 3_000
GOSSIP_TOPIC = "gossip"
PROBE_TOPIC = "probe"
SYNC_TOPIC = "members"
MEMBER_ROLES = ("router", "controller")
DEFAULT_BYTES_PER_S = 8_000


class Gossip:
    """The task that probes members and gossips updates."""

    __slots__ = (
        "contacts",
        "_members",
        "_client",
        "_clock",
        "_budget",
        "_messenger",
        "_schedule",
        "_push_period_ms",
        "_period_ms",
        "_push_requested",
        "_jobs",
        "_next_sync_ms",
        "_sync_period_ms",
    )

    def __init__(
        self,
        members,
        client,
        server,
        clock,
        random,
        bytes_per_s=DEFAULT_BYTES_PER_S,
        push_period_ms=MIN_PUSH_PERIOD_MS,
        period_ms=GOSSIP_PERIOD_MS,
    ):
        self._members = members
        self._client = client
        self._clock = clock
        self._push_period_ms = push_period_ms
        self._period_ms = period_ms
        self._budget = ByteBudget(bytes_per_s, clock.now_ms())
        self._messenger = Messenger(members, self._budget, clock)
        self._schedule = ProbeSchedule(random)
        self._push_requested = asyncio.Event()
        self._jobs = set()
        self._next_sync_ms = float("-inf")
        self._sync_period_ms = FIRST_SYNC_PERIOD_MS
        self.contacts = Contacts(members)
        members.on_local_change = self.trigger_push
        server.register(GOSSIP_TOPIC, self._handle_gossip)
        server.register(PROBE_TOPIC, self._handle_probe)
        server.register(SYNC_TOPIC, self._handle_sync)

    def add_topic(self, topic):
        """Include a topic in the messages; see `membership.messengers`."""
        self._messenger.add_topic(topic)

    def trigger_push(self):
        """Push updates at once instead of in the next round."""
        self._push_requested.set()

    async def run(self):
        """Probe and gossip until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._push_on_request())
                tasks.create_task(self._run_rounds())
        finally:
            for job in self._jobs:
                job.cancel()
            await asyncio.gather(*self._jobs, return_exceptions=True)

    async def _run_rounds(self):
        while True:
            started_ms = self._clock.now_ms()
            self._start_job(self.run_round())
            await self._clock.sleep_until(started_ms + self._period_ms)

    async def run_round(self):
        """Probe one member, and contact one that is dead or was never reached."""
        now_ms = self._clock.now_ms()
        if self.contacts.record_round(now_ms, MAX_ROUND_GAP_MS):
            self._members.restart_suspicions(now_ms)
        self._members.expire_members(now_ms)
        target = self._schedule.next_target(self._members)
        reconnect_target = self._schedule.next_reconnect_target(
            self._members, self.contacts.candidates
        )
        jobs = []
        if target is not None:
            jobs.append(self._probe(target))
        if reconnect_target is not None:
            jobs.append(self._exchange(reconnect_target))
        await asyncio.gather(*jobs)

    async def push(self):
        """Exchange updates with a few random members."""
        chosen = self._schedule.choose_peers(self._members, PUSH_FANOUT)
        await asyncio.gather(*(self._exchange(member) for member in chosen))

    def update_candidates(self, entries):
        """Update the contact candidates from the entries of the platform's list.

        The list also shows which dead members have ended.
        """
        candidates = {
            entry.name: member_from_entry(entry)
            for entry in entries
            if entry.role in MEMBER_ROLES
            and entry.state == LIVE
            and entry.name != self._members.local.name
        }
        self.contacts.update_candidates(candidates, self._clock.now_ms())

    async def _probe(self, target):
        if await self._exchange(target) or await self._probe_indirectly(target):
            return
        record = self._members.by_name.get(target.name)
        if record is None or record.incarnation != target.incarnation:
            return
        if self._members.suspect(target.name, self._clock.now_ms()):
            logger.info("membership.suspected", extra={"member": target.name})
            self.trigger_push()

    async def _probe_indirectly(self, target):
        proxies = self._schedule.choose_peers(
            self._members, INDIRECT_PROBES, target.name
        )
        request = {"name": target.name, "address": target.address}
        answers = await asyncio.gather(
            *(
                self._client.ask(proxy.address, PROBE_TOPIC, request, 2_000)
                for proxy in proxies
            )
        )
        return any(
            not is_failure(answer) and answer.get("reached") is True
            for answer in answers
        )

    async def _exchange(self, member):
        """Exchange updates with a member; return whether it answered."""
        sent_ms = self._clock.now_ms()
        message = self._messenger.build_message(member.name)
        answer = await self._client.ask(member.address, GOSSIP_TOPIC, message)
        if is_failure(answer):
            self._record_failure(member, answer)
            return False
        if not isinstance(answer, dict):
            return False
        sender, has_updates = self._messenger.handle_message(answer, sent_ms)
        if sender is None or member.name not in (sender.name, sender.address):
            return False
        self.contacts.record_answer(sent_ms)
        self.contacts.record_reached_address(member.address)
        if has_updates:
            self.trigger_push()
        if answer.get("digest") != self._members.digest():
            await self._sync(sender)
        return True

    def _record_failure(self, member, failure):
        if failure.reason is not CONNECTION_REFUSED:
            return
        now_ms = self._clock.now_ms()
        self.contacts.record_refused_address(member.address)
        record = self._members.by_name.get(member.name)
        if record is not None and record.address == member.address:
            if self._members.confirm_dead(record.name, record.incarnation, now_ms):
                self.trigger_push()

    async def _sync(self, member):
        """Fetch all member records of a member, with growing pauses between fetches."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_sync_ms:
            return
        self._next_sync_ms = now_ms + self._sync_period_ms
        self._sync_period_ms = min(MAX_SYNC_PERIOD_MS, 2 * self._sync_period_ms)
        request = {"from": self._members.local.to_json()}
        answer = await self._client.ask(member.address, SYNC_TOPIC, request)
        if not is_failure(answer):
            members = members_from(answer.get("members"))
            self._members.merge(members, self._clock.now_ms())

    async def _handle_gossip(self, message):
        sender, has_updates = self._messenger.handle_message(message)
        if sender is None:
            raise ValueError("the sender is malformed")
        if has_updates:
            self.trigger_push()
        return self._messenger.build_message(sender.name, sender.incarnation)

    async def _handle_probe(self, message):
        target = Member(str(message["name"]), "", str(message["address"]), "", 0, LIVE)
        return {"reached": await self._exchange(target)}

    async def _handle_sync(self, message):
        members = [self._members.local, *self._members.by_name.values()]
        return {"members": [member.to_json() for member in members]}

    async def _push_on_request(self):
        while True:
            await self._push_requested.wait()
            self._push_requested.clear()
            if self._budget.has_bytes_left(self._clock.now_ms()):
                await self.push()
            await self._clock.sleep_until(self._clock.now_ms() + self._push_period_ms)

    def _start_job(self, job):
        task = asyncio.create_task(job)
        self._jobs.add(task)
        task.add_done_callback(self._jobs.discard)

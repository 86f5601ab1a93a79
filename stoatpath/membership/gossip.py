"""Probes members in turn and exchanges news with whom it probes.

A member that answers neither directly nor through others is suspected, and
counts as dead unless it refutes that in time. Urgent news is pushed at once.
"""

import asyncio
import logging

from stoatpath.membership.budgets import ByteBudget
from stoatpath.membership.contacts import Contacts
from stoatpath.membership.messages import LIVE, Member, members_from
from stoatpath.membership.messengers import Messenger
from stoatpath.membership.probes import ProbeSchedule, candidate_from
from stoatpath.outcomes import CONNECTION_REFUSED, is_failure

logger = logging.getLogger(__name__)

GOSSIP_PERIOD_MS = 1_000
URGENT_PERIOD_MS = 100
URGENT_FANOUT = 3
PROXIES = 3
SYNC_PERIOD_MS = 30_000
MAX_GAP_MS = 3_000
GOSSIP_TOPIC = "gossip"
PROBE_TOPIC = "probe"
SYNC_TOPIC = "members"
MEMBER_ROLES = ("router", "controller")
DEFAULT_BYTES_PER_S = 8_000


class Gossip:
    """The task that watches members and passes news on."""

    __slots__ = (
        "contacts",
        "_members",
        "_client",
        "_clock",
        "_budget",
        "_messenger",
        "_schedule",
        "_urgent",
        "_jobs",
        "_synced_ms",
    )

    def __init__(
        self, members, client, server, clock, random, bytes_per_s=DEFAULT_BYTES_PER_S
    ):
        self._members = members
        self._client = client
        self._clock = clock
        self._budget = ByteBudget(bytes_per_s, clock.now_ms())
        self._messenger = Messenger(members, self._budget, clock)
        self._schedule = ProbeSchedule(random)
        self._urgent = asyncio.Event()
        self._jobs = set()
        self._synced_ms = float("-inf")
        self.contacts = Contacts(members)
        members.notify = self.trigger_push
        server.register(GOSSIP_TOPIC, self._answer)
        server.register(PROBE_TOPIC, self._answer_probe)
        server.register(SYNC_TOPIC, self._answer_sync)

    def add_topic(self, topic):
        """Carry the news of a slice; see `membership.messengers`."""
        self._messenger.add_topic(topic)

    def trigger_push(self):
        """Have news passed on at once instead of in the next round."""
        self._urgent.set()

    async def run(self):
        """Probe and gossip until cancelled."""
        pushing = asyncio.create_task(self._push_urgent())
        try:
            while True:
                started_ms = self._clock.now_ms()
                self._start(self.run_round())
                await self._clock.sleep_until(started_ms + GOSSIP_PERIOD_MS)
        finally:
            for job in [pushing, *self._jobs]:
                job.cancel()
            await asyncio.gather(pushing, *self._jobs, return_exceptions=True)

    async def run_round(self):
        """Probe one member and try one that is dead or was never heard."""
        now_ms = self._clock.now_ms()
        if self.contacts.note_round(now_ms, MAX_GAP_MS):
            self._members.postpone(now_ms)
        self._members.judge(now_ms)
        target = self._schedule.next_target(self._members)
        stranger = self._schedule.next_stranger(self._members, self.contacts.candidates)
        jobs = []
        if target is not None:
            jobs.append(self._probe(target))
        if stranger is not None:
            jobs.append(self._exchange(stranger))
        await asyncio.gather(*jobs)

    async def push(self):
        """Exchange news with a few members at once."""
        chosen = self._schedule.choose(self._members, URGENT_FANOUT)
        await asyncio.gather(*(self._exchange(member) for member in chosen))

    def update_candidates(self, entries):
        """Take the platform's list: whom to try, and who has ended."""
        candidates = {
            entry.name: candidate_from(entry)
            for entry in entries
            if entry.role in MEMBER_ROLES
            and entry.state == LIVE
            and entry.name != self._members.local.name
        }
        self.contacts.note_list(candidates, self._clock.now_ms())

    async def _probe(self, target):
        if await self._exchange(target) or await self._probe_through_others(target):
            return
        known = self._members.by_name.get(target.name)
        if known is None or known.incarnation != target.incarnation:
            return
        if self._members.suspect(target.name, self._clock.now_ms()):
            logger.info("membership.suspected", extra={"member": target.name})
            self.trigger_push()

    async def _probe_through_others(self, target):
        proxies = self._schedule.choose(self._members, PROXIES, target.name)
        question = {"name": target.name, "address": target.address}
        answers = await asyncio.gather(
            *(
                self._client.ask(proxy.address, PROBE_TOPIC, question, 2_000)
                for proxy in proxies
            )
        )
        return any(
            not is_failure(answer) and answer.get("reached") is True
            for answer in answers
        )

    async def _exchange(self, member):
        """Exchange news with a member; return whether it answered."""
        asked_at_ms = self._clock.now_ms()
        message = self._messenger.build(member.name)
        answer = await self._client.ask(member.address, GOSSIP_TOPIC, message)
        if is_failure(answer):
            self._note_failure(member, answer)
            return False
        if not isinstance(answer, dict):
            return False
        sender, is_news = self._messenger.take(answer, asked_at_ms)
        if sender is None or member.name not in (sender.name, sender.address):
            return False
        self.contacts.note_answer(asked_at_ms)
        self.contacts.note_reached(member.address)
        if is_news:
            self.trigger_push()
        if answer.get("digest") != self._members.digest():
            await self._sync(sender)
        return True

    def _note_failure(self, member, failure):
        if failure.reason is not CONNECTION_REFUSED:
            return
        now_ms = self._clock.now_ms()
        self.contacts.note_ended(member.address)
        known = self._members.by_name.get(member.name)
        if known is not None and known.address == member.address:
            if self._members.confirm_dead(known.name, known.incarnation, now_ms):
                self.trigger_push()

    async def _sync(self, member):
        """Fetch all that another member knows, at most once in a while."""
        now_ms = self._clock.now_ms()
        if now_ms - self._synced_ms < SYNC_PERIOD_MS:
            return
        self._synced_ms = now_ms
        question = {"from": self._members.local.to_json()}
        answer = await self._client.ask(member.address, SYNC_TOPIC, question)
        if not is_failure(answer):
            found = members_from(answer.get("members"))
            self._members.merge(found, self._clock.now_ms())

    async def _answer(self, message):
        sender, is_news = self._messenger.take(message)
        if sender is None:
            raise ValueError("the sender is malformed")
        if is_news:
            self.trigger_push()
        return self._messenger.build(sender.name, sender.incarnation)

    async def _answer_probe(self, message):
        target = Member(str(message["name"]), "", str(message["address"]), "", 0, LIVE)
        return {"reached": await self._exchange(target)}

    async def _answer_sync(self, message):
        known = [self._members.local, *self._members.by_name.values()]
        return {"members": [member.to_json() for member in known]}

    async def _push_urgent(self):
        while True:
            await self._urgent.wait()
            self._urgent.clear()
            if self._budget.has_room(self._clock.now_ms()):
                await self.push()
            await self._clock.sleep_until(self._clock.now_ms() + URGENT_PERIOD_MS)

    def _start(self, job):
        task = asyncio.create_task(job)
        self._jobs.add(task)
        task.add_done_callback(self._jobs.discard)

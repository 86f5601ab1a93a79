"""Shares lost attempts and decisions about prompt parts among instances.

Lost attempts of a service are sent to `KEEPERS` of the instances, the first by
rendezvous hashing over the members that each instance knows. A keeper that suspects a
part asks all instances whether any answer to it has begun since, decides, and tells
all.
Nobody is elected: several may decide, and the decision with the highest version holds.
Gossip carries decisions to instances that were not reached or joined later.
"""

import asyncio
import logging

from stoatpath.outcomes import is_failure
from stoatpath.quarantine.histories import PartHistory
from stoatpath.quarantine.messages import (
    MAX_PARTS,
    LostAttempt,
    Quarantine,
    decode_duration_ms,
    decode_name,
    is_whole_request,
)
from stoatpath.quarantine.suspicions import SuspicionTable
from stoatpath.utils import cancel_and_wait, rendezvous_rank

logger = logging.getLogger(__name__)

REPORT_TOPIC = "crash-reports"
HISTORY_TOPIC = "part-histories"
DECISION_TOPIC = "quarantines"
KEEPERS = 2
# Time in which the reports of one crash arrive: they are evaluated together.
COLLECT_MS = 25.0
# Time for which the second keeper leaves the decision to the first.
KEEPER_DELAY_MS = 250.0
# Doubled for each repeat.
QUARANTINE_MS = 60_000.0
MAX_QUARANTINE_MS = 3_600_000.0
# The instance that decided admits requests this much sooner than the others, so that
# the first of them shows whether the part still ends backend servers.
TRIAL_MS = 10_000.0
ASK_TIMEOUT_MS = 300.0
# Instances asked first: one of them has answered a part in frequent use.
SAMPLED_MEMBERS = 16
CONCURRENT_CALLS = 32
MAX_GOSSIPED = 16


class QuarantineExchange:
    """Collects evidence as a keeper, and exchanges decisions with other instances.

    `table` is the `QuarantineTable`, `members` the `MemberTable`. It is also a topic of
    gossip messages. `on_decision` is called with each decision of this instance.
    """

    __slots__ = (
        "table",
        "history",
        "on_decision",
        "_members",
        "_client",
        "_clock",
        "_random",
        "_suspicions_by_service",
        "_investigations_by_service",
        "_tasks",
    )

    name = "quarantines"
    is_vital = True

    def __init__(self, table, members, client, server, clock, random):
        self.table = table
        self.history = PartHistory()
        self.on_decision = lambda quarantine: None
        self._members = members
        self._client = client
        self._clock = clock
        self._random = random
        self._suspicions_by_service = {}
        self._investigations_by_service = {}
        self._tasks = set()
        server.register(REPORT_TOPIC, self._handle_report)
        server.register(HISTORY_TOPIC, self._handle_history)
        server.register(DECISION_TOPIC, self._handle_decision)

    def record_answered(self, request):
        """Record that an answer to a request has come as far as its first event.

        That proves that neither it nor one of its parts ends backend servers, so a
        quarantine of these is lifted.
        """
        service = request.service.name
        now_ms = self._clock.now_ms()
        for part in request.quarantine_names:
            self.history.record_answered(service, part, now_ms)
            if self.table.is_known(service, part):
                self._start(self._lift(service, part))

    def observe(self, result):
        """Record the `AttemptResult` of an attempt that was answered."""
        if result.reason is None or result.events:
            self.record_answered(result.request)

    async def report(self, service, attempts):
        """Send the lost attempts of one crash to the keepers."""
        now_ms = self._clock.now_ms()
        message = {
            "service": service,
            "attempts": [attempt.to_json(now_ms) for attempt in attempts],
        }
        keepers = self._keepers(service)
        if self._members.local.name in keepers:
            self._record_lost(service, attempts)
        others = [name for name in keepers if name != self._members.local.name]
        await self._ask_all(others, REPORT_TOPIC, message)

    def collect(self):
        """Return the decisions in force for a gossip message, or None."""
        now_ms = self._clock.now_ms()
        decisions = self.table.remembered()[-MAX_GOSSIPED:]
        return [each.to_json(now_ms) for each in decisions] or None

    def merge(self, sender, data):
        """Apply decisions of a gossip message; return whether any was new."""
        now_ms = self._clock.now_ms()
        decisions = [Quarantine.from_json(each, now_ms) for each in data]
        return any([self.table.merge(each) for each in decisions])

    async def close(self):
        """Cancel all tasks."""
        investigations = self._investigations_by_service.values()
        await cancel_and_wait([*self._tasks, *investigations])

    def _keepers(self, service):
        """Return the names of the instances that collect the evidence of a service."""
        names = self._members.live_names(self._members.local.role)
        return rendezvous_rank(f"quarantine/{service}", names)[:KEEPERS]

    def _record_lost(self, service, attempts):
        table = self._suspicions_by_service.setdefault(service, SuspicionTable())
        table.record_lost(attempts)
        if service in self._investigations_by_service:
            return
        task = asyncio.get_running_loop().create_task(self._investigate(service))
        self._investigations_by_service[service] = task
        task.add_done_callback(
            lambda _: self._investigations_by_service.pop(service, None)
        )

    async def _investigate(self, service):
        """Decide on the suspected parts of a service, until none is left."""
        table = self._suspicions_by_service[service]
        is_first = self._keepers(service)[0] == self._members.local.name
        delay_ms = COLLECT_MS if is_first else KEEPER_DELAY_MS
        await self._clock.sleep_until(self._clock.now_ms() + delay_ms)
        while self._find(service):
            others = self._other_names()
            sample = self._random.sample(others, min(SAMPLED_MEMBERS, len(others)))
            await self._ask_histories(service, table, sample)
            rest = [name for name in others if name not in sample]
            if rest and self._find(service):
                await self._ask_histories(service, table, rest)
            suspicions = _strongest(self._find(service))
            decisions = [
                self._quarantine(service, table, suspicion) for suspicion in suspicions
            ]
            await asyncio.gather(*(self._tell_all(each) for each in decisions))

    def _find(self, service):
        """Return suspicions, without the crashes that quarantined parts explain."""
        table = self._suspicions_by_service[service]
        now_ms = self._clock.now_ms()
        while suspicions := table.find(
            now_ms, lambda part: self.table.is_known(service, part)
        ):
            part = suspicions[0].part
            if self.table.until_ms(service, part) <= now_ms:
                break
            table.dismiss(part)
        return suspicions

    async def _ask_histories(self, service, table, names):
        """Find out when some instances last answered the suspected parts."""
        suspicions = self._find(service)
        parts = [suspicion.part for suspicion in suspicions][:MAX_PARTS]
        for part in parts:
            answered_ms = self.history.answered_ms(service, part)
            if answered_ms is not None:
                table.record_answered(part, answered_ms)
        asked_ms = self._clock.now_ms()
        message = {"service": service, "parts": parts}
        for answer in await self._ask_all(names, HISTORY_TOPIC, message):
            try:
                for part, age_ms in zip(parts, answer["ages_ms"]):
                    if age_ms is not None:
                        answered_ms = asked_ms - decode_duration_ms(age_ms)
                        table.record_answered(part, answered_ms)
            except (KeyError, TypeError, ValueError) as error:
                logger.warning("quarantine.unreadable", extra={"why": repr(error)})

    def _quarantine(self, service, table, suspicion):
        """Decide on one suspicion; return the decision as the others get it."""
        part = suspicion.part
        table.dismiss(part)
        logger.warning(
            "quarantine.decided",
            extra={
                "service": service,
                "part": part,
                "score": round(suspicion.score, 2),
                "since_ms_ago": round(self._clock.now_ms() - suspicion.since_ms),
            },
        )
        now_ms = self._clock.now_ms()
        version = self.table.next_version(service, part)
        repeats = self.table.next_repeats(service, part)
        end_ms = now_ms + min(MAX_QUARANTINE_MS, QUARANTINE_MS * 2**repeats)
        self.table.merge(Quarantine(service, part, version, end_ms, repeats))
        return Quarantine(service, part, version, end_ms + TRIAL_MS, repeats)

    async def _lift(self, service, part):
        if not self.table.is_known(service, part):
            return
        version = self.table.next_version(service, part)
        now_ms = self._clock.now_ms()
        decision = Quarantine(service, part, version, now_ms, is_lifted=True)
        self.table.merge(decision)
        await self._tell_all(decision)

    async def _tell_all(self, decision):
        self.on_decision(decision)
        message = decision.to_json(self._clock.now_ms())
        await self._ask_all(self._other_names(), DECISION_TOPIC, message)

    def _other_names(self):
        local = self._members.local
        names = self._members.live_names(local.role)
        return [name for name in names if name != local.name]

    async def _ask_all(self, names, topic, message):
        """Send a message to instances; return the answers of those that answered."""
        room = asyncio.Semaphore(CONCURRENT_CALLS)

        async def ask(name):
            member = self._members.by_name.get(name)
            if member is None:
                return None
            async with room:
                answer = await self._client.ask(
                    member.address, topic, message, ASK_TIMEOUT_MS
                )
            if is_failure(answer):
                extra = {"member": name, "topic": topic, "why": answer.detail}
                logger.info("quarantine.not-told", extra=extra)
                return None
            return answer

        answers = await asyncio.gather(*(ask(name) for name in names))
        return [answer for answer in answers if isinstance(answer, dict)]

    async def _handle_report(self, message):
        now_ms = self._clock.now_ms()
        attempts = [LostAttempt.from_json(each, now_ms) for each in message["attempts"]]
        self._record_lost(decode_name(message["service"]), attempts)
        return {}

    async def _handle_history(self, message):
        now_ms = self._clock.now_ms()
        service = decode_name(message["service"])
        answered = [
            self.history.answered_ms(service, decode_name(part))
            for part in message["parts"][:MAX_PARTS]
        ]
        ages_ms = [None if each is None else now_ms - each for each in answered]
        return {"ages_ms": ages_ms}

    async def _handle_decision(self, message):
        self.table.merge(Quarantine.from_json(message, self._clock.now_ms()))
        return {}

    def _start(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _strongest(suspicions):
    """Return the strongest suspicion, with those that the evidence can't tell from it.

    Requests that were lost in the same crashes can't be told apart; parts can, by when
    they were last answered.
    """
    first = suspicions[:1]
    if not first or not is_whole_request(first[0].part):
        return first
    return [
        each
        for each in suspicions
        if is_whole_request(each.part) and each.crashes == first[0].crashes
    ]

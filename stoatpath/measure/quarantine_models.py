"""A model of instances before backend servers that end on a prompt part or a request.

The instances run the quarantine code of gateways in virtual time; the network, the
store, the backend servers and the attempts are simulated. Each instance reads the store
itself, which takes no less than the copies of gateways do.
"""

import asyncio
import random
from types import SimpleNamespace

from stoatpath.callers.relay_messages import NO_PROMPT, Prompt, PromptPart
from stoatpath.dispatch.messages import AttemptResult
from stoatpath.feeds.followers import TableFollower
from stoatpath.feeds.reachability import Reachability
from stoatpath.measure.limit_models import CLOCK_SPREAD_MS, ModelPeerClient
from stoatpath.measure.relay_models import (
    BATCH_DELAY_MS,
    Handlers,
    ModelStore,
    ModelStoreClient,
    model_member,
)
from stoatpath.measure.virtual_loops import VirtualClock
from stoatpath.membership.members import MemberTable
from stoatpath.membership.messages import Member
from stoatpath.outcomes import BROKEN_ANSWER, Outcome
from stoatpath.quarantine.exchanges import QuarantineExchange
from stoatpath.quarantine.messages import whole_request_name
from stoatpath.quarantine.quarantines import QuarantineTable
from stoatpath.quarantine.reporters import CrashReporter
from stoatpath.quarantine.storages import QUARANTINE_TABLE, QuarantineStorage

# As in `stoatpath.gateways`.
QUARANTINES_WAIT_MS = 4_000
SERVICE = "desk-assist"
OTHER_SERVICE = "booking-desk"
POISON_PART = "poison"
POISON_CONTENT = "poison"
BEGINNINGS = 3
SUBJECTS = 100
MAX_ATTEMPTS = 3
RESTART_S = 3.0
CONNECT_S = 0.002
# Time to the head of an answer, from there to its first event, and to its end.
WAITING_S = (0.05, 0.6)
FIRST_EVENT_S = 0.04
STREAM_S = 1.5
# A plain service sends no head before its whole answer.
MAX_PLAIN_WAITING_S = 0.02
PLAIN_RUN_S = 0.03
JOIN_S = 2.0
# As in `stoatpath.gateways`: an instance that has just started gossips more often.
GOSSIP_PERIOD_S = 2.5
JOIN_GOSSIP_PERIOD_S = 0.5
JOIN_GOSSIP_S = 4.0
# Time after its start for which an instance may not know what others do.
SETTLED_AFTER_MS = 3_000.0


class ModelRequest(SimpleNamespace):
    """A request with the fields that quarantines need."""


class ModelBackend:
    """A backend server; a crash ends all of its attempts, and it is back later."""

    __slots__ = ("name", "address", "service", "is_up", "lives", "lost")

    def __init__(self, name, service):
        self.name = name
        self.address = name
        self.service = service
        self.is_up = True
        self.lives = 0
        self.lost = asyncio.Event()

    async def crash(self, keeps_name):
        """End, and start again, under another name unless it keeps its own."""
        if not self.is_up:
            return
        self.is_up = False
        self.lost.set()
        await asyncio.sleep(RESTART_S)
        self.lost = asyncio.Event()
        self.lives += 1
        if not keeps_name:
            self.name = f"{self.address}.{self.lives}"
        self.is_up = True


class ModelInstance:
    """The quarantine of one instance."""

    __slots__ = (
        "name",
        "settled_ms",
        "clock",
        "members",
        "table",
        "exchange",
        "store",
        "storage",
        "rows",
        "reporter",
    )

    def __init__(self, fleet, name, rng):
        self.name = name
        self.settled_ms = fleet.now_ms() + SETTLED_AFTER_MS
        self.clock = VirtualClock(fleet.loop, rng.uniform(0.0, CLOCK_SPREAD_MS))
        self.members = MemberTable(model_member(name, "zone-0"))
        self.table = QuarantineTable(self.clock)
        handlers = Handlers(fleet.handlers_by_name.setdefault(name, {}))
        client = ModelPeerClient(fleet, name)
        self.exchange = QuarantineExchange(
            self.table, self.members, client, handlers, self.clock, rng
        )
        self.store = ModelStoreClient(fleet.store, name)
        reachability = Reachability()
        self.storage = QuarantineStorage(
            self.table, self.store, reachability, self.clock
        )
        self.exchange.on_decision = self.storage.save
        self.rows = TableFollower(
            self.store,
            QUARANTINE_TABLE,
            QUARANTINES_WAIT_MS,
            BATCH_DELAY_MS,
            reachability,
            self.clock,
            rng,
            self.storage.apply,
        )
        self.reporter = CrashReporter(
            fleet, fleet.is_reachable, self.exchange.report, self.clock, rng
        )

    async def close(self):
        """Cancel all tasks."""
        await self.reporter.close()
        await self.exchange.close()
        await self.storage.close()


class QuarantineFleet:
    """Instances, backend servers and callers.

    `poison_ratio` is the share of requests with the poison part; these and the poison
    request end backend servers while `is_poison`; `poison_names` are the names by which
    they may be put into quarantine. `is_plain` is for a service whose
    requests have no prompts, `keeps_names` for backend servers that come back under
    the names that they had.
    `crashes_ms` holds the times of crashes, `poison_ms` those at which poison requests
    reached a backend server from instances that had not just started, `served_ms` those
    at which such requests were answered. `results` holds the time and the success of
    the first attempt of each other request. The names in `killed`, `frozen` and
    `isolated` are those of instances that refuse connections or reach no other; all
    reach the store.
    """

    __slots__ = (
        "loop",
        "store",
        "backends",
        "other_backend",
        "instances_by_name",
        "handlers_by_name",
        "killed",
        "frozen",
        "isolated",
        "messages",
        "bytes_sent",
        "poison_ratio",
        "is_poison",
        "poison_names",
        "is_plain",
        "keeps_names",
        "crashes_ms",
        "poison_ms",
        "served_ms",
        "results",
        "_rate_per_s",
        "_random",
        "_poison_random",
        "_tasks",
        "_count",
    )

    def __init__(self, loop, instances, servers, rate_per_s, seed):
        self.loop = loop
        self.store = ModelStore(loop)
        self.backends = [
            ModelBackend(f"server-{index}", SERVICE) for index in range(servers)
        ]
        self.other_backend = ModelBackend("other", OTHER_SERVICE)
        self.instances_by_name = {}
        self.handlers_by_name = {}
        self.killed = set()
        self.frozen = set()
        self.isolated = set()
        self.messages = 0
        self.bytes_sent = 0
        self.poison_ratio = 0.0
        self.is_poison = True
        self.poison_names = {POISON_PART, whole_request_name(POISON_CONTENT)}
        self.is_plain = False
        self.keeps_names = False
        self.crashes_ms = []
        self.poison_ms = []
        self.served_ms = []
        self.results = []
        self._rate_per_s = rate_per_s
        self._random = random.Random(seed)
        self._poison_random = random.Random(-seed)
        self._tasks = set()
        self._count = 0
        for index in range(instances):
            self._add(f"instance-{seed}-{index}")
        self._introduce(list(self.instances_by_name))

    @property
    def by_name(self):
        """Backend servers as a directory has them, with one of another service."""
        return {each.name: each for each in (*self.backends, self.other_backend)}

    def now_ms(self):
        """Return virtual time."""
        return self.loop.time() * 1000

    def is_connected(self, one, other):
        """Return whether two instances reach each other."""
        return not {one, other} & (self.frozen | self.isolated)

    async def is_reachable(self, address):
        """Return whether a backend server accepts connections."""
        await asyncio.sleep(CONNECT_S)
        return any(
            each.is_up for each in self.by_name.values() if each.address == address
        )

    def innocent_parts(self):
        """Return the parts and requests in quarantine at any instance but poison."""
        return {
            decision.part
            for instance in self.instances_by_name.values()
            for decision in instance.table.remembered()
            if instance.table.until_ms(SERVICE, decision.part) > instance.clock.now_ms()
            and decision.part not in self.poison_names
        }

    def start(self):
        """Start the callers."""
        self._start(self._run_callers())

    async def repeat_request(self, rate_per_s, seconds):
        """Send one poison request again and again, through any instance."""
        end_ms = self.now_ms() + 1000 * seconds
        while self.now_ms() < end_ms:
            await asyncio.sleep(self._poison_random.expovariate(rate_per_s))
            request = self._build_request(POISON_CONTENT)
            self._start(self._send(self._choose_instance(), request))

    async def stop(self):
        """End everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for instance in self.instances_by_name.values():
            await instance.close()

    async def crash_some(self, count):
        """Let backend servers end at the same moment."""
        up = [each for each in self.backends if each.is_up]
        for backend in self._random.sample(up, min(count, len(up))):
            self._crash(backend)
        await asyncio.sleep(0)

    async def disturb(self, count, fault):
        """Let instances join, restart, leave or lose their peers."""
        names = self._random.sample(sorted(self.instances_by_name), count)
        if fault == "join":
            names = [f"joined-{index}" for index in range(count)]
            for name in names:
                self._add(name)
            await asyncio.sleep(JOIN_S)
            self._introduce(names)
        elif fault == "restart":
            self.killed.update(names)
            await asyncio.sleep(JOIN_S)
            self.killed.difference_update(names)
            for name in names:
                await self.instances_by_name[name].close()
                self._add(name)
            self._introduce(names)
        elif fault == "leave":
            for name in names:
                self.instances_by_name[name].members.leave()
            self._introduce(names)
        else:
            self.isolated.update(names)
            await asyncio.sleep(4 * JOIN_S)
            self.isolated.difference_update(names)

    def _add(self, name):
        rng = random.Random(self._random.random())
        instance = self.instances_by_name[name] = ModelInstance(self, name, rng)
        self._start(self._run_gossip(instance))
        self._start(self._follow_store(instance))

    def _introduce(self, names):
        """Make instances and all others known to each other."""
        for name in names:
            instance = self.instances_by_name[name]
            for other in self.instances_by_name.values():
                if other is not instance:
                    _tell(instance, other)
                    _tell(other, instance)

    async def _follow_store(self, instance):
        """Read decisions from the store while an instance is the one of its name."""
        while self.instances_by_name.get(instance.name) is instance:
            await instance.rows.step()

    async def _run_gossip(self, instance):
        """Exchange decisions with random instances."""
        started_s = self.loop.time()
        while self.instances_by_name.get(instance.name) is instance:
            is_new = self.loop.time() < started_s + JOIN_GOSSIP_S
            await asyncio.sleep(JOIN_GOSSIP_PERIOD_S if is_new else GOSSIP_PERIOD_S)
            other = self._random.choice(list(self.instances_by_name.values()))
            if not self.is_connected(instance.name, other.name):
                continue
            for sender, recipient in ((instance, other), (other, instance)):
                data = sender.exchange.collect()
                if data is not None:
                    recipient.exchange.merge(sender.name, data)

    async def _run_callers(self):
        while True:
            await asyncio.sleep(self._random.expovariate(self._rate_per_s))
            self._start(self._send(self._choose_instance(), self._build_request()))

    def _choose_instance(self):
        names = sorted(set(self.instances_by_name) - self.killed)
        return self.instances_by_name[self._random.choice(names)]

    def _build_request(self, content=None):
        """Return a request; with `content` it is one that comes again and again."""
        self._count += 1
        beginning = self._random.randrange(BEGINNINGS)
        subject = min(self._random.randrange(SUBJECTS) for _ in range(2))
        if content is not None:
            beginning, subject = 0, SUBJECTS - 1
        names = [f"beginning-{beginning}", f"subject-{subject}"]
        if content is None and self._random.random() < self.poison_ratio:
            names.append(POISON_PART)
        content = content or f"own-{self._count}"
        parts = [PromptPart(name, 100) for name in (*names, content)]
        prompt = NO_PROMPT if self.is_plain else Prompt("m", 300, 50, 50, parts)
        if POISON_PART in names:
            self.poison_names.add(whole_request_name(content))
        return ModelRequest(
            request_id=str(self._count),
            service=SimpleNamespace(name=SERVICE),
            shared_part_names=prompt.shared_part_names,
            content=content,
            quarantine_names=(*prompt.shared_part_names, whole_request_name(content)),
            crashes=0,
            lost_runs=0,
        )

    async def _send(self, instance, request):
        """Send a request to backend servers in turn; record the first attempt."""
        is_poison = self._has_poison(request)
        lost_beginnings = 0
        for number in range(MAX_ATTEMPTS):
            if instance.table.check(request) is not None:
                is_answered = has_begun = False
            else:
                backend = self._random.choice(
                    [each for each in self.backends if each.is_up] or self.backends
                )
                is_answered, has_begun = await self._attempt(instance, request, backend)
            if number == 0 and not is_poison:
                self.results.append((self.now_ms(), is_answered))
            if is_answered and is_poison:
                self.served_ms.append(self.now_ms())
            lost_beginnings += has_begun and not is_answered
            if is_answered or lost_beginnings == 2:
                return

    async def _attempt(self, instance, request, backend):
        """Return whether an attempt had its first event, and whether it began."""
        is_poison = self._has_poison(request)
        await asyncio.sleep(CONNECT_S)
        if not backend.is_up:
            return False, False
        if is_poison and self.now_ms() >= instance.settled_ms:
            self.poison_ms.append(self.now_ms())
        name, lost = backend.name, backend.lost
        started_ms = instance.clock.now_ms()
        begun_ms = None
        min_s, max_s = (0.0, MAX_PLAIN_WAITING_S) if self.is_plain else WAITING_S
        is_lost = await _is_set(lost, self._random.uniform(min_s, max_s))
        if not is_lost:
            begun_ms = None if self.is_plain else instance.clock.now_ms()
            run_s = PLAIN_RUN_S if self.is_plain else FIRST_EVENT_S
            is_lost = await _is_set(lost, run_s)
            if not is_lost and is_poison and self.is_poison:
                self._crash(backend)
                is_lost = True
        if is_lost:
            request.lost_runs += 1
            result = AttemptResult(
                name,
                "m",
                BROKEN_ANSWER,
                Outcome.UNKNOWN,
                started_ms,
                begun_ms,
                instance.clock.now_ms(),
                events=0,
                request=request,
            )
            instance.reporter.observe(result)
            return False, begun_ms is not None
        instance.exchange.record_answered(request)
        if not self.is_plain:
            await _is_set(lost, STREAM_S)
        return True, True

    def _has_poison(self, request):
        return not self.poison_names.isdisjoint(request.quarantine_names)

    def _crash(self, backend):
        if backend.is_up:
            self.crashes_ms.append(self.now_ms())
            self._start(backend.crash(self.keeps_names))

    def _start(self, coroutine):
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _tell(instance, other):
    record = Member.from_json(other.members.local.to_json())
    instance.members.merge([record], instance.clock.now_ms())


async def _is_set(event, seconds):
    """Return whether an event is set before some time has passed."""
    try:
        await asyncio.wait_for(event.wait(), seconds)
    except TimeoutError:
        return False
    return True

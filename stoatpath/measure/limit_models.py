"""A model of instances before backend servers that name limits, in virtual time.

The instances run the selection, the attempts and the permits of gateways; the network
and the backend servers are simulated.
"""

import asyncio
import random

from stoatpath.backpressure.exchanges import PermitExchange
from stoatpath.backpressure.gates import SendGate
from stoatpath.backpressure.hold_offs import HoldOffs
from stoatpath.backpressure.limits import LimitTable
from stoatpath.backpressure.messages import BackendSignals
from stoatpath.backpressure.shares import SlotShares
from stoatpath.callers.relay_messages import RelayedAnswer, RelayedRequest
from stoatpath.configuration.routes import IDEMPOTENT
from stoatpath.dispatch.attempts import AttemptRunner
from stoatpath.dispatch.relay_policies import RelayPolicy
from stoatpath.dispatch.window_budgets import WindowBudget
from stoatpath.measure.relay_models import Handlers, model_member
from stoatpath.measure.virtual_loops import VirtualClock
from stoatpath.membership.directories import DirectoryBackend
from stoatpath.membership.members import MemberTable
from stoatpath.membership.messages import ListedBackend, Member
from stoatpath.outcomes import (
    CONNECT_FAILED,
    CONNECTION_REFUSED,
    Failure,
    is_failure,
)
from stoatpath.routing.affinity import AffinityChooser
from stoatpath.stop_times import StopTimes
from stoatpath.utils import decode_json, encode_json

SERVICE = "desk"
ZONES = 3
PEER_DELAY_MS = 2.0
SERVER_DELAY_MS = 1.0
SERVICE_TIME_MS = 20.0
TIMEOUT_MS = 1_000.0
CLOCK_SPREAD_MS = 1_000_000.0
# Members that join are known to a part of the others at once, and to all after this.
GOSSIP_S = 3.0
EARLY_SHARE = 0.3
# Limits are checked over windows; an instance counts from this time after it was told.
WINDOW_MS = 4_000.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5.0
TOLD_SLACK_MS = 500.0
FIRST_CHECK_MS = 3_000.0


class ModelServer:
    """A backend server; names `limit_per_s` in its answers unless it is None.

    `arrivals` holds the time in ms and the instance of each request.
    """

    __slots__ = ("name", "limit_per_s", "named_ms", "arrivals", "told_ms_by_instance")

    def __init__(self, name):
        self.name = name
        self.limit_per_s = None
        self.named_ms = None
        self.arrivals = []
        self.told_ms_by_instance = {}

    def name_limit(self, per_s, now_ms):
        """Name another limit from now on; None ends it."""
        self.limit_per_s = per_s
        if self.named_ms is None:
            self.named_ms = now_ms

    def receive(self, instance, now_ms):
        """Record a request; return the signals of its answer."""
        self.arrivals.append((now_ms, instance))
        return BackendSignals(self.limit_per_s)

    def tell(self, instance, now_ms):
        """Record that an instance has received an answer with the limit."""
        self.told_ms_by_instance.setdefault(instance, now_ms)

    def worst_excess(self, per_s, excused=()):
        """Return the requests over the allowance in the worst window.

        Instances in `excused` don't count.
        """
        told = self.told_ms_by_instance
        times_ms = [
            at_ms
            for at_ms, instance in self.arrivals
            if instance not in excused
            and instance in told
            and at_ms >= told[instance] + TOLD_SLACK_MS
        ]
        allowed = ALLOWED_FACTOR * per_s * WINDOW_MS / 1000 + ALLOWED_EXTRA
        worst = float("-inf")
        first = 0
        for index, at_ms in enumerate(times_ms):
            while times_ms[first] <= at_ms - WINDOW_MS:
                first += 1
            if at_ms >= self.named_ms + FIRST_CHECK_MS:
                worst = max(worst, index - first + 1 - allowed)
        return worst

    def arrivals_per_s(self, from_ms, to_ms):
        """Return the mean rate of all requests in a period."""
        count = sum(from_ms <= at_ms < to_ms for at_ms, _ in self.arrivals)
        return count / (to_ms - from_ms) * 1000


class ModelRoute:
    """The fields of a route that attempts use."""

    __slots__ = ("name", "max_attempts", "target_ms", "repeats", "is_stream")

    is_repeatable = True

    def __init__(self):
        self.name = "look"
        self.max_attempts = 2
        self.target_ms = 125.0
        self.repeats = IDEMPOTENT
        self.is_stream = False


class ModelVersion:
    """A service without models."""

    __slots__ = ("name",)

    def __init__(self, name):
        self.name = name

    def prompt_work(self, prompt):
        """Return 0: requests have no prompt."""
        return 0.0

    def work_for_tokens(self, tokens):
        """Return 0: requests have no prompt."""
        return 0.0


class ModelPolicy(RelayPolicy):
    """The rules of gateways, with a fixed list of backend servers and no hedges."""

    __slots__ = ("_backends",)

    def __init__(self, router, backends):
        super().__init__(router)
        self._backends = backends

    def candidates(self, request, version, relay):
        """Return all backend servers."""
        return self._backends

    def excluded(self, request):
        """Return no backend servers: zones play no part."""
        return []

    def exclusion_reason(self, request, backend):
        """Return None: zones play no part."""
        return None

    def check_send(self, request, version):
        """Return None: any request may be sent."""
        return None

    def hedge_delay_ms(self, request, version, sent_count, min_confidence):
        """Return None: no hedges."""
        return None


class ModelSender:
    """Sends attempts to the servers of the fleet."""

    __slots__ = ("_fleet", "_name", "_clock", "_gate")

    def __init__(self, fleet, name, clock, gate):
        self._fleet = fleet
        self._name = name
        self._clock = clock
        self._gate = gate

    async def send(self, attempt):
        """Return an answer."""
        server = self._fleet.servers_by_name[attempt.backend.name]
        sent_ms = self._clock.now_ms()
        await asyncio.sleep(SERVER_DELAY_MS / 1000)
        signals = server.receive(self._name, self._fleet.now_ms())
        await asyncio.sleep((SERVICE_TIME_MS + SERVER_DELAY_MS) / 1000)
        self._gate.observe(server.name, signals, sent_ms)
        if signals.limit_per_s is not None:
            server.tell(self._name, self._fleet.now_ms())
        return RelayedAnswer(None, b"")


class ModelGateway:
    """One instance with what attempts use of a gateway."""

    __slots__ = (
        "name",
        "clock",
        "members",
        "send_gate",
        "chooser",
        "sender",
        "retry_budget",
        "stop_times",
        "ring",
        "attempts",
    )

    sender_class = ModelSender

    def __init__(self, fleet, name, zone, build_permits, rng):
        self.name = name
        self.clock = VirtualClock(fleet.loop, rng.uniform(0.0, CLOCK_SPREAD_MS))
        self.members = MemberTable(model_member(name, zone))
        self.send_gate = self._build_gate(fleet, build_permits, rng)
        self.chooser = AffinityChooser(zone, rng)
        self.sender = self.sender_class(fleet, name, self.clock, self.send_gate)
        self.ring = self
        self.retry_budget = WindowBudget(0.9, 10_000.0, 54.0, self.clock)
        self.stop_times = StopTimes()
        self.attempts = AttemptRunner(self, rng, self._build_policy(fleet))

    def _build_gate(self, fleet, build_permits, rng):
        limits = LimitTable()
        permits = build_permits(
            limits,
            self.members,
            ModelPeerClient(fleet, self.name),
            fleet.register_instance(self.name),
            self.clock,
        )
        shares = SlotShares(self.members, rng)
        return SendGate(limits, permits, HoldOffs(rng), shares, self.clock)

    def _build_policy(self, fleet):
        now_ms = self.clock.now_ms()
        backends = [
            DirectoryBackend(
                ListedBackend(
                    server.name,
                    SERVICE,
                    server.name,
                    f"zone-{index % ZONES}",
                    "v1",
                    8,
                    False,
                ),
                now_ms,
            )
            for index, server in enumerate(fleet.servers_by_name.values())
        ]
        return ModelPolicy(self, backends)

    def record_decision(self, request_id, step, reason, **details):
        """Record nothing."""


class ModelPeerClient:
    """Calls of one instance to others, with the faults of the fleet."""

    __slots__ = ("_fleet", "_name")

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    async def ask(self, address, topic, message, timeout_ms):
        """Return the answer of an instance, whose address is its name."""
        fleet = self._fleet
        payload = encode_json(message)
        fleet.bytes_sent += len(payload)
        fleet.messages += 1
        await asyncio.sleep(PEER_DELAY_MS / 2000)
        if address in fleet.killed:
            return Failure(CONNECTION_REFUSED, "refused")
        if not fleet.is_connected(self._name, address):
            await asyncio.sleep(timeout_ms / 1000)
            return Failure(CONNECT_FAILED, "no answer in time")
        handler = fleet.handlers_by_name[address][topic]
        answer = encode_json(await handler(decode_json(payload)))
        fleet.bytes_sent += len(answer)
        await asyncio.sleep(PEER_DELAY_MS / 2000)
        return decode_json(answer)


class LimitFleet:
    """Instances and backend servers of one service.

    `build_permits` is `PermitExchange` or an alternative with its interface.
    `killed`, `frozen` and `isolated` hold the names of instances that refuse
    connections, stand still, or reach no other instance. `excused` are all that ever
    were one of these. `results` holds a result and the time in ms for each request.
    """

    __slots__ = (
        "loop",
        "servers_by_name",
        "gateways_by_name",
        "handlers_by_name",
        "killed",
        "frozen",
        "isolated",
        "excused",
        "messages",
        "bytes_sent",
        "results",
        "_build_permits",
        "_rate_per_s",
        "_random",
        "_tasks_by_name",
        "_requests",
    )

    server_class = ModelServer
    gateway_class = ModelGateway

    def __init__(
        self, loop, instances, servers, rate_per_s, seed, build_permits=PermitExchange
    ):
        self.loop = loop
        self.servers_by_name = {
            f"server-{seed}-{index}": self.server_class(f"server-{seed}-{index}")
            for index in range(servers)
        }
        self.gateways_by_name = {}
        self.handlers_by_name = {}
        self.killed = set()
        self.frozen = set()
        self.isolated = set()
        self.excused = set()
        self.messages = 0
        self.bytes_sent = 0
        self.results = []
        self._build_permits = build_permits
        self._rate_per_s = rate_per_s
        self._random = random.Random(seed)
        self._tasks_by_name = {}
        self._requests = set()
        for index in range(instances):
            self._add(f"instance-{seed}-{index}")
        self._introduce(self.gateways_by_name)

    def now_ms(self):
        """Return virtual time."""
        return self.loop.time() * 1000

    def servers(self, count):
        """Return the first servers."""
        return list(self.servers_by_name.values())[:count]

    def register_instance(self, name):
        """Return an object with which an instance registers its handlers."""
        return Handlers(self.handlers_by_name.setdefault(name, {}))

    def is_connected(self, one, other):
        """Return whether two instances reach each other."""
        return not {one, other} & (self.frozen | self.isolated)

    def start(self):
        """Start the callers of all instances."""
        for name in self.gateways_by_name:
            self._start(name)

    async def stop(self):
        """End all callers and requests."""
        tasks = [*self._tasks_by_name.values(), *self._requests]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for gateway in self.gateways_by_name.values():
            await gateway.attempts.close()
            await gateway.send_gate.close()

    def some_names(self, count):
        """Return random instances that were never disturbed."""
        names = [each for each in self.gateways_by_name if each not in self.excused]
        return self._random.sample(names, count)

    async def freeze(self, name, seconds):
        """Let an instance stand still for some time."""
        self.excused.add(name)
        self.frozen.add(name)
        await asyncio.sleep(seconds)
        self.frozen.discard(name)

    async def isolate(self, name, seconds):
        """Cut an instance from all others, not from the backend servers."""
        self.excused.add(name)
        self.isolated.add(name)
        await asyncio.sleep(seconds)
        self.isolated.discard(name)

    async def restart(self, name, seconds):
        """Kill an instance and start it again with nothing known but the members."""
        self.excused.add(name)
        self.killed.add(name)
        self._tasks_by_name.pop(name).cancel()
        await asyncio.sleep(seconds)
        self.killed.discard(name)
        self._add(name)
        self._introduce([name])
        self._start(name)

    async def join(self, name):
        """Add an instance, which others hear of by and by."""
        self._add(name)
        self._start(name)
        gateway = self.gateways_by_name[name]
        for other in self.gateways_by_name.values():
            self._merge(gateway, other)
            if self._random.random() < EARLY_SHARE:
                self._merge(other, gateway)
        await asyncio.sleep(GOSSIP_S)
        self._introduce([name])

    def leave(self, name):
        """Let an instance leave; others hear of it by and by."""
        gateway = self.gateways_by_name[name]
        gateway.members.leave()
        for other in self.gateways_by_name.values():
            if self._random.random() < EARLY_SHARE:
                self._merge(other, gateway)

    def _add(self, name):
        zone = f"zone-{len(self.gateways_by_name) % ZONES}"
        rng = random.Random(self._random.random())
        self.gateways_by_name[name] = self.gateway_class(
            self, name, zone, self._build_permits, rng
        )

    def _introduce(self, names):
        """Make instances and all others known to each other."""
        for name in names:
            gateway = self.gateways_by_name[name]
            for other in self.gateways_by_name.values():
                self._merge(gateway, other)
                self._merge(other, gateway)

    @staticmethod
    def _merge(gateway, other):
        if gateway is not other:
            record = Member.from_json(other.members.local.to_json())
            gateway.members.merge([record], gateway.clock.now_ms())

    def _start(self, name):
        gateway = self.gateways_by_name[name]
        self._tasks_by_name[name] = self.loop.create_task(self._run_callers(gateway))

    async def _run_callers(self, gateway):
        """Send requests at random intervals until cancelled."""
        number = 0
        while True:
            await asyncio.sleep(self._random.expovariate(self._rate_per_s))
            while gateway.name in self.frozen:
                await asyncio.sleep(0.01)
            number += 1
            task = self.loop.create_task(self._send(gateway, number))
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)

    async def _send(self, gateway, number):
        started_ms = self.now_ms()
        now_ms = gateway.clock.now_ms()
        request = RelayedRequest(
            f"{gateway.name}/{number}",
            None,
            "",
            self,
            ModelRoute(),
            now_ms,
            now_ms + TIMEOUT_MS,
            "",
            "GET",
            "/look/1",
            [],
            b"",
        )
        result = await gateway.attempts.run(request, ModelVersion(SERVICE), None)
        self.results.append((is_failure(result), self.now_ms() - started_ms))

    @property
    def name(self):
        """Return the name of the service: requests refer to the fleet as theirs."""
        return SERVICE

"""Real senders and stand-in backend servers, without the rest of a router."""

import asyncio
import random
import socket
from types import SimpleNamespace

from stoatpath.backpressure.exchanges import PermitExchange
from stoatpath.backpressure.gates import SendGate
from stoatpath.backpressure.hold_offs import HoldOffs
from stoatpath.backpressure.limits import LimitTable
from stoatpath.backpressure.shares import SlotShares
from stoatpath.callers.messages import CallerRequest
from stoatpath.clock import Clock
from stoatpath.configuration.documents import (
    ACTIVE,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    Version,
)
from stoatpath.dispatch.attempts import AttemptRunner
from stoatpath.dispatch.retries import RetryBudget
from stoatpath.dispatch.senders import Sender
from stoatpath.membership.backends import BackendServers
from stoatpath.membership.members import MemberTable
from stoatpath.membership.messages import LIVE, Member
from stoatpath.outcomes import is_failure
from stoatpath.quarantine.quarantines import QuarantineTable
from stoatpath.routing.choosers import LeastTimeChooser
from stoatpath.services.messages import ListedInstance
from stoatpath.standins.engines import EngineStandin
from stoatpath.standins.faults import Fault, FaultTable
from stoatpath.standins.services import ServiceStandin

MODEL_VERSION = Version("tern@1", "tern", 1.0, ACTIVE)
PLAIN_VERSION = Version("booking-desk", "booking-desk", 1.0, ACTIVE)
TIMEOUT_MS = 3_000
SHORT_TIMEOUT_MS = 150


class CallerStream:
    """Fake of the listener's stream; may disconnect after a number of writes."""

    def __init__(self, disconnects_after=None):
        self.has_begun = False
        self.received = b""
        self.writes = 0
        self.disconnects_after = disconnects_after

    async def write(self, events):
        if self.disconnects_after is not None and self.writes >= self.disconnects_after:
            raise ConnectionResetError("gone")
        self.has_begun = True
        self.writes += 1
        self.received += events


class Rig:
    """Stand-in backend servers that share a fault table, and an `AttemptRunner`."""

    def __init__(self, first_byte_limit_ms=SHORT_TIMEOUT_MS):
        self.clock = Clock()
        self.faults = FaultTable()
        self.engines = []
        self.services = []
        self.results = []
        self.decisions = []
        self._entries = {}
        gate = self._build_send_gate()
        self.router = SimpleNamespace(
            clock=self.clock,
            settings=SimpleNamespace(
                first_byte_timeout_ms=first_byte_limit_ms, hedge_min_ms=30
            ),
            backends=BackendServers(),
            chooser=LeastTimeChooser("zone-a", random.Random(1)),
            sender=Sender(self.clock, SHORT_TIMEOUT_MS, gate),
            retry_budget=RetryBudget(),
            send_gate=gate,
            quarantine=QuarantineTable(self.clock),
            guard=SimpleNamespace(check_send=lambda request, version: None),
            ring=SimpleNamespace(record_decision=self._record_decision),
        )
        self.attempts = AttemptRunner(self.router, random.Random(1))
        self.attempts.observers.append(self.results.append)

    def _build_send_gate(self):
        limits = LimitTable()
        local = Member("router-0", "router", "", "zone-a", 1, LIVE)
        server = SimpleNamespace(register=lambda topic, handler: None)
        members = MemberTable(local)
        permits = PermitExchange(limits, members, None, server, self.clock)
        rng = random.Random(1)
        shares = SlotShares(members, rng)
        return SendGate(limits, permits, HoldOffs(rng), shares, self.clock)

    def _record_decision(self, request_id, step, reason, **details):
        self.decisions.append((step, reason, details))

    async def start(self, engines=2, services=2, token_ms=0.1):
        await self.router.sender.start()
        for index in range(engines):
            engine = EngineStandin(f"e{index}", {"tern@1": 0.9}, token_ms=token_ms)
            engine.faults = self.faults
            self.engines.append(engine)
            self._register(engine.name, "engine", "tern", await engine.start())
        for index in range(services):
            service = ServiceStandin(f"s{index}")
            service.faults = self.faults
            self.services.append(service)
            self._register(
                service.name, "service", "booking-desk", await service.start()
            )

    def _register(self, name, role, service, address):
        entry = ListedInstance(name, role, address, "zone-a", service, "live")
        self._entries[name] = entry
        self.router.backends.apply_list(self._entries, self.clock.now_ms())
        report = {
            "versions": ["tern@1"] if role == "engine" else [],
            "slots": 8,
            "running": 0,
            "token_ms": 0.1,
            "leaving": False,
            "resumes": True,
        }
        self.router.backends.apply_report(name, report, self.clock.now_ms())

    async def stop(self):
        await self.router.sender.close()
        for standin in self.engines + self.services:
            await standin.stop()

    def inject_fault(self, kind, count=1, delay_ms=0):
        for operation in ("complete", "serve"):
            self.faults.add(Fault(operation, kind, count, delay_ms))

    def refuse_connections(self, name):
        """Point a backend server at a port on which nothing listens."""
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
        self.router.backends.by_name[name].address = f"127.0.0.1:{port}"

    def request(self, number, plain=False, stream=False, repeatable=True, **changes):
        service = SimpleNamespace(
            name="booking-desk" if plain else "desk",
            kind=PLAIN_SERVICE if plain else MODEL_SERVICE,
        )
        body = {
            "messages": [{"role": "user", "content": f"question {number}"}],
            "stream": stream,
            "max_tokens": 40,
        }
        fields = {
            "request_id": f"req-{number}",
            "organisation": None,
            "service": service,
            "purpose": None,
            "arrived_ms": self.clock.now_ms(),
            "deadline_ms": self.clock.now_ms() + TIMEOUT_MS,
            "session": "",
            "idempotency_key": "",
            "body_digest": "",
            "is_repeatable": repeatable,
            "is_stream": stream,
            "method": "POST",
            "path": "/bookings" if plain else "/v1/chat/completions",
            "content_type": "application/json",
            "body": f"booking {number}".encode() if plain else body,
        }
        return CallerRequest(**{**fields, **changes})

    async def run(self, request, caller=None):
        plain = request.service.kind == PLAIN_SERVICE
        stream = caller or (CallerStream() if request.is_stream else None)
        result = await self.attempts.run(
            request, PLAIN_VERSION if plain else MODEL_VERSION, stream
        )
        return result, stream

    def count_runs(self, request_id):
        """Return how often the stand-ins executed a request."""
        ran = [each for engine in self.engines for each in engine.executions]
        called = [call for service in self.services for call in service.executions]
        return sum(each.request_id == request_id for each in ran) + sum(
            call[0] == request_id for call in called
        )

    def cancelled_attempt_ids(self):
        return {name for engine in self.engines for name in engine.cancelled}


async def wait_until(check):
    """Wait until `check` returns true; fail after 10 s."""
    async with asyncio.timeout(10):
        while not check():
            await asyncio.sleep(0.005)


def outcome_of(result):
    return result.outcome.value if is_failure(result) else "completed"

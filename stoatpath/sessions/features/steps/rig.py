"""Pin directories connected by an in-memory network with message loss."""

import asyncio

from stoatpath.clock import ManualClock
from stoatpath.membership.members import MemberTable
from stoatpath.membership.messages import LIVE, Member
from stoatpath.outcomes import CONNECT_FAILED, Failure, is_failure
from stoatpath.sessions.directories import PinDirectory
from stoatpath.sessions.tokens import TokenSigner

KEYS = {"1": "sample-session-key"}


class NamedEntity:
    """A stand-in of an organisation or a service."""

    def __init__(self, name):
        self.name = name
        self.cascade = ("tern-small",)


class SessionRequest:
    """One request of a session."""

    def __init__(self, session, organisation="reef-villages", service="desk-assist"):
        self.session = session
        self.organisation = NamedEntity(organisation)
        self.service = NamedEntity(service)
        self.request_id = f"req-{session}"


class NullArchive:
    """An archive that stores nothing, as at a site without roll-outs."""

    def enqueue(self, pin):
        pass

    async def read_pin(self, service, key, is_conclusive):
        return None


class Network:
    """Delivers messages between instances by address."""

    def __init__(self):
        self.clock = ManualClock()
        self.instances_by_name = {}
        self.losses = []
        self.start_count = 0

    def start(self, name, zone):
        """Start an instance that knows all running ones, as after seeding."""
        self.start_count += 1
        instance = Instance(self, name, zone, self.start_count)
        self.instances_by_name[name] = instance
        for other in self.instances_by_name.values():
            if other is not instance:
                instance.members.merge([other.record()], self.clock.now_ms())
        return instance

    def update_all(self):
        """Give every instance the current membership."""
        for instance in self.instances_by_name.values():
            self.update(instance)

    def update(self, instance):
        """Give one instance the current membership."""
        now_ms = self.clock.now_ms()
        records = [each.record() for each in self.instances_by_name.values()]
        instance.members.merge(records, now_ms)
        for known in list(instance.members.by_name.values()):
            up = self.instances_by_name.get(known.name)
            if up is None or up.incarnation != known.incarnation:
                instance.members.confirm_dead(known.name, known.incarnation, now_ms)

    async def synchronize(self):
        """Stop the losses, update all instances and hand the pins over."""
        self.losses = []
        self.update_all()
        for _ in range(2):
            for instance in list(self.instances_by_name.values()):
                await instance.pins.hand_over()

    async def ask(self, address, topic, message, timeout_ms=1_000):
        """Deliver a request; the request or its reply may be lost."""
        await asyncio.sleep(0)
        for instance in self.instances_by_name.values():
            if instance.address == address:
                loss = self.losses.pop() if self.losses else ""
                if loss == "ask":
                    return Failure(CONNECT_FAILED, "the request was lost")
                answer = await instance.handlers_by_topic[topic](message)
                if loss == "reply":
                    return Failure(CONNECT_FAILED, "the reply was lost")
                return answer
        return Failure(CONNECT_FAILED, "no instance listens at this address")


class Instance:
    """One instance with its member table and its pin directory."""

    def __init__(self, network, name, zone, incarnation):
        self.address = f"{name}:{incarnation}"
        self.incarnation = incarnation
        local = Member(name, "router", self.address, zone, incarnation, LIVE)
        self.members = MemberTable(local)
        self.handlers_by_topic = {}
        self.clock = network.clock
        self.peer_client = network
        self.peer_server = self
        self.pins = PinDirectory(self, TokenSigner(KEYS), NullArchive())

    def register(self, topic, handler):
        """Register a handler, as a peer server does."""
        self.handlers_by_topic[topic] = handler

    def record(self):
        """Return a copy of the member record of this instance."""
        return Member.from_json(self.members.local.to_json())

    async def turn(self, session, current):
        """Serve one turn of a session; return its version, or None if refused."""
        request = SessionRequest(session)
        pin = await self.pins.find_pin(request)
        if is_failure(pin):
            return None
        version = current if pin is None else pin.version
        kept = self.pins.build_pin(request, pin, version)
        await self.pins.store_pin(request, pin, kept)
        return version

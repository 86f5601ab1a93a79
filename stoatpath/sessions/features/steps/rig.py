"""Pin directories that talk over a link in memory, with losses."""

import asyncio

from stoatpath.clock import ManualClock
from stoatpath.membership.members import MemberTable
from stoatpath.membership.messages import LIVE, Member
from stoatpath.outcomes import CONNECT_FAILED, Failure, is_failure
from stoatpath.sessions.directories import PinDirectory
from stoatpath.sessions.tokens import TokenSigner

KEYS = {"1": "sample-session-key"}


class Named:
    """An organisation or a service, as far as sessions know them."""

    def __init__(self, name):
        self.name = name
        self.cascade = ("tern-small",)


class Turn:
    """One request of a session."""

    def __init__(self, session, organisation="reef-villages", service="desk-assist"):
        self.session = session
        self.organisation = Named(organisation)
        self.service = Named(service)
        self.request_id = f"req-{session}"


class NoArchive:
    """An archive of a site without roll-outs."""

    def add(self, pin):
        pass

    async def find(self, service, key, is_certain):
        return None


class Network:
    """Carries messages between instances by address."""

    def __init__(self):
        self.clock = ManualClock()
        self.instances_by_name = {}
        self.losses = []
        self.started = 0

    def start(self, name, zone):
        """Start an instance that knows all that are up, as after its seeding."""
        self.started += 1
        instance = Instance(self, name, zone, self.started)
        self.instances_by_name[name] = instance
        for other in self.instances_by_name.values():
            if other is not instance:
                instance.members.merge([other.record()], self.clock.now_ms())
        return instance

    def tell_all(self):
        """Have every instance learn of all that are up and that some have ended."""
        for instance in self.instances_by_name.values():
            self.tell(instance)

    def tell(self, instance):
        """Have one instance learn of all changes."""
        now_ms = self.clock.now_ms()
        records = [each.record() for each in self.instances_by_name.values()]
        instance.members.merge(records, now_ms)
        for known in list(instance.members.by_name.values()):
            up = self.instances_by_name.get(known.name)
            if up is None or up.incarnation != known.incarnation:
                instance.members.confirm_dead(known.name, known.incarnation, now_ms)

    async def settle(self):
        """Tell all instances everything and let them hand over."""
        self.losses = []
        self.tell_all()
        for _ in range(2):
            for instance in list(self.instances_by_name.values()):
                await instance.pins.hand_over()

    async def ask(self, address, topic, message, timeout_ms=1_000):
        """Deliver a question; some are lost on the way or on the way back."""
        await asyncio.sleep(0)
        for instance in self.instances_by_name.values():
            if instance.address == address:
                loss = self.losses.pop() if self.losses else ""
                if loss == "ask":
                    return Failure(CONNECT_FAILED, "lost")
                answer = await instance.handlers_by_topic[topic](message)
                if loss == "reply":
                    return Failure(CONNECT_FAILED, "the reply was lost")
                return answer
        return Failure(CONNECT_FAILED, "nobody listens there")


class Instance:
    """One instance: its view of the members and its directory."""

    def __init__(self, network, name, zone, incarnation):
        self.address = f"{name}:{incarnation}"
        self.incarnation = incarnation
        own = Member(name, "router", self.address, zone, incarnation, LIVE)
        self.members = MemberTable(own)
        self.handlers_by_topic = {}
        self.clock = network.clock
        self.peer_client = network
        self.peer_server = self
        self.pins = PinDirectory(self, TokenSigner(KEYS), NoArchive())

    def register(self, topic, handler):
        """Take a handler, as a peer server does."""
        self.handlers_by_topic[topic] = handler

    def record(self):
        """Return the own record as others hear it."""
        return Member.from_json(self.members.local.to_json())

    async def turn(self, session, current):
        """Serve one turn of a session; return its version, or None if refused."""
        request = Turn(session)
        pin = await self.pins.find(request)
        if is_failure(pin):
            return None
        version = current if pin is None else pin.version
        kept = self.pins.prepare(request, pin, version)
        await self.pins.keep(request, pin, kept)
        return version

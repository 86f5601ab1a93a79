"""Which member has which revision in force, and why one lags."""

import asyncio

from stoatpath.membership.messages import DEAD
from stoatpath.outcomes import is_failure

STATUS_TOPIC = "configuration-status"
STATUS_TIMEOUT_MS = 2_000
MAX_ASKED_AT_ONCE = 32


class MemberStatus:
    """One member's revision, how long ago it was confirmed, and its trouble.

    `revision` is None for a member that did not answer.
    """

    __slots__ = (
        "name",
        "role",
        "zone",
        "state",
        "revision",
        "age_ms",
        "problem",
    )

    def __init__(self, name, role, zone, state, revision, age_ms, problem):
        self.name = name
        self.role = role
        self.zone = zone
        self.state = state
        self.revision = revision
        self.age_ms = age_ms
        self.problem = problem

    @classmethod
    def from_node(cls, node):
        """Build the status of the own process."""
        own = node.members.local
        follower = node.follower
        age_ms = min(node.clock.now_ms() - follower.fresh_as_of_ms, 1e9)
        return cls(
            own.name,
            own.role,
            own.zone,
            own.state,
            follower.snapshot.revision,
            round(age_ms),
            follower.store_problem,
        )

    @classmethod
    def from_silence(cls, member, problem):
        """Build the status of a member that did not answer."""
        return cls(
            member.name, member.role, member.zone, member.state, None, None, problem
        )

    @classmethod
    def from_json(cls, data):
        """Build a status from its wire form."""
        return cls(*(data[name] for name in cls.__slots__))

    def to_json(self):
        """Return the wire form."""
        return {name: getattr(self, name) for name in self.__slots__}


async def collect_statuses(node):
    """Ask every member known to a node; return statuses in order of name."""
    slots = asyncio.Semaphore(MAX_ASKED_AT_ONCE)

    async def ask(member):
        async with slots:
            return await _ask(node, member)

    others = await asyncio.gather(*map(ask, node.members.by_name.values()))
    return sorted([node.status(), *others], key=lambda status: status.name)


async def _ask(node, member):
    if member.state == DEAD:
        return MemberStatus.from_silence(member, "counts as dead")
    answer = await node.peer_client.ask(
        member.address, STATUS_TOPIC, {}, STATUS_TIMEOUT_MS
    )
    if is_failure(answer):
        return MemberStatus.from_silence(member, f"no answer: {answer.detail}")
    try:
        return MemberStatus.from_json(answer)
    except (KeyError, TypeError):
        return MemberStatus.from_silence(member, "an answer that can't be read")

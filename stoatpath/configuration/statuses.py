"""The configuration status of all members, for operators."""

import asyncio

from stoatpath.membership.messages import DEAD
from stoatpath.outcomes import is_failure

STATUS_TOPIC = "configuration-status"
STATUS_TIMEOUT_MS = 2_000
MAX_CONCURRENT_REQUESTS = 32


class MemberStatus:
    """A member's revision, its age since confirmation, and its current problem.

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
        """Build the status of this process."""
        local = node.members.local
        follower = node.follower
        age_ms = min(node.clock.now_ms() - follower.fresh_as_of_ms, 1e9)
        return cls(
            local.name,
            local.role,
            local.zone,
            local.state,
            follower.snapshot.revision,
            round(age_ms),
            follower.store_problem,
        )

    @classmethod
    def from_failure(cls, member, problem):
        """Build the status of a member without a usable answer."""
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
    """Request the status of all known members; return statuses sorted by name."""
    slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def request_with_limit(member):
        async with slots:
            return await _request_status(node, member)

    others = await asyncio.gather(
        *map(request_with_limit, node.members.by_name.values())
    )
    return sorted([node.status(), *others], key=lambda status: status.name)


async def _request_status(node, member):
    if member.state == DEAD:
        return MemberStatus.from_failure(member, "counts as dead")
    answer = await node.peer_client.ask(
        member.address, STATUS_TOPIC, {}, STATUS_TIMEOUT_MS
    )
    if is_failure(answer):
        return MemberStatus.from_failure(member, f"no answer: {answer.detail}")
    try:
        return MemberStatus.from_json(answer)
    except (KeyError, TypeError):
        return MemberStatus.from_failure(member, "an answer that can't be read")

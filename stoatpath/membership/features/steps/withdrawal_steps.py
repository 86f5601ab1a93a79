"""Steps on withdrawals during partitions, pauses and store outages."""

from behave import given, then, when
from networks import (
    TEMPLATE,
    Network,
    first_changes,
    run,
    withdrawal,
)

from stoatpath.configuration.messages import Accepted, AcceptedChange, Change
from stoatpath.outcomes import Outcome

WARM_UP_S = 20
OBSERVED_S = 40


class Case:
    """A network in two groups, and the actions to run on it in order."""

    def __init__(self, size):
        self.size = size
        self.actions = []
        self.last_sendable_ms = None
        self.withdrawn_ms = None
        self.unserved = []

    def names(self, group, role=None):
        half = max(1, self.size // 2)
        start, stop = (0, half) if group == 0 else (half, self.size)
        roles = (role,) if role else ("router", "controller")
        return [f"{each}-{index}" for index in range(start, stop) for each in roles]

    def run(self):
        """Start the network and run the actions; return the network."""

        async def main():
            net = Network()
            self.net = net
            for index in range(self.size):
                for role in ("router", "controller"):
                    net.add(f"{role}-{index}", role, "ab"[index % 2])
            await net.run_for(3)
            last = f"controller-{self.size - 1}"
            verdict = await net.accept(last, first_changes())
            assert isinstance(verdict, Accepted), verdict
            await net.run_for(WARM_UP_S)
            for action in self.actions:
                await action(net)
            return net

        return run(main())

    def split(self, net):
        net.groups = [self.names(0), self.names(1)]

    def group_members(self, net, role=None):
        return [net.members_by_name[name] for name in self.names(0, role)]


def _observe(case, net):
    """Record the last time that the first group could send to the withdrawn version.

    Also record the routers connected to the store that can't send to version 2.
    """
    for member in case.group_members(net, "router"):
        if not member.is_paused and member.may_send("small@1"):
            case.last_sendable_ms = net.clock.now_ms()
    for name in case.names(1, "router"):
        member = net.members_by_name[name]
        if net.reaches_store(name) and not member.may_send("small@2"):
            case.unserved.append((name, net.clock.now_ms()))


@given("{size:d} instances in two groups, each with a router and a controller")
def step_impl(context, size):
    context.case = Case(size)


@when("nothing happens")
def step_impl(context):
    pass


@when("the first group loses the store")
def step_impl(context):
    async def action(net):
        net.store_groups = {-1}
        names = context.case.names(0)
        net.reaches_store = lambda name: name not in names
        await net.run_for(30)

    context.case.actions.append(action)


@when("the groups are partitioned for 60 s")
def step_impl(context):
    async def action(net):
        context.case.split(net)
        net.store_groups = {1}
        await net.run_for(60)

    context.case.actions.append(action)


@when("the store is down for 60 s")
def step_impl(context):
    async def action(net):
        net.store_groups = set()
        await net.run_for(60)

    context.case.actions.append(action)


@when("store and list are down for 60 s")
def step_impl(context):
    async def action(net):
        net.store_groups = set()
        net.is_list_down = True
        await net.run_for(60)

    context.case.actions.append(action)


@when("the first group is paused")
def step_impl(context):
    async def action(net):
        for member in context.case.group_members(net):
            member.is_paused = True

    context.case.actions.append(action)


@when("paused while the store is down")
def step_impl(context):
    async def action(net):
        net.store_groups = set()
        await net.run_for(60)
        for member in context.case.group_members(net):
            member.is_paused = True

    context.case.actions.append(action)


@when("a version is withdrawn where the store is reachable, while {meanwhile}")
def step_impl(context, meanwhile):
    case = context.case

    async def action(net):
        if "partitioned" in meanwhile:
            case.split(net)
            net.store_groups = {0, 1} if "store for both" in meanwhile else {1}
        case.withdrawn_ms = case.last_sendable_ms = net.clock.now_ms()
        case.unserved = []
        verdict = await net.accept(f"controller-{case.size - 1}", withdrawal())
        assert isinstance(verdict, Accepted), verdict
        if "resumes" in meanwhile:
            seconds = int(meanwhile.split()[-2])
            await net.run_for(seconds)
            for member in case.group_members(net):
                member.is_paused = False
            case.withdrawn_ms = case.last_sendable_ms = net.clock.now_ms()
            _observe(case, net)
        case.unserved = []
        await net.run_for(OBSERVED_S, lambda: _observe(case, net))

    case.actions.append(action)


@when("a version is withdrawn at a replacement")
def step_impl(context):
    async def action(net):
        replacements = [
            name
            for name, member in net.members_by_name.items()
            if not member.is_ended and name.endswith("-next")
        ]
        controllers = [name for name in replacements if "controller" in name]
        verdict = await net.accept(controllers[0], withdrawal())
        assert isinstance(verdict, Accepted), verdict

    context.case.actions.append(action)


@when("the groups are reconnected for {seconds:d} s")
def step_impl(context, seconds):
    async def action(net):
        net.groups = None
        net.store_groups = None
        await net.run_for(seconds)

    context.case.actions.append(action)


@when("an instance starts and {seconds:d} s pass")
def step_impl(context, seconds):
    async def action(net):
        context.started = net.add("router-new", "router")
        await net.run_for(seconds)

    context.case.actions.append(action)


@when("the first group is paused for {seconds:d} s and receives a delayed message")
def step_impl(context, seconds):
    async def action(net):
        member = context.case.group_members(net, "router")[0]
        sender = net.members_by_name[context.case.names(1, "router")[0]]
        message = sender.gossip._messenger.build_message(member.name)
        member.is_paused = True
        await net.run_for(seconds)
        member.is_paused = False
        await member.gossip._handle_gossip(message)
        context.member = member

    context.case.actions.append(action)


@when("it has been unlisted for {seconds:d} s")
def step_impl(context, seconds):
    async def action(net):
        del net.listed[context.vanished]
        await net.run_for(seconds)

    context.case.actions.append(action)


@when("{what} for {seconds:d} s")
def step_impl(context, what, seconds):
    async def action(net):
        if what == "a controller leaves and ends":
            member = net.members_by_name[context.case.names(1, "controller")[0]]
            member.members.leave()
            await member.gossip.push()
            member.is_paused = True
        _apply_fault(context, net, what)
        await net.run_for(seconds)

    context.case.actions.append(action)


def _apply_fault(context, net, what):
    case = context.case
    victim = case.names(1, "controller")[0]
    if "partitioned" in what:
        case.split(net)
    if "keep serving" in what:
        for member in case.group_members(net):
            member.guard._settings.serve_when_cut_off = True
    if what == "a controller ends":
        net.members_by_name[victim].is_ended = True
    if what in ("a controller is paused", "a controller vanishes with its host"):
        net.members_by_name[victim].is_paused = True
        context.vanished = victim
    if what == "an unreachable instance is listed":
        net.add("controller-far", "controller").is_paused = True
    if what == "half of the instances are replaced":
        _replace(net, case.names(1))


def _replace(net, names):
    """Replace members at once by others under new names."""
    for name in names:
        member = net.members_by_name[name]
        member.is_ended = True
        del net.listed[name]
        net.add(f"{name}-next", member.members.local.role, incarnation=2)
        for group in net.groups or ():
            if name in group:
                group.append(f"{name}-next")


@given("a follower at revision 0")
def step_impl(context):
    context.case = Case(2)
    context.started_at = 0


@when("it gets history rows that begin at revision 3")
def step_impl(context):
    async def action(net):
        fresh = net.add("router-new", "router")
        verdict = await net.accept("controller-1", withdrawal())
        verdict = await net.accept("controller-1", first_changes())
        assert isinstance(verdict, Accepted)
        rows = await net.members_by_name["controller-1"].store.read_changes(3, 3)
        rows = [AcceptedChange.from_json(row.to_json()) for row in rows]
        answer = {
            "revision": 3,
            "age_ms": 0,
            "changes": [row.to_json() for row in rows],
        }
        fresh.topic._apply_answer(answer, net.clock.now_ms())
        context.revision = fresh.revision()

    context.case.actions.append(action)
    context.case.run()


@then("it stays at revision 0")
def step_impl(context):
    assert context.revision == 0, context.revision


@then("the routers of the first group send to it for at most {bound:g} s")
def step_impl(context, bound):
    case = context.case
    case.run()
    seconds = (case.last_sendable_ms - case.withdrawn_ms) / 1000
    assert seconds <= bound, seconds


@then("the routers that are connected to the store serve other versions throughout")
def step_impl(context):
    late = [
        each
        for each in context.case.unserved
        if each[1] - context.case.withdrawn_ms > 2_000
    ]
    assert not late, late[:5]


@then("the routers of the first group serve")
def step_impl(context):
    net = context.case.run()
    verdicts = [
        each.guard.explain() for each in context.case.group_members(net, "router")
    ]
    assert all(
        each.may_send() for each in context.case.group_members(net, "router")
    ), verdicts


@then("the routers of the first group refuse with not-run")
def step_impl(context):
    net = context.case.run()
    for member in context.case.group_members(net, "router"):
        verdict = member.guard.check_work()
        assert verdict is not None
        assert verdict.outcome is Outcome.NOT_RUN


@then("the routers of the first group serve other versions")
def step_impl(context):
    for member in context.case.group_members(context.case.net, "router"):
        assert member.may_send("small@2") and not member.may_send("small@1")


@then("all have the same revision")
def step_impl(context):
    net = context.case.run()
    revisions = {
        name: member.revision()
        for name, member in net.members_by_name.items()
        if not member.is_ended
    }
    assert len(set(revisions.values())) == 1, revisions
    assert 0 not in revisions.values()


@then("all members are live everywhere")
def step_impl(context):
    running = [
        member
        for member in context.case.net.members_by_name.values()
        if not member.is_ended
    ]
    names = sorted(member.name for member in running)
    for member in running:
        seen = [member.name, *(each.name for each in member.members.peers())]
        assert sorted(seen) == names, (member.name, seen)


@then("it has the revision of the others and serves")
def step_impl(context):
    context.case.run()
    assert context.started.revision() == 1
    assert context.started.may_send("small@1"), context.started.guard.explain()


@then("the message does not refresh the configuration")
def step_impl(context):
    context.case.run()
    assert context.member.guard.check_work() is not None


@given("a request whose version was chosen")
def step_impl(context):
    context.case = Case(2)


@when("{change} before it is sent")
def step_impl(context, change):
    async def action(net):
        member = net.members_by_name["router-0"]
        assert member.may_send("small@1")
        if "paused" in change:
            net.clock.advance_by(60_000)
        else:
            await net.accept("controller-1", _changes_of(change))
            await member.follower.poll()
        context.member = member

    context.case.actions.append(action)


def _changes_of(change):
    if "withdrawn" in change:
        return withdrawal()
    if "organisation is removed" in change:
        return [Change("organisation", "acme", None)]
    if "version is removed" in change:
        only = {"cost": 1, "current": "2", "versions": {"2": {}}}
        return [Change("model", "small", only)]
    narrow = {**TEMPLATE["organisation"], "allowed": {"chat": ["small@2"]}}
    return [Change("template", "basic", {"parameters": {}, "organisation": narrow})]


@then("it is refused with not-run")
def step_impl(context):
    context.case.run()
    assert not context.member.may_send("small@1")

"""Steps of leases."""

from behave import given, then, when
from hypothesis import given as forall, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from tables import ORDER_TIMEOUT_MS, Engine, MemoryRow, Process, start_pair

from stoatpath.clock import ManualClock
from stoatpath.leases.states import LEASE_MS, RENEW_MS

PROCESSES = 3


class LeaseMachine(RuleBasedStateMachine):
    """Processes that read, write, stop between steps and give orders."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.row = MemoryRow()
        self.engine = Engine(checks_fencing=True)
        self.ignoring = Engine(checks_fencing=False)
        self.claims_by_fencing = {}
        self.processes = [
            Process(f"p{index}", self.row, self.clock, index * 777_777.0)
            for index in range(PROCESSES)
        ]
        self.pending = [None] * PROCESSES
        self.checked = [None] * PROCESSES

    which = strategies.integers(0, PROCESSES - 1)

    @rule(step_ms=strategies.sampled_from((100, 300, 5_000, 14_900, 16_000)))
    def time_passes(self, step_ms):
        self.clock.advance_by(step_ms)

    @rule(index=which)
    def read(self, index):
        self.processes[index].read()

    @rule(index=which)
    def send_write(self, index):
        """Plan a write that arrives later, if ever."""
        write = self.processes[index].plan()
        self.pending[index] = write or self.pending[index]

    @rule(index=which, keep=strategies.booleans())
    def write_arrives(self, index, keep):
        """The write arrives; kept ones arrive again."""
        if self.pending[index] is not None:
            self.row.write(self.pending[index])
            if not keep:
                self.pending[index] = None

    @rule(index=which)
    def write_and_read_back(self, index):
        self.processes[index].tick()

    @rule(index=which)
    def release(self, index):
        process = self.processes[index]
        process.serial += 1
        nonce = f"{process.name}-{process.serial}"
        write = process.lease.release(process.now_ms(), nonce)
        self.pending[index] = write or self.pending[index]

    @rule(index=which)
    def check_lease(self, index):
        process = self.processes[index]
        if process.may_order():
            self.checked[index] = process.lease.fencing

    @rule(index=which)
    def send_order(self, index):
        """Send what was checked before, however long ago."""
        if self.checked[index] is None:
            return
        now_ms = self.clock.now_ms()
        name = self.processes[index].name
        self.engine.order(name, self.checked[index], now_ms)
        if self.processes[index].may_order():
            self.ignoring.order(name, self.processes[index].lease.fencing, now_ms)

    @invariant()
    def one_believes(self):
        holders = [each.name for each in self.processes if each.is_holder()]
        assert len(holders) <= 1, holders

    @invariant()
    def one_name_for_each_fencing_number(self):
        for engine in (self.engine, self.ignoring):
            for name, fencing, _ in engine.obeyed:
                assert self.claims_by_fencing.setdefault(fencing, name) == name

    @invariant()
    def fencing_numbers_never_fall(self):
        for engine in (self.engine, self.ignoring):
            numbers = [fencing for _, fencing, _ in engine.obeyed]
            assert numbers == sorted(numbers)

    def teardown(self):
        """Once faults stop, one process holds the lease and keeps it."""
        for _ in range(30):
            self.clock.advance_by(1_000)
            for process in self.processes:
                process.tick()
        assert sum(each.is_holder() for each in self.processes) == 1


@then("claims, renewals, lost replies, pauses and orders keep one effective holder")
def step_impl(context):
    run_state_machine_as_test(
        LeaseMachine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=150,
            stateful_step_count=40,
        ),
    )


@then("for any delays of write and reading the holder lapses before the next claim")
def step_impl(context):
    delays = strategies.integers(0, 3 * LEASE_MS)

    @settings(derandomize=True, database=None, deadline=None)
    @forall(delays, delays, delays)
    def check(write_ms, own_read_ms, other_read_ms):
        clock = ManualClock()
        row = MemoryRow()
        holder = Process("a", row, clock, 1_000_000.0)
        other = Process("b", row, clock, 5.0)
        holder.read()
        write = holder.plan()
        clock.advance_by(write_ms)
        assert row.write(write)
        for process, at_ms in sorted(
            ((holder, own_read_ms), (other, other_read_ms)), key=lambda each: each[1]
        ):
            clock.advance_to(write_ms + at_ms)
            process.read()
        while other.plan() is None:
            clock.advance_by(50)
        assert not holder.is_holder()

    check()


@given('a holder "a" and another process "b"')
def step_impl(context):
    context.clock, context.row, context.a, context.b = start_pair()
    context.engine = Engine(checks_fencing=True)
    context.ignoring = Engine(checks_fencing=False)
    assert context.a.is_holder() and not context.b.is_holder()


@when('the reply to the next claim of "a" is lost after it took effect')
def step_impl(context):
    context.clock.advance_by(2 * LEASE_MS)
    context.a.read()
    write = context.a.plan()
    assert write.row.fencing == context.a.lease.fencing + 1
    assert context.row.write(write)


@when('the reply to the next renewal of "a" is lost after it took effect')
def step_impl(context):
    context.clock.advance_by(RENEW_MS)
    context.a.read()
    write = context.a.plan()
    assert write.row.fencing == context.a.lease.fencing
    assert context.row.write(write)
    context.clock.advance_by(LEASE_MS - RENEW_MS - 1)


@then('"a" finds by reading back that it holds the lease')
def step_impl(context):
    context.a.read()
    assert context.a.is_holder()


@then('"b" does not hold it')
def step_impl(context):
    context.b.tick()
    assert not context.b.is_holder()


@when('"a" is paused {moment} for {paused_ms:d} ms')
def step_impl(context, moment, paused_ms):
    context.moment = moment
    context.write = None
    if moment == "before it renews":
        context.clock.advance_by(RENEW_MS)
        context.a.read()
        context.write = context.a.plan()
    if moment == "before it sends":
        assert context.a.may_order()
    context.b.read()
    context.clock.advance_by(paused_ms)


@when('"b" claims the lease if it is free')
def step_impl(context):
    context.b.tick()
    if context.b.may_order():
        _order(context, context.b)


def _order(context, process):
    fencing = process.lease.fencing
    context.engine.order(process.name, fencing, context.clock.now_ms())
    context.ignoring.order(process.name, fencing, context.clock.now_ms())


@when('"a" wakes')
def step_impl(context):
    if context.moment == "before it reads":
        context.a.read()
    if context.moment == "before it renews":
        context.row.write(context.write)
        context.a.read()
    if context.moment == "before it sends" or context.a.may_order():
        _order(context, context.a)


@then('an engine that checks fencing numbers obeys only "{name}"')
def step_impl(context, name):
    assert {obeyed for obeyed, _, _ in context.engine.obeyed} == {name}


@then('an engine that ignores them obeys only "{name}"')
def step_impl(context, name):
    assert {obeyed for obeyed, _, _ in context.ignoring.obeyed} == {name}


@then('an engine that ignores them obeys "a" only after the order\'s deadline')
def step_impl(context):
    late = [at_ms for name, _, at_ms in context.ignoring.obeyed if name == "a"]
    assert late and min(late) > ORDER_TIMEOUT_MS


@when("the store is down for {outage_ms:d} ms")
def step_impl(context, outage_ms):
    context.clock.advance_by(outage_ms)


@then("nobody holds the lease")
def step_impl(context):
    assert not context.a.is_holder() and not context.b.is_holder()


@when("the store is back and {passed_ms:d} ms pass")
def step_impl(context, passed_ms):
    for _ in range(passed_ms // 1_000):
        context.clock.advance_by(1_000)
        context.b.tick()
        context.a.tick()


@then("exactly one process holds the lease")
def step_impl(context):
    assert [context.a.is_holder(), context.b.is_holder()].count(True) == 1


@when('"a" stops gracefully')
def step_impl(context):
    write = context.a.lease.release(context.a.now_ms(), "a-release")
    assert context.row.write(write)


@then('"b" claims the lease without waiting')
def step_impl(context):
    context.b.tick()
    assert context.b.is_holder() and not context.a.is_holder()

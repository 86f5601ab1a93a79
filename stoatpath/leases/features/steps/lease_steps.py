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
    """Processes that read, write, pause between steps and send orders."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.row = MemoryRow()
        self.engine = Engine(checks_fencing=True)
        self.ignoring = Engine(checks_fencing=False)
        self.claims_by_fencing = {}
        self.processes = [
            # Each process has a clock with another offset in ms.
            Process(f"p{index}", self.row, self.clock, index * 777_777.0)
            for index in range(PROCESSES)
        ]
        self.pending = [None] * PROCESSES
        self.checked = [None] * PROCESSES

    process_indexes = strategies.integers(0, PROCESSES - 1)

    @rule(step_ms=strategies.sampled_from((100, 300, 5_000, 14_900, 16_000)))
    def time_passes(self, step_ms):
        self.clock.advance_by(step_ms)

    @rule(index=process_indexes)
    def read(self, index):
        self.processes[index].read()

    @rule(index=process_indexes)
    def send_write(self, index):
        """Prepare a write that arrives later or never."""
        write = self.processes[index].next_write()
        self.pending[index] = write or self.pending[index]

    @rule(index=process_indexes, keep=strategies.booleans())
    def write_arrives(self, index, keep):
        """Apply a pending write; a kept one is applied again later."""
        if self.pending[index] is not None:
            self.row.write(self.pending[index])
            if not keep:
                self.pending[index] = None

    @rule(index=process_indexes)
    def write_and_read_back(self, index):
        self.processes[index].tick()

    @rule(index=process_indexes)
    def release(self, index):
        process = self.processes[index]
        process.serial += 1
        nonce = f"{process.name}-{process.serial}"
        write = process.lease.release(process.now_ms(), nonce)
        self.pending[index] = write or self.pending[index]

    @rule(index=process_indexes)
    def check_lease(self, index):
        process = self.processes[index]
        if process.may_order():
            self.checked[index] = process.lease.fencing

    @rule(index=process_indexes)
    def send_order(self, index):
        """Send an order by an earlier check, however old that is."""
        if self.checked[index] is None:
            return
        now_ms = self.clock.now_ms()
        name = self.processes[index].name
        self.engine.order(name, self.checked[index], now_ms)
        if self.processes[index].may_order():
            self.ignoring.order(name, self.processes[index].lease.fencing, now_ms)

    @invariant()
    def at_most_one_holder(self):
        holders = [each.name for each in self.processes if each.is_holder()]
        assert len(holders) <= 1, holders

    @invariant()
    def one_holder_per_fencing_token(self):
        for engine in (self.engine, self.ignoring):
            for name, fencing, _ in engine.accepted:
                assert self.claims_by_fencing.setdefault(fencing, name) == name

    @invariant()
    def fencing_tokens_never_decrease(self):
        for engine in (self.engine, self.ignoring):
            tokens = [fencing for _, fencing, _ in engine.accepted]
            assert tokens == sorted(tokens)

    def teardown(self):
        """Once faults stop, one process holds the lease and keeps it."""
        for _ in range(30):
            self.clock.advance_by(1_000)
            for process in self.processes:
                process.tick()
        assert sum(each.is_holder() for each in self.processes) == 1


@then("claims, renewals, lost replies, pauses and orders leave one acting holder")
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


@then("for any delays of writes and reads the lease expires before the next claim")
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
        write = holder.next_write()
        clock.advance_by(write_ms)
        assert row.write(write)
        for process, at_ms in sorted(
            ((holder, own_read_ms), (other, other_read_ms)), key=lambda each: each[1]
        ):
            clock.advance_to(write_ms + at_ms)
            process.read()
        while other.next_write() is None:
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
    write = context.a.next_write()
    assert write.row.fencing == context.a.lease.fencing + 1
    assert context.row.write(write)


@when('the reply to the next renewal of "a" is lost after it took effect')
def step_impl(context):
    context.clock.advance_by(RENEW_MS)
    context.a.read()
    write = context.a.next_write()
    assert write.row.fencing == context.a.lease.fencing
    assert context.row.write(write)
    context.clock.advance_by(LEASE_MS - RENEW_MS - 1)


@then('"a" reads back that it holds the lease')
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
        context.write = context.a.next_write()
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


@when('"a" resumes')
def step_impl(context):
    if context.moment == "before it reads":
        context.a.read()
    if context.moment == "before it renews":
        context.row.write(context.write)
        context.a.read()
    if context.moment == "before it sends" or context.a.may_order():
        _order(context, context.a)


@then('an engine that checks fencing tokens accepts orders only of "{name}"')
def step_impl(context, name):
    assert {accepted for accepted, _, _ in context.engine.accepted} == {name}


@then('an engine that ignores them accepts orders only of "{name}"')
def step_impl(context, name):
    assert {accepted for accepted, _, _ in context.ignoring.accepted} == {name}


@then(
    'an engine that ignores them accepts orders of "a" only after the order\'s deadline'
)
def step_impl(context):
    late = [at_ms for name, _, at_ms in context.ignoring.accepted if name == "a"]
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

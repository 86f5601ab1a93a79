"""A state machine of the queue for slots."""

from behave import given, then
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from stoatpath.admission.messages import QUEUED, AdmissionRequest, Grant
from stoatpath.admission.queues import AdmissionQueue
from stoatpath.outcomes import is_failure

POOLS = ("p", "q")
MAX_QUEUED = 16
TRIALS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=300,
    stateful_step_count=60,
)


class AdmissionMachine(RuleBasedStateMachine):
    """Offers, ends, cancels and expires requests, whose identifiers are often equal."""

    requests = Bundle("requests")

    def __init__(self):
        super().__init__()
        self.queue = AdmissionQueue(MAX_QUEUED)
        self.now_ms = 0.0
        self.waiting = []
        self.grants = []

    @initialize(slots=st.tuples(st.integers(0, 3), st.integers(0, 3)))
    def start(self, slots):
        for pool, count in zip(POOLS, slots):
            self.queue.set_capacity(pool, count)

    def take(self, grants):
        for grant in grants:
            # Raises ValueError if it is given to a request that doesn't wait.
            self.waiting.remove(grant.request)
            assert grant.pool in grant.request.pools
            self.grants.append(grant)

    @rule(
        target=requests,
        request_id=st.sampled_from(["one", "two"]),
        organisation=st.sampled_from(["a", "b"]),
        pools=st.sampled_from([("p",), ("q",), ("p", "q"), ("q", "p")]),
        is_short=st.booleans(),
        left_ms=st.sampled_from([0.0, 100.0, 1e6]),
    )
    def offer(self, request_id, organisation, pools, is_short, left_ms):
        request = AdmissionRequest(
            request_id, organisation, 1, pools, self.now_ms + left_ms, 50.0, is_short
        )
        decision = self.queue.offer(request, self.now_ms)
        if isinstance(decision, Grant):
            assert decision.request is request
            self.grants.append(decision)
        elif decision is QUEUED:
            self.waiting.append(request)
        else:
            assert is_failure(decision)
        return request

    @rule(number=st.integers(0, 100))
    def release(self, number):
        if self.grants:
            grant = self.grants.pop(number % len(self.grants))
            self.take(self.queue.release(grant, self.now_ms))

    @rule(request=consumes(requests))
    def cancel(self, request):
        was_waiting = request in self.waiting
        assert self.queue.remove_waiting(request) == was_waiting
        if was_waiting:
            self.waiting.remove(request)

    @rule(request=consumes(requests))
    def expire(self, request):
        assert is_failure(self.queue.expire(request, self.now_ms))
        if request in self.waiting:
            self.waiting.remove(request)

    @rule(pool=st.sampled_from(POOLS), slots=st.integers(0, 4))
    def set_capacity(self, pool, slots):
        self.queue.set_capacity(pool, slots)
        self.take(self.queue.grant_waiting(self.now_ms))

    @rule(duration_ms=st.sampled_from([1.0, 60.0, 70_000.0]))
    def wait(self, duration_ms):
        self.now_ms += duration_ms

    @invariant()
    def counts_agree(self):
        for load in self.queue.pool_loads():
            assert load.in_use == sum(each.pool == load.pool for each in self.grants)
        assert set(self.queue.waiting_requests()) == set(self.waiting)
        assert len(self.waiting) == len(set(self.waiting)) <= MAX_QUEUED
        assert not self.queue.discarded

    def teardown(self):
        """End everything: all slots are free, and nobody waits."""
        while self.grants:
            self.take(self.queue.release(self.grants.pop(), self.now_ms))
        for request in list(self.waiting):
            self.cancel(request)
        assert all(not load.in_use for load in self.queue.pool_loads())
        assert not self.queue.waiting_requests()
        for pool in self.queue._pools_by_name.values():
            assert not pool.queues_by_organisation
        assert not self.queue._waiting_counts_by_organisation


@given("requests that are offered, granted, ended, cancelled and refused in any order")
def step_impl(context):
    context.machine = AdmissionMachine


@then("no slot is lost or given twice, whatever identifiers they have")
def step_impl(context):
    run_state_machine_as_test(context.machine, settings=TRIALS)


@given("a queue with an entry of a request that doesn't wait")
def step_impl(context):
    context.queue = queue = AdmissionQueue(MAX_QUEUED)
    queue.set_capacity("p", 1)
    requests = [
        AdmissionRequest(f"r{number}", "a", 1, ("p",), 1e6 + number, 50.0, False)
        for number in range(3)
    ]
    context.grant = queue.offer(requests[0], 0.0)
    assert all(queue.offer(each, 0.0) is QUEUED for each in requests[1:])
    del queue._waiting_by_request[requests[1]]
    context.last = requests[2]


@then("the next request gets the slot, and one entry was discarded")
def step_impl(context):
    (grant,) = context.queue.release(context.grant, 1.0)
    assert grant.request is context.last
    assert context.queue.discarded == 1

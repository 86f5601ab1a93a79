"""Schedules requests on the slots of pools: state only, without waiting or I/O.

When a slot of a pool is released, it goes to the organisation with the fewest slots in
use divided by its weight, among those that wait for the pool: the greedy rule of Choosy
(Ghodsi, Zaharia, Shenker, Stoica: Choosy, Max-Min Fair Sharing for Datacenter Jobs with
Constraints, EuroSys 2013). The slots in use are a moving average over seconds: the fair
share of a small organisation can be below one slot, which a momentary count could not
tell from one whole slot. Within an organisation, the class (short or long work) that
has used fewer slots comes first, then the earliest deadline.
"""

import logging

from stoatpath.admission.messages import QUEUED, Grant, PoolLoad
from stoatpath.admission.usages import AVERAGE_TIME_CONSTANT_MS, OrganisationUsage
from stoatpath.admission.waiting_queues import WaitingQueue
from stoatpath.outcomes import DEADLINE_UNREACHABLE, OVERLOADED, Failure

logger = logging.getLogger(__name__)

SHORT_WORK_RESERVED_SHARE = 0.05
SHORT_WORK_RESERVE_DURATION_MS = 60_000.0
HOLD_TIME_SMOOTHING_FACTOR = 0.05
WAIT_ESTIMATE_SAFETY_FACTOR = 5.0
MAX_ORGANISATION_QUEUE_SHARE = 0.25
# The expected wait in pools without slots, and when to ask for one again.
NEVER_MS = float("inf")
NO_SLOTS_RETRY_MS = 1_000.0


class Pool:
    """Slots of one pool, their smoothed hold times, and the waiting requests."""

    __slots__ = (
        "capacity",
        "in_use",
        "queues_by_organisation",
        "_short_hold_ms",
        "_long_hold_ms",
        "_last_short_arrival_ms",
    )

    def __init__(self):
        self.capacity = 0
        self.in_use = 0
        self.queues_by_organisation = {}
        self._short_hold_ms = 0.0
        self._long_hold_ms = 0.0
        self._last_short_arrival_ms = float("-inf")

    def record_arrival(self, is_short, now_ms):
        """Record an arrival; short work renews the reservation of slots for it."""
        if is_short:
            self._last_short_arrival_ms = now_ms

    def has_free_slot(self, is_short, now_ms):
        """Return whether a slot is free for short or for long work."""
        return self.in_use < self.usable_slots(is_short, now_ms)

    def record_hold_time(self, hold_ms, is_short):
        """Update the smoothed hold time of short or long work."""
        if is_short:
            self._short_hold_ms = _update_smoothed(self._short_hold_ms, hold_ms)
        else:
            self._long_hold_ms = _update_smoothed(self._long_hold_ms, hold_ms)

    def fair_slots(self, request, now_ms):
        """Return the fair share of slots for a request's organisation and class.

        Slots are shared by weight with the organisations that wait, and within an
        organisation equally between short and long work.
        """
        weights = request.weight
        for name, queue in self.queues_by_organisation.items():
            if name != request.organisation:
                weights += queue.weight
        slots = self.usable_slots(request.is_short, now_ms) * request.weight / weights
        queue = self.queues_by_organisation.get(request.organisation)
        if queue is not None and queue.has_waiting(not request.is_short):
            slots /= 2
        return slots

    def queued_work_ms(self, request):
        """Return the slot time queued up to and including a request.

        Counts requests of the same organisation and class.
        """
        hold_ms = self._short_hold_ms if request.is_short else self._long_hold_ms
        queue = self.queues_by_organisation.get(request.organisation)
        before = 0 if queue is None else queue.count_ahead(request)
        return (before + 1) * (hold_ms or request.expected_ms)

    def usable_slots(self, is_short, now_ms):
        """Return the slots for short or long work.

        A part is reserved for short work while some has arrived recently.
        """
        if (
            is_short
            or now_ms - self._last_short_arrival_ms > SHORT_WORK_RESERVE_DURATION_MS
        ):
            return self.capacity
        return self.capacity - int(self.capacity * SHORT_WORK_RESERVED_SHARE)


class _Waiting:
    """The sequence number and arrival time of a waiting request."""

    __slots__ = ("sequence", "queued_ms")

    def __init__(self, sequence, queued_ms):
        self.sequence = sequence
        self.queued_ms = queued_ms


class AdmissionQueue:
    """Pools, slot usage per organisation, and the waiting requests.

    `discarded` counts entries of pools that no waiting request had.
    """

    __slots__ = (
        "discarded",
        "_pools_by_name",
        "_usages_by_organisation",
        "_waiting_counts_by_organisation",
        "_waiting_by_request",
        "_sequence",
        "_max_queued",
    )

    def __init__(self, max_queued):
        self.discarded = 0
        self._pools_by_name = {}
        self._usages_by_organisation = {}
        self._waiting_counts_by_organisation = {}
        self._waiting_by_request = {}
        self._sequence = 0
        self._max_queued = max_queued

    def set_capacity(self, pool, slots):
        """Set the slots of a pool."""
        self._pool(pool).capacity = slots

    def pool_loads(self):
        """Return the capacity and the slots in use of each pool."""
        return [
            PoolLoad(name, pool.capacity, pool.in_use)
            for name, pool in self._pools_by_name.items()
        ]

    def offer(self, request, now_ms):
        """Grant a slot, queue the request or refuse it.

        Return a grant, `QUEUED` or a failure. A request is queued only if
        `WAIT_ESTIMATE_SAFETY_FACTOR` times its expected wait, plus its own expected
        time, fits before its deadline.
        """
        for name in request.pools:
            self._pool(name).record_arrival(request.is_short, now_ms)
        for name in request.pools:
            if self._pool(name).has_free_slot(request.is_short, now_ms):
                return self._grant(request, name, now_ms)
        wait_ms = self.expected_wait_ms(request, now_ms)
        retry_at_ms = self._retry_at_ms(wait_ms, now_ms)
        if self._is_full_for(request.organisation):
            return Failure(OVERLOADED, "the queue is full", retry_at_ms=retry_at_ms)
        end_ms = now_ms + WAIT_ESTIMATE_SAFETY_FACTOR * wait_ms + request.expected_ms
        if end_ms > request.deadline_ms and wait_ms < NEVER_MS:
            detail = f"expected to wait {wait_ms:.0f} ms"
            return Failure(DEADLINE_UNREACHABLE, detail, retry_at_ms=retry_at_ms)
        self._enqueue(request, now_ms)
        return QUEUED

    def release(self, grant, now_ms):
        """Release a slot; return the grants that follow."""
        pool = self._pool(grant.pool)
        pool.in_use -= 1
        pool.record_hold_time(now_ms - grant.granted_ms, grant.request.is_short)
        organisation = grant.request.organisation
        usage = self._usage(organisation)
        usage.of_class(grant.request.is_short).add_running(-1, now_ms)
        if usage.is_idle(now_ms):
            del self._usages_by_organisation[organisation]
        return self._grant_waiting_in_pool(grant.pool, now_ms)

    def grant_waiting(self, now_ms):
        """Grant the free slots of all pools to waiting requests."""
        grants = []
        for name in self._pools_by_name:
            grants += self._grant_waiting_in_pool(name, now_ms)
        return grants

    def waiting_requests(self):
        """Return the waiting requests."""
        return list(self._waiting_by_request)

    def remove_waiting(self, request):
        """Remove a waiting request; return whether it was still waiting."""
        waiting = self._waiting_by_request.pop(request, None)
        if waiting is None:
            return False
        _decrement(self._waiting_counts_by_organisation, request.organisation)
        for name in request.pools:
            queues = self._pool(name).queues_by_organisation
            queue = queues[request.organisation]
            queue.remove(request, waiting.sequence)
            if not len(queue):
                del queues[request.organisation]
        return True

    def expire(self, request, now_ms):
        """Remove a request that can no longer meet its deadline; return its failure."""
        self.remove_waiting(request)
        wait_ms = self.expected_wait_ms(request, now_ms)
        retry_at_ms = self._retry_at_ms(wait_ms, now_ms)
        detail = "no slot freed in time"
        return Failure(DEADLINE_UNREACHABLE, detail, retry_at_ms=retry_at_ms)

    def expected_wait_ms(self, request, now_ms):
        """Return the expected wait of a request that arrives now.

        It is `NEVER_MS` while its pools have no slots at all: these may get some.
        An organisation that has used less than its fair share gets every slot that
        is released in its pools until it has caught up, and its fair share of the
        slots from then on. `unused_share_ms` is the slot time by which its averaged
        usage is below its fair share.
        """
        work_ms = 0.0
        all_slots = 0.0
        organisation_slots = 0.0
        for name in request.pools:
            pool = self._pool(name)
            if pool.has_free_slot(request.is_short, now_ms):
                return 0.0
            work_ms = max(work_ms, pool.queued_work_ms(request))
            all_slots += pool.usable_slots(request.is_short, now_ms)
            organisation_slots += pool.fair_slots(request, now_ms)
        if organisation_slots <= 0.0:
            return NEVER_MS
        usage = self._usage(request.organisation)
        unused_share_ms = (
            max(0.0, organisation_slots - usage.average_slots(now_ms))
            * AVERAGE_TIME_CONSTANT_MS
        )
        unused_share_ms = min(work_ms, unused_share_ms)
        wait_ms = (
            unused_share_ms / all_slots
            + (work_ms - unused_share_ms) / organisation_slots
        )
        if not self._has_requests_ahead(request):
            return wait_ms
        return max(wait_ms, usage.of_class(request.is_short).wait_ms)

    def _retry_at_ms(self, wait_ms, now_ms):
        return now_ms + (NO_SLOTS_RETRY_MS if wait_ms == NEVER_MS else wait_ms)

    def _has_requests_ahead(self, request):
        """Return whether requests of its organisation and class are ahead of it."""
        for name in request.pools:
            queue = self._pool(name).queues_by_organisation.get(request.organisation)
            if queue is not None and queue.count_ahead(request):
                return True
        return False

    def _is_full_for(self, organisation):
        own = self._waiting_counts_by_organisation.get(organisation, 0)
        if own >= max(1, int(self._max_queued * MAX_ORGANISATION_QUEUE_SHARE)):
            return True
        return len(self._waiting_by_request) >= self._max_queued

    def _enqueue(self, request, now_ms):
        self._sequence += 1
        self._waiting_by_request[request] = _Waiting(self._sequence, now_ms)
        _increment(self._waiting_counts_by_organisation, request.organisation)
        for name in request.pools:
            queues = self._pool(name).queues_by_organisation
            queue = queues.setdefault(request.organisation, WaitingQueue())
            queue.add(request, self._sequence)

    def _grant_waiting_in_pool(self, name, now_ms):
        grants = []
        while (request := self._next_request(name, now_ms)) is not None:
            waiting = self._waiting_by_request.get(request)
            if waiting is None:
                self._discard(name, request)
                continue
            waited_ms = now_ms - waiting.queued_ms
            usage = self._usage(request.organisation).of_class(request.is_short)
            usage.record_wait(waited_ms)
            self.remove_waiting(request)
            grants.append(self._grant(request, name, now_ms))
        return grants

    def _discard(self, pool_name, request):
        """Drop an entry of a request that doesn't wait; the others get their turn."""
        self.discarded += 1
        extra = {"request_id": request.request_id, "pool": pool_name}
        logger.error("admission.entry-discarded", extra=extra)
        queues = self._pool(pool_name).queues_by_organisation
        queues[request.organisation].discard(request)
        if not len(queues[request.organisation]):
            del queues[request.organisation]

    def _next_request(self, pool_name, now_ms):
        pool = self._pool(pool_name)
        if not pool.has_free_slot(True, now_ms):
            return None
        best = None
        best_rank = None
        for organisation, queue in pool.queues_by_organisation.items():
            request = self._next_of_organisation(pool, organisation, queue, now_ms)
            if request is None:
                continue
            rank = self._rank(request, pool_name, now_ms)
            if best_rank is None or rank < best_rank:
                best = request
                best_rank = rank
        return best

    def _next_of_organisation(self, pool, organisation, queue, now_ms):
        """Return an organisation's next request; the class with lower usage first."""
        if not pool.has_free_slot(False, now_ms):
            return queue.first_feasible(True, now_ms)
        prefers_short = self._usage(organisation).prefers_short(now_ms)
        found = queue.first_feasible(prefers_short, now_ms)
        return found or queue.first_feasible(not prefers_short, now_ms)

    def _rank(self, request, pool_name, now_ms):
        average = self._usage(request.organisation).average_slots(now_ms)
        return average / request.weight, request.deadline_ms

    def _grant(self, request, pool_name, now_ms):
        self._pool(pool_name).in_use += 1
        usage = self._usage(request.organisation).of_class(request.is_short)
        usage.add_running(1, now_ms)
        return Grant(request, pool_name, now_ms)

    def _usage(self, organisation):
        usage = self._usages_by_organisation.get(organisation)
        if usage is None:
            usage = self._usages_by_organisation[organisation] = OrganisationUsage()
        return usage

    def _pool(self, name):
        pool = self._pools_by_name.get(name)
        if pool is None:
            pool = self._pools_by_name[name] = Pool()
        return pool


def _update_smoothed(value, sample):
    if value == 0.0:
        return sample
    return value + HOLD_TIME_SMOOTHING_FACTOR * (sample - value)


def _increment(counts, key):
    counts[key] = counts.get(key, 0) + 1


def _decrement(counts, key):
    counts[key] -= 1
    if not counts[key]:
        del counts[key]

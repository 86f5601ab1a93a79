"""Decides who gets a slot: pure state, no waiting.

When a slot frees in a pool, the organisation with the lowest weighted share
that may run there is served: the greedy rule of Choosy (Ghodsi, Zaharia,
Shenker, Stoica: Choosy, Max-Min Fair Sharing for Datacenter Jobs with
Constraints, EuroSys 2013). The share is averaged over seconds, since small
organisations hold whole slots. Within an organisation the class, short work or
the rest, that had less goes first, then the earliest deadline.
"""

from stoatpath.admission.lines import WaitingLine
from stoatpath.admission.messages import QUEUED, Grant, PoolLoad
from stoatpath.admission.usages import AVERAGED_MS, OrganisationUsage
from stoatpath.outcomes import DEADLINE_UNREACHABLE, OVERLOADED, Failure

SHORT_RESERVE = 0.05
SHORT_RESERVED_FOR_MS = 60_000.0
SMOOTHING = 0.05
WAIT_MARGIN = 5.0
MAX_ORGANISATION_SHARE = 0.25


class Pool:
    """Slots of one pool, how long they are held, and who waits for them."""

    __slots__ = (
        "capacity",
        "in_use",
        "lines_by_organisation",
        "_short_held_ms",
        "_long_held_ms",
        "_short_seen_ms",
    )

    def __init__(self):
        self.capacity = 0
        self.in_use = 0
        self.lines_by_organisation = {}
        self._short_held_ms = 0.0
        self._long_held_ms = 0.0
        self._short_seen_ms = float("-inf")

    def note_arrival(self, is_short, now_ms):
        """Note work that may run here, so that slots are reserved if need be."""
        if is_short:
            self._short_seen_ms = now_ms

    def has_room(self, is_short, now_ms):
        """Return whether a slot is free for such work."""
        return self.in_use < self.slots(is_short, now_ms)

    def learn_held(self, held_ms, is_short):
        """Take the time for which one slot was held."""
        if is_short:
            self._short_held_ms = _smooth(self._short_held_ms, held_ms)
        else:
            self._long_held_ms = _smooth(self._long_held_ms, held_ms)

    def share_for(self, request, now_ms):
        """Return the share of the slots that serves a request's class here.

        Organisations share by weight with those that wait; short work and the
        rest of one organisation share alike.
        """
        weights = request.weight
        for name, line in self.lines_by_organisation.items():
            if name != request.organisation:
                weights += line.weight
        slots = self.slots(request.is_short, now_ms) * request.weight / weights
        line = self.lines_by_organisation.get(request.organisation)
        if line is not None and line.has_class(not request.is_short):
            slots /= 2
        return slots

    def work_before_ms(self, request):
        """Return the slot time of its own line up to and with a request."""
        held_ms = self._short_held_ms if request.is_short else self._long_held_ms
        line = self.lines_by_organisation.get(request.organisation)
        before = 0 if line is None else line.count_before(request)
        return (before + 1) * (held_ms or request.expected_ms)

    def slots(self, is_short, now_ms):
        """Return the slots for such work; some are kept for short work, if any."""
        if is_short or now_ms - self._short_seen_ms > SHORT_RESERVED_FOR_MS:
            return self.capacity
        return self.capacity - int(self.capacity * SHORT_RESERVE)


class _Waiting:
    """A waiting request with the number and the time of its arrival."""

    __slots__ = ("request", "sequence", "since_ms")

    def __init__(self, request, sequence, since_ms):
        self.request = request
        self.sequence = sequence
        self.since_ms = since_ms


class AdmissionQueue:
    """Pools, running work per organisation, and the requests that wait."""

    __slots__ = (
        "_pools_by_name",
        "_usages_by_organisation",
        "_waiting_by_organisation",
        "_waiting_by_id",
        "_sequence",
        "_limit",
    )

    def __init__(self, max_queued):
        self._pools_by_name = {}
        self._usages_by_organisation = {}
        self._waiting_by_organisation = {}
        self._waiting_by_id = {}
        self._sequence = 0
        self._limit = max_queued

    def set_capacity(self, pool, slots):
        """Set the slots of a pool."""
        self._pool(pool).capacity = slots

    def pool_loads(self):
        """Return how full each pool is."""
        return [
            PoolLoad(name, pool.capacity, pool.in_use)
            for name, pool in self._pools_by_name.items()
        ]

    def offer(self, request, now_ms):
        """Return a grant, `QUEUED`, or a failure."""
        for name in request.pools:
            self._pool(name).note_arrival(request.is_short, now_ms)
        for name in request.pools:
            if self._pool(name).has_room(request.is_short, now_ms):
                return self._grant(request, name, now_ms)
        wait_ms = self.expected_wait_ms(request, now_ms)
        if self._is_full_for(request.organisation):
            return Failure(
                OVERLOADED, "the queue is full", retry_at_ms=now_ms + wait_ms
            )
        end_ms = now_ms + WAIT_MARGIN * wait_ms + request.expected_ms
        if end_ms > request.deadline_ms:
            detail = f"expected to wait {wait_ms:.0f} ms"
            retry_at_ms = now_ms + wait_ms
            return Failure(DEADLINE_UNREACHABLE, detail, retry_at_ms=retry_at_ms)
        self._add(request, now_ms)
        return QUEUED

    def release(self, grant, now_ms):
        """Free a slot; return the grants that follow."""
        pool = self._pool(grant.pool)
        pool.in_use -= 1
        pool.learn_held(now_ms - grant.granted_ms, grant.is_short)
        usage = self._usage(grant.organisation)
        usage.of_class(grant.is_short).change(-1, now_ms)
        if usage.is_gone(now_ms):
            del self._usages_by_organisation[grant.organisation]
        return self._serve_pool(grant.pool, now_ms)

    def serve(self, now_ms):
        """Grant waiting requests of all pools while there is room."""
        grants = []
        for name in self._pools_by_name:
            grants += self._serve_pool(name, now_ms)
        return grants

    def cancel(self, request_id):
        """Forget a waiting request; return whether it still waited."""
        waiting = self._waiting_by_id.pop(request_id, None)
        if waiting is None:
            return False
        request = waiting.request
        _count_down(self._waiting_by_organisation, request.organisation)
        for name in request.pools:
            lines = self._pool(name).lines_by_organisation
            line = lines[request.organisation]
            line.remove(request, waiting.sequence)
            if not len(line):
                del lines[request.organisation]
        return True

    def give_up(self, request, now_ms):
        """Forget a request that can't be served in time; return its failure."""
        self.cancel(request.request_id)
        retry_at_ms = now_ms + self.expected_wait_ms(request, now_ms)
        detail = "no slot freed in time"
        return Failure(DEADLINE_UNREACHABLE, detail, retry_at_ms=retry_at_ms)

    def expected_wait_ms(self, request, now_ms):
        """Return how long a request is expected to wait if it comes now.

        An organisation that has used less than its share is served by the next
        slots that free anywhere in its pools until it has caught up, and by its
        share of the slots from then on.
        """
        work_ms = 0.0
        all_slots = 0.0
        own_slots = 0.0
        for name in request.pools:
            pool = self._pool(name)
            if pool.has_room(request.is_short, now_ms):
                return 0.0
            work_ms = max(work_ms, pool.work_before_ms(request))
            all_slots += pool.slots(request.is_short, now_ms)
            own_slots += pool.share_for(request, now_ms)
        if own_slots <= 0.0:
            return 0.0
        usage = self._usage(request.organisation)
        credit_ms = max(0.0, own_slots - usage.average(now_ms)) * AVERAGED_MS
        credit_ms = min(work_ms, credit_ms)
        wait_ms = credit_ms / all_slots + (work_ms - credit_ms) / own_slots
        if not self._has_own_line(request):
            return wait_ms
        return max(wait_ms, usage.of_class(request.is_short).wait_ms)

    def _has_own_line(self, request):
        """Return whether work of its class already waits before a request."""
        for name in request.pools:
            line = self._pool(name).lines_by_organisation.get(request.organisation)
            if line is not None and line.count_before(request):
                return True
        return False

    def _is_full_for(self, organisation):
        own = self._waiting_by_organisation.get(organisation, 0)
        if own >= max(1, int(self._limit * MAX_ORGANISATION_SHARE)):
            return True
        return len(self._waiting_by_id) >= self._limit

    def _add(self, request, now_ms):
        self._sequence += 1
        waiting = _Waiting(request, self._sequence, now_ms)
        self._waiting_by_id[request.request_id] = waiting
        _count_up(self._waiting_by_organisation, request.organisation)
        for name in request.pools:
            lines = self._pool(name).lines_by_organisation
            line = lines.setdefault(request.organisation, WaitingLine())
            line.add(request, self._sequence)

    def _serve_pool(self, name, now_ms):
        grants = []
        while (request := self._next_for(name, now_ms)) is not None:
            waited_ms = now_ms - self._waiting_by_id[request.request_id].since_ms
            usage = self._usage(request.organisation).of_class(request.is_short)
            usage.learn_wait(waited_ms)
            self.cancel(request.request_id)
            grants.append(self._grant(request, name, now_ms))
        return grants

    def _next_for(self, pool_name, now_ms):
        pool = self._pool(pool_name)
        if not pool.has_room(True, now_ms):
            return None
        best = None
        best_rank = None
        for organisation, line in pool.lines_by_organisation.items():
            request = self._first_of(pool, organisation, line, now_ms)
            if request is None:
                continue
            rank = self._rank(request, pool_name, now_ms)
            if best_rank is None or rank < best_rank:
                best = request
                best_rank = rank
        return best

    def _first_of(self, pool, organisation, line, now_ms):
        """Return whom an organisation would serve: the class that had less."""
        if not pool.has_room(False, now_ms):
            return line.first(True, now_ms)
        prefers_short = self._usage(organisation).prefers_short(now_ms)
        found = line.first(prefers_short, now_ms)
        return found or line.first(not prefers_short, now_ms)

    def _rank(self, request, pool_name, now_ms):
        average = self._usage(request.organisation).average(now_ms)
        return average / request.weight, request.deadline_ms

    def _grant(self, request, pool_name, now_ms):
        self._pool(pool_name).in_use += 1
        usage = self._usage(request.organisation).of_class(request.is_short)
        usage.change(1, now_ms)
        return Grant(
            request.request_id,
            request.organisation,
            pool_name,
            now_ms,
            request.is_short,
        )

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


def _smooth(value, sample):
    if value == 0.0:
        return sample
    return value + SMOOTHING * (sample - value)


def _count_up(counts, key):
    counts[key] = counts.get(key, 0) + 1


def _count_down(counts, key):
    counts[key] -= 1
    if not counts[key]:
        del counts[key]

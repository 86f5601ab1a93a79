"""Drives admission queues in virtual time: requests that wait, run and give up."""

from stoatpath.admission.messages import QUEUED
from stoatpath.measure.events import EventQueue
from stoatpath.outcomes import is_failure


class Work:
    """A request with the time that it really holds its slot."""

    __slots__ = ("request", "held_ms", "asked_ms")

    def __init__(self, request, held_ms, asked_ms):
        self.request = request
        self.held_ms = held_ms
        self.asked_ms = asked_ms


class AdmissionRun:
    """One queue under a list of work, with what became of it.

    Work that does not end by its deadline is cancelled then, as the router does.

    `useful_ms` sums the time of slots whose work ended by its deadline, and
    `refused_late_ms` lists how long those waited that gave up in the queue.
    """

    __slots__ = (
        "events",
        "queue",
        "useful_ms",
        "wasted_ms",
        "refused_early",
        "refused_late_ms",
        "short_waits_ms",
        "used_ms_by_organisation",
        "_work_by_id",
        "_running_by_id",
        "_counted_from_ms",
        "_counted_until_ms",
    )

    def __init__(self, queue, counted_from_ms, counted_until_ms):
        self.events = EventQueue()
        self.queue = queue
        self.useful_ms = 0.0
        self.wasted_ms = 0.0
        self.refused_early = 0
        self.refused_late_ms = []
        self.short_waits_ms = []
        self.used_ms_by_organisation = {}
        self._work_by_id = {}
        self._running_by_id = {}
        self._counted_from_ms = counted_from_ms
        self._counted_until_ms = counted_until_ms

    def run(self, works):
        """Run all work to its end."""
        for work in works:
            self.events.at(work.asked_ms, self._offer, work)
        self.events.run_until(self._counted_until_ms)
        for grant, work in self._running_by_id.values():
            self._count(grant, work)

    def _offer(self, work):
        request = work.request
        self._work_by_id[request.request_id] = work
        verdict = self.queue.offer(request, self.events.now_ms)
        if verdict is QUEUED:
            patience_ms = request.deadline_ms - request.expected_ms
            self.events.at(patience_ms, self._give_up, work)
        elif is_failure(verdict):
            self.refused_early += 1
        else:
            self._begin(verdict)

    def _give_up(self, work):
        if self.queue.remove_waiting(work.request.request_id):
            self.refused_late_ms.append(self.events.now_ms - work.asked_ms)

    def _begin(self, grant):
        work = self._work_by_id[grant.request_id]
        if work.request.is_short:
            self.short_waits_ms.append(grant.granted_ms - work.asked_ms)
        self._running_by_id[grant.request_id] = (grant, work)
        end_ms = min(grant.granted_ms + work.held_ms, work.request.deadline_ms)
        self.events.at(end_ms, self._end, grant, work)

    def _end(self, grant, work):
        del self._running_by_id[grant.request_id]
        self._count(grant, work)
        for following in self.queue.release(grant, self.events.now_ms):
            self._begin(following)

    def _count(self, grant, work):
        from_ms = max(grant.granted_ms, self._counted_from_ms)
        counted_ms = max(0.0, self.events.now_ms - from_ms)
        used = self.used_ms_by_organisation
        used[grant.organisation] = used.get(grant.organisation, 0.0) + counted_ms
        if grant.granted_ms + work.held_ms <= work.request.deadline_ms:
            self.useful_ms += counted_ms
        else:
            self.wasted_ms += counted_ms

"""Runs admission queues in virtual time: requests wait, run, and give up."""

from stoatpath.admission.messages import QUEUED
from stoatpath.measure.events import EventQueue
from stoatpath.outcomes import is_failure


class WorkItem:
    """A request with its arrival time and the time that it occupies a slot."""

    __slots__ = ("request", "service_ms", "arrival_ms")

    def __init__(self, request, service_ms, arrival_ms):
        self.request = request
        self.service_ms = service_ms
        self.arrival_ms = arrival_ms


class AdmissionRun:
    """Runs a list of work items through one queue and records the results.

    Work that has not finished by its deadline is cancelled then, as in the router.

    `useful_ms` and `wasted_ms` sum the slot time of work that did and did not finish
    by its deadline. `abandoned_waits_ms` lists the waits of requests removed from the
    queue because they could no longer finish by their deadline, and
    `short_request_waits_ms` those of short requests that ran. Slot time counts only
    between the two measuring times.
    """

    __slots__ = (
        "events",
        "queue",
        "useful_ms",
        "wasted_ms",
        "rejected_count",
        "abandoned_waits_ms",
        "short_request_waits_ms",
        "used_ms_by_organisation",
        "_items_by_request",
        "_running_by_request",
        "_measured_from_ms",
        "_measured_until_ms",
    )

    def __init__(self, queue, measured_from_ms, measured_until_ms):
        self.events = EventQueue()
        self.queue = queue
        self.useful_ms = 0.0
        self.wasted_ms = 0.0
        self.rejected_count = 0
        self.abandoned_waits_ms = []
        self.short_request_waits_ms = []
        self.used_ms_by_organisation = {}
        self._items_by_request = {}
        self._running_by_request = {}
        self._measured_from_ms = measured_from_ms
        self._measured_until_ms = measured_until_ms

    def run(self, items):
        """Run all work items until the end of the measurement."""
        for item in items:
            self.events.schedule(item.arrival_ms, self._offer_item, item)
        self.events.run_until(self._measured_until_ms)
        for grant, item in self._running_by_request.values():
            self._record_slot_time(grant, item)

    def _offer_item(self, item):
        request = item.request
        self._items_by_request[request] = item
        decision = self.queue.offer(request, self.events.now_ms)
        if decision is QUEUED:
            latest_start_ms = request.deadline_ms - request.expected_ms
            self.events.schedule(latest_start_ms, self._abandon_waiting, item)
        elif is_failure(decision):
            self.rejected_count += 1
        else:
            self._start(decision)

    def _abandon_waiting(self, item):
        if self.queue.remove_waiting(item.request):
            self.abandoned_waits_ms.append(self.events.now_ms - item.arrival_ms)

    def _start(self, grant):
        item = self._items_by_request[grant.request]
        if item.request.is_short:
            self.short_request_waits_ms.append(grant.granted_ms - item.arrival_ms)
        self._running_by_request[grant.request] = (grant, item)
        end_ms = min(grant.granted_ms + item.service_ms, item.request.deadline_ms)
        self.events.schedule(end_ms, self._finish, grant, item)

    def _finish(self, grant, item):
        del self._running_by_request[grant.request]
        self._record_slot_time(grant, item)
        for next_grant in self.queue.release(grant, self.events.now_ms):
            self._start(next_grant)

    def _record_slot_time(self, grant, item):
        from_ms = max(grant.granted_ms, self._measured_from_ms)
        slot_ms = max(0.0, self.events.now_ms - from_ms)
        used_ms = self.used_ms_by_organisation
        used_ms[grant.request.organisation] = (
            used_ms.get(grant.request.organisation, 0.0) + slot_ms
        )
        if grant.granted_ms + item.service_ms <= item.request.deadline_ms:
            self.useful_ms += slot_ms
        else:
            self.wasted_ms += slot_ms

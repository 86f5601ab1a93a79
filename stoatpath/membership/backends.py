"""The state of backend servers, and the set of them that a router knows.

Gateways keep theirs in a `BackendDirectory` instead.
"""

from stoatpath.membership.backend_indexes import BackendIndex
from stoatpath.membership.reports import LoadReport
from stoatpath.membership.subsets import SUBSET_TARGET, choose_subset

ENGINE = "engine"
SERVICE = "service"
LEAVING = "leaving"
LISTED_LEAVING_HOLD_MS = 30_000
DROP_UNLISTED_AFTER_MS = 10_000


class BackendServer:
    """One backend server, with its last load report.

    `slots` is its capacity and `running` its load in requests, `token_ms` its time per
    token; `resumes` tells whether it can resume a stream after a given event.
    `reported_ms` is the clock reading when the last report was requested, or minus
    infinity without a valid one. `in_flight` counts the requests that this process has
    in progress there, `in_flight_at_report` those in progress when the last report was
    applied. `joined_ms` is when this process first saw it, `weight` the number of
    listed backend servers that it represents in the subset.
    """

    __slots__ = (
        "name",
        "kind",
        "service",
        "address",
        "zone",
        "versions",
        "slots",
        "running",
        "token_ms",
        "is_leaving",
        "resumes",
        "weight",
        "listed_leaving_ms",
        "reports_leaving",
        "reported_ms",
        "joined_ms",
        "in_flight",
        "in_flight_at_report",
    )

    def __init__(self, name, kind, service, address, zone, joined_ms):
        self.name = name
        self.kind = kind
        self.service = service
        self.address = address
        self.zone = zone
        self.versions = frozenset()
        self.slots = 0
        self.running = 0
        self.token_ms = 0.0
        self.is_leaving = False
        self.resumes = False
        self.weight = 1.0
        self.listed_leaving_ms = float("-inf")
        self.reports_leaving = False
        self.reported_ms = float("-inf")
        self.joined_ms = joined_ms
        self.in_flight = 0
        self.in_flight_at_report = 0

    def update_leaving(self, now_ms):
        """Set `is_leaving`, from its own report or from the platform's list.

        The list may return to an older state for a while, so a listed leaving state
        is held for `LISTED_LEAVING_HOLD_MS`.
        """
        hold_ends_ms = self.listed_leaving_ms + LISTED_LEAVING_HOLD_MS
        self.is_leaving = self.reports_leaving or now_ms < hold_ends_ms


class BackendServers:
    """Backend servers by name, indexed by version and by plain service.

    `router` is the name by which the subset is selected; without one, all listed
    backend servers are included.
    """

    __slots__ = ("by_name", "_router", "_by_version", "_by_service")

    def __init__(self, router=""):
        self.by_name = {}
        self._router = router
        self._by_version = BackendIndex()
        self._by_service = BackendIndex()

    def apply_list(self, entries_by_name, now_ms):
        """Apply the platform's list, which may lag behind additions and removals.

        Listed backend servers are added. One that is no longer listed is removed only
        after its reports have stopped too, so that a live one stays if the list lacks
        it for a while.
        """
        entries = [
            entry
            for entry in entries_by_name.values()
            if entry.role in (ENGINE, SERVICE)
        ]
        limit = SUBSET_TARGET if self._router else len(entries)
        subset = choose_subset(self._router, entries, limit)
        for name, entry in subset.by_name.items():
            backend = self._get_or_add(entry, now_ms)
            backend.weight = subset.weights_by_name[name]
            if entry.state == LEAVING:
                backend.listed_leaving_ms = now_ms
            backend.update_leaving(now_ms)
        for name, backend in list(self.by_name.items()):
            if name not in subset.by_name and self._should_drop(
                backend, entries_by_name, now_ms
            ):
                self._remove_from_indexes(self.by_name.pop(name))

    def apply_report(self, name, report, now_ms):
        """Apply a load report; `now_ms` is the reading when it was requested."""
        backend = self.by_name.get(name)
        report = LoadReport.from_json(report)
        if backend is None or report is None or now_ms < backend.reported_ms:
            return
        self._set_versions(backend, report.versions)
        backend.slots = report.slots
        backend.running = report.running
        backend.token_ms = report.token_ms
        backend.resumes = report.resumes
        backend.reports_leaving = report.is_leaving
        backend.update_leaving(now_ms)
        backend.reported_ms = now_ms
        backend.in_flight_at_report = backend.in_flight

    def apply_refusal(self, name):
        """Handle a refused connection: the last report counts as expired."""
        backend = self.by_name.get(name)
        if backend is not None:
            backend.reported_ms = float("-inf")

    def serving(self, version):
        """Return the backend servers that report a version as loaded."""
        return self._by_version.backends(version)

    def of_service(self, service):
        """Return the backend servers of a plain service."""
        return self._by_service.backends(service)

    def _get_or_add(self, entry, now_ms):
        existing = self.by_name.get(entry.name)
        if existing is not None and existing.address == entry.address:
            return existing
        self._remove_from_indexes(existing)
        backend = BackendServer(
            entry.name, entry.role, entry.serves, entry.address, entry.zone, now_ms
        )
        self.by_name[entry.name] = backend
        if backend.kind == SERVICE:
            self._by_service.add(backend.service, backend)
        return backend

    @staticmethod
    def _should_drop(backend, entries_by_name, now_ms):
        """Return whether to remove a backend server that is outside the subset.

        One that is still listed was replaced in the subset: it is removed once this
        router has no requests in progress there.
        """
        if backend.name in entries_by_name:
            return backend.in_flight == 0
        return now_ms - backend.reported_ms > DROP_UNLISTED_AFTER_MS

    def _set_versions(self, backend, versions):
        if versions == backend.versions:
            return
        for version in backend.versions - versions:
            self._by_version.remove(version, backend)
        for version in sorted(versions - backend.versions):
            self._by_version.add(version, backend)
        backend.versions = versions

    def _remove_from_indexes(self, backend):
        if backend is None:
            return
        self._set_versions(backend, frozenset())
        self._by_service.remove(backend.service, backend)

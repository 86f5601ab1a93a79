"""What a router knows about backend servers."""

from stoatpath.membership.backend_indexes import BackendIndex
from stoatpath.membership.reports import LoadReport
from stoatpath.membership.subsets import MAX_BACKENDS, choose_subset

ENGINE = "engine"
SERVICE = "service"
LEAVING = "leaving"
LISTED_LEAVING_FOR_MS = 30_000
UNLISTED_SILENT_AFTER_MS = 10_000


class BackendServer:
    """One backend server as last reported.

    `slots` and `running` count requests, `token_ms` is the time of one token,
    `reported_ms` the clock reading of the report, `in_flight` what this router
    itself has under way there, `in_flight_at_report` what it had when the last
    report came, `joined_ms` when this router first saw it, `resumes` says that
    it carries on a stream from a given event, `weight` how many listed backend
    servers this one stands for.
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

    def judge_leaving(self, now_ms):
        """Set whether it is leaving, by its own report or by the platform's list.

        The list may go back to an older state for a while; what it said last
        about leaving holds for that long.
        """
        listed_until_ms = self.listed_leaving_ms + LISTED_LEAVING_FOR_MS
        self.is_leaving = self.reports_leaving or now_ms < listed_until_ms


class BackendServers:
    """Backend servers by name, indexed by version and by plain service.

    `router` names the router whose subset is kept; without one all are kept.
    """

    __slots__ = ("by_name", "_router", "_by_version", "_by_service")

    def __init__(self, router=""):
        self.by_name = {}
        self._router = router
        self._by_version = BackendIndex()
        self._by_service = BackendIndex()

    def apply_list(self, entries_by_name, now_ms):
        """Take the platform's list, which may be late in both directions.

        What is listed is added. What is no longer listed goes once it is silent
        too, so that a live one that is missing for a while stays.
        """
        entries = [
            entry
            for entry in entries_by_name.values()
            if entry.role in (ENGINE, SERVICE)
        ]
        limit = MAX_BACKENDS if self._router else len(entries)
        subset = choose_subset(self._router, entries, limit)
        for name, entry in subset.by_name.items():
            backend = self._find_or_add(entry, now_ms)
            backend.weight = subset.weights_by_name[name]
            if entry.state == LEAVING:
                backend.listed_leaving_ms = now_ms
            backend.judge_leaving(now_ms)
        for name, backend in list(self.by_name.items()):
            if name not in subset.by_name and self._has_gone(
                backend, entries_by_name, now_ms
            ):
                self._forget(self.by_name.pop(name))

    def apply_report(self, name, report, now_ms):
        """Take a load report, dated at the reading when it was asked for."""
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
        backend.judge_leaving(now_ms)
        backend.reported_ms = now_ms
        backend.in_flight_at_report = backend.in_flight

    def apply_refusal(self, name):
        """Note that nothing listens at a backend server; it counts as silent."""
        backend = self.by_name.get(name)
        if backend is not None:
            backend.reported_ms = float("-inf")

    def serving(self, version):
        """Return the backend servers that report a version as loaded."""
        return self._by_version.members(version)

    def of_service(self, service):
        """Return the backend servers of a plain service."""
        return self._by_service.members(service)

    def _find_or_add(self, entry, now_ms):
        known = self.by_name.get(entry.name)
        if known is not None and known.address == entry.address:
            return known
        self._forget(known)
        backend = BackendServer(
            entry.name, entry.role, entry.serves, entry.address, entry.zone, now_ms
        )
        self.by_name[entry.name] = backend
        if backend.kind == SERVICE:
            self._by_service.add(backend.service, backend)
        return backend

    @staticmethod
    def _has_gone(backend, entries_by_name, now_ms):
        """Return whether one outside the subset is to be dropped.

        One that is still listed was replaced in the subset and goes when this
        router has nothing under way there.
        """
        if backend.name in entries_by_name:
            return backend.in_flight == 0
        return now_ms - backend.reported_ms > UNLISTED_SILENT_AFTER_MS

    def _set_versions(self, backend, versions):
        if versions == backend.versions:
            return
        for version in backend.versions - versions:
            self._by_version.remove(version, backend)
        for version in sorted(versions - backend.versions):
            self._by_version.add(version, backend)
        backend.versions = versions

    def _forget(self, backend):
        if backend is None:
            return
        self._set_versions(backend, frozenset())
        self._by_service.remove(backend.service, backend)

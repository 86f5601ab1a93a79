"""The backend servers that a gateway may send requests to, by zone and region."""

from stoatpath.outcomes import REGION_NOT_ALLOWED, ZONES_DRAINED, Failure
from stoatpath.zones.eligibility import DRAINED, ZoneFilter, regions_of
from stoatpath.zones.evacuations import EvacuationTable

# Time after which the caller may retry, as when no backend server is known. How long a
# zone stays drained is not known.
RETRY_MS = 1_000.0
# Time in which a drained zone becomes known at an instance that requests are forwarded
# to, and in its answer, which counts for 1.5 s.
PEER_KNOWS_AFTER_MS = 2_000.0


class EligibleBackends:
    """A view of the directory without what drained zones and regions exclude.

    `directory` is the `BackendDirectory`.
    """

    __slots__ = ("evacuations", "filter", "_directory", "_clock")

    def __init__(self, directory, zone_filter, evacuations, clock):
        self.evacuations = evacuations
        self.filter = zone_filter
        self._directory = directory
        self._clock = clock

    @classmethod
    def from_boot(cls, boot, directory, clock):
        """Build the view with an empty table of drained zones."""
        evacuations = EvacuationTable()
        zone_filter = ZoneFilter(evacuations, boot.regions_by_zone, boot.region)
        return cls(directory, zone_filter, evacuations, clock)

    @property
    def by_name(self):
        """Return all known backend servers by name, those in drained zones included."""
        return self._directory.by_name

    def of_service(self, service):
        """Return those of a service outside drained zones that accept new work."""
        return self.filter.split(self._directory.of_service(service), None)[0]

    def accepting(self):
        """Return all outside drained zones that accept new work."""
        backends = [each for each in self.by_name.values() if not each.is_leaving]
        return self.filter.split(backends, None)[0]

    def drained(self):
        """Return all in drained zones."""
        is_drained = self.evacuations.is_drained
        return [each for each in self.by_name.values() if is_drained(each.zone)]

    def services(self):
        """Return the names of the services with a backend server outside them."""
        is_drained = self.evacuations.is_drained
        return {
            each.service for each in self.by_name.values() if not is_drained(each.zone)
        }

    def for_request(self, request):
        """Return those that a request may reach, or a failure if all are excluded.

        The list is empty if none of its service is known.
        """
        return self._select(request.service.name, regions_of(request))

    def excluded(self, request):
        """Return pairs of a backend server that it must not reach and the reason."""
        regions = regions_of(request)
        if not self.filter.excludes_any(regions):
            # Each attempt asks, and a search of the directory takes time.
            return []
        backends = self._directory.of_service(request.service.name)
        return self.filter.split(backends, regions)[1]

    def exclusion_reason(self, request, backend):
        """Return why a request must not be sent to a backend server now, or None."""
        return self.filter.exclusion_reason(backend, regions_of(request))

    def check_send(self, request, backend):
        """Return the failure of a send that must not take place now, or None."""
        reason = self.exclusion_reason(request, backend)
        if reason is None:
            return None
        cause = ZONES_DRAINED if reason is DRAINED else REGION_NOT_ALLOWED
        retry_at_ms = self._clock.now_ms() + RETRY_MS
        return Failure(cause, f"{reason}: {backend.zone}", retry_at_ms=retry_at_ms)

    def allows_peer(self, request, peer):
        """Return whether a request may be forwarded to a `ForwardingPeer`.

        The peer must be in a region that the request may reach and, some time after a
        drain, know the drained zones: one of an older release sends requests there.
        """
        regions = regions_of(request)
        if not self.filter.allows_instance(peer.zone, regions):
            return False
        known_by_ms = self._clock.now_ms() - PEER_KNOWS_AFTER_MS
        zones = {
            backend.zone
            for backend in self._directory.of_service(request.service.name)
            if self.evacuations.is_drained(backend.zone)
            and self.evacuations.drained_ms(backend.zone) <= known_by_ms
        }
        return zones <= peer.drained_zones

    def build_waiting_check(self):
        """Return a function from a waiting `AdmissionRequest` to its failure, or None.

        It computes the result of each service and set of regions once.
        """
        failures = {}

        def find_failure(request):
            key = request.pools[0], request.regions
            if key not in failures:
                selected = self._select(*key)
                failures[key] = selected if isinstance(selected, Failure) else None
            return failures[key]

        return find_failure

    def _select(self, service, regions):
        backends = self._directory.of_service(service)
        eligible, excluded = self.filter.split(backends, regions)
        if eligible or not excluded:
            return eligible
        zones = {backend.zone for backend, reason in excluded if reason is DRAINED}
        retry_at_ms = self._clock.now_ms() + RETRY_MS
        if not zones:
            regions = ", ".join(sorted(regions)) or "none"
            detail = f"no backend server of {service} is in an allowed region"
            return Failure(
                REGION_NOT_ALLOWED, f"{detail} ({regions})", retry_at_ms=retry_at_ms
            )
        zones = ", ".join(sorted(zones))
        detail = f"all backend servers of {service} that it may reach"
        return Failure(
            ZONES_DRAINED,
            f"{detail} are in drained zones ({zones})",
            retry_at_ms=retry_at_ms,
        )

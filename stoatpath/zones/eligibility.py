"""Decides by zone and region which backend servers a request may reach."""

DRAINED = "zone drained"
OTHER_REGION = "region not allowed"


class ZoneFilter:
    """Excludes backend servers in drained zones and outside the allowed regions.

    `evacuations` is the `EvacuationTable`. `regions_by_zone` and `own_region` come from
    the settings file; a zone that is not mapped is in no region.
    """

    __slots__ = ("_evacuations", "_regions_by_zone", "_own_region")

    def __init__(self, evacuations, regions_by_zone, own_region):
        self._evacuations = evacuations
        self.set_regions(regions_by_zone, own_region)

    def set_regions(self, regions_by_zone, own_region):
        """Set the region of each zone, and that of this instance or None."""
        self._regions_by_zone = regions_by_zone
        self._own_region = own_region

    def excludes_any(self, regions):
        """Return whether backend servers may be excluded at all."""
        return regions is not None or self._evacuations.has_any()

    def exclusion_reason(self, backend, regions):
        """Return why a request must not reach a backend server, or None.

        `regions` is a set of names, or None if the request may reach any.
        """
        return self._reason(backend.zone, regions)

    def split(self, backends, regions):
        """Return the backend servers that a request may reach, and the others.

        The latter are pairs of a backend server and the reason.
        """
        if not self.excludes_any(regions):
            return backends, []
        eligible, excluded = [], []
        # There are thousands of backend servers, but few zones.
        reasons_by_zone = {}
        for backend in backends:
            zone = backend.zone
            if zone not in reasons_by_zone:
                reasons_by_zone[zone] = self._reason(zone, regions)
            reason = reasons_by_zone[zone]
            if reason is None:
                eligible.append(backend)
            else:
                excluded.append((backend, reason))
        return eligible, excluded

    def allows_instance(self, zone, regions):
        """Return whether a request may be forwarded to an instance of a zone.

        The instance must be in an allowed region, or in the region of this one.
        """
        if regions is None:
            return True
        region = self._regions_by_zone.get(zone)
        return region is not None and region in (*regions, self._own_region)

    def _reason(self, zone, regions):
        if self._evacuations.is_drained(zone):
            return DRAINED
        if regions is None or self._regions_by_zone.get(zone) in regions:
            return None
        return OTHER_REGION


def regions_of(request):
    """Return the regions that route and organisation both allow, None for any."""
    limits = [
        each.regions
        for each in (request.route, request.organisation)
        if each is not None and each.regions is not None
    ]
    return frozenset.intersection(*limits) if limits else None

"""Messages of admission."""


class AdmissionRequest:
    """A request for a slot in one of several pools, in order of preference.

    A pool is a version of a model or a plain service. `expected_ms` is the expected
    time for which the slot is held. `is_short` is set for the work of purposes
    configured as short. `weight` is the fair-share weight of the organisation.
    `regions` limits the backend servers that it may reach, None if it doesn't. Callers
    choose `request_id`, so several open requests may have the same one.
    """

    __slots__ = (
        "request_id",
        "organisation",
        "weight",
        "pools",
        "deadline_ms",
        "expected_ms",
        "is_short",
        "regions",
    )

    def __init__(
        self,
        request_id,
        organisation,
        weight,
        pools,
        deadline_ms,
        expected_ms,
        is_short,
        regions=None,
    ):
        self.request_id = request_id
        self.organisation = organisation
        self.weight = weight
        self.pools = pools
        self.deadline_ms = deadline_ms
        self.expected_ms = expected_ms
        self.is_short = is_short
        self.regions = regions


class Grant:
    """A slot held in a pool for an `AdmissionRequest` until it is released."""

    __slots__ = ("request", "pool", "granted_ms")

    def __init__(self, request, pool, granted_ms):
        self.request = request
        self.pool = pool
        self.granted_ms = granted_ms


class PoolLoad:
    """The capacity and the slots in use of a pool."""

    __slots__ = ("pool", "capacity", "in_use")

    def __init__(self, pool, capacity, in_use):
        self.pool = pool
        self.capacity = capacity
        self.in_use = in_use


class Queued:
    """The request was queued; a grant or a failure follows."""

    __slots__ = ()


QUEUED = Queued()

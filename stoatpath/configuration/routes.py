"""Routes by host and path, with services, organisations and limits."""

from stoatpath.configuration.documents import MODEL_SERVICE, PLAIN_SERVICE

EQUAL_WEIGHT = 1.0


class RepeatPolicy:
    """A sentinel for how the requests of a route may be repeated (retried)."""

    __slots__ = ("name",)

    def __init__(self, name):
        self.name = name

    def __repr__(self):
        return f"<Repeats {self.name}>"


IDEMPOTENT = RepeatPolicy("idempotent")
AT_MOST_ONCE = RepeatPolicy("at-most-once")
# A stream may be repeated only if it can be resumed after its last event.
STREAMED = RepeatPolicy("streamed")


class RoutedService:
    """A service that routes point to; `cost_by_model` is per 1,000 tokens.

    Its backend servers are cold for `cold_start_ms` after their start, 0 for never, and
    then take `cold_start_per_s` requests a second, 0 for any number. `health_path` is
    where they answer who they are, "" if the operator names none. `unreadable` lists
    the optional fields that can't be decoded.
    """

    __slots__ = (
        "name",
        "kind",
        "cost_by_model",
        "cold_start_ms",
        "cold_start_per_s",
        "unreadable",
        "health_path",
    )

    def __init__(
        self,
        name,
        cost_by_model,
        cold_start_ms=0.0,
        cold_start_per_s=0.0,
        unreadable=(),
        health_path="",
    ):
        self.name = name
        self.kind = MODEL_SERVICE if cost_by_model else PLAIN_SERVICE
        self.cost_by_model = cost_by_model
        self.cold_start_ms = cold_start_ms
        self.cold_start_per_s = cold_start_per_s
        self.unreadable = unreadable
        self.health_path = health_path


class RoutedOrganisation:
    """An organisation. `priority` 0 comes first; None means that of the route.

    `regions` is a set of names, or None if it allows all.
    """

    __slots__ = ("name", "priority", "regions", "weight")

    def __init__(self, name, priority, regions=None):
        self.name = name
        self.priority = priority
        self.regions = regions
        self.weight = EQUAL_WEIGHT


class Route:
    """The services and time limits for requests of a host and path prefix.

    Requests are distributed by `weights_by_service`. `timeout_ms` limits the time to
    the final answer, `target_ms` is the latency objective up to the first byte.
    `models` lists the models to choose from, smallest first; it is empty if the
    caller names the model. `max_attempts` limits the attempts of one request.
    `regions` is a set of names, or None if it allows all. `gap_ms` is the longest pause
    between events with which an answer is on time, 0 if the operator names none.
    `problem` says why a route can't be used, "" for one that can.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "repeats",
        "timeout_ms",
        "target_ms",
        "priority",
        "weights_by_service",
        "max_attempts",
        "is_public",
        "is_resumable",
        "models",
        "regions",
        "gap_ms",
        "problem",
    )

    def __init__(
        self,
        name,
        host,
        prefix,
        repeats,
        timeout_ms,
        target_ms,
        priority,
        weights_by_service,
        max_attempts,
        is_public,
        is_resumable,
        models,
        regions=None,
        gap_ms=0.0,
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.repeats = repeats
        self.timeout_ms = timeout_ms
        self.target_ms = target_ms
        self.priority = priority
        self.weights_by_service = weights_by_service
        self.max_attempts = max_attempts
        self.is_public = is_public
        self.is_resumable = is_resumable
        self.models = models
        self.regions = regions
        self.gap_ms = gap_ms
        self.problem = ""

    @classmethod
    def from_unreadable(cls, host, prefix, problem):
        """Return a route of which nothing but the host and the prefix can be read.

        It keeps its requests from routes with shorter prefixes, and serves none.
        """
        no_models = ()
        route = cls(
            prefix, host, prefix, AT_MOST_ONCE, 0, 0, 0, {}, 1, False, False, no_models
        )
        route.problem = problem
        return route

    @property
    def is_stream(self):
        """Return whether answers are event streams."""
        return self.repeats is STREAMED

    @property
    def is_repeatable(self):
        """Return whether a request may run more than once."""
        return self.repeats is IDEMPOTENT or (self.is_stream and self.is_resumable)

    def choose_service(self, fraction):
        """Return the service at a fraction, from 0 to 1, of the summed weights.

        Return None if no service has a weight.
        """
        left = fraction * sum(self.weights_by_service.values())
        for name, weight in self.weights_by_service.items():
            left -= weight
            if left < 0:
                return name
        return next(reversed(self.weights_by_service), None)


class CallerLimits:
    """Limits of callers' requests: sizes in bytes, times in milliseconds."""

    __slots__ = (
        "max_head_bytes",
        "max_body_bytes",
        "head_timeout_ms",
        "idle_timeout_ms",
    )

    def __init__(
        self, max_head_bytes, max_body_bytes, head_timeout_ms, idle_timeout_ms
    ):
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes
        self.head_timeout_ms = head_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms


class RouteTable:
    """One revision of all routes, services, keys and limits.

    With `needs_keys`, callers of routes that are not public must send a key. `limits`
    are `CallerLimits`. `problems` lists the parts that can't be read and are left out;
    with `has_all_keys` no organisation is among them.
    """

    __slots__ = (
        "revision",
        "routes",
        "services_by_name",
        "organisations_by_key",
        "needs_keys",
        "limits",
        "problems",
        "has_all_keys",
        "_routes_by_host",
    )

    def __init__(
        self,
        revision,
        routes,
        services_by_name,
        organisations_by_key,
        needs_keys,
        limits,
        problems=(),
        has_all_keys=True,
    ):
        self.revision = revision
        self.routes = routes
        self.services_by_name = services_by_name
        self.organisations_by_key = organisations_by_key
        self.needs_keys = needs_keys
        self.limits = limits
        self.problems = problems
        self.has_all_keys = has_all_keys
        self._routes_by_host = {}
        for route in sorted(routes, key=lambda each: -len(each.prefix)):
            self._routes_by_host.setdefault(route.host, []).append(route)

    def match_route(self, host, path):
        """Return the route of a host with the longest matching prefix, or None."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

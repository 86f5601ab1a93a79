"""Decodes the rows that the operator and the replicas write to the store."""

import re

import msgspec

from stoatpath.configuration.routes import (
    AT_MOST_ONCE,
    IDEMPOTENT,
    STREAMED,
    CallerLimits,
    Route,
    RoutedOrganisation,
    RoutedService,
    RouteTable,
)
from stoatpath.membership.messages import ListedBackend
from stoatpath.outcomes import BAD_REQUEST, Failure
from stoatpath.platform.fields import (
    MAX_INTEGER,
    REQUIRED,
    check_header_text,
    check_text,
    describe,
    read_address,
    read_flag,
    read_integer,
    read_list,
    read_number,
    read_table,
    read_text,
)
from stoatpath.platform.names import (
    EVACUATION_PREFIX,
    ROLLOUT_PREFIX,
    STATUS_TABLE,
)
from stoatpath.platform.row_stores import era_of, number_of
from stoatpath.rollouts.messages import (
    COMPLETED,
    ROLLED_BACK,
    RUNNING,
    ReleaseOrder,
    ReleaseStatus,
)
from stoatpath.utils import decode_json, encode_json

REPEATS_BY_KIND = {
    "idempotent": IDEMPOTENT,
    "non_idempotent": AT_MOST_ONCE,
    "streaming": STREAMED,
}
READY = "ready"
DRAINING = "draining"
STATES_BY_WORD = {
    "running": RUNNING,
    "completed": COMPLETED,
    "rolled_back": ROLLED_BACK,
}
WORDS_BY_STATE = {state: word for word, state in STATES_BY_WORD.items()}
# Defaults of optional limits on requests of callers.
DEFAULT_HEAD_BYTES = 16_384
DEFAULT_BODY_BYTES = 4_194_304
DEFAULT_HEAD_TIMEOUT_MS = 3_000
DEFAULT_IDLE_TIMEOUT_MS = 15_000
# Larger values count as unreadable.
MAX_COLD_START_S = 600.0
MAX_COLD_START_PER_S = 1e6
# No server runs more requests at once.
MAX_SLOTS = 100_000
MAX_LOGGED_CHARS = 40
PATH = re.compile("/[!-~]*")
DECODE_ERRORS = (ArithmeticError, AttributeError, LookupError, TypeError, ValueError)


def decode_route_table(value):
    """Return the `RouteTable` of the operator's row, or a failure."""
    return _decode(value, _build_route_table)


_fields_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])
_routes_decoder = msgspec.json.Decoder(list[msgspec.Raw])


class RouteTableDecoder:
    """Decodes the operator's row; routes that are unchanged are not built again.

    Building 3,000 routes takes 9 to 25 ms of processor time, and more than 50 ms on the
    smallest instances.
    """

    __slots__ = ("_routes_by_text",)

    def __init__(self):
        self._routes_by_text = {}

    def decode(self, value):
        """Return the `RouteTable` of a row, or a failure, as `decode_route_table`."""
        routes_by_text = {}

        def build_route(raw):
            text = bytes(raw)
            route = self._routes_by_text.get(text)
            if route is None:
                route = _build_route(msgspec.json.decode(text))
            routes_by_text[text] = route
            return route

        try:
            fields = _fields_decoder.decode(value)
            routes = _routes_decoder.decode(fields.pop("routes"))
            data = {name: msgspec.json.decode(raw) for name, raw in fields.items()}
            table = _build_route_table(data | {"routes": routes}, build_route)
        except (*DECODE_ERRORS, msgspec.MsgspecError, RecursionError):
            # It gives the reason.
            return decode_route_table(value)
        self._routes_by_text = routes_by_text
        return table


def decode_backend(key, value):
    """Return the `ListedBackend` of a replica's row, or a failure."""
    return _decode(value, lambda data: _build_backend(key, data))


def decode_order(row):
    """Return the `ReleaseOrder` of a row of the operator, or a failure."""
    return _decode(row.value, lambda data: _build_order(row, data))


def decode_status(row):
    """Return the `ReleaseStatus` of a row, or a failure."""
    return _decode(row.value, lambda data: _build_status(row, data))


class StatusCodec:
    """Builds the keys and values of the rows that report the state of roll-outs."""

    __slots__ = ()

    status_table = STATUS_TABLE

    def status_key(self, service):
        """Return the key of a service's status."""
        return ROLLOUT_PREFIX + service

    def decode_status(self, row):
        """Return the `ReleaseStatus` of a row, or a failure."""
        return decode_status(row)

    def encode_status(self, status):
        """Return the bytes of a status; the platform defines the first three fields."""
        return encode_json(
            {
                "service": status.service,
                "to": status.release,
                "state": WORDS_BY_STATE[status.state],
                "order": status.order_version,
                "started_ms": status.started_ms,
                "by": status.writer,
                "reason": status.reason,
            }
        )


def parse_rollout_key(key):
    """Return the service in the key of a roll-out, or None for other keys."""
    if key.startswith(ROLLOUT_PREFIX):
        return key.removeprefix(ROLLOUT_PREFIX)
    return None


def parse_evacuation_key(key):
    """Return the zone in the key of a drain order, or None for other keys.

    It is "" if the key is malformed.
    """
    if key.startswith(EVACUATION_PREFIX):
        return key.removeprefix(EVACUATION_PREFIX)
    return None


def _decode(value, build):
    data = decode_json(value) if value is not None else None
    if not isinstance(data, dict):
        return Failure(BAD_REQUEST, "the row is not a JSON object")
    try:
        return build(data)
    except DECODE_ERRORS as error:
        return Failure(BAD_REQUEST, f"the row has an unexpected form: {error!r}")


def _build_route_table(data, build_route=None):
    """Return a `RouteTable`; parts that can't be read are left out of it.

    A document raises that doesn't say which revision it is, which parts it has, or
    which requests a route is for.
    """
    build_route = build_route or _build_route
    problems = []
    services = _build_each(data, "services", _build_service, problems)
    routes = [build_route(each) for each in read_list(data, "routes")]
    problems += [f"{each.prefix}: {each.problem}" for each in routes if each.problem]
    problems_before = len(problems)
    organisations = _build_each(data, "tenants", _build_organisation, problems, ())
    has_all_keys = len(problems) == problems_before
    organisations_by_key = {}
    for organisation, keys in organisations:
        organisations_by_key |= dict.fromkeys(keys, organisation)
    return RouteTable(
        read_integer(data, "version", 0),
        routes,
        {service.name: service for service in services},
        organisations_by_key,
        # Without an organisation no key is known; without the field none is asked for.
        "tenants" in data,
        _build_limits(read_table(data, "limits", {}), problems),
        problems,
        has_all_keys,
    )


def _build_each(data, name, build, problems, default=REQUIRED):
    """Return the entries that can be decoded; append the problems of the others."""
    built = []
    for index, each in enumerate(read_list(data, name, default)):
        try:
            built.append(build(each))
        except DECODE_ERRORS as error:
            problems.append(f"{name}.{index}: {error}")
    return built


def _build_organisation(data):
    """Return a `RoutedOrganisation` and its keys."""
    organisation = RoutedOrganisation(
        read_text(data, "name"),
        read_integer(data, "priority", 0, default=None),
        _decode_regions(data),
    )
    keys = [check_text(key, "api_keys") for key in read_list(data, "api_keys", ())]
    return organisation, keys


def _build_service(data):
    # Only services of model replicas have `engine`.
    engine = read_table(data, "engine", {})
    models = read_list(engine, "models", ())
    unreadable = []
    cold_start_s = _read_number(data, "cold_start_s", MAX_COLD_START_S, unreadable)
    per_s = _read_number(data, "coldstart_per_s", MAX_COLD_START_PER_S, unreadable)
    return RoutedService(
        read_text(data, "name"),
        {
            read_text(each, "name"): read_number(each, "cost", 0, default=0)
            for each in models
        },
        (cold_start_s or 0.0) * 1_000,
        per_s or 0.0,
        unreadable,
        _read_path(data, "health_path", unreadable),
    )


def _build_route(data):
    """Return a `Route`, with its problem if it can't be read whole."""
    host = read_text(data, "host").lower()
    prefix = read_text(data, "prefix")
    try:
        return _build_whole_route(data, host, prefix)
    except DECODE_ERRORS as error:
        return Route.from_unreadable(host, prefix, str(error))


def _build_whole_route(data, host, prefix):
    timeout_ms = read_number(data, "timeout_ms", 0)
    kind = read_text(data, "kind")
    if kind not in REPEATS_BY_KIND:
        raise ValueError(f"kind: unknown {describe(kind)}")
    return Route(
        read_text(data, "name"),
        host,
        prefix,
        REPEATS_BY_KIND[kind],
        timeout_ms,
        read_number(data, "target_latency_ms", 0, default=0) or timeout_ms,
        read_integer(data, "priority", 0, default=0),
        _decode_weights(data),
        max(1, read_integer(data, "max_attempts", 0, default=1)),
        read_flag(data, "public", False),
        read_flag(data, "resumable", False),
        # `sizes` lists models, smallest first.
        tuple(check_text(each, "sizes") for each in read_list(data, "sizes", ())),
        _decode_regions(data),
        read_number(data, "gap_aim_ms", 0, default=0),
    )


def _decode_weights(data):
    """Return the weights by service; `traffic_split` takes precedence over `service`.

    Shares that are all 0 leave no service.
    """
    shares = read_list(data, "traffic_split", ())
    if not shares:
        return {read_text(data, "service"): 1}
    weights_by_service = {
        read_text(each, "service"): read_number(each, "weight", 0) for each in shares
    }
    return {name: weight for name, weight in weights_by_service.items() if weight}


def _decode_regions(data):
    """Return the allowed regions as a set, None for any.

    An empty list allows none. Only a missing or null field allows all: a restriction
    that can't be read must not be dropped.
    """
    regions = read_list(data, "allowed_regions", None)
    if regions is None:
        return None
    return frozenset(check_text(region, "allowed_regions") for region in regions)


def _build_limits(data, problems):
    """Return the `CallerLimits`; one that can't be read has its default."""

    def read(name, read_value, lowest, default):
        try:
            return read_value(data, name, lowest, default=default)
        except ValueError as error:
            problems.append(f"limits.{error}")
            return default

    return CallerLimits(
        read("max_header_bytes", read_integer, 1, DEFAULT_HEAD_BYTES),
        read("max_body_bytes", read_integer, 0, DEFAULT_BODY_BYTES),
        read("header_timeout_ms", read_number, 1, DEFAULT_HEAD_TIMEOUT_MS),
        read("idle_timeout_ms", read_number, 1, DEFAULT_IDLE_TIMEOUT_MS),
    )


def _build_backend(key, data):
    state = read_text(data, "state")
    if state not in (READY, DRAINING):
        raise ValueError(f"unknown state {state[:MAX_LOGGED_CHARS]!r}")
    # Not used; a replica counts its own entries with it.
    read_integer(data, "sequence", 0, default=0)
    unreadable = []
    cold_left_ms = _read_number(
        data, "cold_left_ms", MAX_COLD_START_S * 1_000, unreadable
    )
    # `version` is the release of the replica's software, not of its model weights.
    # `born` distinguishes restarts of a replica with the same identifier.
    return ListedBackend(
        # Requests name the backend server that they are meant for.
        check_header_text(key, "the key"),
        read_text(data, "service"),
        read_address(data, "address"),
        read_text(data, "zone"),
        read_text(data, "version"),
        read_integer(data, "slots", 1, MAX_SLOTS),
        state == DRAINING,
        read_integer(data, "born", 0, default=None),
        cold_left_ms,
        unreadable,
    )


def _build_order(row, data):
    return ReleaseOrder(
        read_text(data, "service"),
        read_text(data, "to"),
        read_number(data, "duration_s", 0) * 1_000,
        number_of(row.version),
        era_of(row.version),
    )


def _build_status(row, data):
    return ReleaseStatus(
        read_text(data, "service"),
        read_text(data, "to"),
        STATES_BY_WORD[read_text(data, "state")],
        read_integer(data, "order", 0),
        read_number(data, "started_ms", -MAX_INTEGER),
        read_text(data, "by", "") if data.get("by") else "",
        read_text(data, "reason", "") if data.get("reason") else "",
        row.version,
    )


def _read_path(data, name, unreadable):
    """Return an optional path, or ""; list what can't be decoded."""
    value = data.get(name)
    if value is None:
        return ""
    if isinstance(value, str) and PATH.fullmatch(value):
        return value
    unreadable.append(f"{name}: {describe(value)}")
    return ""


def _read_number(data, name, largest, unreadable):
    """Return an optional number from 0, or None; list what can't be decoded."""
    value = data.get(name)
    if value is None:
        return None
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if is_number and 0 <= value <= largest:
        return float(value)
    unreadable.append(f"{name}: {describe(value)}")
    return None

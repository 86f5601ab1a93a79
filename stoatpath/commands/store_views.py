"""Shows routes, backend servers, zones and roll-outs in the platform's store."""

from datetime import datetime, timedelta, timezone

from stoatpath.commands.messages import EXIT_INVALID, EXIT_OK, EXIT_USAGE, Result
from stoatpath.commands.renderers import render_failure
from stoatpath.commands.tables import format_table
from stoatpath.outcomes import BAD_REQUEST, Failure, is_failure
from stoatpath.platform import documents, names
from stoatpath.platform.row_stores import RowPage
from stoatpath.rollouts.release_evidence import EVIDENCE_TABLE, ReleaseEvidence

USAGE = (
    "usage: stoatpathctl --store=IP:PORT "
    "store routes|backends|zones|rollouts [SERVICE]"
)
# Appended to the last key of a page, it gives the start of the next page.
NEXT_KEY_SUFFIX = "\0"


async def show_store(store, arguments):
    """Return the `Result` of `store VIEW [SERVICE]`."""
    view = VIEWS_BY_NAME.get(arguments[0]) if arguments else None
    if view is None or len(arguments) > 2:
        return Result(EXIT_USAGE, [USAGE], {"error": USAGE})
    service = arguments[1] if len(arguments) == 2 else ""
    result = await view(store, service)
    return render_failure(result) if is_failure(result) else result


async def _show_routes(store, service):
    rows = await _read_table(store, names.OPERATOR_TABLE)
    if is_failure(rows):
        return rows
    row = rows.get(names.CONFIG_KEY)
    if row is None:
        return Failure(BAD_REQUEST, "the store holds no configuration")
    table = documents.decode_route_table(row.value)
    if is_failure(table):
        return _unreadable(names.CONFIG_KEY, table)
    routes = [
        _describe_route(route)
        for route in table.routes
        if not service or service in route.weights_by_service
    ]
    organisations = sorted({each.name for each in table.organisations_by_key.values()})
    summary = (
        f"revision {table.revision} (row version {row.version}): "
        f"{len(routes)} routes, {len(organisations)} organisations with "
        f"{len(table.organisations_by_key)} keys"
    )
    data = {
        "revision": table.revision,
        "row_version": row.version,
        "organisations": organisations,
        "routes": routes,
        "problems": table.problems,
    }
    problems = [f"unreadable: {each}" for each in table.problems]
    return Result(EXIT_OK, [summary, *_route_lines(routes), *problems], data)


def _describe_route(route):
    return {
        "name": route.name,
        "host": route.host,
        "prefix": route.prefix,
        "repeats": route.repeats.name,
        "services": route.weights_by_service,
        "timeout_ms": route.timeout_ms,
        "target_ms": route.target_ms,
        "max_attempts": route.max_attempts,
        "priority": route.priority,
        "models": list(route.models),
        "regions": _sorted_regions(route.regions),
    }


def _sorted_regions(regions):
    return None if regions is None else sorted(regions)


def _route_lines(routes):
    titles = ("ROUTE", "HOST", "PREFIX", "REPEATS", "SERVICES", "TIMEOUT", "ATTEMPTS")
    rows = [
        (
            each["name"],
            each["host"],
            each["prefix"],
            each["repeats"],
            _format_weights(each["services"]),
            f"{each['timeout_ms']:g} ms",
            each["max_attempts"],
        )
        for each in routes
    ]
    return format_table(titles, rows)


async def _show_backends(store, service):
    rows = await _read_table(store, names.SERVERS_TABLE)
    orders = await _read_table(store, names.OPERATOR_TABLE)
    for each in (rows, orders):
        if is_failure(each):
            return each
    drained_zones = _read_drained_zones(orders)
    backends = []
    problems = []
    for row in rows.values():
        entry = documents.decode_backend(row.key, row.value)
        if is_failure(entry):
            problems.append({"name": row.key, "problem": entry.detail})
        elif not service or entry.service == service:
            backends.append(
                {
                    "name": entry.name,
                    "service": entry.service,
                    "release": entry.release,
                    "zone": entry.zone,
                    "address": entry.address,
                    "slots": entry.slots,
                    "state": _describe_state(entry, drained_zones),
                    "row_version": row.version,
                    "cold_left_ms": entry.cold_left_ms,
                    "cold_until": _cold_until(entry.cold_left_ms),
                }
            )
    titles = (
        "BACKEND",
        "SERVICE",
        "RELEASE",
        "ZONE",
        "ADDRESS",
        "SLOTS",
        "STATE",
        "COLD UNTIL",
    )
    keys = (
        "name",
        "service",
        "release",
        "zone",
        "address",
        "slots",
        "state",
        "cold_until",
    )
    backends.sort(key=lambda each: (each["service"], each["name"]))
    lines = format_table(titles, [[each[key] for key in keys] for each in backends])
    lines += [f"unreadable: {each['name']}: {each['problem']}" for each in problems]
    return Result(EXIT_OK, lines, {"backends": backends, "unreadable": problems})


def _describe_state(entry, drained_zones):
    if entry.is_leaving:
        return "leaving"
    return "drained" if entry.zone in drained_zones else "usable"


def _read_drained_zones(orders):
    """Return the zones that the operator's rows drain."""
    zones = (documents.parse_evacuation_key(key) for key in orders)
    return {zone for zone in zones if zone}


async def _show_zones(store, service):
    """Show all zones that are drained or have backend servers of a service."""
    rows = await _read_table(store, names.SERVERS_TABLE)
    orders = await _read_table(store, names.OPERATOR_TABLE)
    for each in (rows, orders):
        if is_failure(each):
            return each
    drained_zones = _read_drained_zones(orders)
    counts = dict.fromkeys(drained_zones, 0)
    for row in rows.values():
        entry = documents.decode_backend(row.key, row.value)
        if not is_failure(entry) and (not service or entry.service == service):
            counts[entry.zone] = counts.get(entry.zone, 0) + 1
    zones = [
        {
            "name": zone,
            "state": "drained" if zone in drained_zones else "in service",
            "backends": count,
        }
        for zone, count in sorted(counts.items())
    ]
    malformed = [key for key in orders if documents.parse_evacuation_key(key) == ""]
    keys = ("name", "state", "backends")
    lines = format_table(
        ("ZONE", "STATE", "BACKENDS"), [[each[key] for key in keys] for each in zones]
    )
    lines += [f"malformed: {key}: it names no zone" for key in malformed]
    return Result(EXIT_OK, lines, {"zones": zones, "malformed": malformed})


def _cold_until(left_ms):
    """Return the time, in UTC, until which a backend server is cold at most, or "".

    Its row states what was left when it was written, which may be a moment ago.
    """
    if not left_ms:
        return ""
    until = datetime.now(timezone.utc) + timedelta(milliseconds=left_ms)
    return until.strftime("%H:%M:%S UTC")


async def _show_rollouts(store, service):
    orders = await _read_table(store, names.OPERATOR_TABLE)
    statuses = await _read_table(store, names.STATUS_TABLE)
    evidence = await _read_table(store, EVIDENCE_TABLE)
    for rows in (orders, statuses, evidence):
        if is_failure(rows):
            return rows
    rollouts = []
    for key, row in orders.items():
        name = documents.parse_rollout_key(key)
        if name is None or (service and name != service):
            continue
        order = documents.decode_order(row)
        if is_failure(order):
            return _unreadable(key, order)
        rollouts.append(_build_rollout(order, statuses.get(key), evidence))
    titles = ("SERVICE", "RELEASE", "STATE", "JUDGED BY", "WHY")
    keys = ("service", "release", "state", "writer", "reason")
    lines = format_table(titles, [[each[key] for key in keys] for each in rollouts])
    for each in rollouts:
        lines += _evidence_lines(each)
    return Result(EXIT_OK, lines, {"rollouts": rollouts})


def _build_rollout(order, row, evidence):
    """Return a roll-out with its state and the evidence of each instance."""
    state, writer, reason = _read_state(order, row)
    counts_by_instance = {}
    for key, evidence_row in evidence.items():
        name, _, instance = key.rpartition("/")
        if name != order.service:
            continue
        counted = ReleaseEvidence.from_row(order.version, evidence_row.value)
        if counted is not None:
            counts_by_instance[instance] = {
                route: counts.to_json()
                for route, counts in counted.new_by_route.items()
            }
    return {
        "service": order.service,
        "release": order.release,
        "order": order.version,
        "duration_ms": order.duration_ms,
        "state": state,
        "writer": writer,
        "reason": reason,
        "evidence": counts_by_instance,
    }


def _read_state(order, row):
    """Return the state of an order, who wrote it, and why."""
    if row is None:
        return "ordered", "", ""
    status = documents.decode_status(row)
    if is_failure(status):
        return "unreadable", "", status.detail
    if status.order_version != order.version:
        return "ordered", "", "the status is that of an earlier order"
    return status.state, status.writer, status.reason


def _evidence_lines(rollout):
    rows = [
        (
            instance,
            route,
            f"{counts['bad']} of {counts['total']}",
            f"{counts['crowded']} of {counts['paced']}",
            " ".join(counts["backends"]),
        )
        for instance, by_route in sorted(rollout["evidence"].items())
        for route, counts in sorted(by_route.items())
    ]
    if not rows:
        return []
    titles = ("INSTANCE", "ROUTE", "BAD ANSWERS", "CROWDED STREAMS", "BACKENDS")
    return ["", f"evidence on {rollout['service']}:", *format_table(titles, rows)]


async def _read_table(store, table):
    """Return the rows of a table by key, or a failure."""
    rows = {}
    start = ""
    while True:
        page = await store.read(table, start)
        if not isinstance(page, RowPage):
            return page
        rows.update((row.key, row) for row in page.rows if not row.is_deleted)
        if page.is_last:
            return rows
        start = page.rows[-1].key + NEXT_KEY_SUFFIX


def _unreadable(key, failure):
    detail = f"{key}: {failure.detail}"
    return Result(EXIT_INVALID, [detail], {"error": detail})


def _format_weights(weights_by_service):
    if len(weights_by_service) == 1:
        return next(iter(weights_by_service))
    return " ".join(f"{name}:{weight:g}" for name, weight in weights_by_service.items())


VIEWS_BY_NAME = {
    "routes": _show_routes,
    "backends": _show_backends,
    "zones": _show_zones,
    "rollouts": _show_rollouts,
}

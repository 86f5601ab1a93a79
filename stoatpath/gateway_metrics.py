"""The metrics of a gateway, read from its components at each scrape."""

from stoatpath.log import dropped_lines
from stoatpath.metric_sources import (
    extra_work_samples,
    fleet_load_samples,
    quarantine_samples,
    supervisor_samples,
)
from stoatpath.metrics import Sample
from stoatpath.platform.row_stores import number_of


def gateway_samples(gateway):
    """Return the current samples."""
    now_ms = gateway.clock.now_ms()
    return [
        *_request_samples(gateway.listener),
        *_attempt_samples(gateway),
        *_process_samples(gateway),
        *_store_samples(gateway, now_ms),
        *_backend_samples(gateway),
        *supervisor_samples(gateway.supervisor),
        Sample.gauge(
            "stoatpath_ready", "Whether requests can be served.", gateway.is_ready()
        ),
    ]


def _request_samples(listener):
    statistics = listener.statistics
    for (service, outcome, reason), count in statistics.counts_by_key.items():
        yield Sample.counter(
            "stoatpath_requests_total",
            "Requests by service, outcome and reason of failure.",
            count,
            service=service,
            outcome=outcome,
            reason=reason,
        )
    for service, durations in statistics.durations_by_service.items():
        yield Sample.histogram(
            "stoatpath_request_duration_seconds",
            "Time from the head of a request to the end of its answer.",
            durations,
            service=service,
        )
    for service, cost in statistics.cost_by_service.items():
        yield Sample.counter(
            "stoatpath_cost_total", "Cost of models that ran.", cost, service=service
        )
    yield Sample.gauge(
        "stoatpath_requests_open", "Requests in flight.", len(listener.open_by_id)
    )


def _attempt_samples(gateway):
    statistics = gateway.attempt_statistics
    for (repeatability, model, result), count in statistics.counts_by_key.items():
        yield Sample.counter(
            "stoatpath_attempts_total",
            "Attempts by kind of route, model or service, and how they ended.",
            count,
            kind=repeatability,
            model=model,
            result=result,
        )
    for repeatability, durations in statistics.first_bytes_by_repeatability.items():
        yield Sample.histogram(
            "stoatpath_first_byte_seconds",
            "Time from sending an attempt to the head of its answer.",
            durations,
            kind=repeatability,
        )
    for service, left in gateway.retry_budget.remaining_by_service().items():
        yield Sample.gauge(
            "stoatpath_retry_budget_left",
            "Extra sends that are allowed now.",
            left,
            service=service,
        )


def _process_samples(gateway):
    yield Sample.histogram(
        "stoatpath_event_loop_lag_seconds",
        "How late timers fire.",
        gateway.loop_lag,
    )
    yield Sample.counter(
        "stoatpath_log_lines_dropped_total",
        "Log lines beyond the budget or without room.",
        dropped_lines(),
    )


def _store_samples(gateway, now_ms):
    yield Sample.counter(
        "stoatpath_store_calls_total", "Calls to the store.", gateway.store.calls
    )
    yield Sample.counter(
        "stoatpath_store_failures_total",
        "Calls to the store that failed.",
        gateway.store.failures,
    )
    yield Sample.gauge(
        "stoatpath_reads_store",
        "Whether this instance reads the tables from the store.",
        int(gateway.tables.is_reading_store),
    )
    yield Sample.counter(
        "stoatpath_tables_relayed_total",
        "Answers with tables of other instances.",
        gateway.tables.relayed_answers,
    )
    yield Sample.counter(
        "stoatpath_peer_sent_bytes_total",
        "Bytes of messages sent to other instances.",
        gateway.peer_client.bytes_sent + gateway.peer_server.bytes_sent,
    )
    yield Sample.gauge(
        "stoatpath_members",
        "Other instances that are not known to have failed.",
        len(gateway.members.peers()),
    )
    yield Sample.gauge(
        "stoatpath_store_era",
        "Era of the store as its last answer told, 0 before or without one.",
        gateway.store.era or 0,
    )
    followers = {
        "operator": gateway.operator_rows,
        "servers": gateway.server_rows,
        "statuses": gateway.status_rows,
    }
    for name, follower in followers.items():
        yield Sample.gauge(
            "stoatpath_belief_age_seconds",
            "Age of what is known of a table of the store.",
            min(1e9, follower.copy.age_ms(now_ms) / 1000),
            belief=name,
        )
    yield from _version_samples(gateway, now_ms)
    table = gateway.routes.table
    yield Sample.gauge(
        "stoatpath_routes_revision",
        "Revision of the routes in force, 0 for none.",
        0 if table is None else table.revision,
    )
    yield Sample.gauge(
        "stoatpath_routes_unreadable_parts",
        "Parts of the configuration in force that can't be read and are left out.",
        0 if table is None else len(table.problems),
    )


def _version_samples(gateway, now_ms):
    tables = gateway.tables
    versions = {
        "held": gateway.operator_rows.copy.version,
        "newest": tables.newest_version,
    }
    for name, version in versions.items():
        yield Sample.gauge(
            "stoatpath_operator_version",
            "Version of the operator's rows, without the era of the store.",
            number_of(version),
            version=name,
        )
    since_ms = tables.behind_since_ms
    yield Sample.gauge(
        "stoatpath_operator_behind_seconds",
        "Time for which newer rows of the operator are known of but not held.",
        0 if since_ms is None else (now_ms - since_ms) / 1000,
    )
    yield Sample.gauge(
        "stoatpath_operator_change_seconds",
        "Time that the last change of the operator took from the store to its effect.",
        (tables.change_delay_ms or 0) / 1000,
    )


def _backend_samples(gateway):
    yield Sample.counter(
        "stoatpath_backend_connections_total",
        "Connections made to backend servers.",
        gateway.backend_client.calls,
    )
    yield Sample.gauge(
        "stoatpath_held_bytes",
        "Bytes held for callers and backend servers, of which bodies are most.",
        gateway.memory.held_bytes,
    )
    yield Sample.gauge(
        "stoatpath_held_bytes_limit",
        "The number of held bytes from which new work is refused.",
        gateway.memory.max_bytes,
    )
    yield Sample.counter(
        "stoatpath_memory_refusals_total",
        "Requests that were refused as too many bytes were held.",
        gateway.memory.refusals,
    )
    yield Sample.counter(
        "stoatpath_memory_waits_total",
        "Answers that were read later as too many bytes were held.",
        gateway.memory.waits,
    )
    yield Sample.counter(
        "stoatpath_admission_discarded_total",
        "Entries in the queue for slots that no waiting request had.",
        gateway.gate.discarded_count(),
    )
    yield Sample.gauge(
        "stoatpath_entries_unreadable",
        "Entries in the list of backend servers that name none.",
        len(gateway.backends.unreadable_by_name),
    )
    yield Sample.gauge(
        "stoatpath_backend_limits",
        "Backend servers that name a limit of requests per second.",
        gateway.send_gate.limits.count_in_force(),
    )
    yield Sample.counter(
        "stoatpath_limited_sends_total",
        "Requests to backend servers with a limit in force.",
        gateway.send_gate.limits.limited_sends,
    )
    yield Sample.counter(
        "stoatpath_permits_refused_total",
        "Times that a request got no permit for a backend server with a limit.",
        gateway.send_gate.permits.withheld,
    )
    yield Sample.gauge(
        "stoatpath_backends_cold",
        "Backend servers with a bound on requests because they are or were cold.",
        gateway.send_gate.cold.count(gateway.clock.now_ms()),
    )
    yield Sample.counter(
        "stoatpath_cold_permits_granted_total",
        "Permits for cold backend servers that this instance issued.",
        gateway.send_gate.permits.cold_granted,
    )
    yield Sample.counter(
        "stoatpath_cold_permits_refused_total",
        "Times that a request got no permit for a cold backend server.",
        gateway.send_gate.permits.cold_withheld,
    )
    yield Sample.gauge(
        "stoatpath_backends_held_off",
        "Backend servers that want no request for some time.",
        gateway.send_gate.hold_offs.count(gateway.clock.now_ms()),
    )
    for reason, count in gateway.send_gate.withheld_by_reason.items():
        yield Sample.counter(
            "stoatpath_withheld_total",
            "Times that a selection left out a backend server, by reason.",
            count,
            reason=reason,
        )
    yield Sample.gauge(
        "stoatpath_unreachable_services",
        "Services of which no backend server accepts connections from here.",
        len(gateway.partitions.unreachable_services()),
    )
    yield Sample.counter(
        "stoatpath_forwarded_total",
        "Attempts sent through another instance.",
        gateway.forwarder.forwarded,
    )
    yield from quarantine_samples(gateway)
    yield Sample.gauge(
        "stoatpath_drained_zones",
        "Zones that the operator has drained.",
        len(gateway.eligible.evacuations.drained_zones()),
    )
    yield Sample.gauge(
        "stoatpath_drained_backends",
        "Backend servers in drained zones.",
        len(gateway.eligible.drained()),
    )
    yield from fleet_load_samples(gateway)
    yield from extra_work_samples(gateway.extra_work)
    counts_by_state = {"usable": 0, "leaving": 0}
    for backend in gateway.backends.by_name.values():
        counts_by_state["leaving" if backend.is_leaving else "usable"] += 1
    for state, count in counts_by_state.items():
        yield Sample.gauge(
            "stoatpath_backends", "Backend servers known.", count, state=state
        )
    yield Sample.gauge(
        "stoatpath_requests_waiting",
        "Requests that wait for a slot.",
        gateway.gate.waiting_count(),
    )

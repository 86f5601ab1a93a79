"""Builds the metric samples of routers and controllers; see docs/METRICS.md."""

from stoatpath.membership.messages import DEAD, LEAVING, LIVE, SUSPECT
from stoatpath.metrics import Sample

MEMBER_STATES = (LIVE, SUSPECT, LEAVING, DEAD)


def router_samples(router):
    """Return the samples of a router."""
    samples = node_samples(router.node)
    samples += _request_samples(router.listener)
    samples += _backend_samples(router.backends)
    samples += _admission_samples(router)
    samples += quarantine_samples(router)
    samples.append(
        Sample.gauge(
            "stoatpath_billing_outbox_records",
            "Billing records that are not yet written to the platform.",
            router.outbox.unwritten_count(),
        )
    )
    samples.append(
        Sample.gauge(
            "stoatpath_session_pins",
            "Session pins held in memory.",
            len(router.pins.store),
        )
    )
    samples.append(
        Sample.gauge(
            "stoatpath_may_take_work",
            "1 if the configuration is confirmed well enough to take new work.",
            int(router.guard.check_work() is None),
        )
    )
    return samples


def supervisor_samples(supervisor):
    """Return the samples of the tasks that a process runs until it stops."""
    for task, count in supervisor.failures_by_task.items():
        yield Sample.counter(
            "stoatpath_task_failures_total",
            "Errors that ended a task; it was started again.",
            count,
            task=task,
        )
    yield Sample.gauge(
        "stoatpath_tasks_failing",
        "Tasks that have kept failing for 30 s.",
        len(supervisor.lasting_failures()),
    )


def fleet_load_samples(gateway):
    """Return the samples of the sums over all instances, of a gateway."""
    loads = gateway.chooser.fleet_loads
    age_ms = loads.age_ms(gateway.clock.now_ms())
    backends = gateway.backends.by_name.values()
    own = sum(backend.in_flight for backend in backends)
    speeds = [loads.speed(backend) for backend in backends] or [1.0]
    yield Sample.gauge(
        "stoatpath_load_sums_age_seconds",
        "Mean age of the known load of the fleet.",
        min(1e9, age_ms / 1000),
    )
    yield Sample.gauge(
        "stoatpath_load_sums_instances",
        "Instances whose load is in the sums, with this one.",
        loads.instances,
    )
    yield Sample.counter(
        "stoatpath_load_sums_rejected_total",
        "Malformed sums of other instances that were ignored.",
        loads.rejected,
    )
    for scope, count in (("own", own), ("fleet", own + loads.others_in_flight())):
        yield Sample.gauge(
            "stoatpath_backend_requests",
            "Requests at backend servers, of this instance and by the sums of all.",
            count,
            scope=scope,
        )
    for rank, speed in (("slowest", min(speeds)), ("fastest", max(speeds))):
        yield Sample.gauge(
            "stoatpath_backend_speed",
            "Learned speed of a backend server, 1 for the common one.",
            round(speed, 3),
            rank=rank,
        )


def extra_work_samples(extra_work):
    """Return the samples of second attempts against slow answers."""
    for name, help_text, count in (
        ("sent", "Second attempts against slow answers.", extra_work.sent),
        ("won", "Second attempts that answered first.", extra_work.won),
    ):
        yield Sample.counter(f"stoatpath_extra_work_{name}_total", help_text, count)
    for reason, count in extra_work.refused_by_reason.items():
        yield Sample.counter(
            "stoatpath_extra_work_refused_total",
            "Second attempts that were not made.",
            count,
            reason=reason,
        )


def quarantine_samples(router):
    """Return the samples of the quarantine of a router or a gateway."""
    return [
        Sample.counter(
            "stoatpath_backend_crashes_total",
            "Backend servers that ended under a request before its answer had begun.",
            router.crash_reporter.crashes,
        ),
        Sample.gauge(
            "stoatpath_quarantined_parts",
            "Prompt parts and whole requests in quarantine: backend servers end on "
            "them.",
            router.quarantine.count_in_force(),
        ),
        Sample.counter(
            "stoatpath_quarantine_refused_total",
            "Times that a request was not sent for what is in quarantine.",
            router.quarantine.refused,
        ),
    ]


def node_samples(node):
    """Return the samples that routers and controllers share."""
    follower = node.follower
    age_ms = node.clock.now_ms() - follower.fresh_as_of_ms
    samples = [
        Sample.gauge(
            "stoatpath_configuration_revision",
            "Revision of the configuration in force.",
            follower.snapshot.revision,
        ),
        Sample.gauge(
            "stoatpath_configuration_age_seconds",
            "Time since the revision in force was known to be the stored head.",
            age_ms / 1000,
        ),
        Sample.counter(
            "stoatpath_peer_sent_bytes_total",
            "Bytes of messages sent to peers.",
            node.peer_client.bytes_sent,
        ),
        Sample.counter(
            "stoatpath_peer_read_bytes_total",
            "Bytes of answers read from peers.",
            node.peer_client.bytes_read,
        ),
    ]
    states = [member.state for member in node.members.by_name.values()]
    for state in MEMBER_STATES:
        samples.append(
            Sample.gauge(
                "stoatpath_members",
                "Other routers and controllers by state.",
                states.count(state),
                state=state,
            )
        )
    samples += supervisor_samples(node.supervisor)
    return samples + _platform_samples(node)


def _platform_samples(node):
    clients = {"table": node.table, "instance_list": node.instance_list}
    if node.objects is not None:
        clients["objects"] = node.objects
    samples = []
    for service, client in clients.items():
        connection = client.connection
        samples.append(
            Sample.counter(
                "stoatpath_platform_calls_total",
                "Calls of the platform's services.",
                connection.calls,
                service=service,
            )
        )
        samples.append(
            Sample.counter(
                "stoatpath_platform_sent_bytes_total",
                "Bytes sent to the platform's services.",
                connection.bytes_sent,
                service=service,
            )
        )
    return samples


def _request_samples(listener):
    statistics = listener.statistics
    samples = [
        Sample.gauge(
            "stoatpath_requests_open",
            "Requests of callers in flight.",
            len(listener.open_by_id),
        ),
        Sample.counter(
            "stoatpath_replays_total",
            "Requests answered with the stored answer of their idempotency key.",
            statistics.replays,
        ),
        Sample.counter(
            "stoatpath_sessions_moved_total",
            "Answers that told a session it left its version.",
            statistics.moved_sessions,
        ),
    ]
    for (service, outcome, reason), count in statistics.counts_by_key.items():
        samples.append(
            Sample.counter(
                "stoatpath_requests_total",
                "Requests of callers by what became of them.",
                count,
                service=service,
                outcome=outcome,
                reason=reason,
            )
        )
    for service, durations in statistics.durations_by_service.items():
        samples.append(
            Sample.histogram(
                "stoatpath_request_duration_seconds",
                "Time from the arrival of a request to its whole answer.",
                durations,
                service=service,
            )
        )
    for service, cost in statistics.cost_by_service.items():
        samples.append(
            Sample.counter(
                "stoatpath_cost_units_total",
                "Price of the answers given, in units of the configured costs.",
                cost,
                service=service,
            )
        )
    return samples


def _backend_samples(backends):
    known = list(backends.by_name.values())
    leaving = sum(backend.is_leaving for backend in known)
    counts_by_state = {"live": len(known) - leaving, "leaving": leaving}
    return [
        Sample.gauge(
            "stoatpath_backend_servers",
            "Backend servers known to this router.",
            count,
            state=state,
        )
        for state, count in counts_by_state.items()
    ]


def _admission_samples(router):
    samples = [
        Sample.counter(
            "stoatpath_rate_limited_total",
            "Requests refused by an organisation's rate limit.",
            router.rates.refusals,
        ),
        Sample.counter(
            "stoatpath_admission_discarded_total",
            "Entries in the queue for slots that no waiting request had.",
            router.gate.discarded_count(),
        ),
    ]
    for load in router.gate.pool_loads():
        for name, value in (("capacity", load.capacity), ("in_use", load.in_use)):
            samples.append(
                Sample.gauge(
                    f"stoatpath_pool_slots_{name}",
                    "Slots of a pool in this router.",
                    value,
                    pool=load.pool,
                )
            )
    samples.append(
        Sample.gauge(
            "stoatpath_queued_requests",
            "Requests that wait for a slot.",
            router.gate.waiting_count(),
        )
    )
    return samples

"""The design size, the largest site to serve, and what each role needs at it."""

from stoatpath.explanations.rings import MAX_RING_BYTES
from stoatpath.leases.keepers import SHARDS
from stoatpath.measure.capacities import EstimateItem, Resource, ResourceEstimate
from stoatpath.placement.keepers import POLL_BYTES_PER_S
from stoatpath.sessions.archives import MAX_SITE_TRANSACTIONS_PER_S

DAEMONS = 540
REPLICAS = 2_800
REQUESTS_PER_S = 15_000
TOKENS_PER_S = 5_000_000
VERSIONS = 29
CHANGES_PER_DAY = 5_400
SECONDS_PER_DAY = 86_400
TOKEN_INTERVAL_S = 0.072
LIVE_SESSIONS = 1_000_000
PIN_HOLDERS = 2
PURPOSES = 10
KEYED_SHARE = 0.05
WRITES_PER_KEYED_REQUEST = 2
POLLED_SERVERS_PER_ROUTER = 87
ROLLOUT_REQUESTS_PER_S = REQUESTS_PER_S / VERSIONS
EVALUATIONS_PER_S = 5

REQUESTS_PER_ROUTER = REQUESTS_PER_S / DAEMONS
TOKENS_PER_ROUTER = TOKENS_PER_S / DAEMONS
STREAMS_PER_ROUTER = TOKENS_PER_ROUTER * TOKEN_INTERVAL_S
PINS_PER_ROUTER = LIVE_SESSIONS * PIN_HOLDERS / DAEMONS

CONTROL_MEMORY = Resource("memory for control", "MB", 64)
REQUEST_MEMORY = Resource("memory for requests", "MB", None)
CONTROL_NETWORK = Resource("network for control", "kB/s", 23)
CONTROL_CPU = Resource("processor time for control", "% of a core", 3.4)
REQUEST_CPU = Resource("processor time for requests", "% of a core", None)
WRITES = Resource("writes", "writes/s", 300)
READS = Resource("reads", "reads/s", 2_000)

ROUTER = "Router"
CONTROLLER = "Controller"
PLATFORM = "Table service, all daemons together"

PERCENT = 100
US_TO_PERCENT = 1e-6 * PERCENT
MS_TO_PERCENT = 1e-3 * PERCENT
B_TO_MB = 1e-6
B_TO_KB = 1e-3
KB_TO_MB = 1e-3


def resource_estimates():
    """Return the estimate of each resource for each role."""
    return [
        ResourceEstimate(ROUTER, CONTROL_MEMORY, _router_memory()),
        ResourceEstimate(ROUTER, CONTROL_NETWORK, _router_network()),
        ResourceEstimate(ROUTER, CONTROL_CPU, _router_control_cpu()),
        ResourceEstimate(ROUTER, REQUEST_MEMORY, _router_request_memory()),
        ResourceEstimate(ROUTER, REQUEST_CPU, _router_request_cpu()),
        ResourceEstimate(CONTROLLER, CONTROL_MEMORY, _controller_memory()),
        ResourceEstimate(CONTROLLER, CONTROL_NETWORK, _controller_network()),
        ResourceEstimate(CONTROLLER, CONTROL_CPU, _controller_cpu()),
        ResourceEstimate(PLATFORM, WRITES, _table_writes()),
        ResourceEstimate(PLATFORM, READS, _table_reads()),
    ]


def _members_memory():
    return EstimateItem(
        "members known",
        "control",
        "membership.bytes_per_peer",
        DAEMONS,
        "members",
        B_TO_MB,
        "member table, changes by gossip",
    )


def _router_memory():
    return [
        EstimateItem(
            "process at rest",
            "footprints",
            "router.resident_kb",
            1,
            "process",
            KB_TO_MB,
            "imports kept to what a daemon needs",
        ),
        _members_memory(),
        EstimateItem(
            "backend servers known",
            "decision-costs",
            "routing.bytes_per_backend",
            POLLED_SERVERS_PER_ROUTER,
            "servers of its subset",
            B_TO_MB,
            "subset by rendezvous hashing",
        ),
        EstimateItem(
            "session pins",
            "session-costs",
            "sessions.bytes_per_pin",
            PINS_PER_ROUTER,
            "pins (1,000,000 live sessions, 2 holders)",
            B_TO_MB,
            "two holders for each pin",
        ),
        EstimateItem(
            "learned estimates",
            "decision-costs",
            "cascades.bytes_per_estimate",
            VERSIONS * PURPOSES,
            "versions and purposes",
            B_TO_MB,
            "counts for each version and purpose",
        ),
        EstimateItem.with_fixed_slope(
            "decisions kept to explain",
            MAX_RING_BYTES,
            "B",
            1,
            "ring",
            B_TO_MB,
            "ring bounded in bytes",
        ),
    ]


def _gossip_network():
    return EstimateItem(
        "gossip, probes, configuration",
        "control",
        "gossip.bytes_per_s.peers-540",
        1,
        "daemon among 540",
        B_TO_KB,
        "probing in turn, deltas, byte budget",
    )


def _router_network():
    return [
        _gossip_network(),
        EstimateItem(
            "load reports",
            "control",
            "backends.bytes_per_s.servers-87",
            1,
            "subset of 87 servers",
            B_TO_KB,
            "period grows with the subset",
        ),
    ]


def _gossip_cpu():
    return EstimateItem(
        "gossip, probes, configuration",
        "control",
        "gossip.core_share.peers-540",
        1,
        "daemon among 540",
        PERCENT,
        "probing in turn, deltas",
    )


def _router_control_cpu():
    return [
        _gossip_cpu(),
        EstimateItem(
            "load reports",
            "control",
            "backends.core_share.servers-87",
            1,
            "subset of 87 servers",
            PERCENT,
            "period grows with the subset",
        ),
        EstimateItem(
            "timers of an idle router, small site",
            "footprints",
            "router.idle_core",
            1,
            "process",
            PERCENT,
            "contains polling of 12 servers at 4 times a second",
        ),
    ]


def _router_request_memory():
    return [
        EstimateItem(
            "open streams",
            "hot-path",
            "hot-path.bytes_per_open_stream",
            STREAMS_PER_ROUTER,
            "streams (72 ms between tokens)",
            B_TO_MB,
            "events relayed as they come",
        ),
        EstimateItem(
            "waiting requests",
            "decision-costs",
            "admission.bytes_per_waiting",
            1_000,
            "requests, the default bound",
            B_TO_MB,
            "bounded queue",
        ),
    ]


def _router_request_cpu():
    return [
        EstimateItem(
            "requests",
            "hot-path",
            "hot-path.router_cpu_per_request",
            REQUESTS_PER_ROUTER,
            "requests/s",
            US_TO_PERCENT,
            "one process on one core",
        ),
        EstimateItem(
            "streamed tokens",
            "hot-path",
            "hot-path.router_cpu_per_token",
            TOKENS_PER_ROUTER,
            "tokens/s",
            US_TO_PERCENT,
            "events relayed, each checked",
        ),
    ]


def _controller_memory():
    return [
        EstimateItem(
            "process at rest",
            "footprints",
            "controller.resident_kb",
            1,
            "process",
            KB_TO_MB,
            "imports kept to what a daemon needs",
        ),
        _members_memory(),
    ]


def _controller_network():
    return [
        _gossip_network(),
        EstimateItem(
            "counts of ratings, as a judge",
            "rollout-costs",
            "rollouts.bytes_per_cell",
            ROLLOUT_REQUESTS_PER_S,
            "cells/s of one roll-out, one for each request",
            B_TO_KB,
            "grow-only counters, collectors between",
        ),
        EstimateItem.with_fixed_slope(
            "load reports, as the holder of a shard",
            POLL_BYTES_PER_S,
            "B/s",
            1,
            "at most",
            B_TO_KB,
            "period grows with the engines",
        ),
    ]


def _controller_cpu():
    return [
        _gossip_cpu(),
        EstimateItem(
            "counts of ratings merged by a judge",
            "rollout-costs",
            "rollouts.merge_us_per_cell",
            ROLLOUT_REQUESTS_PER_S,
            "cells/s of one roll-out",
            US_TO_PERCENT,
            "grow-only counters, collectors between",
        ),
        EstimateItem(
            "looks of a judge",
            "rollout-costs",
            "rollouts.look_ms",
            EVALUATIONS_PER_S,
            "looks/s of one roll-out",
            MS_TO_PERCENT,
            "sequential test over windows",
        ),
        EstimateItem(
            "leases",
            "rollout-costs",
            "leases.tick_ms",
            1,
            "second of ticks",
            MS_TO_PERCENT,
            "16 shards, rendezvous over the live controllers",
        ),
        EstimateItem(
            "plans of placement",
            "placement",
            "placement.planner_ms",
            1 / SHARDS,
            "of all 2,800 engines, each second at the most often",
            MS_TO_PERCENT,
            "one shard of 16",
        ),
    ]


def _table_writes():
    return [
        EstimateItem(
            "billing batches",
            "billing",
            "billing.writes_at_design_size",
            1,
            "site",
            1,
            "one large write a router in 5 s, copies at peers between",
        ),
        EstimateItem(
            "leases",
            "rollout-costs",
            "leases.writes_per_s",
            1,
            "site",
            1,
            "16 shards renewed by compare-and-set",
        ),
        EstimateItem.with_fixed_slope(
            "accepted changes",
            CHANGES_PER_DAY / SECONDS_PER_DAY,
            "writes/s",
            1,
            "site",
            1,
            "one transaction for each submission",
        ),
        EstimateItem.with_fixed_slope(
            "pins at risk during a roll-out",
            MAX_SITE_TRANSACTIONS_PER_S,
            "writes/s",
            1,
            "site, at most",
            1,
            "period of the batches grows with the members",
        ),
        EstimateItem.with_fixed_slope(
            "idempotency keys",
            REQUESTS_PER_S * KEYED_SHARE * WRITES_PER_KEYED_REQUEST,
            "rows/s",
            1,
            "site, 5% of requests keyed, too few in one router to group",
            1,
            "group commit in each router",
        ),
    ]


def _table_reads():
    return [
        EstimateItem(
            "polling of the configuration's head",
            "control",
            "configuration.table_reads_per_s.site-540",
            1,
            "site",
            1,
            "period grows with the members, gossip tells of changes",
        ),
        EstimateItem.with_fixed_slope(
            "reads back of idempotency keys",
            REQUESTS_PER_S * KEYED_SHARE * WRITES_PER_KEYED_REQUEST,
            "reads/s",
            1,
            "site, 5% of requests keyed",
            1,
            "each claim is verified by a read",
        ),
    ]

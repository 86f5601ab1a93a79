"""Processor time and memory of single decisions; the times vary between runs."""

import random
import time
import tracemalloc

from stoatpath.admission.messages import AdmissionRequest, Grant
from stoatpath.admission.queues import AdmissionQueue
from stoatpath.cascades.estimates import Estimates
from stoatpath.cascades.messages import PlanQuery
from stoatpath.cascades.planners import Planner
from stoatpath.configuration.documents import ACTIVE, Version
from stoatpath.measure.deployments import CORAL_COAST, Deployment
from stoatpath.measure.reports import Figure, Report
from stoatpath.membership.backends import ENGINE, BackendServers
from stoatpath.outcomes import is_failure
from stoatpath.routing.choosers import LeastTimeChooser
from stoatpath.routing.messages import RoutingQuery
from stoatpath.services.messages import ListedInstance

NAME = "decision-costs"
BACKEND_COUNTS = (9, 280, 2_800)
VERSIONS = 29
CHOICES = 2_000
WAITING_COUNTS = (10, 100, 1_000)
ORGANISATIONS = 10
GRANTS = 2_000
PLANS = 2_000
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
US_PER_S = 1_000_000


def run(seed):
    """Return the report of routing, admission and cascade costs."""
    figures = []
    for count in BACKEND_COUNTS:
        figures.append(_choice_figure(seed, count))
    figures.append(_backend_bytes_figure())
    for count in WAITING_COUNTS:
        figures.append(_grant_figure(count))
    figures.append(_waiting_bytes_figure())
    figures.append(_plan_figure(seed))
    figures.append(_estimate_bytes_figure())
    return Report(NAME, seed, figures, is_timed=True)


def cpu_us_per_call(action, count):
    """Return the mean processor time of one call, in microseconds."""
    started_s = time.process_time()
    for index in range(count):
        action(index)
    return (time.process_time() - started_s) * US_PER_S / count


def bytes_per_object(build, count):
    """Return the mean traced memory of one built object."""
    tracemalloc.start()
    objects = build(count)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del objects
    return size / count


def _choice_figure(seed, count):
    servers = _build_servers(count)
    chooser = LeastTimeChooser(ZONES[0], random.Random(seed))

    def choose(index):
        query = RoutingQuery(f"req-{index}", "service", "model@0", 100, 60_000.0, set())
        choice = chooser.choose(query, servers.serving("model@0"), 100.0)
        if is_failure(choice):
            raise AssertionError(choice.detail)

    value = cpu_us_per_call(choose, CHOICES)
    return Figure(f"routing.choice_us.backends-{count}", round(value, 2), "us")


def _backend_bytes_figure():
    value = bytes_per_object(_build_servers, BACKEND_COUNTS[-1])
    return Figure("routing.bytes_per_backend", round(value), "bytes")


def _build_servers(count):
    """Return backend servers that each serve `model@0` and one other version."""
    servers = BackendServers()
    entries = {}
    for index in range(count):
        name = f"engine-{index}"
        zone = ZONES[index % len(ZONES)]
        entries[name] = ListedInstance(name, ENGINE, "10.0.0.1:80", zone, "m", "live")
    servers.apply_list(entries, -60_000.0)
    for index, name in enumerate(entries):
        versions = ["model@0", f"model@{1 + index % (VERSIONS - 1)}"]
        report = {
            "versions": versions,
            "slots": 16,
            "running": index % 16,
            "token_ms": 20.0,
            "leaving": False,
        }
        servers.apply_report(name, report, 0.0)
    return servers


def _build_queue(count):
    """Return a queue with one busy slot and `count` waiting requests, and the grant."""
    queue = AdmissionQueue(ORGANISATIONS * WAITING_COUNTS[-1])
    queue.set_capacity("pool", 1)
    grant = None
    for index in range(count + 1):
        decision = queue.offer(_build_request(index), 0.0)
        if isinstance(decision, Grant):
            grant = decision
        elif is_failure(decision):
            raise AssertionError(decision.detail)
    return queue, grant


def _build_request(index):
    name = f"organisation-{index % ORGANISATIONS}"
    deadline_ms = 1e12 + index * 7 % 1_000
    return AdmissionRequest(
        f"req-{index}", name, 1, ("pool",), deadline_ms, 1.0, index % 3 == 0
    )


def _grant_figure(count):
    """Return the figure of one release with the next grant and a new offer."""
    queue, grant = _build_queue(count)
    grants = [grant]

    def release_and_offer(index):
        now_ms = float(index)
        grants.extend(queue.release(grants.pop(), now_ms))
        queue.offer(_build_request(count + 1 + index), now_ms)

    value = cpu_us_per_call(release_and_offer, GRANTS)
    return Figure(f"admission.grant_us.waiting-{count}", round(value, 2), "us")


def _waiting_bytes_figure():
    value = bytes_per_object(_build_queue, WAITING_COUNTS[-1])
    return Figure("admission.bytes_per_waiting", round(value), "bytes")


def _plan_figure(seed):
    deployment = Deployment.from_sample(CORAL_COAST)
    planner = Planner(Estimates(), random.Random(seed))
    purpose = deployment.traffic()[0][0]
    query = PlanQuery(deployment.service, purpose, True, False, False, 60_000.0)
    versions = deployment.versions
    value = cpu_us_per_call(lambda index: planner.plan(query, versions, 0.0), PLANS)
    return Figure("cascades.plan_us", round(value, 2), "us")


def _estimate_bytes_figure():
    """Return the figure of the memory of one version's estimates for one purpose."""
    deployment = Deployment.from_sample(CORAL_COAST)
    service = deployment.service
    purpose = deployment.traffic()[0][0]

    def build(count):
        estimates = Estimates()
        for index in range(count):
            version = Version(f"model@{index}", "model", 1.0, ACTIVE)
            estimates.quality(service, purpose, version)
            estimates.quality(service, purpose, version, is_escalated=True)
            estimates.usage(service, purpose, version)
        return estimates

    value = bytes_per_object(build, 1_000)
    return Figure("cascades.bytes_per_estimate", round(value), "bytes")

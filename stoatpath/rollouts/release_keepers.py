"""Starts, evaluates and completes the roll-outs that the operator orders.

Every instance runs this; conditional writes let one of them win each transition.
"""

import logging

from stoatpath.outcomes import BACKEND_ERROR, is_failure
from stoatpath.platform.row_stores import Committed, RowWrite
from stoatpath.rollouts.latency_classifiers import LatencyClassifier
from stoatpath.rollouts.messages import (
    COMPLETED,
    ROLLED_BACK,
    RUNNING,
    ReleaseStatus,
)
from stoatpath.rollouts.release_evidence import (
    EVIDENCE_TABLE,
    ReleaseEvidence,
    UsualAnswers,
)
from stoatpath.rollouts.releases import COMPLETION_FRACTION
from stoatpath.sessions.shared_releases import SharedSessions

logger = logging.getLogger(__name__)

CHECK_PERIOD_MS = 200.0
# Stands for any release but the new one of a roll-out.
OLD_RELEASE = ""
# Longest random delay before a write, so that instances don't all write at once.
MAX_WRITE_JITTER_MS = 300.0
# An instance that copies the tables from another one leaves the write to the readers of
# the store, unless their write is not known after this time.
FOLLOWER_WRITE_DELAY_MS = 700.0
# An instance publishes its counts at most once in this period. If more instances than
# `PUBLISHERS_PER_PERIOD` have published for a service, it grows in proportion, because
# the store's rate limits are for all instances together.
PUBLISH_PERIOD_MS = 600.0
PUBLISHERS_PER_PERIOD = 20
# Share of a roll-out after which no more backend servers of the new release come.
SINGLE_AFTER_SHARE = 0.1


class ReleaseKeeper:
    """Assigns releases to requests and drives the roll-outs of all services.

    `reads_store` tells whether this instance reads the store for others.
    `instance_count` returns the number of instances, or None while it is uncertain;
    `request_rate` returns the requests per second of a service at this instance.
    `exposure_slack` is the number of requests that a bad release may serve besides its
    share, at all instances together.

    `book` holds orders and statuses, `sessions` the releases that sessions ran on,
    `directory` the backend servers. `codec` encodes statuses and names their rows.
    """

    __slots__ = (
        "registry",
        "shared_sessions",
        "reads_store",
        "instance_count",
        "request_rate",
        "exposure_slack",
        "status_versions_by_service",
        "_instance",
        "_store",
        "_codec",
        "_sessions",
        "_directory",
        "_reachability",
        "_clock",
        "_random",
        "_latencies",
        "_usual_answers",
        "_evidence_by_order",
        "_publication_by_order",
        "_evidence_versions_by_key",
        "_write_due_ms_by_order",
        "_unconfirmed_services",
        "_unread_versions_by_service",
    )

    def __init__(
        self,
        instance,
        book,
        store,
        codec,
        sessions,
        directory,
        reachability,
        clock,
        random,
    ):
        self.registry = book
        self.shared_sessions = SharedSessions()
        self.reads_store = lambda: True
        self.instance_count = lambda: None
        self.request_rate = lambda service: 0.0
        self.exposure_slack = 0.0
        self.status_versions_by_service = {}
        self._instance = instance
        self._store = store
        self._codec = codec
        self._sessions = sessions
        self._directory = directory
        self._reachability = reachability
        self._clock = clock
        self._random = random
        self._latencies = LatencyClassifier()
        self._usual_answers = UsualAnswers()
        self._evidence_by_order = {}
        self._publication_by_order = {}
        self._evidence_versions_by_key = {}
        self._write_due_ms_by_order = {}
        self._unconfirmed_services = set()
        self._unread_versions_by_service = {}

    @property
    def has_unread_statuses(self):
        """Return whether a status that was written again has not been read yet."""
        return bool(self._unread_versions_by_service)

    def record_status_row(self, service, version):
        """Record the version of a status row that was read."""
        self.status_versions_by_service[service] = version
        if version >= self._unread_versions_by_service.get(service, float("inf")):
            del self._unread_versions_by_service[service]

    def restore_statuses(self):
        """Write the known states again where a store of a new era has lost them.

        Return the services concerned. The reader of the store does so, as all
        instances have the same statuses.
        """
        services = self.registry.statuses_by_service
        self._unconfirmed_services = self._confirmable_services(services)
        return self._unconfirmed_services

    def _confirmable_services(self, services):
        """Return those of some services whose known status is that of their order."""
        statuses = self.registry.statuses_by_service
        return {
            service
            for service in services
            if service in statuses
            and statuses[service].order_version == self._order_version(service)
        }

    def _order_version(self, service):
        order = self.registry.orders_by_service.get(service)
        return None if order is None else order.version

    def choose(self, request):
        """Return the `ReleaseChoice` of a request."""
        service = request.service.name
        now_ms = self._clock.now_ms()
        earlier = None
        if request.session:
            earlier = self._sessions.get_release(service, request.session, now_ms)
            if earlier is None:
                earlier = self._told_release(service, request.session)
        store_ms = self._reachability.store_ms(now_ms)
        if store_ms is None:
            store_ms = 0.0
        key = request.session or request.request_id
        return self.registry.choose(
            service, key, earlier, store_ms, bool(request.session)
        )

    def record_run(self, request):
        """Record the release that a request ran on as that of its session."""
        if request.session and request.release is not None:
            service = request.service.name
            now_ms = self._clock.now_ms()
            self._sessions.record_release(
                service, request.session, request.release, now_ms
            )
            order = self.registry.orders_by_service.get(service)
            if order is not None and request.release != order.release:
                self._share_session(order, request.session)

    def _update_open_orders(self):
        orders = self.registry.open_orders()
        self.shared_sessions.set_open_orders([order.version for order in orders])

    def _told_release(self, service, session):
        """Return `OLD_RELEASE` if another instance told so of a session, else None."""
        order = self.registry.orders_by_service.get(service)
        if order is None:
            return None
        is_told = self.shared_sessions.contains(order.version, session)
        return OLD_RELEASE if is_told else None

    def _share_session(self, order, session):
        """Tell other instances of a session that would else be in the canary share."""
        is_open = self.registry.state(order) in (None, RUNNING)
        if is_open and self.registry.is_canary(order, session):
            self.shared_sessions.add(order.version, session)

    def apply_order(self, order):
        """Apply an operator's order unless a newer one is known."""
        known_version = self._order_version(order.service)
        is_new = self.registry.apply_order(order)
        if not is_new and self._order_version(order.service) != known_version:
            # It was written again in a new era; the status in the store names the row
            # of an earlier era.
            self._unconfirmed_services |= self._confirmable_services([order.service])
        if is_new:
            self._drop_earlier_orders(order)
            self._set_extra_requests(order)
            self._update_open_orders()
            now_ms = self._clock.now_ms()
            for session in self._sessions.sessions_off_release(
                order.service, order.release, now_ms
            ):
                self._share_session(order, session)
            logger.info(
                "release.ordered",
                extra={
                    "service": order.service,
                    "release": order.release,
                    "order": order.version,
                    "duration_ms": order.duration_ms,
                },
            )

    def _set_extra_requests(self, order):
        """Give this instance its part of the exposure beyond the allowed share."""
        instances = self.instance_count()
        expected = self.request_rate(order.service) * order.duration_ms / 1000
        if instances is not None and expected > 0.0:
            extra = self.exposure_slack / instances
            self.registry.set_extra_requests(order.service, extra, expected)

    def apply_status(self, status):
        """Apply a status that the store holds, unless a newer one is known."""
        if self.registry.apply_status(status):
            self._update_open_orders()
            logger.info(
                "release.status",
                extra={
                    "service": status.service,
                    "release": status.release,
                    "state": status.state,
                    "order": status.order_version,
                    "writer": status.writer,
                    "why": status.reason,
                },
            )

    def observe(self, result):
        """Count the `AttemptResult` of an attempt for or against its release."""
        backend = self._directory.by_name.get(result.backend)
        if backend is None or result.first_byte_ms is None:
            return
        if result.reason not in (None, BACKEND_ERROR):
            # Cut connections, crashes and cancelled requests are no evidence.
            return
        order = self.registry.orders_by_service.get(backend.service)
        is_running = order is not None and self.registry.state(order) is RUNNING
        is_new = is_running and backend.release == order.release
        is_after_cutover = is_running and self._is_after_cutover(order)
        latency_class = self._latencies.classify(
            backend.service, result, not is_new, is_after_cutover
        )
        if result.number > 1:
            # Requests that fail everywhere would count several times.
            return
        if not is_new:
            self._usual_answers.record_answer(backend.service, result, latency_class)
        if not is_running:
            return
        evidence = self._evidence(order)
        evidence.record_request(result.route, result.new_share)
        if is_new and evidence.record_answer(result, is_new, latency_class):
            problem = evidence.detect_regression(
                has_single_backend=self._has_single_backend(order)
            )
            self._suspect(order, problem)

    def _has_single_backend(self, order):
        """Return whether one backend server has the new release.

        In the first part of a roll-out others may still start.
        """
        if self._elapsed_ms(order) < SINGLE_AFTER_SHARE * order.duration_ms:
            return False
        backends = self._directory.by_name.values()
        return 1 == sum(
            each.service == order.service and each.release == order.release
            for each in backends
        )

    def _elapsed_ms(self, order):
        """Return the time since a roll-out started, 0 while the store is unknown."""
        store_ms = self._reachability.store_ms(self._clock.now_ms())
        if store_ms is None:
            return 0.0
        return self.registry.progress(order, store_ms) * order.duration_ms

    def _is_after_cutover(self, order):
        """Return whether all work may have moved to the new release by now."""
        store_ms = self._reachability.store_ms(self._clock.now_ms())
        return store_ms is None or (
            self.registry.progress(order, store_ms) >= self.registry.cutover_fraction
        )

    async def run(self):
        """Drive all roll-outs until cancelled."""
        while True:
            await self._clock.sleep_until(self._clock.now_ms() + CHECK_PERIOD_MS)
            if self._unconfirmed_services and self.reads_store():
                await self._confirm_statuses()
            for order in self.registry.open_orders():
                await self._advance_rollout(order)

    async def _confirm_statuses(self):
        """Compare the store's statuses with the known ones; write those that differ."""
        page = await self._store.read(self._codec.status_table)
        if is_failure(page):
            return
        rows_by_key = {row.key: row for row in page.rows}
        for service in list(self._unconfirmed_services):
            key = self._codec.status_key(service)
            row = rows_by_key.get(key)
            if row is not None:
                self._apply_later_state(service, row)
            status = self.registry.statuses_by_service[service]
            value = self._codec.encode_status(status)
            version = 0 if row is None else row.version
            if row is None or row.value != value:
                write = RowWrite(self._codec.status_table, key, value, version)
                result = await self._store.write([write])
                if not isinstance(result, Committed):
                    continue
                version = result.version
                self._unread_versions_by_service[service] = version
                logger.warning(
                    "release.restored",
                    extra={"service": service, "state": status.state},
                )
            status.version = max(status.version, version)
            self.status_versions_by_service[service] = version
            self._unconfirmed_services.discard(service)

    def _apply_later_state(self, service, row):
        """Apply the status of a row in which the known, running roll-out has ended."""
        known = self.registry.statuses_by_service[service]
        stored = self._codec.decode_status(row)
        if is_failure(stored) or known.state is not RUNNING:
            return
        is_same = stored.order_version == known.order_version
        if is_same and stored.release == known.release:
            self.apply_status(stored)

    async def _advance_rollout(self, order):
        service = order.service
        if self.registry.state(order) is None:
            await self._write_after_jitter(order, RUNNING, "ordered")
            return
        if service in self.registry.suspicions_by_service:
            reason = self.registry.suspicions_by_service[service]
            await self._write_after_jitter(order, ROLLED_BACK, reason, is_urgent=True)
            return
        await self._publish_counts(order)
        if self._may_complete(order):
            await self._write_after_jitter(order, COMPLETED, "no problem was found")

    def _may_complete(self, order):
        store_ms = self._reachability.store_ms(self._clock.now_ms())
        if store_ms is None or self._reachability.outage_start_ms is not None:
            return False
        if self.registry.progress(order, store_ms) < COMPLETION_FRACTION:
            return False
        backends = self._directory.of_service(order.service)
        return any(each.release == order.release for each in backends)

    async def _write_after_jitter(self, order, state, reason, is_urgent=False):
        """Write a state after a random delay; urgent ones are written at once."""
        key = (order.service, order.version, state)
        now_ms = self._clock.now_ms()
        wait_ms = 0.0
        if not is_urgent:
            wait_ms = self._random.uniform(0.0, MAX_WRITE_JITTER_MS)
            wait_ms += 0.0 if self.reads_store() else FOLLOWER_WRITE_DELAY_MS
        due_ms = self._write_due_ms_by_order.setdefault(key, now_ms + wait_ms)
        if now_ms < due_ms:
            return
        self._write_due_ms_by_order[key] = now_ms + max(CHECK_PERIOD_MS, wait_ms)
        await self._write_status(order, state, reason)

    async def _write_status(self, order, state, reason):
        known = self.registry.statuses_by_service.get(order.service)
        is_same = known is not None and known.order_version == order.version
        store_ms = self._reachability.store_ms(self._clock.now_ms())
        if store_ms is None:
            return
        status = ReleaseStatus(
            order.service,
            order.release,
            state,
            order.version,
            known.started_ms if is_same else store_ms,
            self._instance,
            reason,
        )
        write = RowWrite(
            self._codec.status_table,
            self._codec.status_key(order.service),
            self._codec.encode_status(status),
            self.status_versions_by_service.get(order.service, 0),
        )
        result = await self._store.write([write])
        if isinstance(result, Committed):
            status.version = result.version
            self.status_versions_by_service[order.service] = result.version
            self.apply_status(status)
        elif is_failure(result):
            logger.warning(
                "release.write-failed",
                extra={"service": order.service, "why": result.detail},
            )

    async def _publish_counts(self, order):
        """Store the counts of the new release and evaluate those of all instances.

        This only happens once this instance has counted more bad or crowded answers.
        """
        evidence = self._evidence(order)
        suspicious_answers = evidence.suspicious_answers
        key = (order.service, order.version)
        published_answers, due_ms = self._publication_by_order.get(key, (0, 0.0))
        now_ms = self._clock.now_ms()
        if suspicious_answers <= published_answers or now_ms < due_ms:
            return
        self._publication_by_order[key] = (
            published_answers,
            now_ms + PUBLISH_PERIOD_MS,
        )
        row_key = f"{order.service}/{self._instance}"
        version = self._evidence_versions_by_key.get(row_key, 0)
        value = evidence.to_row(order.version, self._elapsed_ms(order))
        write = RowWrite(EVIDENCE_TABLE, row_key, value, version)
        result = await self._store.write([write])
        if isinstance(result, Committed):
            self._evidence_versions_by_key[row_key] = result.version
            published_answers = suspicious_answers
        page = await self._store.read(EVIDENCE_TABLE, f"{order.service}/")
        if is_failure(page):
            return
        period_factor = max(1.0, len(page.rows) / PUBLISHERS_PER_PERIOD)
        due_ms = now_ms + period_factor * PUBLISH_PERIOD_MS
        self._publication_by_order[key] = (published_answers, due_ms)
        self._evaluate_all_counts(order, page.rows)

    def _evaluate_all_counts(self, order, rows):
        published = []
        own_key = f"{order.service}/{self._instance}"
        if all(row.key != own_key for row in rows):
            # A store that came back from an older copy may not have it.
            self._evidence_versions_by_key.pop(own_key, None)
        for row in rows:
            service, _, instance = row.key.rpartition("/")
            if service != order.service:
                continue
            if instance == self._instance:
                # After a restart the row of the previous process is overwritten.
                self._evidence_versions_by_key[row.key] = row.version
            evidence = ReleaseEvidence.from_row(order.version, row.value)
            if evidence is not None:
                published.append(evidence)
        if published:
            instances = self.instance_count() or len(published)
            merged = ReleaseEvidence.merged(published, self._elapsed_ms(order))
            problem = merged.detect_regression(
                instances, self._has_single_backend(order)
            )
            self._suspect(order, problem)

    def _suspect(self, order, problem):
        if problem is None or order.service in self.registry.suspicions_by_service:
            return
        self.registry.suspect(order.service, problem)
        logger.warning(
            "release.suspected",
            extra={
                "service": order.service,
                "release": order.release,
                "order": order.version,
                "why": problem,
            },
        )

    def _drop_earlier_orders(self, order):
        """Drop the state of earlier orders of a service."""
        for by_order in (
            self._evidence_by_order,
            self._publication_by_order,
            self._write_due_ms_by_order,
        ):
            for key in [key for key in by_order if key[0] == order.service]:
                del by_order[key]

    def _evidence(self, order):
        key = (order.service, order.version)
        evidence = self._evidence_by_order.get(key)
        if evidence is None:
            usual_by_route = self._usual_answers.of_service(order.service)
            evidence = self._evidence_by_order[key] = ReleaseEvidence(usual_by_route)
        return evidence

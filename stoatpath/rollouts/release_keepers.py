"""Starts, judges and completes the roll-outs that the operator orders.

Every instance does the same; conditional writes settle who was first.
"""

import logging

from stoatpath.outcomes import BACKEND_ERROR, is_failure
from stoatpath.platform.row_stores import Committed, RowWrite
from stoatpath.rollouts.answer_paces import AnswerPaces
from stoatpath.rollouts.messages import (
    COMPLETED,
    ROLLED_BACK,
    RUNNING,
    RolloutStatus,
)
from stoatpath.rollouts.release_evidence import (
    EVIDENCE_TABLE,
    AnswerCounts,
    ReleaseEvidence,
    decode_counts,
    encode_counts,
)
from stoatpath.rollouts.releases import COMPLETE_AT

logger = logging.getLogger(__name__)

PERIOD_MS = 200.0
# Instances wait a random part of this before they write, so that one of them does.
WRITE_SPREAD_MS = 300.0
# Counts of bad signs are shared at most this often by so many instances, and less
# often by more of them: the store's rates are for all together.
SHARE_PERIOD_MS = 600.0
SHARING_INSTANCES = 20


class ReleaseKeeper:
    """Assigns releases to requests and drives the roll-outs of all services.

    `book` holds what is known, `sessions` where sessions ran, `directory` the
    backend servers. `codec` encodes statuses and names their rows.
    """

    __slots__ = (
        "book",
        "status_versions_by_service",
        "_instance",
        "_store",
        "_codec",
        "_sessions",
        "_directory",
        "_reachability",
        "_clock",
        "_random",
        "_paces",
        "_evidence_by_order",
        "_shared_ms_by_order",
        "_evidence_versions_by_key",
        "_act_at_ms_by_order",
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
        self.book = book
        self.status_versions_by_service = {}
        self._instance = instance
        self._store = store
        self._codec = codec
        self._sessions = sessions
        self._directory = directory
        self._reachability = reachability
        self._clock = clock
        self._random = random
        self._paces = AnswerPaces()
        self._evidence_by_order = {}
        self._shared_ms_by_order = {}
        self._evidence_versions_by_key = {}
        self._act_at_ms_by_order = {}

    def choose(self, request):
        """Return the `ReleaseChoice` of a request."""
        service = request.service.name
        now_ms = self._clock.now_ms()
        earlier = None
        if request.session:
            earlier = self._sessions.find(service, request.session, now_ms)
        store_ms = self._reachability.store_ms(now_ms)
        if store_ms is None:
            store_ms = 0.0
        key = request.session or request.request_id
        return self.book.choose(service, key, earlier, store_ms)

    def record_run(self, request):
        """Take a request that ended: its session stays where it ran."""
        if request.session and request.release is not None:
            service = request.service.name
            now_ms = self._clock.now_ms()
            self._sessions.keep(service, request.session, request.release, now_ms)

    def apply_order(self, order):
        """Take an order of the operator."""
        if self.book.apply_order(order):
            self._forget_earlier(order)
            logger.info(
                "release.ordered",
                extra={
                    "service": order.service,
                    "release": order.release,
                    "order": order.version,
                    "duration_ms": order.duration_ms,
                },
            )

    def apply_status(self, status):
        """Take a status that the store holds."""
        if self.book.apply_status(status):
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
        """Take the `AttemptResult` of an attempt, as evidence on its release."""
        backend = self._directory.by_name.get(result.backend)
        if backend is None or result.first_byte_ms is None:
            return
        if result.reason not in (None, BACKEND_ERROR):
            # Cut connections, crashes and callers that left say nothing of it.
            return
        order = self.book.orders_by_service.get(backend.service)
        is_open = order is not None and self.book.state(order) is RUNNING
        is_new = is_open and backend.release == order.release
        is_moved = is_open and self._is_moved(order)
        pace = self._paces.judge(backend.service, result, not is_new, is_moved)
        if not is_open:
            return
        evidence = self._evidence(order)
        if evidence.take(result, is_new, pace) and is_new:
            self._suspect(order, evidence.find_problem(evidence.new_by_route))

    def _is_moved(self, order):
        """Return whether all work may have moved to the new release."""
        store_ms = self._reachability.store_ms(self._clock.now_ms())
        return store_ms is None or (
            self.book.progress(order, store_ms) >= self.book.move_at
        )

    async def run(self):
        """Drive all roll-outs until cancelled."""
        while True:
            await self._clock.sleep_until(self._clock.now_ms() + PERIOD_MS)
            for order in self.book.open_orders():
                await self._drive(order)

    async def _drive(self, order):
        service = order.service
        if self.book.state(order) is None:
            await self._act(order, RUNNING, "ordered")
            return
        if service in self.book.suspicions_by_service:
            reason = self.book.suspicions_by_service[service]
            await self._act(order, ROLLED_BACK, reason, is_urgent=True)
            return
        await self._share_evidence(order)
        if self._may_complete(order):
            await self._act(order, COMPLETED, "no problem was found")

    def _may_complete(self, order):
        store_ms = self._reachability.store_ms(self._clock.now_ms())
        if store_ms is None or self._reachability.lost_ms is not None:
            return False
        if self.book.progress(order, store_ms) < COMPLETE_AT:
            return False
        backends = self._directory.of_service(order.service)
        return any(each.release == order.release for each in backends)

    async def _act(self, order, state, reason, is_urgent=False):
        """Write a state after a random wait, unless another instance has."""
        key = (order.service, order.version, state)
        now_ms = self._clock.now_ms()
        spread_ms = 0.0 if is_urgent else WRITE_SPREAD_MS
        wait_ms = self._random.uniform(0.0, spread_ms)
        due_ms = self._act_at_ms_by_order.setdefault(key, now_ms + wait_ms)
        if now_ms < due_ms:
            return
        self._act_at_ms_by_order[key] = now_ms + max(PERIOD_MS, wait_ms)
        await self._write(order, state, reason)

    async def _write(self, order, state, reason):
        known = self.book.statuses_by_service.get(order.service)
        is_same = known is not None and known.order_version == order.version
        store_ms = self._reachability.store_ms(self._clock.now_ms())
        if store_ms is None:
            return
        status = RolloutStatus(
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

    async def _share_evidence(self, order):
        """Store own counts of bad signs and weigh those of all instances together."""
        evidence = self._evidence(order)
        signs = sum(counts.signs for counts in evidence.new_by_route.values())
        key = (order.service, order.version)
        shared_signs, due_ms = self._shared_ms_by_order.get(key, (0, 0.0))
        now_ms = self._clock.now_ms()
        if signs <= shared_signs or now_ms < due_ms:
            return
        self._shared_ms_by_order[key] = (shared_signs, now_ms + SHARE_PERIOD_MS)
        row_key = f"{order.service}/{self._instance}"
        version = self._evidence_versions_by_key.get(row_key, 0)
        value = encode_counts(order.version, evidence.new_by_route)
        write = RowWrite(EVIDENCE_TABLE, row_key, value, version)
        result = await self._store.write([write])
        if isinstance(result, Committed):
            self._evidence_versions_by_key[row_key] = result.version
            shared_signs = signs
        page = await self._store.read(EVIDENCE_TABLE, f"{order.service}/")
        if is_failure(page):
            return
        pace = max(1.0, len(page.rows) / SHARING_INSTANCES)
        due_ms = now_ms + pace * SHARE_PERIOD_MS
        self._shared_ms_by_order[key] = (shared_signs, due_ms)
        self._weigh(order, evidence, page.rows)

    def _weigh(self, order, evidence, rows):
        merged = {}
        for row in rows:
            service, _, instance = row.key.rpartition("/")
            if service != order.service:
                continue
            if instance == self._instance:
                # A process that starts anew finds the row of the one before.
                self._evidence_versions_by_key[row.key] = row.version
            for route, counts in decode_counts(order.version, row.value).items():
                merged.setdefault(route, AnswerCounts()).add(counts)
        self._suspect(order, evidence.find_problem(merged))

    def _suspect(self, order, problem):
        if problem is None or order.service in self.book.suspicions_by_service:
            return
        self.book.suspect(order.service, problem)
        logger.warning(
            "release.suspected",
            extra={
                "service": order.service,
                "release": order.release,
                "order": order.version,
                "why": problem,
            },
        )

    def _forget_earlier(self, order):
        """Drop what is kept of earlier orders of a service."""
        for kept in (
            self._evidence_by_order,
            self._shared_ms_by_order,
            self._act_at_ms_by_order,
        ):
            for key in [key for key in kept if key[0] == order.service]:
                del kept[key]

    def _evidence(self, order):
        key = (order.service, order.version)
        evidence = self._evidence_by_order.get(key)
        if evidence is None:
            evidence = self._evidence_by_order[key] = ReleaseEvidence()
        return evidence

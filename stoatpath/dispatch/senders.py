"""Sends attempts to engines and plain services and checks their answers."""

from stoatpath.backpressure.messages import BackendSignals, decode_hold_off_ms
from stoatpath.configuration.documents import MODEL_SERVICE
from stoatpath.dispatch.cancellations import Canceller
from stoatpath.dispatch.checks import (
    broken_answer,
    check_completion,
    foreign_answer,
    is_truncation_detectable,
)
from stoatpath.dispatch.connections import ConnectionPools
from stoatpath.dispatch.deadlines import ExchangeDeadlines
from stoatpath.dispatch.exchanges import read_body, run_exchange
from stoatpath.dispatch.last_checks import use_last_check
from stoatpath.dispatch.messages import Answer
from stoatpath.dispatch.streams import EventReader
from stoatpath.lookups.cache_control import parse_cache_ttl_s
from stoatpath.outcomes import (
    BACKEND_ERROR,
    REFUSED_BY_BACKEND,
    SILENT_CONNECTION,
    TIMED_OUT,
    Failure,
    Outcome,
    is_failure,
)
from stoatpath.tls import url_scheme
from stoatpath.utils import encode_json

NOT_RUN_HEADER = "Engine-Not-Run"
REQUEST_ID_HEADER = "Stoatpath-Request-Id"
RETRY_AFTER_HEADER = "Retry-After"
TIMEOUT_HEADER = "Stoatpath-Timeout-Ms"
NO_TIMEOUT_MS = float("inf")
MAX_LOGGED_CHARS = 40


class Sender:
    """Sends attempts over pooled or fresh connections.

    A non-repeatable request gets a new connection, since a stale pooled one would leave
    open whether it ran. So does a plain service that never echoed a request identifier,
    since a late answer to another request could not be recognised. `gate` is the
    `SendGate`.
    """

    __slots__ = ("_clock", "_between_bytes_ms", "_gate", "_tls", "_pools", "_canceller")

    def __init__(self, clock, between_bytes_ms, gate, tls=None):
        self._clock = clock
        self._between_bytes_ms = between_bytes_ms
        self._gate = gate
        self._tls = tls
        self._pools = ConnectionPools(clock, tls)
        self._canceller = Canceller(tls)

    async def start(self):
        """Open the connection pools."""
        self._pools.start()

    async def close(self):
        """Close all connections."""
        await self._canceller.close()
        await self._pools.close()

    async def close_unused(self):
        """Close the connections to backend servers that are no longer used."""
        await self._pools.close_unused()

    async def send(self, attempt):
        """Return an answer, or a failure with the outcome of the execution."""
        request = attempt.request
        if request.deadline_ms <= self._clock.now_ms():
            return Failure(TIMED_OUT, "the deadline passed before sending")
        address = attempt.backend.address
        is_model = request.service.kind == MODEL_SERVICE
        may_pool = request.is_repeatable and not attempt.needs_fresh_connection
        may_pool = may_pool and (is_model or self._pools.echoes(address))
        cohort = self._pools.acquire(address, may_pool)
        attempt.was_pooled = may_pool
        result = None
        try:
            result = await self._send_on(cohort, attempt)
            if is_failure(result) and result.reason is SILENT_CONNECTION:
                await self._pools.drop(cohort)
            return result
        finally:
            if is_model and (result is None or _may_still_run(result)):
                self._canceller.cancel(attempt)
            await self._pools.release(cohort)

    async def _send_on(self, cohort, attempt):
        request = attempt.request
        between_bytes_ms = (
            self._between_bytes_ms if request.is_repeatable else NO_TIMEOUT_MS
        )
        deadlines = ExchangeDeadlines(
            self._clock,
            request.deadline_ms,
            attempt.first_byte_deadline_ms,
            between_bytes_ms,
        )
        attempt.deadlines = deadlines
        exchange = self._exchange(cohort, attempt, deadlines)
        return await run_exchange(exchange, deadlines)

    async def _exchange(self, cohort, attempt, deadlines):
        request = attempt.request
        remaining_ms = request.deadline_ms - self._clock.now_ms()
        headers = {
            REQUEST_ID_HEADER: request.request_id,
            TIMEOUT_HEADER: str(int(remaining_ms)),
        }
        if request.content_type:
            headers["Content-Type"] = request.content_type
        use_last_check(attempt.last_check)
        request.was_sent = True
        sent_ms = self._clock.now_ms()
        call = cohort.session.request(
            request.method,
            f"{url_scheme(self._tls)}://{attempt.backend.address}{request.path}",
            data=_request_body(attempt),
            headers=headers,
            allow_redirects=False,
        )
        async with call as response:
            deadlines.record_bytes()
            self._observe_hold_off(cohort, attempt, response, sent_ms)
            answer = await self._read_answer(cohort, attempt, response, deadlines)
            if is_failure(answer):
                response.close()
            return answer

    def _observe_hold_off(self, cohort, attempt, response, sent_ms):
        """Record that the backend server asks for a pause in its own answer."""
        echoed = response.headers.get(REQUEST_ID_HEADER)
        if echoed != attempt.request.request_id and not cohort.is_fresh:
            return
        text = response.headers.get(RETRY_AFTER_HEADER)
        hold_off_ms, is_readable = decode_hold_off_ms(response.status, text)
        if hold_off_ms is None:
            return
        unreadable = () if is_readable else (text[:MAX_LOGGED_CHARS],)
        signals = BackendSignals(hold_off_ms=hold_off_ms, unreadable=unreadable)
        self._gate.observe(attempt.backend.name, signals, sent_ms)

    async def _read_answer(self, cohort, attempt, response, deadlines):
        request_id = attempt.request.request_id
        echoed = response.headers.get(REQUEST_ID_HEADER)
        if echoed is not None and echoed != request_id:
            return foreign_answer({"id": echoed})
        if response.headers.get(NOT_RUN_HEADER) == "true":
            is_own_answer = echoed == request_id or cohort.is_fresh
            outcome = Outcome.NOT_RUN if is_own_answer else Outcome.UNKNOWN
            return Failure(REFUSED_BY_BACKEND, f"status {response.status}", outcome)
        if attempt.request.service.kind == MODEL_SERVICE:
            return await self._read_completion(attempt, response, deadlines)
        if echoed is None and not cohort.is_fresh:
            return foreign_answer({"id": None})
        if echoed is not None:
            self._pools.record_echo(attempt.backend.address)
        return await self._read_service_answer(attempt, response, deadlines)

    async def _read_completion(self, attempt, response, deadlines):
        if response.status != 200:
            detail = f"status {response.status}"
            return Failure(BACKEND_ERROR, detail, Outcome.UNKNOWN)
        if attempt.relay is not None:
            return await EventReader(attempt).read(response.content, deadlines)
        body = await read_body(response.content, deadlines)
        request_id = attempt.request.request_id
        return check_completion(request_id, attempt.version.name, body)

    async def _read_service_answer(self, attempt, response, deadlines):
        body = await read_body(response.content, deadlines)
        if response.status >= 500:
            detail = f"status {response.status}"
            return Failure(BACKEND_ERROR, detail, Outcome.UNKNOWN)
        if not is_truncation_detectable(attempt.request.method, response):
            return broken_answer("the answer has neither length nor end marker")
        content_type = response.headers.get("Content-Type", "")
        cache_ttl_s = parse_cache_ttl_s(response.status, response.headers)
        return Answer(response.status, content_type, body, "", 0, cache_ttl_s)


def _may_still_run(result):
    if not is_failure(result) or result.outcome is Outcome.NOT_RUN:
        return False
    return result.reason is not BACKEND_ERROR


def _request_body(attempt):
    request = attempt.request
    if request.service.kind != MODEL_SERVICE:
        return request.body
    body = dict(request.body)
    body["model"] = attempt.version.model
    body["version"] = attempt.version.name
    body["request_id"] = request.request_id
    body["attempt_id"] = attempt.attempt_id
    if attempt.resume_from:
        relayed = attempt.relay.contents[: attempt.resume_from]
        body["resume_from"] = attempt.resume_from
        body["resume_text"] = "".join(relayed)
    return encode_json(body)

"""The interface to callers whose requests are routed by host and path."""

import math

from aiohttp import web
from xxhash import xxh3_64_intdigest

from stoatpath.callers.relay_messages import RelayedRequest
from stoatpath.outcomes import (
    BAD_REQUEST,
    NOT_FOUND,
    SHUTTING_DOWN,
    UNAUTHENTICATED,
    Failure,
    Outcome,
    is_failure,
)
from stoatpath.utils import encode_json

HASH_RANGE = 2**64
SCHEME = "Bearer "
# Statuses that promise that a request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
MIN_RETRY_AFTER_S = 0.05


class RelayInterface:
    """Reads requests by the routes in force and passes answers on unchanged.

    `router` is the router that holds the slices; `wire` decodes heads, whose names
    are the platform's. Requests are taken until a clock reading, `accept_until_ms`.
    """

    __slots__ = ("bodies", "refuses_streams", "accept_until_ms", "_router", "_wire")

    tls = None

    def __init__(self, router, wire, bodies):
        self.bodies = bodies
        self.refuses_streams = False
        self.accept_until_ms = float("inf")
        self._router = router
        self._wire = wire

    def answer_probe(self, request):
        """Return None: readiness is asked for at another address."""
        return None

    def request_id(self, request):
        """Return the identifier that the caller gave, or None."""
        return self._wire.request_id(request.headers)

    async def read(self, request, request_id):
        """Return a `RelayedRequest`, or the failure of the step that refused it."""
        arrived_ms = self._router.clock.now_ms()
        head = self._read_head(request, request_id, arrived_ms)
        if not is_failure(head):
            body = await self.bodies.read(request)
            if not is_failure(body):
                head.body = body
                return head
            head = body
        self._router.ring.record_decision(
            request_id, "read", head.reason.name, field=head.field
        )
        self._router.ring.record_decision(
            request_id, "ended", head.reason.name, detail=head.detail, outcome="not-run"
        )
        return head

    def open_stream(self, request, parsed):
        """Return what writes the events of a streamed answer."""
        return RelayedStream(request, self._router.clock)

    async def render_served(self, request_id, served, stream):
        """Return the response of a whole answer."""
        return _render_answer(served.answer)

    def render_failure(self, failure, request_id):
        """Return the response of a failure; a backend server's own goes unchanged."""
        answer = getattr(failure, "answer", None)
        if answer is not None:
            return _render_answer(answer)
        status = _status_of(failure)
        headers = {}
        if status in NOT_RUN_STATUSES:
            headers["Retry-After"] = self._retry_after(failure)
        body = encode_json(
            {
                "error": failure.reason.name,
                "message": failure.detail,
                "outcome": failure.outcome.value,
            }
        )
        return web.Response(
            status=status, body=body, headers=headers, content_type="application/json"
        )

    def _read_head(self, request, request_id, arrived_ms):
        table = self._router.routes.table
        if table is None:
            return self._router.guard.stale_failure("no routes are known yet")
        path = request.raw_path
        if not path.startswith("/") or not path.isascii():
            return Failure(BAD_REQUEST, "expected a path", field="path")
        problem = self._wire.check(request.headers)
        if problem is not None:
            return problem
        route = table.match_route(
            self._wire.host(request.headers), path.partition("?")[0]
        )
        if route is None:
            return self._unknown(NOT_FOUND, "no route leads there", "path")
        organisation, key = None, ""
        if table.needs_keys and not route.is_public:
            key = self._wire.key(request.headers, SCHEME)
            organisation = table.organisations_by_key.get(key)
            if organisation is None:
                return self._unknown(
                    UNAUTHENTICATED, "the key is not known", "Authorization"
                )
        is_last = arrived_ms > self.accept_until_ms
        if is_last or (self.refuses_streams and route.is_stream):
            return Failure(SHUTTING_DOWN, "the instance stops before it could end")
        timeout_ms = self._wire.timeout_ms(request.headers, route.timeout_ms)
        fraction = xxh3_64_intdigest(request_id.encode()) / HASH_RANGE
        service = table.services_by_name.get(route.choose_service(fraction))
        if service is None:
            return self._router.guard.stale_failure(
                "the service of the route is not known"
            )
        prompt = self._wire.prompt(request.headers)
        self._note_read(request_id, route, service, organisation, timeout_ms, prompt)
        return RelayedRequest(
            request_id,
            organisation,
            key,
            service,
            route,
            arrived_ms,
            arrived_ms + timeout_ms,
            self._wire.session(request.headers),
            request.method,
            path,
            self._wire.forwarded_headers(request.headers),
            b"",
            prompt,
            self._wire.last_event_id(request.headers),
        )

    def _note_read(self, request_id, route, service, organisation, timeout_ms, prompt):
        """Note what a request asks for, and by which routes of which age."""
        routes = self._router.routes
        self._router.ring.record_decision(
            request_id,
            "read",
            "a route leads there",
            route=route.name,
            repeats=route.repeats.name,
            service=service.name,
            organisation="" if organisation is None else organisation.name,
            timeout_ms=round(timeout_ms),
            tokens=prompt.tokens,
            revision=routes.table.revision,
            confirmed_ms_ago=round(routes.age_ms(self._router.clock.now_ms())),
        )

    def _unknown(self, reason, detail, field):
        """Return a refusal, or say that the routes are too old to tell."""
        if not self._router.guard.is_fresh:
            return self._router.guard.stale_failure(detail)
        return Failure(reason, detail, field=field)

    def _retry_after(self, failure):
        """Return seconds, spread by a half so that callers don't come at once."""
        wait_ms = 0.0
        if failure.retry_at_ms is not None:
            wait_ms = failure.retry_at_ms - self._router.clock.now_ms()
        wait_s = max(MIN_RETRY_AFTER_S, wait_ms / 1000)
        spread_s = wait_s * self._router.random.uniform(1.0, 1.5)
        return f"{math.ceil(spread_s * 1000) / 1000:g}"


class RelayedStream:
    """Writes the events of one streamed answer to its caller.

    `begun_ms` is the clock reading at which its head was sent, or None.
    """

    __slots__ = ("_request", "_clock", "response", "begun_ms")

    def __init__(self, request, clock):
        self._request = request
        self._clock = clock
        self.response = None
        self.begun_ms = None

    @property
    def has_begun(self):
        """Return whether a part of the answer has been sent."""
        return self.begun_ms is not None

    async def begin(self, head):
        """Send the head of a backend server's answer."""
        self.response = web.StreamResponse(status=head.status, headers=head.headers)
        self.response.enable_chunked_encoding()
        if self._request.protocol.is_leaving:
            self.response.force_close()
        self.begun_ms = self._clock.now_ms()
        await self.response.prepare(self._request)

    async def write(self, events):
        """Send whole events."""
        await self.response.write(events)

    async def finish(self):
        """Mark the end of a whole answer."""
        await self.response.write_eof()

    def abort(self):
        """Close the connection so that the answer looks broken."""
        if self._request.transport is not None:
            self._request.transport.abort()


def _render_answer(answer):
    """Return a backend server's answer with its own status, headers and body."""
    return web.Response(
        status=answer.head.status, headers=answer.head.headers, body=answer.body
    )


def _status_of(failure):
    """Return a status that promises no more than what is known."""
    status = failure.reason.status
    if failure.outcome is Outcome.NOT_RUN:
        return 503 if status >= 500 else status
    return 502 if status in NOT_RUN_STATUSES or status < 500 else status

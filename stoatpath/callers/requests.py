"""Reads HTTP requests: checks the head, authenticates, then reads the body."""

import logging

from stoatpath.callers.authenticators import authenticate
from stoatpath.callers.heads import check_headers, check_media_type
from stoatpath.callers.parsers import RequestHead, parse_call, parse_completion
from stoatpath.outcomes import (
    BAD_REQUEST,
    METHOD_NOT_ALLOWED,
    NOT_FOUND,
    Failure,
    is_failure,
)

logger = logging.getLogger(__name__)

COMPLETIONS_PATH = "/v1/chat/completions"
COMPLETION_METHODS = ("POST",)
SERVICES_PREFIX = "/services/"
SERVICE_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")


class RequestReader:
    """Authenticates, reads and parses requests.

    `router` provides the settings, the configuration and the decision ring.
    """

    __slots__ = ("_router", "_bodies")

    def __init__(self, router, bodies):
        self._router = router
        self._bodies = bodies

    async def read(self, request, request_id):
        """Return a `CallerRequest`, or the failure of the check that refused it."""
        arrived_ms = self._router.clock.now_ms()
        parsed = await self._read(request, request_id, arrived_ms)
        if is_failure(parsed):
            logger.info(
                "caller.refused",
                extra={
                    "request_id": request_id,
                    "reason": parsed.reason.name,
                    "field": parsed.field,
                },
            )
            return parsed
        self._router.ring.record_decision(
            request_id,
            "arrived",
            parsed.organisation.name,
            service=parsed.service.name,
            purpose=parsed.purpose.name,
            is_stream=parsed.is_stream,
            is_keyed=bool(parsed.idempotency_key),
            deadline_in_ms=round(parsed.deadline_ms - arrived_ms),
        )
        return parsed

    async def _read(self, request, request_id, arrived_ms):
        service_name, path = _parse_target(request)
        if service_name is None and path is None:
            return Failure(NOT_FOUND, "no such path", field="path")
        if not path.isascii():
            return Failure(BAD_REQUEST, "expected ASCII and escapes", field="path")
        problem = _check_method(request, service_name) or check_headers(request.headers)
        if problem is not None:
            return problem
        snapshot = self._router.follower.snapshot
        authorization = request.headers.get("Authorization", "")
        organisation = authenticate(snapshot, authorization)
        if is_failure(organisation):
            return organisation
        body = await self._bodies.read(request)
        if is_failure(body):
            return body
        head = RequestHead(
            request.method, path, request.headers, arrived_ms, request_id
        )
        limit_ms = self._router.settings.max_timeout_ms
        if service_name is None:
            problem = check_media_type(request.headers.get("Content-Type", ""))
            if problem is not None:
                body.release()
                return problem
            parsed = parse_completion(snapshot, organisation, head, body.data, limit_ms)
        else:
            parsed = parse_call(
                snapshot, organisation, head, service_name, body.data, limit_ms
            )
        if is_failure(parsed):
            body.release()
        else:
            body.release_with(parsed)
        return parsed


def _parse_target(request):
    """Return the plain service or None, and the path to send or None if unknown.

    The path of a call is passed on unchanged, percent escapes included.
    """
    path, _, query = request.raw_path.partition("?")
    if path == COMPLETIONS_PATH:
        return None, COMPLETIONS_PATH
    if not path.startswith(SERVICES_PREFIX):
        return None, None
    service_name, slash, rest = path.removeprefix(SERVICES_PREFIX).partition("/")
    if not slash:
        return None, None
    target = f"/{rest}?{query}" if query else f"/{rest}"
    return service_name, target


def _check_method(request, service_name):
    allowed = COMPLETION_METHODS if service_name is None else SERVICE_METHODS
    if request.method in allowed:
        return None
    detail = f"expected one of {', '.join(allowed)}"
    return Failure(METHOD_NOT_ALLOWED, detail, field="method")

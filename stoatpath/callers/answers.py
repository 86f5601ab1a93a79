"""Renders answers and failures as HTTP responses."""

import math

from aiohttp import web

from stoatpath.outcomes import Outcome
from stoatpath.utils import encode_json

MIN_RETRY_AFTER_S = 1
REQUEST_ID_HEADER = "Stoatpath-Request-Id"
OUTCOME_HEADER = "Stoatpath-Outcome"
VERSION_HEADER = "Stoatpath-Version"
SESSION_HEADER = "Stoatpath-Session"
SESSION_MOVED_HEADER = "Stoatpath-Session-Moved"
REPLAY_HEADER = "Stoatpath-Replay"
JSON_TYPE = "application/json"
DEFAULT_TYPE = "application/octet-stream"


def render_served(request_id, served):
    """Return the response for a complete, buffered answer."""
    headers = {
        REQUEST_ID_HEADER: request_id,
        OUTCOME_HEADER: Outcome.COMPLETED.value,
        "Content-Type": served.content_type or DEFAULT_TYPE,
        **version_headers(served.version, served.session, served.session_moved),
    }
    if served.is_replay:
        headers[REPLAY_HEADER] = "true"
    return web.Response(status=served.status, body=served.body, headers=headers)


def version_headers(version, session, session_moved):
    """Return the response headers for the model version and the session."""
    headers = {VERSION_HEADER: version}
    if session:
        headers[SESSION_HEADER] = session
    if session_moved:
        headers[SESSION_MOVED_HEADER] = session_moved
    return headers


def render_failure(failure, request_id, now_ms):
    """Return the JSON response of a failure, with its outcome and `Retry-After`."""
    reason = failure.reason
    headers = {
        REQUEST_ID_HEADER: request_id,
        OUTCOME_HEADER: failure.outcome.value,
    }
    if reason.status in (429, 503):
        headers["Retry-After"] = str(_retry_after_s(failure, now_ms))
    return web.Response(
        status=reason.status,
        body=encode_error(failure, request_id),
        content_type=JSON_TYPE,
        headers=headers,
    )


def encode_error(failure, request_id):
    """Return the JSON body of a failure."""
    error = {
        "type": failure.reason.name,
        "message": failure.detail,
        "field": failure.field,
        "outcome": failure.outcome.value,
        "retryable": failure.reason.retryable,
        "request_id": request_id,
    }
    return encode_json({"error": error})


def _retry_after_s(failure, now_ms):
    if failure.retry_at_ms is None:
        return MIN_RETRY_AFTER_S
    wait_ms = failure.retry_at_ms - now_ms
    return max(MIN_RETRY_AFTER_S, math.ceil(wait_ms / 1000))

"""Parses headers and bodies into caller requests."""

import hashlib
import re

from stoatpath.callers.heads import (
    KEY_HEADER,
    PURPOSE_HEADER,
    SESSION_HEADER,
    TIMEOUT_HEADER,
)
from stoatpath.callers.messages import CallerRequest
from stoatpath.configuration.documents import MODEL_SERVICE, PLAIN_SERVICE
from stoatpath.outcomes import BAD_REQUEST, FORBIDDEN, NOT_FOUND, Failure, is_failure
from stoatpath.utils import decode_json

MAX_KEY_CHARS = 255
MAX_SESSION_CHARS = 2_048
MAX_COMPLETION_TOKENS = 1_000_000
RESERVED_NAMES = (
    "version",
    "request_id",
    "attempt_id",
    "resume_from",
    "resume_text",
)
ROLES = ("system", "user", "assistant", "tool", "developer")
_PRINTABLE = re.compile(r"[\x21-\x7e]+")


class RequestHead:
    """The fields of an HTTP request that are known before its body."""

    __slots__ = ("method", "path", "headers", "arrived_ms", "request_id")

    def __init__(self, method, path, headers, arrived_ms, request_id):
        self.method = method
        self.path = path
        self.headers = headers
        self.arrived_ms = arrived_ms
        self.request_id = request_id


def parse_completion(snapshot, organisation, head, data, max_timeout_ms):
    """Return the `CallerRequest` of a chat completion, or a failure."""
    body = decode_json(data)
    problem = _check_completion(body)
    if problem is not None:
        return problem
    service = snapshot.services_by_name.get(body["model"])
    if service is None or service.kind != MODEL_SERVICE:
        return Failure(NOT_FOUND, f"no service {body['model']!r}", field="model")
    is_stream = body.get("stream", False)
    return _build_request(
        organisation, service, head, data, body, is_stream, max_timeout_ms
    )


def parse_call(snapshot, organisation, head, service_name, data, max_timeout_ms):
    """Return the `CallerRequest` of a call of a plain service, or a failure."""
    service = snapshot.services_by_name.get(service_name)
    if service is None or service.kind != PLAIN_SERVICE:
        return Failure(NOT_FOUND, f"no service {service_name!r}", field="service")
    return _build_request(
        organisation, service, head, data, data, False, max_timeout_ms
    )


def _build_request(organisation, service, head, data, body, is_stream, max_timeout_ms):
    if service.name not in organisation.allowed_by_service:
        detail = f"{organisation.name} may not use {service.name}"
        field = "model" if service.kind == MODEL_SERVICE else "service"
        return Failure(FORBIDDEN, detail, field=field)
    purpose = _select_purpose(service, head.headers)
    if is_failure(purpose):
        return purpose
    timeout_ms = _parse_timeout_ms(purpose, head.headers, max_timeout_ms)
    if is_failure(timeout_ms):
        return timeout_ms
    key = _parse_token(head.headers, KEY_HEADER, MAX_KEY_CHARS)
    if is_failure(key):
        return key
    session = _parse_token(head.headers, SESSION_HEADER, MAX_SESSION_CHARS)
    if is_failure(session):
        return session
    is_repeatable = purpose.is_repeatable
    if service.kind == PLAIN_SERVICE:
        is_repeatable = is_repeatable and head.method in service.repeatable_methods
    return CallerRequest(
        request_id=head.request_id,
        organisation=organisation,
        service=service,
        purpose=purpose,
        arrived_ms=head.arrived_ms,
        deadline_ms=head.arrived_ms + timeout_ms,
        session=session,
        idempotency_key=key,
        body_digest=_digest_request(head, data) if key else "",
        is_repeatable=is_repeatable,
        is_stream=is_stream,
        method=head.method,
        path=head.path,
        content_type=head.headers.get("Content-Type", ""),
        body=body,
    )


def _digest_request(head, data):
    text = f"{head.method} {head.path}\n".encode()
    return hashlib.sha256(text + data).hexdigest()


def _select_purpose(service, headers):
    name = headers.get(PURPOSE_HEADER, service.default_purpose)
    purpose = service.by_purpose.get(name)
    if purpose is not None:
        return purpose
    detail = f"{name!r} is none of {sorted(service.by_purpose)}"
    return Failure(BAD_REQUEST, detail, field=PURPOSE_HEADER)


def _parse_timeout_ms(purpose, headers, max_timeout_ms):
    text = headers.get(TIMEOUT_HEADER)
    if text is None:
        return purpose.timeout_ms
    if text.isascii() and text.isdigit() and 0 < len(text) < 10:
        timeout_ms = int(text)
        if 0 < timeout_ms <= max_timeout_ms:
            return timeout_ms
    detail = f"expected milliseconds from 1 to {max_timeout_ms}"
    return Failure(BAD_REQUEST, detail, field=TIMEOUT_HEADER)


def _parse_token(headers, name, max_chars):
    text = headers.get(name, "")
    if not text or (len(text) <= max_chars and _PRINTABLE.fullmatch(text)):
        return text
    detail = f"expected at most {max_chars} printable ASCII characters"
    return Failure(BAD_REQUEST, detail, field=name)


def _check_completion(body):
    if not isinstance(body, dict):
        return _build_bad_request("body", "expected a JSON object")
    for name in RESERVED_NAMES:
        if name in body:
            return _build_bad_request(name, "the name is reserved")
    if not isinstance(body.get("model"), str):
        return _build_bad_request("model", "expected the name of a service")
    if not isinstance(body.get("stream", False), bool):
        return _build_bad_request("stream", "expected true or false")
    max_tokens = body.get("max_tokens")
    if max_tokens is not None and not _is_token_count(max_tokens):
        detail = f"expected a whole number from 1 to {MAX_COMPLETION_TOKENS}"
        return _build_bad_request("max_tokens", detail)
    return _check_messages(body.get("messages"))


def _is_token_count(value):
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    return is_integer and 0 < value <= MAX_COMPLETION_TOKENS


def _check_messages(messages):
    if not isinstance(messages, list) or not messages:
        return _build_bad_request(
            "messages", "expected a list with at least one message"
        )
    for index, message in enumerate(messages):
        field = f"messages.{index}"
        if not isinstance(message, dict):
            return _build_bad_request(field, "expected an object")
        if message.get("role") not in ROLES:
            return _build_bad_request(
                f"{field}.role", f"expected one of {', '.join(ROLES)}"
            )
        if not isinstance(message.get("content"), str):
            return _build_bad_request(f"{field}.content", "expected text")
    return None


def _build_bad_request(field, detail):
    return Failure(BAD_REQUEST, detail, field=field)

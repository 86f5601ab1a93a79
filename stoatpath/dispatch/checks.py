"""Checks that an answer is complete and belongs to the request."""

from stoatpath.dispatch.messages import Answer
from stoatpath.outcomes import BROKEN_ANSWER, FOREIGN_ANSWER, Failure, Outcome
from stoatpath.utils import decode_json

BODYLESS_STATUSES = (204, 304)


def check_completion(request_id, version, body):
    """Return the answer in the body of a buffered chat completion, or a failure."""
    data = decode_json(body)
    if not isinstance(data, dict):
        return broken_answer("the answer is not a JSON object")
    if data.get("id") != request_id or data.get("model") != version:
        return foreign_answer(data)
    try:
        choice = data["choices"][0]
        text = choice["message"].get("content") or ""
        tokens = data["usage"]["total_tokens"]
        is_finished = choice.get("finish_reason") is not None
    except (AttributeError, IndexError, KeyError, TypeError):
        return broken_answer("the answer has no choices or no usage")
    if not is_finished:
        return broken_answer("the answer has no finish reason")
    return Answer(200, "application/json", body, text, tokens)


def is_truncation_detectable(method, response):
    """Return whether truncation of a response body would be detected.

    Of several transfer codings the last one decides (RFC 9112, section 6.3).
    """
    if method == "HEAD" or response.status in BODYLESS_STATUSES:
        return True
    if response.content_length is not None:
        return True
    codings = ",".join(response.headers.getall("Transfer-Encoding", ())).split(",")
    return codings[-1].strip().lower() == "chunked"


def broken_answer(detail):
    """Return the failure for an incomplete or malformed answer."""
    return Failure(BROKEN_ANSWER, detail, Outcome.UNKNOWN)


def foreign_answer(data):
    """Return the failure for an answer not proven to be the request's own.

    Its request identifier is missing or another one, or its version is.
    """
    detail = f"the answer names {data.get('id')!r} and {data.get('model')!r}"
    return Failure(FOREIGN_ANSWER, detail, Outcome.UNKNOWN)

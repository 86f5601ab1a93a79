"""Checks that an answer is whole and belongs to the request that was sent."""

from stoatpath.dispatch.messages import Answer
from stoatpath.outcomes import BROKEN_ANSWER, FOREIGN_ANSWER, Failure, Outcome
from stoatpath.utils import decode_json


def check_completion(request_id, version, body):
    """Return the answer in the body of a buffered chat completion, or a failure."""
    data = decode_json(body)
    if not isinstance(data, dict):
        return broken("the answer is not a JSON object")
    if data.get("id") != request_id or data.get("model") != version:
        return foreign(data)
    choices = data.get("choices")
    usage = data.get("usage")
    if not choices or not isinstance(usage, dict):
        return broken("the answer has no choices or no usage")
    if choices[0].get("finish_reason") is None:
        return broken("the answer has no finish reason")
    text = choices[0].get("message", {}).get("content") or ""
    return Answer(200, "application/json", body, text, usage["total_tokens"])


def broken(detail):
    """Return the failure of an answer that is not whole."""
    return Failure(BROKEN_ANSWER, detail, Outcome.UNKNOWN)


def foreign(data):
    """Return the failure of an answer to another request or of another version."""
    detail = f"the answer names {data.get('id')!r} and {data.get('model')!r}"
    return Failure(FOREIGN_ANSWER, detail, Outcome.UNKNOWN)

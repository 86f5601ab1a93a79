"""Reads the answer of one attempt, sent from here or through another instance.

Once a caller has the head of a stream, only the end of the same stream may end it. Any
other answer to an attempt that resumes the stream is a failure of that attempt: the
stream is resumed again where that is allowed, or broken off.
"""

from stoatpath.backpressure.memory import counted_bytes
from stoatpath.callers.relay_messages import RelayedAnswer
from stoatpath.dispatch.event_relays import relay_events
from stoatpath.dispatch.exchanges import read_body
from stoatpath.outcomes import (
    BACKEND_ERROR,
    SUPERSEDED,
    AnsweredFailure,
    Failure,
    Outcome,
    RestRefused,
)


async def read_relayed_answer(
    attempt, head, content, deadlines, memory, on_answered=None
):
    """Return the `RelayedAnswer` of an attempt whose head was accepted, or a failure.

    `memory` holds the bytes of its body until the answer is let go. `on_answered` is
    called with the request when the first event, or all of the body, has arrived.
    """
    relay = attempt.relay
    if relay is not None and head.is_event_stream and head.is_success:
        return await relay_events(attempt, head, content, deadlines, on_answered)
    if relay is not None and relay.has_begun:
        return _not_the_rest(head)
    body = await read_body(content, deadlines, memory)
    answer = RelayedAnswer(head, body)
    memory.release_with(answer, counted_bytes(len(body)))
    if on_answered is not None:
        on_answered(attempt.request)
    if relay is not None and relay.has_begun:
        return _not_the_rest(head)
    if head.status >= 500:
        detail = f"status {head.status}"
        return AnsweredFailure(BACKEND_ERROR, detail, Outcome.UNKNOWN, answer)
    if relay is not None and not relay.claim(attempt):
        return Failure(SUPERSEDED, "another attempt answers", Outcome.UNKNOWN)
    return answer


def _not_the_rest(head):
    """Return the failure of an answer that can't continue a stream."""
    detail = f"status {head.status} in place of the rest of the stream"
    kind = RestRefused if 400 <= head.status < 500 else Failure
    return kind(BACKEND_ERROR, detail, Outcome.UNKNOWN)

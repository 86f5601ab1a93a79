"""Runs one exchange with a backend server and classifies its failure."""

import aiohttp

from stoatpath.backpressure.memory import HeldAnswer, counted_bytes
from stoatpath.dispatch.last_checks import NotSent
from stoatpath.outcomes import (
    BROKEN_ANSWER,
    CONNECT_FAILED,
    SILENT_CONNECTION,
    SUPERSEDED,
    TIMED_OUT,
    Failure,
    Outcome,
)

MAX_BODY_BYTES = 8 * 1024 * 1024
# At most what is reserved for an answer of which more is read.
CHUNK_BYTES = 32 * 1024


async def run_exchange(exchange, deadlines):
    """Return the result of a coroutine, or the failure that ended it.

    Only a connection that was never established proves that the request did not run.
    """
    try:
        async with deadlines:
            return await exchange
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        return Failure(CONNECT_FAILED, type(error).__name__)
    except NotSent as error:
        return error.failure
    except TimeoutError:
        return _timeout_failure(deadlines)
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return Failure(BROKEN_ANSWER, type(error).__name__, Outcome.UNKNOWN)


async def read_body(content, deadlines, memory=None):
    """Return the complete body; raise `ClientPayloadError` if it is too large.

    `memory`, a `MemoryAccount`, holds its `counted_bytes` then. While that is full,
    nothing more is read, so that the backend server is held up.
    """
    if memory is None:
        return await _read_chunks(content, deadlines, None)
    held = HeldAnswer(memory)
    try:
        body = await _read_chunks(content, deadlines, held)
    finally:
        held.end()
    memory.hold(counted_bytes(len(body)))
    return body


async def _read_chunks(content, deadlines, held):
    chunks = []
    size = 0
    while chunk := await content.read(CHUNK_BYTES):
        deadlines.record_bytes()
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            detail = f"a body beyond {MAX_BODY_BYTES} bytes"
            raise aiohttp.ClientPayloadError(detail)
        chunks.append(chunk)
        if held is not None:
            held.hold(size)
            if held.must_wait():
                # aiohttp has no public access to the connection of a body.
                wait = content._protocol.read_nothing_during(held.wait_for_room())
                await deadlines.write_to_caller(wait)
    return chunks[0] if len(chunks) == 1 else b"".join(chunks)


def _timeout_failure(deadlines):
    if deadlines.is_superseded:
        return Failure(SUPERSEDED, "another attempt answers", Outcome.UNKNOWN)
    if deadlines.is_silent:
        detail = "the connection went silent"
        return Failure(SILENT_CONNECTION, detail, Outcome.UNKNOWN)
    return Failure(TIMED_OUT, "no whole answer in time", Outcome.UNKNOWN)

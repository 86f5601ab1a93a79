"""Runs one exchange with a backend server and classifies its failure."""

import aiohttp

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


async def read_body(content, deadlines):
    """Return the complete body; raise `ClientPayloadError` if it is too large."""
    chunks = []
    size = 0
    while chunk := await content.readany():
        deadlines.record_bytes()
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            raise aiohttp.ClientPayloadError(f"a body beyond {MAX_BODY_BYTES} bytes")
        chunks.append(chunk)
    return b"".join(chunks)


def _timeout_failure(deadlines):
    if deadlines.is_superseded:
        return Failure(SUPERSEDED, "another attempt answers", Outcome.UNKNOWN)
    if deadlines.is_silent:
        detail = "the connection went silent"
        return Failure(SILENT_CONNECTION, detail, Outcome.UNKNOWN)
    return Failure(TIMED_OUT, "no whole answer in time", Outcome.UNKNOWN)

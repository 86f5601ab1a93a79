"""Small helpers shared by all packages."""

import asyncio
import logging
import secrets

import aiohttp
import msgspec
from xxhash import xxh3_64_intdigest

logger = logging.getLogger(__name__)

# Longer than a cancelled task needs to clean up.
CANCEL_RETRY_S = 0.5
_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder()


def encode_json(value):
    """Return compact JSON bytes."""
    return _encoder.encode(value)


def decode_json(data):
    """Return the value of JSON bytes, or None when they are not JSON."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None


def new_id(prefix):
    """Return a new identifier with 96 random bits."""
    return f"{prefix}-{secrets.token_hex(12)}"


def rendezvous_rank(key, names):
    """Return the names, highest rendezvous hash for a key first."""
    return sorted(names, key=lambda name: _rendezvous_order(key, name), reverse=True)


def rendezvous_first(key, names):
    """Return the name with the highest rendezvous hash for a key."""
    return max(names, key=lambda name: _rendezvous_order(key, name))


def _rendezvous_order(key, name):
    return xxh3_64_intdigest(f"{name}\0{key}".encode()), name


async def cancel_and_wait(tasks):
    """Cancel tasks and return once all of them have ended.

    When a cancellation coincides with a timeout of aiohttp, aiohttp raises the timeout
    instead and the task continues; so tasks that still run are cancelled again.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        ended, pending = await asyncio.wait(pending, timeout=CANCEL_RETRY_S)
        for task in ended:
            if not task.cancelled() and task.exception() is not None:
                why = repr(task.exception())
                logger.warning(
                    "task.failed", extra={"task": task.get_name(), "why": why}
                )


async def read_at_most(content, max_bytes):
    """Return the rest of an `aiohttp.StreamReader`, within the timeouts of its session.

    Raise `ClientPayloadError` after more than `max_bytes`.
    """
    return await read_until_silence(content, max_bytes, None)


async def read_until_silence(content, max_bytes, silence_ms, on_progress=None):
    """Return the rest of an `aiohttp.StreamReader`.

    Raise TimeoutError after `silence_ms` without a byte, unless it is None, and
    `ClientPayloadError` after more than `max_bytes`. `on_progress` is called after each
    part.
    """
    silence_s = None if silence_ms is None else silence_ms / 1000
    parts = []
    size = 0
    while not content.at_eof():
        async with asyncio.timeout(silence_s):
            parts.append(await content.readany())
        size += len(parts[-1])
        if size > max_bytes:
            raise aiohttp.ClientPayloadError(f"a body beyond {max_bytes} bytes")
        if on_progress is not None:
            on_progress()
    return b"".join(parts)

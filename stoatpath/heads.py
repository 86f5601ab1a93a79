"""Writes the heads of HTTP messages with the bytes that they came with.

aiohttp decodes heads as UTF-8 and represents other bytes by surrogates (PEP 383), but
its writer leaves these out.
"""

from aiohttp import http_writer

_serialize = http_writer._serialize_headers


def use_exact_heads():
    """Let the process write all heads with `serialize_head`.

    aiohttp has no public option; it builds the writers of requests itself.
    """
    http_writer._serialize_headers = serialize_head


def serialize_head(start_line, headers):
    """Return the bytes of a head; raise ValueError for control characters in it."""
    head = _serialize(start_line, headers)
    if all(value.isascii() or _is_utf8(value) for value in headers.values()):
        return head
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode(errors="surrogateescape")


def _is_utf8(text):
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True

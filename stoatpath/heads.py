"""Writes the heads of HTTP messages with the bytes that they came with.

aiohttp decodes heads as UTF-8 and represents other bytes by surrogates (PEP 383), but
its writer leaves these out.
"""

from aiohttp import http_writer

CONTINUE_EXPECTATION = "100-continue"
_serialize = http_writer._serialize_headers


def use_exact_heads():
    """Let the process write all heads with `serialize_head`.

    aiohttp has no public option; it builds the writers of requests itself.
    """
    http_writer._serialize_headers = serialize_head


def serialize_head(start_line, headers):
    """Return the bytes of a head; raise ValueError for control characters in it."""
    head = _serialize(start_line, headers)
    if all(is_utf8(value) for value in headers.values()):
        return head
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode(errors="surrogateescape")


def expects_continue(headers):
    """Return whether a caller waits for an interim answer before it sends its body."""
    expectations = ",".join(headers.getall("Expect", ())).lower().split(",")
    return CONTINUE_EXPECTATION in [each.strip() for each in expectations]


def is_utf8(value):
    """Return whether the bytes of a header value are UTF-8."""
    if value.isascii():
        return True
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def printable_text(value):
    """Return a header value with bytes that are not UTF-8 written as `\\xNN`."""
    if is_utf8(value):
        return value
    return value.encode(errors="surrogateescape").decode(errors="backslashreplace")

"""Reads fields of documents that another writer may have filled with anything.

A field of another type, or outside its range, raises ValueError. A boolean is no
number, and a text no list.
"""

import ipaddress
import math
import re

REQUIRED = object()
MAX_TEXT_CHARS = 2_000
# Integers up to this are exact in every JSON decoder.
MAX_INTEGER = 2**53
MAX_LOGGED_CHARS = 40
# No header may have these (RFC 9110, section 5.5).
CONTROL_CHARACTERS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


def read_text(data, name, default=REQUIRED):
    """Return a text that is not empty; the default if the field is missing or null."""
    value = _read(data, name, default)
    if value is default:
        return default
    return check_text(value, name)


def check_text(value, name):
    """Return a value if it is a text of 1 to `MAX_TEXT_CHARS` characters."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_CHARS:
        raise ValueError(f"{name}: expected a text, not {describe(value)}")
    return value


def check_header_text(value, name):
    """Return a value if it is such a text that can be sent as a header."""
    text = check_text(value, name)
    if CONTROL_CHARACTERS.search(text):
        raise ValueError(f"{name}: expected no control characters in {describe(text)}")
    return text


def read_integer(data, name, lowest, highest=MAX_INTEGER, default=REQUIRED):
    """Return a whole number within a range; the default if missing or null."""
    value = _read(data, name, default)
    if value is default:
        return default
    if type(value) is not int or not lowest <= value <= highest:
        raise ValueError(
            f"{name}: expected an integer from {lowest} to {highest}, "
            f"not {describe(value)}"
        )
    return value


def read_number(data, name, lowest, highest=MAX_INTEGER, default=REQUIRED):
    """Return a finite number within a range; the default if missing or null."""
    value = _read(data, name, default)
    if value is default:
        return default
    if type(value) not in (int, float) or not lowest <= value <= highest:
        # NaN is in no range.
        raise ValueError(
            f"{name}: expected a number from {lowest} to {highest}, "
            f"not {describe(value)}"
        )
    return value


def read_flag(data, name, default=REQUIRED):
    """Return true or false; the default if the field is missing or null."""
    value = _read(data, name, default)
    if value is default:
        return default
    if type(value) is not bool:
        raise ValueError(f"{name}: expected true or false, not {describe(value)}")
    return value


def read_list(data, name, default=REQUIRED):
    """Return a list; the default if the field is missing or null."""
    return _read_of_type(data, name, list, "a list", default)


def read_table(data, name, default=REQUIRED):
    """Return a table; the default if the field is missing or null."""
    return _read_of_type(data, name, dict, "a table", default)


def read_address(data, name):
    """Return an address as `IP:PORT`, of a host that a connection can be opened to.

    Host names are refused: looking one up would block, and could lead anywhere.
    """
    text = read_text(data, name)
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        raise ValueError(f"{name}: expected IP:PORT, not {describe(text)}")
    address = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    if address.is_unspecified or address.is_multicast or not 0 < int(port) < 65_536:
        raise ValueError(f"{name}: expected IP:PORT, not {describe(text)}")
    return text


def describe(value):
    """Return a short text for a log; a nested value may be too deep to be written."""
    if isinstance(value, (dict, list)):
        return f"a {type(value).__name__} of {len(value)}"
    if isinstance(value, int) and not math.isfinite(_as_float(value)):
        return "an integer of over 300 digits"
    return repr(value)[:MAX_LOGGED_CHARS]


def _read_of_type(data, name, kind, expected, default):
    value = _read(data, name, default)
    if value is default:
        return default
    if not isinstance(value, kind):
        raise ValueError(f"{name}: expected {expected}, not {describe(value)}")
    return value


def _read(data, name, default):
    value = data.get(name)
    if value is not None:
        return value
    if default is REQUIRED:
        raise ValueError(f"{name}: it is missing")
    return default


def _as_float(value):
    try:
        return float(value)
    except OverflowError:
        return math.inf

"""Signed session tokens that any instance can verify."""

import base64
import hashlib
import hmac

from stoatpath.sessions.pins import SessionPin
from stoatpath.utils import decode_json, encode_json

TOKEN_PREFIX = "st1."
SIGNATURE_BYTES = 16
PAYLOAD_FIELD_COUNT = 1 + len(SessionPin.__slots__)


class TokenSigner:
    """Signs pins with the newest key and verifies them with any key.

    `keys_by_id` is ordered from the oldest key to the newest.
    """

    __slots__ = ("_keys_by_id", "_newest_key_id")

    def __init__(self, keys_by_id):
        self._keys_by_id = {key_id: key.encode() for key_id, key in keys_by_id.items()}
        self._newest_key_id = list(keys_by_id)[-1]

    def sign(self, pin):
        """Return a signed token that contains a pin."""
        payload = _encode(encode_json([self._newest_key_id, *pin.to_json()]))
        return (
            f"{TOKEN_PREFIX}{payload}.{self._signature(self._newest_key_id, payload)}"
        )

    def verify(self, token):
        """Return the pin in a token, or None when no known key signed it."""
        payload, _, signature = token[len(TOKEN_PREFIX) :].partition(".")
        fields = decode_json(_decode(payload))
        if not isinstance(fields, list) or len(fields) != PAYLOAD_FIELD_COUNT:
            return None
        key_id = fields[0]
        if not isinstance(key_id, str) or key_id not in self._keys_by_id:
            return None
        if not hmac.compare_digest(
            self._signature(key_id, payload).encode(), signature.encode()
        ):
            return None
        return SessionPin.from_json(fields[1:])

    def _signature(self, key_id, payload):
        digest = hmac.digest(self._keys_by_id[key_id], payload.encode(), hashlib.sha256)
        return _encode(digest[:SIGNATURE_BYTES])


def is_token(text):
    """Return whether a session header holds a token and not an identifier."""
    return text.startswith(TOKEN_PREFIX)


def _encode(data):
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


def _decode(text):
    try:
        return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except ValueError:
        return b""

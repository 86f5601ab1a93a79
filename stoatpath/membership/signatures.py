"""Signatures of messages between members, with protection against replay."""

import hashlib
import hmac
import secrets

NONCE_HEADER = "Stoatpath-Peer-Nonce"
SIGNATURE_HEADER = "Stoatpath-Peer-Signature"
NONCE_LIFETIME_MS = 60_000
MAX_NONCES = 20_000
MAX_TIMESTAMP_DIGITS = 15


class PeerSigner:
    """Signs messages with the last of the shared keys; verifies with any of them."""

    __slots__ = ("_keys_by_id",)

    def __init__(self, keys_by_id):
        self._keys_by_id = {key_id: key.encode() for key_id, key in keys_by_id.items()}

    def sign(self, topic, payload, nonce=""):
        """Return the signature header of a message."""
        if not self._keys_by_id:
            return ""
        key_id = list(self._keys_by_id)[-1]
        return f"{key_id}:{self._digest(key_id, topic, payload, nonce)}"

    def sign_answer(self, topic, payload, nonce, request_signature):
        """Return the signature header of an answer, signed with the request's key.

        A requester that does not have the newest key yet can thus verify it.
        """
        key_id = request_signature.partition(":")[0]
        if key_id not in self._keys_by_id:
            return ""
        response_topic = answer_topic(topic)
        return f"{key_id}:{self._digest(key_id, response_topic, payload, nonce)}"

    def verify(self, topic, payload, header, nonce=""):
        """Return whether a message was signed with one of the shared keys.

        Without shared keys, every message is accepted.
        """
        if not self._keys_by_id:
            return True
        key_id, _, digest = header.partition(":")
        if key_id not in self._keys_by_id:
            return False
        expected = self._digest(key_id, topic, payload, nonce)
        return hmac.compare_digest(expected.encode(), _header_bytes(digest))

    def _digest(self, key_id, topic, payload, nonce):
        message = _header_bytes(f"{topic}\n{nonce}\n") + payload
        return hmac.new(self._keys_by_id[key_id], message, hashlib.sha256).hexdigest()


class NonceFilter:
    """Accepts each nonce once, and only within `NONCE_LIFETIME_MS` of its timestamp.

    Beyond `MAX_NONCES`, the oldest are forgotten, even if they are still valid.
    """

    __slots__ = ("_seen",)

    def __init__(self):
        self._seen = {}

    def accept(self, nonce, wall_ms):
        """Return whether a nonce is valid and unused, and record it as used."""
        timestamp, _, token = nonce.partition("-")
        if not (timestamp.isascii() and timestamp.isdigit() and token):
            return False
        if len(timestamp) > MAX_TIMESTAMP_DIGITS:
            return False
        if abs(wall_ms - int(timestamp)) > NONCE_LIFETIME_MS or nonce in self._seen:
            return False
        self._seen[nonce] = int(timestamp)
        self._drop_old(wall_ms)
        return True

    def _drop_old(self, wall_ms):
        while self._seen:
            oldest = next(iter(self._seen))
            is_old = wall_ms - self._seen[oldest] > 2 * NONCE_LIFETIME_MS
            if not is_old and len(self._seen) <= MAX_NONCES:
                return
            del self._seen[oldest]


def new_nonce(wall_ms):
    """Return a random nonce that starts with its creation time."""
    return f"{wall_ms}-{secrets.token_hex(8)}"


def answer_topic(topic):
    """Return the topic name that answers are signed with.

    It differs from the topic of requests, so that neither can be replayed as the other.
    """
    return f"{topic}/answer"


def _header_bytes(value):
    """Return the bytes of a header value; surrogates are those that aren't UTF-8."""
    return value.encode(errors="surrogateescape")

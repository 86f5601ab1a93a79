"""Authenticates callers by the keys of their organisations."""

import hashlib
import hmac

from stoatpath.outcomes import UNAUTHENTICATED, Failure

SCHEME = "Bearer "


def hash_secret(salt, secret):
    """Return the hex digest that the configuration stores for a caller key."""
    return hashlib.sha256(f"{salt}:{secret}".encode()).hexdigest()


def authenticate(snapshot, authorization):
    """Return the organisation whose key an `Authorization` header holds, or a failure.

    Keys have the form `KEY_ID.SECRET`.
    """
    if not authorization.startswith(SCHEME):
        return _refuse("a bearer key is needed")
    key_id, _, secret = authorization[len(SCHEME) :].strip().partition(".")
    organisation = snapshot.organisations_by_key_id.get(key_id)
    if organisation is None:
        return _refuse("the key is not known")
    key = organisation.keys_by_id[key_id]
    if not hmac.compare_digest(hash_secret(key.salt, secret), key.digest):
        return _refuse("the key is not known")
    return organisation


def _refuse(detail):
    return Failure(UNAUTHENTICATED, detail, field="Authorization")

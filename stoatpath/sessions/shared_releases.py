"""Sessions that must stay on the old release, as told among instances.

A session may move to an instance that did not serve it before. During a roll-out that
instance would take it for a new session, which may begin on the new release.
"""

from xxhash import xxh3_64_hexdigest

MAX_SESSIONS_PER_ORDER = 2_000
HASH_CHARS = 10


class SharedSessions:
    """Hashes of sessions, by the version of the roll-out order that they belong to.

    Sessions are only added; all those of a roll-out are dropped when it ends.
    """

    __slots__ = ("_hashes_by_order", "_digest")

    def __init__(self):
        self._hashes_by_order = {}
        self._digest = ""

    def add(self, order_version, session):
        """Record that a session stays on the old release in a roll-out."""
        self._add_hashes(order_version, [_hash(session)])

    def contains(self, order_version, session):
        """Return whether a session is known to stay on the old release."""
        return _hash(session) in self._hashes_by_order.get(order_version, ())

    def set_open_orders(self, order_versions):
        """Set which roll-outs are open, and drop the sessions of all others."""
        self._hashes_by_order = {
            version: self._hashes_by_order.get(version, set())
            for version in order_versions
        }
        self._digest = None

    def merge(self, data):
        """Add the sessions in the wire form; raise ValueError if it is malformed.

        Those of roll-outs that are not open here are ignored.
        """
        try:
            for version, hashes in data.items():
                self._add_hashes(int(version), map(str, hashes))
        except (AttributeError, TypeError) as error:
            raise ValueError(f"malformed sessions: {error!r}") from error

    def digest(self):
        """Return a digest of all entries, "" if there is none."""
        if self._digest is None:
            data = sorted(self.to_json().items())
            self._digest = xxh3_64_hexdigest(repr(data).encode()) if data else ""
        return self._digest

    def to_json(self):
        """Return the wire form."""
        return {
            str(version): sorted(hashes)
            for version, hashes in self._hashes_by_order.items()
            if hashes
        }

    def _add_hashes(self, order_version, hashes):
        known = self._hashes_by_order.get(order_version)
        if known is None:
            return
        before = len(known)
        for each in hashes:
            if len(known) >= MAX_SESSIONS_PER_ORDER:
                break
            known.add(each)
        if len(known) != before:
            self._digest = None


def _hash(session):
    return xxh3_64_hexdigest(session.encode())[:HASH_CHARS]

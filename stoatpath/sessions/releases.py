"""Which release each session ran on last, while it goes on."""

from collections import OrderedDict

MAX_SESSIONS = 20_000
# Longest answer that a session may be waiting for, on top of its pause.
MAX_ANSWER_MS = 30_000.0


class SessionReleases:
    """Releases by service and session; those not seen for a while are dropped.

    `session_ms` is the longest pause between requests that belong together.
    """

    __slots__ = ("_by_session", "_kept_ms")

    def __init__(self, session_ms):
        self._by_session = OrderedDict()
        self._kept_ms = session_ms + MAX_ANSWER_MS

    def get_release(self, service, session, now_ms):
        """Return the release that a session ran on last, or None."""
        found = self._by_session.get((service, session))
        if found is None or now_ms - found[1] > self._kept_ms:
            return None
        return found[0]

    def record_release(self, service, session, release, now_ms):
        """Note on which release a session runs."""
        key = (service, session)
        self._by_session[key] = (release, now_ms)
        self._by_session.move_to_end(key)
        while len(self._by_session) > MAX_SESSIONS:
            self._by_session.popitem(last=False)

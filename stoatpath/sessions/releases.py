"""The release of the backend servers that each active session ran on last."""

from collections import OrderedDict

MAX_SESSIONS = 20_000
# Longest time that a session may wait for an answer, added to its longest pause.
MAX_ANSWER_WAIT_MS = 30_000.0


class SessionReleases:
    """Releases by service and session, with expiry.

    `max_pause_ms` is the longest pause between two requests of one session.
    """

    __slots__ = ("_entries_by_session", "_retention_ms")

    def __init__(self, max_pause_ms):
        self._entries_by_session = OrderedDict()
        self._retention_ms = max_pause_ms + MAX_ANSWER_WAIT_MS

    def get_release(self, service, session, now_ms):
        """Return the release that a session ran on last, or None."""
        entry = self._entries_by_session.get((service, session))
        if entry is None or now_ms - entry[1] > self._retention_ms:
            return None
        return entry[0]

    def sessions_off_release(self, service, release, now_ms):
        """Return the sessions of a service that ran on another release last."""
        return [
            session
            for (name, session), (last, used_ms) in self._entries_by_session.items()
            if name == service
            and last != release
            and now_ms - used_ms <= self._retention_ms
        ]

    def record_release(self, service, session, release, now_ms):
        """Record the release that a session runs on."""
        key = (service, session)
        self._entries_by_session[key] = (release, now_ms)
        self._entries_by_session.move_to_end(key)
        while len(self._entries_by_session) > MAX_SESSIONS:
            self._entries_by_session.popitem(last=False)

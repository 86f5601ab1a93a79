"""The directory of backend servers, from their own entries in the platform's store."""

import logging
from collections import OrderedDict

from stoatpath.membership.backends import SERVICE, BackendServer
from stoatpath.outcomes import is_failure

logger = logging.getLogger(__name__)

# The platform guarantees that running backend servers whose entries expired in a store
# outage are listed again within 2 s of its end; the grace is a little shorter, so that
# a missing one is removed within these 2 s.
LAPSE_GRACE_MS = 1_900.0
MAX_LEAVING_ENTRIES = 10_000
MAX_REMOVED_ENTRIES = 1_000
MAX_LOGGED_CHARS = 80
# What an entry changes in the directory: it is of the first table, of a name that was
# not known, of a new process of a known name, or of the same process as before.
FIRST_TABLE = "first table"
ADDED = "added"
RESTARTED = "restarted"
RENEWED = "renewed"
# Reasons in logs.
ANSWERED = "it says so in an answer"
LISTED = "its entry says so"


class BackendDirectory:
    """Backend servers by name, including those that are leaving.

    `decode` converts the key and value of a row to a `ListedBackend` or a failure.
    Each of `entry_observers` is called with every entry, what it changes and the time.
    `unreadable_by_name` has the reasons why entries were left out.
    """

    __slots__ = (
        "by_name",
        "entry_observers",
        "unreadable_by_name",
        "_has_table",
        "_decode",
        "_reachability",
        "_lapsed_until_ms_by_name",
        "_leaving_entries_by_name",
        "_removed_entries_by_name",
    )

    def __init__(self, decode, reachability):
        self.by_name = {}
        self.entry_observers = []
        self.unreadable_by_name = {}
        self._has_table = False
        self._decode = decode
        self._reachability = reachability
        self._lapsed_until_ms_by_name = {}
        self._leaving_entries_by_name = OrderedDict()
        self._removed_entries_by_name = OrderedDict()

    def apply(self, changes, now_ms):
        """Apply changed rows of the table."""
        for change in changes:
            if change.row is None:
                self.unreadable_by_name.pop(change.key, None)
                self._handle_removal(change.key, now_ms)
                continue
            entry = self._decode(change.key, change.row.value)
            if is_failure(entry):
                self._record_unreadable(change.key, entry.detail)
                self._drop(change.key, "its entry can't be decoded")
                continue
            self.unreadable_by_name.pop(change.key, None)
            self._add_or_update(entry, now_ms)
        self._has_table = True

    def expire_lapsed(self, now_ms):
        """Remove backend servers whose lapsed entries were not renewed in time."""
        for name, grace_ends_ms in list(self._lapsed_until_ms_by_name.items()):
            if now_ms >= grace_ends_ms:
                self._drop(name, "its entry lapsed and was not renewed")

    def of_service(self, service):
        """Return the backend servers of a service that accept new work."""
        return [
            backend
            for backend in self.by_name.values()
            if backend.service == service and not backend.is_leaving
        ]

    def record_leaving(self, name):
        """Record that a backend server says in an answer that it leaves.

        Its row may tell so later, or lapse and return; the process keeps leaving. So
        does one whose row was removed while its answer was on the way.
        """
        backend = self.by_name.get(name)
        entry = self._removed_entries_by_name.get(name)
        if backend is not None:
            entry = backend.entry
        if entry is None or self._said_leaving(entry):
            return
        _remember(self._leaving_entries_by_name, entry, MAX_LEAVING_ENTRIES)
        if backend is None or not backend.is_leaving:
            logger.info("backends.leaving", extra={"backend": name, "why": ANSWERED})
        if backend is not None:
            backend.is_leaving = True

    def remove_reassigned(self, name):
        """Remove a backend server whose address now belongs to another one."""
        self._drop(name, "its address belongs to another backend server")

    def _record_unreadable(self, name, why):
        """Log an entry once, not each time that its writer renews it."""
        if self.unreadable_by_name.get(name) != why:
            extra = {"backend": name[:MAX_LOGGED_CHARS], "why": why}
            logger.warning("backends.unreadable", extra=extra)
        self.unreadable_by_name[name] = why

    def _add_or_update(self, entry, now_ms):
        self._lapsed_until_ms_by_name.pop(entry.name, None)
        change = self._change_by(entry)
        known = self.by_name.get(entry.name)
        if known is None or not known.entry.is_same_process(entry):
            known = DirectoryBackend(entry, now_ms)
            self.by_name[entry.name] = known
            logger.info(
                "backends.listed",
                extra={
                    "backend": entry.name,
                    "service": entry.service,
                    "release": entry.release,
                    "address": entry.address,
                },
            )
        known.entry = entry
        known.slots = entry.slots
        if entry.is_leaving and not known.is_leaving:
            logger.info(
                "backends.leaving", extra={"backend": entry.name, "why": LISTED}
            )
        # A process that leaves goes on to leave, also if the store has lost its entry.
        known.is_leaving = (
            known.is_leaving or entry.is_leaving or self._said_leaving(entry)
        )
        for observer in self.entry_observers:
            observer(entry, change, now_ms)

    def _change_by(self, entry):
        """Return what an entry is about to change.

        The entry of a known process may have lapsed and returned. Without `born`, it
        may as well be that of a new process.
        """
        if not self._has_table:
            return FIRST_TABLE
        known = self.by_name.get(entry.name)
        if known is not None:
            return RENEWED if known.entry.is_same_process(entry) else RESTARTED
        removed = self._removed_entries_by_name.get(entry.name)
        if removed is None or (entry.born is None and removed.is_same_process(entry)):
            return ADDED
        return RENEWED if removed.is_same_process(entry) else RESTARTED

    def _said_leaving(self, entry):
        """Return whether the process of an entry said that it leaves."""
        leaving_entry = self._leaving_entries_by_name.get(entry.name)
        return leaving_entry is not None and leaving_entry.is_same_process(entry)

    def _handle_removal(self, name, now_ms):
        """Remove a backend server whose row was deleted.

        Shortly after a store outage the row may have expired while the process kept
        running: such a server stays listed until the grace period ends.
        """
        grace_ends_ms = self._reachability.outage_end_ms + LAPSE_GRACE_MS
        backend = self.by_name.get(name)
        if backend is None:
            return
        if now_ms < grace_ends_ms and not backend.is_leaving:
            self._lapsed_until_ms_by_name[name] = grace_ends_ms
            logger.info("backends.lapsed", extra={"backend": name})
            return
        self._drop(name, "its entry was removed")

    def _drop(self, name, reason):
        self._lapsed_until_ms_by_name.pop(name, None)
        backend = self.by_name.pop(name, None)
        if backend is None:
            return
        backend.is_leaving = True
        _remember(self._removed_entries_by_name, backend.entry, MAX_REMOVED_ENTRIES)
        logger.info("backends.gone", extra={"backend": name, "why": reason})


class DirectoryBackend(BackendServer):
    """A backend server with its entry; `release` is its software version.

    `pending_prompt_work` is the prompt work that this instance has sent there and that
    has not returned a first byte yet, in tokens of the smallest model.
    """

    __slots__ = ("entry", "release", "pending_prompt_work")

    def __init__(self, entry, now_ms):
        super().__init__(
            entry.name, SERVICE, entry.service, entry.address, entry.zone, now_ms
        )
        self.entry = entry
        self.release = entry.release
        self.slots = entry.slots
        self.pending_prompt_work = 0.0


def _remember(entries_by_name, entry, most):
    """Add an entry; drop the oldest beyond `most`."""
    entries_by_name[entry.name] = entry
    entries_by_name.move_to_end(entry.name)
    if len(entries_by_name) > most:
        entries_by_name.popitem(last=False)

"""How many permits an issuer may grant for a cold backend server: pure rules.

Issuers count grants in a sliding window, so that the bound of a second holds exactly.
The window is longer than the second by the time in which a permit may still be used
and the request may travel.
"""

from collections import deque

from stoatpath.backpressure.permits import MAX_WAIT_MS, PermitGrant
from stoatpath.membership.messages import DEAD, LEAVING, LIVE, SUSPECT
from stoatpath.utils import rendezvous_first

# Permits for cold backend servers expire this long after they were requested. The
# connection must be open by then.
COLD_LIFETIME_MS = 100.0
# Time that a request may take from the open connection to the backend server.
TRAVEL_MS = 20.0
WINDOW_MS = 1_000.0 + COLD_LIFETIME_MS + TRAVEL_MS
# Part of the bound that is kept for an issuer with another view, which is in doubt.
DOUBTFUL_SHARE = 0.1
# Instances of a fleet know each other by this time after their start.
SETTLE_MS = 8_000.0
MAX_FLEET = 544
FAILURE_DOUBT_MS = 30_000.0
NO_QUOTA_WAIT_MS = 1_000.0
# Instances that were refused a permit count as waiting for this time, and return twice
# as often as there are permits, as some of them have no request by then.
WAITING_MS = 5_000.0
RETURN_FACTOR = 4.0


def permit_key(backend):
    """Return the key by which the issuer of a backend server is selected."""
    return f"permits/{backend}"


class ViewJudge:
    """Judges how much of a bound this instance may issue, by its view of the others.

    `has_seeds` tells whether the settings name other instances.
    """

    __slots__ = ("_members", "_has_seeds", "_settled_at_ms", "_names", "_earlier")

    def __init__(self, members, has_seeds, now_ms):
        self._members = members
        self._has_seeds = has_seeds
        self._settled_at_ms = now_ms + SETTLE_MS
        self._names = []
        # Pairs of names in force earlier and when they ceased to be.
        self._earlier = deque([([], now_ms)])

    def observe_names(self, names, now_ms):
        """Record the instances among which the issuers are selected."""
        if names == self._names:
            return
        self._earlier.append((self._names, now_ms))
        self._names = names
        while self._earlier and self._earlier[0][1] < now_ms - WINDOW_MS:
            self._earlier.popleft()

    def open_from_ms(self, backend, now_ms):
        """Return from when this instance may issue for a backend server.

        Whoever issued before the view changed may have granted all permits of a window.
        """
        local_name = self._members.local.name
        open_from_ms = float("-inf")
        for names, ended_ms in self._earlier:
            if now_ms < ended_ms + WINDOW_MS and (
                not names or rendezvous_first(permit_key(backend), names) != local_name
            ):
                open_from_ms = max(open_from_ms, ended_ms + WINDOW_MS)
        return open_from_ms

    def quota(self, bound, excluded, now_ms):
        """Return the permits to grant in any window, of a bound on one second.

        `excluded` holds the names of instances that did not answer. An instance
        without doubt leaves `DOUBTFUL_SHARE` of the bound to one with another view.
        With doubt it has the part of this share that it still reaches, in whole
        requests: parts of separate groups of instances add up to no more.
        """
        bound = int(bound)
        doubtful = int(DOUBTFUL_SHARE * bound)
        known = self._known_members()
        if not known and not self._members.by_name:
            # It may be one of many that started at the same time.
            share = 1 / MAX_FLEET if self._has_seeds else 1.0
            return int(share * bound)
        if now_ms < self._settled_at_ms:
            return 0
        lost = {
            each.name
            for each in known
            if each.state == SUSPECT
            or each.name in excluded
            or (
                each.state == DEAD and now_ms < each.state_changed_ms + FAILURE_DOUBT_MS
            )
        }
        reached = 1 + sum(
            each.state == LIVE and each.name not in lost for each in known
        )
        known_count = 1 + len(known)
        if not lost and 2 * reached > known_count:
            return bound - doubtful
        return doubtful * reached // known_count

    def _known_members(self):
        """Return the other members that may issue, now or in another view."""
        return [
            each
            for each in self._members.by_name.values()
            if each.role == self._members.local.role
            and each.state != LEAVING
            and not each.has_ended
        ]


class _Window:
    """The times of the grants for one backend server, and who waits until when."""

    __slots__ = ("grants_ms", "waits_until_ms_by_instance")

    def __init__(self):
        self.grants_ms = deque()
        self.waits_until_ms_by_instance = {}


class WindowIssuer:
    """Counts permits for each backend server: at most a quota in any window."""

    __slots__ = ("_windows_by_backend",)

    def __init__(self):
        self._windows_by_backend = {}

    def available(self, backend, quota, open_from_ms, now_ms):
        """Return how many permits may be granted now."""
        if now_ms < open_from_ms:
            return 0
        grants_ms = self._window(backend).grants_ms
        while grants_ms and grants_ms[0] <= now_ms - WINDOW_MS:
            grants_ms.popleft()
        return max(0, quota - len(grants_ms))

    def record(self, backend, instance, count, now_ms):
        """Record permits granted to an instance."""
        window = self._window(backend)
        window.grants_ms.extend([now_ms] * count)
        window.waits_until_ms_by_instance.pop(instance, None)

    def refuse(self, backend, instance, quota, open_from_ms, now_ms):
        """Return a `PermitGrant` of none, with the time to ask again.

        `quota` is that of the time when the instance returns.
        """
        window = self._window(backend)
        waits = window.waits_until_ms_by_instance
        waits[instance] = now_ms + WAITING_MS
        for name in [name for name in waits if waits[name] <= now_ms]:
            del waits[name]
        if quota <= 0:
            return PermitGrant(0, now_ms + NO_QUOTA_WAIT_MS)
        free_ms = max(now_ms, open_from_ms)
        if len(window.grants_ms) >= quota:
            free_ms = max(free_ms, window.grants_ms[-quota] + WINDOW_MS)
        spread_ms = len(waits) * WINDOW_MS / quota / RETURN_FACTOR
        retry_at_ms = max(free_ms, now_ms + spread_ms)
        return PermitGrant(0, min(now_ms + MAX_WAIT_MS, retry_at_ms))

    def retain_backends(self, names):
        """Drop the windows of all backend servers but the named ones."""
        windows = self._windows_by_backend
        for name in [name for name in windows if name not in names]:
            del windows[name]

    def _window(self, backend):
        return self._windows_by_backend.setdefault(backend, _Window())

"""What no request to a service may have or be, and until when."""

import logging
import weakref

from stoatpath.outcomes import QUARANTINED, Failure

logger = logging.getLogger(__name__)

MAX_QUARANTINES = 1_000
# Pause after a request that shows whether a quarantine that has ended was lifted too
# early: an attempt, and the decision of the keepers, take less.
TRIAL_PAUSE_MS = 2_000.0
# Time for which a decision is remembered after its end.
REMEMBERED_MS = 600_000.0


class _Trial:
    """A request that was let through after a quarantine; others wait until a time.

    Others may have its identifier, which callers choose.
    """

    __slots__ = ("_request", "until_ms")

    def __init__(self, request, until_ms):
        self._request = weakref.ref(request)
        self.until_ms = until_ms

    def is_of(self, request):
        """Return whether this is the request that was let through."""
        return self._request() is request


class QuarantineTable:
    """The newest decision about each part or whole request, shared by all instances.

    `refused` counts the requests that were not sent because of one.
    """

    __slots__ = ("refused", "_by_key", "_trials_by_key", "_clock")

    def __init__(self, clock):
        self.refused = 0
        self._by_key = {}
        self._trials_by_key = {}
        self._clock = clock

    def check(self, request):
        """Return the failure of a request that must not be sent, or None."""
        if not self._by_key:
            return None
        service = request.service.name
        names = request.quarantine_names
        until_ms = max(self.until_ms(service, name) for name in names)
        if until_ms <= self._clock.now_ms():
            until_ms = max(self._trial_until_ms(request, name) for name in names)
        if until_ms <= self._clock.now_ms():
            return None
        self.refused += 1
        detail = "backend servers end on it, or on a part of its prompt"
        return Failure(QUARANTINED, detail, retry_at_ms=until_ms)

    def check_send(self, request, version):
        """Return the same for one attempt."""
        return self.check(request)

    def _trial_until_ms(self, request, name):
        """Return until when a request waits for the trial of another one.

        After a quarantine, requests are let through one at a time until one is
        answered, and none that has lost a run.
        """
        key = (request.service.name, name)
        if not self.is_known(*key):
            return float("-inf")
        now_ms = self._clock.now_ms()
        trial = self._trials_by_key.get(key)
        if trial is None or trial.until_ms <= now_ms:
            until_ms = now_ms + TRIAL_PAUSE_MS
            trial = self._trials_by_key[key] = _Trial(request, until_ms)
            logger.info("quarantine.trial", extra={"service": key[0], "part": name})
        is_on_trial = trial.is_of(request) and not request.lost_runs
        return float("-inf") if is_on_trial else trial.until_ms

    def until_ms(self, service, part):
        """Return when the quarantine of a part ends, -inf if there is none."""
        quarantine = self._by_key.get((service, part))
        if quarantine is None or quarantine.is_lifted:
            return float("-inf")
        return quarantine.until_ms

    def is_known(self, service, part):
        """Return whether a part is or was in quarantine and was not answered since."""
        quarantine = self._by_key.get((service, part))
        return quarantine is not None and not quarantine.is_lifted

    def next_repeats(self, service, part):
        """Return how many quarantines of a part came before the next one."""
        if not self.is_known(service, part):
            return 0
        return self._by_key[service, part].repeats + 1

    def version(self, service, part):
        """Return the version of the decision known of a part, 0 if there is none."""
        quarantine = self._by_key.get((service, part))
        return 0 if quarantine is None else quarantine.version

    def next_version(self, service, part):
        """Return a version above that of the decision known of a part."""
        return max(self.version(service, part) + 1, self._clock.wall_ms())

    def merge(self, quarantine):
        """Apply a decision; return whether it is newer than the one known."""
        key = (quarantine.service, quarantine.part)
        known = self._by_key.get(key)
        if known is not None and known.version >= quarantine.version:
            return False
        self._expire()
        if known is None and len(self._by_key) >= MAX_QUARANTINES:
            extra = {"service": quarantine.service, "part": quarantine.part}
            logger.error("quarantine.no-room", extra=extra)
            return False
        self._by_key[key] = quarantine
        logger.warning(
            "quarantine.changed",
            extra={
                "service": quarantine.service,
                "part": quarantine.part,
                "is_lifted": quarantine.is_lifted,
                "version": quarantine.version,
                "repeats": quarantine.repeats,
                "left_ms": round(quarantine.until_ms - self._clock.now_ms()),
            },
        )
        return True

    def remembered(self):
        """Return all decisions, those that were lifted or have ended included."""
        self._expire()
        return list(self._by_key.values())

    def count_in_force(self):
        """Return the number of parts in quarantine."""
        now_ms = self._clock.now_ms()
        return sum(
            each.until_ms > now_ms and not each.is_lifted
            for each in self._by_key.values()
        )

    def _expire(self):
        now_ms = self._clock.now_ms()
        for key, each in list(self._by_key.items()):
            if each.until_ms + REMEMBERED_MS <= now_ms:
                del self._by_key[key]
                self._trials_by_key.pop(key, None)

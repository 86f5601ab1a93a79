"""Requests permits of other instances, so that together they keep a limit.

For each backend server, one of the instances issues the permits: the first by
rendezvous hashing over the members that each instance knows. Nobody is elected; views
may differ, so an instance issues at a lower rate while it has reason to doubt its view.
Two issuers of different views then stay within one and a half times a limit.
"""

import asyncio
import logging

from stoatpath.backpressure.cold_shares import (
    COLD_LIFETIME_MS,
    ViewJudge,
    WindowIssuer,
    permit_key,
)
from stoatpath.backpressure.cold_starts import ColdStartTable, decode_knowledge
from stoatpath.backpressure.permits import MAX_WAIT_MS, PermitGrant, PermitIssuer
from stoatpath.membership.messages import DEAD, LIVE, SUSPECT
from stoatpath.outcomes import (
    CONNECT_FAILED,
    CONNECTION_REFUSED,
    Failure,
    is_failure,
)
from stoatpath.utils import cancel_and_wait, rendezvous_first

logger = logging.getLogger(__name__)

PERMIT_TOPIC = "permits"
# Shares of a limit that an issuer grants.
SETTLED_SHARE = 0.95
DOUBTFUL_SHARE = 0.5
# An instance doubts its view after its start, and after a member failed that is not
# known to have ended: it may have lost its path to the others.
START_DOUBT_MS = 5_000.0
FAILURE_DOUBT_MS = 30_000.0
# Requests wait for the answer; other backend servers are usually at hand.
ASK_TIMEOUT_MS = 100.0
EXCLUSION_MS = 5_000.0
FAILURE_WAIT_MS = 50.0
# Time for another instance to find out whether the issuer before it has failed.
CHECK_WAIT_MS = 300.0
PERMIT_LIFETIME_MS = 250.0
# An issuer that knows of no cold backend servers, one of an earlier build, is not asked
# for one again before this time.
UNAWARE_WAIT_MS = 1_000.0
# Permits for a window while instances may not know that a backend server is cold:
# these show whether it is back. With all permits, 195 and 544 instances together sent
# 24 to 37 requests in a second of 20.
PROBE_QUOTA = 2
# Time over which the use of permits is counted, to request several at once.
USE_PERIOD_MS = 1_000.0


class _Holding:
    """What this instance holds of one backend server.

    `count` permits until `expires_ms`; none is asked for before `retry_at_ms`. `uses`
    counts the permits used since `uses_since_ms`. `is_cold` tells whether the issuer
    granted them for a cold backend server.
    """

    __slots__ = (
        "count",
        "expires_ms",
        "retry_at_ms",
        "uses",
        "uses_since_ms",
        "is_asking",
        "is_cold",
    )

    def __init__(self):
        self.count = 0
        self.expires_ms = float("-inf")
        self.retry_at_ms = float("-inf")
        self.uses = 0
        self.uses_since_ms = float("-inf")
        self.is_asking = False
        self.is_cold = False


class PermitExchange:
    """Acquires permits from issuers, and issues them to others.

    `limits` is the `LimitTable`, `members` the `MemberTable`, `cold` the
    `ColdStartTable`; a backend server may have a limit by both, and the lower one
    holds. `has_seeds` tells whether the settings name other instances. `withheld`
    counts the requests that did not get a permit when they were about to be sent,
    `cold_withheld` those of them to cold backend servers; `cold_granted` counts the
    permits that this instance issued for these.
    """

    __slots__ = (
        "withheld",
        "cold_withheld",
        "cold_granted",
        "_limits",
        "_cold",
        "_view",
        "_windows",
        "_refused_names",
        "_members",
        "_client",
        "_clock",
        "_issuer",
        "_holdings_by_backend",
        "_excluded_until_ms_by_name",
        "_settled_at_ms",
        "_checks_by_name",
        "_reports",
    )

    def __init__(
        self, limits, members, client, server, clock, cold=None, has_seeds=False
    ):
        self.withheld = 0
        self.cold_withheld = 0
        self.cold_granted = 0
        self._limits = limits
        self._cold = cold or ColdStartTable()
        self._view = ViewJudge(members, has_seeds, clock.now_ms())
        self._windows = WindowIssuer()
        self._refused_names = set()
        self._members = members
        self._client = client
        self._clock = clock
        self._issuer = PermitIssuer()
        self._holdings_by_backend = {}
        self._excluded_until_ms_by_name = {}
        self._settled_at_ms = clock.now_ms() + START_DOUBT_MS
        self._checks_by_name = {}
        self._reports = set()
        limits.observers.append(self._start_report)
        server.register(PERMIT_TOPIC, self._handle_request)

    def has_limit(self, backend):
        """Return whether requests to a backend server need a permit."""
        return self._limits.limit_per_s(backend) is not None or self.is_cold(backend)

    def is_cold(self, backend):
        """Return whether a backend server has a bound because it is or was cold."""
        return self._cold.limit_per_s(backend, self._clock.now_ms()) is not None

    def send_by_ms(self, backend):
        """Return until when a request must be on its way after a permit was taken."""
        holding = self._holdings_by_backend.get(backend)
        if holding is None or not self.is_cold(backend):
            return float("inf")
        return holding.expires_ms

    def retry_at_ms(self, backend):
        """Return when a backend server may take a request again; -inf for now."""
        now_ms = self._clock.now_ms()
        if not self.has_limit(backend):
            return float("-inf")
        holding = self._holdings_by_backend.get(backend)
        if holding is None or self._has_permit(backend, holding, now_ms):
            return float("-inf")
        if holding.is_asking:
            return max(now_ms, holding.retry_at_ms) + FAILURE_WAIT_MS
        is_over = holding.retry_at_ms <= now_ms
        return float("-inf") if is_over else holding.retry_at_ms

    def has_permit(self, backend):
        """Return whether a request may be sent now, without asking the issuer."""
        if not self.has_limit(backend):
            return True
        holding = self._holdings_by_backend.get(backend)
        now_ms = self._clock.now_ms()
        return holding is not None and self._has_permit(backend, holding, now_ms)

    def try_acquire(self, backend):
        """Take a permit that is at hand; return whether a request may be sent now."""
        if not self.has_limit(backend):
            return True
        now_ms = self._clock.now_ms()
        holding = self._holdings_by_backend.setdefault(backend, _Holding())
        if not self._has_permit(backend, holding, now_ms):
            return False
        self._use(holding, now_ms)
        return True

    async def acquire(self, backend):
        """Return whether a request may be sent now; ask the issuer if necessary."""
        if self.try_acquire(backend):
            return True
        if self.retry_at_ms(backend) > self._clock.now_ms():
            self._count_withheld(backend)
            return False
        holding = self._holdings_by_backend[backend]
        holding.is_asking = True
        try:
            await self._ask(backend, holding)
        finally:
            holding.is_asking = False
        is_granted = self.try_acquire(backend)
        if not is_granted:
            self._count_withheld(backend)
        return is_granted

    def _count_withheld(self, backend):
        self.withheld += 1
        self.cold_withheld += self.is_cold(backend)

    def forget(self, backend):
        """Drop the permits for a backend server whose process is new.

        What was granted for a cold one still counts: its requests may yet arrive.
        """
        self._holdings_by_backend.pop(backend, None)

    def retain_backends(self, names):
        """Drop the state of all backend servers but the named ones."""
        self._issuer.retain_backends(names)
        self._windows.retain_backends(names)
        self._issuer_names()
        holdings = self._holdings_by_backend
        for name in [name for name in holdings if name not in names]:
            del holdings[name]

    async def close(self):
        """Cancel all tasks."""
        await cancel_and_wait([*self._checks_by_name.values(), *self._reports])

    async def _ask(self, backend, holding):
        wanted = 1 if self.is_cold(backend) else self._permits_to_request(holding)
        issuer = self._select_issuer(backend)
        sent_ms = self._clock.now_ms()
        if issuer is None:
            holding.is_cold = self.is_cold(backend)
            grant = self._grant(backend, self._members.local.name, wanted)
        else:
            grant = await self._exchange(issuer, backend, wanted, holding)
            if is_failure(grant):
                self._exclude(issuer, grant)
                grant = PermitGrant(0, self._clock.now_ms() + FAILURE_WAIT_MS)
        holding.count = grant.count
        is_cold = self.is_cold(backend)
        if is_cold and not holding.is_cold:
            holding.count = 0
            grant.retry_at_ms = self._clock.now_ms() + UNAWARE_WAIT_MS
        lifetime_ms = COLD_LIFETIME_MS if is_cold else PERMIT_LIFETIME_MS
        holding.expires_ms = sent_ms + lifetime_ms
        holding.retry_at_ms = grant.retry_at_ms

    async def _exchange(self, issuer, backend, wanted, holding=None):
        """Ask an issuer and merge what it knows; return a `PermitGrant` or a failure.

        Limits travel with their age, and cold times with what is left of them, since
        the clocks of instances differ.
        """
        message = {
            "backend": backend,
            "instance": self._members.local.name,
            "wanted": wanted,
            "limit": self._encode_limit(backend),
            **self._encode_cold(backend),
        }
        answer = await self._client.ask(
            issuer.address, PERMIT_TOPIC, message, ASK_TIMEOUT_MS
        )
        if holding is not None:
            holding.is_cold = False
        if is_failure(answer):
            return answer
        try:
            self._merge_limit(backend, answer["limit"])
            is_cold = self._merge_cold(backend, answer.get("cold"))
            if holding is not None:
                holding.is_cold = is_cold
            count = min(wanted, max(0, int(answer["count"])))
            wait_ms = min(MAX_WAIT_MS, max(0.0, float(answer["wait_ms"])))
            return PermitGrant(count, self._clock.now_ms() + wait_ms)
        except (KeyError, OverflowError, TypeError, ValueError) as error:
            return Failure(CONNECT_FAILED, f"malformed answer: {error!r}")

    async def _handle_request(self, message):
        backend = str(message["backend"])
        instance = str(message["instance"])
        wanted = int(message["wanted"])
        self._merge_limit(backend, message["limit"])
        self._merge_cold(backend, message.get("cold"))
        grant = PermitGrant(0, self._clock.now_ms())
        issuer = self._select_issuer(backend)
        if issuer is not None:
            grant = PermitGrant(0, self._clock.now_ms() + CHECK_WAIT_MS)
            self._start_check(issuer, backend)
        elif wanted > 0:
            grant = self._grant(backend, instance, wanted)
        return {
            "count": grant.count,
            "wait_ms": grant.retry_at_ms - self._clock.now_ms(),
            "limit": self._encode_limit(backend),
            **self._encode_cold(backend),
        }

    def _grant(self, backend, instance, wanted):
        """Issue permits as the issuer of a backend server."""
        now_ms = self._clock.now_ms()
        bound = self._cold.limit_per_s(backend, now_ms)
        if bound is None:
            return self._grant_named(backend, instance, wanted)
        excluded = self._excluded_until_ms_by_name.keys() - self._refused_names
        later_quota = quota = self._view.quota(bound, excluded, now_ms)
        if self._cold.is_spreading(backend, now_ms):
            quota = min(quota, PROBE_QUOTA)
        open_from_ms = self._view.open_from_ms(backend, now_ms)
        free = self._windows.available(backend, quota, open_from_ms, now_ms)
        if free == 0:
            return self._windows.refuse(
                backend, instance, later_quota, open_from_ms, now_ms
            )
        grant = PermitGrant(min(wanted, free), now_ms)
        if self._limits.limit_per_s(backend) is not None:
            grant = self._grant_named(backend, instance, grant.count)
        if grant.count:
            self._windows.record(backend, instance, grant.count, now_ms)
            self.cold_granted += grant.count
        return grant

    def _grant_named(self, backend, instance, wanted):
        """Issue permits by the limit that a backend server has named."""
        now_ms = self._clock.now_ms()
        per_s = self._limits.limit_per_s(backend)
        if per_s is None:
            return PermitGrant(0, now_ms)
        share = self._granted_share(now_ms)
        return self._issuer.grant(backend, instance, wanted, share * per_s, now_ms)

    def _select_issuer(self, backend):
        """Return the member that issues permits, or None if this instance does."""
        names = self._issuer_names()
        local = self._members.local
        if not names:
            return None
        first = rendezvous_first(permit_key(backend), names)
        return None if first == local.name else self._members.by_name[first]

    def _issuer_names(self):
        """Return the names of the members that may issue, and note a change."""
        self._end_exclusions()
        names = [
            name
            for name in self._members.live_names(self._members.local.role)
            if name not in self._excluded_until_ms_by_name
        ]
        self._view.observe_names(names, self._clock.now_ms())
        return names

    def _granted_share(self, now_ms):
        """Return the share of a limit to issue, by how certain the view is.

        With any doubt it is a part of `DOUBTFUL_SHARE`: that of the instances which
        this one still reaches, since the others may have another issuer.
        """
        others = self._members.by_name.values()
        lost = {
            member.name
            for member in others
            if member.state == SUSPECT
            or (
                member.state == DEAD
                and not member.has_ended
                and now_ms < member.state_changed_ms + FAILURE_DOUBT_MS
            )
        }
        lost.update(self._excluded_until_ms_by_name)
        if not lost and now_ms >= self._settled_at_ms:
            return SETTLED_SHARE
        live = {member.name for member in others if member.state == LIVE}
        reached_count = 1 + len(live - lost)
        return DOUBTFUL_SHARE * reached_count / (reached_count + len(lost))

    def _start_report(self, backend):
        """Tell the issuer what this instance has just heard of a limit."""
        issuer = self._select_issuer(backend)
        if issuer is not None:
            task = asyncio.get_running_loop().create_task(self._report(issuer, backend))
            self._reports.add(task)
            task.add_done_callback(self._reports.discard)

    async def _report(self, issuer, backend):
        answer = await self._exchange(issuer, backend, 0)
        if is_failure(answer):
            logger.info(
                "permits.report-failed",
                extra={"issuer": issuer.name, "why": answer.detail},
            )

    def _start_check(self, issuer, backend):
        """Ask the member that ranks before this instance whether it answers."""
        if issuer.name in self._checks_by_name:
            return
        task = asyncio.get_running_loop().create_task(self._check(issuer, backend))
        self._checks_by_name[issuer.name] = task
        task.add_done_callback(lambda _: self._checks_by_name.pop(issuer.name))

    async def _check(self, issuer, backend):
        answer = await self._exchange(issuer, backend, 0)
        if is_failure(answer):
            self._exclude(issuer, answer)

    def _exclude(self, issuer, failure):
        now_ms = self._clock.now_ms()
        self._excluded_until_ms_by_name[issuer.name] = now_ms + EXCLUSION_MS
        if failure.reason is CONNECTION_REFUSED:
            # No process runs there. One that starts has doubt for longer than this.
            self._refused_names.add(issuer.name)
        else:
            self._refused_names.discard(issuer.name)
        logger.info(
            "permits.issuer-excluded",
            extra={"issuer": issuer.name, "why": failure.detail},
        )

    def _end_exclusions(self):
        now_ms = self._clock.now_ms()
        excluded = self._excluded_until_ms_by_name
        for name in [name for name in excluded if excluded[name] <= now_ms]:
            del excluded[name]
            self._refused_names.discard(name)

    def _permits_to_request(self, holding):
        """Return how many permits to request: what is used in their lifetime."""
        now_ms = self._clock.now_ms()
        since_ms = now_ms - holding.uses_since_ms
        if since_ms > 2 * USE_PERIOD_MS:
            return 1
        per_ms = holding.uses / max(USE_PERIOD_MS, since_ms)
        return max(1, round(per_ms * PERMIT_LIFETIME_MS))

    def _has_permit(self, backend, holding, now_ms):
        """Return whether there is a permit; one from before it was cold is none."""
        is_valid = holding.count > 0 and now_ms < holding.expires_ms
        return is_valid and (holding.is_cold or not self.is_cold(backend))

    @staticmethod
    def _use(holding, now_ms):
        holding.count -= 1
        if now_ms - holding.uses_since_ms > USE_PERIOD_MS:
            holding.uses = 0
            holding.uses_since_ms = now_ms
        holding.uses += 1

    def _encode_limit(self, backend):
        """Return a limit as per_s (None if it has ended) and age, or None."""
        limit = self._limits.by_name.get(backend)
        if limit is None:
            return None
        return [limit.per_s, max(0.0, self._clock.now_ms() - limit.heard_ms)]

    def _encode_cold(self, backend):
        """Return the field with the cold time left and the rate, if there is any."""
        knowledge = self._cold.knowledge(backend, self._clock.now_ms())
        return {} if knowledge is None else {"cold": knowledge}

    def _merge_cold(self, backend, data):
        """Merge the field of a message; return whether the sender knows of a bound."""
        knowledge = decode_knowledge(data)
        if knowledge is None:
            return False
        self._cold.merge(backend, *knowledge, self._clock.now_ms())
        return True

    def _merge_limit(self, backend, data):
        if data is None:
            return
        per_s, age_ms = data
        heard_ms = self._clock.now_ms() - max(0.0, float(age_ms))
        if per_s is not None and not 0.0 < float(per_s) < float("inf"):
            raise ValueError(f"no limit: {per_s!r}")
        self._limits.merge(backend, None if per_s is None else float(per_s), heard_ms)

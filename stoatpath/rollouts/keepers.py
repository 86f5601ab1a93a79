"""The controller's task that carries on the roll-outs it owns."""

import logging

from stoatpath.configuration.messages import Accepted
from stoatpath.leases.messages import lease_key
from stoatpath.outcomes import is_failure
from stoatpath.rollouts.completions import build_completion
from stoatpath.rollouts.messages import Step, Verdict
from stoatpath.rollouts.owners import RolloutOwner
from stoatpath.rollouts.progress import find_rollouts
from stoatpath.rollouts.reporters import judge_of
from stoatpath.services.messages import Condition

logger = logging.getLogger(__name__)

LOOK_PERIOD_MS = 200
STORE_PERIOD_MS = 5_000
CONTROLLER = "controller"


class RolloutKeeper:
    """Judges, steps, suspends and completes the roll-outs owned here.

    A verdict spreads before it is stored; a step is stored, under the lease of
    the roll-out, before it spreads.
    """

    __slots__ = (
        "_node",
        "_clock",
        "_progress",
        "_store",
        "_leases",
        "_spreader",
        "_counters",
        "_owners_by_key",
        "_reasons_by_name",
        "_stored_trials",
        "_retry_at_ms",
    )

    def __init__(self, node, rollouts, leases, counters):
        self._node = node
        self._clock = node.clock
        self._progress = rollouts.progress
        self._spreader = rollouts.spreader
        self._store = rollouts.store
        self._leases = leases
        self._counters = counters
        self._owners_by_key = {}
        self._reasons_by_name = {}
        self._stored_trials = {}
        self._retry_at_ms = float("-inf")

    async def run(self):
        """Look until cancelled."""
        while True:
            await self.look()
            await self._clock.sleep_until(self._clock.now_ms() + LOOK_PERIOD_MS)

    async def look(self):
        """Look once at every roll-out owned here."""
        snapshot = self._node.follower.snapshot
        rollouts = find_rollouts(snapshot)
        controllers = self._node.members.live_names(CONTROLLER)
        own_name = self._node.members.local.name
        owned = {}
        for rollout in rollouts.values():
            if judge_of(rollout.name, controllers) == own_name:
                version = snapshot.versions_by_name[rollout.version]
                owned[(rollout.name, version.trial)] = rollout
        self._forget_others(owned, rollouts, snapshot)
        for key, rollout in owned.items():
            await self._look_at(key, rollout, snapshot)
        await self._store_verdicts(controllers, own_name)

    def status(self):
        """Return the roll-outs as known here, for operators."""
        snapshot = self._node.follower.snapshot
        rows = []
        for rollout in find_rollouts(snapshot).values():
            version = snapshot.versions_by_name[rollout.version]
            rows.append(
                {
                    "rollout": rollout.name,
                    "version": version.name,
                    "trial": version.trial,
                    "step": self._progress.step_index(version),
                    "share": self._progress.share(rollout, version),
                    "suspended": self._progress.suspensions.holds(version),
                    "reason": self._reasons_by_name.get(rollout.name, ""),
                }
            )
        return rows

    def _forget_others(self, owned, rollouts, snapshot):
        for key in list(self._owners_by_key):
            if key not in owned:
                del self._owners_by_key[key]
        trials = {
            (rollout.name, snapshot.versions_by_name[rollout.version].trial)
            for rollout in rollouts.values()
        }
        self._counters.keep_only(trials)

    async def _look_at(self, key, rollout, snapshot):
        version = snapshot.versions_by_name[rollout.version]
        model = snapshot.models_by_name[rollout.model]
        owner = self._owners_by_key.get(key)
        if owner is None or not owner.judges(rollout):
            owner = self._owners_by_key[key] = RolloutOwner(rollout)
        found = owner.look(
            model,
            version,
            self._progress,
            self._counters,
            self._clock.now_ms(),
            self._clock.wall_ms(),
        )
        if isinstance(found, Verdict):
            self._suspend(rollout, found)
        elif isinstance(found, Step):
            await self._step(rollout, found)
        else:
            self._note(rollout, found)
            if found == "complete":
                await self._complete(rollout, snapshot, version)

    def _suspend(self, rollout, verdict):
        self._progress.suspensions.add(verdict)
        self._spreader.spread()
        totals = self._counters.totals(rollout.name, verdict.trial, verdict.version)
        served = sum(total.served for total in totals.values())
        self._note(rollout, verdict.reason, served=served)

    async def _step(self, rollout, step):
        lease = self._leases.lease_of(rollout.name)
        if not lease.is_held(self._clock.now_ms()):
            self._note(rollout, "waiting for the lease of the next step")
            return
        condition = Condition(lease_key(lease.shard), lease.row_version)
        stored = await self._store.write_step(step, [condition])
        if is_failure(stored):
            self._note(rollout, f"the step was not stored: {stored.detail}")
            return
        if self._progress.reach(stored):
            self._spreader.spread()
            self._note(rollout, f"step {stored.index} reached")

    async def _complete(self, rollout, snapshot, version):
        if self._clock.now_ms() < self._retry_at_ms:
            return
        self._retry_at_ms = self._clock.now_ms() + STORE_PERIOD_MS
        submission = build_completion(snapshot, rollout, version)
        verdict = await self._node.store.submit(snapshot, submission)
        if isinstance(verdict, Accepted):
            await self._node.follower.poll()
            logger.info("rollouts.completed", extra={"rollout": rollout.name})
        else:
            logger.warning(
                "rollouts.completion-refused",
                extra={"rollout": rollout.name, "why": type(verdict).__name__},
            )

    async def _store_verdicts(self, controllers, own_name):
        """Store verdicts that the table lacks; the owner of each one does it."""
        if self._clock.now_ms() < self._retry_at_ms:
            return
        for verdict in list(self._progress.suspensions.by_version.values()):
            if self._stored_trials.get(verdict.version) == verdict.trial:
                continue
            if judge_of(verdict.version, controllers) != own_name:
                continue
            stored = await self._store.write_verdict(verdict)
            if is_failure(stored):
                self._retry_at_ms = self._clock.now_ms() + STORE_PERIOD_MS
                return
            self._stored_trials[verdict.version] = stored.trial

    def _note(self, rollout, reason, **details):
        if self._reasons_by_name.get(rollout.name) == reason:
            return
        self._reasons_by_name[rollout.name] = reason
        extra = {"rollout": rollout.name, "version": rollout.version, "why": reason}
        logger.info("rollouts.decision", extra={**extra, **details})

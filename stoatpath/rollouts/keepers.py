"""The controller's task that drives the roll-outs it owns."""

import logging

from stoatpath.configuration.messages import Accepted
from stoatpath.leases.messages import lease_key
from stoatpath.outcomes import is_failure
from stoatpath.rollouts.completions import build_completion
from stoatpath.rollouts.messages import Step, Verdict
from stoatpath.rollouts.progress import rollouts_by_model
from stoatpath.rollouts.reporters import owner_of
from stoatpath.rollouts.rollout_evaluators import RolloutEvaluator
from stoatpath.services.messages import Condition

logger = logging.getLogger(__name__)

EVALUATION_PERIOD_MS = 200
# Pause after an attempt to complete a roll-out and after a failed write of a verdict.
WRITE_PAUSE_MS = 5_000
CONTROLLER = "controller"


class RolloutKeeper:
    """Evaluates, advances, suspends and completes the roll-outs owned here.

    A verdict is broadcast before it is stored, so that a bad version stops at
    once. A step is stored, under the lease of the roll-out, before it is broadcast.
    """

    __slots__ = (
        "_node",
        "_clock",
        "_progress",
        "_store",
        "_leases",
        "_broadcaster",
        "_counters",
        "_evaluators_by_key",
        "_reasons_by_name",
        "_stored_trials",
        "_next_write_ms",
    )

    def __init__(self, node, rollouts, leases, counters):
        self._node = node
        self._clock = node.clock
        self._progress = rollouts.progress
        self._broadcaster = rollouts.broadcaster
        self._store = rollouts.store
        self._leases = leases
        self._counters = counters
        self._evaluators_by_key = {}
        self._reasons_by_name = {}
        self._stored_trials = {}
        self._next_write_ms = float("-inf")

    async def run(self):
        """Evaluate periodically until cancelled."""
        while True:
            await self.evaluate_rollouts()
            await self._clock.sleep_until(self._clock.now_ms() + EVALUATION_PERIOD_MS)

    async def evaluate_rollouts(self):
        """Evaluate every roll-out owned here once."""
        snapshot = self._node.follower.snapshot
        rollouts = rollouts_by_model(snapshot)
        controllers = self._node.members.live_names(CONTROLLER)
        local_name = self._node.members.local.name
        owned = {}
        for rollout in rollouts.values():
            if owner_of(rollout.name, controllers) == local_name:
                version = snapshot.versions_by_name[rollout.version]
                owned[(rollout.name, version.trial)] = rollout
        self._discard_unowned(owned, rollouts, snapshot)
        for key, rollout in owned.items():
            await self._evaluate_rollout(key, rollout, snapshot)
        await self._store_verdicts(controllers, local_name)

    def status(self):
        """Return the known state of all roll-outs, for operators."""
        snapshot = self._node.follower.snapshot
        rows = []
        for rollout in rollouts_by_model(snapshot).values():
            version = snapshot.versions_by_name[rollout.version]
            rows.append(
                {
                    "rollout": rollout.name,
                    "version": version.name,
                    "trial": version.trial,
                    "step": self._progress.step_index(version),
                    "share": self._progress.share(rollout, version),
                    "suspended": self._progress.suspensions.is_suspended(version),
                    "reason": self._reasons_by_name.get(rollout.name, ""),
                }
            )
        return rows

    def _discard_unowned(self, owned, rollouts, snapshot):
        for key in list(self._evaluators_by_key):
            if key not in owned:
                del self._evaluators_by_key[key]
        trials = {
            (rollout.name, snapshot.versions_by_name[rollout.version].trial)
            for rollout in rollouts.values()
        }
        self._counters.retain_trials(trials)

    async def _evaluate_rollout(self, key, rollout, snapshot):
        version = snapshot.versions_by_name[rollout.version]
        model = snapshot.models_by_name[rollout.model]
        evaluator = self._evaluators_by_key.get(key)
        if evaluator is None or not evaluator.has_definition_of(rollout):
            evaluator = self._evaluators_by_key[key] = RolloutEvaluator(rollout)
        decision = evaluator.decide(
            model,
            version,
            self._progress,
            self._counters,
            self._clock.now_ms(),
            self._clock.wall_ms(),
        )
        if isinstance(decision, Verdict):
            self._suspend(rollout, decision)
        elif isinstance(decision, Step):
            await self._advance(rollout, decision)
        else:
            self._record_reason(rollout, decision)
            if decision == "complete":
                await self._complete(rollout, snapshot, version)

    def _suspend(self, rollout, verdict):
        self._progress.suspensions.add(verdict)
        self._broadcaster.broadcast()
        totals = self._counters.totals(rollout.name, verdict.trial, verdict.version)
        served = sum(total.served for total in totals.values())
        self._record_reason(rollout, verdict.reason, served=served)

    async def _advance(self, rollout, step):
        lease = self._leases.lease_of(rollout.name)
        if not lease.is_held(self._clock.now_ms()):
            self._record_reason(rollout, "waiting for the lease of the next step")
            return
        condition = Condition(lease_key(lease.shard), lease.row_version)
        stored = await self._store.write_step(step, [condition])
        if is_failure(stored):
            self._record_reason(rollout, f"the step was not stored: {stored.detail}")
            return
        if self._progress.record_step(stored):
            self._broadcaster.broadcast()
            self._record_reason(rollout, f"step {stored.index} reached")

    async def _complete(self, rollout, snapshot, version):
        if self._clock.now_ms() < self._next_write_ms:
            return
        self._next_write_ms = self._clock.now_ms() + WRITE_PAUSE_MS
        submission = build_completion(snapshot, rollout, version)
        answer = await self._node.store.submit(snapshot, submission)
        if isinstance(answer, Accepted):
            await self._node.follower.poll()
            logger.info("rollouts.completed", extra={"rollout": rollout.name})
        else:
            logger.warning(
                "rollouts.completion-refused",
                extra={"rollout": rollout.name, "why": type(answer).__name__},
            )

    async def _store_verdicts(self, controllers, local_name):
        """Store the verdicts that the table lacks and whose version hashes to here."""
        if self._clock.now_ms() < self._next_write_ms:
            return
        for verdict in list(self._progress.suspensions.by_version.values()):
            if self._stored_trials.get(verdict.version) == verdict.trial:
                continue
            if owner_of(verdict.version, controllers) != local_name:
                continue
            stored = await self._store.write_verdict(verdict)
            if is_failure(stored):
                self._next_write_ms = self._clock.now_ms() + WRITE_PAUSE_MS
                return
            self._stored_trials[verdict.version] = stored.trial

    def _record_reason(self, rollout, reason, **details):
        if self._reasons_by_name.get(rollout.name) == reason:
            return
        self._reasons_by_name[rollout.name] = reason
        extra = {"rollout": rollout.name, "version": rollout.version, "why": reason}
        logger.info("rollouts.decision", extra={**extra, **details})

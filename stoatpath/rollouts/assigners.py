"""Assigns the version of a model that a new request or session runs on."""

from xxhash import xxh3_64_intdigest

from stoatpath.configuration.documents import ACTIVE
from stoatpath.rollouts.progress import Progress, find_rollouts

HASH_RANGE = 2**64


class VersionAssigner:
    """Gives new work to the current version, or to one that is rolled out.

    `follower` holds the configuration in force.
    """

    __slots__ = ("progress", "_follower", "_snapshot", "_rollouts_by_model")

    def __init__(self, progress=None, follower=None):
        self.progress = progress or Progress()
        self._follower = follower
        self._snapshot = None
        self._rollouts_by_model = {}

    def rollout_of(self, model_name):
        """Return the roll-out of a model, or None."""
        if self._follower is not None:
            snapshot = self._follower.snapshot
            if snapshot is not self._snapshot:
                self._snapshot = snapshot
                self._rollouts_by_model = find_rollouts(snapshot)
        return self._rollouts_by_model.get(model_name)

    def is_open(self, version):
        """Return whether a version may get new work."""
        is_suspended = self.progress.suspensions.is_suspended(version)
        return version.state == ACTIVE and not is_suspended

    def assign(self, model, organisation, service, key):
        """Return an open and allowed version, or None.

        `key` names the session or the request, so that the same key gets the
        same version while the share stands, and a rising share only moves keys
        to the new version.
        """
        open_versions = [
            version
            for version in model.by_version.values()
            if self.is_open(version) and organisation.allows(service, version)
        ]
        rollout = self.rollout_of(model.name)
        if rollout is None:
            return _preferred(model, open_versions)
        settled = []
        for version in open_versions:
            if version.name != rollout.version:
                settled.append(version)
            elif key_fraction(version, key) < self.progress.share(rollout, version):
                return version
        return _preferred(model, settled)


def key_fraction(version, key):
    """Return where a key stands between 0 and 1 for the roll-out of a version."""
    return xxh3_64_intdigest(f"{version.name}\0{key}".encode()) / HASH_RANGE


def _preferred(model, versions):
    for version in versions:
        if version.name == model.current:
            return version
    return versions[-1] if versions else None

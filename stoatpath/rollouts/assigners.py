"""Assigns a version of a model to new requests and sessions."""

from xxhash import xxh3_64_intdigest

from stoatpath.configuration.documents import ACTIVE
from stoatpath.rollouts.progress import Progress, rollouts_by_model

HASH_RANGE = 2**64


class VersionAssigner:
    """Assigns new work to the current version or to one that is rolled out.

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
                self._rollouts_by_model = rollouts_by_model(snapshot)
        return self._rollouts_by_model.get(model_name)

    def is_open(self, version):
        """Return whether a version accepts new work."""
        is_suspended = self.progress.suspensions.is_suspended(version)
        return version.state == ACTIVE and not is_suspended

    def assign(self, model, organisation, service, key):
        """Return an open and allowed version, or None.

        `key` identifies the session or the request. Its hash decides, so a key
        keeps its version while the share is unchanged, and a rising share only
        moves keys to the new version.
        """
        open_versions = [
            version
            for version in model.by_version.values()
            if self.is_open(version) and organisation.allows(service, version)
        ]
        rollout = self.rollout_of(model.name)
        if rollout is None:
            return _preferred(model, open_versions)
        other_versions = []
        for version in open_versions:
            if version.name != rollout.version:
                other_versions.append(version)
            elif key_fraction(version, key) < self.progress.share(rollout, version):
                return version
        return _preferred(model, other_versions)


def key_fraction(version, key):
    """Return the hash of a key for the roll-out of a version, scaled to 0..1."""
    return xxh3_64_intdigest(f"{version.name}\0{key}".encode()) / HASH_RANGE


def _preferred(model, versions):
    for version in versions:
        if version.name == model.current:
            return version
    return versions[-1] if versions else None

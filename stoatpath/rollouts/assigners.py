"""Assigns the version of a model that a new request or session runs on."""

from stoatpath.configuration.documents import ACTIVE


class VersionAssigner:
    """Gives new work to the current version of each model.

    `suspended` holds the names of versions that must get no new work.
    """

    __slots__ = ("suspended",)

    def __init__(self):
        self.suspended = set()

    def is_open(self, version):
        """Return whether a version may get new work."""
        return version.state == ACTIVE and version.name not in self.suspended

    def assign(self, model, organisation, service, key):
        """Return an open and allowed version, or None.

        `key` names the session or the request, so that the same key gets the
        same version while nothing changes.
        """
        open_versions = [
            version
            for version in model.by_version.values()
            if self.is_open(version) and organisation.allows(service, version)
        ]
        for version in open_versions:
            if version.name == model.current:
                return version
        return open_versions[-1] if open_versions else None

"""The latest suspended trial of each version; a later trial lifts a suspension."""

import logging

logger = logging.getLogger(__name__)


class Suspensions:
    """The latest verdict by version.

    A verdict holds for its trial and all earlier ones. An operator lifts it by
    raising the `trial` of the version in the configuration.
    """

    __slots__ = ("by_version",)

    def __init__(self):
        self.by_version = {}

    def add(self, verdict):
        """Add a verdict; return whether it replaced the known one."""
        known = self.by_version.get(verdict.version)
        if known is not None and known.trial >= verdict.trial:
            return False
        self.by_version[verdict.version] = verdict
        logger.warning(
            "rollouts.suspended",
            extra={
                "version": verdict.version,
                "trial": verdict.trial,
                "why": verdict.reason,
            },
        )
        return True

    def is_suspended(self, version):
        """Return whether a configured version is suspended."""
        verdict = self.by_version.get(version.name)
        return verdict is not None and verdict.trial >= version.trial

"""Reads the settings file that the platform places for each process."""

import os

import yaml

from stoatpath.outcomes import BAD_REQUEST, Failure, is_failure

BOOT_VARIABLE = "STOATPATH_BOOT"
# Seconds and milliseconds of the bounds that a deployment may leave out, taken
# from the deployments that the platform's pages describe.
DEFAULT_BOUNDS = {
    "fail_closed": True,
    "revoke_ms": 5_000,
    "drain_ms": 2_000,
    "rollback_ms": 5_000,
    "grace_s": 8,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 10,
    "expose_share": 0.1,
    "expose_slack": 10,
    "session_s": 5,
}


class BootFile:
    """What a process learns at its start.

    `instance`, `zone` and `ip` name it; `front_address` is where callers reach
    it, `ready_address` where the platform asks whether it is ready, both as
    `IP:PORT`. `store_address` is the platform's store. The rest are bounds of the
    deployment, durations in the unit that each name ends in.
    """

    __slots__ = (
        "instance",
        "zone",
        "ip",
        "front_address",
        "ready_address",
        "store_address",
        "memory_mb",
        "fails_closed",
        "revoke_ms",
        "drain_ms",
        "rollback_ms",
        "grace_ms",
        "retry_ratio",
        "retry_window_ms",
        "retry_slack",
        "exposure_share",
        "exposure_slack",
        "session_ms",
    )

    @classmethod
    def from_mapping(cls, data):
        """Return a boot file, or a failure that names every wrong field."""
        reader = _Reader(data)
        boot = cls()
        boot.instance = reader.text("node_name")
        boot.zone = reader.text("zone")
        boot.ip = reader.text("ip")
        boot.front_address = reader.address("listen", "front")
        boot.ready_address = reader.address("listen", "ready")
        boot.store_address = reader.address("provider", "address")
        boot.memory_mb = reader.number("limits", "memory_mb", least=1)
        bounds = {**DEFAULT_BOUNDS, **reader.table("bounds")}
        bound = _Reader(bounds, "bounds.", reader.problems)
        boot.fails_closed = bound.flag("fail_closed")
        boot.revoke_ms = bound.number("revoke_ms", least=1)
        boot.drain_ms = bound.number("drain_ms", least=1)
        boot.rollback_ms = bound.number("rollback_ms", least=1)
        boot.grace_ms = bound.number("grace_s", least=0) * 1_000
        boot.retry_ratio = bound.number("retry_budget_ratio", least=0)
        boot.retry_window_ms = bound.number("budget_window_s", least=0) * 1_000
        boot.retry_slack = bound.number("budget_slack", least=0)
        boot.exposure_share = bound.number("expose_share", least=0)
        boot.exposure_slack = bound.number("expose_slack", least=0)
        boot.session_ms = bound.number("session_s", least=0) * 1_000
        if reader.problems:
            return Failure(BAD_REQUEST, "; ".join(reader.problems))
        return boot

    @classmethod
    def from_file(cls, path):
        """Return a boot file read from YAML, or a failure."""
        try:
            with open(path, encoding="utf-8") as file:
                data = yaml.load(file, Loader=getattr(yaml, "CSafeLoader", None))
        except OSError as error:
            return Failure(BAD_REQUEST, f"{path}: {error.strerror}")
        except (yaml.YAMLError, UnicodeDecodeError) as error:
            return Failure(BAD_REQUEST, f"{path}: not YAML: {error}")
        boot = cls.from_mapping(data)
        if is_failure(boot):
            boot.detail = f"{path}: {boot.detail}"
        return boot

    @classmethod
    def from_environment(cls):
        """Return the boot file that the platform's variable names, or a failure."""
        path = os.environ.get(BOOT_VARIABLE)
        if not path:
            return Failure(BAD_REQUEST, f"the variable {BOOT_VARIABLE} is not set")
        return cls.from_file(path)


class _Reader:
    """Takes fields out of nested tables and collects what is wrong with them."""

    __slots__ = ("problems", "_data", "_prefix")

    def __init__(self, data, prefix="", problems=None):
        self.problems = [] if problems is None else problems
        self._data = data
        self._prefix = prefix

    def text(self, *path):
        value = self._find(path)
        if not isinstance(value, str) or not value:
            return self._refuse(path, value, "a text that is not empty", "")
        return value

    def address(self, *path):
        value = self._find(path)
        host, _, port = value.rpartition(":") if isinstance(value, str) else ("",) * 3
        if not host or not port.isascii() or not port.isdigit() or int(port) > 65_535:
            return self._refuse(path, value, "IP:PORT", "")
        return value

    def number(self, *path, least):
        value = self._find(path)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not value >= least:
            return self._refuse(path, value, f"a number from {least}", least)
        return value

    def flag(self, *path):
        value = self._find(path)
        if not isinstance(value, bool):
            return self._refuse(path, value, "true or false", True)
        return value

    def table(self, *path):
        value = self._find(path)
        if value is not None and not isinstance(value, dict):
            return self._refuse(path, value, "a table", {})
        return value or {}

    def _find(self, path):
        value = self._data
        for name in path:
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def _refuse(self, path, value, expected, instead):
        name = self._prefix + ".".join(path)
        self.problems.append(f"{name} = {value!r}: expected {expected}")
        return instead

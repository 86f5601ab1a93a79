"""Reads the settings file that the platform provides to each process."""

import logging
import os

import yaml

from stoatpath.outcomes import BAD_REQUEST, Failure, is_failure

logger = logging.getLogger(__name__)

BOOT_VARIABLE = "STOATPATH_BOOT"
# Larger values are ignored.
MAX_COLD_FACTOR = 1_000
MAX_COLD_SLACK = 1_000_000
MAX_LOGGED_CHARS = 40
# The contract under which callers need API keys.
KEYS_CONTRACT = "tenants"
# Defaults of optional bounds, from the deployments that the platform documents.
# Names that end in _s are in seconds, in _ms in milliseconds.
DEFAULT_BOUNDS = {
    "fail_closed": True,
    "revoke_ms": 5_000,
    "config_ms": 2_000,
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
    """The settings that the platform gives to a process at its start.

    `instance`, `zone` and `ip` identify the process. `front_address` is the listener
    for callers, `ready_address` the one for readiness checks of the platform,
    `peer_address` the one for other instances and `store_address` the platform's store,
    each as `IP:PORT`. `peer_seeds` are peer addresses of a few instances, which may be
    out of date. `is_first_start` tells that all instances start now. The other
    attributes are bounds of the deployment; durations are in the unit of the name's
    suffix, shares and ratios are fractions of requests, and slacks are numbers of
    requests allowed beyond those fractions. `evacuation_ms` is None if the file has no
    such bound. `regions_by_zone` maps zones to regions; `region` is that of the
    process, or None. `cold_factor` is that of the rate at which cold backend servers
    may get requests, None for no bound of this kind. `has_keys` says that callers have
    keys, also while a configuration names none.
    """

    __slots__ = (
        "instance",
        "zone",
        "ip",
        "front_address",
        "ready_address",
        "peer_address",
        "store_address",
        "peer_seeds",
        "is_first_start",
        "memory_mb",
        "fails_closed",
        "revoke_ms",
        "config_ms",
        "drain_ms",
        "rollback_ms",
        "grace_ms",
        "retry_ratio",
        "retry_window_ms",
        "retry_slack",
        "exposure_share",
        "exposure_slack",
        "session_ms",
        "evacuation_ms",
        "regions_by_zone",
        "region",
        "cold_factor",
        "cold_slack",
        "has_keys",
    )

    @classmethod
    def from_mapping(cls, data):
        """Return a boot file, or a failure that lists all invalid fields."""
        reader = _FieldReader(data)
        boot = cls()
        boot.instance = reader.text("node_name")
        boot.zone = reader.text("zone")
        boot.ip = reader.text("ip")
        boot.front_address = reader.address("listen", "front")
        boot.ready_address = reader.address("listen", "ready")
        boot.peer_address = reader.optional_address("listen", "control") or (
            f"{boot.ip}:0"
        )
        boot.peer_seeds = reader.addresses("seeds")
        boot.is_first_start = reader.optional_flag("bootstrap")
        boot.store_address = reader.address("provider", "address")
        boot.memory_mb = reader.number("limits", "memory_mb", minimum=1)
        bounds = {**DEFAULT_BOUNDS, **reader.table("bounds")}
        bounds_reader = _FieldReader(bounds, "bounds.", reader.problems)
        boot.fails_closed = bounds_reader.flag("fail_closed")
        boot.revoke_ms = bounds_reader.number("revoke_ms", minimum=1)
        boot.config_ms = bounds_reader.number("config_ms", minimum=1)
        boot.drain_ms = bounds_reader.number("drain_ms", minimum=1)
        boot.rollback_ms = bounds_reader.number("rollback_ms", minimum=1)
        boot.grace_ms = bounds_reader.number("grace_s", minimum=0) * 1_000
        boot.retry_ratio = bounds_reader.number("retry_budget_ratio", minimum=0)
        boot.retry_window_ms = (
            bounds_reader.number("budget_window_s", minimum=0) * 1_000
        )
        boot.retry_slack = bounds_reader.number("budget_slack", minimum=0)
        boot.exposure_share = bounds_reader.number("expose_share", minimum=0)
        boot.exposure_slack = bounds_reader.number("expose_slack", minimum=0)
        boot.session_ms = bounds_reader.number("session_s", minimum=0) * 1_000
        boot.evacuation_ms = bounds_reader.optional_number("evac_ms", minimum=1)
        boot.regions_by_zone = reader.texts_by_name("zones")
        boot.region = reader.optional_text("region") or (
            boot.regions_by_zone.get(boot.zone)
        )
        boot.cold_factor = bounds_reader.tolerated_number("cold_over", MAX_COLD_FACTOR)
        boot.cold_slack = bounds_reader.tolerated_number("cold_slack", MAX_COLD_SLACK)
        boot.cold_slack = boot.cold_slack or 0
        boot.has_keys = KEYS_CONTRACT in reader.tolerated_list("contracts")
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
        """Return the boot file at the path in `STOATPATH_BOOT`, or a failure."""
        path = os.environ.get(BOOT_VARIABLE)
        if not path:
            return Failure(
                BAD_REQUEST, f"the environment variable {BOOT_VARIABLE} is not set"
            )
        return cls.from_file(path)


class _FieldReader:
    """Reads and validates fields of nested tables, and collects the problems."""

    __slots__ = ("problems", "_data", "_prefix")

    def __init__(self, data, prefix="", problems=None):
        self.problems = [] if problems is None else problems
        self._data = data
        self._prefix = prefix

    def text(self, *path):
        value = self._get_value(path)
        if not isinstance(value, str) or not value:
            return self._record_problem(path, value, "a text that is not empty", "")
        return value

    def optional_text(self, *path):
        return None if self._get_value(path) is None else self.text(*path)

    def texts_by_name(self, *path):
        """Return a table of texts; a name that YAML reads as a number is a problem."""
        texts = self.table(*path)
        for name in texts:
            if not isinstance(name, str):
                self._record_problem(path, name, "names that are texts", "")
        return {name: self.text(*path, name) for name in texts if isinstance(name, str)}

    def address(self, *path):
        value = self._get_value(path)
        host, _, port = value.rpartition(":") if isinstance(value, str) else ("",) * 3
        if not host or not port.isascii() or not port.isdigit() or int(port) > 65_535:
            return self._record_problem(path, value, "IP:PORT", "")
        return value

    def optional_address(self, *path):
        return None if self._get_value(path) is None else self.address(*path)

    def addresses(self, *path):
        values = self._get_value(path)
        if values is not None and not isinstance(values, list):
            return self._record_problem(path, values, "a list of IP:PORT", [])
        return [self.address(*path, index) for index, _ in enumerate(values or ())]

    def number(self, *path, minimum):
        value = self._get_value(path)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not value >= minimum:
            return self._record_problem(
                path, value, f"a number from {minimum}", minimum
            )
        return value

    def optional_number(self, *path, minimum):
        if self._get_value(path) is None:
            return None
        return self.number(*path, minimum=minimum)

    def tolerated_number(self, name, largest):
        """Return a number from 0, or None; one that is no such number is ignored."""
        value = self._get_value((name,))
        if value is None:
            return None
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if is_number and 0 <= value <= largest:
            return value
        self._log_ignored(name, value)
        return None

    def tolerated_list(self, name):
        """Return a list, empty if the field is missing; another value is ignored."""
        value = self._get_value((name,))
        if isinstance(value, list):
            return value
        if value is not None:
            self._log_ignored(name, value)
        return []

    def _log_ignored(self, name, value):
        extra = {"setting": self._prefix + name, "text": repr(value)[:MAX_LOGGED_CHARS]}
        logger.warning("settings.ignored", extra=extra)

    def flag(self, *path):
        value = self._get_value(path)
        if not isinstance(value, bool):
            return self._record_problem(path, value, "true or false", True)
        return value

    def optional_flag(self, *path):
        return False if self._get_value(path) is None else self.flag(*path)

    def table(self, *path):
        value = self._get_value(path)
        if value is not None and not isinstance(value, dict):
            return self._record_problem(path, value, "a table", {})
        return value or {}

    def _get_value(self, path):
        value = self._data
        for name in path:
            if isinstance(name, int):
                value = value[name]
            else:
                value = value.get(name) if isinstance(value, dict) else None
        return value

    def _record_problem(self, path, value, expected, default):
        name = self._prefix + ".".join(map(str, path))
        self.problems.append(f"{name} = {value!r}: expected {expected}")
        return default

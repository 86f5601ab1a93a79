"""Settings of the programs: defaults, loading, checks and suggestions.

`docs/SETTINGS.md` lists every setting with its unit and meaning.
"""

import difflib

import pyjson5

from stoatpath.settings_checks import CHECKS_BY_NAME, check_type

DEFAULTS = {
    # Identity and listening addresses of the process.
    "NAME": "",
    "ZONE": "",
    "LISTEN_ADDRESS": "127.0.0.1:0",
    "PEER_LISTEN_ADDRESS": "127.0.0.1:0",
    "OPERATOR_LISTEN_ADDRESS": "127.0.0.1:0",
    "METRICS_LISTEN_ADDRESS": "127.0.0.1:0",
    # The platform's services.
    "TABLE_URL": "",
    "OBJECTS_URL": "",
    "INSTANCE_LIST_URL": "",
    "RATINGS_URL": "",
    "WEIGHTS_URL": "",
    # Members to contact when the platform's list can't be read, as `IP:PORT`.
    "PEER_SEEDS": [],
    # Secrets, newest last: the newest one signs, all of them verify.
    "SESSION_KEYS": {},
    "PEER_KEYS": {},
    "OPERATOR_KEYS": {},
    # TLS: files of an identity (certificate, key, authority) or just an authority.
    "LISTEN_TLS": {},
    "OPERATOR_TLS": {},
    "PEER_TLS": {},
    "PLATFORM_AUTHORITY": "",
    "BACKEND_AUTHORITY": "",
    # Limits on callers.
    "MAX_BODY_BYTES": 4 * 1024 * 1024,
    "MAX_BUFFERED_BODY_BYTES": 16 * 1024 * 1024,
    "MAX_HEADER_BYTES": 16 * 1024,
    "MAX_CONNECTIONS": 4_096,
    "HEADER_TIMEOUT_MS": 5_000,
    "IDLE_TIMEOUT_MS": 75_000,
    "WRITE_TIMEOUT_MS": 30_000,
    "BODY_TIMEOUT_MS": 10_000,
    "MAX_TIMEOUT_MS": 600_000,
    # Model placement on engines.
    "WEIGHT_LOADS_PER_MINUTE": 60,
    "ENGINES_WITHOUT_FENCING": [],
    # Admission.
    "MAX_QUEUED_REQUESTS": 1_000,
    # Requests to backend servers.
    "FIRST_BYTE_TIMEOUT_MS": 5_000,
    "BETWEEN_BYTES_TIMEOUT_MS": 3_000,
    "HEDGE_MIN_MS": 100,
    # Claims of idempotency keys.
    "CLAIM_ANSWER_RETENTION_MS": 3 * 24 * 3_600_000,
    # Billing.
    "BILLING_FLUSH_PERIOD_MS": 5_000,
    # Behaviour under faults.
    "STALENESS_LIMIT_MS": 12_000,
    "SERVE_WHEN_CUT_OFF": False,
    "BALANCER_LAG_MS": 2_000,
    "SHUTDOWN_TIMEOUT_MS": 120_000,
    # Control traffic and retained history.
    "GOSSIP_BYTES_PER_S": 8_000,
    "HISTORY_KEPT_REVISIONS": 20_000,
    # Logs.
    "LOG_LEVEL": "INFO",
}
REQUIRED = ("NAME", "ZONE", "TABLE_URL", "INSTANCE_LIST_URL")
# Without a key, messages of any sender are accepted.
NEVER_EMPTY = ("PEER_KEYS",)


class SettingProblem:
    """One problem in a settings file."""

    __slots__ = ("name", "value", "expected")

    def __init__(self, name, value, expected):
        self.name = name
        self.value = value
        self.expected = expected

    def __str__(self):
        return f"{self.name} = {self.value!r}: expected {self.expected}"


class Settings:
    """Checked settings; each default is an attribute in lower case."""

    __slots__ = tuple(name.lower() for name in DEFAULTS)

    def __init__(self, by_name):
        for name, value in by_name.items():
            setattr(self, name.lower(), value)

    @classmethod
    def from_mapping(cls, given):
        """Return settings and a list of problems; settings is None if any."""
        problems = find_problems(given)
        if problems:
            return None, problems
        return cls({**DEFAULTS, **given}), []

    @classmethod
    def from_file(cls, path):
        """Return settings read from JSON with comments, and a list of problems."""
        try:
            with open(path, encoding="utf-8") as file:
                given = pyjson5.decode_io(file)
        except OSError as error:
            problem = SettingProblem(path, error.strerror, "a file that can be read")
            return None, [problem]
        except (pyjson5.Json5DecoderException, UnicodeDecodeError) as error:
            problem = SettingProblem(path, str(error), "JSON with comments")
            return None, [problem]
        if not isinstance(given, dict):
            problem = SettingProblem(path, type(given).__name__, "an object")
            return None, [problem]
        return cls.from_mapping(given)


def find_problems(given):
    """Return all problems of the given settings."""
    problems = []
    for name, value in given.items():
        expected = _check_setting(name, value)
        if expected is not None:
            problems.append(SettingProblem(name, value, expected))
    for name in REQUIRED:
        if name not in given:
            problems.append(SettingProblem(name, None, "a value"))
    return problems


def _check_setting(name, value):
    """Return what was expected if a setting is wrong, or None."""
    if name not in DEFAULTS:
        return _suggest_name(name)
    expected = check_type(DEFAULTS[name], value)
    if expected is not None:
        return expected
    if name in REQUIRED and not value:
        return "a value"
    if name in NEVER_EMPTY and not value:
        return "a key, or no such setting"
    check = CHECKS_BY_NAME.get(name)
    return check(value) if check is not None and value != DEFAULTS[name] else None


def _suggest_name(name):
    near = difflib.get_close_matches(name.upper(), DEFAULTS, n=1, cutoff=0.5)
    return f"a known setting; did you mean {near[0]}?" if near else "a known setting"

"""Checks the deploy file: build command, roles and the machines that run them."""

import re
import shlex
import tomllib

from stoatpath.outcomes import BAD_REQUEST, Failure

# Interfaces that a role may serve to external callers.
SERVABLE_INTERFACES = ("front", "control")
MAX_PORT = 65_535
VARIABLE = re.compile("[A-Z][A-Z0-9_]*")
# A machine runs all roles of its class, and the platform allows it at most two.
MAX_ROLES_PER_CLASS = 2


class DeployFile:
    """A valid deploy file; `roles` are the names of its roles."""

    __slots__ = ("build", "roles")

    def __init__(self, build, roles):
        self.build = build
        self.roles = roles

    @classmethod
    def from_file(cls, path):
        """Return a deploy file read from TOML, or a failure that lists all problems."""
        try:
            with open(path, "rb") as file:
                data = tomllib.load(file)
        except OSError as error:
            return Failure(BAD_REQUEST, f"{path}: {error.strerror}")
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            return Failure(BAD_REQUEST, f"{path}: not TOML: {error}")
        problems = list(_find_problems(data))
        if problems:
            return Failure(BAD_REQUEST, f"{path}: " + "; ".join(problems))
        return cls(data["build"], sorted(data["roles"]))


def _find_problems(data):
    """Yield each problem with its field, its value and the expected value."""
    build = data.get("build")
    if not isinstance(build, str) or not build.strip():
        yield _problem("build", build, "a shell command")
    packages = data.get("packages", [])
    if not isinstance(packages, list) or not all(map(_is_text, packages)):
        yield _problem("packages", packages, "a list of package names")
    roles = data.get("roles")
    if not isinstance(roles, dict) or not roles:
        yield _problem("roles", roles, "a table of roles")
        return
    for name, role in roles.items():
        if isinstance(role, dict):
            yield from _check_role(f"roles.{name}", role)
        else:
            yield _problem(f"roles.{name}", role, "a table")
    yield from _check_roles_per_class(roles)


def _check_role(field, role):
    run = role.get("run")
    if not _is_text(run) or not shlex.split(run):
        yield _problem(f"{field}.run", run, "a program with its arguments")
    if not _is_text(role.get("on")):
        yield _problem(f"{field}.on", role.get("on"), "a class of machines")
    share = role.get("share")
    count = role.get("count")
    if (share is None) == (count is None):
        yield _problem(field, {"share": share, "count": count}, "one of the two")
    if share is not None and not (_is_number(share) and 0 < share <= 1):
        yield _problem(f"{field}.share", share, "a number over 0, up to 1")
    if count is not None and not (isinstance(count, int) and count >= 1):
        yield _problem(f"{field}.count", count, "a whole number from 1")
    serves = role.get("serves", [])
    if not isinstance(serves, list) or not set(map(str, serves)) <= set(
        SERVABLE_INTERFACES
    ):
        yield _problem(
            f"{field}.serves", serves, f"a list of {' and '.join(SERVABLE_INTERFACES)}"
        )
    env = role.get("env", {})
    if not isinstance(env, dict) or not all(map(_is_variable, env.items())):
        yield _problem(f"{field}.env", env, "names in capitals with texts")
    metrics = role.get("metrics")
    if metrics is not None and not _is_metrics(metrics):
        yield _problem(f"{field}.metrics", metrics, "PORT/PATH")


def _check_roles_per_class(roles):
    """Yield the conflicts between roles of the same class of machines."""
    by_class = {}
    for name, role in roles.items():
        if isinstance(role, dict) and _is_text(role.get("on")):
            by_class.setdefault(role["on"], []).append((name, role))
    for machine_class, class_roles in by_class.items():
        names = [name for name, _ in class_roles]
        if len(class_roles) > MAX_ROLES_PER_CLASS:
            expected = f"at most {MAX_ROLES_PER_CLASS} roles on {machine_class}"
            yield _problem("roles", names, expected)
        served = [
            each
            for _, role in class_roles
            for each in _interface_names(role.get("serves"))
        ]
        for each in sorted({each for each in served if served.count(each) > 1}):
            yield _problem("roles", names, f"one role that serves {each}")


def _interface_names(serves):
    return [str(each) for each in serves] if isinstance(serves, list) else []


def _is_text(value):
    return isinstance(value, str) and bool(value.strip())


def _is_number(value):
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def _is_variable(item):
    name, value = item
    return VARIABLE.fullmatch(name) is not None and isinstance(value, str)


def _is_metrics(value):
    port, slash, path = value.partition("/") if isinstance(value, str) else ("",) * 3
    is_port = port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
    return is_port and bool(slash) and bool(path)


def _problem(field, value, expected):
    return f"{field} = {value!r}: expected {expected}"

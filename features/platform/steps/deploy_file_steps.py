"""Steps about the deploy file."""

import json
import os
import subprocess
import sys
import tempfile
import tomllib

from behave import given, then, when

from stoatpath.outcomes import is_failure
from stoatpath.platform.deploy_files import DeployFile
from stoatpath.standins.deployments import boot_mapping

PROJECT_DEPLOY_FILE = "deploy/system.toml"


def to_toml(data, prefix=""):
    """Return the lines of nested tables as TOML."""
    plain = {name: value for name, value in data.items() if not is_table(value)}
    lines = [f"[{prefix}]"] if prefix else []
    lines += [f"{name} = {json.dumps(value)}" for name, value in plain.items()]
    for name, value in data.items():
        if is_table(value):
            lines += to_toml(value, f"{prefix}.{name}" if prefix else name)
    return lines


def is_table(value):
    return isinstance(value, dict)


def write_deploy_file(context, text):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = os.path.join(folder.name, "system.toml")
    with open(context.path, "w", encoding="utf-8") as file:
        file.write(text)


def read_project_deploy_file():
    with open(PROJECT_DEPLOY_FILE, "rb") as file:
        return tomllib.load(file)


@given("a deploy file in which {field} is {value}")
def step_impl(context, field, value):
    data = read_project_deploy_file()
    *path, last = field.split(".")
    table = data
    for name in path:
        table = table[name]
    table[last] = json.loads(value)
    write_deploy_file(context, "\n".join(to_toml(data)) + "\n")


@given("a deploy file with {count:d} roles on one class that all serve front")
def step_impl(context, count):
    data = read_project_deploy_file()
    (role,) = data["roles"].values()
    data["roles"] = {f"role-{number}": role for number in range(count)}
    write_deploy_file(context, "\n".join(to_toml(data)) + "\n")


@given("a deploy file that is not TOML")
def step_impl(context):
    write_deploy_file(context, "build = \n")


@when("deploy/system.toml is checked")
def step_impl(context):
    context.result = DeployFile.from_file(PROJECT_DEPLOY_FILE)


@when("it is checked")
def step_impl(context):
    context.result = DeployFile.from_file(context.path)


@when("it is checked together with a settings file without a store")
def step_impl(context):
    mapping = boot_mapping("gateway-0", "", {})
    path = context.path + ".boot"
    with open(path, "w", encoding="utf-8") as file:
        json.dump(mapping, file)
    command = [sys.executable, "-m", "stoatpath.tools.gateway", "--check"]
    command += [f"--deploy={context.path}", f"--boot={path}"]
    context.process = subprocess.run(command, capture_output=True, text=True)


@then("the check finds no problems")
def step_impl(context):
    assert not is_failure(context.result), context.result.detail


@then("the only problem is at {field} and expects {expected}")
def step_impl(context, field, expected):
    assert is_failure(context.result)
    found = context.result.detail.partition(": ")[2]
    assert found.startswith(f"{field} = "), found
    assert found.endswith(f": expected {expected}"), found
    assert "; " not in found, found


@then("there are {count:d} problems")
def step_impl(context, count):
    assert len(context.result.detail.split("; ")) == count, context.result.detail


@then("the problems are at build and at provider.address")
def step_impl(context):
    assert context.process.returncode == 2, context.process
    for name in ("build = ", "provider.address = "):
        assert name in context.process.stderr, context.process.stderr


@then("the check reports that it is not TOML")
def step_impl(context):
    assert "not TOML" in context.result.detail, context.result

"""Steps that compare the documents with the code."""

import ast
import glob
import os
import re
import subprocess
import sys

from behave import then

from stoatpath.tools.capacity import render_page

LINK = re.compile(r"\]\(([^)#\s]+)(?:#[^)]*)?\)")
TARGET = re.compile(r"\bmake ([a-z]+)\b")
PROGRAM = re.compile(r"\b(stoatpath-[a-z]+|stoatpathctl)\b")
FLAG = re.compile(r"(?:stoatpath-[a-z]+|stoatpathctl)[^`\n]*?(--[a-z][a-z-]+)")
EVENT = re.compile(r"^\| `([a-z-]+\.[a-z-]+)` \|", re.M)
LOG_METHODS = ("debug", "info", "warning", "error", "critical", "exception")
MODULES_BY_PROGRAM = {
    "stoatpath-router": "stoatpath.tools.router",
    "stoatpath-gateway": "stoatpath.tools.gateway",
    "stoatpath-controller": "stoatpath.tools.controller",
    "stoatpathctl": "stoatpath.tools.ctl",
    "stoatpath-standins": "stoatpath.tools.standins",
    "stoatpath-measure": "stoatpath.tools.measure",
}


def read(path):
    """Return the text of a file."""
    with open(path, encoding="utf-8") as file:
        return file.read()


def documents():
    """Return the paths of all documents."""
    return ["README.md", *sorted(glob.glob("docs/**/*.md", recursive=True))]


def sources():
    """Return the paths of all source files except tests."""
    paths = glob.glob("stoatpath/**/*.py", recursive=True)
    return sorted(path for path in paths if "/features/" not in path)


def tests():
    """Return the paths of all test files."""
    paths = []
    for pattern in ("stoatpath/*/features", "features"):
        for ending in ("py", "feature"):
            paths += glob.glob(f"{pattern}/**/*.{ending}", recursive=True)
    return paths


def logged_events(path):
    """Return the event names that a module logs."""
    for node in ast.walk(ast.parse(read(path))):
        if not isinstance(node, ast.Call) or not node.args:
            continue
        function = node.func
        if not isinstance(function, ast.Attribute):
            continue
        logger_name = getattr(function.value, "id", "")
        argument = node.args[0]
        is_log = logger_name == "logger" and function.attr in LOG_METHODS
        if is_log and isinstance(argument, ast.Constant):
            yield argument.value


@then("every relative link in the documents refers to an existing file")
def step_impl(context):
    broken = []
    for path in documents():
        for link in LINK.findall(read(path)):
            target = os.path.join(os.path.dirname(path), link)
            if "://" not in link and not os.path.exists(target):
                broken.append((path, link))
    assert not broken, broken


@then("every make target in the documents is in the Makefile")
def step_impl(context):
    targets = set(re.findall(r"^([a-z]+):", read("Makefile"), re.M))
    named_targets = {
        name for path in documents() for name in TARGET.findall(read(path))
    }
    missing = {
        name
        for name in named_targets - targets
        if f"make {name}" in code_in_documents()
    }
    assert not missing, missing


def code_in_documents():
    """Return the code spans and blocks of all documents."""
    spans = []
    for path in documents():
        text = read(path)
        spans += re.findall(r"`([^`\n]+)`", text)
        spans += re.findall(r"^    (.+)$", text, re.M)
    return "\n".join(spans)


@then("every program in the documents answers --help with its flags")
def step_impl(context):
    flags_by_program = {}
    for path in documents():
        for line in read(path).splitlines():
            for program in PROGRAM.findall(line):
                flags = flags_by_program.setdefault(program, set())
                flags.update(FLAG.findall(line))
    unknown = set(flags_by_program) - set(MODULES_BY_PROGRAM)
    assert not unknown, unknown
    for program, flags in flags_by_program.items():
        command = [sys.executable, "-m", MODULES_BY_PROGRAM[program], "--helpfull"]
        process = subprocess.run(command, capture_output=True, text=True)
        text = process.stdout + process.stderr
        missing = {flag for flag in flags if flag[2:].replace("-", "_") not in text}
        missing -= {"--help"}
        assert not missing, (program, missing)


@then("the help of {module} lists {flags} in at most {most:d} lines")
def step_impl(context, module, flags, most):
    command = [sys.executable, "-m", module, "--help"]
    process = subprocess.run(command, capture_output=True, text=True)
    lines = (process.stdout + process.stderr).splitlines()
    missing = [flag for flag in flags.split() if flag[2:] not in "\n".join(lines)]
    assert not missing, missing
    assert len(lines) <= most, len(lines)


@then("each of these documents has text")
def step_impl(context):
    names = [row["name"] for row in context.table]
    short_documents = [name for name in names if len(read(f"docs/{name}").split()) < 50]
    assert not short_documents, short_documents


@then("docs/LOGS.md lists exactly the events that the code logs")
def step_impl(context):
    listed = set(EVENT.findall(read("docs/LOGS.md")))
    listed = {event for event in listed if not event.startswith("decision.")}
    logged = {event for path in sources() for event in logged_events(path)}
    missing = logged - listed
    stale = listed - logged
    assert not missing and not stale, f"missing {missing}, no longer logged {stale}"


@then("the tables of docs/CAPACITY.md are those of the measurements")
def step_impl(context):
    text = read("docs/CAPACITY.md")
    assert render_page(text) == text, "run `make capacity`"


@then("importing a daemon loads none of these")
def step_impl(context):
    names = [row["module"] for row in context.table]
    program = (
        "import sys; import stoatpath.routers, stoatpath.controllers; "
        "import stoatpath.tools.programs; "
        f"print([n for n in {names!r} if n in sys.modules])"
    )
    process = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True
    )
    assert process.stdout.strip() == "[]", process.stdout + process.stderr


@then("no source file imports a test library")
def step_impl(context):
    libraries = {"behave", "hypothesis"}
    for path in sources():
        for node in ast.walk(ast.parse(read(path))):
            names = [alias.name for alias in getattr(node, "names", ())]
            names.append(getattr(node, "module", None) or "")
            loaded = {name.partition(".")[0] for name in names}
            assert not loaded & libraries, path


@then("each command in docs/OPERATIONS.md prints the output shown there")
def step_impl(context):
    blocks = re.findall(
        r"^    \$ (.+)\n((?:    .*\n|\n)+)", read("docs/OPERATIONS.md"), re.M
    )
    assert len(blocks) >= 3, len(blocks)
    for command, expected_output in blocks:
        program, *arguments = command.split()
        module = MODULES_BY_PROGRAM[program]
        process = subprocess.run(
            [sys.executable, "-m", module, *arguments], capture_output=True, text=True
        )
        expected = [
            line.removeprefix("    ") for line in expected_output.rstrip().splitlines()
        ]
        assert process.stdout.rstrip().splitlines() == expected, (
            command,
            process.stdout,
        )


@then("no source file starts with a comment or mentions a licence")
def step_impl(context):
    banned = re.compile(r"copyright|licen[cs]e|spdx", re.I)
    for path in sources() + [path for path in tests() if path.endswith(".py")]:
        text = read(path)
        head = "\n".join(text.splitlines()[:5])
        assert not text.startswith("#"), path
        assert not banned.search(head), path

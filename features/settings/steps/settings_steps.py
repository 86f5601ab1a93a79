"""Steps about settings files."""

import glob
import json
import os
import re
import tempfile

from behave import then, when
from hypothesis import given as forall, settings as configure, strategies

from stoatpath.settings import DEFAULTS, Settings, find_problems

VALID = {
    "NAME": "router-1",
    "ZONE": "zone-a",
    "TABLE_URL": "http://127.0.0.1:7000",
    "INSTANCE_LIST_URL": "http://127.0.0.1:7001",
}
CONTENTS = {
    "nothing": b"",
    "a list": b"[1, 2]",
    "half an object": b'{"NAME": "router-1",',
    "bytes that aren't UTF-8": b"\xff\xfe\xfd",
}
TABLE_ROW = re.compile(r"^\| `([A-Z_]+)` \|([^|]*)\| `([^`]*)` \| (.+) \|$", re.M)


@when("the setting {name} is given as {value}")
def step_impl(context, name, value):
    context.problems = find_problems({**VALID, name: json.loads(value)})


@then('there is one problem for {name} that expects "{expected}"')
def step_impl(context, name, expected):
    assert len(context.problems) == 1, list(map(str, context.problems))
    assert context.problems[0].name == name
    assert expected in context.problems[0].expected, context.problems[0].expected


@when("a settings file has a misspelt name, a wrong type and no required settings")
def step_impl(context):
    context.problems = find_problems({"NAMES": "x", "MAX_BODY_BYTES": "x"})


@then("all of the problems are reported")
def step_impl(context):
    names = {problem.name for problem in context.problems}
    required = {"NAME", "ZONE", "TABLE_URL", "INSTANCE_LIST_URL"}
    assert names == required | {"NAMES", "MAX_BODY_BYTES"}, names


@when("the settings file holds {content}")
def step_impl(context, content):
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "settings.json5")
        if content in CONTENTS:
            with open(path, "wb") as file:
                file.write(CONTENTS[content])
        _, context.problems = Settings.from_file(path)


@then('the only problem expects "{expected}"')
def step_impl(context, expected):
    assert [problem.expected for problem in context.problems] == [expected]


@then("each generated mapping is either accepted or has problems")
def step_impl(context):
    values = strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.floats()
        | strategies.text(),
        lambda inner: strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner),
        max_leaves=5,
    )
    names = strategies.sampled_from(sorted(DEFAULTS)) | strategies.text()

    @configure(derandomize=True, database=None, deadline=None, max_examples=500)
    @forall(strategies.dictionaries(names, values, max_size=4))
    def check(mapping):
        settings, problems = Settings.from_mapping({**VALID, **mapping})
        assert (settings is None) == bool(problems)

    check()


@then("docs/SETTINGS.md and the defaults agree")
def step_impl(context):
    with open("docs/SETTINGS.md", encoding="utf-8") as file:
        rows = TABLE_ROW.findall(file.read())
    documented = {name: json.loads(default) for name, _, default, _ in rows}
    missing = set(DEFAULTS) - set(documented)
    unknown = set(documented) - set(DEFAULTS)
    assert not missing and not unknown, f"missing {missing}, unknown {unknown}"
    wrong = {name for name in DEFAULTS if documented[name] != DEFAULTS[name]}
    assert not wrong, f"other defaults in the code: {wrong}"


@then("no sample settings file has a problem")
def step_impl(context):
    paths = glob.glob("samples/*/*settings.json5")
    assert paths
    for path in paths:
        _, problems = Settings.from_file(path)
        assert not problems, (path, list(map(str, problems)))

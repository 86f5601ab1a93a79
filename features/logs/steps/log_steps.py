"""Steps about log lines."""

import io
import json
import logging

from behave import then, when

from stoatpath import log


@when("{name} logs a {level} with a line break and a traceback")
def step_impl(context, name, level):
    context.stream = io.StringIO()
    log.setup("stoatpath-router", "router-1", stream=context.stream)
    context.name = name
    try:
        raise ValueError("broken")
    except ValueError:
        message = "one\ntwo"
        logging.getLogger(name).log(getattr(logging, level), message, exc_info=True)


@then("{count:d} lines of JSON were written")
def step_impl(context, count):
    lines = context.stream.getvalue().splitlines()
    assert len(lines) == count, lines
    for line in map(json.loads, lines):
        assert line["event"] == "one\ntwo" and line["module"] == context.name
        assert line["program"] == "stoatpath-router" and "time" in line

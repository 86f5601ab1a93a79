"""Steps about log lines."""

import io
import json
import logging

from behave import then, when

from stoatpath import log


@when("{logger_name} logs a {level} with a line break and a traceback")
def step_impl(context, logger_name, level):
    context.stream = io.StringIO()
    log.setup("stoatpath-router", "router-1", stream=context.stream)
    context.logger_name = logger_name
    try:
        raise ValueError("broken")
    except ValueError:
        text = "one\ntwo"
        logging.getLogger(logger_name).log(getattr(logging, level), text, exc_info=True)


@then("{count:d} lines of JSON were written")
def step_impl(context, count):
    lines = context.stream.getvalue().splitlines()
    assert len(lines) == count, lines
    for line in map(json.loads, lines):
        assert line["event"] == "one\ntwo" and line["module"] == context.logger_name
        assert line["program"] == "stoatpath-router" and "time" in line

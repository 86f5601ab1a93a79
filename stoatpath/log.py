"""JSON log lines with stable event names."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


def setup(program, instance, level="INFO", stream=None):
    """Send every record of the package to a stream as one JSON object a line."""
    handler = logging.StreamHandler(stream or sys.stderr)
    formatter = JsonFormatter(
        "%(levelname)s %(name)s %(message)s",
        rename_fields={"levelname": "level", "name": "module", "message": "event"},
        static_fields={"program": program, "instance": instance},
        timestamp="time",
    )
    handler.setFormatter(formatter)
    root = logging.getLogger("stoatpath")
    root.handlers = [handler]
    root.setLevel(level)
    root.propagate = False

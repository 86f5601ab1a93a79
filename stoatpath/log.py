"""JSON log lines with stable event names."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

PACKAGE = "stoatpath"
LIBRARIES = ("aiohttp", "asyncio")


def setup(program, instance, level="INFO", stream=None):
    """Send every record to a stream as one JSON object a line.

    Libraries are heard from WARNING up.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    formatter = JsonFormatter(
        "%(levelname)s %(name)s %(message)s",
        rename_fields={"levelname": "level", "name": "module", "message": "event"},
        static_fields={"program": program, "instance": instance},
        timestamp="time",
    )
    handler.setFormatter(formatter)
    for name in (PACKAGE, *LIBRARIES):
        logger = logging.getLogger(name)
        logger.handlers = [handler]
        logger.setLevel(level if name == PACKAGE else logging.WARNING)
        logger.propagate = False

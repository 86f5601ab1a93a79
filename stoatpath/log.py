"""JSON log lines with stable event names."""

import logging
import os
import select
import sys
import time

from pythonjsonlogger.json import JsonFormatter

PACKAGE = "stoatpath"
LIBRARIES = ("aiohttp", "asyncio")
# A pipe that is ready takes this many bytes at once (POSIX), without blocking.
MAX_LINE_BYTES = 4_096
# What a log collector takes from one process in the long run, and at once.
LINES_PER_S = 200.0
LINE_BURST = 1_000.0
# Lines below WARNING leave this part of the budget to the others.
RESERVED_PART = 0.3


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without ever waiting for its reader.

    Lines beyond the budget, or for which the pipe has no room, are dropped and
    counted; the count is logged once a second.
    """

    def __init__(self, descriptor, monotonic=time.monotonic):
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._monotonic = monotonic
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._budget = LINE_BURST
        self._refilled_s = monotonic()
        self._told_s = self._refilled_s
        self._untold = 0

    def emit(self, record):
        """Write one record, or count it as dropped."""
        now_s = self._monotonic()
        self._refill(now_s)
        if self._untold and now_s - self._told_s >= 1.0:
            self._tell(now_s)
        floor = 0.0 if record.levelno >= logging.WARNING else RESERVED_PART
        if self._budget < 1.0 + floor * LINE_BURST or not self._write(record):
            self.dropped += 1
            self._untold += 1
            return
        self._budget -= 1.0

    def _refill(self, now_s):
        grown = (now_s - self._refilled_s) * LINES_PER_S
        self._budget = min(LINE_BURST, self._budget + grown)
        self._refilled_s = now_s

    def _tell(self, now_s):
        record = logging.LogRecord(
            __name__, logging.WARNING, "", 0, "log.dropped", None, None
        )
        record.lines = self._untold
        if self._write(record):
            self._untold = 0
            self._told_s = now_s

    def _write(self, record):
        line = self.format(record).encode(errors="replace") + b"\n"
        if len(line) > MAX_LINE_BYTES:
            line = self._shorten(record)
        if not self._poll.poll(0):
            return False
        try:
            os.write(self._descriptor, line)
        except OSError:
            return False
        return True

    def _shorten(self, record):
        """Return the line of a record without its longest fields."""
        short = logging.LogRecord(
            record.name, record.levelno, "", 0, record.getMessage(), None, None
        )
        for name, value in record.__dict__.items():
            if name not in short.__dict__ and len(str(value)) < MAX_LINE_BYTES // 16:
                setattr(short, name, value)
        short.is_shortened = True
        return self.format(short).encode(errors="replace")[: MAX_LINE_BYTES - 1] + b"\n"


def dropped_lines():
    """Return how many lines this process has dropped so far."""
    handlers = logging.getLogger(PACKAGE).handlers
    return sum(getattr(handler, "dropped", 0) for handler in handlers)


def setup(program, instance, level="INFO", stream=None, handler=None):
    """Send every record to a stream or a handler as one JSON object a line.

    Libraries are heard from WARNING up.
    """
    handler = handler or logging.StreamHandler(stream or sys.stderr)
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

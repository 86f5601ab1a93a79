"""JSON log lines with stable event names."""

import logging
import os
import select
import sys
import time

from pythonjsonlogger.json import JsonFormatter

PACKAGE = "stoatpath"
LIBRARIES = ("aiohttp", "asyncio")
# PIPE_BUF: a write of up to this many bytes to a pipe that is ready doesn't block.
MAX_LINE_BYTES = 4_096
# What a log collector accepts from one process: sustained rate and burst.
LINES_PER_S = 200.0
LINE_BURST = 1_000.0
# Share of the burst that is reserved for lines of level WARNING and above.
WARNING_RESERVE_SHARE = 0.3


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor and never blocks on a slow reader.

    Lines over the rate limit, and lines for which the pipe is full, are dropped and
    counted; the count is logged at most once a second, with the next record.
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
        self._reported_s = self._refilled_s
        self._unreported = 0

    def emit(self, record):
        """Write one record, or count it as dropped."""
        now_s = self._monotonic()
        self._refill(now_s)
        if self._unreported and now_s - self._reported_s >= 1.0:
            self._log_dropped(now_s)
        reserved_share = (
            0.0 if record.levelno >= logging.WARNING else WARNING_RESERVE_SHARE
        )
        if self._budget < 1.0 + reserved_share * LINE_BURST or not self._write(record):
            self.dropped += 1
            self._unreported += 1
            return
        self._budget -= 1.0

    def _refill(self, now_s):
        added = (now_s - self._refilled_s) * LINES_PER_S
        self._budget = min(LINE_BURST, self._budget + added)
        self._refilled_s = now_s

    def _log_dropped(self, now_s):
        record = logging.LogRecord(
            __name__, logging.WARNING, "", 0, "log.dropped", None, None
        )
        record.lines = self._unreported
        if self._write(record):
            self._unreported = 0
            self._reported_s = now_s

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
        """Return the line of a record without its long fields."""
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
    """Write each record to a stream or a handler as one line of JSON.

    Records of libraries are logged from level WARNING up.
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

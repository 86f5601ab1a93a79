"""Limits connections of callers until the head of a request is complete.

aiohttp reads and parses requests. This module adds the limits that it lacks: the
number of connections, and the total size and the duration of a request head.
"""

import array
import fcntl
import functools
import logging
import termios
from http import HTTPStatus

from aiohttp import http_exceptions, web
from aiohttp.http import HttpRequestParser
from aiohttp.web_protocol import MAX_MSG_QUEUE_SIZE, _ErrInfo

from stoatpath.callers.answers import JSON_TYPE, encode_error, render_failure
from stoatpath.callers.bodies import BODY_FIELD
from stoatpath.callers.trailers import TrailerWatch
from stoatpath.outcomes import (
    BAD_REQUEST,
    HEAD_TOO_LARGE,
    HEAD_TOO_SLOW,
    INTERNAL,
    OVERLOADED,
    Failure,
    Outcome,
)
from stoatpath.utils import new_id

logger = logging.getLogger(__name__)

MAX_HEADERS = 100
LINGERING_TIME_S = 2.0
# A caller that takes less than this of an answer that waits for it is given up. That is
# 16 kbit/s; a caller that reads a byte now and then would hold an answer of up to 8 MB,
# or a stream and its backend server, for as long as it likes.
WRITE_CHECK_S = 5.0
MIN_TAKEN_BYTES = 10_000
# aiohttp reads no more of a request while twice as much waits.
READ_BUFFER_BYTES = 32 * 1024
# Bytes of an answer that may have been read from a backend server, and not yet been
# written, for a caller who reads slowly.
READ_AHEAD_BYTES = 128 * 1024
# Callers connect to send; the bytes follow the connection within a round trip.
FIRST_BYTES_S = 0.2
HEAD_FIELD = "headers"


class ConnectionLimits:
    """The limits on the number of connections and on request heads."""

    __slots__ = (
        "max_connections",
        "max_head_bytes",
        "head_timeout_ms",
        "idle_timeout_ms",
    )

    def __init__(
        self, max_connections, max_head_bytes, head_timeout_ms, idle_timeout_ms
    ):
        self.max_connections = max_connections
        self.max_head_bytes = max_head_bytes
        self.head_timeout_ms = head_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms

    @property
    def keepalive_s(self):
        """Return the keep-alive timeout in seconds."""
        return self.idle_timeout_ms / 1000

    @classmethod
    def from_settings(cls, settings):
        """Build the limits of the settings."""
        return cls(
            settings.max_connections,
            settings.max_header_bytes,
            settings.header_timeout_ms,
            settings.idle_timeout_ms,
        )


class CallerConnection(web.RequestHandler):
    """One connection of a caller.

    With `has_uncertain_head`, the head of the request that is handled may begin with a
    trailer of the one before it.
    """

    __slots__ = (
        "has_uncertain_head",
        "_server",
        "_new_parser",
        "_trailers",
        "_accepted_s",
        "_head_timer",
        "_head_bytes",
        "_has_received_head",
        "_write_timer",
        "_waiting_bytes",
    )

    def __init__(self, server, **options):
        super().__init__(server, **options)
        self.has_uncertain_head = False
        self._new_parser = functools.partial(
            HttpRequestParser,
            self,
            options["loop"],
            options["read_bufsize"],
            max_line_size=options["max_line_size"],
            max_field_size=options["max_field_size"],
            max_headers=options["max_headers"],
            payload_exception=web.RequestPayloadError,
            auto_decompress=options["auto_decompress"],
            max_msg_queue_size=MAX_MSG_QUEUE_SIZE,
        )
        self._trailers = TrailerWatch()
        self._accepted_s = self._loop.time()
        self._server = server
        self._head_timer = None
        self._head_bytes = 0
        self._has_received_head = False
        self._write_timer = None
        self._waiting_bytes = 0

    @property
    def is_last_answer(self):
        """Return whether the connection is to be closed after the current response.

        If the instance stops, it is, but requests that have followed are answered.
        """
        return self._server.is_leaving and not self._messages

    @property
    def is_idle(self):
        """Return whether no unanswered request has arrived, not even a part of one.

        A request that aiohttp has parsed, but not passed to its handler yet, is not
        registered anywhere else. One that is still in the kernel's buffer would be lost
        with a reset if the connection were closed, and so would the first one of a new
        connection, which is on its way.
        """
        if not self._is_awaiting_head() or self._head_bytes:
            return False
        if not self._has_received_head:
            if self._loop.time() < self._accepted_s + FIRST_BYTES_S:
                return False
        return not _unread_bytes(self.transport)

    def _is_awaiting_head(self):
        if self._messages:
            return False
        if self._waiter is None:
            return not self._has_received_head
        return not self._waiter.done()

    def connection_made(self, transport):
        """Accept a connection, unless there are too many or the server stopped."""
        if self._server.is_stopped:
            # It was taken from the backlog as the listener closed: nobody serves it.
            transport.abort()
            return
        super().connection_made(transport)
        limits = self._server.limits
        if len(self._server.connections) > limits.max_connections:
            self._refuse(Failure(OVERLOADED, "too many connections"))

    def pause_writing(self):
        """Watch how much the caller takes while answers wait for it."""
        super().pause_writing()
        self._server.paused.add(self)
        if self._write_timer is None:
            self._watch_writing()

    def resume_writing(self):
        """Stop watching: the caller has taken nearly all of it."""
        super().resume_writing()
        self._server.paused.discard(self)
        self._end_write_watch()

    def waiting_bytes(self):
        """Return the bytes in the write buffer."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def _watch_writing(self):
        # The transport counts what waits; what is written meanwhile isn't known, but
        # writers wait while it is paused.
        self._waiting_bytes = self._untaken_bytes()
        self._write_timer = self._loop.call_later(WRITE_CHECK_S, self._check_writing)

    def _untaken_bytes(self):
        """Return the bytes here and in the kernel, which takes more in large steps."""
        waiting_bytes = self.transport.get_write_buffer_size()
        return waiting_bytes + _kernel_bytes(self.transport, termios.TIOCOUTQ)

    def _check_writing(self):
        self._write_timer = None
        if self.transport is None:
            return
        taken = self._waiting_bytes - self._untaken_bytes()
        if taken >= MIN_TAKEN_BYTES:
            self._watch_writing()
            return
        logger.info(
            "callers.stalled",
            extra={"taken": taken, "waiting": self.transport.get_write_buffer_size()},
        )
        self.transport.abort()

    def _end_write_watch(self):
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None

    def connection_lost(self, exc):
        """Cancel the timers: no more bytes will arrive, and none are taken."""
        self._server.paused.discard(self)
        self._end_write_watch()
        self.reset_head()
        super().connection_lost(exc)

    def data_received(self, data):
        """Parse bytes, and apply the limits on the head that they may belong to."""
        if self._trailers.may_hold_trailer and self._is_between_requests():
            self._parser = self._new_parser()
            self._trailers.reset()
        self._trailers.record_bytes(data)
        super().data_received(data)
        if self._messages and isinstance(self._messages[-1][0], _ErrInfo):
            self._fail_body(self._messages[-1][0])
        if not self._is_awaiting_head():
            self.reset_head()
            return
        if self._head_timer is None:
            self._start_head_timer()
        self._head_bytes += len(data)
        if self._head_bytes > self._server.limits.max_head_bytes:
            limit = self._server.limits.max_head_bytes
            detail = f"the request's head is larger than {limit} bytes"
            self._refuse(Failure(HEAD_TOO_LARGE, detail, field=HEAD_FIELD))

    def _is_between_requests(self):
        """Return whether all requests that have begun to arrive are answered."""
        return self._is_awaiting_head() and self._trailers.is_after_empty_line

    def _fail_body(self, error):
        """Let the reader of an open body know that the rest of it can't be parsed.

        aiohttp tells only the reader of the next request.
        """
        request = self._current_request
        if request is not None and not request.content.is_eof():
            request.content.set_exception(web.RequestPayloadError(error.message))

    def complete_head(self, is_chunked=False):
        """Record that a head is complete and its request is about to be handled."""
        self._has_received_head = True
        self.has_uncertain_head = self._trailers.may_hold_trailer
        self._trailers.record_request(is_chunked)
        self.reset_head()

    def reset_head(self):
        """Reset the size and the timer of the current head."""
        self._head_bytes = 0
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the response to invalid HTTP or to an exception in a handler."""
        if status == HTTPStatus.BAD_REQUEST:
            failure = _build_parse_failure(exc)
        else:
            self.log_exception("caller.handler-failed", exc_info=exc)
            if request.writer.output_size > 0:
                # Another response would be read as a part of the one that has begun.
                self._abort_begun()
            failure = Failure(INTERNAL, "the router failed", Outcome.UNKNOWN)
        response = render_failure(failure, new_id("req"), 0.0)
        response.force_close()
        return response

    def _abort_begun(self):
        if self.transport is not None:
            self.transport.abort()

    def log_exception(self, *args, **options):
        """Log an exception, unless it is an invalid body: that has been answered."""
        if not isinstance(options.get("exc_info"), web.RequestPayloadError):
            super().log_exception(*args, **options)

    def _process_keepalive(self):
        """Apply the current keep-alive timeout, which a reload may have changed."""
        idle_since_s = self._next_keepalive_close_time - self.keepalive_timeout
        close_at_s = idle_since_s + self._server.limits.keepalive_s
        if self._loop.time() < close_at_s:
            self._keepalive_handle = self._loop.call_at(
                close_at_s, self._process_keepalive
            )
        else:
            super()._process_keepalive()

    def _start_head_timer(self):
        timeout_s = self._server.limits.head_timeout_ms / 1000
        self._head_timer = self._loop.call_later(timeout_s, self._on_head_timeout)

    def _on_head_timeout(self):
        self._head_timer = None
        timeout_ms = self._server.limits.head_timeout_ms
        detail = f"the request's head took longer than {timeout_ms} ms"
        self._refuse(Failure(HEAD_TOO_SLOW, detail, field=HEAD_FIELD))

    def _refuse(self, failure):
        self.reset_head()
        if self.transport is not None:
            self.transport.write(_encode_response(failure))
        self.force_close()


class CallerServer(web.Server):
    """Creates the protocol of each caller connection and tracks open connections.

    With `decompresses_bodies`, content codings of request bodies are undone. `paused`
    holds the connections whose callers read slowly.
    """

    def __init__(self, handler, limits, decompresses_bodies=True):
        super().__init__(handler, handler_cancellation=True)
        self.limits = limits
        self.paused = set()
        self._decompresses_bodies = decompresses_bodies
        self.is_leaving = False
        self.is_stopped = False

    def waiting_bytes(self):
        """Return the bytes that are held for callers who read slowly.

        Beyond what waits to be written, more of each answer may have been read.
        """
        return sum(
            connection.waiting_bytes() + READ_AHEAD_BYTES for connection in self.paused
        )

    async def shutdown(self, timeout=None):
        """Close all connections, and those that are still to be accepted."""
        self.is_stopped = True
        await super().shutdown(timeout)

    def close_idle(self):
        """Close the connections without an unanswered request."""
        for connection in self.connections:
            if connection.is_idle:
                # close() of aiohttp leaves an idle connection open but reads no more
                # requests from it.
                connection.force_close()

    def has_unanswered(self):
        """Return whether an open connection has a request without an answer."""
        return any(
            connection.transport is not None and not connection.is_idle
            for connection in self.connections
        )

    def __call__(self):
        """Return the protocol of a new connection."""
        return CallerConnection(
            self,
            loop=self._loop,
            access_log=None,
            max_line_size=self.limits.max_head_bytes,
            max_field_size=self.limits.max_head_bytes,
            max_headers=MAX_HEADERS,
            lingering_time=LINGERING_TIME_S,
            keepalive_timeout=self.limits.keepalive_s,
            auto_decompress=self._decompresses_bodies,
            read_bufsize=READ_BUFFER_BYTES,
        )

    def _make_request(self, message, payload, protocol, writer, task):
        protocol.complete_head(message.chunked)
        return super()._make_request(message, payload, protocol, writer, task)


def _unread_bytes(transport):
    """Return how many bytes are in the kernel's receive buffer of a connection."""
    return _kernel_bytes(transport, termios.FIONREAD)


def _kernel_bytes(transport, query):
    connection = None if transport is None else transport.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return 0
    count = array.array("i", [0])
    fcntl.ioctl(connection.fileno(), query, count)
    return count[0]


def _build_parse_failure(exc):
    """Return the failure for bytes that the HTTP parser rejected."""
    message_lines = str(getattr(exc, "message", "")).strip().splitlines()
    detail = (
        message_lines[0].rstrip(":") if message_lines else "the request is not HTTP/1.1"
    )
    if isinstance(exc, http_exceptions.LineTooLong) or "Too many" in detail:
        return Failure(HEAD_TOO_LARGE, detail, field=HEAD_FIELD)
    field = BODY_FIELD if "chunk" in detail else HEAD_FIELD
    return Failure(BAD_REQUEST, detail, field=field)


def _encode_response(failure):
    status = failure.reason.status
    request_id = new_id("req")
    body = encode_error(failure, request_id)
    lines = (
        f"HTTP/1.1 {status} {HTTPStatus(status).phrase}",
        f"Content-Type: {JSON_TYPE}",
        f"Content-Length: {len(body)}",
        f"Stoatpath-Request-Id: {request_id}",
        f"Stoatpath-Outcome: {failure.outcome.value}",
        *(["Retry-After: 1"] if status == HTTPStatus.SERVICE_UNAVAILABLE else []),
        "Connection: close",
        "",
        "",
    )
    return "\r\n".join(lines).encode() + body

"""Sends requests to backend servers and decodes the heads of their answers."""

import asyncio
import logging
import math
import socket
from http import HTTPStatus

import aiohttp
from yarl import URL

from stoatpath.backpressure.messages import BackendSignals, decode_hold_off_ms
from stoatpath.callers.relay_messages import AnswerHead
from stoatpath.configuration.routes import MODEL_SERVICE
from stoatpath.dispatch.checks import is_truncation_detectable
from stoatpath.dispatch.connections import accepts_connections
from stoatpath.dispatch.last_checks import CheckedRequest
from stoatpath.heads import expects_continue, is_utf8, use_exact_heads
from stoatpath.platform import names
from stoatpath.platform.fields import read_integer
from stoatpath.response_handlers import build_connector
from stoatpath.utils import decode_json

logger = logging.getLogger(__name__)

EVENT_STREAM = "text/event-stream"
# A round trip between availability zones takes 3 ms. TCP retransmits a lost SYN only
# after seconds, so trying another backend server is faster.
CONNECT_TIMEOUT_MS = 400
# Keep-alive probes detect an unresponsive peer of an idle connection within 3 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Linux applies this timeout to keep-alive probes too, in place of their number. A
# healthy backend server may fall silent for a second or so.
UNACKNOWLEDGED_TIMEOUT_MS = 3_000
# aiohttp reads no more of an answer while twice as much waits.
READ_BUFFER_BYTES = 16 * 1024
MAX_PRIORITY = 9
# A backend server that names no request at all still gets one now and then, since only
# an answer can tell that its limit has ended.
MIN_LIMIT_PER_S = 0.05
MAX_LIMIT_PER_S = 1e6
MAX_CONFIDENCE = 100.0
MAX_LOGGED_CHARS = 40
DROPPED_HEADERS = names.HOP_HEADERS | {
    names.ANSWERED_BY.lower(),
    names.UNFRAMED.lower(),
}
# A process is asked who it is as soon as its connection has ended. One that has no free
# slot answers later; by then another one may be listed under its address.
IDENTITY_TIMEOUT_MS = 500
# A backend server resets connections beyond those that it takes.
IDENTITY_CALLS = 2
MAX_REPORT_BYTES = 65_536
SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
# Not forwarded: the router sets these itself for each request, or consumes them.
REPLACED_HEADERS = frozenset(
    name.lower()
    for name in (
        "Authorization",
        "Content-Length",
        names.DEADLINE_MS,
        names.FORWARDED,
        names.LAST_EVENT_ID,
        names.MODEL,
    )
)


class BackendClient:
    """Sends each request on a new connection, without reuse.

    A reused connection could deliver the late answer of an earlier request, or close
    while idle and leave it uncertain whether a request was run.
    """

    __slots__ = ("_session", "calls")

    def __init__(self):
        self._session = None
        self.calls = 0

    async def start(self):
        """Create the HTTP client."""
        use_exact_heads()
        connector = build_connector(
            limit=0, force_close=True, socket_factory=create_socket
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            request_class=CheckedRequest,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_MS / 1000
            ),
        )
        # aiohttp retries idempotent methods when a connection closes. It has no
        # public option to disable that.
        self._session._retry_connection = False

    async def close(self):
        """Close the client and its open connections."""
        if self._session is not None:
            await self._session.close()

    def open(self, attempt, remaining_ms):
        """Send an attempt; return an async context manager of the aiohttp response."""
        return self._open(attempt, _build_headers(attempt, remaining_ms))

    def forward(self, attempt, remaining_ms):
        """Send an attempt to another instance, as the caller would; return the same."""
        return self._open(attempt, _build_forwarded_headers(attempt, remaining_ms))

    def _open(self, attempt, headers):
        request = attempt.request
        self.calls += 1
        connect_ms = CONNECT_TIMEOUT_MS
        if attempt.connect_timeout_ms is not None:
            connect_ms = min(connect_ms, attempt.connect_timeout_ms)
        return self._session.request(
            request.method,
            _build_url(attempt.backend.address, request.path),
            headers=headers,
            data=request.body or None,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_ms / 1000),
        )

    async def is_reachable(self, address):
        """Return whether an address accepts a connection; no request is sent."""
        self.calls += 1
        return await accepts_connections(address, CONNECT_TIMEOUT_MS)

    async def is_running(self, backend, service):
        """Return whether the listed process of a backend server answers.

        One that was started again in its place, under its name or another, is told from
        it by what it says of itself. One that accepts connections and is slow to answer
        counts as running: without a process, connections are refused.
        """
        why = ""
        for _ in range(IDENTITY_CALLS):
            try:
                async with asyncio.timeout(IDENTITY_TIMEOUT_MS / 1000):
                    if await self._ask_identity(backend, service):
                        return True
                why = "another process answered"
                break
            except aiohttp.ConnectionTimeoutError:
                why = "its address doesn't respond"
            except TimeoutError:
                return True
            except (aiohttp.ClientError, OSError, ValueError) as error:
                why = type(error).__name__
        logger.info("backends.not-running", extra={"backend": backend.name, "why": why})
        return False

    async def _ask_identity(self, backend, service):
        self.calls += 1
        path = service.health_path
        if service.kind == MODEL_SERVICE:
            path = names.REPORT_PATH
        if not path:
            if not await self.is_reachable(backend.address):
                raise ConnectionError
            return True
        async with self._session.get(
            _build_url(backend.address, path),
            headers={names.EXPECT_REPLICA: backend.name},
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_MS / 1000
            ),
        ) as response:
            name = response.headers.get(names.REPLICA_ID, backend.name)
            if response.status == names.MISDIRECTED_STATUS or name != backend.name:
                return False
            if path != names.REPORT_PATH or response.status != HTTPStatus.OK:
                # One that has no room rejects the question without its name.
                return True
            report = decode_json(await _read_at_most(response, MAX_REPORT_BYTES))
            return _may_be_born(report, backend.entry.born)


async def _read_at_most(response, max_bytes):
    """Return a body, or more than `max_bytes` bytes of it."""
    body = b""
    while len(body) <= max_bytes and (chunk := await response.content.readany()):
        body += chunk
    return body


def _build_url(address, target):
    """Return the URL of a target, which is sent as it came.

    Parsed, an empty query and a fragment would be lost.
    """
    host, _, port = address.rpartition(":")
    return URL.build(
        scheme="http",
        host=host.strip("[]"),
        port=int(port),
        path=target,
        encoded=True,
    )


def _may_be_born(report, born):
    """Return whether a report may be of the process that was born at a time in ms.

    One that can't be decoded says nothing of that.
    """
    if not isinstance(report, dict):
        return True
    reported = read_integer(report, "born", 0, default=None)
    return born is None or reported is None or reported == born


def decode_head(response):
    """Return the `AnswerHead` of a response."""
    headers = response.headers
    dropped = _connection_header_names(headers) | DROPPED_HEADERS
    is_framed = is_truncation_detectable(response.method, response)
    return AnswerHead(
        response.status,
        headers.get(names.ATTEMPT_ID),
        names.SEAL in headers,
        names.NOT_EXECUTED in headers,
        response.status == names.MISDIRECTED_STATUS,
        "Content-Encoding" in headers,
        not is_framed or names.UNFRAMED in headers,
        headers.get("Content-Type", "").startswith(EVENT_STREAM),
        _decode_confidence(headers.get(names.CONFIDENCE)),
        _decode_signals(response.status, headers),
        headers.get(names.ANSWERED_BY, ""),
        [
            (name, value)
            for name, value in headers.items()
            if name.lower() not in dropped and name.lower() != "content-length"
        ],
    )


def name_backend(head, backend):
    """Add the name of the backend server to the head of a forwarded answer.

    Between instances each answer has a length or chunks; that it had none is added too.
    """
    head.headers.append((names.ANSWERED_BY, backend.name))
    if head.is_unframed:
        head.headers.append((names.UNFRAMED, "1"))
        head.is_unframed = False


def forwarded_headers(headers):
    """Return the end-to-end headers of a caller, without those that the router sets.

    The name of a model that is not UTF-8 is no model's; it passes as it came. So does
    an expectation that the router doesn't meet itself.
    """
    dropped = _connection_header_names(headers) | names.HOP_HEADERS
    dropped |= names.ROUTER_HEADERS | REPLACED_HEADERS
    if not is_utf8(headers.get(names.MODEL, "")):
        dropped -= {names.MODEL.lower()}
    if expects_continue(headers):
        dropped |= {"expect"}
    return [
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    ]


def _build_headers(attempt, remaining_ms):
    request = attempt.request
    headers = _build_common_headers(attempt, remaining_ms)
    headers.append((names.EXPECT_REPLICA, attempt.backend.name))
    if request.organisation is not None:
        headers.append((names.TENANT, request.organisation.name))
    if request.prompt.model:
        priority = min(MAX_PRIORITY, max(0, request.priority))
        headers.append((names.REQUEST_PRIORITY, str(priority)))
        headers.append((names.MODEL, attempt.version.name))
    return headers


def _build_forwarded_headers(attempt, remaining_ms):
    request = attempt.request
    headers = _build_common_headers(attempt, remaining_ms)
    headers.append((names.FORWARDED, str(request.run_count)))
    if request.key:
        headers.append(("Authorization", f"{names.KEY_SCHEME}{request.key}"))
    if request.prompt.model:
        headers.append((names.MODEL, request.prompt.model))
    return headers


def _build_common_headers(attempt, remaining_ms):
    request = attempt.request
    headers = list(request.headers)
    headers.append((names.DEADLINE_MS, str(max(1, int(remaining_ms)))))
    last_event_id = request.last_event_id
    if attempt.relay is not None and attempt.relay.last_event_id:
        last_event_id = attempt.relay.last_event_id
    if last_event_id:
        headers.append((names.LAST_EVENT_ID, last_event_id))
    return headers


def _connection_header_names(headers):
    """Return the names of the hop-by-hop headers that a `Connection` header lists."""
    text = ",".join(headers.getall("Connection", ()))
    return {name.strip().lower() for name in text.split(",")}


def _decode_signals(status, headers):
    """Return the `BackendSignals` of a head."""
    unreadable = []
    limit_text = headers.get(names.SERVER_LIMIT)
    limit_per_s = _decode_limit(limit_text)
    if limit_text is not None and limit_per_s is None:
        unreadable.append(f"{names.SERVER_LIMIT}: {limit_text[:MAX_LOGGED_CHARS]}")
    hold_off_text = headers.get(names.RETRY_AFTER)
    hold_off_ms, is_readable = decode_hold_off_ms(status, hold_off_text)
    if not is_readable:
        unreadable.append(f"{names.RETRY_AFTER}: {hold_off_text[:MAX_LOGGED_CHARS]}")
    is_leaving = headers.get(names.SERVER_LEAVING, "").strip() == "1"
    return BackendSignals(
        limit_per_s,
        hold_off_ms,
        is_leaving,
        unreadable,
        max_rejections_per_s=_decode_rejections(headers.get(names.SERVER_BRITTLE)),
    )


def _decode_rejections(text):
    """Return a number of rejections; 0, the most cautious, if the text is not one."""
    if text is None:
        return None
    try:
        per_s = float(text)
    except ValueError:
        return 0.0
    return per_s if math.isfinite(per_s) and per_s >= 0.0 else 0.0


def _decode_limit(text):
    """Return requests per second within bounds, or None if the text names none."""
    try:
        per_s = float(text)
    except (TypeError, ValueError):
        return None
    if not math.isfinite(per_s) or per_s < 0.0:
        return None
    return min(MAX_LIMIT_PER_S, max(MIN_LIMIT_PER_S, per_s))


def _decode_confidence(text):
    """Return a confidence from 0 to 100, or None if the text is not one."""
    try:
        confidence = float(text)
    except (TypeError, ValueError):
        return None
    return confidence if 0.0 <= confidence <= MAX_CONFIDENCE else None


def create_socket(address):
    """Return the socket of a new connection, with its timeouts; for aiohttp."""
    family, kind, protocol, _, _ = address
    new_socket = socket.socket(family, kind, protocol)
    new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    new_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    new_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )
    return new_socket

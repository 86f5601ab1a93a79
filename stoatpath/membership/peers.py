"""The HTTP server and client through which members exchange signed JSON messages."""

import asyncio
import errno
import logging

import aiohttp
from aiohttp import web

from stoatpath.membership.signatures import (
    NONCE_HEADER,
    SIGNATURE_HEADER,
    NonceFilter,
    PeerSigner,
    answer_topic,
    new_nonce,
)
from stoatpath.outcomes import CONNECT_FAILED, CONNECTION_REFUSED, Failure, Outcome
from stoatpath.response_handlers import build_connector
from stoatpath.servers import HttpServer
from stoatpath.tls import url_scheme
from stoatpath.utils import decode_json, encode_json, read_until_silence

logger = logging.getLogger(__name__)

PEER_TIMEOUT_MS = 1_000
# A lost packet on a slow link is sent again after 200 to 400 ms.
BODY_SILENCE_MS = 500
MAX_PEER_BODY_BYTES = 8 * 1024 * 1024
UNREADABLE = (ArithmeticError, AttributeError, LookupError, TypeError, ValueError)

__all__ = ["PeerClient", "PeerServer", "PeerSigner"]


class PeerServer:
    """Receives messages from other members and dispatches them by topic."""

    __slots__ = (
        "_signer",
        "_tls",
        "_clock",
        "_nonces",
        "_handlers_by_topic",
        "_server",
        "address",
        "bytes_sent",
        "bytes_read",
    )

    def __init__(self, signer, clock, tls=None):
        self._signer = signer
        self._tls = tls
        self._clock = clock
        self._nonces = NonceFilter()
        self._handlers_by_topic = {}
        self._server = None
        self.address = ""
        self.bytes_sent = 0
        self.bytes_read = 0

    def register(self, topic, handler):
        """Register the coroutine function that returns the answer to a message."""
        self._handlers_by_topic[topic] = handler

    async def start(self, address):
        """Listen on `host:port`; port 0 takes a free one."""
        routes = [web.post("/peers/v1/{topic}", self._handle)]
        self._server = HttpServer(routes, self._tls, MAX_PEER_BODY_BYTES)
        await self._server.start(address)
        self.address = self._server.address

    async def stop(self):
        """Close the listener."""
        if self._server is not None:
            await self._server.stop()

    async def _handle(self, request):
        topic = request.match_info["topic"]
        payload = await request.read()
        self.bytes_read += len(payload)
        nonce = request.headers.get(NONCE_HEADER, "")
        header = request.headers.get(SIGNATURE_HEADER, "")
        if not self._signer.verify(topic, payload, header, nonce):
            return web.Response(status=401)
        if not self._nonces.accept(nonce, self._clock.wall_ms()):
            return web.Response(status=401)
        handler = self._handlers_by_topic.get(topic)
        message = decode_json(payload)
        if handler is None or not isinstance(message, dict):
            return web.Response(status=400)
        try:
            answer = await handler(message)
        except UNREADABLE as error:
            extra = {"topic": topic, "why": repr(error)}
            logger.warning("membership.message-unreadable", extra=extra)
            return web.Response(status=400)
        return self._respond(topic, answer, nonce, header)

    def _respond(self, topic, answer, nonce, request_signature):
        body = encode_json(answer)
        self.bytes_sent += len(body)
        signature = self._signer.sign_answer(topic, body, nonce, request_signature)
        return web.Response(
            body=body,
            content_type="application/json",
            headers={SIGNATURE_HEADER: signature},
        )


class PeerClient:
    """Sends messages to other members, and counts the bytes sent and read."""

    __slots__ = ("_signer", "_tls", "_clock", "_session", "bytes_sent", "bytes_read")

    def __init__(self, signer, clock, tls=None):
        self._signer = signer
        self._tls = tls
        self._clock = clock
        self._session = None
        self.bytes_sent = 0
        self.bytes_read = 0

    async def ask(
        self,
        address,
        topic,
        message,
        timeout_ms=PEER_TIMEOUT_MS,
        total_ms=None,
        on_progress=None,
    ):
        """Send a message; return the decoded answer of the member, or a failure.

        With `total_ms`, `timeout_ms` limits only the time until the answer begins. Its
        bytes may then arrive until `total_ms`, without a gap of `BODY_SILENCE_MS`, and
        `on_progress` is called as they do.
        The reason `CONNECTION_REFUSED` means that no process listens at the address.
        """
        payload = encode_json(message)
        try:
            return await self._exchange(
                address, topic, payload, timeout_ms, total_ms, on_progress
            )
        except aiohttp.ClientConnectorError as error:
            is_refused = error.os_error.errno == errno.ECONNREFUSED
            reason = CONNECTION_REFUSED if is_refused else CONNECT_FAILED
            return Failure(reason, type(error).__name__)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            return Failure(CONNECT_FAILED, type(error).__name__, Outcome.UNKNOWN)

    async def _exchange(
        self, address, topic, payload, timeout_ms, total_ms, on_progress
    ):
        if self._session is None:
            connector = build_connector(limit=0, ssl=self._tls or True)
            self._session = aiohttp.ClientSession(
                connector=connector,
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            )
        nonce = new_nonce(self._clock.wall_ms())
        headers = {
            NONCE_HEADER: nonce,
            SIGNATURE_HEADER: self._signer.sign(topic, payload, nonce),
        }
        self.bytes_sent += len(payload)
        url = f"{url_scheme(self._tls)}://{address}/peers/v1/{topic}"
        if total_ms is None:
            timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000)
        else:
            start_s = timeout_ms / 1000
            timeout = aiohttp.ClientTimeout(
                total=total_ms / 1000, sock_connect=start_s, sock_read=start_s
            )
        async with self._session.post(
            url, data=payload, headers=headers, timeout=timeout
        ) as response:
            silence_ms = timeout_ms if total_ms is None else BODY_SILENCE_MS
            body = await read_until_silence(
                response.content, MAX_PEER_BODY_BYTES, silence_ms, on_progress
            )
            signature = response.headers.get(SIGNATURE_HEADER, "")
        self.bytes_read += len(body)
        if response.status != 200:
            detail = f"{topic}: status {response.status}"
            return Failure(CONNECT_FAILED, detail, Outcome.UNKNOWN)
        answer = decode_json(body)
        is_signed = self._signer.verify(answer_topic(topic), body, signature, nonce)
        if not is_signed or not isinstance(answer, dict):
            detail = f"{topic}: an answer that is not signed or no JSON object"
            return Failure(CONNECT_FAILED, detail, Outcome.UNKNOWN)
        return answer

    async def close(self):
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

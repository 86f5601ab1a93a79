"""HTTP with JSON between members: a listener for topics, and a client."""

import asyncio
import hashlib
import hmac

import aiohttp
from aiohttp import web

from stoatpath.outcomes import CONNECT_FAILED, Failure, Outcome
from stoatpath.servers import HttpServer
from stoatpath.tls import scheme
from stoatpath.utils import decode_json, encode_json

PEER_TIMEOUT_MS = 1_000
MAX_PEER_BODY_BYTES = 8 * 1024 * 1024
SIGNATURE_HEADER = "Stoatpath-Peer-Signature"


class PeerSigner:
    """Signs messages between members with a shared key; all keys verify."""

    __slots__ = ("_keys_by_id",)

    def __init__(self, keys_by_id):
        self._keys_by_id = {key_id: key.encode() for key_id, key in keys_by_id.items()}

    def sign(self, topic, payload):
        """Return the signature header of a message."""
        if not self._keys_by_id:
            return ""
        key_id = list(self._keys_by_id)[-1]
        return f"{key_id}:{self._digest(key_id, topic, payload)}"

    def verify(self, topic, payload, header):
        """Return whether a message was signed with one of the shared keys."""
        if not self._keys_by_id:
            return True
        key_id, _, digest = header.partition(":")
        if key_id not in self._keys_by_id:
            return False
        expected = self._digest(key_id, topic, payload)
        return hmac.compare_digest(expected.encode(), digest.encode())

    def _digest(self, key_id, topic, payload):
        message = topic.encode() + b"\n" + payload
        return hmac.new(self._keys_by_id[key_id], message, hashlib.sha256).hexdigest()


class PeerServer:
    """Listens for messages of other members and hands them to their topic."""

    __slots__ = ("_signer", "_tls", "_handlers_by_topic", "_server", "address")

    def __init__(self, signer, tls=None):
        self._signer = signer
        self._tls = tls
        self._handlers_by_topic = {}
        self._server = None
        self.address = ""

    def register(self, topic, handler):
        """Have `await handler(message)` answer the messages of a topic."""
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
        header = request.headers.get(SIGNATURE_HEADER, "")
        if not self._signer.verify(topic, payload, header):
            return web.Response(status=401)
        handler = self._handlers_by_topic.get(topic)
        message = decode_json(payload)
        if handler is None or not isinstance(message, dict):
            return web.Response(status=400)
        answer = await handler(message)
        return web.Response(body=encode_json(answer), content_type="application/json")


class PeerClient:
    """Sends messages to other members and counts bytes."""

    __slots__ = ("_signer", "_tls", "_session", "bytes_sent", "bytes_read")

    def __init__(self, signer, tls=None):
        self._signer = signer
        self._tls = tls
        self._session = None
        self.bytes_sent = 0
        self.bytes_read = 0

    async def ask(self, address, topic, message, timeout_ms=PEER_TIMEOUT_MS):
        """Return the decoded answer of a member, or a failure."""
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0, ssl=self._tls or True)
            self._session = aiohttp.ClientSession(connector=connector)
        payload = encode_json(message)
        headers = {SIGNATURE_HEADER: self._signer.sign(topic, payload)}
        self.bytes_sent += len(payload)
        url = f"{scheme(self._tls)}://{address}/peers/v1/{topic}"
        timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000)
        try:
            async with self._session.post(
                url, data=payload, headers=headers, timeout=timeout
            ) as response:
                body = await response.read()
        except aiohttp.ClientConnectorError as error:
            return Failure(CONNECT_FAILED, type(error).__name__)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            return Failure(CONNECT_FAILED, type(error).__name__, Outcome.UNKNOWN)
        self.bytes_read += len(body)
        answer = decode_json(body) if response.status == 200 else None
        if answer is None:
            detail = f"{topic}: status {response.status}"
            return Failure(CONNECT_FAILED, detail, Outcome.UNKNOWN)
        return answer

    async def close(self):
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

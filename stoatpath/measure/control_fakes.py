"""Fake peers, table and backend servers for one real node.

They run in a separate thread, so that the processor time of the node's thread is
that of the node alone. Each fake peer has its own loopback address.
"""

import asyncio
import random
import threading

import aiohttp
from aiohttp import web

from stoatpath.clock import Clock
from stoatpath.membership.messages import LIVE, Member
from stoatpath.membership.signatures import (
    NONCE_HEADER,
    SIGNATURE_HEADER,
    PeerSigner,
    new_nonce,
)
from stoatpath.standins.tables import TableStandin
from stoatpath.utils import decode_json, encode_json

KEYS = {"1": "measured-peer-key"}
ROLES = ("router", "controller")
ZONES = ("a", "b", "c", "d", "e", "f", "g", "h")
STATUS_LINE_BYTES = 17
LOAD_REPORT = {
    "versions": ["tern-small@1", "tern-small@2"],
    "running": 3,
    "slots": 32,
    "leaving": False,
    "token_ms": 20.0,
}


def peer_host(index):
    """Return the loopback address of a fake peer or backend server."""
    return f"127.1.{index // 250}.{index % 250 + 1}"


class FakeSite:
    """Fake peers that exchange gossip, and fake backend servers that report load.

    `bytes_moved` counts the HTTP bytes of peer messages, `bytes_polled` of load polls.
    """

    __slots__ = (
        "table",
        "table_url",
        "port",
        "polls",
        "bytes_polled",
        "bytes_moved",
        "exchanges",
        "node_address",
        "_peer_count",
        "_signer",
        "_members",
        "_loop",
        "_thread",
        "_ready",
        "_stop_requested",
        "_revision",
        "_random",
        "_response_head_bytes",
    )

    def __init__(self, peer_count, seed):
        self.table = TableStandin()
        self.table_url = ""
        self.port = 0
        self.polls = 0
        self.bytes_polled = 0
        self.bytes_moved = 0
        self.exchanges = 0
        self.node_address = ""
        self._peer_count = peer_count
        self._signer = PeerSigner(KEYS)
        self._members = []
        self._loop = None
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._ready = threading.Event()
        self._stop_requested = None
        self._revision = 0
        self._random = random.Random(seed)
        self._response_head_bytes = 0

    def start(self):
        """Start the thread; return once all servers listen."""
        self._thread.start()
        self._ready.wait()

    def stop(self):
        """Stop the servers and the thread."""
        self._loop.call_soon_threadsafe(self._stop_requested.set)
        self._thread.join()

    def members(self):
        """Return the fake peers as members."""
        return [Member.from_json(member.to_json()) for member in self._members]

    def _run(self):
        asyncio.run(self._main())

    async def _main(self):
        self._loop = asyncio.get_running_loop()
        self._stop_requested = asyncio.Event()
        app = web.Application()
        app.add_routes(
            [
                web.post("/peers/v1/{topic}", self._answer_peer),
                web.get("/v1/load", self._answer_load_poll),
            ]
        )
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "0.0.0.0", 0).start()
        self.port = runner.addresses[0][1]
        self.table_url = await self.table.start()
        for index in range(self._peer_count):
            host = peer_host(index)
            role = ROLES[index % len(ROLES)]
            address = f"{host}:{self.port}"
            zone = ZONES[index % len(ZONES)]
            self._members.append(
                Member(f"{role}-{index}", role, address, zone, 1_700_000_000_000, LIVE)
            )
        self._ready.set()
        gossip_task = asyncio.create_task(self._send_gossip())
        await self._stop_requested.wait()
        gossip_task.cancel()
        await asyncio.gather(gossip_task, return_exceptions=True)
        await runner.cleanup()
        await self.table.stop()

    async def _send_gossip(self):
        """Send gossip to the node as a real site does: about one probe a second."""
        async with aiohttp.ClientSession() as session:
            url = f"http://127.0.0.1:{self.port}/v1/load"
            async with session.get(url) as response:
                self._response_head_bytes = _head_bytes_of(
                    response.raw_headers, STATUS_LINE_BYTES
                )
            while True:
                await asyncio.sleep(self._random.uniform(0.5, 1.5))
                if self.node_address and self._members:
                    await self._send_gossip_message(
                        session, self._random.choice(self._members)
                    )

    async def _send_gossip_message(self, session, member):
        payload = encode_json(self._gossip_message(member))
        nonce = new_nonce(Clock().wall_ms())
        headers = {
            NONCE_HEADER: nonce,
            SIGNATURE_HEADER: self._signer.sign("gossip", payload, nonce),
        }
        url = f"http://{self.node_address}/peers/v1/gossip"
        async with session.post(url, data=payload, headers=headers) as response:
            body = await response.read()
            request_headers = response.request_info.headers.items()
            line_bytes = len(f"POST {response.url.path} HTTP/1.1") + 2
            self.bytes_moved += len(payload) + _head_bytes_of(
                request_headers, line_bytes
            )
            self.bytes_moved += len(body)
            self.bytes_moved += _head_bytes_of(response.raw_headers, STATUS_LINE_BYTES)
        self.exchanges += 1

    def _gossip_message(self, member):
        updates = self._random.sample(self._members, min(2, len(self._members)))
        return {
            "from": member.to_json(),
            "digest": "0" * 16,
            "members": [each.to_json() for each in updates],
            "topics": {"configuration": {"revision": self._revision, "age_ms": 900}},
        }

    async def _answer_peer(self, request):
        payload = await request.read()
        topic = request.match_info["topic"]
        message = decode_json(payload)
        host = request.host
        member = next((each for each in self._members if each.address == host), None)
        if topic == "gossip" and member is not None:
            answer = self._gossip_message(member)
            answer["digest"] = message["digest"]
        else:
            answer = {"members": [], "revision": 0, "age_ms": 0, "changes": []}
        body = encode_json(answer)
        nonce = request.headers[NONCE_HEADER]
        request_signature = request.headers[SIGNATURE_HEADER]
        signature = self._signer.sign_answer(topic, body, nonce, request_signature)
        self.bytes_moved += len(payload) + len(body) + _request_head_bytes(request)
        self.bytes_moved += (
            self._response_head_bytes + len(SIGNATURE_HEADER) + len(signature)
        )
        self.exchanges += 1
        return web.Response(
            body=body,
            content_type="application/json",
            headers={SIGNATURE_HEADER: signature},
        )

    async def _answer_load_poll(self, request):
        body = encode_json(LOAD_REPORT)
        self.polls += 1
        self.bytes_polled += (
            _request_head_bytes(request) + len(body) + self._response_head_bytes
        )
        return web.Response(body=body, content_type="application/json")


def _request_head_bytes(request):
    line_bytes = len(f"{request.method} {request.path} HTTP/1.1") + 2
    return _head_bytes_of(request.raw_headers, line_bytes)


def _head_bytes_of(headers, line_bytes):
    """Return the size of a message's start line and headers."""
    return line_bytes + 2 + sum(len(name) + len(value) + 4 for name, value in headers)

"""Callers of the soak who misuse identifiers and connections."""

import asyncio
import random

from soak_replicas import encode_head

from stoatpath.standins.deployments import HOST

ORGANISATION = "quarry"
KEY = "key-of-quarry"
ACTIONS_PER_S = 15
TIMEOUT_S = 4.0
READ_BYTES = 65_536
MAX_KEPT = 20


class OddCallers:
    """Send requests of another organisation, until they are stopped.

    `find_attempt` returns the identifier of a request of somebody else. `sent` counts
    what was sent, by kind.
    """

    def __init__(self, seed, gateways, find_attempt):
        self.sent = dict.fromkeys(("pair", "taken", "left", "pipelined", "half"), 0)
        self._rng = random.Random(f"{seed} odd")
        self._gateways = gateways
        self._find_attempt = find_attempt
        self._kept = []

    async def run(self):
        """Act at random until cancelled."""
        number = 0
        try:
            async with asyncio.TaskGroup() as tasks:
                while True:
                    await asyncio.sleep(self._rng.expovariate(ACTIONS_PER_S))
                    number += 1
                    kind = self._rng.choice(list(self.sent))
                    self.sent[kind] += 1
                    gateway = self._rng.choice(self._gateways)
                    tasks.create_task(self._act(kind, gateway, f"odd-{number}"))
        finally:
            for _, writer in self._kept:
                writer.close()

    async def _act(self, kind, gateway, name):
        attempt = name
        count = 1
        leaves_after_s = TIMEOUT_S
        if kind == "pair":
            count = 2
        elif kind == "taken":
            attempt = self._find_attempt() or name
        elif kind == "left":
            leaves_after_s = self._rng.uniform(0.0, 0.2)
        request = _encode_request(name, attempt)
        if kind == "pipelined":
            request *= 2
        elif kind == "half":
            request = request[: self._rng.randrange(1, len(request))]
        await asyncio.gather(
            *(self._send(gateway, request, leaves_after_s) for _ in range(count))
        )

    async def _send(self, gateway, request, leaves_after_s):
        """Send bytes, read what comes, and keep the connection or leave."""
        writer = None
        try:
            async with asyncio.timeout(leaves_after_s):
                reader, writer = await self._connect(gateway)
                writer.write(request)
                await reader.read(READ_BYTES)
            if len(self._kept) < MAX_KEPT:
                self._kept.append((reader, writer))
                writer = None
        except (OSError, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()

    async def _connect(self, gateway):
        if self._kept and self._rng.random() < 0.5:
            return self._kept.pop(self._rng.randrange(len(self._kept)))
        host, _, port = gateway.addresses["front"].rpartition(":")
        return await asyncio.open_connection(host, int(port))


def _encode_request(name, attempt):
    headers = {
        "Host": HOST,
        "X-Stoatpath-Attempt-Id": attempt,
        "X-Stoatpath-Deadline-Ms": int(TIMEOUT_S * 1000),
        "Authorization": f"Bearer {KEY}",
        "Content-Length": 0,
    }
    return encode_head(f"POST /look/9/{name} HTTP/1.1", headers)

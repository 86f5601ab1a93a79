"""Produces the sample logs of docs/OPERATIONS.md on a small local deployment.

Three requests fail: one is refused while the store is down, one fails after it may
have been run, and one stream is cut off.
"""

import asyncio
import sys

import aiohttp

from stoatpath import log
from stoatpath.standins.deployments import (
    CALLER_KEY,
    HOST,
    LLM_SERVICE,
    PLAIN_SERVICE,
    Deployment,
)
from stoatpath.standins.faults import Fault

REVOKE_MS = 1_000
CHAT = {
    "Accept": "text/event-stream",
    "X-Stoatpath-Model": "*",
    "X-Stoatpath-Token-Counts": "100,50",
    "X-Stoatpath-Prompt-Prefix": "aa:60,bb:40",
}


async def send(gateway, method, path, request_id, headers=()):
    """Send one request; print a connection error and go on."""
    all_headers = {
        "Host": HOST,
        "X-Stoatpath-Attempt-Id": request_id,
        "X-Stoatpath-Deadline-Ms": "4000",
        "Authorization": f"Bearer {CALLER_KEY}",
        **dict(headers),
    }
    url = f"http://{gateway.listener.address}{path}"
    async with aiohttp.ClientSession() as session:
        try:
            async with session.request(method, url, headers=all_headers) as response:
                await response.read()
        except aiohttp.ClientError as error:
            print(f"{request_id}: {error!r}", file=sys.stderr)


async def produce_logs():
    """Start a deployment and cause three requests to fail."""
    deployment = Deployment()
    await deployment.start(models=2, plain=2, gateways=0)
    gateway = await deployment.add_gateway("gateway-0", revoke_ms=REVOKE_MS)
    gateway.operator_rows._wait_ms = 200
    await deployment.wait_until_in_sync()
    await send(gateway, "GET", "/look/1", "look-served")
    for replica in deployment.replicas_by_name.values():
        if replica.service == PLAIN_SERVICE:
            replica.faults.add(Fault("serve", "reset-after"))
        if replica.service == LLM_SERVICE:
            replica.faults.add(Fault("serve", "cut", None))
            replica.events = 500
    await send(gateway, "POST", "/book/1", "book-broken")
    await send(gateway, "POST", "/chat/1", "chat-cut", CHAT.items())
    for operation in ("read", "feed", "tx"):
        deployment.store.faults.add(Fault(operation, "down", None))
    await asyncio.sleep(1.5 * REVOKE_MS / 1000)
    await send(gateway, "GET", "/look/2", "look-refused")
    await deployment.stop()


def main():
    """Write the logs to standard output."""
    log.setup("stoatpath-gateway", "gateway-0", stream=sys.stdout)
    asyncio.run(produce_logs())


if __name__ == "__main__":
    main()

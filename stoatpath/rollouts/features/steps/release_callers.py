"""Sends requests to the service without sessions of a deployment under test."""

import aiohttp

from stoatpath.standins.deployments import HOST

PAUSE_S = 0.002


async def send_lookup(gateway, number):
    """Send one idempotent request without an idempotency key."""
    headers = {"Host": HOST, "X-Stoatpath-Attempt-Id": f"attempt-{number}"}
    url = f"http://{gateway.listener.address}/open/1"
    async with aiohttp.ClientSession() as session:
        async with session.get(url, headers=headers) as response:
            await response.read()

"""Sends orders to engines, while the lease lasts until their deadline."""

import asyncio
import logging

import aiohttp

from stoatpath.outcomes import CONFLICT, CONNECT_FAILED, Failure, Outcome
from stoatpath.placement.messages import SERVE, Order
from stoatpath.tls import scheme
from stoatpath.utils import encode_json, new_id

logger = logging.getLogger(__name__)

ORDER_TIMEOUT_MS = 4_000
STALE_ORDER_STATUS = 409


class OrderSender:
    """Posts complete desired states.

    `unchecking` names the engines that obey whatever number an order carries.
    For these a new holder first waits until the last order of the former one
    is past its deadline.
    """

    __slots__ = ("_clock", "_unchecking", "_session", "_tls")

    def __init__(self, clock, unchecking, tls):
        self._clock = clock
        self._unchecking = frozenset(unchecking)
        self._session = None
        self._tls = tls

    def why_not(self, lease, engine_name):
        """Return why no order may be sent now, or an empty string."""
        now_ms = self._clock.now_ms()
        if not lease.is_held(now_ms + ORDER_TIMEOUT_MS):
            return "the lease ends before the order's deadline"
        if engine_name not in self._unchecking:
            return ""
        if now_ms < lease.claimed_ms + ORDER_TIMEOUT_MS:
            return "an order of the former holder may still be under way"
        return ""

    async def send(self, plan, lease):
        """Return the order that the engine took, or a failure."""
        if self._session is None:
            connector = aiohttp.TCPConnector(ssl=self._tls or True)
            self._session = aiohttp.ClientSession(connector=connector)
        problem = self.why_not(lease, plan.engine.name)
        if problem:
            return Failure(CONFLICT, problem)
        order = Order(
            new_id("order"),
            lease.fencing,
            sorted(plan.versions),
            SERVE,
            self._clock.wall_ms() + ORDER_TIMEOUT_MS,
        )
        url = f"{scheme(self._tls)}://{plan.engine.address}/v1/orders"
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_MS / 1000)
        try:
            async with self._session.post(
                url, data=encode_json(order.to_json()), timeout=timeout
            ) as response:
                await response.read()
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            return Failure(CONNECT_FAILED, type(error).__name__, Outcome.UNKNOWN)
        if response.status == STALE_ORDER_STATUS:
            return Failure(CONFLICT, "the engine has seen a later fencing number")
        if response.status != 200:
            return Failure(CONNECT_FAILED, f"status {response.status}")
        return order

    async def close(self):
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

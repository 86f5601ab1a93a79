"""Sends orders to engines, provided that the lease outlasts the order's deadline."""

import asyncio
import logging

import aiohttp

from stoatpath.outcomes import CONFLICT, CONNECT_FAILED, Failure, Outcome
from stoatpath.placement.messages import SERVE, Order
from stoatpath.response_handlers import build_connector
from stoatpath.tls import url_scheme
from stoatpath.utils import encode_json, new_id, read_at_most

logger = logging.getLogger(__name__)

ORDER_TIMEOUT_MS = 4_000
MAX_ANSWER_BYTES = 64 * 1024
STALE_ORDER_STATUS = 409


class OrderSender:
    """Posts orders, each with the complete desired state of one engine.

    `engines_without_fencing` names the engines that ignore fencing tokens. To these no
    order is sent until any order of the former lease holder has expired.
    """

    __slots__ = ("_clock", "_engines_without_fencing", "_session", "_tls")

    def __init__(self, clock, engines_without_fencing, tls):
        self._clock = clock
        self._engines_without_fencing = frozenset(engines_without_fencing)
        self._session = None
        self._tls = tls

    def refusal_reason(self, lease, engine_name):
        """Return the reason why no order may be sent now, or an empty string."""
        now_ms = self._clock.now_ms()
        if not lease.is_held(now_ms + ORDER_TIMEOUT_MS):
            return "the lease ends before the order's deadline"
        if engine_name not in self._engines_without_fencing:
            return ""
        if now_ms < lease.claimed_ms + ORDER_TIMEOUT_MS:
            return "an order of the former holder may still be under way"
        return ""

    async def send(self, plan, lease):
        """Return the order that the engine accepted, or a failure."""
        if self._session is None:
            connector = build_connector(ssl=self._tls or True)
            self._session = aiohttp.ClientSession(connector=connector)
        refusal = self.refusal_reason(lease, plan.engine.name)
        if refusal:
            return Failure(CONFLICT, refusal)
        order = Order(
            new_id("order"),
            lease.fencing,
            sorted(plan.versions),
            SERVE,
            self._clock.wall_ms() + ORDER_TIMEOUT_MS,
        )
        url = f"{url_scheme(self._tls)}://{plan.engine.address}/v1/orders"
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_MS / 1000)
        try:
            async with self._session.post(
                url, data=encode_json(order.to_json()), timeout=timeout
            ) as response:
                await read_at_most(response.content, MAX_ANSWER_BYTES)
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

"""Callers behind a load balancer that polls the readiness of routers."""

import asyncio
import itertools

import aiohttp

from stoatpath.tools.demonstrations import chat

POLL_PERIOD_S = 0.1
POLL_TIMEOUT_S = 0.3
STREAM_TOKENS = 400
DONE_EVENT = b"data: [DONE]\n\n"
COMPLETED = "completed"
UNANSWERED = "unanswered"


class Reply:
    """The response to one request; `outcome` is `unanswered` if it is incomplete."""

    def __init__(self, kind, outcome, request_id="", version="", detail=""):
        self.kind = kind
        self.outcome = outcome
        self.request_id = request_id
        self.version = version
        self.detail = detail

    def __repr__(self):
        return f"<{self.kind} {self.outcome} {self.request_id} {self.detail}>"


class Balancer:
    """Distributes requests over the routers that were ready at the last poll."""

    def __init__(self, routers_by_name):
        self._routers_by_name = routers_by_name
        self._ready = []
        self._next_index = itertools.count()

    async def run(self, client):
        """Poll the readiness of all routers until cancelled."""
        while True:
            routers = list(self._routers_by_name.values())
            readiness = await asyncio.gather(
                *(self._is_router_ready(client, each) for each in routers)
            )
            self._ready = [
                each.address for each, is_ready in zip(routers, readiness) if is_ready
            ]
            await asyncio.sleep(POLL_PERIOD_S)

    async def pick_address(self):
        """Return the address of the next ready router; wait until there is one."""
        while not self._ready:
            await asyncio.sleep(POLL_PERIOD_S)
        return self._ready[next(self._next_index) % len(self._ready)]

    async def _is_router_ready(self, client, router):
        timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT_S)
        try:
            url = f"http://{router.address}/readyz"
            async with client.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return False


class Load:
    """Callers that each send one request after another until they are stopped."""

    def __init__(self, routers_by_name):
        self.balancer = Balancer(routers_by_name)
        self.replies = []
        self.versions_by_session = {}
        self._numbers = itertools.count(1)
        self._is_stopping = False

    async def run_while(self, work):
        """Run callers while `work()` runs; return its result once all have ended."""
        async with aiohttp.ClientSession() as client:
            polling = asyncio.create_task(self.balancer.run(client))
            senders = [
                self._send_chat,
                self._send_chat,
                self._send_stream,
                self._send_stream,
            ]
            senders += [self._send_booking, self._send_lookup, self._send_session_turn]
            tasks = [
                asyncio.create_task(self._repeat_request(client, each))
                for each in senders
            ]
            try:
                return await work()
            finally:
                self._is_stopping = True
                await asyncio.gather(*tasks)
                polling.cancel()

    async def _repeat_request(self, client, send_request):
        while not self._is_stopping:
            self.replies.append(await send_request(client))
            await asyncio.sleep(0.05)

    async def _send_chat(self, client):
        body = chat("desk-assist", f"question {next(self._numbers)}")
        return await self._post(client, "chat", "reef-villages", body)

    async def _send_stream(self, client):
        text = f"lease {next(self._numbers)}"
        body = chat("desk-assist", text, stream=True, max_tokens=STREAM_TOKENS)
        return await self._post(client, "stream", "foreshore-officers", body)

    async def _send_session_turn(self, client):
        session = f"guest-{next(self._numbers) % 3}"
        body = chat("desk-assist", "and then?")
        reply = await self._post(
            client, "turn", "lagoon-stalls", body, {"Stoatpath-Session": session}
        )
        if reply.outcome == COMPLETED:
            self.versions_by_session.setdefault(session, set()).add(reply.version)
        return reply

    async def _send_booking(self, client):
        number = next(self._numbers)
        body = {"hut": number}
        headers = {"Idempotency-Key": f"booking-{number}"}
        path = "/services/booking-desk/bookings"
        return await self._post(client, "booking", "reef-villages", body, headers, path)

    async def _send_lookup(self, client):
        path = f"/services/booking-desk/huts/{next(self._numbers)}"
        return await self._send(client, "lookup", "GET", path, "foreshore-officers")

    async def _post(
        self, client, kind, name, body, headers=(), path="/v1/chat/completions"
    ):
        return await self._send(client, kind, "POST", path, name, dict(headers), body)

    async def _send(self, client, kind, method, path, name, headers=None, body=None):
        headers = {
            "Authorization": f"Bearer {name}.{name}-sample-secret",
            **(headers or {}),
        }
        url = f"http://{await self.balancer.pick_address()}{path}"
        request_id = version = ""
        try:
            call = client.request(method, url, json=body, headers=headers)
            async with call as response:
                request_id = response.headers.get("Stoatpath-Request-Id", "")
                version = response.headers.get("Stoatpath-Version", "")
                data = await response.read()
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            return Reply(kind, UNANSWERED, request_id, version, repr(error))
        outcome = response.headers.get("Stoatpath-Outcome", "")
        if response.headers["Content-Type"].startswith("text/event-stream"):
            outcome = COMPLETED if data.endswith(DONE_EVENT) else UNANSWERED
        return Reply(kind, outcome, request_id, version, data[-200:])

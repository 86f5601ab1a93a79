"""Sends the requests of a load plan to a site on loopback, with limited concurrency."""

import asyncio
import random
import time

import aiohttp

from stoatpath.measure.load_reports import LoadResult
from stoatpath.tools.demonstrations import Call, Reply, chat
from stoatpath.utils import encode_json

MAX_IN_FLIGHT = 500
REPLY_TIMEOUT_S = 90.0
MS_PER_S = 1000


class LoadRun:
    """Runs one load plan against one site."""

    __slots__ = (
        "_site",
        "_plan",
        "_rng",
        "_replies",
        "_unanswered",
        "_attempts",
        "_in_flight",
    )

    def __init__(self, site, plan):
        self._site = site
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._replies = []
        self._unanswered = 0
        self._attempts = 0
        self._in_flight = asyncio.Semaphore(MAX_IN_FLIGHT)

    async def run(self):
        """Send all requests; return the `LoadResult`."""
        for router in self._site.routers_by_name.values():
            router.attempts.observers.append(self._count_attempt)
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=REPLY_TIMEOUT_S)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            await self._send_all_requests(session)
        for router in self._site.routers_by_name.values():
            await router.outbox.flush()
        return LoadResult(self._replies, self._unanswered, self._attempts)

    def _count_attempt(self, result):
        self._attempts += 1

    async def _send_all_requests(self, session):
        started_s = time.monotonic()
        tasks = [
            asyncio.create_task(self._inject_fault(planned, started_s))
            for planned in self._plan.faults
        ]
        due_s = 0.0
        index = 0
        weights = [kind.share for kind in self._plan.kinds]
        while (due_s := due_s + self._rng.expovariate(self._plan.rate_per_s)) < (
            self._plan.seconds
        ):
            await asyncio.sleep(max(0.0, started_s + due_s - time.monotonic()))
            kind = self._rng.choices(self._plan.kinds, weights)[0]
            tasks.append(asyncio.create_task(self._send_request(session, kind, index)))
            index += 1
        await asyncio.gather(*tasks)

    async def _inject_fault(self, planned, started_s):
        await asyncio.sleep(max(0.0, started_s + planned.at_s - time.monotonic()))
        site = self._site
        for name, standin in (
            *site.engines_by_name.items(),
            *site.services_by_name.items(),
        ):
            if name.startswith(planned.name_prefix):
                standin.faults.add(planned.fault.copy())

    async def _send_request(self, session, kind, index):
        call = _build_call(kind, index)
        routers = list(self._site.routers_by_name.values())
        url = f"http://{routers[index % len(routers)].address}{call.path}"
        secret = f"{call.organisation}.{call.organisation}-sample-secret"
        headers = {"Authorization": f"Bearer {secret}", **call.headers}
        data = None if call.body is None else encode_json(call.body)
        async with self._in_flight:
            sent_s = time.monotonic()
            try:
                async with session.request(
                    call.method, url, data=data, headers=headers
                ) as response:
                    body = await _read_body(response)
            except (aiohttp.ClientError, asyncio.TimeoutError):
                self._unanswered += 1
                return
        elapsed_ms = (time.monotonic() - sent_s) * MS_PER_S
        reply = Reply(call, response.status, response.headers, body, elapsed_ms)
        self._replies.append(reply)


def _build_call(kind, index):
    headers = {}
    if kind.purpose:
        headers["Stoatpath-Purpose"] = kind.purpose
    if kind.keyed:
        headers["Idempotency-Key"] = f"load-{index}"
    path = kind.path
    body = None
    if kind.service:
        path = "/v1/chat/completions"
        text = f"question {index}"
        body = chat(kind.service, text, kind.stream, kind.max_tokens)
    elif kind.method == "POST":
        body = {"load": index}
    return Call(kind.label, kind.organisation, kind.method, path, body, **headers)


async def _read_body(response):
    """Return the body; for a stream that is cut off, the part that was received."""
    chunks = []
    try:
        async for chunk in response.content.iter_any():
            chunks.append(chunk)
    except aiohttp.ClientPayloadError:
        pass
    return b"".join(chunks)

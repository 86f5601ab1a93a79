"""Measures the latency and processor time that the router adds to a call.

A bare relay is measured in the same run for comparison. This process generates
the load; stand-ins, relay and router run in a process each.
"""

import asyncio
import subprocess
import sys
import time

import aiohttp

from stoatpath.measure.hot_path_programs import RELAY, ROUTER, SITE
from stoatpath.measure.reports import Figure, Report, Target
from stoatpath.tools.demonstrations import DONE_EVENT
from stoatpath.utils import decode_json, encode_json

PROGRAM = "stoatpath.measure.hot_path_programs"
ORGANISATION = "foreshore-officers"
PATH = "/v1/chat/completions"
DIRECT = "direct"
LOGGED = "logged router"
WARM_UP_REQUESTS = 300
LATENCY_ROUNDS = 8
LATENCY_REQUESTS = 250
LATENCY_RATE_PER_S = 250
BUFFERED_REQUESTS = 4_000
BUFFERED_CALLERS = 8
BUFFERED_TOKENS = 24
STREAMS = 12
STREAM_ROUNDS = 3
STREAM_TOKENS = 600
OPEN_STREAMS = 200
STREAM_TOKEN_MS = 1.0
SETTLE_S = 2.0


class _Program:
    """A child process that answers each line on its input with a line of JSON."""

    def __init__(self, role, argument):
        command = [sys.executable, "-m", PROGRAM, role, encode_json(argument).decode()]
        self._process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        self.startup_info = decode_json(self._process.stdout.readline())

    def usage(self):
        """Return the current processor time and resident memory."""
        self._process.stdin.write("usage\n")
        self._process.stdin.flush()
        return decode_json(self._process.stdout.readline())

    def stop(self):
        """End the process."""
        self._process.stdin.close()
        self._process.terminate()
        self._process.wait()


class _Endpoint:
    """An address that leads to the engine: direct, or through relay or router."""

    def __init__(self, name, address, program):
        self.name = name
        self.address = address
        self.program = program
        self.headers = {}
        self.latencies_ms = []

    async def begin_session(self, session):
        """Begin a session, so that the router uses one version for all requests."""
        if self.name not in (ROUTER, LOGGED):
            return
        secret = f"{ORGANISATION}.{ORGANISATION}-sample-secret"
        self.headers = {
            "Authorization": f"Bearer {secret}",
            "Stoatpath-Purpose": "lease-summary",
            "Stoatpath-Session": "measured",
        }
        async with session.post(**self._build_call("first", 4, False)) as response:
            await response.read()
            self.headers["Stoatpath-Session"] = response.headers["Stoatpath-Session"]

    async def send_buffered(self, session, name):
        """Send one buffered request."""
        async with session.post(
            **self._build_call(name, BUFFERED_TOKENS, False)
        ) as response:
            body = await response.read()
        if response.status != 200:
            raise AssertionError(f"{self.name}: {response.status} {body}")

    async def read_stream(self, session, name, tokens):
        """Send one streamed request and read the stream to its end marker."""
        async with session.post(**self._build_call(name, tokens, True)) as response:
            body = await response.read()
        if not body.endswith(DONE_EVENT):
            raise AssertionError(f"{self.name}: the stream was cut off")

    def _build_call(self, name, tokens, is_stream):
        is_routed = self.name in (ROUTER, LOGGED)
        body = {
            "model": "desk-assist" if is_routed else "tern-large",
            "messages": [{"role": "user", "content": f"Question {name}?"}],
            "stream": is_stream,
            "max_tokens": tokens,
        }
        if not is_routed:
            body["version"] = "tern-large@1"
            body["request_id"] = name
        url = f"http://{self.address}{PATH}"
        return {"url": url, "data": encode_json(body), "headers": self.headers}


class _Trial:
    """All measurements with one set of processes."""

    def __init__(self, token_ms):
        self._site = _Program(SITE, {"token_ms": token_ms})
        startup_info = self._site.startup_info
        programs = {name: _Program(name, startup_info) for name in (RELAY, ROUTER)}
        self.endpoints = {DIRECT: _Endpoint(DIRECT, startup_info["engine"], None)}
        settings = {**startup_info["settings"], "NAME": "router-8"}
        programs[LOGGED] = _Program(ROUTER, {"settings": settings, "logs": True})
        for name, program in programs.items():
            self.endpoints[name] = _Endpoint(
                name, program.startup_info["address"], program
            )

    def stop(self):
        """End all processes."""
        for endpoint in self.endpoints.values():
            if endpoint.program is not None:
                endpoint.program.stop()
        self._site.stop()

    async def measure(self, measurement):
        """Run a measurement with an HTTP session, after a warm-up."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await asyncio.sleep(SETTLE_S)
            for endpoint in self.endpoints.values():
                await endpoint.begin_session(session)
                for number in range(WARM_UP_REQUESTS):
                    await endpoint.send_buffered(session, f"warm-{number}")
            return await measurement(session)

    async def measure_latencies(self, session):
        """Send requests at a fixed rate to each endpoint in turn."""
        for round_number in range(LATENCY_ROUNDS):
            for endpoint in (self.endpoints[name] for name in (DIRECT, RELAY, ROUTER)):
                await self._send_paced(session, endpoint, round_number)

    async def _send_paced(self, session, endpoint, round_number):
        async def send_timed(number):
            started = time.perf_counter()
            await endpoint.send_buffered(
                session, f"{endpoint.name}-{round_number}-{number}"
            )
            endpoint.latencies_ms.append((time.perf_counter() - started) * 1e3)

        tasks = []
        started = time.perf_counter()
        for number in range(LATENCY_REQUESTS):
            due_s = started + number / LATENCY_RATE_PER_S - time.perf_counter()
            await asyncio.sleep(max(0.0, due_s))
            tasks.append(asyncio.create_task(send_timed(number)))
        await asyncio.gather(*tasks)

    async def measure_buffered_cpu_us(self, session, endpoint):
        """Return the processor time of one buffered request."""

        async def caller(index):
            for number in range(BUFFERED_REQUESTS // BUFFERED_CALLERS):
                await endpoint.send_buffered(
                    session, f"{endpoint.name}-b{index}-{number}"
                )

        before = endpoint.program.usage()["cpu_s"]
        await asyncio.gather(*(caller(index) for index in range(BUFFERED_CALLERS)))
        return (endpoint.program.usage()["cpu_s"] - before) * 1e6 / BUFFERED_REQUESTS

    async def measure_token_cpu_us(self, session, endpoint):
        """Return the processor time of one streamed token."""
        before = endpoint.program.usage()["cpu_s"]
        for round_number in range(STREAM_ROUNDS):
            streams = (
                endpoint.read_stream(
                    session, f"{endpoint.name}-s{round_number}-{index}", STREAM_TOKENS
                )
                for index in range(STREAMS)
            )
            await asyncio.gather(*streams)
        cpu_s = endpoint.program.usage()["cpu_s"] - before
        return cpu_s * 1e6 / (STREAM_ROUNDS * STREAMS * STREAM_TOKENS)

    async def measure_stream_bytes(self, session, endpoint):
        """Return the resident memory of one open stream."""
        before = endpoint.program.usage()["resident_bytes"]
        streams = [
            asyncio.create_task(
                endpoint.read_stream(session, f"{endpoint.name}-m{index}", 4_000)
            )
            for index in range(OPEN_STREAMS)
        ]
        await asyncio.sleep(SETTLE_S)
        growth_bytes = endpoint.program.usage()["resident_bytes"] - before
        for stream in streams:
            stream.cancel()
        await asyncio.gather(*streams, return_exceptions=True)
        return growth_bytes / OPEN_STREAMS


def run(seed):
    """Return the report; the load has no randomness."""
    figures = _buffered_figures() + _stream_figures()
    targets = [
        Target("hot-path.buffered_ratio", "at-most", 2.5),
        Target("hot-path.token_ratio", "at-most", 1.5),
        Target("hot-path.added_p50", "at-most", 0.6),
        Target("hot-path.added_p99", "at-most", 2.0),
        Target("hot-path.tokens_per_cpu_s", "at-least", 25_000),
    ]
    return Report("hot-path", seed, figures, targets, is_timed=True)


def _buffered_figures():
    trial = _Trial(token_ms=0.0)
    try:
        return asyncio.run(trial.measure(lambda each: _measure_buffered(trial, each)))
    finally:
        trial.stop()


async def _measure_buffered(trial, session):
    await trial.measure_latencies(session)
    cost_us = {}
    for name in (RELAY, ROUTER, LOGGED):
        cost_us[name] = await trial.measure_buffered_cpu_us(
            session, trial.endpoints[name]
        )
    figures = []
    for share in (50, 99):
        direct_ms = _percentile(trial.endpoints[DIRECT].latencies_ms, share)
        figures.append(Figure(f"hot-path.direct_p{share}", direct_ms, "ms"))
        for name, label in ((RELAY, "relay_added"), (ROUTER, "added")):
            added_ms = (
                _percentile(trial.endpoints[name].latencies_ms, share) - direct_ms
            )
            figures.append(Figure(f"hot-path.{label}_p{share}", added_ms, "ms"))
    for name, each_us in cost_us.items():
        label = name.replace(" ", "_")
        figures.append(Figure(f"hot-path.{label}_cpu_per_request", each_us, "us"))
        rate = 1e6 / each_us
        figures.append(Figure(f"hot-path.{label}_requests_per_cpu_s", rate, "1/s"))
    ratio = cost_us[ROUTER] / cost_us[RELAY]
    figures.append(Figure("hot-path.buffered_ratio", ratio, "times"))
    return figures


def _stream_figures():
    trial = _Trial(token_ms=STREAM_TOKEN_MS)
    try:
        return asyncio.run(trial.measure(lambda each: _measure_streams(trial, each)))
    finally:
        trial.stop()


async def _measure_streams(trial, session):
    relay, router = trial.endpoints[RELAY], trial.endpoints[ROUTER]
    relay_us = await trial.measure_token_cpu_us(session, relay)
    router_us = await trial.measure_token_cpu_us(session, router)
    relay_bytes = await trial.measure_stream_bytes(session, relay)
    router_bytes = await trial.measure_stream_bytes(session, router)
    return [
        Figure("hot-path.relay_cpu_per_token", relay_us, "us"),
        Figure("hot-path.router_cpu_per_token", router_us, "us"),
        Figure("hot-path.relay_tokens_per_cpu_s", 1e6 / relay_us, "1/s"),
        Figure("hot-path.tokens_per_cpu_s", 1e6 / router_us, "1/s"),
        Figure("hot-path.token_ratio", router_us / relay_us, "times"),
        Figure("hot-path.relay_bytes_per_open_stream", relay_bytes, "B"),
        Figure("hot-path.bytes_per_open_stream", router_bytes, "B"),
    ]


def _percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * share // 100)]

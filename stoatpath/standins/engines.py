"""Stand-in of a model engine that serves chat completions.

Endpoints: `/v1/chat/completions`, `/v1/cancel`, `/v1/load`, `/v1/orders`.
The response to a request that the engine didn't run has the header
`Engine-Not-Run: true`.
Faults of `complete`: `reset-before`, `reset-during` (while the request is sent),
`reset-after`, `not-run`, `hold-off` (not run, and none wanted for 30 s), `slow`,
`error-after`, `half-answer`,
`half-answer-unmarked`, `twice`, `wrong-id`, `wrong-version`, `no-finish`,
`stream-cut`, `stream-ends`, `stream-stall`, `foreign-event`, `other-text`. Faults
that occur after the request was read may also have a version as their operation.
"""

import asyncio

from aiohttp import web

from stoatpath.standins.connections import (
    SilentConnections,
    reset_during_request,
    send_half,
    send_half_without_length,
    send_twice,
)
from stoatpath.standins.engine_orders import EngineOrders
from stoatpath.standins.faults import FaultTable
from stoatpath.standins.servers import StandinServer, drop_connection
from stoatpath.utils import decode_json, encode_json

NOT_RUN_HEADER = "Engine-Not-Run"
REQUEST_ID_HEADER = "Stoatpath-Request-Id"
HOLD_OFF_HEADERS = {"Retry-After": "30"}
DEFAULT_TOKENS = 16
STALL_S = 30.0
VERSION_CAPACITY = 3


class Execution:
    """A request that the engine started to run.

    `resumed_from` is the index of the first event of a resumed stream, or 0.
    """

    __slots__ = (
        "request_id",
        "attempt_id",
        "version",
        "prompt",
        "resumed_from",
        "quality",
        "finished",
    )

    def __init__(self, request_id, attempt_id, version, prompt, resumed_from, quality):
        self.request_id = request_id
        self.attempt_id = attempt_id
        self.version = version
        self.prompt = prompt
        self.resumed_from = resumed_from
        self.quality = quality
        self.finished = False


class EngineStandin:
    """Serves the loaded versions with a fixed time per token and a limit on slots.

    `quality_by_version` maps a version such as `small@1` to its quality, 0 to 1;
    `resumes` is whether the engine can resume streams.
    """

    __slots__ = (
        "name",
        "quality_by_version",
        "slots",
        "token_ms",
        "faults",
        "executions",
        "running",
        "leaving",
        "resumes",
        "connections",
        "orders",
        "capacity",
        "_cancelled",
        "_server",
    )

    def __init__(
        self, name, quality_by_version, slots=32, token_ms=0.5, checks_fencing=True
    ):
        self.name = name
        self.quality_by_version = dict(quality_by_version)
        self.slots = slots
        self.token_ms = token_ms
        self.faults = FaultTable()
        self.executions = []
        self.running = 0
        self.leaving = False
        self.resumes = True
        self.connections = SilentConnections()
        self.orders = EngineOrders(self.quality_by_version, checks_fencing)
        self.capacity = VERSION_CAPACITY
        self._cancelled = set()
        self._server = StandinServer(
            [
                web.post("/v1/chat/completions", self._complete),
                web.post("/v1/cancel", self._cancel),
                web.get("/v1/load", self._load),
                web.post("/v1/orders", self.orders.handle_order),
            ]
        )

    async def start(self):
        """Listen and return the address as `host:port`."""
        return await self._server.start()

    async def stop(self):
        """Stop listening and drop all connections."""
        await self.orders.close()
        await self._server.stop()

    @property
    def address(self):
        """Return the listening address as `host:port`."""
        return self._server.address

    @property
    def cancelled(self):
        """Return the identifiers of the attempts that were cancelled."""
        return frozenset(self._cancelled)

    def _reject(self, request, status, detail, **more_headers):
        headers = {NOT_RUN_HEADER: "true", **_echo_headers(request), **more_headers}
        return web.json_response({"error": detail}, status=status, headers=headers)

    async def _complete(self, request):
        if not await self.connections.admit_request(request):
            return self._reject(request, 503, "silent")
        fault = self.faults.next_fault("complete")
        if fault is not None and fault.kind == "reset-before":
            drop_connection(request)
            return self._reject(request, 503, "reset")
        if fault is not None and fault.kind == "reset-during":
            return await reset_during_request(request)
        message = decode_json(await request.read())
        version = message["version"]
        fault = fault or self.faults.next_fault(version)
        if fault is not None and fault.kind == "not-run":
            return self._reject(request, 503, "the engine did not run the request")
        if fault is not None and fault.kind == "hold-off":
            return self._reject(request, 503, "a pause", **HOLD_OFF_HEADERS)
        if version not in self.quality_by_version:
            return self._reject(request, 404, f"{version} is not loaded")
        if self.leaving or self.running >= self.slots:
            return self._reject(request, 503, "no free slot")
        execution = self._execution(message)
        if self.resumes and not self._matches_resume_text(message, execution):
            return self._reject(
                request, 409, "resume_text differs from the generated text"
            )
        self.executions.append(execution)
        self.running += 1
        try:
            return await self._run(request, message, execution, fault)
        except ConnectionResetError:
            return web.Response(status=503)
        finally:
            self.running -= 1

    def _execution(self, message):
        return Execution(
            message["request_id"],
            message.get("attempt_id", message["request_id"]),
            message["version"],
            message["messages"][-1]["content"],
            message.get("resume_from", 0) if self.resumes else 0,
            self.quality_by_version[message["version"]],
        )

    def _matches_resume_text(self, message, execution):
        generated = self._tokens(message, execution)[: execution.resumed_from]
        return "".join(generated) == message.get("resume_text", "")

    async def _run(self, request, message, execution, fault):
        kind = fault.kind if fault is not None else ""
        if kind == "slow":
            await asyncio.sleep(fault.delay_ms / 1000)
        if kind == "error-after":
            return web.json_response({"error": "failed after running"}, status=500)
        if kind == "reset-after":
            drop_connection(request)
            return web.Response(status=500)
        tokens = self._tokens(message, execution)
        if kind == "other-text":
            tokens = [f"other{index} " for index in range(len(tokens))]
        if message.get("stream"):
            return await self._stream(request, message, execution, tokens, kind)
        await asyncio.sleep(len(tokens) * self.token_ms / 1000)
        execution.finished = True
        body = encode_json(self._answer(message, execution, tokens, kind))
        if kind == "half-answer":
            return await send_half(request, body)
        if kind == "half-answer-unmarked":
            return await send_half_without_length(request, body)
        if kind == "twice":
            return await send_twice(request, body, _echo_headers(request))
        return web.Response(
            body=body, content_type="application/json", headers=_echo_headers(request)
        )

    def _tokens(self, message, execution):
        text = (
            f"[quality {execution.quality:.3f}] {execution.version} answers: "
            f"{execution.prompt}"
        )
        count = message.get("max_tokens") or DEFAULT_TOKENS
        words = text.split(" ")
        padding = [f"w{index}" for index in range(len(words), count)]
        return [word + " " for word in words + padding]

    def _answer(self, message, execution, tokens, kind):
        request_id = "foreign" if kind == "wrong-id" else execution.request_id
        version = "wrong@0" if kind == "wrong-version" else execution.version
        content = "".join(tokens).rstrip()
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": content},
            "finish_reason": None if kind == "no-finish" else "stop",
        }
        return {
            "id": request_id,
            "object": "chat.completion",
            "model": version,
            "choices": [choice],
            "usage": self._usage(message, tokens),
        }

    def _usage(self, message, tokens):
        prompt = sum(len(each["content"].split()) for each in message["messages"])
        return {
            "prompt_tokens": prompt,
            "completion_tokens": len(tokens),
            "total_tokens": prompt + len(tokens),
        }

    async def _stream(self, request, message, execution, tokens, kind):
        response = web.StreamResponse(headers=_echo_headers(request))
        response.content_type = "text/event-stream"
        await response.prepare(request)
        for index in range(execution.resumed_from, len(tokens)):
            if kind and index == len(tokens) // 2:
                if kind == "stream-cut":
                    drop_connection(request)
                    return response
                if kind == "stream-ends":
                    return response
                if kind == "stream-stall":
                    await asyncio.sleep(STALL_S)
            if execution.attempt_id in self._cancelled:
                drop_connection(request)
                return response
            event = self._event(execution, tokens[index], index, kind, len(tokens))
            await response.write(b"data: " + encode_json(event) + b"\n\n")
            if self.token_ms:
                await asyncio.sleep(self.token_ms / 1000)
        execution.finished = True
        final = self._event(execution, "", len(tokens), kind, len(tokens))
        final["choices"][0]["finish_reason"] = "stop"
        final["usage"] = self._usage(message, tokens)
        await response.write(b"data: " + encode_json(final) + b"\n\n")
        await response.write(b"data: [DONE]\n\n")
        return response

    def _event(self, execution, token, index, kind, total):
        foreign = kind == "foreign-event" and index == total // 2
        delta = {"content": token}
        choice = {"index": 0, "delta": delta, "finish_reason": None}
        return {
            "id": "foreign" if foreign else execution.request_id,
            "object": "chat.completion.chunk",
            "model": "wrong@0" if kind == "wrong-version" else execution.version,
            "choices": [choice],
        }

    async def _cancel(self, request):
        message = decode_json(await request.read())
        self._cancelled.add(message.get("attempt_id", message["request_id"]))
        return web.json_response({"cancelled": True})

    async def _load(self, request):
        report = {
            "name": self.name,
            "versions": sorted(self.quality_by_version),
            "running": self.running,
            "slots": self.slots,
            "leaving": self.leaving,
            "resumes": self.resumes,
            "token_ms": self.token_ms,
            "capacity": self.capacity,
            **self.orders.report(),
        }
        return web.json_response(report)


def _echo_headers(request):
    request_id = request.headers.get(REQUEST_ID_HEADER, "")
    return {REQUEST_ID_HEADER: request_id} if request_id else {}

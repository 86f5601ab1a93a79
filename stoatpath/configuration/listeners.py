"""The HTTP listener that operators reach."""

import hmac
from functools import singledispatch

from aiohttp import web

from stoatpath.configuration.messages import Accepted, Conflict, Invalid, Submission
from stoatpath.outcomes import Failure
from stoatpath.servers import HttpServer
from stoatpath.utils import decode_json, encode_json

MAX_SUBMISSION_BYTES = 8 * 1024 * 1024


class OperatorListener:
    """Takes submissions and answers questions about the configuration.

    Operator keys are given as operator name to secret.
    """

    __slots__ = ("_node", "_keys_by_operator", "_server", "address")

    def __init__(self, node, keys_by_operator):
        self._node = node
        self._keys_by_operator = keys_by_operator
        self._server = None
        self.address = ""

    async def start(self, address):
        """Listen on `host:port`; port 0 takes a free one."""
        routes = [
            web.post("/v1/submissions", self._submit),
            web.get("/v1/configuration", self._show),
            web.get("/healthz", self._health),
        ]
        tls = self._node.tls.operators
        self._server = HttpServer(routes, tls, MAX_SUBMISSION_BYTES)
        await self._server.start(address)
        self.address = self._server.address

    async def stop(self):
        """Close the listener."""
        if self._server is not None:
            await self._server.stop()

    def _operator(self, request):
        """Return the operator whose key the request carries, or None."""
        given = request.headers.get("Authorization", "").removeprefix("Bearer ")
        for operator, secret in self._keys_by_operator.items():
            if hmac.compare_digest(given.encode(), f"{operator}.{secret}".encode()):
                return operator
        return None

    async def _health(self, request):
        return web.json_response({"status": "ok"})

    async def _show(self, request):
        if self._operator(request) is None:
            return web.Response(status=401)
        return _json(200, self._node.follower.snapshot.to_json())

    async def _submit(self, request):
        operator = self._operator(request)
        if operator is None:
            return web.Response(status=401)
        data = decode_json(await request.read())
        try:
            submission = Submission.from_json({**data, "operator": operator})
        except (KeyError, TypeError):
            return _json(
                400, {"error": "expected submission_id, base_revision, changes"}
            )
        follower = self._node.follower
        verdict = await self._node.store.submit(follower.snapshot, submission)
        if isinstance(verdict, Accepted):
            await follower.poll()
        return _render(verdict)


def _json(status, value):
    return web.Response(
        status=status, body=encode_json(value), content_type="application/json"
    )


@singledispatch
def _render(verdict):
    raise TypeError(f"no answer for {type(verdict).__name__}")


@_render.register
def _(verdict: Accepted):
    return _json(200, {"revision": verdict.revision})


@_render.register
def _(verdict: Invalid):
    problems = [problem.to_json() for problem in verdict.problems]
    return _json(422, {"problems": problems})


@_render.register
def _(verdict: Conflict):
    changes = [change.to_json() for change in verdict.accepted_changes]
    return _json(409, {"conflicts": changes})


@_render.register
def _(verdict: Failure):
    return _json(503, {"error": verdict.detail, "outcome": verdict.outcome.value})

"""The HTTP API for operators."""

from functools import singledispatch

from aiohttp import web

from stoatpath.configuration.messages import (
    Accepted,
    Conflict,
    Invalid,
    Risky,
    Submission,
)
from stoatpath.configuration.operators import OPERATOR, READER, OperatorKeys
from stoatpath.configuration.statuses import collect_statuses
from stoatpath.configuration.stores import Head
from stoatpath.membership.messages import LEAVING
from stoatpath.outcomes import SHUTTING_DOWN, Failure, is_failure
from stoatpath.servers import HttpServer
from stoatpath.utils import decode_json, encode_json

MAX_SUBMISSION_BYTES = 8 * 1024 * 1024
DEFAULT_HISTORY_ROWS = 20
MAX_HISTORY_ROWS = 500


class OperatorListener:
    """Accepts submissions, and serves the configuration, its history and status.

    Other packages add routes with `add_route` before the start. `explanations` looks
    up the recorded decisions about a request; it is None where none are recorded.
    """

    __slots__ = ("_node", "_keys", "_explanations", "_routes", "_server", "address")

    def __init__(self, node, keys_by_operator, explanations=None):
        self._node = node
        self._keys = OperatorKeys.from_settings(keys_by_operator)
        self._explanations = explanations
        self._routes = []
        self._server = None
        self.address = ""
        self.add_route("POST", "/v1/submissions", OPERATOR, self._submit)
        self.add_route("POST", "/v1/check", READER, self._check)
        self.add_route("GET", "/v1/configuration", READER, self._get_configuration)
        self.add_route("GET", "/v1/history", READER, self._get_history)
        self.add_route("GET", "/v1/status", READER, self._get_status)
        self.add_route("GET", "/v1/explanations/{id}", READER, self._get_explanations)

    def add_route(self, method, path, role, handler):
        """Add a route for operators of a role, with a coroutine function as handler."""

        async def answer(request):
            header = request.headers.get("Authorization", "")
            operator = self._keys.authenticate(header.removeprefix("Bearer "))
            if operator is None:
                return _json(401, {"error": "the operator key is not known"})
            if not operator.has_role(role):
                return _json(403, {"error": f"{operator.name} is a {operator.role}"})
            return await handler(request, operator)

        self._routes.append(web.route(method, path, answer))

    async def start(self, address):
        """Listen on `host:port`; port 0 takes a free one."""
        routes = [*self._routes, web.get("/healthz", self._health)]
        tls = self._node.tls.operators
        self._server = HttpServer(routes, tls, MAX_SUBMISSION_BYTES)
        await self._server.start(address)
        self.address = self._server.address

    async def stop(self):
        """Close the listener after the requests in progress are answered."""
        if self._server is not None:
            await self._server.stop()

    async def _health(self, request):
        return web.json_response({"status": "ok"})

    async def _get_configuration(self, request, operator):
        return _json(200, self._node.follower.snapshot.to_json())

    async def _get_history(self, request, operator):
        limit = request.query.get("limit", str(DEFAULT_HISTORY_ROWS))
        if not limit.isdigit():
            return _json(400, {"error": "limit: expected a number"})
        last = self._node.follower.snapshot.revision
        first = max(1, last + 1 - min(int(limit), MAX_HISTORY_ROWS))
        changes = await self._node.store.read_changes(first, last)
        if is_failure(changes):
            return _render(changes)
        return _json(200, {"changes": [change.to_json() for change in changes]})

    async def _get_status(self, request, operator):
        statuses = await collect_statuses(self._node)
        members = [status.to_json() for status in statuses]
        revision = self._node.follower.snapshot.revision
        return _json(200, {"revision": revision, "members": members})

    async def _get_explanations(self, request, operator):
        if self._explanations is None:
            return _json(404, {"error": "this member explains nothing"})
        found = await self._explanations.find_explanations(request.match_info["id"])
        if is_failure(found):
            return _json(404, {"error": found.detail})
        return _json(200, {"explanations": [each.to_json() for each in found]})

    async def _check(self, request, operator):
        submission = _read_submission(await request.read(), operator)
        if submission is None:
            return _json(400, {"error": EXPECTED_SUBMISSION})
        snapshot = self._node.follower.snapshot
        verdict = await self._node.store.check(snapshot, submission)
        if isinstance(verdict, Head):
            return _json(200, {"revision": verdict.revision})
        return _render(verdict)

    async def _submit(self, request, operator):
        submission = _read_submission(await request.read(), operator)
        if submission is None:
            return _json(400, {"error": EXPECTED_SUBMISSION})
        if self._node.members.local.state == LEAVING:
            return _render(Failure(SHUTTING_DOWN, "this controller is leaving"))
        follower = self._node.follower
        verdict = await self._node.store.submit(follower.snapshot, submission)
        if isinstance(verdict, Accepted):
            await follower.poll()
        return _render(verdict)


EXPECTED_SUBMISSION = (
    "expected submission_id (text), base_revision (number), changes (a list of"
    " kind, name and body), optionally accept_warnings (boolean)"
)


def _read_submission(body, operator):
    """Return the submission in a body, or None."""
    data = decode_json(body)
    try:
        submission = Submission.from_json({**data, "operator": operator.name})
    except (AttributeError, KeyError, TypeError):
        return None
    return submission if submission.is_well_formed() else None


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
def _(verdict: Risky):
    warnings = [warning.to_json() for warning in verdict.warnings]
    return _json(422, {"warnings": warnings})


@_render.register
def _(verdict: Conflict):
    changes = [change.to_json() for change in verdict.accepted_changes]
    return _json(409, {"conflicts": changes, "documents": list(verdict.documents)})


@_render.register
def _(verdict: Failure):
    return _json(503, {"error": verdict.detail, "outcome": verdict.outcome.value})

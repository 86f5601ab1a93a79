"""The commands of `stoatpathctl`, one coroutine each."""

import asyncio
import json

from stoatpath.commands.messages import (
    EXIT_LAGGING,
    EXIT_NOT_FOUND,
    EXIT_OK,
    EXIT_USAGE,
    Result,
)
from stoatpath.commands.renderers import (
    lag_reason,
    must_have_revision,
    render_accepted,
    render_explanations,
    render_failure,
    render_history,
    render_problems,
    render_status,
)
from stoatpath.commands.request_traces import read_trace, render_trace
from stoatpath.commands.rollouts import ACTIONS, plan_rollout_change
from stoatpath.commands.store_views import show_store
from stoatpath.commands.withdrawals import plan_withdrawal
from stoatpath.configuration.files import read_changes
from stoatpath.configuration.messages import (
    KINDS,
    ORGANISATION,
    TEMPLATE,
    Problem,
)
from stoatpath.configuration.snapshots import Snapshot, apply_changes
from stoatpath.configuration.templates import render_organisation
from stoatpath.outcomes import is_failure
from stoatpath.utils import new_id

STATUS_POLL_PERIOD_S = 0.5
MAX_PLAN_ATTEMPTS = 5


class Options:
    """The options of the command line.

    `deadline_ms` is the clock reading at which `--wait` times out. `progress` is called
    with lines about the progress. `store` is the client of the platform's store, or
    None.
    """

    __slots__ = (
        "submission_id",
        "base_revision",
        "accept_warnings",
        "wait",
        "deadline_ms",
        "limit",
        "replacement",
        "store",
        "clock",
        "progress",
    )

    def __init__(self, clock, progress, **fields):
        self.clock = clock
        self.progress = progress
        self.submission_id = fields.get("submission_id", "")
        self.base_revision = fields.get("base_revision")
        self.accept_warnings = fields.get("accept_warnings", False)
        self.wait = fields.get("wait", False)
        self.deadline_ms = fields.get("deadline_ms", float("inf"))
        self.limit = fields.get("limit", 20)
        self.replacement = fields.get("replacement", "")
        self.store = fields.get("store")


async def check(client, arguments, options):
    """Check files against the configuration in force without submitting them."""
    return await _send_files(client, "/v1/check", arguments, options)


async def submit(client, arguments, options):
    """Submit files as one submission."""
    return await _send_files(client, "/v1/submissions", arguments, options)


async def render(client, arguments, options):
    """Print an organisation as rendered from its template and parameters."""
    if not arguments:
        return _usage("render ORGANISATION [FILE ...]")
    snapshot = await _read_snapshot(client)
    if isinstance(snapshot, Result):
        return snapshot
    changes, problems = _read_files(arguments[1:])
    if problems:
        return render_problems(problems)
    documents = apply_changes(snapshot.by_kind, changes)
    name = arguments[0]
    body = documents[ORGANISATION].get(name)
    if body is None:
        return _not_found(ORGANISATION, name)
    template = documents[TEMPLATE].get(body["template"])
    if template is None:
        return _not_found(TEMPLATE, body["template"])
    rendered, problems = render_organisation(name, template, body["parameters"])
    if problems:
        return render_problems(problems)
    return Result(EXIT_OK, [json.dumps(rendered, indent=2)], rendered)


async def show(client, arguments, options):
    """Print the documents in force, of one kind, or one of them."""
    snapshot = await _read_snapshot(client)
    if isinstance(snapshot, Result):
        return snapshot
    data = snapshot.to_json()
    for name in arguments:
        data = data["by_kind"] if name in KINDS and "by_kind" in data else data
        if name not in data:
            return _not_found("document", " ".join(arguments))
        data = data[name]
    return Result(EXIT_OK, [json.dumps(data, indent=2)], data)


async def history(client, arguments, options):
    """Print the history of accepted changes."""
    reply = await client.get(f"/v1/history?limit={options.limit}")
    failed = render_failure(reply)
    if failed is not None:
        return failed
    changes = reply.data["changes"]
    return Result(EXIT_OK, render_history(changes), changes)


async def status(client, arguments, options):
    """Print the revision of each member, and why a member lags."""
    if options.wait:
        reply = await client.get("/v1/status")
        failed = render_failure(reply)
        if failed is not None:
            return failed
        return await _wait_for_revision(client, reply.data["revision"], options)
    reply = await client.get("/v1/status")
    failed = render_failure(reply)
    if failed is not None:
        return failed
    lines = [f"revision {reply.data['revision']}", *render_status(reply.data)]
    lagging = _lagging_members(reply.data, reply.data["revision"])
    return Result(EXIT_LAGGING if lagging else EXIT_OK, lines, reply.data)


async def withdraw(client, arguments, options):
    """Withdraw a version; after a conflict with another change, retry."""
    if len(arguments) != 1 or "@" not in arguments[0]:
        return _usage("withdraw MODEL@VERSION [--replacement VERSION]")

    def plan(snapshot):
        change = plan_withdrawal(snapshot, arguments[0], options.replacement)
        return change if isinstance(change, Problem) else [change]

    return await _send_planned(client, plan, options)


async def rollout(client, arguments, options):
    """Halt, resume or retry a roll-out."""
    if len(arguments) != 2 or arguments[0] not in ACTIONS:
        return _usage("rollout halt|resume|retry NAME")

    def plan(snapshot):
        return plan_rollout_change(snapshot, *arguments)

    return await _send_planned(client, plan, options)


async def _send_planned(client, plan, options):
    """Plan changes on the snapshot in force and submit them; retry after a conflict."""
    result = None
    for _ in range(MAX_PLAN_ATTEMPTS):
        snapshot = await _read_snapshot(client)
        if isinstance(snapshot, Result):
            return snapshot
        changes = plan(snapshot)
        if isinstance(changes, Problem):
            return render_problems([changes])
        result = await _send(
            client, "/v1/submissions", changes, snapshot.revision, options
        )
        if "conflicts" not in result.data:
            break
        options.progress("another change came first; looking again ...")
    return result


async def explain(client, arguments, options):
    """Print the decisions about a request."""
    if not arguments:
        return _usage("explain REQUEST_ID [LOG ...]")
    if len(arguments) > 1:
        return _explain_from_logs(arguments[0], arguments[1:])
    reply = await client.get(f"/v1/explanations/{arguments[0]}")
    failed = render_failure(reply)
    if failed is not None:
        return failed
    found = reply.data["explanations"]
    return Result(EXIT_OK, render_explanations(found), found)


def _explain_from_logs(request_id, paths):
    try:
        trace = read_trace(request_id, paths)
    except OSError as error:
        return Result(EXIT_USAGE, [f"{error.filename}: {error.strerror}"], {})
    if trace is None:
        text = f"no line about {request_id} in {len(paths)} files"
        return Result(EXIT_NOT_FOUND, [text], {})
    return Result(EXIT_OK, render_trace(trace), trace.to_json())


async def store(client, arguments, options):
    """Print what the platform's store holds."""
    if options.store is None:
        return _usage("--store=IP:PORT store ... (or --boot=FILE)")
    return await show_store(options.store, arguments)


COMMANDS = {
    "check": check,
    "render": render,
    "submit": submit,
    "show": show,
    "history": history,
    "status": status,
    "withdraw": withdraw,
    "rollout": rollout,
    "explain": explain,
    "store": store,
}


async def _send_files(client, path, paths, options):
    if not paths:
        return _usage("check FILE ... or submit FILE ...")
    changes, problems = _read_files(paths)
    if problems:
        return render_problems(problems)
    base = options.base_revision
    if base is None:
        snapshot = await _read_snapshot(client)
        if isinstance(snapshot, Result):
            return snapshot
        base = snapshot.revision
    return await _send(client, path, changes, base, options)


async def _send(client, path, changes, base, options):
    submission_id = options.submission_id or new_id("sub")
    message = {
        "submission_id": submission_id,
        "base_revision": base,
        "changes": [change.to_json() for change in changes],
        "accept_warnings": options.accept_warnings,
    }
    reply = await client.post(path, message)
    failed = render_failure(reply)
    if failed is not None:
        failed.data.update(submission_id=submission_id, base_revision=base)
        if is_failure(reply):
            failed.lines.append(
                f"repeat with --submission_id={submission_id} --base_revision={base}"
            )
        return failed
    revision = reply.data["revision"]
    if path == "/v1/check":
        lines = [f"valid, checked against revision {revision}"]
        return Result(EXIT_OK, lines, reply.data)
    if options.wait:
        return await _wait_for_revision(client, revision, options)
    return render_accepted(revision)


async def _wait_for_revision(client, revision, options):
    """Wait until all members that are not dead have a revision, or time out."""
    while True:
        reply = await client.get("/v1/status")
        failed = render_failure(reply)
        lagging = None
        if failed is None:
            members = [
                each for each in reply.data["members"] if must_have_revision(each)
            ]
            lagging = _lagging_members(reply.data, revision)
            if not lagging:
                done = f"in force at all {len(members)} members that are not dead"
                return render_accepted(revision, [done])
            waiting = f"; waiting for {lagging[0]['name']}"
            count = len(members) - len(lagging)
            options.progress(f"{count} of {len(members)} have {revision}{waiting}")
        if options.clock.now_ms() >= options.deadline_ms:
            return failed or _render_lagging(revision, lagging, reply.data)
        await asyncio.sleep(STATUS_POLL_PERIOD_S)


def _render_lagging(revision, lagging, data):
    result = render_accepted(revision)
    result.code = EXIT_LAGGING
    result.data = data
    result.lines += [f"not in force at {len(lagging)} members:"]
    result.lines += [
        f"  {member['name']}: {lag_reason(member, revision)}" for member in lagging
    ]
    return result


def _lagging_members(data, revision):
    return [
        member
        for member in data["members"]
        if must_have_revision(member) and (member["revision"] or 0) < revision
    ]


async def _read_snapshot(client):
    """Return the snapshot that is in force at a controller, or an error result."""
    reply = await client.get("/v1/configuration")
    return render_failure(reply) or Snapshot.from_json(reply.data)


def _read_files(paths):
    changes = []
    problems = []
    for path in paths:
        file_changes, file_problems = read_changes(path)
        changes += file_changes
        problems += file_problems
    return changes, problems


def _usage(text):
    return Result(EXIT_USAGE, [f"usage: stoatpathctl {text}"], {"error": text})


def _not_found(kind, name):
    detail = f"no {kind} {name}"
    return Result(EXIT_NOT_FOUND, [detail], {"error": detail})

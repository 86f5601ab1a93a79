"""Renders the answers of controllers as results with lines to print."""

from datetime import datetime, timezone

from stoatpath.commands.messages import (
    EXIT_CONFLICT,
    EXIT_FORBIDDEN,
    EXIT_INVALID,
    EXIT_NOT_FOUND,
    EXIT_OK,
    EXIT_UNKNOWN,
    EXIT_UNREACHABLE,
    EXIT_USAGE,
    EXIT_WARNINGS,
    Result,
)
from stoatpath.commands.tables import format_table
from stoatpath.outcomes import Outcome, is_failure
from stoatpath.utils import encode_json

FORBIDDEN_STATUSES = (401, 403)
CONFLICT_STATUS = 409
NOT_FOUND_STATUS = 404
INVALID_STATUS = 422


def render_failure(reply):
    """Return the result of a failure or an error answer, or None after a success."""
    if is_failure(reply):
        is_unknown = reply.outcome is Outcome.UNKNOWN
        code = EXIT_UNKNOWN if is_unknown else EXIT_UNREACHABLE
        data = {"error": reply.detail, "outcome": reply.outcome.value}
        return Result(code, [f"{reply.outcome.value}: {reply.detail}"], data)
    if reply.status == 200:
        return None
    data = reply.data
    if "problems" in data:
        return _render_problem_table(EXIT_INVALID, "not valid:", data["problems"], data)
    if "warnings" in data:
        title = "valid, but it leaves someone unserved (--accept_warnings accepts it):"
        return _render_problem_table(EXIT_WARNINGS, title, data["warnings"], data)
    if "conflicts" in data:
        return _render_conflict(data)
    codes = {NOT_FOUND_STATUS: EXIT_NOT_FOUND}
    codes.update(dict.fromkeys(FORBIDDEN_STATUSES, EXIT_FORBIDDEN))
    lines = [str(data.get("error", f"status {reply.status}"))]
    return Result(codes.get(reply.status, EXIT_USAGE), lines, data)


def render_problems(problems):
    """Return the result of problems that were found before sending a request."""
    data = {"problems": [problem.to_json() for problem in problems]}
    return _render_problem_table(EXIT_INVALID, "not valid:", data["problems"], data)


def render_history(changes):
    """Return a table of history rows, newest last."""
    rows = [
        (
            change["revision"],
            _format_time(change["accepted_at_ms"]),
            change["submission"]["operator"],
            _format_documents(change["submission"]["changes"]),
        )
        for change in changes
    ]
    return format_table(("REVISION", "ACCEPTED (UTC)", "OPERATOR", "DOCUMENTS"), rows)


def render_status(data):
    """Return a table of members with their revisions, and why a member lags."""
    rows = []
    for member in data["members"]:
        revision = member["revision"]
        age_ms = member["age_ms"]
        rows.append(
            (
                member["name"],
                member["role"],
                member["zone"],
                member["state"],
                "?" if revision is None else revision,
                "?" if age_ms is None else f"{age_ms / 1000:.1f} s ago",
                lag_reason(member, data["revision"]),
            )
        )
    titles = ("MEMBER", "ROLE", "ZONE", "STATE", "REVISION", "CONFIRMED", "NOTE")
    return format_table(titles, rows)


def render_explanations(explanations):
    """Return tables of the decisions about a request, by instance."""
    lines = []
    for explanation in explanations:
        lines.append(f"{explanation['request_id']} at {explanation['instance']}")
        rows = []
        for decision in explanation["decisions"]:
            known = ("step", "reason", "at_ms", "details")
            details = decision.get("details") or {
                name: value for name, value in decision.items() if name not in known
            }
            rows.append(
                (
                    decision.get("step", ""),
                    decision.get("reason", ""),
                    encode_json(details).decode(),
                )
            )
        lines += format_table(("STEP", "REASON", "DETAILS"), rows)
    return lines


def lag_reason(member, revision):
    """Return why a member lacks a revision, or its current problem, or ""."""
    if member["revision"] is None:
        return member["problem"]
    behind = revision - member["revision"]
    problem = member["problem"] and f"can't read the store: {member['problem']}"
    if behind > 0:
        return f"{behind} behind; {problem or 'on its way'}"
    return problem or ""


def must_have_revision(member):
    """Return whether `--wait` waits for a member: all but dead ones."""
    return member["state"] != "dead"


def _render_problem_table(code, title, problems, data):
    rows = [
        (each["path"], encode_json(each["value"]).decode(), each["expected"])
        for each in problems
    ]
    table = format_table(("PATH", "VALUE", "EXPECTED"), rows)
    return Result(code, [title, *table], data)


def _render_conflict(data):
    concerned = ", ".join(data.get("documents", ()))
    lines = [f"conflict over {concerned}; accepted since your base revision:"]
    for change in data["conflicts"]:
        lines += render_history([change])
        for each in change["submission"]["changes"]:
            body = encode_json(each["body"]).decode()
            lines.append(f"  {each['kind']}.{each['name']} = {body}")
    return Result(EXIT_CONFLICT, lines, data)


def _format_documents(changes):
    return ", ".join(f"{change['kind']}.{change['name']}" for change in changes)


def _format_time(wall_ms):
    moment = datetime.fromtimestamp(wall_ms / 1000, timezone.utc)
    return moment.strftime("%Y-%m-%d %H:%M:%S")


def render_accepted(revision, lines=()):
    """Return the result of an accepted submission."""
    data = {"revision": revision}
    return Result(EXIT_OK, [f"accepted as revision {revision}", *lines], data)

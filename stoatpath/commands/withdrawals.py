"""Builds the change that withdraws a version."""

from stoatpath.configuration.documents import ACTIVE, WITHDRAWN
from stoatpath.configuration.messages import MODEL, Change, Problem


def plan_withdrawal(snapshot, version, replacement=""):
    """Return the `Change` of a model, or a `Problem`.

    A given `replacement` becomes the current version. Without one, if the withdrawn
    version is the current one, the only other active version becomes current; if none
    is active, the current version stays.
    """
    model, _, label = version.partition("@")
    body = snapshot.by_kind[MODEL].get(model)
    if body is None or label not in body["versions"]:
        known = sorted(snapshot.versions_by_name)
        return Problem("version", version, f"one of {known}")
    versions = {
        **body["versions"],
        label: {**body["versions"][label], "state": WITHDRAWN},
    }
    new_body = {**body, "versions": versions}
    active = [
        name for name, each in versions.items() if each.get("state", ACTIVE) == ACTIVE
    ]
    if replacement and replacement not in active:
        return Problem("replacement", replacement, f"one of {active}")
    if replacement:
        new_body["current"] = replacement
    elif body["current"] == label and len(active) > 1:
        return Problem("replacement", "", f"one of {active}, to be the current one")
    elif body["current"] == label and active:
        new_body["current"] = active[0]
    return Change(MODEL, model, new_body)

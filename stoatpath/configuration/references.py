"""Finds the documents that a document refers to."""

from stoatpath.configuration.messages import (
    MODEL,
    ORGANISATION,
    ROLLOUT,
    SERVICE,
    TEMPLATE,
)
from stoatpath.configuration.templates import render_organisation

VERSION_SEPARATOR = "@"


def find_references(kind, body, by_kind):
    """Return the (kind, name) pairs that a document refers to.

    `by_kind` holds all documents; templates are looked up there.
    """
    if body is None:
        return set()
    if kind == SERVICE:
        return {(MODEL, name) for name in body.get("cascade", ())}
    if kind == ROLLOUT:
        return {(MODEL, body.get("model"))}
    if kind == ORGANISATION:
        return _organisation_references(body, by_kind)
    return set()


def _organisation_references(body, by_kind):
    name = body.get("template")
    found = {(TEMPLATE, name)}
    template = by_kind[TEMPLATE].get(name)
    if template is None:
        return found
    rendered, problems = render_organisation("", template, body.get("parameters", {}))
    allowed = {} if problems else rendered.get("allowed", {})
    for service, entries in allowed.items():
        found.add((SERVICE, service))
        found |= {
            (MODEL, entry.partition(VERSION_SEPARATOR)[0])
            for entry in entries
            if entry != service
        }
    return found

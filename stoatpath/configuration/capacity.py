"""Warns of changes that leave an organisation without an active version or a backend.

Also warns of roll-outs to a version that is not active.
"""

from stoatpath.configuration.documents import ACTIVE, MODEL_SERVICE
from stoatpath.configuration.messages import (
    MODEL,
    ORGANISATION,
    ROLLOUT,
    SERVICE,
    TEMPLATE,
    Problem,
)
from stoatpath.configuration.references import find_references
from stoatpath.configuration.templates import render_organisation

ENGINE_ROLE = "engine"
SERVICE_ROLE = "service"


class ListedCapacity:
    """The models and services that the listed backend servers serve.

    `served_by_role` holds their names by role. The empty name stands for an engine
    that can serve every model.
    """

    __slots__ = ("_served_by_role",)

    def __init__(self, served_by_role):
        self._served_by_role = served_by_role

    @classmethod
    def from_entries(cls, entries):
        """Build from the entries of the platform's list."""
        served_by_role = {ENGINE_ROLE: set(), SERVICE_ROLE: set()}
        for entry in entries:
            if entry.role in served_by_role and entry.state == "live":
                served_by_role[entry.role].add(entry.serves)
        return cls(served_by_role)

    def has_backend(self, role, name):
        """Return whether a backend server for a model or service is listed."""
        served = self._served_by_role[role]
        return name in served or (role == ENGINE_ROLE and "" in served)


def find_warnings(by_kind, changes, capacity=None):
    """Return the warnings about a valid configuration, as problems.

    Only documents affected by `changes` are checked. `capacity` is None if the
    platform's list could not be read; backend servers are not checked then.
    """
    changed = {(change.kind, change.name) for change in changes}
    warnings = _find_inactive_rollouts(by_kind, changed)
    for name, body in by_kind[ORGANISATION].items():
        references = find_references(ORGANISATION, body, by_kind)
        references |= _find_cascade_models(references, by_kind)
        if (ORGANISATION, name) in changed or references & changed:
            warnings += _check_organisation(name, body, by_kind, capacity)
    return warnings


def _find_cascade_models(references, by_kind):
    found = set()
    for kind, name in references:
        if kind == SERVICE and name in by_kind[SERVICE]:
            found |= find_references(SERVICE, by_kind[SERVICE][name], by_kind)
    return found


def _find_inactive_rollouts(by_kind, changed):
    warnings = []
    for name, body in by_kind[ROLLOUT].items():
        version = by_kind[MODEL][body["model"]]["versions"][body["to"]]
        is_active = version.get("state", ACTIVE) == ACTIVE
        if (ROLLOUT, name) in changed and not is_active:
            path = f"rollout.{name}.to"
            warnings.append(Problem(path, body["to"], "an active version"))
    return warnings


def _check_organisation(name, body, by_kind, capacity):
    template = by_kind[TEMPLATE][body["template"]]
    rendered, _ = render_organisation(name, template, body["parameters"])
    warnings = []
    for service, entries in rendered["allowed"].items():
        path = f"organisation.{name}.allowed.{service}"
        document = by_kind[SERVICE][service]
        if document["kind"] == MODEL_SERVICE:
            warnings += _check_models(path, document, entries, by_kind, capacity)
        elif capacity is not None and not capacity.has_backend(SERVICE_ROLE, service):
            expected = "a service with a listed backend server"
            warnings.append(Problem(path, service, expected))
    return warnings


def _check_models(path, document, entries, by_kind, capacity):
    active_models = [
        model
        for model in document["cascade"]
        if _has_active_version(model, by_kind[MODEL][model], entries)
    ]
    if not active_models:
        expected = f"an active version of one of {document['cascade']}"
        return [Problem(path, sorted(entries), expected)]
    if capacity is None or any(
        capacity.has_backend(ENGINE_ROLE, each) for each in active_models
    ):
        return []
    return [Problem(path, active_models, "a model with a listed engine")]


def _has_active_version(model, body, entries):
    return any(
        version.get("state", ACTIVE) == ACTIVE
        and (model in entries or f"{model}@{label}" in entries)
        for label, version in body["versions"].items()
    )

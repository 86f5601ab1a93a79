"""An immutable snapshot of the configuration at one revision."""

from stoatpath.configuration.documents import Model, Organisation, Service
from stoatpath.configuration.messages import (
    KINDS,
    MODEL,
    ORGANISATION,
    ROLLOUT,
    SERVICE,
    TEMPLATE,
)
from stoatpath.configuration.templates import render_organisation


class Snapshot:
    """Documents by kind and name, with the typed views built from them."""

    __slots__ = (
        "revision",
        "by_kind",
        "models_by_name",
        "services_by_name",
        "organisations_by_name",
        "organisations_by_key_id",
        "versions_by_name",
        "rollouts_by_name",
    )

    def __init__(self, revision, by_kind):
        self.revision = revision
        self.by_kind = by_kind
        self.models_by_name = {
            name: Model.from_document(name, body)
            for name, body in by_kind[MODEL].items()
        }
        self.services_by_name = {
            name: Service.from_document(name, body)
            for name, body in by_kind[SERVICE].items()
        }
        self.organisations_by_name = {
            name: _build_organisation(name, body, by_kind[TEMPLATE])
            for name, body in by_kind[ORGANISATION].items()
        }
        self.organisations_by_key_id = {
            key_id: organisation
            for organisation in self.organisations_by_name.values()
            for key_id in organisation.keys_by_id
        }
        self.versions_by_name = {
            name: version
            for model in self.models_by_name.values()
            for name, version in model.by_version.items()
        }
        self.rollouts_by_name = by_kind[ROLLOUT]

    @classmethod
    def empty(cls):
        """Build the empty configuration that precedes the first submission."""
        return cls(0, {kind: {} for kind in KINDS})

    @classmethod
    def from_json(cls, data):
        """Build a snapshot from its wire form."""
        by_kind = {kind: data["by_kind"].get(kind, {}) for kind in KINDS}
        return cls(data["revision"], by_kind)

    def to_json(self):
        """Return the wire form."""
        return {"revision": self.revision, "by_kind": self.by_kind}

    def with_changes(self, revision, changes):
        """Return the snapshot at a revision, with accepted changes applied."""
        return Snapshot(revision, apply_changes(self.by_kind, changes))

    def with_history(self, accepted_changes):
        """Return the snapshot with history rows applied in order."""
        if not accepted_changes:
            return self
        changes = [
            change
            for accepted in accepted_changes
            for change in accepted.submission.changes
        ]
        return self.with_changes(accepted_changes[-1].revision, changes)


def apply_changes(by_kind, changes):
    """Return a copy of the documents with changes applied."""
    result = {kind: dict(documents) for kind, documents in by_kind.items()}
    for change in changes:
        documents = result.setdefault(change.kind, {})
        if change.body is None:
            documents.pop(change.name, None)
        else:
            documents[change.name] = change.body
    return result


def _build_organisation(name, body, templates):
    rendered, _ = render_organisation(
        name, templates[body["template"]], body["parameters"]
    )
    return Organisation.from_rendered(name, rendered)

"""Messages between operators, controllers and the stored configuration."""

MODEL = "model"
SERVICE = "service"
TEMPLATE = "template"
ORGANISATION = "organisation"
ROLLOUT = "rollout"
KINDS = (MODEL, SERVICE, TEMPLATE, ORGANISATION, ROLLOUT)


class Change:
    """Sets one document, or deletes it when `body` is None."""

    __slots__ = ("kind", "name", "body")

    def __init__(self, kind, name, body):
        self.kind = kind
        self.name = name
        self.body = body

    @classmethod
    def from_json(cls, data):
        """Build a change from its wire form."""
        return cls(data["kind"], data["name"], data["body"])

    def to_json(self):
        """Return the wire form."""
        return {"kind": self.kind, "name": self.name, "body": self.body}

    def is_well_formed(self):
        """Return whether the kind is known and the body can be a document."""
        return self.kind in KINDS and isinstance(self.body, dict | None)


class Submission:
    """Changes that an operator wants accepted together.

    `base_revision` is the revision that the changes are based on. It conflicts with
    later accepted changes to the same documents, to documents that it refers to, or
    of documents that refer to its own.
    `accept_warnings` accepts changes in spite of their warnings.
    """

    __slots__ = (
        "submission_id",
        "operator",
        "base_revision",
        "changes",
        "accept_warnings",
    )

    def __init__(
        self, submission_id, operator, base_revision, changes, accept_warnings=False
    ):
        self.submission_id = submission_id
        self.operator = operator
        self.base_revision = base_revision
        self.changes = changes
        self.accept_warnings = accept_warnings

    @classmethod
    def from_json(cls, data):
        """Build a submission from its wire form."""
        changes = [Change.from_json(change) for change in data["changes"]]
        return cls(
            data["submission_id"],
            data["operator"],
            data["base_revision"],
            changes,
            data.get("accept_warnings", False),
        )

    def to_json(self):
        """Return the wire form."""
        return {
            "submission_id": self.submission_id,
            "operator": self.operator,
            "base_revision": self.base_revision,
            "changes": [change.to_json() for change in self.changes],
            "accept_warnings": self.accept_warnings,
        }

    def is_well_formed(self):
        """Return whether all fields have the right types; contents are not checked."""
        texts = [self.submission_id, self.operator]
        texts += [change.name for change in self.changes]
        return (
            all(isinstance(text, str) and text for text in texts)
            and type(self.base_revision) is int
            and type(self.accept_warnings) is bool
            and len(self.changes) > 0
            and all(change.is_well_formed() for change in self.changes)
        )


class AcceptedChange:
    """A history row: a submission as accepted under a revision."""

    __slots__ = ("revision", "accepted_at_ms", "submission")

    def __init__(self, revision, accepted_at_ms, submission):
        self.revision = revision
        self.accepted_at_ms = accepted_at_ms
        self.submission = submission

    @classmethod
    def from_json(cls, data):
        """Build a history row from its stored form."""
        submission = Submission.from_json(data["submission"])
        return cls(data["revision"], data["accepted_at_ms"], submission)

    def to_json(self):
        """Return the stored form."""
        return {
            "revision": self.revision,
            "accepted_at_ms": self.accepted_at_ms,
            "submission": self.submission.to_json(),
        }


class Problem:
    """One problem of a submission: its path, the value there, and what is expected."""

    __slots__ = ("path", "value", "expected")

    def __init__(self, path, value, expected):
        self.path = path
        self.value = value
        self.expected = expected

    def to_json(self):
        """Return the wire form."""
        return {"path": self.path, "value": self.value, "expected": self.expected}


class Accepted:
    """The submission is accepted under a revision."""

    __slots__ = ("revision",)

    def __init__(self, revision):
        self.revision = revision


class Invalid:
    """The submission is refused because of its problems."""

    __slots__ = ("problems",)

    def __init__(self, problems):
        self.problems = problems


class Risky:
    """The submission is valid, but refused until its warnings are accepted."""

    __slots__ = ("warnings",)

    def __init__(self, warnings):
        self.warnings = warnings


class Conflict:
    """A later accepted change conflicts with the submission.

    `documents` names the documents concerned as `kind.name`.
    """

    __slots__ = ("accepted_changes", "documents")

    def __init__(self, accepted_changes, documents=()):
        self.accepted_changes = accepted_changes
        self.documents = documents

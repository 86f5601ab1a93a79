"""Messages of the claims of idempotency keys."""

import base64

CLAIMED = "claimed"
DONE = "done"
NOT_RUN = "not-run"


class Claim:
    """The stored state of one key of one organisation.

    `attempt_id` is the identifier of the request that wrote it: an attempt is one try
    of the caller to have the work done under a key.

    `answer` is the stored answer once `state` is `done`, or None if it was too large
    or has expired. `written_at_ms` is Unix time.
    """

    __slots__ = ("attempt_id", "body_digest", "state", "written_at_ms", "answer")

    def __init__(self, attempt_id, body_digest, state, written_at_ms, answer=None):
        self.attempt_id = attempt_id
        self.body_digest = body_digest
        self.state = state
        self.written_at_ms = written_at_ms
        self.answer = answer

    @classmethod
    def from_json(cls, data):
        """Build a claim from its stored form."""
        answer = data.get("answer")
        if answer is not None:
            answer = StoredAnswer.from_json(answer)
        return cls(
            data["attempt_id"],
            data["body_digest"],
            data["state"],
            data["written_at_ms"],
            answer,
        )

    def to_json(self):
        """Return the stored form."""
        return {
            "attempt_id": self.attempt_id,
            "body_digest": self.body_digest,
            "state": self.state,
            "written_at_ms": self.written_at_ms,
            "answer": None if self.answer is None else self.answer.to_json(),
        }

    def is_same_state(self, other):
        """Return whether another claim holds the same state of the same attempt."""
        return self.attempt_id == other.attempt_id and self.state == other.state


class StoredAnswer:
    """An answer stored for replay."""

    __slots__ = ("status", "content_type", "body", "version", "request_id")

    def __init__(self, status, content_type, body, version, request_id):
        self.status = status
        self.content_type = content_type
        self.body = body
        self.version = version
        self.request_id = request_id

    @classmethod
    def from_json(cls, data):
        """Build an answer from its stored form."""
        return cls(
            data["status"],
            data["content_type"],
            base64.b64decode(data["body"]),
            data["version"],
            data["request_id"],
        )

    def to_json(self):
        """Return the stored form."""
        return {
            "status": self.status,
            "content_type": self.content_type,
            "body": base64.b64encode(self.body).decode(),
            "version": self.version,
            "request_id": self.request_id,
        }


class ExistingClaim:
    """A claim that is already stored for a key, with its row version."""

    __slots__ = ("claim", "row_version")

    def __init__(self, claim, row_version):
        self.claim = claim
        self.row_version = row_version


class Acquired:
    """The attempt holds the key and may run; `row_version` is that of its claim."""

    __slots__ = ("row_version",)

    def __init__(self, row_version):
        self.row_version = row_version


class Replay:
    """An earlier attempt with the key is done; its stored answer is replayed."""

    __slots__ = ("answer",)

    def __init__(self, answer):
        self.answer = answer

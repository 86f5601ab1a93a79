"""Messages of the claims of idempotency keys."""

CLAIMED = "claimed"
DONE = "done"
NOT_RUN = "not-run"


class Claim:
    """The stored state of one key of one organisation.

    `answer` is the stored answer once `state` is `done`, else None.
    """

    __slots__ = ("attempt_id", "body_digest", "state", "answer")

    def __init__(self, attempt_id, body_digest, state, answer=None):
        self.attempt_id = attempt_id
        self.body_digest = body_digest
        self.state = state
        self.answer = answer

    @classmethod
    def from_json(cls, data):
        """Build a claim from its stored form."""
        answer = data.get("answer")
        if answer is not None:
            answer = StoredAnswer.from_json(answer)
        return cls(data["attempt_id"], data["body_digest"], data["state"], answer)

    def to_json(self):
        """Return the stored form."""
        return {
            "attempt_id": self.attempt_id,
            "body_digest": self.body_digest,
            "state": self.state,
            "answer": None if self.answer is None else self.answer.to_json(),
        }


class StoredAnswer:
    """An answer kept for replay."""

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
            bytes.fromhex(data["body"]),
            data["version"],
            data["request_id"],
        )

    def to_json(self):
        """Return the stored form."""
        return {
            "status": self.status,
            "content_type": self.content_type,
            "body": self.body.hex(),
            "version": self.version,
            "request_id": self.request_id,
        }


class Won:
    """This attempt holds the key and may run."""

    __slots__ = ()


class Replay:
    """The key is done; its stored answer is replayed."""

    __slots__ = ("answer",)

    def __init__(self, answer):
        self.answer = answer

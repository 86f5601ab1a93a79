"""Messages between the listener and the pipeline that serves requests."""

from xxhash import xxh3_128_hexdigest

from stoatpath.quarantine.messages import whole_request_name
from stoatpath.utils import encode_json


class CallerRequest:
    """One authenticated request of a caller.

    `deadline_ms` and `arrived_ms` are clock readings. `session` is the session token
    or identifier that the caller sent, or "". `body` is the decoded JSON of a chat
    completion or the raw bytes of a call of a plain service. `was_sent` is true if a
    backend server may have received the request. `lost_beginnings` counts the streams
    whose connection was lost between the head of the answer and its first event,
    `lost_runs` all runs whose connection was lost before, and `crashes` those under
    which the backend server is known to have ended. With `has_caller_left` it is not
    sent any more.
    """

    __slots__ = (
        "request_id",
        "organisation",
        "service",
        "purpose",
        "arrived_ms",
        "deadline_ms",
        "session",
        "idempotency_key",
        "body_digest",
        "is_repeatable",
        "is_stream",
        "method",
        "path",
        "content_type",
        "body",
        "_content",
        "was_sent",
        "has_caller_left",
        "lost_beginnings",
        "lost_runs",
        "crashes",
        "__weakref__",
    )

    def __init__(
        self,
        request_id,
        organisation,
        service,
        purpose,
        arrived_ms,
        deadline_ms,
        session,
        idempotency_key,
        body_digest,
        is_repeatable,
        is_stream,
        method,
        path,
        content_type,
        body,
    ):
        self.request_id = request_id
        self.organisation = organisation
        self.service = service
        self.purpose = purpose
        self.arrived_ms = arrived_ms
        self.deadline_ms = deadline_ms
        self.session = session
        self.idempotency_key = idempotency_key
        self.body_digest = body_digest
        self.is_repeatable = is_repeatable
        self.is_stream = is_stream
        self.method = method
        self.path = path
        self.content_type = content_type
        self.body = body
        self._content = None
        self.was_sent = False
        self.has_caller_left = False
        self.lost_beginnings = 0
        self.lost_runs = 0
        self.crashes = 0

    @property
    def outlives_caller(self):
        """Return whether a run is completed, and billed, for a caller who has left."""
        return not self.is_repeatable

    @property
    def content(self):
        """Return a digest of what makes two requests the same to a backend server.

        That is the organisation, method, path and body.
        """
        if self._content is None:
            body = self.body
            if not isinstance(body, bytes):
                body = encode_json(body)
            head = "\n".join((self.organisation.name, self.method, self.path, ""))
            self._content = xxh3_128_hexdigest(head.encode() + body)
        return self._content

    @property
    def shared_part_names(self):
        """Return (): the parts of prompts are not known here."""
        return ()

    @property
    def quarantine_names(self):
        """Return the names by which the request may be kept from backend servers."""
        return (whole_request_name(self.content),)


class ServedResult:
    """A complete answer for the caller.

    `stages` lists the model versions that ran and `cost` is their total cost.
    `session` is the token for the caller's next request, or "". `session_moved` is the
    reason why the session changed its model version, or "".
    """

    __slots__ = (
        "status",
        "content_type",
        "body",
        "version",
        "stages",
        "cost",
        "session",
        "session_moved",
        "is_replay",
    )

    def __init__(self, status, content_type, body, version, stages, cost):
        self.status = status
        self.content_type = content_type
        self.body = body
        self.version = version
        self.stages = stages
        self.cost = cost
        self.session = ""
        self.session_moved = ""
        self.is_replay = False

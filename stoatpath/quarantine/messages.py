"""What instances tell each other about content that ends backend servers."""

MAX_NAME_CHARS = 200
MAX_PARTS = 64
MAX_TIME_LEFT_MS = 86_400_000.0
# Durations double with each repeat up to a limit that is reached far earlier. Without a
# limit on a received count, 2**count stopped the event loop of each instance.
MAX_REPEATS = 32
# Begins the name of a whole request, which its digest follows; no prompt part has it.
WHOLE_REQUEST = "request:"


def whole_request_name(digest):
    """Return the name of all requests with the same content."""
    return f"{WHOLE_REQUEST}{digest}"


def is_whole_request(name):
    """Return whether a name is that of whole requests, not of a prompt part."""
    return name.startswith(WHOLE_REQUEST)


class LostAttempt:
    """An attempt whose backend server ended before the first event of its answer.

    `parts` are the names of the prompt parts that other requests may share, `content`
    is the name of the whole request. `has_begun` says that the head of an answer had
    arrived. `started_ms` and `lost_ms` are clock readings; as JSON they are ages, since
    the clocks of instances differ.
    """

    __slots__ = (
        "backend",
        "request_id",
        "parts",
        "content",
        "has_begun",
        "started_ms",
        "lost_ms",
    )

    def __init__(
        self, backend, request_id, parts, content, has_begun, started_ms, lost_ms
    ):
        self.backend = backend
        self.request_id = request_id
        self.parts = parts
        self.content = content
        self.has_begun = has_begun
        self.started_ms = started_ms
        self.lost_ms = lost_ms

    @property
    def names(self):
        """Return all names by which such requests may be put into quarantine."""
        return (*self.parts, self.content) if self.content else self.parts

    def without_content(self):
        """Return the same attempt as evidence against its parts alone."""
        return LostAttempt(
            self.backend,
            self.request_id,
            self.parts,
            "",
            self.has_begun,
            self.started_ms,
            self.lost_ms,
        )

    def to_json(self, now_ms):
        """Return the JSON form."""
        return {
            "backend": self.backend,
            "request": self.request_id,
            "parts": list(self.parts),
            "content": self.content,
            "begun": self.has_begun,
            "start_age_ms": now_ms - self.started_ms,
            "age_ms": now_ms - self.lost_ms,
        }

    @classmethod
    def from_json(cls, data, now_ms):
        """Build an attempt; raise KeyError, TypeError or ValueError if malformed.

        Instances of an older release name no content and no start.
        """
        age_ms = decode_duration_ms(data["age_ms"])
        start_age_ms = decode_duration_ms(data.get("start_age_ms", age_ms))
        return cls(
            decode_name(data["backend"]),
            decode_name(data["request"]),
            tuple(decode_name(part) for part in list(data["parts"])[:MAX_PARTS]),
            decode_name(data.get("content", "")),
            data["begun"] is True,
            now_ms - start_age_ms,
            now_ms - age_ms,
        )


class Quarantine:
    """A decision to send no request with a prompt part to a service, or to end that.

    `part` names the prompt part, or whole requests with the same content. Of two
    decisions about a part, the one with the higher `version` holds. `until_ms` is a
    clock reading; as JSON it is the time left. `repeats` counts the quarantines of the
    part before this one, without an answer to it in between.
    """

    __slots__ = ("service", "part", "version", "until_ms", "repeats", "is_lifted")

    def __init__(self, service, part, version, until_ms, repeats=0, is_lifted=False):
        self.service = service
        self.part = part
        self.version = version
        self.until_ms = until_ms
        self.repeats = repeats
        self.is_lifted = is_lifted

    def to_json(self, now_ms):
        """Return the JSON form."""
        return {
            "service": self.service,
            "part": self.part,
            "version": self.version,
            "left_ms": self.until_ms - now_ms,
            "repeats": self.repeats,
            "lifted": self.is_lifted,
        }

    @classmethod
    def from_json(cls, data, now_ms):
        """Build a decision; raise KeyError, TypeError or ValueError if malformed."""
        version, repeats = data["version"], data["repeats"]
        if not isinstance(version, int) or not isinstance(repeats, int):
            raise TypeError("a version or a count is not an integer")
        return cls(
            decode_name(data["service"]),
            decode_name(data["part"]),
            version,
            now_ms + decode_time_left_ms(data["left_ms"]),
            min(MAX_REPEATS, max(0, repeats)),
            data["lifted"] is True,
        )


def decode_name(value):
    """Return a name; raise TypeError if it is not a text."""
    if not isinstance(value, str):
        raise TypeError("a name is not a text")
    return value[:MAX_NAME_CHARS]


def decode_time_left_ms(value):
    """Return a finite time that may have passed; raise ValueError for other values."""
    left_ms = float(value)
    if not abs(left_ms) < MAX_TIME_LEFT_MS:
        raise ValueError("a time is out of bounds")
    return left_ms


def decode_duration_ms(value):
    """Return a finite, non-negative duration; raise ValueError for any other value."""
    duration_ms = float(value)
    if not 0.0 <= duration_ms < float("inf"):
        raise ValueError("a duration is negative or not finite")
    return duration_ms

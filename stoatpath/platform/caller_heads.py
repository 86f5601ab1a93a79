"""Decodes the heads of callers' requests."""

from stoatpath.callers.relay_messages import NO_PROMPT, Prompt, PromptPart
from stoatpath.outcomes import BAD_REQUEST, Failure
from stoatpath.platform import names
from stoatpath.platform.backend_calls import forwarded_headers

SINGLE_HEADERS = (
    "Host",
    "Authorization",
    names.ATTEMPT_ID,
    names.DEADLINE_MS,
    names.MODEL,
    names.TOKEN_COUNTS,
    names.PROMPT_PREFIX,
    names.LENGTH_HINT,
    names.LAST_EVENT_ID,
)
MAX_ID_CHARS = 200


class CallerHeaderDecoder:
    """Reads what the platform's headers say; values that make no sense say nothing."""

    __slots__ = ()

    def check(self, headers):
        """Return the failure of headers that can't be told apart, or None."""
        for name in SINGLE_HEADERS:
            if len(headers.getall(name, ())) > 1:
                return Failure(BAD_REQUEST, "the header is given twice", field=name)
        attempt_id = headers.get(names.ATTEMPT_ID, "")
        if not 0 < len(attempt_id) <= MAX_ID_CHARS or not attempt_id.isascii():
            detail = f"expected 1 to {MAX_ID_CHARS} ASCII characters"
            return Failure(BAD_REQUEST, detail, field=names.ATTEMPT_ID)
        return None

    def request_id(self, headers):
        """Return the identifier of the request, or None."""
        return headers.get(names.ATTEMPT_ID) or None

    def host(self, headers):
        """Return the host without its port."""
        return headers.get("Host", "").partition(":")[0]

    def key(self, headers, scheme):
        """Return the caller's key, or ""."""
        text = headers.get("Authorization", "")
        return text[len(scheme) :] if text.startswith(scheme) else ""

    def session(self, headers):
        """Return the session that the request belongs to, or ""."""
        return headers.get(names.SESSION, "")

    def last_event_id(self, headers):
        """Return the event after which a stream goes on, or ""."""
        text = headers.get(names.LAST_EVENT_ID, "")
        return text if text.isascii() and text.isdigit() else ""

    def timeout_ms(self, headers, longest_ms):
        """Return how long the caller waits, at most what its route allows."""
        number = _whole(headers.get(names.DEADLINE_MS))
        return longest_ms if number is None else min(number, longest_ms)

    def prompt(self, headers):
        """Return the `Prompt` that the headers describe."""
        model = headers.get(names.MODEL, "")
        if not model:
            return NO_PROMPT
        # Two numbers: the prompt's tokens, and the most that may be generated.
        counts = headers.get(names.TOKEN_COUNTS, "").partition(",")
        tokens = _whole(counts[0]) or 0
        most = _whole(counts[2]) or 0
        hint = _whole(headers.get(names.LENGTH_HINT))
        expected = min(hint, most) if hint is not None and most else hint or most
        parts = _read_parts(headers.get(names.PROMPT_PREFIX, ""))
        return Prompt(model, tokens, most, expected, parts)

    def forwarded_headers(self, headers):
        """Return what is passed on of the caller's headers, as pairs."""
        return forwarded_headers(headers)


def _read_parts(text):
    parts = []
    for entry in text.split(","):
        name, _, tokens = entry.strip().partition(":")
        count = _whole(tokens)
        if not name or count is None:
            return ()
        parts.append(PromptPart(name, count))
    return tuple(parts)


def _whole(text):
    if text is None or not text.isascii() or not text.strip().isdigit():
        return None
    return int(text.strip()[:12])

"""Decodes the headers of requests of callers."""

from stoatpath.callers.relay_messages import NO_PROMPT, Prompt, PromptPart
from stoatpath.heads import is_utf8, printable_text
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
    """Decodes the headers that the platform defines.

    `check` refuses repeated headers and an invalid identifier. Other values that are
    invalid are treated as missing; numbers are read from their first 12 digits. Names
    are texts that can be encoded, whatever bytes the caller sent.
    """

    __slots__ = ()

    def check(self, headers):
        """Return the failure for repeated headers or a bad or missing id, or None."""
        for name in SINGLE_HEADERS:
            if len(headers.getall(name, ())) > 1:
                return Failure(BAD_REQUEST, "the header is given twice", field=name)
        attempt_id = headers.get(names.ATTEMPT_ID, "")
        if not 0 < len(attempt_id) <= MAX_ID_CHARS or not attempt_id.isascii():
            detail = f"expected 1 to {MAX_ID_CHARS} ASCII characters"
            return Failure(BAD_REQUEST, detail, field=names.ATTEMPT_ID)
        return None

    def request_id(self, headers):
        """Return the caller's attempt identifier, which identifies the request here."""
        return headers.get(names.ATTEMPT_ID) or None

    def host(self, headers):
        """Return the host without its port."""
        return headers.get("Host", "").partition(":")[0]

    def key(self, headers):
        """Return the caller's key, or ""."""
        text = headers.get("Authorization", "")
        scheme = names.KEY_SCHEME
        return text[len(scheme) :] if text.startswith(scheme) else ""

    def session(self, headers):
        """Return the session that the request belongs to, or ""."""
        return printable_text(headers.get(names.SESSION, ""))

    def last_event_id(self, headers):
        """Return the identifier of the event after which to resume a stream, or ""."""
        text = headers.get(names.LAST_EVENT_ID, "")
        return text if text.isascii() and text.isdigit() else ""

    def timeout_ms(self, headers, max_timeout_ms):
        """Return the timeout of the caller, limited to that of the route."""
        number = _parse_integer(headers.get(names.DEADLINE_MS))
        return max_timeout_ms if number is None else min(number, max_timeout_ms)

    def prompt(self, headers):
        """Return the `Prompt` that the headers describe."""
        model = headers.get(names.MODEL, "")
        if not model or not is_utf8(model):
            return NO_PROMPT
        # Two numbers: the tokens of the prompt, and the limit on generated tokens.
        token_counts = headers.get(names.TOKEN_COUNTS, "").partition(",")
        tokens = _parse_integer(token_counts[0]) or 0
        max_new_tokens = _parse_integer(token_counts[2]) or 0
        length_hint = _parse_integer(headers.get(names.LENGTH_HINT))
        expected_new_tokens = (
            min(length_hint, max_new_tokens)
            if length_hint is not None and max_new_tokens
            else length_hint or max_new_tokens
        )
        parts = _parse_prompt_parts(
            printable_text(headers.get(names.PROMPT_PREFIX, ""))
        )
        return Prompt(model, tokens, max_new_tokens, expected_new_tokens, parts)

    def forwarded_runs(self, headers):
        """Return the runs of a request that another instance forwards, or None."""
        return _parse_integer(headers.get(names.FORWARDED))

    def forwarded_headers(self, headers):
        """Return the headers of the caller to forward, as pairs."""
        return forwarded_headers(headers)


def _parse_prompt_parts(text):
    parts = []
    for entry in text.split(","):
        name, _, tokens = entry.strip().partition(":")
        count = _parse_integer(tokens)
        if not name or count is None:
            return ()
        parts.append(PromptPart(name, count))
    return tuple(parts)


def _parse_integer(text):
    if text is None or not text.isascii() or not text.strip().isdigit():
        return None
    return int(text.strip()[:12])

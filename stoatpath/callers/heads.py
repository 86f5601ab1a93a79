"""Checks the request headers that the router itself interprets."""

from stoatpath.outcomes import BAD_REQUEST, UNSUPPORTED_MEDIA, Failure

TIMEOUT_HEADER = "Stoatpath-Timeout-Ms"
SESSION_HEADER = "Stoatpath-Session"
PURPOSE_HEADER = "Stoatpath-Purpose"
KEY_HEADER = "Idempotency-Key"
CONTENT_TYPE_HEADER = "Content-Type"
SINGLE_HEADERS = (
    "Authorization",
    KEY_HEADER,
    SESSION_HEADER,
    TIMEOUT_HEADER,
    PURPOSE_HEADER,
    CONTENT_TYPE_HEADER,
)
UTF8_NAMES = ("utf-8", "utf8", "us-ascii")


def check_headers(headers):
    """Return the failure for a repeated, non-ASCII or empty header, or None."""
    for name in SINGLE_HEADERS:
        values = headers.getall(name, ())
        if len(values) > 1:
            return Failure(BAD_REQUEST, "the header is given twice", field=name)
        if values and not values[0].isascii():
            return Failure(BAD_REQUEST, "expected ASCII characters", field=name)
        if values and not values[0] and name != CONTENT_TYPE_HEADER:
            return Failure(BAD_REQUEST, "the header is empty", field=name)
    return None


def check_media_type(text):
    """Return the failure for a content type that can't hold JSON, or None.

    Other types than JSON are accepted, since common tools send JSON under the type
    of a form.
    """
    media_type, *parameters = text.lower().split(";")
    if media_type.strip().startswith("multipart/"):
        detail = "expected application/json"
        return Failure(UNSUPPORTED_MEDIA, detail, field=CONTENT_TYPE_HEADER)
    for parameter in parameters:
        name, _, value = parameter.strip().partition("=")
        if name == "charset" and value.strip('"') not in UTF8_NAMES:
            detail = "expected the charset utf-8"
            return Failure(UNSUPPORTED_MEDIA, detail, field=CONTENT_TYPE_HEADER)
    return None

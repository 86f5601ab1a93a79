"""Reads from response headers for how long an answer may be kept."""

FORBIDDING = ("no-store", "no-cache", "private")
MAX_KEPT_S = 300


def parse_cache_ttl_s(status, headers):
    """Return for how long an answer may be used again, 0 if not at all.

    Only what a service allows is kept: a 200 with `Cache-Control: max-age` or
    `s-maxage`, nothing that forbids it, no cookies and no `Vary`. The time that
    the answer spent in caches before counts.
    """
    if status != 200 or "Set-Cookie" in headers or "Vary" in headers:
        return 0
    directives = _directives(headers.get("Cache-Control", ""))
    if any(name in directives for name in FORBIDDING):
        return 0
    allowed = directives.get("s-maxage", directives.get("max-age", ""))
    age = headers.get("Age", "0")
    if not _is_number(allowed) or not _is_number(age):
        return 0
    return max(0, min(int(allowed), MAX_KEPT_S) - int(age))


def _directives(text):
    directives = {}
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        directives[name.lower()] = value.strip('"')
    return directives


def _is_number(text):
    return text.isascii() and text.isdigit() and len(text) < 10

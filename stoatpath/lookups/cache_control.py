"""Derives the cache lifetime of an answer from its response headers."""

UNCACHEABLE_DIRECTIVES = ("no-store", "no-cache", "private")
MAX_TTL_S = 300


def parse_cache_ttl_s(status, headers):
    """Return for how many seconds an answer may be cached, 0 if not at all.

    An answer is cacheable only with status 200 and `Cache-Control: max-age` or
    `s-maxage`, without a directive that forbids it, `Set-Cookie` or `Vary`. The `Age`
    that it already has is subtracted after the limit of MAX_TTL_S.
    """
    if status != 200 or "Set-Cookie" in headers or "Vary" in headers:
        return 0
    directives = _parse_directives(headers.get("Cache-Control", ""))
    if any(name in directives for name in UNCACHEABLE_DIRECTIVES):
        return 0
    max_age = directives.get("s-maxage", directives.get("max-age", ""))
    age = headers.get("Age", "0")
    if not _is_valid_seconds(max_age) or not _is_valid_seconds(age):
        return 0
    return max(0, min(int(max_age), MAX_TTL_S) - int(age))


def _parse_directives(text):
    directives = {}
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        directives[name.lower()] = value.strip('"')
    return directives


def _is_valid_seconds(text):
    return text.isascii() and text.isdigit() and len(text) < 10

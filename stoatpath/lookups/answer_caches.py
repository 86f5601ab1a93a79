"""Answers that may be used again, by organisation and question; pure state."""

from collections import OrderedDict

MAX_BYTES = 4 * 1024 * 1024
MAX_ANSWER_BYTES = 64 * 1024
METHODS = ("GET", "HEAD")


class CachedAnswer:
    """An answer and the clock reading until which it may be used."""

    __slots__ = ("answer", "until_ms")

    def __init__(self, answer, until_ms):
        self.answer = answer
        self.until_ms = until_ms


class AnswerCache:
    """Kept answers of one router, bounded in bytes, the oldest dropped first.

    Organisations never share an answer. A call that may change something drops
    all answers that its service gave to its organisation, at its beginning and
    at its end, and what was asked before its end is not kept.
    """

    __slots__ = ("hits", "_by_key", "_bytes", "_changed_ms_by_scope")

    def __init__(self):
        self.hits = 0
        self._by_key = OrderedDict()
        self._bytes = 0
        self._changed_ms_by_scope = {}

    def get_answer(self, request, now_ms):
        """Return an answer that may be used for a request, or None."""
        key = _key(request)
        if key is None:
            return None
        kept = self._by_key.get(key)
        if kept is None:
            return None
        if now_ms >= kept.until_ms:
            self._drop(key)
            return None
        self.hits += 1
        return kept.answer

    def store_answer(self, request, answer, asked_ms):
        """Keep an answer to a request that was sent at a clock reading."""
        key = _key(request)
        size = len(answer.body)
        if key is None or not answer.cache_ttl_s or size > MAX_ANSWER_BYTES:
            return
        changed_ms = self._changed_ms_by_scope.get(_scope(request), float("-inf"))
        if asked_ms <= changed_ms:
            return
        self._drop(key)
        self._by_key[key] = CachedAnswer(answer, asked_ms + answer.cache_ttl_s * 1000)
        self._bytes += size
        while self._bytes > MAX_BYTES:
            self._drop(next(iter(self._by_key)))

    def invalidate(self, request, now_ms):
        """Drop what a call that is not a lookup may have changed."""
        scope = _scope(request)
        self._changed_ms_by_scope[scope] = now_ms
        for key in [key for key in self._by_key if key[:2] == scope]:
            self._drop(key)

    def _drop(self, key):
        kept = self._by_key.pop(key, None)
        if kept is not None:
            self._bytes -= len(kept.answer.body)


def is_lookup(request):
    """Return whether a request asks and changes nothing."""
    return request.is_repeatable and request.method in METHODS


def _key(request):
    if not is_lookup(request) or request.idempotency_key or request.body:
        return None
    return (*_scope(request), request.method, request.path)


def _scope(request):
    return request.organisation.name, request.service.name

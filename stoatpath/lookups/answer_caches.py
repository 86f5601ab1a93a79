"""Cache of answers by organisation, service and request; does no I/O."""

from collections import OrderedDict

MAX_CACHE_BYTES = 4 * 1024 * 1024
MAX_ANSWER_BYTES = 64 * 1024
LOOKUP_METHODS = ("GET", "HEAD")


class CachedAnswer:
    """An answer and the time at which it expires."""

    __slots__ = ("answer", "expires_ms")

    def __init__(self, answer, expires_ms):
        self.answer = answer
        self.expires_ms = expires_ms


class AnswerCache:
    """Answers cached by one router, limited in bytes; the oldest are evicted first.

    Organisations never share an answer. A call that may modify data invalidates all
    cached answers of its service for its organisation, both when it begins and when
    it ends. Answers to lookups sent before its end are not stored, as they may
    precede the modification.
    """

    __slots__ = ("hits", "_by_key", "_bytes", "_invalidated_ms_by_scope")

    def __init__(self):
        self.hits = 0
        self._by_key = OrderedDict()
        self._bytes = 0
        self._invalidated_ms_by_scope = {}

    def get_answer(self, request, now_ms):
        """Return the cached answer to a request, or None."""
        key = _key(request)
        if key is None:
            return None
        cached = self._by_key.get(key)
        if cached is None:
            return None
        if now_ms >= cached.expires_ms:
            self._evict(key)
            return None
        self.hits += 1
        return cached.answer

    def store_answer(self, request, answer, sent_ms):
        """Store the answer to a request that was sent at `sent_ms`."""
        key = _key(request)
        size = len(answer.body)
        if key is None or not answer.cache_ttl_s or size > MAX_ANSWER_BYTES:
            return
        invalidated_ms = self._invalidated_ms_by_scope.get(
            _scope(request), float("-inf")
        )
        if sent_ms <= invalidated_ms:
            return
        self._evict(key)
        self._by_key[key] = CachedAnswer(answer, sent_ms + answer.cache_ttl_s * 1000)
        self._bytes += size
        while self._bytes > MAX_CACHE_BYTES:
            self._evict(next(iter(self._by_key)))

    def invalidate(self, request, now_ms):
        """Drop all answers in the scope of a call that may modify data."""
        scope = _scope(request)
        self._invalidated_ms_by_scope[scope] = now_ms
        for key in [key for key in self._by_key if key[:2] == scope]:
            self._evict(key)

    def _evict(self, key):
        cached = self._by_key.pop(key, None)
        if cached is not None:
            self._bytes -= len(cached.answer.body)


def is_lookup(request):
    """Return whether a request only reads data: a repeatable GET or HEAD."""
    return request.is_repeatable and request.method in LOOKUP_METHODS


def _key(request):
    if not is_lookup(request) or request.idempotency_key or request.body:
        return None
    return (*_scope(request), request.method, request.path)


def _scope(request):
    return request.organisation.name, request.service.name

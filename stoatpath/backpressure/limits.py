"""The request limits that backend servers name in their answers, with their age."""

import logging

logger = logging.getLogger(__name__)

MAX_REMEMBERED_TEXTS = 100
# Upper limit of the time that a message of another instance takes. The end of a limit
# counts as heard that much sooner, since the age that the message states is too low.
TRAVEL_MS = 100.0


class NamedLimit:
    """A limit in requests per second, None if it has ended.

    `heard_ms` is the clock reading up to which it is known: when an answer named it, or
    when the request was sent whose answer named none. `sends` counts the requests that
    this instance has sent since it heard of a limit.
    """

    __slots__ = ("per_s", "heard_ms", "sends")

    def __init__(self, per_s, heard_ms):
        self.per_s = per_s
        self.heard_ms = heard_ms
        self.sends = 0


class LimitTable:
    """The limits that backend servers have named, by their names.

    `limited_sends` counts the requests to those with a limit in force. Each of
    `observers` is called with the name of a backend server whose answers to this
    instance began, changed or ended a limit.
    """

    __slots__ = (
        "by_name",
        "limited_sends",
        "observers",
        "_started_ms_by_name",
        "_unreadable_texts",
    )

    def __init__(self):
        self.by_name = {}
        self.observers = []
        self.limited_sends = 0
        self._started_ms_by_name = {}
        self._unreadable_texts = set()

    def limit_per_s(self, name):
        """Return the limit of a backend server in force, or None."""
        limit = self.by_name.get(name)
        return None if limit is None else limit.per_s

    def observe(self, name, signals, sent_ms, now_ms):
        """Record the signals of an answer to a request sent at `sent_ms`.

        An answer to a request that was sent before the limit was heard may be older
        than the answer that named it: it can't end the limit, only lower it.
        """
        if self._is_of_earlier_process(name, sent_ms):
            return
        for text in signals.unreadable:
            self._log_unreadable(name, text)
        known = self.by_name.get(name)
        before_per_s = self.limit_per_s(name)
        if signals.limit_per_s is not None:
            per_s = signals.limit_per_s
            if self._is_concurrent(known, sent_ms):
                per_s = min(per_s, known.per_s)
            self._set(name, per_s, now_ms)
        elif signals.unreadable or not signals.is_authentic or known is None:
            return
        elif not self._is_concurrent(known, sent_ms):
            self._set(name, None, max(known.heard_ms, sent_ms))
        if self.limit_per_s(name) != before_per_s:
            for observer in self.observers:
                observer(name)

    def merge(self, name, per_s, heard_ms):
        """Record what another instance heard; `per_s` is None if the limit ended."""
        if self._is_of_earlier_process(name, heard_ms):
            return
        known = self.by_name.get(name)
        if per_s is None:
            heard_ms -= TRAVEL_MS
            if known is None:
                return
        if known is None or heard_ms > known.heard_ms:
            self._set(name, per_s, heard_ms)

    def forget(self, name, now_ms):
        """Drop the limit of a backend server whose process is new."""
        known = self.by_name.get(name)
        if known is not None:
            self._set(name, None, now_ms)
            del self.by_name[name]
        self._started_ms_by_name[name] = now_ms

    def record_send(self, name):
        """Count a request to a backend server."""
        limit = self.by_name.get(name)
        if limit is not None and limit.per_s is not None:
            limit.sends += 1
            self.limited_sends += 1

    def retain_backends(self, names):
        """Drop the limits of all backend servers but the named ones."""
        for by_name in (self.by_name, self._started_ms_by_name):
            for name in [name for name in by_name if name not in names]:
                del by_name[name]

    def count_in_force(self):
        """Return the number of backend servers with a limit in force."""
        return sum(limit.per_s is not None for limit in self.by_name.values())

    def _is_of_earlier_process(self, name, at_ms):
        return at_ms < self._started_ms_by_name.get(name, float("-inf"))

    @staticmethod
    def _is_concurrent(known, sent_ms):
        return (
            known is not None and known.per_s is not None and sent_ms < known.heard_ms
        )

    def _set(self, name, per_s, heard_ms):
        known = self.by_name.get(name)
        if known is None:
            known = self.by_name[name] = NamedLimit(None, heard_ms)
        if per_s != known.per_s:
            logger.info(
                "backends.limit",
                extra={
                    "backend": name,
                    "per_s": per_s,
                    "before_per_s": known.per_s,
                    "sends": known.sends,
                },
            )
        if known.per_s is None:
            known.sends = 0
        known.per_s = per_s
        known.heard_ms = heard_ms

    def _log_unreadable(self, name, text):
        """Log a text once for each backend server, as every answer may repeat it."""
        is_new = (name, text) not in self._unreadable_texts
        if is_new and len(self._unreadable_texts) < MAX_REMEMBERED_TEXTS:
            self._unreadable_texts.add((name, text))
            logger.warning(
                "backends.signal-unreadable", extra={"backend": name, "text": text}
            )

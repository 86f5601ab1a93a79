"""When requests with each prompt part were last answered, by this instance."""

from collections import OrderedDict

MAX_PARTS = 8_192


class PartHistory:
    """Clock readings by service and part; the least recent ones are dropped."""

    __slots__ = ("_answered_ms_by_key",)

    def __init__(self):
        self._answered_ms_by_key = OrderedDict()

    def record_answered(self, service, part, now_ms):
        """Record that an answer to a request with a part came to its first event."""
        self._answered_ms_by_key[service, part] = now_ms
        self._answered_ms_by_key.move_to_end((service, part))
        if len(self._answered_ms_by_key) > MAX_PARTS:
            self._answered_ms_by_key.popitem(last=False)

    def answered_ms(self, service, part):
        """Return when an answer last began here, or None."""
        return self._answered_ms_by_key.get((service, part))

"""What the head of an answer tells about the backend server that sent it."""

import math

TURNED_AWAY_STATUS = 503
# Longest hold-off, and the one for a text that can't be read.
MAX_HOLD_OFF_MS = 300_000.0
UNREADABLE_HOLD_OFF_MS = 1_000.0


class BackendSignals:
    """The signals in the head of one answer.

    `limit_per_s` is the number of requests per second that the backend server takes
    from all instances together, or None if the head names none. `hold_off_ms` is the
    time for which it wants no request from this instance, or None. `is_leaving` says
    that it will stop. `max_rejections_per_s` is the number of rejections a second
    beyond which it ends, or None. `unreadable` lists the
    texts of signals that can't be decoded. `is_authentic` is false if the head may not
    be that of the backend server, so that a missing signal means nothing.
    """

    __slots__ = (
        "limit_per_s",
        "hold_off_ms",
        "is_leaving",
        "unreadable",
        "is_authentic",
        "max_rejections_per_s",
    )

    def __init__(
        self,
        limit_per_s=None,
        hold_off_ms=None,
        is_leaving=False,
        unreadable=(),
        is_authentic=True,
        max_rejections_per_s=None,
    ):
        self.limit_per_s = limit_per_s
        self.hold_off_ms = hold_off_ms
        self.is_leaving = is_leaving
        self.unreadable = unreadable
        self.is_authentic = is_authentic
        self.max_rejections_per_s = max_rejections_per_s


def decode_hold_off_ms(status, text):
    """Return the hold-off that `Retry-After` asks for, and whether it is readable.

    It is None if the answer asks for none, and bounded.
    """
    if status != TURNED_AWAY_STATUS or text is None:
        return None, True
    try:
        seconds = float(text)
    except ValueError:
        return UNREADABLE_HOLD_OFF_MS, False
    if not math.isfinite(seconds) or seconds < 0.0:
        return UNREADABLE_HOLD_OFF_MS, False
    return min(MAX_HOLD_OFF_MS, seconds * 1000), True

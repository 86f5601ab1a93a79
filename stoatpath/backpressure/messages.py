"""What the head of an answer tells about the backend server that sent it."""


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

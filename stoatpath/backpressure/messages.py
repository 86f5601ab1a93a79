"""What the head of an answer tells about the backend server that sent it."""


class BackendSignals:
    """The signals in the head of one answer.

    `limit_per_s` is the number of requests per second that the backend server takes
    from all instances together, or None if the head names none. `unreadable` lists the
    texts of signals that can't be decoded. `is_authentic` is false if the head may not
    be that of the backend server, so that a missing signal means nothing.
    """

    __slots__ = ("limit_per_s", "unreadable", "is_authentic")

    def __init__(self, limit_per_s=None, unreadable=(), is_authentic=True):
        self.limit_per_s = limit_per_s
        self.unreadable = unreadable
        self.is_authentic = is_authentic

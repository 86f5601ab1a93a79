"""Messages of the lookup of sessions."""


class Lookup:
    """What the holders said of a session.

    `pin` is None when none is known; `is_certain` says that every instance that
    could hold it has answered.
    """

    __slots__ = ("pin", "is_certain")

    def __init__(self, pin, is_certain):
        self.pin = pin
        self.is_certain = is_certain

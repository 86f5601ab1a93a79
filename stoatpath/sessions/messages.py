"""Messages of the lookup of sessions."""


class Lookup:
    """What the holders said of a session.

    `pin` is None when none is known; `is_certain` says that every instance that
    could hold it has answered, `is_blind` that none of its holders has.
    """

    __slots__ = ("pin", "is_certain", "is_blind")

    def __init__(self, pin, is_certain, is_blind=False):
        self.pin = pin
        self.is_certain = is_certain
        self.is_blind = is_blind

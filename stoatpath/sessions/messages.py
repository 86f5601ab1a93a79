"""Data types of session lookups."""


class PinLookup:
    """The result of looking up the pin of a session at its holders.

    `pin` is None when none was found. `is_conclusive` is true when every instance
    that could hold the pin answered, `has_no_answer` when no holder did.
    """

    __slots__ = ("pin", "is_conclusive", "has_no_answer")

    def __init__(self, pin, is_conclusive, has_no_answer=False):
        self.pin = pin
        self.is_conclusive = is_conclusive
        self.has_no_answer = has_no_answer

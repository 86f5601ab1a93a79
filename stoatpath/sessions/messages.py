"""Data types of session lookups."""


class PinLookup:
    """The result of looking up the pin of a session at its holders.

    `pin` is None when none was found. `is_conclusive` is true when a pin was found at
    a holder or all instances that could hold one answered. `no_holder_answered` is
    true when no holder did and this instance is not a holder.
    """

    __slots__ = ("pin", "is_conclusive", "no_holder_answered")

    def __init__(self, pin, is_conclusive, no_holder_answered=False):
        self.pin = pin
        self.is_conclusive = is_conclusive
        self.no_holder_answered = no_holder_answered

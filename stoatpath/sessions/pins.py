"""Pins of sessions held in memory: pure state, no messages."""

MAX_PINS = 20_000


class SessionPin:
    """The version that a session of an organisation keeps for a service.

    `sequence` counts how often the session has moved; of two pins of one session
    the one with the higher sequence stands, then the earlier one, then the one
    whose version sorts first, so that all instances agree in whatever order they
    hear of them.
    """

    __slots__ = (
        "session_id",
        "organisation",
        "service",
        "version",
        "started_at_ms",
        "sequence",
    )

    def __init__(
        self, session_id, organisation, service, version, started_at_ms, sequence
    ):
        self.session_id = session_id
        self.organisation = organisation
        self.service = service
        self.version = version
        self.started_at_ms = started_at_ms
        self.sequence = sequence

    @classmethod
    def from_json(cls, data):
        """Build a pin from its wire form."""
        return cls(*data)

    @property
    def key(self):
        """Return what names the session among all others."""
        return pin_key(self.organisation, self.service, self.session_id)

    def to_json(self):
        """Return the wire form, a list in the order of the fields."""
        return [getattr(self, name) for name in self.__slots__]

    def stands_against(self, other):
        """Return whether this pin replaces another one of the same session."""
        return self._rank() < other._rank()

    def _rank(self):
        return -self.sequence, self.started_at_ms, self.version


def pin_key(organisation, service, session_id):
    """Return the key of a session, as text."""
    return f"{organisation}\0{service}\0{session_id}"


class PinStore:
    """Pins by key, the least recently used dropped first."""

    __slots__ = ("_by_key", "_max_pins")

    def __init__(self, max_pins=MAX_PINS):
        self._by_key = {}
        self._max_pins = max_pins

    def get_pin(self, key):
        """Return the pin of a session, or None; a pin that is found stays longer."""
        pin = self._by_key.pop(key, None)
        if pin is not None:
            self._by_key[key] = pin
        return pin

    def put(self, pin):
        """Take a pin; return the one that stands."""
        key = pin.key
        standing = self._by_key.pop(key, None)
        if standing is None or pin.stands_against(standing):
            standing = pin
        self._by_key[key] = standing
        if len(self._by_key) > self._max_pins:
            del self._by_key[next(iter(self._by_key))]
        return standing

    def discard(self, key):
        """Forget a pin."""
        self._by_key.pop(key, None)

    def pins(self):
        """Return all pins, the least recently used first."""
        return list(self._by_key.values())

    def __len__(self):
        return len(self._by_key)

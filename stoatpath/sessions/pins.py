"""Session pins held in memory, without any I/O."""

MAX_PINS = 20_000


class SessionPin:
    """The version that a session of an organisation is pinned to for a service.

    `sequence` counts the moves of the session. Of two pins of one session the one
    with the higher sequence wins, then the one that started earlier, then the one
    whose version sorts first. All instances thus agree on the pin in whatever order
    they receive them.
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
        """Return the unique key of the session."""
        return pin_key(self.organisation, self.service, self.session_id)

    def to_json(self):
        """Return the wire form, a list in the order of the fields."""
        return [getattr(self, name) for name in self.__slots__]

    def supersedes(self, other):
        """Return whether this pin wins over another one of the same session."""
        return self._precedence() < other._precedence()

    def _precedence(self):
        return -self.sequence, self.started_at_ms, self.version


def pin_key(organisation, service, session_id):
    """Return the key of a session, as text."""
    return f"{organisation}\0{service}\0{session_id}"


class PinStore:
    """Pins by key; a full store drops the least recently used pin."""

    __slots__ = ("_by_key", "_max_pins")

    def __init__(self, max_pins=MAX_PINS):
        self._by_key = {}
        self._max_pins = max_pins

    def get_pin(self, key):
        """Return the pin of a session, or None, and mark it as recently used."""
        pin = self._by_key.pop(key, None)
        if pin is not None:
            self._by_key[key] = pin
        return pin

    def put(self, pin):
        """Store a pin unless the present one wins; return the stored pin."""
        key = pin.key
        current = self._by_key.pop(key, None)
        if current is None or pin.supersedes(current):
            current = pin
        self._by_key[key] = current
        if len(self._by_key) > self._max_pins:
            del self._by_key[next(iter(self._by_key))]
        return current

    def discard(self, key):
        """Remove a pin if present."""
        self._by_key.pop(key, None)

    def pins(self):
        """Return all pins, the least recently used first."""
        return list(self._by_key.values())

    def __len__(self):
        return len(self._by_key)

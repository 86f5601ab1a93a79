"""An index of backend servers by what they serve."""


class BackendIndex:
    """Lists of backend servers by key: a model version or a plain service.

    Adding and removing take constant time; the lists are unordered. Callers must not
    modify a returned list.
    """

    __slots__ = ("_backends_by_key", "_positions_by_key")

    def __init__(self):
        self._backends_by_key = {}
        self._positions_by_key = {}

    def backends(self, key):
        """Return the backend servers of a key."""
        return self._backends_by_key.get(key, ())

    def add(self, key, backend):
        """Add a backend server under a key, unless it is there already."""
        positions = self._positions_by_key.setdefault(key, {})
        if backend.name in positions:
            return
        backends = self._backends_by_key.setdefault(key, [])
        positions[backend.name] = len(backends)
        backends.append(backend)

    def remove(self, key, backend):
        """Remove a backend server from a key; the last entry moves to its position."""
        positions = self._positions_by_key.get(key, {})
        position = positions.pop(backend.name, None)
        if position is None:
            return
        backends = self._backends_by_key[key]
        last = backends.pop()
        if last is not backend:
            backends[position] = last
            positions[last.name] = position
        if not backends:
            del self._backends_by_key[key]
            del self._positions_by_key[key]

"""Backend servers listed by what they serve, so that a choice need not scan all."""


class BackendIndex:
    """Lists of backend servers by key, a version or a plain service.

    Members of a list stand in no order; callers must not change it.
    """

    __slots__ = ("_members_by_key", "_places_by_key")

    def __init__(self):
        self._members_by_key = {}
        self._places_by_key = {}

    def members(self, key):
        """Return the backend servers listed under a key."""
        return self._members_by_key.get(key, ())

    def add(self, key, backend):
        """List a backend server under a key; once listed it stays once."""
        places = self._places_by_key.setdefault(key, {})
        if backend.name in places:
            return
        members = self._members_by_key.setdefault(key, [])
        places[backend.name] = len(members)
        members.append(backend)

    def remove(self, key, backend):
        """Take a backend server off the list of a key, the last filling its place."""
        places = self._places_by_key.get(key, {})
        place = places.pop(backend.name, None)
        if place is None:
            return
        members = self._members_by_key[key]
        last = members.pop()
        if last is not backend:
            members[place] = last
            places[last.name] = place
        if not members:
            del self._members_by_key[key]
            del self._places_by_key[key]

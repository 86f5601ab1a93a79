"""Finds and keeps the version of each session."""

from stoatpath.sessions.tokens import SessionPin, is_token

MAX_PINS = 200_000


class SessionPins:
    """Pins by organisation, service and session identifier, oldest dropped first."""

    __slots__ = ("_signer", "_by_key")

    def __init__(self, signer):
        self._signer = signer
        self._by_key = {}

    def find(self, request):
        """Return the pin of a caller request, or None."""
        if not request.session:
            return None
        if is_token(request.session):
            pin = self._signer.read(request.session)
            return pin if pin is not None and _belongs(pin, request) else None
        return self._by_key.get(_key(request, request.session))

    def keep(self, request, pin, version, wall_ms):
        """Pin a session to the version that answered; return its token."""
        if pin is None or pin.version != version:
            session_id = request.request_id if pin is None else pin.session_id
            if pin is None and not is_token(request.session):
                session_id = request.session
            pin = SessionPin(
                session_id,
                request.organisation.name,
                request.service.name,
                version,
                wall_ms,
            )
        key = _key(request, pin.session_id)
        self._by_key.pop(key, None)
        self._by_key[key] = pin
        if len(self._by_key) > MAX_PINS:
            del self._by_key[next(iter(self._by_key))]
        return self._signer.sign(pin)


def _key(request, session_id):
    return request.organisation.name, request.service.name, session_id


def _belongs(pin, request):
    return (
        pin.organisation == request.organisation.name
        and pin.service == request.service.name
    )

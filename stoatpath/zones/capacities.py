"""The slots of each service that admission may give to requests."""


def slots_by_service(eligible, send_gate):
    """Return the slots of backend servers outside drained zones, by service.

    A service with backend servers in drained zones only has 0 slots.
    """
    backends = eligible.accepting()
    allowed = send_gate.allowed_in_flight(backends)
    slots = dict.fromkeys((each.service for each in eligible.drained()), 0)
    for backend in backends:
        usable = min(backend.slots, allowed[backend.name])
        slots[backend.service] = slots.get(backend.service, 0) + usable
    return slots

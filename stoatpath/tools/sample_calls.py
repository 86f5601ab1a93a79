"""The requests that `make run` sends."""

COMPLETIONS_PATH = "/v1/chat/completions"


class Call:
    """One request to send; `label` names it in the table."""

    __slots__ = ("label", "organisation", "method", "path", "body", "headers")

    def __init__(self, label, organisation, method, path, body, **headers):
        self.label = label
        self.organisation = organisation
        self.method = method
        self.path = path
        self.body = body
        self.headers = headers


def chat(service, text, stream=False, max_tokens=24):
    """Return the body of a chat completion."""
    return {
        "model": service,
        "messages": [{"role": "user", "content": text}],
        "stream": stream,
        "max_tokens": max_tokens,
    }


def sample_calls():
    """Return one request of each kind, for both sample deployments."""
    booking = "/services/booking-desk/bookings"
    hut = {"hut": 12, "night": "2027-01-04"}
    key = {"Idempotency-Key": "booking-12"}
    return [
        Call(
            "guest question",
            "reef-villages",
            "POST",
            COMPLETIONS_PATH,
            chat("desk-assist", "May we light a fire on the beach?"),
        ),
        Call(
            "tide note",
            "lagoon-stalls",
            "POST",
            COMPLETIONS_PATH,
            chat("desk-assist", "Tide at six?"),
            **{"Stoatpath-Purpose": "tide-note"},
        ),
        Call(
            "lease summary",
            "foreshore-officers",
            "POST",
            COMPLETIONS_PATH,
            chat("desk-assist", "Summarise lease 44.", stream=True, max_tokens=200),
            **{"Stoatpath-Purpose": "lease-summary"},
        ),
        Call(
            "availability",
            "sunset-huts",
            "GET",
            "/services/booking-desk/huts/12?night=2027-01-04",
            None,
        ),
        Call("booking", "sunset-huts", "POST", booking, hut, **key),
        Call("booking, same key", "sunset-huts", "POST", booking, hut, **key),
        Call(
            "same key, other body", "sunset-huts", "POST", booking, {"hut": 13}, **key
        ),
        Call("booking, no key", "craft-market", "POST", booking, {"hut": 14}),
        Call(
            "risk note",
            "taf-homes",
            "POST",
            COMPLETIONS_PATH,
            chat("stoat-llm", "Resident 4, fluids?"),
        ),
        Call(
            "ward briefing",
            "nedd-homes",
            "POST",
            COMPLETIONS_PATH,
            chat("stoat-llm", "Briefing for ward B.", stream=True, max_tokens=120),
            **{"Stoatpath-Purpose": "ward-briefing"},
        ),
        Call("home status", "tywi-homes", "GET", "/services/watch-app/homes/3", None),
        Call(
            "callout",
            "tywi-homes",
            "POST",
            "/services/watch-app/callouts",
            {"home": 3},
            **{"Idempotency-Key": "callout-3"},
        ),
        Call(
            "bad key", "nobody", "POST", COMPLETIONS_PATH, chat("desk-assist", "Hello?")
        ),
        Call(
            "not allowed",
            "taf-homes",
            "POST",
            COMPLETIONS_PATH,
            chat("desk-assist", "Hello?"),
        ),
        Call("bad body", "taf-homes", "POST", COMPLETIONS_PATH, {"model": "stoat-llm"}),
    ]

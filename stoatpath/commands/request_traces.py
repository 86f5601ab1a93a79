"""Tells the story of a request from plain log files of instances."""

from datetime import datetime

from stoatpath.utils import decode_json

# What an instance came to believe within this time before a request bears on it.
BEFORE_S = 6.0
REQUEST_ENDED = "request.ended"
BELIEFS = (
    "backends.",
    "drain.",
    "log.dropped",
    "program.",
    "release.",
    "routes.",
    "settings.",
    "store.",
)
# Of states that last, the latest news is told however old it is.
LASTING_EVENTS = (
    ("store.lost", "store.regained"),
    ("routes.in-force",),
    ("program.listening",),
    ("drain.began",),
)
CAUSES_BY_REASON = {
    "completed": "it was served",
    "bad-request": "its head or body is not what the protocol asks for",
    "not-found": "no route of the configuration in force leads to its host and path",
    "unauthenticated": "its key is in no configuration in force",
    "body-too-large": "its body is larger than the configuration allows",
    "stale-configuration": "the instance could not confirm keys and routes in the "
    "store for too long; look for store.lost",
    "shutting-down": "the instance was stopping and could not have ended it in time; "
    "look for drain.began",
    "no-backend": "no backend server was known that may serve it; look for "
    "backends.gone",
    "overloaded": "more requests waited than the instance lets wait",
    "deadline-unreachable": "its turn would have come after its deadline",
    "refused-by-backend": "every backend server that was tried refused it unrun, and "
    "the retry budget or its deadline allowed no further try",
    "connect-failed": "no connection to a backend server could be made",
    "wrong-process": "the address of its backend server had passed to another process",
    "backend-error": "the backend server ran it and answered with a failure",
    "broken-answer": "the answer of the backend server broke off or was no answer",
    "foreign-answer": "the answer bore the identifier of another request",
    "silent-connection": "the backend server fell silent and could not be reached",
    "timed-out": "it took longer than its route or its caller allows",
    "caller-gone": "its caller left before the answer was whole",
    "unsure-answer": "no model was sure enough and none was left to try",
}


class LogLine:
    """One line of an instance's log."""

    __slots__ = ("at_s", "instance", "event", "fields")

    def __init__(self, at_s, instance, event, fields):
        self.at_s = at_s
        self.instance = instance
        self.event = event
        self.fields = fields

    @classmethod
    def from_text(cls, text):
        """Return the line in a text, or None; text before the JSON is skipped."""
        start = text.find("{")
        data = decode_json(text[start:].strip()) if start >= 0 else None
        try:
            at_s = datetime.fromisoformat(data["time"]).timestamp()
            return cls(at_s, data["instance"], data["event"], data)
        except (KeyError, TypeError, ValueError):
            return None


class RequestTrace:
    """What the logs say of one request: its own lines, and beliefs around them."""

    __slots__ = ("lines", "beliefs")

    def __init__(self, lines, beliefs):
        self.lines = lines
        self.beliefs = beliefs

    @property
    def cause(self):
        """Return why it ended as it did, in a sentence."""
        ended = self.lines[-1].fields
        reason = ended.get("reason", "")
        detail = ended.get("detail")
        text = CAUSES_BY_REASON.get(reason, f"it ended as {reason}")
        return f"{text} ({detail})" if detail else text

    def to_json(self):
        """Return the form that `--json` prints."""
        return {
            "cause": self.cause,
            "requests": [line.fields for line in self.lines],
            "beliefs": [line.fields for line in self.beliefs],
        }


def read_trace(request_id, paths):
    """Return the `Story` of a request in log files, or None if none names it."""
    lines = [line for path in paths for line in _read(path)]
    own = [
        line
        for line in lines
        if line.event == REQUEST_ENDED and line.fields.get("request_id") == request_id
    ]
    if not own:
        return None
    own.sort(key=lambda line: line.at_s)
    beliefs = [line for line in lines if any(_bears_on(line, each) for each in own)]
    beliefs += _find_lasting(lines, own, beliefs)
    beliefs.sort(key=lambda line: line.at_s)
    return RequestTrace(own, beliefs)


def render_trace(story):
    """Return the lines that a person reads."""
    rendered = [f"cause: {story.cause}", ""]
    entries = [(line.at_s, _render_belief(line)) for line in story.beliefs]
    for line in story.lines:
        entries += _render_request(line)
    entries.sort(key=lambda entry: entry[0])
    rendered += [f"{_clock_text(at_s)}  {text}" for at_s, text in entries]
    return rendered


def _read(path):
    with open(path, encoding="utf-8", errors="replace") as file:
        for text in file:
            line = LogLine.from_text(text)
            if line is not None:
                yield line


def _bears_on(line, request):
    if line.instance != request.instance or not line.event.startswith(BELIEFS):
        return False
    began_s = request.at_s - request.fields.get("took_ms", 0.0) / 1000
    return began_s - BEFORE_S <= line.at_s <= request.at_s


def _find_lasting(lines, own, known):
    """Return the last news of each lasting state before each request began."""
    found = []
    for request in own:
        began_s = request.at_s - request.fields.get("took_ms", 0.0) / 1000
        for events in LASTING_EVENTS:
            earlier = [
                line
                for line in lines
                if line.instance == request.instance
                and line.event in events
                and line.at_s <= began_s
            ]
            last = max(earlier, key=lambda line: line.at_s, default=None)
            if last is not None and last not in known and last not in found:
                found.append(last)
    return found


def _render_request(line):
    fields = line.fields
    began_s = line.at_s - fields.get("took_ms", 0.0) / 1000
    for decision in fields.get("decisions", ()):
        after_ms = decision.get("after_ms", 0.0)
        text = f"{line.instance}  {decision['step']}: {decision['reason']}"
        yield began_s + after_ms / 1000, text + _render_details(decision)
    outcome = fields.get("outcome", "completed")
    text = f"ended: {fields.get('reason')} after {fields.get('took_ms')} ms"
    yield line.at_s, f"{line.instance}  {text}, outcome {outcome}"


def _render_details(decision):
    shown = []
    for name, value in decision.items():
        if name in ("step", "after_ms", "reason"):
            continue
        if name == "candidates":
            value = " ".join(
                (
                    f"{each['name']}={each['expected_ms']}"
                    if each["verdict"] == "priced"
                    else f"{each['name']}:{each['verdict'].replace(' ', '-')}"
                )
                for each in value
            )
        shown.append(f"{name}={value}")
    return f"  [{', '.join(shown)}]" if shown else ""


def _render_belief(line):
    known = ("time", "level", "module", "event", "program", "instance")
    shown = [f"{k}={v}" for k, v in line.fields.items() if k not in known]
    return f"{line.instance}  ({line.event} {', '.join(shown)})"


def _clock_text(at_s):
    return datetime.utcfromtimestamp(at_s).strftime("%H:%M:%S.%f")[:-3]

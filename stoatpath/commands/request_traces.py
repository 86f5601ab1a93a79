"""Traces a request through the log files of all instances."""

from datetime import datetime

from stoatpath.utils import decode_json

# State events of an instance up to this long before a request belong to its trace.
LOOKBACK_S = 6.0
REQUEST_ENDED = "request.ended"
STATE_EVENT_PREFIXES = (
    "backends.",
    "drain.",
    "log.dropped",
    "permits.",
    "program.",
    "release.",
    "routes.",
    "settings.",
    "store.",
    "tables.",
    "zones.",
)
# Of each of these groups, the last event before a request belongs to its trace,
# however old it is, because the state that it reports persists.
PERSISTENT_STATE_EVENTS = (
    ("store.lost", "store.regained"),
    ("tables.source",),
    ("tables.reading-store",),
    ("routes.in-force",),
    ("program.listening",),
    ("drain.began",),
    ("zones.drained", "zones.returned"),
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
    "zones-drained": "the operator has drained the zones of all backend servers that "
    "may serve it; look for zones.drained",
    "region-not-allowed": "no backend server is in a region that its route and its "
    "organisation allow",
    "backends-limited": "all backend servers that may serve it take no more requests "
    "for now; look for backends.limit",
    "head-uncertain": "it was sent without waiting for the answer to a request whose "
    "body has trailers; the last of them may have been read as its first header",
    "overloaded": "more requests waited than the instance lets wait",
    "deadline-unreachable": "its turn would have come after its deadline",
    "permission-expired": "what allowed it to be sent had ended when a connection was "
    "open, and there was no further try; the line's detail names it",
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
    """The log lines of one request, and the state events of its instances."""

    __slots__ = ("lines", "state_events")

    def __init__(self, lines, state_events):
        self.lines = lines
        self.state_events = state_events

    @property
    def cause(self):
        """Return the cause of the outcome as text."""
        ended = self.lines[-1].fields
        reason = ended.get("reason", "")
        detail = ended.get("detail")
        text = CAUSES_BY_REASON.get(reason, f"it ended as {reason}")
        return f"{text} ({detail})" if detail else text

    def to_json(self):
        """Return the data that `--json` prints."""
        return {
            "cause": self.cause,
            "requests": [line.fields for line in self.lines],
            "beliefs": [line.fields for line in self.state_events],
        }


def read_trace(request_id, paths):
    """Return the `RequestTrace` in log files, or None if no line is about it."""
    lines = [line for path in paths for line in _read_lines(path)]
    request_lines = [
        line
        for line in lines
        if line.event == REQUEST_ENDED and line.fields.get("request_id") == request_id
    ]
    if not request_lines:
        return None
    request_lines.sort(key=lambda line: line.at_s)
    state_events = [
        line
        for line in lines
        if any(_is_relevant(line, each) for each in request_lines)
    ]
    state_events += _last_state_events(lines, request_lines, state_events)
    state_events.sort(key=lambda line: line.at_s)
    return RequestTrace(request_lines, state_events)


def render_trace(trace):
    """Return the lines that are printed without `--json`."""
    rendered = [f"cause: {trace.cause}", ""]
    entries = [(line.at_s, _render_state_event(line)) for line in trace.state_events]
    for line in trace.lines:
        entries += _render_request(line)
    entries.sort(key=lambda entry: entry[0])
    rendered += [f"{_format_time(at_s)}  {text}" for at_s, text in entries]
    return rendered


def _read_lines(path):
    with open(path, encoding="utf-8", errors="replace") as file:
        for text in file:
            line = LogLine.from_text(text)
            if line is not None:
                yield line


def _is_relevant(line, request):
    if line.instance != request.instance or not line.event.startswith(
        STATE_EVENT_PREFIXES
    ):
        return False
    began_s = request.at_s - request.fields.get("took_ms", 0.0) / 1000
    return began_s - LOOKBACK_S <= line.at_s <= request.at_s


def _last_state_events(lines, request_lines, excluded):
    """Return the last event of each persistent state before each request."""
    last_events = []
    for request in request_lines:
        began_s = request.at_s - request.fields.get("took_ms", 0.0) / 1000
        for events in PERSISTENT_STATE_EVENTS:
            earlier = [
                line
                for line in lines
                if line.instance == request.instance
                and line.event in events
                and line.at_s <= began_s
            ]
            last = max(earlier, key=lambda line: line.at_s, default=None)
            if last is not None and last not in excluded and last not in last_events:
                last_events.append(last)
    return last_events


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
    fields_shown = []
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
        fields_shown.append(f"{name}={value}")
    return f"  [{', '.join(fields_shown)}]" if fields_shown else ""


def _render_state_event(line):
    known = ("time", "level", "module", "event", "program", "instance")
    fields_shown = [f"{k}={v}" for k, v in line.fields.items() if k not in known]
    return f"{line.instance}  ({line.event} {', '.join(fields_shown)})"


def _format_time(at_s):
    return datetime.utcfromtimestamp(at_s).strftime("%H:%M:%S.%f")[:-3]

"""What a load run saw: latencies, outcomes, retries, and promises kept or broken."""

from hdrh.histogram import HdrHistogram

from stoatpath.utils import decode_json, encode_json

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1000
PERCENTILES = (50, 95, 99)
COMPLETED = "completed"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
DATA_PREFIX = b"data: "
END_MARKER = b"[DONE]"


class LoadResult:
    """Replies of a run, requests that got none, and attempts of all routers."""

    __slots__ = ("replies", "lost", "attempts")

    def __init__(self, replies, lost, attempts):
        self.replies = replies
        self.lost = lost
        self.attempts = attempts

    def completed(self):
        """Return the replies that are whole answers."""
        return [reply for reply in self.replies if reply.outcome == COMPLETED]

    def print_table(self):
        """Print a row for each kind of request."""
        print(f"{'kind':<20}{'sent':>6}{'p50':>9}{'p95':>9}{'p99':>9}  outcomes, ms")
        by_label = {}
        for reply in self.replies:
            by_label.setdefault(reply.call.label, []).append(reply)
        for label, replies in sorted(by_label.items()):
            histogram = _histogram(replies)
            cells = "".join(
                f"{histogram.get_value_at_percentile(share) / US_PER_MS:>9.1f}"
                for share in PERCENTILES
            )
            counts = _count([reply.outcome for reply in replies])
            outcomes = ", ".join(f"{name} {counts[name]}" for name in sorted(counts))
            print(f"{label:<20}{len(replies):>6}{cells}  {outcomes}")


class Check:
    """One promise, and the request ids for which it was broken."""

    __slots__ = ("promise", "broken")

    def __init__(self, promise, broken):
        self.promise = promise
        self.broken = broken


def check_promises(result, site, ledger):
    """Return the checks of what was answered against what ran and was billed."""
    billed = _count([record["request_id"] for record in ledger])
    ran = _executions(site)
    completed = {reply.request_id for reply in result.completed()}
    unknown = {reply.request_id for reply in result.replies if reply.outcome == UNKNOWN}
    may_be_billed = completed | unknown
    not_run = [reply for reply in result.replies if reply.outcome == NOT_RUN]
    return [
        Check("every request gets a reply", ["no reply"] * result.lost),
        Check(
            "a whole answer is billed once",
            [each for each in sorted(completed) if billed.get(each) != 1],
        ),
        Check(
            "only answered or `unknown` requests are billed",
            [each for each in sorted(billed) if each not in may_be_billed],
        ),
        Check(
            "what is billed did run",
            [each for each in sorted(billed) if not ran.get(each)],
        ),
        Check(
            "`not-run` did not run",
            [each.request_id for each in not_run if ran.get(each.request_id)],
        ),
        Check("a call that may not be repeated runs once", _repeated_calls(site)),
        Check(
            "an answer is whole and the caller's own",
            [each.request_id for each in result.completed() if not _is_own(each)],
        ),
    ]


def _histogram(replies):
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    for reply in replies:
        histogram.record_value(max(LOWEST_US, int(reply.elapsed_ms * US_PER_MS)))
    return histogram


def _count(names):
    counts = {}
    for name in names:
        counts[name] = counts.get(name, 0) + 1
    return counts


def _executions(site):
    """Return how often each request ran at any backend server."""
    names = []
    for engine in site.engines_by_name.values():
        names += [execution.request_id for execution in engine.executions]
    for service in site.services_by_name.values():
        names += [request_id for request_id, _, _, _ in service.executions]
    return _count(names)


def _repeated_calls(site):
    """Return the bodies of POST calls that ran more than once."""
    bodies = [
        body
        for service in site.services_by_name.values()
        for _, method, _, body in service.executions
        if method == "POST"
    ]
    return sorted(body for body, count in _count(bodies).items() if count > 1)


def _is_own(reply):
    """Return whether an answer names its request and is whole."""
    if reply.is_stream:
        return _is_own_stream(reply)
    data = decode_json(reply.body)
    if not isinstance(data, dict):
        return False
    if reply.call.path != "/v1/chat/completions":
        return data.get("request_id") == reply.request_id
    is_whole = data["choices"][0].get("finish_reason") == "stop"
    return is_whole and data.get("id") == reply.request_id


def _is_own_stream(reply):
    events = [
        event.removeprefix(DATA_PREFIX) for event in reply.body.split(b"\n\n") if event
    ]
    if not events or events[-1] != END_MARKER:
        return False
    parsed = [decode_json(event) for event in events[:-1]]
    is_finished = parsed[-1]["choices"][0].get("finish_reason") == "stop"
    return is_finished and {each["id"] for each in parsed} == {reply.request_id}


def write_json(result, checks, path):
    """Write the outcome of a run as JSON."""
    latencies_by_label = {}
    for reply in result.replies:
        latencies_by_label.setdefault(reply.call.label, []).append(reply)
    data = {
        "replies": len(result.replies),
        "lost": result.lost,
        "attempts": result.attempts,
        "latency_ms": {
            label: {
                f"p{share}": _histogram(replies).get_value_at_percentile(share)
                / US_PER_MS
                for share in PERCENTILES
            }
            for label, replies in sorted(latencies_by_label.items())
        },
        "broken": {check.promise: check.broken for check in checks},
    }
    with open(path, "wb") as file:
        file.write(encode_json(data) + b"\n")

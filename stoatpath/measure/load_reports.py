"""Results of a load run: latencies, outcomes, attempts and checks of the guarantees."""

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
    """Replies, the number of requests without a reply, and attempts of all routers."""

    __slots__ = ("replies", "unanswered", "attempts")

    def __init__(self, replies, unanswered, attempts):
        self.replies = replies
        self.unanswered = unanswered
        self.attempts = attempts

    def completed(self):
        """Return the replies with a complete answer."""
        return [reply for reply in self.replies if reply.outcome == COMPLETED]

    def print_table(self):
        """Print latencies and outcomes for each kind of request."""
        print(f"{'kind':<20}{'sent':>6}{'p50':>9}{'p95':>9}{'p99':>9}  outcomes, ms")
        by_label = {}
        for reply in self.replies:
            by_label.setdefault(reply.call.label, []).append(reply)
        for label, replies in sorted(by_label.items()):
            histogram = _latency_histogram(replies)
            cells = "".join(
                f"{histogram.get_value_at_percentile(share) / US_PER_MS:>9.1f}"
                for share in PERCENTILES
            )
            counts = _count_occurrences([reply.outcome for reply in replies])
            outcomes = ", ".join(f"{name} {counts[name]}" for name in sorted(counts))
            print(f"{label:<20}{len(replies):>6}{cells}  {outcomes}")


class Check:
    """One guarantee, and the request ids or bodies that violate it."""

    __slots__ = ("guarantee", "broken")

    def __init__(self, guarantee, broken):
        self.guarantee = guarantee
        self.broken = broken


def check_guarantees(result, site, ledger):
    """Return checks that compare the replies with executions and billing records."""
    billing_counts = _count_occurrences([record["request_id"] for record in ledger])
    execution_counts = _execution_counts(site)
    completed = {reply.request_id for reply in result.completed()}
    unknown = {reply.request_id for reply in result.replies if reply.outcome == UNKNOWN}
    may_be_billed = completed | unknown
    not_run = [reply for reply in result.replies if reply.outcome == NOT_RUN]
    return [
        Check("every request gets a reply", ["no reply"] * result.unanswered),
        Check(
            "a whole answer is billed once",
            [each for each in sorted(completed) if billing_counts.get(each) != 1],
        ),
        Check(
            "only answered or `unknown` requests are billed",
            [each for each in sorted(billing_counts) if each not in may_be_billed],
        ),
        Check(
            "what is billed did run",
            [each for each in sorted(billing_counts) if not execution_counts.get(each)],
        ),
        Check(
            "`not-run` did not run",
            [
                each.request_id
                for each in not_run
                if execution_counts.get(each.request_id)
            ],
        ),
        Check("a call that may not be repeated runs once", _repeated_post_bodies(site)),
        Check(
            "an answer is whole and the caller's own",
            [
                each.request_id
                for each in result.completed()
                if not _is_own_answer(each)
            ],
        ),
    ]


def _latency_histogram(replies):
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    for reply in replies:
        histogram.record_value(max(LOWEST_US, int(reply.elapsed_ms * US_PER_MS)))
    return histogram


def _count_occurrences(values):
    counts = {}
    for value in values:
        counts[value] = counts.get(value, 0) + 1
    return counts


def _execution_counts(site):
    """Return how often each request ran, over all backend servers."""
    request_ids = []
    for engine in site.engines_by_name.values():
        request_ids += [execution.request_id for execution in engine.executions]
    for service in site.services_by_name.values():
        request_ids += [request_id for request_id, _, _, _ in service.executions]
    return _count_occurrences(request_ids)


def _repeated_post_bodies(site):
    """Return the bodies of POST calls that ran more than once."""
    bodies = [
        body
        for service in site.services_by_name.values()
        for _, method, _, body in service.executions
        if method == "POST"
    ]
    return sorted(
        body for body, count in _count_occurrences(bodies).items() if count > 1
    )


def _is_own_answer(reply):
    """Return whether an answer is complete and has the id of its own request."""
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
    """Write the results of a run as JSON."""
    replies_by_label = {}
    for reply in result.replies:
        replies_by_label.setdefault(reply.call.label, []).append(reply)
    data = {
        "replies": len(result.replies),
        "lost": result.unanswered,
        "attempts": result.attempts,
        "latency_ms": {
            label: {
                f"p{share}": _latency_histogram(replies).get_value_at_percentile(share)
                / US_PER_MS
                for share in PERCENTILES
            }
            for label, replies in sorted(replies_by_label.items())
        },
        "broken": {check.guarantee: check.broken for check in checks},
    }
    with open(path, "wb") as file:
        file.write(encode_json(data) + b"\n")

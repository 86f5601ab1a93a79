"""How long a backend server may be silent within a stream before it is left.

Silence is no sign of a failure: a busy backend server pauses for seconds, or preempts a
stream and reads its prompt again. One that can't be reached is found by connection
probes (`LivenessWatch`) and TCP keep-alive. A stream that can be resumed is carried on
elsewhere shortly before its caller would give it up; any other is left to its deadline.
"""

NO_LIMIT_MS = float("inf")
# Callers give up a stream after a gap of this, of four latency objectives or of eight
# of the longest pauses that count as on time, whichever is longest.
MIN_PATIENCE_MS = 2_000.0
PATIENCE_IN_TARGETS = 4.0
PATIENCE_IN_GAPS = 8.0
# The rest of the time is for the first event of the next attempt.
RESUME_SHARE = 0.9


def silence_limit_ms(request):
    """Return the longest time without an event of a request's stream, or no limit."""
    if not request.is_stream or not request.is_repeatable:
        return NO_LIMIT_MS
    route = request.route
    patience_ms = max(
        MIN_PATIENCE_MS,
        PATIENCE_IN_TARGETS * route.target_ms,
        PATIENCE_IN_GAPS * route.gap_ms,
    )
    return RESUME_SHARE * patience_ms

"""Tables, keys, paths and headers that the platform defines."""

# Tables and keys of the store.
OPERATOR_TABLE = "op"
SERVERS_TABLE = "servers"
STATUS_TABLE = "status"
CONFIG_KEY = "config"
ROLLOUT_PREFIX = "rollout/"
EVACUATION_PREFIX = "evacuate/"

# Path of the readiness check of the platform.
READY_PATH = "/-/readyz"

# Path of the load report of a model replica, which needs no slot.
REPORT_PATH = "/-/report"

# Headers that callers send.
ATTEMPT_ID = "X-Stoatpath-Attempt-Id"
DEADLINE_MS = "X-Stoatpath-Deadline-Ms"
MODEL = "X-Stoatpath-Model"
TOKEN_COUNTS = "X-Stoatpath-Token-Counts"
PROMPT_PREFIX = "X-Stoatpath-Prompt-Prefix"
LENGTH_HINT = "X-Stoatpath-Length-Hint"
LAST_EVENT_ID = "Last-Event-Id"
SESSION = "Session"
# Set by an instance that forwards a request to another: the number of its runs so far.
FORWARDED = "Stoatpath-Forwarded"
# Set in the answer to it: the name of the backend server that gave it.
ANSWERED_BY = "Stoatpath-Answered-By"
# Set in the same answer if its body ended with the connection to the backend server.
UNFRAMED = "Stoatpath-Unframed"
KEY_SCHEME = "Bearer "
ANY_MODEL = "*"

# Headers that are reserved for routers; those of a caller are never forwarded.
TENANT = "X-Stoatpath-Tenant"
EXPECT_REPLICA = "X-Stoatpath-Expect-Replica"
REQUEST_PRIORITY = "X-Stoatpath-Request-Priority"
ROUTER_HEADERS = frozenset(
    name.lower()
    for name in (
        TENANT,
        EXPECT_REPLICA,
        REQUEST_PRIORITY,
        "X-Stoatpath-Expect-Version",
        "X-Stoatpath-Hold",
        "X-Stoatpath-Pin-Ms",
        "X-Stoatpath-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
    )
)

# Headers of a replica's answer. The seal shows that the replica itself answered.
REPLICA_ID = "X-Stoatpath-Replica-Id"
SEAL = "X-Stoatpath-Replica-Seal"
NOT_EXECUTED = "X-Stoatpath-Not-Executed"
CONFIDENCE = "X-Stoatpath-Confidence"
# Requests per second that a replica takes from all machines together.
SERVER_LIMIT = "Server-Limit"
# "1" in the answers of a replica that leaves.
SERVER_LEAVING = "Server-Leaving"
# Rejections a second beyond which a replica falls over, in all its answers while it is
# brittle.
SERVER_BRITTLE = "Server-Brittle"
# Seconds for which a replica that answers 503 wants nothing from this machine.
RETRY_AFTER = "Retry-After"
# Misdirected Request: another replica than the expected one has the address.
MISDIRECTED_STATUS = 421

# Hop-by-hop headers (RFC 9110, section 7.6.1).
HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)

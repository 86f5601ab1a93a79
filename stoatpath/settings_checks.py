"""Checks of single settings. Each returns what was expected, or None if valid."""

import ipaddress
from urllib.parse import urlsplit

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
MIN_SECRET_CHARS = 8
MAX_PORT = 65_535
TLS_FILES = ("certificate", "key")
ROLES = ("reader", "operator")


def check_type(default, value):
    """Return the expected type if the value of a setting has another one."""
    if isinstance(default, bool) or isinstance(value, bool):
        is_right = isinstance(default, bool) and isinstance(value, bool)
    else:
        is_right = isinstance(value, type(default))
    if not is_right:
        return f"a value of type {type(default).__name__}"
    if isinstance(value, int) and value < 0:
        return "a number from 0 up"
    return None


def check_address(value):
    """Expect `IP:PORT`, with brackets around an IPv6 address."""
    host, _, port = value.rpartition(":")
    if _is_ip(host.strip("[]")) and _is_port(port):
        return None
    return "an IP number and a port, such as 10.0.0.7:8080"


def check_addresses(value):
    """Expect a list of addresses."""
    if all(isinstance(each, str) and not check_address(each) for each in value):
        return None
    return 'a list of IP numbers with ports, such as ["10.0.0.7:8080"]'


def check_names(value):
    """Expect a list of names."""
    if all(isinstance(each, str) and each for each in value):
        return None
    return 'a list of names, such as ["engine-7"]'


def check_operator_keys(value):
    """Expect a mapping from operators to a secret, or to a secret and a role."""
    if all(map(_is_operator_key, value.values())):
        return None
    return (
        f"operators with a secret of at least {MIN_SECRET_CHARS} characters, or"
        f" with an object of secret and role, one of {', '.join(ROLES)}"
    )


def check_url(value):
    """Expect a base URL whose host is an IP number."""
    parts = urlsplit(value)
    try:
        has_port = parts.port is not None
    except ValueError:
        has_port = False
    if parts.scheme in ("http", "https") and has_port and _is_ip(parts.hostname or ""):
        return None
    return "a URL with an IP number and a port, such as http://10.0.0.9:7000"


def check_secrets(value):
    """Expect a mapping from identifiers to secrets."""
    if all(
        isinstance(each, str) and len(each) >= MIN_SECRET_CHARS
        for each in value.values()
    ):
        return None
    return f"identifiers with secrets of at least {MIN_SECRET_CHARS} characters"


def check_log_level(value):
    """Expect one of the log levels."""
    return None if value in LOG_LEVELS else f"one of {', '.join(LOG_LEVELS)}"


def check_positive(value):
    """Expect a number above 0."""
    return None if value > 0 else "a number from 1 up"


def check_tls(value):
    """Expect a certificate file, a key file and optionally an authority file."""
    known = {*TLS_FILES, "authority"}
    has_identity = all(isinstance(value.get(name), str) for name in TLS_FILES)
    if has_identity and set(value) <= known:
        return None
    return "an object with the file names certificate, key and optionally authority"


def _is_operator_key(value):
    if isinstance(value, dict):
        if set(value) != {"secret", "role"} or value["role"] not in ROLES:
            return False
        value = value["secret"]
    return isinstance(value, str) and len(value) >= MIN_SECRET_CHARS


def _is_ip(text):
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_port(text):
    return text.isascii() and text.isdigit() and int(text) <= MAX_PORT


CHECKS_BY_NAME = {
    "LISTEN_ADDRESS": check_address,
    "PEER_LISTEN_ADDRESS": check_address,
    "OPERATOR_LISTEN_ADDRESS": check_address,
    "METRICS_LISTEN_ADDRESS": check_address,
    "TABLE_URL": check_url,
    "OBJECTS_URL": check_url,
    "INSTANCE_LIST_URL": check_url,
    "RATINGS_URL": check_url,
    "WEIGHTS_URL": check_url,
    "PEER_SEEDS": check_addresses,
    "GOSSIP_BYTES_PER_S": check_positive,
    "HISTORY_KEPT_REVISIONS": check_positive,
    "OPERATOR_KEYS": check_operator_keys,
    "SESSION_KEYS": check_secrets,
    "PEER_KEYS": check_secrets,
    "LISTEN_TLS": check_tls,
    "OPERATOR_TLS": check_tls,
    "PEER_TLS": check_tls,
    "MAX_BODY_BYTES": check_positive,
    "MAX_HEADER_BYTES": check_positive,
    "BODY_TIMEOUT_MS": check_positive,
    "MAX_TIMEOUT_MS": check_positive,
    "MAX_QUEUED_REQUESTS": check_positive,
    "WEIGHT_LOADS_PER_MINUTE": check_positive,
    "ENGINES_WITHOUT_FENCING": check_names,
    "STALENESS_LIMIT_MS": check_positive,
    "LOG_LEVEL": check_log_level,
}

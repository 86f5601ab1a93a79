"""Loads of backend servers, summed over instances, and their wire form."""

import base64
import binascii
import heapq
import math
import struct

from xxhash import xxh3_64_intdigest

from stoatpath.routing.speeds import speed_of

MAX_SERVERS = 256
# A hash of the name, the requests in flight, and three logarithms: pending prompt
# work, expected and observed time. Names would triple the size.
_ENTRY = struct.Struct("<IHBBB")
_ID_MASK = 0xFFFFFFFF
_MAX_IN_FLIGHT = 0xFFFF
# Steps of the logarithms: values are at most 4.4% off, and range up to 2^31 units.
_STEPS_PER_OCTAVE = 8
_WORK_UNIT = 64.0
_TIME_UNIT_MS = 4.0
ENTRY_CHARS = 4 * _ENTRY.size // 3
_MAX_CHARS = MAX_SERVERS * ENTRY_CHARS


def server_id(name):
    """Return the identifier of a backend server in sums: 32 bits of its hash.

    Two of 2,800 names share one with a probability of 0.001; both then count the
    load of both.
    """
    return xxh3_64_intdigest(name.encode()) & _ID_MASK


class ServerLoad:
    """The load of a backend server from some instances.

    `work` is pending prompt work. `expected_ms` and `observed_ms` are the time that
    finished work should have taken at the common speed, and the time that it took.
    """

    __slots__ = ("in_flight", "work", "expected_ms", "observed_ms")

    def __init__(self, in_flight=0, work=0.0, expected_ms=0.0, observed_ms=0.0):
        self.in_flight = in_flight
        self.work = work
        self.expected_ms = expected_ms
        self.observed_ms = observed_ms

    @property
    def speed(self):
        """Return the speed of the backend server, 1 for the common speed."""
        return speed_of(self.expected_ms, self.observed_ms)

    def add(self, other):
        """Add the load from other instances."""
        self.in_flight += other.in_flight
        self.work += other.work
        self.expected_ms += other.expected_ms
        self.observed_ms += other.observed_ms

    def without(self, other):
        """Return this load without a part of it, nowhere below zero."""
        return ServerLoad(
            max(0, self.in_flight - other.in_flight),
            max(0.0, self.work - other.work),
            max(0.0, self.expected_ms - other.expected_ms),
            max(0.0, self.observed_ms - other.observed_ms),
        )


def add_loads(loads_by_id, others_by_id):
    """Add the loads of `others_by_id` to `loads_by_id`."""
    for each_id, other in others_by_id.items():
        load = loads_by_id.get(each_id)
        if load is None:
            load = loads_by_id[each_id] = ServerLoad()
        load.add(other)


def most_loaded(loads_by_id, limit):
    """Return the loads of at most `limit` backend servers, the most loaded ones."""
    if len(loads_by_id) <= limit:
        return loads_by_id
    return dict(heapq.nlargest(limit, loads_by_id.items(), key=_order))


def encode_loads(loads_by_id):
    """Return the wire form of loads."""
    packed = b"".join(
        _ENTRY.pack(
            each_id,
            min(_MAX_IN_FLIGHT, load.in_flight),
            _encode_logarithm(load.work / _WORK_UNIT),
            _encode_logarithm(load.expected_ms / _TIME_UNIT_MS),
            _encode_logarithm(load.observed_ms / _TIME_UNIT_MS),
        )
        for each_id, load in loads_by_id.items()
    )
    return base64.b64encode(packed).decode()


def decode_loads(data):
    """Return loads by identifier from the wire form; raise ValueError if malformed."""
    if not isinstance(data, str) or len(data) > _MAX_CHARS:
        raise ValueError("load sums are not a text of limited length")
    try:
        packed = base64.b64decode(data, validate=True)
        return {
            each_id: ServerLoad(
                in_flight,
                _WORK_UNIT * _decode_logarithm(work),
                _TIME_UNIT_MS * _decode_logarithm(expected),
                _TIME_UNIT_MS * _decode_logarithm(observed),
            )
            for each_id, in_flight, work, expected, observed in _ENTRY.iter_unpack(
                packed
            )
        }
    except (binascii.Error, struct.error) as error:
        raise ValueError(f"malformed load sums: {error}") from error


def _order(item):
    load = item[1]
    return load.in_flight, load.work, load.observed_ms


def _encode_logarithm(value):
    """Return an integer from 0 to 255 for a value; 0 only for less than 1/23."""
    steps = round(_STEPS_PER_OCTAVE * math.log2(1.0 + max(0.0, value)))
    return min(255, steps)


def _decode_logarithm(steps):
    return 2.0 ** (steps / _STEPS_PER_OCTAVE) - 1.0

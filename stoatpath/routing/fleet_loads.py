"""Sums the loads of backend servers over all instances, along the tree of the tables.

A request for tables carries the sums of the sender's subtree, the answer those of the
fleet. Reports are numbered, and an answer tells which report of the receiver its sums
contain. The receiver subtracts exactly that, and adds what it knows of its subtree now.
"""

import logging
import math
from collections import OrderedDict

from stoatpath.routing.load_sums import (
    ENTRY_CHARS,
    MAX_SERVERS,
    ServerLoad,
    add_loads,
    decode_loads,
    encode_loads,
    most_loaded,
    server_id,
)

logger = logging.getLogger(__name__)

NO_LOAD = ServerLoad()
# The sums of a subtree that is no longer reported expire.
REPORT_LIFE_MS = 3_000.0
# Selection by older sums of the fleet is worse than selection without any.
SUMS_LIFE_MS = 5_000.0
# Reports whose own part is kept until an answer contains them: at most two a second
# are sent, and sums come back within seconds.
MAX_KEPT_REPORTS = 16
# Followers of one instance are far fewer (`feeds.sources.FANOUT`), except while the
# tree changes.
MAX_SUBTREES = 64
MAX_NAME_CHARS = 200
# Larger numbers in a message count as this one.
MAX_NUMBER = 2**53
# Time of finished work below which it is left out, since it has decayed.
MIN_OBSERVED_MS = 16.0
# An instance that becomes the first keeps the sums that it had for this long: its
# followers need some time to find it, or it may soon find a source again.
TAKE_OVER_MS = 2_000.0
# A sum tells less the older it is: requests end and prompts are read meanwhile. The
# estimate decays to the mean of the service's servers with these half-lives.
IN_FLIGHT_HALF_LIFE_MS = 1_000.0
WORK_HALF_LIFE_MS = 300.0
# In a service of up to so many servers every choice compares all, and the least loaded
# in the sums would get the requests of all instances.
SMALL_SERVICE_SERVERS = 6
# Sums of the first instance are added up anew at most this often.
RENEWAL_MS = 100.0
IDLE_RENEWAL_MS = 1_000.0
# Means of services change slowly, and take milliseconds with thousands of servers.
MEANS_PERIOD_MS = 900.0
# Sums are sent less often when they are large, and an instance with many followers
# sends them fewer entries, so that the sums of an instance stay below this rate.
MIN_PERIOD_MS = 300.0
LARGE_PERIOD_MS = 900.0
LARGE_SERVERS = 128
MAX_ANSWER_BYTES_PER_S = 16_000.0


class _Subtree:
    """The last report of a follower: its loads, which stay as they were received."""

    __slots__ = ("number", "count", "as_of_ms", "received_ms", "loads_by_id")

    def __init__(self, number, count, as_of_ms, received_ms, loads_by_id):
        self.number = number
        self.count = count
        self.as_of_ms = as_of_ms
        self.received_ms = received_ms
        self.loads_by_id = loads_by_id


class FleetLoads:
    """The loads of this instance, of its followers, and of the fleet.

    `backends` is the directory of backend servers, `speeds` the `ServerSpeeds`.
    `is_first` is whether this instance follows no other: its sums are the fleet's.
    `rejected` counts malformed messages, `instances` how many the sums count.
    """

    __slots__ = (
        "is_first",
        "instances",
        "rejected",
        "_instance",
        "_backends",
        "_speeds",
        "_ids_by_name",
        "_subtrees_by_name",
        "_reports_by_number",
        "_last_number",
        "_reported_ms",
        "_answered_ms_by_name",
        "_fleet_by_id",
        "_above_by_id",
        "_others_by_id",
        "_means_by_service",
        "_servers_by_service",
        "_in_flight_weight",
        "_work_weight",
        "_as_of_ms",
        "_received_ms",
        "_renewed_ms",
        "_means_ms",
        "_encoded",
        "_reported_servers",
        "_has_changed",
        "_had_sums",
    )

    def __init__(self, instance, backends, speeds):
        self.is_first = False
        self.instances = 0
        self.rejected = 0
        self._instance = instance
        self._backends = backends
        self._speeds = speeds
        self._ids_by_name = {}
        self._subtrees_by_name = {}
        self._reports_by_number = OrderedDict()
        self._last_number = 0
        self._reported_ms = float("-inf")
        self._answered_ms_by_name = {}
        self._fleet_by_id = {}
        self._above_by_id = {}
        self._others_by_id = {}
        self._means_by_service = {}
        self._servers_by_service = {}
        self._in_flight_weight = 0.0
        self._work_weight = 0.0
        self._as_of_ms = float("-inf")
        self._received_ms = float("-inf")
        self._renewed_ms = float("-inf")
        self._means_ms = float("-inf")
        self._encoded = None
        self._reported_servers = 0
        self._has_changed = True
        self._had_sums = False

    def age_ms(self, now_ms):
        """Return the mean age of the sums, infinity without any."""
        pause_ms = RENEWAL_MS if self._has_changed else IDLE_RENEWAL_MS
        if now_ms - self._renewed_ms >= pause_ms:
            self._renew(now_ms)
        return max(0.0, now_ms - self._as_of_ms)

    def has_sums(self, now_ms):
        """Return whether the loads of the fleet are known well enough."""
        age_ms = self.age_ms(now_ms)
        self._in_flight_weight = 0.5 ** (age_ms / IN_FLIGHT_HALF_LIFE_MS)
        self._work_weight = 0.5 ** (age_ms / WORK_HALF_LIFE_MS)
        has_sums = age_ms <= SUMS_LIFE_MS
        if not has_sums:
            # The sums are gone; later ones don't build on them.
            self._above_by_id = {}
            self._others_by_id = {}
            self._means_by_service = {}
        if has_sums != self._had_sums:
            self._had_sums = has_sums
            extra = {"are_known": has_sums, "instances": self.instances}
            logger.info("loads.sums", extra=extra)
        return has_sums

    def load(self, backend):
        """Return the requests in flight and the pending prompt work of the fleet.

        That of this instance is as of now, that of the others is an estimate for the
        time of the last call of `has_sums`.
        """
        others = self._others_by_id.get(self._id(backend.name), NO_LOAD)
        in_flight, work = self._means_by_service.get(backend.service, (0.0, 0.0))
        capacity = self.speed(backend) * backend.slots
        in_flight *= capacity
        work *= capacity
        in_flight += self._in_flight_weight * (others.in_flight - in_flight)
        work += self._work_weight * (others.work - work)
        return (
            in_flight + backend.in_flight,
            work + backend.pending_prompt_work,
        )

    def others_in_flight(self):
        """Return the requests in flight of all other instances, as in the sums."""
        return sum(load.in_flight for load in self._others_by_id.values())

    def is_small(self, service):
        """Return whether a service has so few servers that all are compared."""
        return self._servers_by_service.get(service, 0) <= SMALL_SERVICE_SERVERS

    def deviation(self, in_flight):
        """Return the standard deviation of estimated requests in flight.

        It is that of random arrivals, less what the sums tell at their age.
        """
        return math.sqrt(max(0.5, in_flight) * (1.0 - self._in_flight_weight**2))

    def speed(self, backend):
        """Return the speed of a backend server, 1 for the common or an unknown one."""
        load = self._fleet_by_id.get(self._id(backend.name))
        return 1.0 if load is None else load.speed

    def observe(self, result):
        """Learn the speed of a backend server from an `AttemptResult`."""
        backend = self._backends.by_name.get(result.backend)
        if backend is not None:
            self._speeds.observe(result, self.load(backend)[0], backend.slots)

    def retain_backends(self, names):
        """Drop the state of all backend servers but the named ones."""
        for name in self._ids_by_name.keys() - names:
            del self._ids_by_name[name]

    def build_report(self, now_ms):
        """Return what a request for tables carries: the sums of this subtree."""
        message = {"from": self._instance}
        if not _is_due(now_ms, self._reported_ms, self._reported_servers):
            return message
        own_by_id = self._own_by_id(now_ms)
        loads_by_id, count, age_ms = self._sum_subtree(own_by_id, now_ms)
        loads_by_id = most_loaded(loads_by_id, MAX_SERVERS)
        self._reported_ms = now_ms
        self._reported_servers = len(loads_by_id)
        self._last_number += 1
        self._reports_by_number[self._last_number] = loads_by_id
        if len(self._reports_by_number) > MAX_KEPT_REPORTS:
            self._reports_by_number.popitem(last=False)
        message["number"] = self._last_number
        message["count"] = count
        message["age_ms"] = round(age_ms)
        message["sums"] = encode_loads(loads_by_id)
        return message

    def receive_report(self, message, now_ms):
        """Take the report of a follower; malformed ones are counted and ignored."""
        if message is None:
            return
        try:
            name = _read_name(message)
            if "sums" not in message:
                return
            number = _read_integer(message, "number")
            count = _read_integer(message, "count")
            age_ms = _read_integer(message, "age_ms")
            loads_by_id = decode_loads(message["sums"])
        except (ValueError, KeyError, TypeError) as error:
            self._reject(error)
            return
        self._drop_expired(now_ms)
        self._has_changed = True
        known = self._subtrees_by_name.get(name)
        if known is not None and number <= known.number:
            return
        if known is None and len(self._subtrees_by_name) >= MAX_SUBTREES:
            return
        self._subtrees_by_name[name] = _Subtree(
            number, count, now_ms - age_ms, now_ms, loads_by_id
        )

    def build_answer(self, request, now_ms):
        """Return what the answer to a request carries: the sums of the fleet, or None.

        `request` is what the request carried, None from an older build.
        """
        if not isinstance(request, dict):
            return None
        if self._has_changed:
            self._renew(now_ms)
        if not self.has_sums(now_ms):
            return None
        name = request.get("from")
        if not isinstance(name, str):
            return None
        answered_ms = self._answered_ms_by_name.get(name, float("-inf"))
        if not _is_due(now_ms, answered_ms, len(self._fleet_by_id)):
            return None
        if name in self._subtrees_by_name:
            self._answered_ms_by_name[name] = now_ms
        subtree = self._subtrees_by_name.get(name)
        return {
            "counted": None if subtree is None else subtree.number,
            "count": self.instances,
            "age_ms": round(self.age_ms(now_ms)),
            "sums": self._encode_fleet(),
        }

    def _encode_fleet(self):
        """Return the wire form of the fleet's sums, the same for all followers."""
        if self._encoded is None:
            followers = max(1, len(self._subtrees_by_name))
            limit = int(MAX_ANSWER_BYTES_PER_S / (followers * ENTRY_CHARS))
            loads_by_id = most_loaded(self._fleet_by_id, min(MAX_SERVERS, limit))
            self._encoded = encode_loads(loads_by_id)
        return self._encoded

    def receive_answer(self, message, now_ms):
        """Take the sums of the fleet; malformed ones are counted and ignored."""
        if message is None or self.is_first:
            return
        try:
            counted = message["counted"]
            count = _read_integer(message, "count")
            age_ms = _read_integer(message, "age_ms")
            fleet_by_id = decode_loads(message["sums"])
            report = None
            if counted is not None:
                report = self._reports_by_number.get(_read_integer(message, "counted"))
        except (ValueError, KeyError, TypeError) as error:
            self._reject(error)
            return
        self._above_by_id = _subtract(fleet_by_id, report or {})
        self._received_ms = now_ms
        self._has_changed = True
        self._as_of_ms = now_ms - age_ms
        self.instances = count

    def _renew(self, now_ms):
        """Add up the sums of the fleet, with what followers have reported since."""
        self._renewed_ms = now_ms
        self._has_changed = False
        own_by_id = self._own_by_id(now_ms)
        subtree_by_id, count, age_ms = self._sum_subtree(own_by_id, now_ms)
        # An instance that has become the first keeps the sums it had for a while.
        if self.is_first and now_ms - self._received_ms >= TAKE_OVER_MS:
            self._above_by_id = {}
            self.instances = count
            # Alone it knows no more than its own requests.
            is_alone = not self._subtrees_by_name
            self._as_of_ms = float("-inf") if is_alone else now_ms - age_ms
        self._others_by_id = {}
        add_loads(self._others_by_id, self._above_by_id)
        for subtree in self._subtrees_by_name.values():
            add_loads(self._others_by_id, subtree.loads_by_id)
        self._fleet_by_id = subtree_by_id
        add_loads(self._fleet_by_id, self._above_by_id)
        self._encoded = None
        if now_ms - self._means_ms >= MEANS_PERIOD_MS:
            self._means_ms = now_ms
            self._update_means()

    def _update_means(self):
        """Update the load of others for each slot at speed 1, by service."""
        totals_by_service = {}
        for name, backend in self._backends.by_name.items():
            totals = totals_by_service.get(backend.service)
            if totals is None:
                totals = totals_by_service[backend.service] = [0, 0.0, 0.0, 0]
            each_id = self._ids_by_name.get(name) or self._id(name)
            others = self._others_by_id.get(each_id)
            if others is not None:
                totals[0] += others.in_flight
                totals[1] += others.work
            fleet = self._fleet_by_id.get(each_id)
            totals[2] += backend.slots * (1.0 if fleet is None else fleet.speed)
            totals[3] += 1
        self._means_by_service = {
            service: (in_flight / capacity, work / capacity)
            for service, (in_flight, work, capacity, _) in totals_by_service.items()
            if capacity > 0
        }
        self._servers_by_service = {
            service: totals[3] for service, totals in totals_by_service.items()
        }

    def _sum_subtree(self, own_by_id, now_ms):
        """Return the loads, the number of instances and their mean age in ms."""
        self._drop_expired(now_ms)
        loads_by_id = {}
        add_loads(loads_by_id, own_by_id)
        count = 1
        total_age_ms = 0.0
        for subtree in self._subtrees_by_name.values():
            add_loads(loads_by_id, subtree.loads_by_id)
            count += subtree.count
            total_age_ms += subtree.count * (now_ms - subtree.as_of_ms)
        return loads_by_id, count, total_age_ms / count

    def _own_by_id(self, now_ms):
        own_by_id = {
            self._id(name): ServerLoad(backend.in_flight, backend.pending_prompt_work)
            for name, backend in self._backends.by_name.items()
            if backend.in_flight > 0 or backend.pending_prompt_work > 0
        }
        for name, expected_ms, observed_ms in self._speeds.times(now_ms):
            if observed_ms < MIN_OBSERVED_MS:
                continue
            load = own_by_id.setdefault(self._id(name), ServerLoad())
            load.expected_ms += expected_ms
            load.observed_ms += observed_ms
        return own_by_id

    def _drop_expired(self, now_ms):
        subtrees = self._subtrees_by_name
        for name in [
            name
            for name, each in subtrees.items()
            if now_ms - each.received_ms > REPORT_LIFE_MS
        ]:
            del subtrees[name]
            self._answered_ms_by_name.pop(name, None)

    def _reject(self, error):
        self.rejected += 1
        if self.rejected & (self.rejected - 1) == 0:
            # The first, second, fourth and so on, as a peer may send many.
            extra = {"why": repr(error)[:200], "count": self.rejected}
            logger.warning("loads.malformed", extra=extra)

    def _id(self, name):
        each_id = self._ids_by_name.get(name)
        if each_id is None:
            each_id = self._ids_by_name[name] = server_id(name)
        return each_id


def _subtract(fleet_by_id, reported_by_id):
    """Return the loads without those that were reported, never below zero."""
    return {
        each_id: (
            fleet.without(reported_by_id[each_id])
            if each_id in reported_by_id
            else fleet
        )
        for each_id, fleet in fleet_by_id.items()
    }


def _is_due(now_ms, sent_ms, servers):
    """Return whether to send sums of that many backend servers again."""
    period_ms = LARGE_PERIOD_MS if servers > LARGE_SERVERS else MIN_PERIOD_MS
    return now_ms - sent_ms >= period_ms


def _read_name(message):
    name = message["from"]
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_CHARS:
        raise ValueError("no name of an instance")
    return name


def _read_integer(message, field):
    value = message[field]
    if type(value) is not int or value < 0:
        raise ValueError(f"{field} is not a natural number")
    return min(value, MAX_NUMBER)

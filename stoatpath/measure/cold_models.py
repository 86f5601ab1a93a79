"""A model of instances before backend servers that become cold, in virtual time.

It adds rows, dark servers and slow connections to the model of limits; the table of
cold servers, the directory, circuits and permits are those of gateways.
"""

import asyncio

from stoatpath.backpressure.cold_starts import ColdStartTable
from stoatpath.backpressure.exchanges import PermitExchange
from stoatpath.backpressure.gates import SendGate
from stoatpath.backpressure.hold_offs import HoldOffs
from stoatpath.backpressure.limits import LimitTable
from stoatpath.backpressure.shares import SlotShares
from stoatpath.callers.relay_messages import RelayedAnswer
from stoatpath.configuration.routes import RoutedService
from stoatpath.feeds.copies import RowChange
from stoatpath.feeds.reachability import Reachability
from stoatpath.measure.limit_models import (
    SERVER_DELAY_MS,
    SERVICE,
    SERVICE_TIME_MS,
    ZONES,
    LimitFleet,
    ModelGateway,
    ModelPeerClient,
    ModelPolicy,
    ModelSender,
    ModelServer,
)
from stoatpath.measure.virtual_loops import run_virtually
from stoatpath.membership.directories import BackendDirectory
from stoatpath.membership.messages import ListedBackend
from stoatpath.outcomes import (
    CONNECT_FAILED,
    REFUSED_BY_BACKEND,
    Failure,
    Outcome,
)
from stoatpath.platform.row_stores import StoredRow

COLD_S = 3.0
COLD_PER_S = 10.0
COLD_FACTOR = 1.5
COLD_SLACK = 5
BOUND = int(COLD_PER_S * COLD_FACTOR + COLD_SLACK)
HEARTBEAT_MS = 1_200.0
# A row is known to each instance after a time between these.
ROW_DELAYS_MS = (100.0, 500.0)
CONNECT_LIMIT_MS = 400.0
# Share of connections that take up to the limit, and the time of the others.
SLOW_SHARE = 0.02
WINDOW_MS = 1_000.0


class ColdServer(ModelServer):
    """A backend server that writes rows, may be dark, and is cold at times.

    `cold_spells` holds the clock readings between which it was cold.
    """

    __slots__ = ("zone", "is_dark", "born", "cold_until_ms", "cold_spells", "version")

    def __init__(self, name):
        super().__init__(name)
        self.zone = f"zone-{int(name.rpartition('-')[2]) % ZONES}"
        self.is_dark = False
        self.born = 1
        self.cold_until_ms = 0.0
        self.cold_spells = []
        self.version = 0

    def become_cold(self, now_ms):
        """Be cold from now on."""
        self.cold_until_ms = now_ms + COLD_S * 1000
        self.cold_spells.append((now_ms, self.cold_until_ms))

    def entry(self, now_ms):
        """Return its row as a decoded entry."""
        left_ms = max(0.0, self.cold_until_ms - now_ms)
        return ListedBackend(
            self.name, SERVICE, "", self.zone, "v1", 8, False, self.born, left_ms
        )

    def most_arrivals(self, skipped_ms=0.0):
        """Return the most requests in any second of its cold times, after a part."""
        most = 0
        for start_ms, end_ms in self.cold_spells:
            times = sorted(
                at_ms
                for at_ms, _ in self.arrivals
                if start_ms + skipped_ms <= at_ms < end_ms
            )
            first = 0
            for index, at_ms in enumerate(times):
                while times[first] <= at_ms - WINDOW_MS:
                    first += 1
                most = max(most, index - first + 1)
        return most

    def used_share(self, skipped_ms):
        """Return the share of the bound used in its last cold time, after a part."""
        start_ms, end_ms = self.cold_spells[-1]
        return self.arrivals_per_s(start_ms + skipped_ms, end_ms) / BOUND


class ColdPolicy(ModelPolicy):
    """The rules of gateways, with the backend servers of a directory."""

    __slots__ = ()

    def candidates(self, request, version, relay):
        """Return all listed backend servers."""
        return self._backends.of_service(SERVICE)


class ColdSender(ModelSender):
    """Sends attempts over connections of which some are slow, or are refused."""

    __slots__ = ()

    async def send(self, attempt):
        """Return an answer or a failure."""
        fleet = self._fleet
        server = fleet.servers_by_name[attempt.backend.name]
        now_ms = self._clock.now_ms()
        if attempt.send_by_ms <= now_ms:
            return Failure(REFUSED_BY_BACKEND, "the permit expired", Outcome.NOT_RUN)
        connect_ms = SERVER_DELAY_MS
        if fleet.random() < SLOW_SHARE:
            connect_ms = fleet.random() * CONNECT_LIMIT_MS
        limit_ms = min(CONNECT_LIMIT_MS, attempt.send_by_ms - now_ms)
        await asyncio.sleep(min(connect_ms, limit_ms) / 1000)
        if connect_ms > limit_ms or server.is_dark:
            return Failure(CONNECT_FAILED, "no connection", Outcome.NOT_RUN)
        await asyncio.sleep(SERVER_DELAY_MS / 1000)
        server.receive(self._name, fleet.now_ms())
        await asyncio.sleep((SERVICE_TIME_MS + SERVER_DELAY_MS) / 1000)
        return RelayedAnswer(None, b"")


class ColdGateway(ModelGateway):
    """One instance that follows the rows of backend servers."""

    __slots__ = ("backends",)

    sender_class = ColdSender

    def __init__(self, fleet, name, zone, build_permits, rng):
        self.backends = BackendDirectory(lambda key, entry: entry, Reachability())
        super().__init__(fleet, name, zone, build_permits, rng)
        self.send_gate.on_restart = self.chooser.reset
        self.backends.entry_observers.append(self.send_gate.observe_entry)
        self.attempts.observers += [
            self.chooser.observe,
            self.send_gate.observe_result,
        ]
        fleet.deliver_table(self)

    def _build_gate(self, fleet, build_permits, rng):
        limits = LimitTable()
        cold = ColdStartTable(COLD_FACTOR if fleet.has_bound else None, COLD_SLACK)
        service = RoutedService(SERVICE, {}, COLD_S * 1000, COLD_PER_S)
        cold.set_services({SERVICE: service}, self.clock.now_ms())
        permits = build_permits(
            limits,
            self.members,
            ModelPeerClient(fleet, self.name),
            fleet.register_instance(self.name),
            self.clock,
            cold,
            True,
        )
        shares = SlotShares(self.members, rng)
        return SendGate(limits, permits, HoldOffs(rng), shares, self.clock, cold)

    def _build_policy(self, fleet):
        return ColdPolicy(self, self.backends)

    def apply_rows(self, rows):
        """Apply pairs of a name and a row."""
        changes = [RowChange(name, row) for name, row in rows]
        self.backends.apply(changes, self.clock.now_ms())


class ColdFleet(LimitFleet):
    """Instances before backend servers that write rows and become cold.

    Without `has_bound`, instances run as before there was one. `storeless` holds the
    names of instances that get no rows; those in different groups of `group_by_name`
    do not reach each other.
    """

    __slots__ = (
        "has_bound",
        "storeless",
        "group_by_name",
        "_heartbeats",
        "_are_introduced",
    )

    server_class = ColdServer
    gateway_class = ColdGateway

    def __init__(
        self, loop, instances, servers, rate_per_s, seed, has_bound=True, known=True
    ):
        self.has_bound = has_bound
        self.storeless = set()
        self.group_by_name = {}
        self._heartbeats = []
        self._are_introduced = known
        super().__init__(loop, instances, servers, rate_per_s, seed, PermitExchange)

    def introduce_all(self):
        """Make all instances known to each other, if they were not at first."""
        self._are_introduced = True
        self._introduce(self.gateways_by_name)

    def _introduce(self, names):
        if self._are_introduced:
            super()._introduce(names)

    def random(self):
        """Return a random number from 0 to 1."""
        return self._random.random()

    def is_connected(self, one, other):
        """Return whether two instances reach each other."""
        groups = self.group_by_name
        is_same = groups.get(one) == groups.get(other)
        return is_same and super().is_connected(one, other)

    def start(self):
        """Start the callers, and the rows of backend servers."""
        super().start()
        coroutines = [self._write_rows(each) for each in self.servers_by_name.values()]
        coroutines.append(self._maintain())
        self._heartbeats = [self.loop.create_task(each) for each in coroutines]

    async def stop(self):
        """End all tasks."""
        for task in self._heartbeats:
            task.cancel()
        await super().stop()

    def write_row(self, server):
        """Write the row of a backend server; each instance knows it a little later."""
        server.version += 1
        now_ms = self.now_ms()
        row = StoredRow(server.name, server.version, server.entry(now_ms))
        for gateway in self.gateways_by_name.values():
            if gateway.name in self.storeless | self.frozen:
                continue
            delay_ms = self._random.uniform(*ROW_DELAYS_MS)
            self.loop.call_later(
                delay_ms / 1000, gateway.apply_rows, [(server.name, row)]
            )

    def deliver_table(self, gateway):
        """Give a starting instance all rows."""
        now_ms = self.now_ms()
        gateway.apply_rows(
            (name, StoredRow(name, server.version, server.entry(now_ms)))
            for name, server in self.servers_by_name.items()
        )

    async def darken(self, servers, seconds, is_new_process=True):
        """Let backend servers refuse connections for some time and return cold."""
        for server in servers:
            server.is_dark = True
        await asyncio.sleep(seconds)
        for server in servers:
            server.is_dark = False
            server.born += is_new_process
            server.become_cold(self.now_ms())
            self.write_row(server)

    def chill(self, servers):
        """Let backend servers become cold without a new process."""
        for server in servers:
            server.become_cold(self.now_ms())
            self.write_row(server)

    async def _maintain(self):
        """Do the periodic work of all instances."""
        while True:
            await asyncio.sleep(0.25)
            for name, gateway in self.gateways_by_name.items():
                if name in self.frozen:
                    continue
                gateway.send_gate.retain_backends(gateway.backends.by_name)

    async def _write_rows(self, server):
        await asyncio.sleep(self._random.random() * HEARTBEAT_MS / 1000)
        while True:
            if not server.is_dark:
                self.write_row(server)
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def failed_share(self):
        """Return the share of requests that failed."""
        failed = sum(has_failed for has_failed, _ in self.results)
        return failed / max(1, len(self.results))

    def latency_ms(self, share):
        """Return the time within which a share of the answered requests ended."""
        times = sorted(ms for has_failed, ms in self.results if not has_failed)
        return times[int(share * (len(times) - 1))] if times else float("nan")


SETTLE_S = 10.0
DARK_S = 3.0
AFTER_S = 8.0
BEFORE_MS = 4_000.0
FAULT_S = 4.0
SERVERS = 6
DEMAND_PER_S = 60.0
# Time in which all instances know of a cold time that no process start shows.
KNOWN_MS = ROW_DELAYS_MS[1] + SERVER_DELAY_MS * 2


class ColdReport:
    """The figures of one play.

    `most` and `shares` have the most arrivals in a second and the share of the bound
    used, by cold server. `full_use_ms` is the time after the cold time until the cold
    servers get 0.8 of the requests that they got before; inf if they never did, or if
    no time before was played.
    """

    __slots__ = ("most", "shares", "full_use_ms", "failed_share", "slowest_ms")


def play(instances, seed, how, fault="none", has_bound=True, servers=SERVERS):
    """Let backend servers of one zone, or of all, become cold; return a report.

    `how` is "return" (dark for some time, then new processes), "turn" (no new process)
    or "all" (as "return", in all zones). `fault` happens to instances meanwhile.
    """

    async def main(loop):
        rate_per_s = DEMAND_PER_S * servers / instances
        are_known = fault != "start"
        fleet = ColdFleet(
            loop, instances, servers, rate_per_s, seed, has_bound, are_known
        )
        fleet.start()
        await asyncio.sleep(0.0 if fault == "start" else SETTLE_S)
        disturbance = loop.create_task(disturb(fleet, fault))
        cold = [
            server
            for server in fleet.servers_by_name.values()
            if how == "all" or server.zone == "zone-0"
        ]
        from_ms = max(0.0, fleet.now_ms() - BEFORE_MS)
        before_per_s = _mean_arrivals_per_s(cold, from_ms, max(1.0, fleet.now_ms()))
        fleet.results.clear()
        if how == "turn":
            fleet.chill(cold)
        else:
            await fleet.darken(cold, DARK_S)
        await asyncio.sleep(COLD_S + AFTER_S)
        disturbance.cancel()
        await asyncio.gather(disturbance, return_exceptions=True)
        await fleet.stop()
        skipped_ms = KNOWN_MS if how == "turn" else 0.0
        return build_report(fleet, cold, skipped_ms, before_per_s)

    return run_virtually(main)


async def disturb(fleet, fault):
    """Let a fault happen to some instances."""
    count = max(1, len(fleet.gateways_by_name) // 10)
    names = fleet.some_names(count)
    await asyncio.sleep(0.0 if fault in ("start", "split") else DARK_S - 1.0)
    if fault == "split":
        halves = [*fleet.gateways_by_name]
        fleet.group_by_name = {name: n % 2 for n, name in enumerate(halves)}
        await asyncio.sleep(FAULT_S + DARK_S)
        fleet.group_by_name = {}
    elif fault == "start":
        await asyncio.sleep(FAULT_S)
        fleet.introduce_all()
    elif fault == "join":
        await asyncio.gather(*(fleet.join(f"joined-{n}") for n in range(count)))
    elif fault == "restart":
        await asyncio.gather(*(fleet.restart(name, 1.0) for name in names))
    elif fault == "freeze":
        await asyncio.gather(*(fleet.freeze(name, FAULT_S) for name in names))
    elif fault == "isolate":
        await asyncio.gather(*(fleet.isolate(name, FAULT_S) for name in names))
    elif fault == "leave":
        for name in names:
            fleet.leave(name)


def _mean_arrivals_per_s(servers, from_ms, to_ms):
    return sum(each.arrivals_per_s(from_ms, to_ms) for each in servers) / len(servers)


def build_report(fleet, cold, skipped_ms, before_per_s):
    """Return the `ColdReport` of a fleet after its cold times."""
    report = ColdReport()
    report.most = [server.most_arrivals(skipped_ms) for server in cold]
    report.shares = [server.used_share(1_000.0) for server in cold]
    report.failed_share = fleet.failed_share()
    report.slowest_ms = fleet.latency_ms(0.99)
    report.full_use_ms = float("inf")
    end_ms = cold[0].cold_until_ms
    for after_ms in range(0, int(AFTER_S * 1000) - 500, 250):
        from_ms = end_ms + after_ms
        per_s = _mean_arrivals_per_s(cold, from_ms, from_ms + 500.0)
        if 0.0 < 0.8 * before_per_s <= per_s:
            report.full_use_ms = float(after_ms)
            break
    return report

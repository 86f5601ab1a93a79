"""Runs of the soak: processes of gateways and backend servers, faults from a seed.

By hand: `python features/soak/steps/soak_runs.py --seed 1 --seeds 50 --streams 400`.
Prints one line for each seed and each broken promise with its evidence; the exit code
is 1 if there is any. What is promised is checked from what callers and backend servers
saw: ORDER, MIXED, TWICE and REFUSED, and that no gateway ends by itself (ENDED). With
`--planned` nothing happens but stops of gateways and changes of the configuration, and
requests take longer. Then no accepted request is cut (LOST), and no gateway outlasts
its grace period (LATE). With `--odd-callers` nothing happens but callers of another
organisation who misuse identifiers and connections. Then no request of the others fails
(HURT).
"""

import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import sys
import time
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
sys.path[:0] = [str(ROOT), str(Path(__file__).parent)]

from soak_callers import PROMISES, Callers  # noqa: E402
from soak_odd_callers import KEY, ORGANISATION, OddCallers  # noqa: E402
from soak_processes import (  # noqa: E402
    GRACE_S,
    GatewayProcess,
    Proxy,
    ReplicaProcess,
)

from stoatpath.standins import deployments  # noqa: E402
from stoatpath.standins.faults import Fault  # noqa: E402
from stoatpath.standins.row_stores import RowStoreStandin  # noqa: E402

ZONES = ("zone-a", "zone-b", "zone-c")
MODELS = [{"name": name, "version": 1, "adapters": []} for name in deployments.MODELS]
GATEWAYS = 6
MODEL_REPLICAS = 8
PLAIN_REPLICAS = 3
STREAMS_PER_S = 20
HEARTBEAT_S = 1.2
SILENCE_S = 3.6
DRAIN_S = 3.0
READY_PERIOD_S = 0.5
# Beside the time in which requests are sent.
RUN_TIMEOUT_S = 100.0
REPLICA_FAULT_SHARE = 0.08
EVIDENCE_S = 2.5
# Mean number of faults a second, by target and kind.
FAULTS_PER_S = {
    "replica": {"kill": 1.2, "drain": 0.15, "pause": 0.3},
    "proxy": {"delay": 0.3, "silence": 0.2, "reset": 0.5, "close": 0.5},
    "gateway": {"term": 0.15, "kill": 0.25, "pause": 0.2},
    "store": {"down": 0.1, "slow": 0.1},
}
PLANNED_FAULTS_PER_S = {"gateway": {"term": 0.5, "hup": 0.3}, "config": {"change": 0.3}}
# From each event, and each half of a plain answer, to the next; shortest and longest.
EVENT_GAP_MS = (5, 40)
WORK_MS = (5, 120)
PLANNED_EVENT_GAP_MS = (25, 200)
PLANNED_WORK_MS = (300, 1_300)
SERIES_GAPS_S = (0.0, 0.05, 1.0, 3.0)
# From the last byte of a request that its instance may not have read when it ends.
LOSS_SLACK_S = 0.2
# What the platform excuses: requests sent up to so long after the signal, at which a
# backend server works in the last part of the grace period.
EXCUSED_SENT_S = 3.0
EXCUSED_WORK_S = GRACE_S * 5 / 6


class SoakRun:
    """One run. `unframed` lets some answers end with their connection alone.

    `clean_closes` lets proxies and backend servers close such answers too early, which
    no gateway can tell from their end. `root` is the checkout of the gateways. With
    `planned` only gateways end, by planned stops; with `has_odd_callers` nothing ends.
    `broken` lists the time, rule, attempt, gateway and text of each broken promise.
    """

    def __init__(
        self,
        seed,
        streams,
        unframed,
        clean_closes=False,
        root=ROOT,
        planned=False,
        has_odd_callers=False,
    ):
        self.streams = streams
        self.unframed = unframed
        self.clean_closes = clean_closes
        self.planned = planned
        self.has_odd_callers = has_odd_callers
        self.odd_callers = None
        kind = "planned" if planned else "unframed" if unframed else "framed"
        kind = "odd" if has_odd_callers else kind
        self.name = f"seed {seed} {kind}"
        self.broken = []
        self.callers = None
        self._seed = seed
        self._rng = random.Random(seed)
        self._root = root
        self._folder = ROOT / ".results" / "soak" / self.name.replace(" ", "-")
        self._store = RowStoreStandin()
        self._store_address = ""
        self._config = _make_config(4_000 if planned else 2_000)
        self._gateways = []
        self._replicas = []
        self._faults = []
        self._stops = []
        self._runs_by_attempt = {}
        self._tasks = []
        self._started_s = time.monotonic()
        # Keeps runs at the same time apart; nothing else depends on it.
        network = f"127.{64 + os.getpid() % 120}.{random.randrange(1, 250)}"
        self._ips = iter([f"{network}.{host}" for host in range(2, 250)])

    async def run(self):
        """Run to the end, and end all processes whatever happens."""
        shutil.rmtree(self._folder, ignore_errors=True)
        self._folder.mkdir(parents=True)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(RUN_TIMEOUT_S + self.streams / STREAMS_PER_S):
                await self._start()
                await self._play()
        finally:
            for task in self._tasks:
                task.cancel()
            results = await asyncio.gather(*self._tasks, return_exceptions=True)
            await self._end()
        errors = [each for each in results if isinstance(each, Exception)]
        if errors:
            raise ExceptionGroup("the soak itself failed", errors)
        self._check()

    def count_whole(self):
        """Return the number of resumable streams that ended as complete."""
        return sum(
            answer.is_complete and answer.status == 200
            for answer in self.callers.answers
            if answer.path.startswith("/chat/")
        )

    def report(self):
        """Return a line about the run, and lines about each broken promise."""
        rules = Counter(rule for _, rule, *_ in self.broken)
        statuses = Counter(answer.status for answer in self.callers.answers)
        faults = Counter(text.split(" ")[0] for _, _, text in self._faults)
        lines = [
            f"{self.name}: {dict(rules) or 'all promises kept'}; {self.count_whole()} "
            f"streams complete, answers {dict(sorted(statuses.items()))}, faults "
            f"{dict(sorted(faults.items()))}, {self._seconds(time.monotonic())}"
        ]
        for at_s, rule, attempt, gateway, text in sorted(self.broken):
            lines.append(
                f"BROKEN {rule}, {self.name}, {self._seconds(at_s)}, {gateway}, "
                f"attempt {attempt}: {text}"
            )
            runs = self._runs_by_attempt.get(attempt, ())
            names = {gateway, *(entry["replica"] for entry in runs)}
            details = [(entry["at"], str(entry)) for entry in runs]
            for fault_s, name, fault in self._faults:
                if name in names and abs(fault_s - at_s) < EVIDENCE_S:
                    details.append((fault_s, f"{name} {fault}"))
            lines += [f"    {self._seconds(at)} {line}" for at, line in sorted(details)]
            for each in self._gateways:
                logged = each.log_lines(attempt)
                lines += [f"    {each.name} logged {line}" for line in logged]
        return "\n".join(lines)

    async def _start(self):
        self._store_address = await self._store.start()
        await self._store.put("op", "config", self._config)
        for index in range(MODEL_REPLICAS + PLAIN_REPLICAS):
            is_model = index < MODEL_REPLICAS
            service = deployments.LLM_SERVICE if is_model else deployments.PLAIN_SERVICE
            proxy = Proxy(next(self._ips)) if index % 3 == 1 else None
            zone = ZONES[index % len(ZONES)]
            replica = ReplicaProcess(f"r{index}", zone, next(self._ips), service, proxy)
            self._replicas.append(replica)
        for index in range(GATEWAYS):
            place = ZONES[index % len(ZONES)], next(self._ips), self._folder, self._root
            self._gateways.append(GatewayProcess(f"g{index}", *place))
        await asyncio.gather(*map(self._start_replica, self._replicas))
        await asyncio.gather(*map(self._start_gateway, self._gateways))
        while not all(gateway.is_ready for gateway in self._gateways):
            await asyncio.gather(*(each.update_ready() for each in self._gateways))
            await asyncio.sleep(0.1)
        for gateway in self._gateways:
            self._spawn(self._watch(gateway))
        self._spawn(self._beat())

    async def _play(self):
        """Send all requests, beside the faults, and wait for their answers."""
        rng = self._rng
        self.callers = Callers(self._seed, self._gateways, self.planned)
        length_s = self.streams / STREAMS_PER_S
        begin_s = time.monotonic()
        routes = ["chat"] * self.streams + ["tell"] * (self.streams // 8)
        routes += ["book", "look"] * (self.streams // 4)

        async def call(at_s, *arguments):
            await asyncio.sleep(at_s - time.monotonic())
            await self.callers.call(*arguments)

        calls = []
        for number, route in enumerate(routes):
            length = rng.randint(*((5, 60) if route in ("chat", "tell") else (9, 9999)))
            leaves_after_s = rng.uniform(0.02, 1.0) if rng.random() < 0.05 else None
            request = f"/{route}/{length}/c{number}", route in ("chat", "look")
            at_s = begin_s + rng.uniform(0, length_s)
            calls.append(call(at_s, *request, leaves_after_s))
        faults_per_s = PLANNED_FAULTS_PER_S if self.planned else FAULTS_PER_S
        if self.has_odd_callers:
            faults_per_s = {}
            self.odd_callers = OddCallers(
                self._seed, self._gateways, self._find_open_attempt
            )
            self._spawn(self.odd_callers.run())
        for target, kinds in faults_per_s.items():
            for action, per_s in kinds.items():
                at_s = rng.expovariate(per_s)
                while at_s < length_s:
                    fault_rng = random.Random(rng.getrandbits(32))
                    fault = self._apply(begin_s + at_s, target, action, fault_rng)
                    self._spawn(fault)
                    at_s += rng.expovariate(per_s)
        await asyncio.gather(*calls)
        self.callers.close()

    def _find_open_attempt(self):
        return next(iter(self.callers.open_attempts), None)

    async def _apply(self, at_s, target, action, rng):
        """Apply a fault to a target that no other fault concerns."""
        await asyncio.sleep(at_s - time.monotonic())
        if target == "store":
            self._note(target, f"store-{action}")
            await self._disturb_store(action, rng)
        elif target == "config":
            self._config["version"] += rng.randint(1, 3)
            await self._store.put("op", "config", self._config)
        elif target == "gateway":
            calm = [g for g in self._gateways if g.is_ready and not g.is_stopped]
            calm = [g for g in calm if g.is_running() and not g.expects_end]
            if len(calm) > GATEWAYS // 2:
                gateway = rng.choice(calm)
                self._note(gateway.name, f"gateway-{action}")
                if action == "pause":
                    await gateway.pause(rng.uniform(0.3, 3.0))
                elif action == "hup":
                    gateway.signal(signal.SIGHUP)
                elif action == "kill":
                    gateway.expects_end = True
                    await gateway.end(signal.SIGKILL)
                else:
                    await self._stop_gateway(gateway, rng)
        else:
            calm = [each for each in self._replicas if not each.is_busy]
            if target == "proxy":
                calm = [each for each in calm if each.proxy is not None]
            if calm:
                replica = rng.choice(calm)
                replica.is_busy = True
                if target == "proxy":
                    await self._disturb_proxy(replica, action, rng)
                elif action == "pause":
                    self._note(replica.name, "replica-pause")
                    await replica.pause(rng.uniform(0.2, 2.0))
                else:
                    replica = await self._end_replica(replica, action, rng)
                replica.is_busy = False

    async def _stop_gateway(self, gateway, rng):
        """Stop a gateway as the platform does, at times by signals in series."""
        gateway.expects_end = True
        others = rng.choices((signal.SIGTERM, signal.SIGHUP), k=rng.randint(0, 2))
        gap_s = rng.choice(SERIES_GAPS_S) if others else 0.0
        began_s = time.monotonic()
        self._stops.append((gateway.name, began_s))
        is_in_time = await gateway.end(signal.SIGTERM, *others, gap_s=gap_s)
        if self.planned and not is_in_time:
            late = "LATE", "-", gateway.name, f"killed {GRACE_S} s after SIGTERM"
            self.broken.append((time.monotonic(), *late))

    async def _disturb_store(self, action, rng):
        for operation in ("read", "feed", "tx"):
            self._store.faults.add(Fault(operation, action, None, delay_ms=300))
        await asyncio.sleep(rng.uniform(0.3, 2.0))
        self._store.faults.clear()

    async def _end_replica(self, replica, action, rng):
        """End a backend server, by a signal after it drained or at once.

        Returns the process that takes its place after a time.
        """
        self._note(replica.name, f"replica-{action} ({replica.framing})")
        if action == "drain":
            replica.signal(signal.SIGUSR1)
            replica.state = "draining"
            await self._register(replica)
            await asyncio.sleep(DRAIN_S + rng.uniform(0.2, 1.0))
            self._note(replica.name, "replica-term")
            await self._store.remove("servers", replica.name)
        await replica.end(signal.SIGTERM if action == "drain" else signal.SIGKILL)
        await asyncio.sleep(rng.uniform(0.3, 3.0))
        if action == "drain" or rng.random() < 0.5:
            replica = replica.successor(f"r{len(self._replicas)}")
            self._replicas.append(replica)
        await self._start_replica(replica)
        self._note(replica.name, f"replica-start ({replica.framing})")
        return replica

    async def _disturb_proxy(self, replica, action, rng):
        if action == "close" and replica.framing == "unframed":
            action = "close" if self.clean_closes else "reset"
        self._note(replica.name, f"proxy-{action}")
        if action in ("delay", "silence"):
            bounds_s = (0.01, 0.2) if action == "delay" else (1.0, 5.0)
            replica.proxy.delay_s = rng.uniform(*bounds_s)
            await asyncio.sleep(rng.uniform(0.3, 3.0))
            replica.proxy.delay_s = 0.0
        else:
            replica.proxy.end_connections(rng, is_clean=action == "close")

    async def _start_replica(self, replica):
        framings = ("chunks", "length", "unframed", "unframed")
        rng = random.Random(f"{self._seed} {replica.name} {replica.starts}")
        await replica.start(
            framing=rng.choice(framings if self.unframed else framings[:2]),
            seed=self._seed,
            fault_share=REPLICA_FAULT_SHARE if self._has_faults() else 0.0,
            event_gap_ms=PLANNED_EVENT_GAP_MS if self.planned else EVENT_GAP_MS,
            work_ms=PLANNED_WORK_MS if self.planned else WORK_MS,
            closes_cleanly=self.clean_closes,
            models=MODELS,
            record=str(self._folder / "runs.jsonl"),
        )
        await self._register(replica)

    async def _start_gateway(self, gateway):
        seeds = [each.addresses["control"] for each in self._gateways[:3]]
        await gateway.start(self._store_address, seeds, ZONES)

    async def _watch(self, gateway):
        """Start the gateway again whenever it ends; ask whether it is ready."""
        while True:
            if not gateway.is_running():
                status = gateway.process.returncode
                self._note(gateway.name, f"gateway-end, status {status}")
                if not gateway.expects_end:
                    ended = "ENDED", "-", gateway.name, f"by itself, status {status}"
                    self.broken.append((time.monotonic(), *ended))
                await asyncio.sleep(READY_PERIOD_S)
                await self._start_gateway(gateway)
            await gateway.update_ready()
            await asyncio.sleep(READY_PERIOD_S)

    async def _beat(self):
        """Write the entries of the backend servers; remove those that are silent."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for replica in list(self._replicas):
                if replica.address and not replica.is_stopped:
                    await self._register(replica)
                elif time.monotonic() - replica.heard_s > SILENCE_S:
                    if self._store.value("servers", replica.name) is not None:
                        await self._store.remove("servers", replica.name)

    async def _register(self, replica):
        replica.heard_s = time.monotonic()
        await self._store.put("servers", replica.name, replica.row(MODELS))

    async def _end(self):
        """End all processes: gateways by SIGTERM first, as the platform does."""
        signals = signal.SIGCONT, signal.SIGTERM
        await asyncio.gather(*(each.end(*signals) for each in self._gateways))
        await asyncio.gather(*(each.end(signal.SIGKILL) for each in self._replicas))
        await self._store.stop()

    def _check(self):
        """Compare what the callers got with what the backend servers ran."""
        path = self._folder / "runs.jsonl"
        for line in path.read_text(encoding="utf-8").splitlines():
            entry = json.loads(line)
            self._runs_by_attempt.setdefault(entry.pop("attempt"), []).append(entry)
        for answer in self.callers.answers:
            entries = [
                entry
                for entry in self._runs_by_attempt.get(answer.attempt, ())
                # Another caller may use the same identifier.
                if entry.get("path", answer.path) == answer.path
            ]
            runs = [entry for entry in entries if entry["what"] == "run"]
            found = [answer.find_broken()]
            if self.planned and answer.is_lost():
                found.append(self._find_loss(answer, entries))
            if self.has_odd_callers and (answer.status == 500 or answer.is_lost()):
                found.append(("HURT", f"{answer.status}, {answer.end}"))
            is_once = answer.path.startswith(("/book/", "/tell/"))
            if is_once and len(runs) > 1:
                found.append(("TWICE", f"ran {len(runs)} times"))
            if is_once and runs and answer.status in PROMISES:
                found.append(("REFUSED", f"ran and was answered {answer.status}"))
            has_seal = "x-stoatpath-replica-seal" in answer.headers
            if has_seal and answer.status not in [entry["status"] for entry in runs]:
                found.append(("MIXED", f"{answer.status}, not the replica's"))
            for rule, text in filter(None, found):
                where = rule, answer.attempt, answer.gateway, f"{answer.path} {text}"
                self.broken.append((answer.ended_s, *where))

    def _has_faults(self):
        return not self.planned and not self.has_odd_callers

    def _find_loss(self, answer, entries):
        """Return LOST and how a request was, unless the platform excuses that."""
        stops = [at for name, at in self._stops if name == answer.gateway]
        stopped_s = max((at for at in stops if at <= answer.ended_s), default=0.0)
        after_s = answer.sent_s - stopped_s
        if not entries and answer.ended_s - answer.sent_s <= LOSS_SLACK_S:
            return None
        worked_until_s = max((entry["at"] for entry in entries), default=0.0)
        is_late_work = worked_until_s >= stopped_s + EXCUSED_WORK_S
        if is_late_work and after_s <= EXCUSED_SENT_S:
            return None
        text = f"{answer.status}, {answer.end}, sent {after_s:.2f} s after SIGTERM"
        return "LOST", text

    def _note(self, name, text):
        self._faults.append((time.monotonic(), name, text))

    def _seconds(self, at_s):
        return f"{at_s - self._started_s:.3f} s"

    def _spawn(self, coroutine):
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))


def _make_config(plain_timeout_ms):
    config = deployments.sample_config()
    for route in config["routes"]:
        is_model = route["service"] == deployments.LLM_SERVICE
        route["timeout_ms"] = 12_000 if is_model else plain_timeout_ms
        route["target_latency_ms"] = 1_500 if is_model else 400
    config["limits"]["header_timeout_ms"] = 3_000
    config["tenants"].append({"name": ORGANISATION, "api_keys": [KEY]})
    return config


def main():
    """Run the seeds that the command line names; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--streams", type=int, default=400)
    parser.add_argument("--gateway-root", type=Path, default=ROOT)
    parser.add_argument("--framed", action="store_true", help="no unframed answers")
    parser.add_argument("--clean-closes", action="store_true")
    parser.add_argument("--planned", action="store_true", help="planned stops only")
    parser.add_argument("--odd-callers", action="store_true", help="no faults")
    options = parser.parse_args()
    root = options.gateway_root.resolve()
    broken = 0
    for seed in range(options.seed, options.seed + options.seeds):
        is_unframed = not (options.framed or options.planned or options.odd_callers)
        settings = is_unframed, options.clean_closes, root, options.planned
        settings += (options.odd_callers,)
        run = SoakRun(seed, options.streams, *settings)
        asyncio.run(run.run())
        print(run.report(), flush=True)
        broken += len(run.broken)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())

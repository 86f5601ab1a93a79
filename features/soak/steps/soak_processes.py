"""Processes of the soak: gateways and backend servers, and the proxy before some."""

import asyncio
import json
import os
import shlex
import signal
import sys
import time
import tomllib
from pathlib import Path

import aiohttp
from soak_replicas import reset

READY_TIMEOUT_S = 1.0
GRACE_S = 8
# A gateway has a loopback address of its own. Ports that the kernel gives to outgoing
# connections could be taken when it starts again.
PORTS = {"front": 8227, "ready": 8220, "control": 8229}
BLOCK_BYTES = 65_536
REPLICA_PROGRAM = Path(__file__).with_name("soak_replicas.py")
# As on the deployment arriaga-labsim-grown.
BOUNDS = {"contact_ms": 4000, "drain_ms": 3000, "config_ms": 3000, "grace_s": GRACE_S}
BOUNDS |= {"retry_budget_ratio": 0.9, "budget_slack": 182, "session_s": 8.5}


class OwnProcess:
    """A process that the soak started and that it alone signals, by its id."""

    def __init__(self, name, zone, ip):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.process = None
        self.starts = 0
        self.is_stopped = False

    def is_running(self):
        """Tell whether the process was started and hasn't ended."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        """Send a signal unless the process has ended."""
        if self.is_running():
            self.process.send_signal(number)

    async def pause(self, pause_s):
        """Stop the process for a time."""
        self.is_stopped = True
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        self.signal(signal.SIGCONT)
        self.is_stopped = False

    async def end(self, *signals, gap_s=0.0):
        """Send signals and wait for the end; kill it after the grace period.

        Return whether it ended by itself.
        """
        process = self.process
        if process is None:
            return True
        deadline_s = time.monotonic() + GRACE_S
        for number in signals:
            # Another process may have taken its place.
            if process.returncode is None:
                process.send_signal(number)
            await asyncio.sleep(gap_s)
        try:
            async with asyncio.timeout(deadline_s - time.monotonic()):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
            return False
        return True


class GatewayProcess(OwnProcess):
    """A gateway started with the command of the deploy file of `root`.

    `expects_end` is true while a signal of the soak may end it.
    """

    def __init__(self, name, zone, ip, folder, root):
        super().__init__(name, zone, ip)
        self.addresses = {name: f"{ip}:{port}" for name, port in PORTS.items()}
        self.expects_end = False
        self.is_ready = False
        self._root = root
        self._boot_path = folder / f"{name}.yaml"
        self._log_path = folder / f"{name}.log"

    async def start(self, store_address, seeds, zones):
        """Start the process with a settings file as the platform places it."""
        boot = {"node_name": self.name, "ip": self.ip, "listen": self.addresses}
        boot |= {"zone": self.zone, "zones": dict.fromkeys(zones, "coast")}
        boot |= {"seeds": seeds, "bootstrap": self.starts == 0, "bounds": BOUNDS}
        boot |= {"provider": {"address": store_address}, "limits": {"memory_mb": 552}}
        # JSON is YAML, too.
        self._boot_path.write_text(json.dumps(boot), encoding="utf-8")
        deploy = tomllib.loads((self._root / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        environment = os.environ | role.get("env", {}) | {"PYTHONPATH": str(self._root)}
        environment["STOATPATH_BOOT"] = str(self._boot_path)
        command = [sys.executable, *shlex.split(role["run"])[1:]]
        self.expects_end = False
        self.starts += 1
        with open(self._log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=self._root, env=environment, stdout=log, stderr=log
            )

    async def update_ready(self):
        """Ask whether the gateway is ready, as the platform does."""
        url = f"http://{self.addresses['ready']}/-/readyz"
        timeout = aiohttp.ClientTimeout(total=READY_TIMEOUT_S)
        try:
            async with aiohttp.request("GET", url, timeout=timeout) as response:
                self.is_ready = response.status == 200
        except (TimeoutError, aiohttp.ClientError):
            self.is_ready = False

    def log_lines(self, attempt):
        """Return the lines about the end of an attempt."""
        lines = self._log_path.read_text(encoding="utf-8").splitlines()
        lines = [line for line in lines if "request.ended" in line]
        return [line for line in lines if f'"{attempt}"' in line]


class ReplicaProcess(OwnProcess):
    """A backend server; `address` is what it registers, that of its proxy if any.

    `is_busy` is true while a fault concerns it; `heard_s` is its last entry's time.
    """

    def __init__(self, name, zone, ip, service, proxy=None):
        super().__init__(name, zone, ip)
        self.service = service
        self.proxy = proxy
        self.framing = ""
        self.address = ""
        self.state = "ready"
        self.heard_s = 0.0
        self.is_busy = False
        self._own_address = f"{ip}:0"
        self._born = 0

    async def start(self, **settings):
        """Start the process, at the address that it had before if there is one."""
        self.framing = settings["framing"]
        self.starts += 1
        self._born = int(time.time() * 1000)
        settings |= {"name": self.name, "born": self._born}
        command = json.dumps(settings | {"address": self._own_address})
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, REPLICA_PROGRAM, command, stdout=asyncio.subprocess.PIPE
        )
        line = await self.process.stdout.readuntil(b"\n")
        self._own_address = address = line.decode().strip()
        if self.proxy is not None:
            address = await self.proxy.listen(address)
        self.address = address

    def successor(self, name):
        """Return a process with another name and address, not started yet."""
        proxy = Proxy(self.proxy.ip) if self.proxy is not None else None
        successor = ReplicaProcess(name, self.zone, self.ip, self.service, proxy)
        successor.is_busy = True
        return successor

    async def end(self, *signals):
        """End the process; its proxy accepts no more connections."""
        self.address = ""
        if self.proxy is not None:
            self.proxy.stop_listening()
        await super().end(*signals)

    def row(self, models):
        """Return the next entry of the table `servers`."""
        row = {
            "version": "v1",
            "slots": 8,
            "cold_left_ms": 0,
            "stage": "prefill_decode",
        }
        row |= {"models": models, "born": self._born, "state": self.state}
        row |= {"service": self.service, "address": self.address, "zone": self.zone}
        return row | {"sequence": time.monotonic_ns()}


class Proxy:
    """Passes bytes on, each block after `delay_s`.

    An end or a reset of one side becomes one of the other.
    """

    def __init__(self, ip):
        self.ip = ip
        self.delay_s = 0.0
        self._port = 0
        self._server = None
        self._target = ()
        self._pairs = {}

    async def listen(self, target):
        """Accept connections for a backend server; return the proxy's address."""
        self._target = target.split(":")
        self._server = await asyncio.start_server(self._serve, self.ip, self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        return f"{self.ip}:{self._port}"

    def stop_listening(self):
        """Accept no more connections; those that are open stay open."""
        if self._server is not None:
            self._server.close()

    def end_connections(self, rng, is_clean):
        """Close or reset about half of the open connections, both sides of each."""
        for pair in list(self._pairs.items()):
            if rng.random() < 0.5:
                for writer in pair:
                    writer.close() if is_clean else reset(writer)

    async def _serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            reset(writer)
            return
        self._pairs[writer] = far_writer
        pumps = self._pump(reader, far_writer), self._pump(far_reader, writer)
        await asyncio.gather(*pumps)
        del self._pairs[writer]

    async def _pump(self, reader, writer):
        try:
            while block := await reader.read(BLOCK_BYTES):
                await asyncio.sleep(self.delay_s)
                writer.write(block)
                await writer.drain()
            writer.close()
        except ConnectionError:
            reset(writer)

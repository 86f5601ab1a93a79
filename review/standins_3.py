"""Stand-ins for the scripts of the third review: platform store, replicas, callers.

They use the standard library alone and follow PROTOCOL.md. Every listener and every
address is a loopback address. `Deployment` starts gateways with the command of the
deploy file, as processes of their own, and ends them by their ids.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
KEY = "key-of-harbour"
SECOND_KEY = "key-of-quay"
STORE_MS = 4.0
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


def now():
    """Return the monotonic time in seconds."""
    return time.monotonic()


async def read_message(reader, method=None):
    """Return the first line, the headers and the body of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                chunk = await reader.readexactly(size)
                await reader.readline()
                if not size:
                    break
                body += chunk
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return lines[0], headers, body


def encode_answer(status, headers, body):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Listener:
    """Serves connections on one loopback address."""

    def __init__(self):
        self.address = ""
        self._server = None
        self._writers = set()

    async def listen(self, port=0):
        """Listen on a free port, or on a given one again."""
        self._server = await asyncio.start_server(
            self._run, "127.0.0.1", port, limit=1 << 20
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def close(self):
        """Stop listening and reset all connections."""
        if self._server is None:
            return
        self._server.close()
        for writer in list(self._writers):
            reset(writer)
        self._server = None

    async def _run(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                answer = await self.serve(method, target, headers, body, writer)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def reset(writer):
    """Close a connection with a reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


class Store(Listener):
    """The platform's store: rows, reads, feeds and conditional writes.

    `told` lists the time, the caller's address, the table and the key of each removed
    row that a feed has told.
    """

    def __init__(self):
        super().__init__()
        self.era = 1
        self.rows = {}
        self.changes = []
        self.version = 0
        self.oldest = 0
        self.told = []
        self._changed = asyncio.Condition()

    async def put(self, table, key, value):
        """Write a row as the operator or a replica does."""
        await self._apply([(table, key, json.dumps(value).encode())])

    async def remove(self, table, key):
        """Remove a row."""
        await self._apply([(table, key, None)])

    def value(self, table, key):
        """Return the value of a row, or None."""
        row = self.rows.get((table, key))
        return None if row is None or row[1] is None else json.loads(row[1])

    def copy(self):
        """Return a copy of everything for `come_back`."""
        return dict(self.rows), self.version

    async def go_away(self):
        """Be away: connections are reset, and new ones refused."""
        self._port = int(self.address.rpartition(":")[2])
        await self.close()

    async def come_back(self, copy=None):
        """Be back, from an older copy if one is given."""
        if copy is not None:
            self.rows, self.version = dict(copy[0]), copy[1]
            self.changes = [(key, row) for key, row in self.rows.items()]
            self.oldest = 0
            self.era += 1
        await self.listen(self._port)

    async def _apply(self, writes):
        self.version += 1
        for table, key, value in writes:
            row = (self.version, value)
            self.rows[table, key] = row
            self.changes.append(((table, key), row))
        async with self._changed:
            self._changed.notify_all()

    async def serve(self, method, target, headers, body, writer):
        await asyncio.sleep(STORE_MS / 1000)
        path, _, query = target.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&") if part)
        fields = {name: unquote(value) for name, value in fields.items()}
        if path == "/-/rows-get":
            return self._answer(200, self._get(fields))
        if path == "/-/rows-feed":
            return await self._feed(fields, writer)
        if path == "/-/rows-tx":
            return await self._transact(json.loads(body))
        return self._answer(404, {})

    def _answer(self, status, data):
        data = data | {"ver": self.version, "now_ms": int(now() * 1000)}
        headers = {"Content-Type": "application/json", "Store-Era": self.era}
        return encode_answer(status, headers, json.dumps(data).encode())

    def _get(self, fields):
        start, limit = fields.get("from", ""), int(fields.get("limit", 500))
        found = [
            (key, row)
            for key, row in sorted(self.rows.items())
            if key[0] == fields["table"] and key[1] >= start and row[1] is not None
        ]
        rows = [encode_row(key, row) for key, row in found[:limit]]
        return {"rows": rows, "truncated": len(found) > limit}

    async def _feed(self, fields, writer):
        table, after = fields["table"], int(fields["after"])
        if not self.oldest <= after <= self.version:
            return self._answer(410, {})
        era = self.era
        until = now() + int(fields["wait_ms"]) / 1000
        async with self._changed:
            while not self._newer(table, after) and self.era == era:
                try:
                    async with asyncio.timeout(max(0.0, until - now())):
                        await self._changed.wait()
                except TimeoutError:
                    break
        if self.era != era:
            return self._answer(410, {})
        # With the version of the same moment: a change after it comes next time.
        newer = self._newer(table, after)
        for key, row in newer:
            if row[1] is None:
                self.told.append((now(), writer.get_extra_info("peername"), *key))
        return self._answer(200, {"rows": [encode_row(*each) for each in newer]})

    def _newer(self, table, after):
        newest = {
            key: row for key, row in self.changes if key[0] == table and row[0] > after
        }
        return sorted(newest.items(), key=lambda each: each[1][0])

    async def _transact(self, message):
        for condition in message.get("expected_revision", ()):
            row = self.rows.get((condition["table"], condition["key"]))
            version = 0 if row is None or row[1] is None else row[0]
            if version != condition["ver"]:
                return self._answer(412, {"rows": []})
        writes = [
            (each["table"], each["key"], base64.b64decode(each["value"]))
            for each in message.get("writes", ())
        ]
        writes += [(each["table"], each["key"], None) for each in message["remove"]]
        if any(write[0] in ("op", "servers") for write in writes):
            return encode_answer(403, {}, b"")
        await self._apply(writes)
        return self._answer(200, {})


def encode_row(key, row):
    """Return the wire form of a row."""
    data = {"table": key[0], "part": "", "key": key[1], "ver": row[0]}
    if row[1] is None:
        return data | {"tombstone": True}
    return data | {"value": base64.b64encode(row[1]).decode()}


def unquote(text):
    """Return a query value without its percent coding."""
    text = text.replace("+", " ")
    return re.sub("%([0-9A-Fa-f]{2})", lambda found: chr(int(found[1], 16)), text)


class Replica(Listener):
    """A replica of a plain service. `status_of` returns the status of an answer.

    `runs` lists the time, id, path and headers of each request that it ran.
    """

    def __init__(self, name, service, version="v1", work_s=0.01, slots=8):
        super().__init__()
        self.name = name
        self.service = service
        self.release = version
        self.work_s = work_s
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.status_of = lambda headers, target: 200
        self.body_of = lambda headers, target: b""
        self.runs = []
        self.arrivals = []

    def row(self, state="ready", **changes):
        """Return the entry in the table `servers`."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": self.release,
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "sequence": 1,
            "born": self.born,
        } | changes

    async def serve(self, method, target, headers, body, writer):
        if target == "/healthz":
            return encode_answer(200, {"X-Stoatpath-Replica-Id": self.name}, b"")
        request_id = headers.get("x-stoatpath-attempt-id", "")
        echo = {"X-Stoatpath-Attempt-Id": request_id}
        if headers.get("x-stoatpath-expect-replica") not in (None, self.name):
            return encode_answer(421, echo, b"")
        self.arrivals.append((now(), request_id))
        self.runs.append((now(), request_id, target, headers))
        await asyncio.sleep(self.work_s)
        echo["X-Stoatpath-Replica-Seal"] = f"{self.name}.{len(self.runs)}"
        text = self.body_of(headers, target) or f"{self.name}:{request_id}".encode()
        return encode_answer(self.status_of(headers, target), echo, text)


class Answer:
    """What a caller got: a status, 0 for none, headers and body."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class Caller:
    """Sends requests to one gateway, on a kept connection or on a new one each time."""

    def __init__(self, address):
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self._kept = None

    async def ask(
        self,
        path,
        request_id,
        method="GET",
        key=KEY,
        headers=(),
        body=b"",
        keep=False,
        timeout_s=10.0,
    ):
        """Return the `Answer` to one request."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._ask(
                    path, request_id, method, key, headers, body, keep
                )
        except (OSError, TimeoutError):
            self._kept = None
            return Answer(0, {}, b"")

    async def open(self):
        """Return a new connection."""
        return await asyncio.open_connection(self.host, self.port, limit=1 << 24)

    async def _ask(self, path, request_id, method, key, headers, body, keep):
        connection = self._kept or await self.open()
        self._kept = None
        reader, writer = connection
        fields = {"Host": HOST, "X-Stoatpath-Attempt-Id": request_id}
        fields |= {"X-Stoatpath-Deadline-Ms": "4000"}
        if key:
            fields["Authorization"] = f"Bearer {key}"
        fields |= dict(headers)
        if body:
            fields["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        message = await read_message(reader)
        if message is None:
            writer.close()
            return Answer(0, {}, b"")
        first, found, text = message
        if keep and found.get("connection", "").lower() != "close":
            self._kept = connection
        else:
            writer.close()
        return Answer(int(first.split(" ")[1]), found, text)


def route(name, kind, service, timeout_ms=3_000, max_attempts=2, **fields):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 100,
        "priority": 1,
        "service": service,
        "max_attempts": max_attempts,
        "public": False,
    } | fields


def config(version, **fields):
    """Return a configuration with a plain service."""
    return {
        "version": version,
        "routes": [
            route("look", "idempotent", "booking-desk"),
            route("book", "non_idempotent", "booking-desk", max_attempts=1),
        ],
        "services": [{"name": "booking-desk", "health_path": "/healthz"}],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {"name": "harbour", "api_keys": [KEY]},
            {"name": "quay", "api_keys": [SECOND_KEY]},
        ],
    } | fields


BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_ms": 5000,
    "fail_closed": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.9,
    "budget_window_s": 10,
    "budget_slack": 54,
    "expose_share": 0.15,
    "expose_slack": 30,
    "rollback_ms": 5000,
    "recover_s": 12,
    "pass_ms": 120,
    "again_s": 10,
    "session_s": 5,
}


class Gateway:
    """One gateway process, with a loopback address of its own."""

    def __init__(self, deployment, index):
        self.name = f"front-{index}"
        self.ip = f"{deployment.net}.{index}"
        self.front = f"{self.ip}:8227"
        self.ready = f"{self.ip}:8220"
        self._deployment = deployment
        self.process = None

    def start(self, is_first=True):
        """Start the process with the command of the deploy file."""
        boot = self._deployment.boot(self, is_first)
        path = self._deployment.folder / f"{self.name}.yaml"
        path.write_text(json.dumps(boot))
        env = {
            "PATH": os.environ["PATH"],
            "HOME": str(self._deployment.folder),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "STOATPATH_BOOT": str(path),
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null",
        }
        log = open(self._deployment.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            ["python3", "-m", "stoatpath.tools.gateway"],
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
        )
        log.close()

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def is_ready(self):
        """Return whether the platform's readiness check gets 200."""
        host, _, port = self.ready.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: p\r\n\r\n")
                message = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return message is not None and message[0].split(" ")[1] == "200"

    def end(self):
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Deployment:
    """A store, replicas and gateways on loopback; `note` writes to the record."""

    def __init__(self, folder):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.replicas = {}
        self.gateways = []
        self.net = self._free_net()
        self.began = now()
        self.bounds = dict(BOUNDS)
        self._record = open(Path(folder) / "record.txt", "w")

    def _free_net(self):
        """Return the first three numbers of loopback addresses whose ports are free."""
        for _ in range(50):
            net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
            try:
                for port in (7340, 8220, 8227, 8229):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.1", port))
            except OSError:
                continue
            return net
        raise OSError("no free loopback addresses")

    def note(self, text):
        """Write a line with the time since the start to the record."""
        self._record.write(f"{now() - self.began:8.3f} {text}\n")
        self._record.flush()

    def boot(self, gateway, is_first):
        """Return the settings file of a gateway, as DEPLOY.md describes it."""
        return {
            "node_name": gateway.name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": gateway.ip,
            "zone": "zone-a",
            "region": "region-a",
            "zones": {"zone-a": "region-a"},
            "listen": {
                "front": gateway.front,
                "ready": gateway.ready,
                "control": f"{gateway.ip}:8229",
            },
            "internal_ports": [7340, 7355],
            "seeds": [f"{each.ip}:8229" for each in self.gateways[:3]],
            "bootstrap": is_first,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": [
                *("base", "drain", "config", "cost", "retry", "recover", "engine"),
                *("stream", "tenants", "platform", "rollout"),
            ],
            "bounds": self.bounds,
            "provider": {
                "address": self.store.address,
                "form": "table",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "tx_ms": 5.0,
                "part_writes_s": 200,
                "row_bytes": 65536,
                "history_s": 20,
            },
        }

    async def start(self, replicas, configuration, gateways=2):
        """Start all components; return once all gateways are ready."""
        await self.store.listen()
        await self.store.put("op", "config", configuration)
        for replica in replicas:
            await self.add_replica(replica)
        self.gateways = [Gateway(self, index) for index in range(1, gateways + 1)]
        for gateway in self.gateways:
            gateway.start()
        async with asyncio.timeout(20):
            for gateway in self.gateways:
                while not await gateway.is_ready():
                    await asyncio.sleep(0.1)
        # Traffic starts some seconds after the machines do.
        await asyncio.sleep(3.0)
        self.began = now()
        self.note(f"started {gateways} gateways, {len(replicas)} replicas")

    async def add_replica(self, replica):
        """Start a replica, and enter it in the store."""
        await replica.listen()
        self.replicas[replica.name] = replica
        await self.store.put("servers", replica.name, replica.row())

    async def sleep_until(self, second):
        """Sleep until a second after the start of traffic."""
        await asyncio.sleep(max(0.0, self.began + second - now()))

    def seconds(self, moment):
        """Return a monotonic time as seconds after the start of traffic."""
        return moment - self.began

    async def stop(self):
        """End all processes and listeners that were started."""
        for gateway in self.gateways:
            gateway.end()
        for replica in self.replicas.values():
            await replica.close()
        await self.store.close()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()


def has_trouble():
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(main, folder):
    """Run a case; exit with 0 if the rule held, 1 if not, 2 if it couldn't run."""

    async def run():
        deployment = Deployment(folder)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(110):
                return await main(deployment)
        finally:
            await deployment.stop()

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case couldn't run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)

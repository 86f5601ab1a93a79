"""A small deployment of gateways on loopback, with a row store and replicas."""

import asyncio
import random

from stoatpath.clock import Clock
from stoatpath.gateways import Gateway
from stoatpath.outcomes import is_failure
from stoatpath.platform.boot_files import BootFile
from stoatpath.standins.replicas import ReplicaStandin
from stoatpath.standins.row_stores import RowStoreStandin
from stoatpath.utils import cancel_and_wait

HOST = "desk.example"
CALLER_KEY = "key-of-harbour"
MODELS = ("tern-small", "tern-large")
LLM_SERVICE = "desk-assist"
PLAIN_SERVICE = "booking-desk"
READY_TIMEOUT_S = 10
RESTART_S = 1.0
# A short grace period, and a retry budget that suffices for a single caller.
BOUNDS = {"grace_s": 2, "retry_budget_ratio": 2, "budget_slack": 300}


class Deployment:
    """Starts and stops the components, and writes the configuration that they use.

    Routes are `/chat/` (a stream that can be resumed), `/tell/` (one that can't),
    `/sum/` (an idempotent, unstreamed answer of a model), `/book/` (at most once),
    `/look/` (idempotent) and `/open/` (the same, without an API key).
    """

    __slots__ = (
        "store",
        "replicas_by_name",
        "gateways",
        "config",
        "store_address",
        "crashes_ms",
        "_past_arrivals",
        "_restarts",
        "_keeps_names",
    )

    def __init__(self):
        self.store = RowStoreStandin()
        self.replicas_by_name = {}
        self.gateways = []
        self.config = sample_config()
        self.store_address = ""
        self.crashes_ms = []
        self._past_arrivals = []
        self._restarts = set()
        self._keeps_names = False

    async def start(self, models=2, plain=2, gateways=1, zones=("zone-a",)):
        """Start the store, replicas and gateways.

        `models` and `plain` count the replicas of the model and the plain service.
        They are in each of `zones` in turn.
        """
        self.store_address = await self.store.start()
        await self.store.put("op", "config", self.config)
        for index in range(models):
            zone = zones[index % len(zones)]
            await self.add_replica(f"m{index}", LLM_SERVICE, zone=zone)
        for index in range(plain):
            zone = zones[index % len(zones)]
            await self.add_replica(f"p{index}", PLAIN_SERVICE, zone=zone)
        for index in range(gateways):
            await self.add_gateway(f"gateway-{index}")
        await self.wait_until_in_sync()

    async def add_replica(self, name, service, release="v1", zone="zone-a"):
        """Start a replica and add it to the table `servers`."""
        replica = ReplicaStandin(name, service, release, zone)
        self.replicas_by_name[name] = replica
        await replica.start()
        await self.store.put("servers", name, replica.server_row())
        return replica

    def crash_on(self, part=None, path=None, keeps_names=False):
        """Let a prompt part or a path end each replica; it is back soon.

        It has another name then, unless `keeps_names`. `crashes_ms` holds the clock
        readings of the crashes.
        """
        self._keeps_names = keeps_names
        for replica in self.replicas_by_name.values():
            replica.poison_part = part
            replica.poison_path = path
            replica.on_crash = self._handle_crash

    def all_arrivals(self):
        """Return what all replicas received, those that ended included."""
        current = self.replicas_by_name.values()
        return self._past_arrivals + [
            arrival for replica in current for arrival in replica.arrivals
        ]

    def _handle_crash(self, replica):
        if self.replicas_by_name.pop(replica.name, None) is None:
            return
        self.crashes_ms.append(Clock().now_ms())
        self._past_arrivals += replica.arrivals
        restart = asyncio.get_running_loop().create_task(self._restart(replica))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _restart(self, replica):
        await replica.crash()
        await asyncio.sleep(RESTART_S)
        await self.store.remove("servers", replica.name)
        name = replica.name
        if not self._keeps_names:
            name = f"{replica.name}-{len(self.crashes_ms)}"
        successor = await self.add_replica(
            name, replica.service, replica.release, replica.zone
        )
        successor.poison_part = replica.poison_part
        successor.poison_path = replica.poison_path
        successor.on_crash = self._handle_crash

    async def add_gateway(self, name, zone="zone-a", seeds=(), zones=None, **bounds):
        """Start a gateway; `seeds` are peer addresses of others.

        `zones` maps zones to regions in its settings.
        """
        mapping = boot_mapping(name, self.store_address, bounds)
        mapping |= {"zone": zone, "seeds": list(seeds), "zones": zones}
        boot = BootFile.from_mapping(mapping)
        assert not is_failure(boot), boot
        gateway = Gateway.from_boot(boot, rng=random.Random(1))
        await gateway.start()
        self.gateways.append(gateway)
        return gateway

    async def update_config(self, **fields):
        """Write a new configuration and wait until all gateways have applied it."""
        self.config = self.config | fields | {"version": self.config["version"] + 1}
        await self.store.put("op", "config", self.config)
        await self.wait_until_in_sync()

    async def wait_until_in_sync(self):
        """Wait until all gateways are ready and have the current configuration.

        Also waits until they list the replicas that were started, and no others.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all(self._is_in_sync(gateway) for gateway in self.gateways):
                await asyncio.sleep(0.01)

    async def stop(self):
        """Stop all components, without draining."""
        await cancel_and_wait(list(self._restarts))
        for gateway in self.gateways:
            await gateway.kill()
        for replica in self.replicas_by_name.values():
            await replica.stop()
        await self.store.stop()

    def _is_in_sync(self, gateway):
        table = gateway.routes.table
        return (
            gateway.is_ready()
            and table.revision == self.config["version"]
            and set(gateway.backends.by_name) == set(self.replicas_by_name)
        )


def boot_mapping(name, store_address, bounds):
    """Return the boot file of a gateway as the platform would write it."""
    return {
        "node_name": name,
        "zone": "zone-a",
        "ip": "127.0.0.1",
        "listen": {"front": "127.0.0.1:0", "ready": "127.0.0.1:0"},
        "provider": {"address": store_address},
        "limits": {"memory_mb": 300},
        "bounds": {**BOUNDS, **bounds},
    }


def sample_config():
    """Return a configuration with a route of each kind."""
    chat = {
        **_route("chat", "streaming", LLM_SERVICE, timeout_ms=5_000, max_attempts=3),
        "resumable": True,
        "sticky": True,
        "gap_aim_ms": 800,
        "sizes": list(MODELS),
    }
    engine = {"models": [{"name": name, "cost": cost} for name, cost in _model_costs()]}
    return {
        "version": 1,
        "routes": [
            chat,
            {**chat, "name": "tell", "prefix": "/tell/", "resumable": False},
            {**chat, "name": "sum", "prefix": "/sum/", "kind": "idempotent"},
            _route("book", "non_idempotent", PLAIN_SERVICE),
            _route("look", "idempotent", PLAIN_SERVICE, max_attempts=2),
            {
                **_route("open", "idempotent", PLAIN_SERVICE, max_attempts=2),
                "public": True,
            },
        ],
        "services": [
            {"name": LLM_SERVICE, "health_path": "/healthz", "engine": engine},
            {"name": PLAIN_SERVICE, "health_path": "/healthz"},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 500,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "harbour", "api_keys": [CALLER_KEY]}],
    }


def _route(name, kind, service, timeout_ms=1_000, max_attempts=1):
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": timeout_ms // 5,
        "priority": 1,
        "service": service,
        "max_attempts": max_attempts,
        "public": False,
    }


def _model_costs():
    return zip(MODELS, (0.02, 0.3))

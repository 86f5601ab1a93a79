"""A sample configuration in a stand-in table, and the changes that tests submit."""

import asyncio

from stoatpath.clock import ManualClock
from stoatpath.configuration.archives import ConfigurationArchive
from stoatpath.configuration.capacity import ListedCapacity
from stoatpath.configuration.messages import Change, Submission
from stoatpath.configuration.snapshots import Snapshot
from stoatpath.configuration.stores import ConfigurationStore
from stoatpath.services.messages import ListedInstance
from stoatpath.services.objects import ObjectStore
from stoatpath.services.tables import Table
from stoatpath.standins.faults import Fault
from stoatpath.standins.objects import ObjectStoreStandin
from stoatpath.standins.tables import TableStandin

KEYS = {"acme": {"salt": "0" * 16, "sha256": "0" * 64}}
TIMEOUT_MS = 2_000
READS_BEFORE_APPEND = 2


def model(**states):
    versions = {label[1:]: {"state": state} for label, state in states.items()}
    return {"cost": 1, "current": next(iter(versions)), "versions": versions}


def template(rate=20, **overrides):
    parameters = {
        "weight": {"type": "integer", "default": 1, "minimum": 1, "maximum": 100},
        "keys": {"type": "object"},
        "allowed": {
            "type": "object",
            "default": {"chat": ["small", "large"], "desk": ["desk"]},
        },
    }
    body = {
        "weight": {"$parameter": "weight"},
        "rate_per_s": rate,
        "keys": {"$parameter": "keys"},
        "allowed": {"$parameter": "allowed"},
    }
    return {"parameters": {**parameters, **overrides}, "organisation": body}


def organisation(weight=1, **parameters):
    return {
        "template": "basic",
        "parameters": {"weight": weight, "keys": {}, **parameters},
    }


def service(kind, **fields):
    return {
        "kind": kind,
        "default_purpose": "any",
        "purposes": {"any": {"timeout_ms": 1000}},
        **fields,
    }


SAMPLE = [
    Change("model", "small", model(v1="active", v2="active")),
    Change("model", "large", model(v1="active")),
    Change("model", "idle", model(v1="active")),
    Change("service", "chat", service("model", cascade=["small", "large"])),
    Change("service", "desk", service("plain")),
    Change("service", "tides", service("plain")),
    Change("template", "basic", template()),
    Change("organisation", "acme", organisation()),
    Change("organisation", "tiny", organisation(allowed={"chat": ["large@1"]})),
]
ALL_WITHDRAWN = model(v1="withdrawn", v2="withdrawn")
NO_KEYS = {"template": "basic", "parameters": {}}
CHANGES = {
    "a parameter of another type": [("organisation", "acme", organisation("heavy"))],
    "a parameter out of range": [("organisation", "acme", organisation(1000))],
    "an unknown parameter": [("organisation", "acme", organisation(wieght=2))],
    "a missing parameter": [("organisation", "acme", NO_KEYS)],
    "an unknown template": [
        ("organisation", "acme", {"template": "gold", "parameters": {}})
    ],
    "an unknown model": [
        ("organisation", "acme", organisation(allowed={"chat": ["huge"]}))
    ],
    "an unknown version": [
        ("organisation", "acme", organisation(allowed={"chat": ["small@9"]}))
    ],
    "an unknown service": [
        ("service", "tides", None),
        ("organisation", "acme", organisation(allowed={"tides": ["tides"]})),
    ],
    "a wrong default": [
        ("template", "basic", template(weight={"type": "integer", "default": "one"}))
    ],
    "an unknown cascade model": [
        ("service", "chat", service("model", cascade=["small", "huge"]))
    ],
    "a withdrawn current version": [
        ("model", "small", model(v1="withdrawn", v2="active"))
    ],
    "an unknown current version": [
        ("model", "small", {**model(v1="active"), "current": "9"})
    ],
    "an unknown field": [("model", "small", {**model(v1="active"), "colour": "x"})],
    "a deleted template in use": [("template", "basic", None)],
    "a deleted model in use": [("model", "small", None)],
    "shares that fall": [
        ("rollout", "up", {"model": "small", "to": "2", "steps": [0.5, 0.1]})
    ],
    "a key of another organisation": [
        ("organisation", "acme", organisation(keys=KEYS)),
        ("organisation", "tiny", organisation(keys=KEYS)),
    ],
    "three mistakes in two documents": [
        ("model", "small", {**model(v1="active"), "cost": -1, "colour": "x"}),
        ("organisation", "acme", {"template": 7, "parameters": {}}),
    ],
    "the withdrawal of all versions of all models": [
        ("model", "small", ALL_WITHDRAWN),
        ("model", "large", model(v1="withdrawn")),
    ],
    "the withdrawal of the only version allowed": [
        ("model", "large", {**model(v2="active", v1="withdrawn")})
    ],
    "an organisation whose models have no engines": [
        ("service", "chat", service("model", cascade=["small", "large", "idle"])),
        ("organisation", "new", organisation(allowed={"chat": ["idle"]})),
    ],
    "an organisation whose service has no backends": [
        ("organisation", "new", organisation(allowed={"tides": ["tides"]}))
    ],
    "a roll-out to a withdrawn version": [
        ("model", "small", model(v1="active", v2="withdrawn")),
        ("rollout", "up", {"model": "small", "to": "2", "steps": [0.1]}),
    ],
    "the withdrawal of one of two versions": [
        ("model", "small", model(v1="active", v2="withdrawn"))
    ],
    "a new price of an unused model": [
        ("model", "idle", {**model(v1="active"), "cost": 2})
    ],
    "another weight of acme": [("organisation", "acme", organisation(7))],
    "another weight of tiny": [
        ("organisation", "tiny", organisation(7, allowed={"chat": ["large@1"]}))
    ],
    "a template with another rate": [("template", "basic", template(rate=30))],
    "a roll-out of that version": [
        ("rollout", "up", {"model": "small", "to": "2", "steps": [0.1]})
    ],
    "a service with another cascade": [
        ("service", "chat", service("model", cascade=["large", "small"]))
    ],
    "a deleted organisation": [("organisation", "acme", None)],
}


def changes(label):
    return [Change(*each) for each in CHANGES[label]]


def list_capacity(engines=("small", "large"), services=("desk",)):
    entries = [
        ListedInstance(f"e-{each}", "engine", "127.0.0.1:1", "a", each, "live")
        for each in engines
    ]
    entries += [
        ListedInstance(f"s-{each}", "service", "127.0.0.1:1", "a", each, "live")
        for each in services
    ]
    return ListedCapacity.from_entries(entries)


class StoredSite:
    """A table, an object store, and a store over clients of both."""

    def __init__(self):
        self.clock = ManualClock()
        self.table = TableStandin(clock=_SecondPerCallClock())
        self.objects = ObjectStoreStandin()
        self.capacity = list_capacity()

    async def start(self):
        self.table_client = Table.from_url(
            await self.table.start(), timeout_ms=TIMEOUT_MS
        )
        self.objects_client = ObjectStore.from_url(
            await self.objects.start(), timeout_ms=TIMEOUT_MS
        )
        self.archive = ConfigurationArchive(self.objects_client)
        self.store = self.build_store()

    def build_store(self):
        return ConfigurationStore(
            self.table_client, self.clock, self.archive, self._read_capacity
        )

    async def stop(self):
        await self.table_client.close()
        await self.objects_client.close()
        await self.table.stop()
        await self.objects.stop()

    async def submit(self, label_or_changes, base, operator="me", **fields):
        submitted_changes = label_or_changes
        if isinstance(submitted_changes, str):
            submitted_changes = changes(submitted_changes)
        submission_fields = {"submission_id": f"s-{operator}-{base}", **fields}
        submission = Submission(
            submission_fields.pop("submission_id"),
            operator,
            base,
            submitted_changes,
            **submission_fields,
        )
        return await self.store.submit(Snapshot.empty(), submission)

    async def _read_capacity(self):
        return self.capacity


class _SecondPerCallClock:
    """A clock that advances a second per call, so that no rate limit applies."""

    def __init__(self):
        self._now_ms = 0

    def now_ms(self):
        self._now_ms += 1000
        return self._now_ms


def run(use_site):
    """Run `use_site(site)` on a started site that has accepted the sample."""

    async def main():
        site = StoredSite()
        await site.start()
        try:
            verdict = await site.submit(SAMPLE, 0, "setup")
            assert verdict.revision == 1, vars(verdict)
            return await use_site(site)
        finally:
            await site.stop()

    return asyncio.run(main())


def add_faults(site, faults):
    """Inject faults of transactions; `then store down` is permanent."""
    names, _, rest = faults.partition(" then ")
    for name in names.split(","):
        site.table.faults.add(Fault("transact", name))
    if rest:
        site.table.faults.add(Fault("read", "slow", count=READS_BEFORE_APPEND))
        for operation in ("transact", "read"):
            site.table.faults.add(Fault(operation, "down", count=None))

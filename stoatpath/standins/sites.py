"""A small site of routers and a controller on loopback, with all stand-ins."""

import glob
import os

from stoatpath.controllers import Controller
from stoatpath.routers import Router
from stoatpath.services.messages import ListedInstance
from stoatpath.services.weights import WeightStore
from stoatpath.settings import Settings
from stoatpath.standins.engines import EngineStandin
from stoatpath.standins.instance_lists import InstanceListStandin
from stoatpath.standins.objects import ObjectStoreStandin
from stoatpath.standins.ratings import RatingStandin
from stoatpath.standins.services import ServiceStandin
from stoatpath.standins.tables import TableStandin
from stoatpath.standins.weights import WeightsStandin

SAMPLES = os.path.join(
    os.path.dirname(os.path.dirname(os.path.dirname(__file__))), "samples"
)
ZONES = ("zone-a", "zone-b")
SMALL_QUALITY = 0.75
LARGE_QUALITY = 0.95
SMALL_MODELS = ("tern-small", "stoat-small")
LARGE_MODELS = ("tern-large", "stoat-large")
PLAIN_SERVICES = ("booking-desk", "watch-app")
ENGINES_PER_MODEL = 2
OPERATOR = "site-operator"
OPERATOR_SECRET = "site-operator-secret"


class Site:
    """Runs stand-ins, routers and controllers as tasks of one process."""

    __slots__ = (
        "table",
        "objects",
        "instance_list",
        "ratings",
        "weights",
        "engines_by_name",
        "services_by_name",
        "routers_by_name",
        "controllers_by_name",
        "_urls_by_setting",
    )

    def __init__(self):
        self.table = TableStandin()
        self.objects = ObjectStoreStandin()
        self.instance_list = InstanceListStandin()
        self.ratings = RatingStandin()
        self.weights = WeightsStandin(_sample_qualities())
        self.engines_by_name = {}
        self.services_by_name = {}
        self.routers_by_name = {}
        self.controllers_by_name = {}
        self._urls_by_setting = {}

    async def start(self, routers=2):
        """Start stand-ins, routers and a controller; return once all of them listen."""
        await self.start_standins()
        for index in range(routers):
            await self.start_router(f"router-{index + 1}", ZONES[index % len(ZONES)])
        await self.start_controller("controller-1", ZONES[0])

    async def start_standins(self):
        """Start all stand-ins; return the URLs of platform services by setting name."""
        self._urls_by_setting = {
            "TABLE_URL": await self.table.start(),
            "OBJECTS_URL": await self.objects.start(),
            "INSTANCE_LIST_URL": await self.instance_list.start(),
            "RATINGS_URL": await self.ratings.start(),
            "WEIGHTS_URL": await self.weights.start(),
        }
        await self._start_engines()
        await self._start_services()
        return dict(self._urls_by_setting)

    async def stop(self):
        """Stop the routers and controllers, then the stand-ins."""
        for router in list(self.routers_by_name.values()):
            await router.stop()
        for controller in list(self.controllers_by_name.values()):
            await controller.stop()
        for standin in self._standins():
            await standin.stop()

    async def start_router(self, name, zone, **overrides):
        """Start a router and add it to the instance list."""
        router = Router.from_settings(self.settings(name, zone, **overrides))
        await router.start()
        self.routers_by_name[name] = router
        self.add_listed_instance(name, "router", router.node.peer_server.address, zone)
        return router

    async def start_controller(self, name, zone, **overrides):
        """Start a controller and add it to the instance list."""
        controller = Controller.from_settings(self.settings(name, zone, **overrides))
        await controller.start()
        self.controllers_by_name[name] = controller
        self.add_listed_instance(
            name, "controller", controller.node.peer_server.address, zone
        )
        return controller

    def services_of(self, service):
        """Return the stand-ins of a plain service."""
        return [
            standin
            for name, standin in self.services_by_name.items()
            if name.rpartition("-")[0] == service
        ]

    def settings(self, name, zone, **overrides):
        """Return the settings of a process of this site."""
        mapping = self.settings_mapping(name, zone, **overrides)
        settings, problems = Settings.from_mapping(mapping)
        if problems:
            raise ValueError("; ".join(map(str, problems)))
        return settings

    def settings_mapping(self, name, zone, **overrides):
        """Return the content of the settings file of a process of this site."""
        return {
            "NAME": name,
            "ZONE": zone,
            "SESSION_KEYS": {"1": "sample-session-key"},
            "PEER_KEYS": {"1": "sample-peer-key"},
            "OPERATOR_KEYS": {OPERATOR: OPERATOR_SECRET},
            "BALANCER_LAG_MS": 0,
            **self._urls_by_setting,
            **overrides,
        }

    def sample_files(self):
        """Return the paths of the sample configurations."""
        return sorted(glob.glob(os.path.join(SAMPLES, "*", "organisations.json5")))

    async def _start_engines(self):
        qualities = [(name, SMALL_QUALITY) for name in SMALL_MODELS]
        qualities += [(name, LARGE_QUALITY) for name in LARGE_MODELS]
        for model, quality in qualities:
            for index in range(ENGINES_PER_MODEL):
                name = f"engine-{model}-{index + 1}"
                quality_by_version = {f"{model}@1": quality, f"{model}@2": quality}
                engine = EngineStandin(name, quality_by_version)
                weights_url = self._urls_by_setting["WEIGHTS_URL"]
                engine.orders.weights = WeightStore.from_url(weights_url)
                self.engines_by_name[name] = engine
                zone = ZONES[index % len(ZONES)]
                self.add_listed_instance(
                    name, "engine", await engine.start(), zone, model
                )

    async def _start_services(self):
        for service in PLAIN_SERVICES:
            for index in range(2):
                name = f"{service}-{index + 1}"
                standin = ServiceStandin(name)
                self.services_by_name[name] = standin
                zone = ZONES[index % len(ZONES)]
                self.add_listed_instance(
                    name, "service", await standin.start(), zone, service
                )

    def add_listed_instance(self, name, role, address, zone, serves=""):
        """Add an instance to the instance list of the platform.

        `serves` is the model or service that a backend server provides.
        """
        entry = ListedInstance(name, role, address, zone, serves, "live")
        self.instance_list.add(entry)

    def _standins(self):
        return [
            self.table,
            self.objects,
            self.instance_list,
            self.ratings,
            self.weights,
            *self.engines_by_name.values(),
            *self.services_by_name.values(),
        ]


def _sample_qualities():
    """Return the quality of each version of the sample models."""
    qualities = {}
    for models, quality in (
        (SMALL_MODELS, SMALL_QUALITY),
        (LARGE_MODELS, LARGE_QUALITY),
    ):
        for model in models:
            qualities[f"{model}@1"] = quality
            qualities[f"{model}@2"] = quality
    return qualities

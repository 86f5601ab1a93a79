"""Metrics of one process, read from its slices when they are asked for.

Nothing is counted on the path of a request: slices keep plain counters, and a
collector turns them into metric families at each scrape.
"""

from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from stoatpath.servers import HttpServer

MAX_QUESTION_BYTES = 1_024
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Sample:
    """One value of a metric; `labels` maps label names to values."""

    __slots__ = ("name", "kind", "help", "value", "labels")

    def __init__(self, name, kind, help, value, labels=None):
        self.name = name
        self.kind = kind
        self.help = help
        self.value = value
        self.labels = labels or {}

    @classmethod
    def counter(cls, name, help, value, **labels):
        """Build a sample of a value that only grows; names end in `_total`."""
        return cls(name, CounterMetricFamily, help, value, labels)

    @classmethod
    def gauge(cls, name, help, value, **labels):
        """Build a sample of a value that goes up and down."""
        return cls(name, GaugeMetricFamily, help, value, labels)


class _Collector:
    """Groups the samples of all sources into metric families."""

    __slots__ = ("_sources",)

    def __init__(self, sources):
        self._sources = sources

    def collect(self):
        """Return the metric families of one scrape."""
        families_by_name = {}
        for source in self._sources:
            for sample in source():
                family = families_by_name.get(sample.name)
                if family is None:
                    family = sample.kind(
                        sample.name, sample.help, labels=tuple(sample.labels)
                    )
                    families_by_name[sample.name] = family
                family.add_metric(tuple(sample.labels.values()), sample.value)
        return families_by_name.values()


class MetricsServer:
    """Serves `/metrics` and `/healthz` on a port of its own.

    Each source is a callable that returns samples.
    """

    __slots__ = ("_registry", "_server", "address")

    def __init__(self, sources):
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(_Collector(sources))
        self._server = None
        self.address = ""

    async def start(self, address):
        """Listen on `host:port`; port 0 takes a free one."""
        routes = [
            web.get("/metrics", self._metrics),
            web.get("/healthz", self._health),
        ]
        self._server = HttpServer(routes, None, MAX_QUESTION_BYTES)
        await self._server.start(address)
        self.address = self._server.address

    async def stop(self):
        """Close the listener."""
        if self._server is not None:
            await self._server.stop()

    async def _metrics(self, request):
        body = generate_latest(self._registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE})

    async def _health(self, request):
        return web.json_response({"status": "ok"})

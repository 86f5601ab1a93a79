"""Prometheus metrics of one process.

Components hold plain counters, so that requests don't spend time on formatting; a
collector turns the counters into metric families at each scrape.
"""

from aiohttp import web
from prometheus_client import CollectorRegistry, ProcessCollector, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)

from stoatpath.servers import HttpServer

MAX_REQUEST_BYTES = 1_024
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Sample:
    """One value of a metric; `labels` maps label names to values."""

    __slots__ = ("name", "family", "help", "labels", "value")

    def __init__(self, name, family, help, labels, value):
        self.name = name
        self.family = family
        self.help = help
        self.labels = labels
        self.value = value

    @classmethod
    def counter(cls, name, help, value, **labels):
        """Build a sample of a value that only increases; names end in `_total`."""
        return cls(name, CounterMetricFamily, help, labels, value)

    @classmethod
    def gauge(cls, name, help, value, **labels):
        """Build a sample of a value that can increase and decrease."""
        return cls(name, GaugeMetricFamily, help, labels, value)

    @classmethod
    def histogram(cls, name, help, durations, **labels):
        """Build a sample of durations; names end in `_seconds`."""
        return cls(name, HistogramMetricFamily, help, labels, durations)

    def add_to(self, family):
        """Add the value to its metric family."""
        labels = tuple(self.labels.values())
        if self.family is HistogramMetricFamily:
            buckets = self.value.buckets()
            family.add_metric(labels, buckets, self.value.sum_ms / 1000)
        else:
            family.add_metric(labels, self.value)


class _Collector:
    """Groups the samples of a source into metric families."""

    __slots__ = ("_source",)

    def __init__(self, source):
        self._source = source

    def collect(self):
        """Return the metric families of one scrape."""
        families_by_name = {}
        for sample in self._source():
            family = families_by_name.get(sample.name)
            if family is None:
                labels = tuple(sample.labels)
                family = sample.family(sample.name, sample.help, labels=labels)
                families_by_name[sample.name] = family
            sample.add_to(family)
        return families_by_name.values()


class MetricsServer:
    """Serves `/metrics` and `/healthz` on a separate port.

    `source` is a callable that returns the current samples.
    """

    __slots__ = ("_registry", "_server", "address")

    def __init__(self, source):
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(_Collector(source))
        ProcessCollector(registry=self._registry)
        self._server = None
        self.address = ""

    async def start(self, address):
        """Listen on `host:port`; port 0 picks a free one."""
        routes = [
            web.get("/metrics", self._handle_metrics),
            web.get("/healthz", self._handle_health),
        ]
        self._server = HttpServer(routes, None, MAX_REQUEST_BYTES)
        await self._server.start(address)
        self.address = self._server.address

    async def stop(self):
        """Close the listener."""
        if self._server is not None:
            await self._server.stop()

    async def _handle_metrics(self, request):
        body = generate_latest(self._registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE})

    async def _handle_health(self, request):
        return web.json_response({"status": "ok"})

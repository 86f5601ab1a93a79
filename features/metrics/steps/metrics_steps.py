"""Steps about metrics."""

import asyncio
import re
import time

import aiohttp
from behave import given, then, when

from stoatpath.standins.deployments import CALLER_KEY, HOST, PLAIN_SERVICE, Deployment
from stoatpath.standins.faults import Fault
from stoatpath.standins.sites import Site
from stoatpath.tools.demonstrations import Demonstration, chat

SECRET = "reef-villages.reef-villages-sample-secret"
ROUTER_TABLE_ROW = re.compile(
    r"^\| `(stoatpath_[a-z_]+)` \| [^|]*\| (router|both) \|", re.M
)
GATEWAY_SECTION_START = "A gateway serves them"
GATEWAY_TABLE_ROW = re.compile(r"^\| `(stoatpath_[a-z_]+)` \|", re.M)
SUFFIX = re.compile(r"_(bucket|count|sum)$")


def run(context, coroutine):
    """Run a coroutine on the loop of the scenario."""
    return context.loop.run_until_complete(coroutine)


async def scrape(address):
    """Return the values of all metrics, by name and labels."""
    async with aiohttp.ClientSession() as session:
        async with session.get(f"http://{address}/metrics") as response:
            text = await response.text()
    lines = [line for line in text.splitlines() if not line.startswith("#")]
    return {name: float(value) for name, _, value in (x.rpartition(" ") for x in lines)}


def metric_names(values):
    """Return the names of this project's metrics in a scrape, without suffixes."""
    names = {key.partition("{")[0] for key in values}
    names = {SUFFIX.sub("", name) for name in names if name.startswith("stoatpath_")}
    return {name for name in names if not name.endswith("_created")}


@given("a site with a router and the sample configurations")
def step_impl(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.site = Site()

    async def start():
        await context.site.start(routers=1)
        await Demonstration(context.site).submit_samples()

    run(context, start())
    context.add_cleanup(lambda: run(context, context.site.stop()))


@when("{good:d} good requests and {bad:d} with an unknown key are sent")
def step_impl(context, good, bad):
    router = context.site.routers_by_name["router-1"]

    async def send(secret):
        url = f"http://{router.address}/v1/chat/completions"
        headers = {"Authorization": f"Bearer {secret}"}
        body = chat("desk-assist", "Hello?")
        async with aiohttp.ClientSession() as session:
            async with session.post(url, json=body, headers=headers) as response:
                await response.read()

    for secret in [SECRET] * good + ["nobody.secret"] * bad:
        run(context, send(secret))


@then("the router's metrics include")
def step_impl(context):
    router = context.site.routers_by_name["router-1"]
    values = run(context, scrape(router.metrics.address))
    for row in context.table:
        assert values[row["metric"]] == float(row["value"]), (row["metric"], values)


@then("the metrics of the router and of a controller are those of docs/METRICS.md")
def step_impl(context):
    with open("docs/METRICS.md", encoding="utf-8") as file:
        roles_by_name = dict(ROUTER_TABLE_ROW.findall(file.read()))
    router = context.site.routers_by_name["router-1"]
    controller = context.site.controllers_by_name["controller-1"]
    served = metric_names(run(context, scrape(router.metrics.address)))
    assert served == set(roles_by_name), served ^ set(roles_by_name)
    served = metric_names(run(context, scrape(controller.metrics.address)))
    shared = {name for name, role in roles_by_name.items() if role == "both"}
    assert served == shared, served ^ shared


@given("a deployment of a store, replicas and a gateway")
def step_impl(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.deployment = Deployment()
    run(context, context.deployment.start())
    context.add_cleanup(lambda: run(context, context.deployment.stop()))
    context.gateway = context.deployment.gateways[0]
    run(context, context.gateway.metrics.start("127.0.0.1:0"))


@when("a booking, a lookup that one replica fails, and a chat are sent")
def step_impl(context):
    run(context, send_to_gateway(context, "POST", "book", "b-1"))
    context.deployment.replicas_by_name["p0"].faults.add(Fault("serve", "error", 1))
    # The load on the other replica makes the failing replica the first choice.
    context.gateway.backends.by_name["p1"].in_flight += 5
    run(context, send_to_gateway(context, "GET", "look", "l-1"))
    run(context, send_to_gateway(context, "POST", "chat", "c-1"))


async def send_to_gateway(context, method, route, request_id):
    headers = {
        "Host": HOST,
        "Authorization": f"Bearer {CALLER_KEY}",
        "X-Stoatpath-Attempt-Id": request_id,
        "X-Stoatpath-Deadline-Ms": "4000",
    }
    if route == "chat":
        headers["X-Stoatpath-Model"] = "*"
        headers["X-Stoatpath-Token-Counts"] = "100,50"
    url = f"http://{context.gateway.listener.address}/{route}/1"
    async with aiohttp.ClientSession() as session:
        async with session.request(method, url, headers=headers) as response:
            await response.read()


@then("the gateway's metrics include")
def step_impl(context):
    values = run(context, scrape(context.gateway.metrics.address))
    for row in context.table:
        assert values.get(row["metric"]) == float(row["value"]), (
            row["metric"],
            values,
        )


@when("the event loop is blocked for {duration_ms:d} ms")
def step_impl(context, duration_ms):
    async def block_event_loop():
        await asyncio.sleep(0.02)
        time.sleep(duration_ms / 1000)
        await asyncio.sleep(0.02)

    run(context, block_event_loop())


@then("its lag over 100 ms is counted")
def step_impl(context):
    values = run(context, scrape(context.gateway.metrics.address))
    name = "stoatpath_event_loop_lag_seconds"
    slow_samples = values[f"{name}_count"] - values[name + '_bucket{le="0.1"}']
    assert slow_samples >= 1, values


@then("the remaining retry budget of the plain service is exposed")
def step_impl(context):
    values = run(context, scrape(context.gateway.metrics.address))
    remaining = values[f'stoatpath_retry_budget_left{{service="{PLAIN_SERVICE}"}}']
    assert remaining == context.gateway.retry_budget.remaining(PLAIN_SERVICE), remaining


@then("the metrics of the gateway are those of docs/METRICS.md")
def step_impl(context):
    with open("docs/METRICS.md", encoding="utf-8") as file:
        section = file.read().partition(GATEWAY_SECTION_START)[2].partition("## ")[0]
    served = metric_names(run(context, scrape(context.gateway.metrics.address)))
    assert served == set(GATEWAY_TABLE_ROW.findall(section)), served ^ set(
        GATEWAY_TABLE_ROW.findall(section)
    )

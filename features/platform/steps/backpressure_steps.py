"""Steps on backend servers that ask for fewer requests, before several gateways."""

import asyncio

from behave import given, then, when
from callers import request_headers, send_request, wait_until

from stoatpath.clock import Clock
from stoatpath.platform.boot_files import BootFile
from stoatpath.standins.deployments import Deployment, boot_mapping
from stoatpath.standins.faults import Fault

ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
WINDOW_MS = 4_000.0
# Requests that a gateway had already sent when it was told don't count.
TOLD_SLACK_MS = 500.0


class FleetFixture:
    """Gateways that know each other, with an event loop of their own.

    Request identifiers begin with the name of the gateway that got the request.
    """

    def __init__(self, gateways, plain, models=0):
        self.loop = asyncio.new_event_loop()
        self.deployment = Deployment()
        self.responses = []
        self.told_ms_by_gateway = {}
        self.run(self._start(gateways, plain, models))

    def run(self, work):
        return self.loop.run_until_complete(work)

    @property
    def gateways(self):
        return self.deployment.gateways

    def replica(self, name):
        return self.deployment.replicas_by_name[name]

    def close(self):
        self.run(self.deployment.stop())
        self.loop.close()

    async def _start(self, gateways, plain, models):
        await self.deployment.start(models=models, plain=plain, gateways=1)
        seed = self.gateways[0].peer_server.address
        for index in range(1, gateways):
            await self.deployment.add_gateway(f"gateway-{index}", seeds=[seed])
        await self.deployment.wait_until_in_sync()
        assert await wait_until(
            lambda: all(
                len(gateway.members.peers()) == gateways - 1
                for gateway in self.gateways
            )
        )

    async def send(self, gateway, number, route="look"):
        name = gateway.boot.instance
        headers = request_headers(route, number)
        headers["X-Stoatpath-Attempt-Id"] = f"{name}/{number}"
        response = await send_request(gateway, route, headers=headers)
        response.request_id = f"{name}/{number}"
        self.responses.append(response)
        if "Server-Limit" in response.headers:
            now_ms = gateway.clock.now_ms()
            self.told_ms_by_gateway.setdefault(name, now_ms)
        return response

    async def send_steadily(self, rate_per_s, seconds, route="look"):
        """Send requests through all gateways in turn, without waiting for answers."""
        tasks = []
        for number in range(int(rate_per_s * seconds)):
            gateway = self.gateways[number % len(self.gateways)]
            tasks.append(asyncio.create_task(self.send(gateway, number, route)))
            await asyncio.sleep(1 / rate_per_s)
        await asyncio.gather(*tasks)

    def counted_arrivals(self, replica):
        """Return when requests of gateways that had been told arrived."""
        return sorted(
            arrived_ms
            for arrived_ms, request_id in replica.arrivals
            if arrived_ms
            >= self.told_ms_by_gateway.get(request_id.split("/")[0], float("inf"))
            + TOLD_SLACK_MS
        )


def most_in_window(times_ms, window_ms):
    """Return the largest number of arrivals in a window."""
    return max(
        (
            sum(start_ms <= each < start_ms + window_ms for each in times_ms)
            for start_ms in times_ms
        ),
        default=0,
    )


@given(
    "{count:d} gateways that know each other, and {plain:d} backend servers of a service"
)
def step_impl(context, count, plain):
    context.fleet = FleetFixture(count, plain)
    context.add_cleanup(context.fleet.close)


@given("backend server {name} names a limit of {limit:g} requests a second")
def step_impl(context, name, limit):
    context.fleet.replica(name).limit_per_s = limit


@when(
    "callers send {rate:d} look requests a second through all gateways for {seconds:d} s"
)
def step_impl(context, rate, seconds):
    context.fleet.run(context.fleet.send_steadily(rate, seconds))


@then("{name} got at most one and a half times its limit and 5 requests in any 4 s")
def step_impl(context, name):
    replica = context.fleet.replica(name)
    allowed = ALLOWED_FACTOR * replica.limit_per_s * WINDOW_MS / 1000 + ALLOWED_EXTRA
    counted = most_in_window(context.fleet.counted_arrivals(replica), WINDOW_MS)
    assert counted <= allowed, (counted, allowed)


@then("{name} got at least {count:d} requests from gateways that it had told")
def step_impl(context, name, count):
    arrivals = context.fleet.counted_arrivals(context.fleet.replica(name))
    assert len(arrivals) >= count, len(arrivals)


@then("all requests are answered with {status:d}")
def step_impl(context, status):
    statuses = {response.status for response in context.fleet.responses}
    assert statuses == {status}, statuses


@given("all backend servers name a limit of {limit:g} requests a second")
def step_impl(context, limit):
    for replica in context.fleet.deployment.replicas_by_name.values():
        replica.limit_per_s = limit


def refusals(context):
    refused = [each for each in context.fleet.responses if each.status == 503]
    assert refused, context.fleet.responses
    return refused


@then(
    "some requests are refused with {status:d} and a time to return "
    "of {least:g} s to {most:g} s"
)
def step_impl(context, status, least, most):
    for response in refusals(context):
        assert response.status == status
        seconds = float(response.headers["Retry-After"])
        assert least <= seconds <= most, seconds


@then("none of the refused requests ran")
def step_impl(context):
    refused = {response.request_id for response in refusals(context)}
    replicas = context.fleet.deployment.replicas_by_name.values()
    ran = {run.request_id for replica in replicas for run in replica.runs}
    assert not refused & ran, refused & ran


@given("backend server {name} says in {answer} that it is leaving")
def step_impl(context, name, answer):
    replica = context.fleet.replica(name)
    replica.is_leaving = True
    if answer == "answers that it fails":
        replica.faults.add(Fault("serve", "error", None))


def send_in_turn(context, count):
    """Send requests one after the other; return how many p0 got."""
    fleet = context.fleet
    replica = fleet.replica("p0")
    before = replica.received_count

    async def work():
        for number in range(count):
            await fleet.send(fleet.gateways[0], f"{before}-{number}")

    fleet.run(work())
    return replica.received_count - before


@when("{count:d} look requests are sent, and p0 has got one of them")
def step_impl(context, count):
    assert send_in_turn(context, count) == 1


@then("of {count:d} more look requests p0 gets none")
def step_impl(context, count):
    assert send_in_turn(context, count) == 0


@then(
    "after its entry was removed and listed again, of {count:d} more look requests "
    "p0 gets none"
)
def step_impl(context, count):
    fleet = context.fleet
    store = fleet.deployment.store
    backends = fleet.gateways[0].backends
    fleet.run(store.remove("servers", "p0"))
    assert fleet.run(wait_until(lambda: "p0" not in backends.by_name))
    fleet.run(store.put("servers", "p0", fleet.replica("p0").server_row()))
    assert fleet.run(wait_until(lambda: "p0" in backends.by_name))
    assert send_in_turn(context, count) == 0


@then(
    "after its entry was away for {seconds:g} s, of {count:d} more look requests "
    "p0 gets none"
)
def step_impl(context, seconds, count):
    fleet = context.fleet
    store = fleet.deployment.store
    backends = fleet.gateways[0].backends
    fleet.run(store.remove("servers", "p0"))
    assert fleet.run(wait_until(lambda: "p0" not in backends.by_name))
    fleet.run(asyncio.sleep(seconds))
    fleet.run(store.put("servers", "p0", fleet.replica("p0").server_row()))
    assert fleet.run(wait_until(lambda: "p0" in backends.by_name))
    assert send_in_turn(context, count) == 0


@when("p0 answers a look request {seconds:g} s after its entry was removed")
def step_impl(context, seconds):
    fleet = context.fleet
    replica = fleet.replica("p0")
    backends = fleet.gateways[0].backends
    replica.delay_ms = 1000 * seconds

    async def work():
        # The other one is withheld, so that the request goes to p0.
        backends.by_name["p1"].is_leaving = True
        answer = asyncio.create_task(fleet.send(fleet.gateways[0], "late"))
        assert await wait_until(lambda: replica.received_count == 1)
        await fleet.deployment.store.remove("servers", "p0")
        assert await wait_until(lambda: "p0" not in backends.by_name)
        assert (await answer).status == 200
        backends.by_name["p1"].is_leaving = False

    fleet.run(work())
    replica.delay_ms = 0.0


@given("backend server {name} turns requests away for {seconds:g} s")
def step_impl(context, name, seconds):
    context.fleet.replica(name).hold_off_s = f"{seconds:g}"


@given("all backend servers turn requests away for {seconds:g} s")
def step_impl(context, seconds):
    for replica in context.fleet.deployment.replicas_by_name.values():
        replica.hold_off_s = f"{seconds:g}"


@then("{name} got at most {count:d} request from each gateway")
def step_impl(context, name, count):
    senders = [
        request_id.split("/")[0]
        for _, request_id in context.fleet.replica(name).arrivals
    ]
    assert senders
    assert all(senders.count(sender) <= count for sender in senders), senders


@then("each backend server got at most {count:d} request")
def step_impl(context, count):
    for replica in context.fleet.deployment.replicas_by_name.values():
        assert replica.received_count <= count, replica.received_count


@when("p0 takes requests again, each for {delay:d} ms")
def step_impl(context, delay):
    replica = context.fleet.replica("p0")
    replica.hold_off_s = None
    replica.delay_ms = float(delay)
    replica.arrivals.clear()


@then("p0 gets 1 of {count:d} book requests meanwhile, and more when it has answered")
def step_impl(context, count):
    fleet = context.fleet
    replica = fleet.replica("p0")

    async def work():
        await fleet.send_steadily(40, count / 40, "book")
        meanwhile = len(replica.arrivals)
        replica.delay_ms = 0.0
        await fleet.send_steadily(40, 1.0, "book")
        return meanwhile, len(replica.arrivals)

    meanwhile, total = fleet.run(work())
    assert meanwhile == 1, meanwhile
    assert total > 2, total


@given(
    "all backend servers run {room:d} requests of {delay:d} ms at once, "
    "and end beyond {count:d} rejections a second"
)
def step_impl(context, room, delay, count):
    for replica in context.fleet.deployment.replicas_by_name.values():
        replica.room = room
        replica.delay_ms = delay
        replica.max_rejections_per_s = count


@then(
    "at most {count:d} times a backend server fell "
    "from {seconds:d} s after they first said so"
)
def step_impl(context, count, seconds):
    replicas = context.fleet.deployment.replicas_by_name.values()
    first_ms = min(at_ms for replica in replicas for at_ms, _ in replica.arrivals)
    falls = [
        at_ms - first_ms
        for replica in replicas
        for at_ms in replica.falls_ms
        if at_ms >= first_ms + 1000 * seconds
    ]
    assert len(falls) <= count, falls


@then("at least {count:d} requests are answered with {status:d}")
def step_impl(context, count, status):
    served = sum(each.status == status for each in context.fleet.responses)
    assert served >= count, served


@given(
    "its backend servers are cold for {cold_s:g} s and then take {rate:g} requests a "
    "second"
)
def step_impl(context, cold_s, rate):
    context.cold_ms = cold_s * 1000
    deployment = context.fleet.deployment
    services = [
        {**service, "cold_start_s": cold_s, "coldstart_per_s": rate}
        for service in deployment.config["services"]
    ]
    context.fleet.run(deployment.update_config(services=services))
    for gateway in context.fleet.gateways:
        bounds = {"cold_over": 1.5, "cold_slack": 5}
        mapping = boot_mapping(gateway.boot.instance, deployment.store_address, bounds)
        gateway.reload(BootFile.from_mapping(mapping))


@given("the gateways know each other for {seconds:d} s")
def step_impl(context, seconds):
    context.fleet.run(asyncio.sleep(seconds))


@when(
    "p0 becomes cold {how} and callers send {rate:d} look requests a second for "
    "{seconds:d} s"
)
def step_impl(context, how, rate, seconds):
    fleet = context.fleet
    replica = fleet.replica("p0")
    fields = {"cold_left_ms": context.cold_ms, "sequence": 2}
    if how == "by a later birth":
        fields = {"cold_left_ms": None, "sequence": 2, "born": 1_700_000_000_000}

    async def work():
        context.cold_until_ms = Clock().now_ms() + context.cold_ms
        row = replica.server_row(**fields)
        await fleet.deployment.store.put("servers", "p0", row)
        assert await wait_until(
            lambda: all(
                gateway.backends.by_name["p0"].entry.cold_left_ms
                == fields["cold_left_ms"]
                for gateway in fleet.gateways
            )
        )
        context.bounded_at = [
            gateway.boot.instance
            for gateway in fleet.gateways
            if gateway.send_gate.is_cold("p0")
        ]
        await fleet.send_steadily(rate, seconds)

    fleet.run(work())


@then("no gateway has a bound for {name}, and it got at least {share:g} of the requests")
def step_impl(context, name, share):
    assert not context.bounded_at, context.bounded_at
    replicas = context.fleet.deployment.replicas_by_name.values()
    total = sum(len(each.arrivals) for each in replicas)
    arrivals = len(context.fleet.replica(name).arrivals)
    assert arrivals >= share * total, (arrivals, total)


@then("p0 got from {least:d} to {most:d} requests in any second")
def step_impl(context, least, most):
    # On a busy machine the last requests are sent after the cold time.
    times_ms = [
        arrived_ms
        for arrived_ms, _ in context.fleet.replica("p0").arrivals
        if arrived_ms < context.cold_until_ms
    ]
    counted = most_in_window(times_ms, 1_000.0)
    assert least <= counted <= most, counted

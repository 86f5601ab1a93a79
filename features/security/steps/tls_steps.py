"""Steps about TLS."""

import asyncio
import os
import ssl
import sys
import tempfile

import aiohttp
from behave import given, then, when

sys.path.insert(0, os.path.dirname(__file__))

from certificates import CertificateAuthority  # noqa: E402

from stoatpath.standins.sites import Site  # noqa: E402

MAX_POLLS = 500


def run(context, coroutine):
    """Run a coroutine on the loop of the scenario."""
    return context.loop.run_until_complete(coroutine)


def trusting_context(context):
    """Return a TLS client context that trusts the authority of the scenario."""
    return ssl.create_default_context(cafile=context.authority.path)


async def get_health_status(address, tls):
    """Return the status of a TLS request to `/healthz`."""
    connector = aiohttp.TCPConnector(ssl=tls)
    async with aiohttp.ClientSession(connector=connector) as session:
        async with session.get(f"https://{address}/healthz") as response:
            return response.status


@given("a certificate authority and a certificate for 127.0.0.1")
def step_impl(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.authority = CertificateAuthority(folder.name)
    context.files, context.serial = context.authority.issue("first")
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)


@when("a site is started with TLS for callers, operators and peers")
def step_impl(context):
    peers = {**context.files, "authority": context.authority.path}
    context.site = Site()
    tls = {
        "LISTEN_TLS": context.files,
        "OPERATOR_TLS": context.files,
        "PEER_TLS": peers,
    }

    async def start():
        await context.site.start(routers=0)
        for index in (1, 2):
            await context.site.start_router(f"router-{index}", "zone-a", **tls)

    run(context, start())
    context.add_cleanup(lambda: run(context, context.site.stop()))
    context.router = context.site.routers_by_name["router-1"]


@when("the certificate and its key are replaced")
def step_impl(context):
    context.files, context.serial = context.authority.issue("second")
    context.router.node.tls.reload_changed()


@when("the certificate file is overwritten with garbage")
def step_impl(context):
    with open(context.files["certificate"], "w", encoding="utf-8") as file:
        file.write("garbage")
    context.router.node.tls.reload_changed()


@then("a caller that trusts the authority gets a response")
def step_impl(context):
    status = run(
        context, get_health_status(context.router.address, trusting_context(context))
    )
    assert status == 200, status


@then("a caller that doesn't trust the authority rejects the certificate")
def step_impl(context):
    try:
        run(
            context,
            get_health_status(context.router.address, ssl.create_default_context()),
        )
    except aiohttp.ClientConnectorCertificateError:
        return
    raise AssertionError("the certificate was not checked")


@then("the first router has the second as a live member")
def step_impl(context):
    async def wait_for_peer():
        for _ in range(MAX_POLLS):
            if "router-2" in context.router.node.members.live_names("router"):
                return True
            await asyncio.sleep(0.02)
        return False

    assert run(context, wait_for_peer())


@then("a peer without a certificate is refused")
def step_impl(context):
    async def post_gossip():
        connector = aiohttp.TCPConnector(ssl=trusting_context(context))
        address = context.router.node.peer_server.address
        async with aiohttp.ClientSession(connector=connector) as session:
            async with session.post(f"https://{address}/peers/v1/gossip") as response:
                return response.status

    try:
        status = run(context, post_gossip())
    except (aiohttp.ClientError, OSError):
        return
    raise AssertionError(f"answered with {status}")


@then("a caller sees the new certificate")
def step_impl(context):
    async def read_serial():
        host, _, port = context.router.address.rpartition(":")
        _, writer = await asyncio.open_connection(
            host, int(port), ssl=trusting_context(context)
        )
        certificate = writer.get_extra_info("peercert")
        writer.close()
        return int(certificate["serialNumber"], 16)

    assert run(context, read_serial()) == context.serial

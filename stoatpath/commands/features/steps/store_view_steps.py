"""Steps about commands that read the platform's store."""

import asyncio
import json
import os
import sys
import tempfile

from behave import given, then, when

from stoatpath.rollouts.release_evidence import (
    EVIDENCE_TABLE,
    AnswerCounts,
    ReleaseEvidence,
)
from stoatpath.standins.deployments import (
    CALLER_KEY,
    PLAIN_SERVICE,
    Deployment,
    boot_mapping,
)
from stoatpath.utils import decode_json

ORDER = {"service": PLAIN_SERVICE, "to": "v2", "duration_s": 20}


@given("a deployment in which a bad release was rolled back")
def step_impl(context):
    async def write_rows(deployment):
        await deployment.store.put("op", f"rollout/{PLAIN_SERVICE}", ORDER)
        version = deployment.store.version("op", f"rollout/{PLAIN_SERVICE}")
        counts = AnswerCounts(total=9, bad=4, affected_backends=["p0", "p1"])
        evidence = ReleaseEvidence()
        evidence.new_by_route["look"] = counts
        row = decode_json(evidence.to_row(version, 0.0))
        await deployment.store.put(EVIDENCE_TABLE, f"{PLAIN_SERVICE}/gateway-0", row)
        status = {
            "service": PLAIN_SERVICE,
            "to": "v2",
            "state": "rolled_back",
            "order": version,
            "started_ms": 1.0,
            "by": "gateway-0",
            "reason": "4 of 9 answers are bad",
        }
        await deployment.store.put("status", f"rollout/{PLAIN_SERVICE}", status)

    context.write_rows = write_rows


@given("a deployment with an unreadable backend entry")
def step_impl(context):
    async def write_rows(deployment):
        await deployment.store.put("servers", "odd", {"state": "elsewhere"})

    context.write_rows = write_rows


@given("a deployment in which zone-a and zone-z are drained and a key is malformed")
def step_impl(context):
    async def write_rows(deployment):
        await deployment.add_replica("other", PLAIN_SERVICE, zone="zone-b")
        await deployment.add_replica("third", PLAIN_SERVICE)
        for key in ("evacuate/zone-a", "evacuate/zone-z", "evacuate/"):
            await deployment.store.put("op", key, {})

    context.write_rows = write_rows


@given("a deployment with a backend server that is cold for {left:d} ms")
def step_impl(context, left):
    async def write_rows(deployment):
        row = {
            "service": PLAIN_SERVICE,
            "address": "127.0.0.1:1",
            "zone": "zone-a",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold_left_ms": left,
        }
        await deployment.store.put("servers", "fresh", row)

    context.write_rows = write_rows


@given("a deployment with an unreadable roll-out status")
def step_impl(context):
    async def write_rows(deployment):
        await deployment.store.put("op", f"rollout/{PLAIN_SERVICE}", ORDER)
        await deployment.store.put(
            "status", f"rollout/{PLAIN_SERVICE}", {"state": "odd"}
        )

    context.write_rows = write_rows


@when("an operator runs stoatpathctl {line}")
def step_impl(context, line):
    if line.endswith(" standalone"):
        words = line.split()[:-1]
        context.code, context.output = asyncio.run(_run_program(words))
        return
    with_file = line.endswith(" with a settings file")
    words = line.removesuffix(" with a settings file").split()
    context.code, context.output = asyncio.run(
        _run_on_deployment(context, words, with_file)
    )


async def _run_on_deployment(context, words, with_file):
    deployment = Deployment()
    await deployment.start(gateways=0)
    try:
        await context.write_rows(deployment)
        address = deployment.store_address
        if not with_file:
            return await _run_program([f"--store={address}", *words])
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "boot.yaml")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(boot_mapping("gateway-0", address, {}), file)
            return await _run_program([f"--boot={path}", *words])
    finally:
        await deployment.stop()


async def _run_program(words):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "stoatpath.tools.ctl",
        *words,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()


@then("the exit code is {code:d} and the output contains {text}")
def step_impl(context, code, text):
    assert context.code == code, (context.code, context.output)
    assert text.lower() in context.output.lower(), context.output


@then("the output lacks the key of harbour")
def step_impl(context):
    assert CALLER_KEY not in context.output

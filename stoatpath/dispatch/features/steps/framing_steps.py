"""Steps about what shows that a body is whole."""

import asyncio

import aiohttp
from behave import then, when

from stoatpath.dispatch.checks import is_truncation_detectable

BODY = b"0123456789"


async def read_cut_body(fields):
    """Return whether a cut is detectable and was an error; None, True without a head.

    The body is part of one that the header fields announce, if they do.
    """
    head = "\r\n".join(["HTTP/1.1 200 OK", *fields, "", ""]).encode()

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head + BODY)
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    is_detectable = None
    try:
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            async with session.get(f"http://127.0.0.1:{port}/") as response:
                is_detectable = is_truncation_detectable("GET", response)
                await response.read()
    except aiohttp.ClientError:
        return is_detectable, True
    finally:
        server.close()
    return is_detectable, False


@when("a body with the header fields {fields} ends with its connection")
def step_impl(context, fields):
    context.is_detectable, context.is_error = asyncio.run(
        read_cut_body(fields.split(" and "))
    )


@then("its reader gets an error, or its cut is not detectable")
def step_impl(context):
    assert context.is_error != (context.is_detectable is False), context.is_detectable

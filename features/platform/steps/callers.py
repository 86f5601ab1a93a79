"""Callers of a deployment and the responses they get."""

import asyncio

import aiohttp

from stoatpath.standins.deployments import CALLER_KEY, HOST

ATTEMPT_ID = "X-Stoatpath-Attempt-Id"
REPLY_TIMEOUT_S = 10
MODEL_ROUTES = ("chat", "tell", "sum")


class CallerResponse:
    """A response as its caller got it; status 0 means that the connection failed."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


def chat_headers():
    return {
        "Accept": "text/event-stream",
        "X-Stoatpath-Model": "*",
        "X-Stoatpath-Token-Counts": "100,50",
        "X-Stoatpath-Prompt-Prefix": "aa:60,bb:40",
        "Session": "s-1",
    }


def request_headers(route, number, **changes):
    """Return the headers of a valid request; a change to None removes one."""
    headers = {
        "Host": HOST,
        ATTEMPT_ID: f"attempt-{number}",
        "X-Stoatpath-Deadline-Ms": "4000",
        "Authorization": f"Bearer {CALLER_KEY}",
    }
    if route in MODEL_ROUTES:
        headers |= chat_headers()
    if route == "sum":
        headers["Accept"] = "*/*"
    headers |= {name.replace("_", "-"): value for name, value in changes.items()}
    return {name: value for name, value in headers.items() if value is not None}


async def send_request(gateway, route, number=1, headers=None, body=None, path="1?a=b"):
    """Send one request on a new connection; return a `CallerResponse`."""
    method = "POST" if route in ("book", *MODEL_ROUTES) else "GET"
    if body is None and method == "POST":
        body = b"body of the request"
    url = f"http://{gateway.listener.address}/{route}/{path}"
    timeout = aiohttp.ClientTimeout(total=REPLY_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        try:
            async with session.request(
                method,
                url,
                headers=headers or request_headers(route, number),
                data=body,
            ) as response:
                return CallerResponse(
                    response.status, response.headers, await response.read()
                )
        except aiohttp.ClientError as error:
            return CallerResponse(0, {}, repr(error).encode())


async def send_raw(gateway, data):
    """Send bytes on a new connection; return the status of the response, or 0."""
    host, _, port = gateway.listener.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            line = await reader.readline()
    finally:
        writer.transport.abort()
    return int(line.split()[1]) if line else 0


async def send_bytes(gateway, route, request_id, value, name="X-Bytes"):
    """Send a request with a header of bytes; the response has headers of bytes."""
    host, _, port = gateway.listener.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    headers = request_headers(route, 1) | {
        ATTEMPT_ID: request_id,
        "Connection": "close",
    }
    headers["Content-Length"] = "0"
    headers.pop(name, None)
    lines = [f"{key}: {each}".encode() for key, each in headers.items()]
    lines.append(name.encode() + b": " + value)
    method = b"GET" if route == "look" else b"POST"
    first_line = b"%b /%b/1 HTTP/1.1" % (method, route.encode())
    writer.write(b"\r\n".join([first_line, *lines, b"", b""]))
    async with asyncio.timeout(REPLY_TIMEOUT_S):
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    status_line, *lines = head.split(b"\r\n")
    pairs = (line.partition(b": ") for line in lines)
    received = {key.decode(): given for key, _, given in pairs}
    return CallerResponse(int(status_line.split()[1]), received, body)


async def wait_until(condition, seconds=5):
    """Return whether the condition becomes true; only a hang takes the whole time."""
    for _ in range(int(seconds / 0.01)):
        if condition():
            return True
        await asyncio.sleep(0.01)
    return condition()

"""Steps about what a backend server sends on a connection that is used again."""

import asyncio

from behave import given, then, when
from dispatch_rig import Rig

from stoatpath.outcomes import Outcome, is_failure

PART_PAUSE_S = 0.02
FAULTY = 4


def answer_to(request_id, status="200 OK", body=None, headers=None):
    """Return the bytes of the answer to a request; its body names the request."""
    body = f"answer to {request_id};".encode() if body is None else body
    lines = [f"HTTP/1.1 {status}", f"Stoatpath-Request-Id: {request_id}"]
    lines += [f"Content-Length: {len(body)}"] if headers is None else headers
    return "\r\n".join([*lines, "", ""]).encode() + body


class RawService:
    """Answers with bytes; the fourth answer has a fault."""

    def __init__(self, what):
        self.what = what
        self.count = 0
        self.connections = 0
        self.held_copy = b""
        self.first_id = ""
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                await self._answer_one(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        fields = dict(
            line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line
        )
        await reader.readexactly(int(fields.get("content-length", 0)))
        request_id = fields["stoatpath-request-id"]
        self.count += 1
        self.first_id = self.first_id or request_id
        data = self.held_copy + answer_to(request_id)
        self.held_copy = b""
        if self.what == "two parts":
            writer.write(data[: len(data) // 2])
            await writer.drain()
            await asyncio.sleep(PART_PAUSE_S)
            writer.write(data[len(data) // 2 :])
        elif self.count == FAULTY:
            await self._send_faulty(writer, request_id, data)
        else:
            writer.write(data)
        await writer.drain()

    async def _send_faulty(self, writer, request_id, data):
        what = self.what
        copy = answer_to(request_id)
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"
        if what == "bytes after a whole answer":
            writer.write(data + b"left over")
        elif what == "a second copy at once":
            writer.write(data + copy)
        elif what == "a second copy after 10 ms":
            writer.write(data)
            await asyncio.sleep(0.01)
            writer.write(copy)
        elif what == "a second copy before the next answer":
            writer.write(data)
            self.held_copy = copy
        elif what == "an answer to an earlier request first":
            writer.write(answer_to(self.first_id) + data)
        elif what == "interim answers before it":
            writer.write(b"HTTP/1.1 100 Continue\r\n\r\n" + interim + data)
        elif what == "an interim answer after it":
            writer.write(data + interim)
        elif what == "a body after status 204":
            writer.write(answer_to(request_id, "204 No Content"))
        elif what == "a body after the answer to HEAD":
            writer.write(data)
        elif what == "two lengths that differ":
            lengths = ["Content-Length: 6", "Content-Length: 16"]
            writer.write(answer_to(request_id, headers=lengths))
        elif what == "a length and chunks":
            both = ["Content-Length: 6", "Transfer-Encoding: chunked"]
            body = b"6\r\nanswer\r\n0\r\n\r\n" + answer_to(self.first_id)
            writer.write(answer_to(request_id, body=body, headers=both))
        elif what == "more bytes than its length":
            writer.write(answer_to(request_id, headers=["Content-Length: 6"]))
        elif what == "fewer bytes than its length":
            writer.write(answer_to(request_id, headers=["Content-Length: 90"]))
        else:
            raise AssertionError(what)


class RefusingService(RawService):
    """Refuses every third arrival, and writes each refusal twice on its connection."""

    def __init__(self, what):
        super().__init__(what)
        self.ran_ids = set()
        self.copies_by_writer = {}

    async def _answer_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        fields = dict(
            line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line
        )
        request_id = fields["stoatpath-request-id"]
        self.count += 1
        copy = self.copies_by_writer.pop(writer, b"")
        if self.count % 3 == 0:
            refusal = answer_to(
                request_id,
                "503 Busy",
                b"",
                ["Engine-Not-Run: true", "Content-Length: 0"],
            )
            writer.write(copy + refusal)
            if self.what == "after 5 ms":
                await asyncio.sleep(0.005)
                writer.write(refusal)
            else:
                self.copies_by_writer[writer] = refusal
        else:
            self.ran_ids.add(request_id)
            writer.write(copy + answer_to(request_id))
        await writer.drain()


async def send_all(context, count, is_cancelled):
    """Send requests one after another; store the results by request."""
    rig = Rig()
    await rig.start(engines=0, services=0)
    address = await context.service.start()
    rig._register("raw", "service", "booking-desk", address)
    context.results = []
    for number in range(1, count + 1):
        method = "GET"
        if "HEAD" in context.service.what and number == FAULTY:
            method = "HEAD"
        request = rig.request(number, plain=True, method=method, body=b"")
        run = asyncio.create_task(rig.run(request))
        if is_cancelled(number):
            await asyncio.sleep(PART_PAUSE_S / 2)
            run.cancel()
            await asyncio.wait([run])
            continue
        result, _ = await run
        context.results.append((number, request.request_id, result))
        # Some follow at once, some after what is late has arrived.
        await asyncio.sleep(0.03 if number % 2 else 0.0)
    await rig.stop()
    context.service.server.close()


@given("a service whose fourth answer is followed or replaced by {what}")
def step_impl(context, what):
    context.service = RawService(what)


@given("a service that refuses every third arrival, and writes that again {when}")
def step_impl(context, when):
    context.service = RefusingService(when)


@when("12 repeatable requests are sent one after another")
def step_impl(context):
    asyncio.run(send_all(context, 12, lambda number: False))


@then("no request is said not to have run that the service ran")
def step_impl(context):
    for number, request_id, result in context.results:
        if is_failure(result) and result.outcome is Outcome.NOT_RUN:
            assert request_id not in context.service.ran_ids, number
    assert context.service.ran_ids


@given("a service whose answers come in two parts")
def step_impl(context):
    context.service = RawService("two parts")


@when("10 repeatable requests are sent one after another")
def step_impl(context):
    asyncio.run(send_all(context, 10, lambda number: False))


@when("20 repeatable requests are sent and every third is cancelled in between")
def step_impl(context):
    asyncio.run(send_all(context, 20, lambda number: number % 3 == 0))


@then("no request got another one's answer")
def step_impl(context):
    own = "answer to {};"
    for number, request_id, result in context.results:
        if is_failure(result):
            continue
        body = result.body.decode()
        if number == FAULTY and context.service.what != "two parts":
            # A faulty answer of its own may be short.
            assert own.format(request_id).startswith(body), (number, body)
        else:
            assert body == own.format(request_id), (number, body)


@then("all but at most the fourth were answered")
def step_impl(context):
    failed = [each for each in context.results if is_failure(each[2])]
    assert {number for number, _, _ in failed} <= {FAULTY}, failed
    # Connections were reused, or nothing was tested.
    assert context.service.connections < 10, context.service.connections


@then("all that were not cancelled were answered")
def step_impl(context):
    failed = [each for each in context.results if is_failure(each[2])]
    assert len(context.results) == 14 and not failed, failed

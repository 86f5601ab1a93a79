"""Stand-in of the platform's row store: rows, change feeds, conditional writes.

The operations `read`, `feed` and `tx` have the faults of `standins.faults` except
`write-lost`, and `silent` (a delay of 30 s before the call). `tx` also has `late`:
the connection is closed without a response, and the write is applied afterwards.
"""

import asyncio
import base64
import time
from collections import Counter

from aiohttp import web

from stoatpath.standins.faults import (
    FaultTable,
    apply_fault_after_call,
    apply_fault_before_call,
)
from stoatpath.standins.servers import StandinServer
from stoatpath.utils import decode_json, encode_json

SILENCE_S = 30.0
LATE_WRITE_DELAY_S = 0.05
READ_ONLY_TABLES = ("op", "servers")


class _Row:
    """A row as stored; `value` is base64 text, or None after the row was removed."""

    __slots__ = ("table", "key", "value", "version")

    def __init__(self, table, key, value, version):
        self.table = table
        self.key = key
        self.value = value
        self.version = version

    def to_json(self):
        data = {"table": self.table, "part": "", "key": self.key, "ver": self.version}
        return data | (
            {"tombstone": True} if self.value is None else {"value": self.value}
        )


class RowStoreStandin:
    """Stores rows, and all their changes until `discard_history` is called.

    `calls` lists the operations that were served. `wait_ms_by_table` holds the wait
    time that the last feed request of a table gave, `feeds_by_table` their number.
    While `withholds_changes` is set, feeds return no changes. `era` is told in all
    answers; `restore` raises it and goes back to a copy that `copy_rows` made.
    """

    __slots__ = (
        "faults",
        "calls",
        "wait_ms_by_table",
        "feeds_by_table",
        "withholds_changes",
        "era",
        "_rows",
        "_changes",
        "_version",
        "_oldest_version",
        "_change_condition",
        "_server",
    )

    def __init__(self):
        self.faults = FaultTable()
        self.calls = []
        self.wait_ms_by_table = {}
        self.feeds_by_table = Counter()
        self.withholds_changes = False
        self.era = 1
        self._rows = {}
        self._changes = []
        self._version = 0
        self._oldest_version = 0
        self._change_condition = asyncio.Condition()
        self._server = StandinServer(
            [
                web.get("/-/rows-get", self._get),
                web.get("/-/rows-feed", self._feed),
                web.post("/-/rows-tx", self._transact),
            ],
            self._add_era,
        )

    async def start(self):
        """Listen and return the address as `host:port`."""
        return await self._server.start()

    async def stop(self):
        """Stop listening and drop all connections."""
        await self._server.stop()

    async def put(self, table, key, value):
        """Write a row as the operator or a replica does; `value` is bytes or JSON."""
        data = value if isinstance(value, bytes) else encode_json(value)
        await self._apply([(table, key, base64.b64encode(data).decode())])

    async def remove(self, table, key):
        """Remove a row."""
        await self._apply([(table, key, None)])

    def value(self, table, key):
        """Return the decoded JSON value of a row, or None."""
        row = self._rows.get((table, key))
        if row is None or row.value is None:
            return None
        return decode_json(base64.b64decode(row.value))

    def version(self, table, key):
        """Return the version of a row or of its removal, or 0 if it never existed."""
        row = self._rows.get((table, key))
        return 0 if row is None else row.version

    def copy_rows(self):
        """Return a copy of all rows for `restore`."""
        return dict(self._rows), self._version

    async def restore(self, copy):
        """Come back from a copy: later writes are lost, versions given out again."""
        rows, self._version = copy
        self._rows = dict(rows)
        self._changes = list(self._rows.values())
        self._oldest_version = 0
        self.era += 1
        async with self._change_condition:
            self._change_condition.notify_all()

    def discard_history(self):
        """Drop past changes: feeds that start before now get the status 410."""
        self._changes.clear()
        self._oldest_version = self._version

    async def _add_era(self, request, response):
        response.headers["Store-Era"] = str(self.era)

    async def _apply(self, changes):
        self._version += 1
        for table, key, value in changes:
            row = _Row(table, key, value, self._version)
            self._rows[table, key] = row
            self._changes.append(row)
        async with self._change_condition:
            self._change_condition.notify_all()

    async def _get(self, request):
        fault = self.faults.next_fault("read")
        early = await self._apply_fault_before_call(fault, request)
        if early is not None:
            return early
        self.calls.append("read")
        table = request.query["table"]
        start = request.query.get("from", "")
        limit = int(request.query.get("limit", 500))
        rows = [
            row
            for (name, key), row in sorted(self._rows.items())
            if name == table and key >= start and row.value is not None
        ]
        answer = self._page(rows[:limit]) | {"truncated": len(rows) > limit}
        return apply_fault_after_call(fault, request, answer)

    async def _feed(self, request):
        fault = self.faults.next_fault("feed")
        early = await self._apply_fault_before_call(fault, request)
        if early is not None:
            return early
        self.calls.append("feed")
        table = request.query["table"]
        after = int(request.query["after"])
        if not self._oldest_version <= after <= self._version:
            return web.Response(status=410)
        self.feeds_by_table[table] += 1
        self.wait_ms_by_table[table] = int(request.query["wait_ms"])
        wait_s = self.wait_ms_by_table[table] / 1000
        try:
            async with asyncio.timeout(wait_s), self._change_condition:
                await self._change_condition.wait_for(
                    lambda: self._rows_changed_after(table, after)
                )
        except TimeoutError:
            pass
        return apply_fault_after_call(
            fault, request, self._page(self._rows_changed_after(table, after))
        )

    async def _transact(self, request):
        fault = self.faults.next_fault("tx")
        early = await self._apply_fault_before_call(fault, request)
        if early is not None:
            return early
        self.calls.append("tx")
        message = decode_json(await request.read())
        if any(write["table"] in READ_ONLY_TABLES for write in message["writes"]):
            return web.Response(status=403)
        if fault is not None and fault.kind == "late":
            asyncio.get_running_loop().call_later(
                LATE_WRITE_DELAY_S, lambda: asyncio.ensure_future(self._commit(message))
            )
            request.transport.abort()
            return web.Response(status=503)
        if not await self._commit(message):
            return web.json_response(self._page([]), status=412)
        return apply_fault_after_call(fault, request, self._page([]))

    async def _commit(self, message):
        for condition in message["expected_revision"]:
            row = self._rows.get((condition["table"], condition["key"]))
            version = 0 if row is None or row.value is None else row.version
            if version != condition["ver"]:
                return False
        await self._apply(
            [
                (entry["table"], entry["key"], entry.get("value"))
                for entry in message["writes"] + message["remove"]
            ]
        )
        return True

    def _rows_changed_after(self, table, after):
        if self.withholds_changes:
            return []
        newest = {
            row.key: row
            for row in self._changes
            if row.table == table and row.version > after
        }
        return sorted(newest.values(), key=lambda row: row.version)

    def _page(self, rows):
        now_ms = int(time.monotonic() * 1000)
        rows = [row.to_json() for row in rows]
        return {"rows": rows, "ver": self._version, "now_ms": now_ms}

    async def _apply_fault_before_call(self, fault, request):
        if fault is not None and fault.kind == "silent":
            await asyncio.sleep(SILENCE_S)
        return await apply_fault_before_call(fault, request)

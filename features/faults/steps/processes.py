"""Routers in processes of their own, so that tests can send them signals."""

import asyncio
import os
import signal
import sys
import tempfile

from stoatpath.settings import Settings
from stoatpath.utils import decode_json, encode_json

LISTENING = "callers.listening"


class RouterProcess:
    """A router process of a site; callers connect to `address`."""

    def __init__(self, process, path):
        self._process = process
        self._path = path
        self._reader = None
        self.address = ""

    @classmethod
    async def start(cls, site, name, zone, **overrides):
        """Start the program; return once it accepts connections."""
        settings = site.settings(name, zone, **overrides)
        given_settings = {
            each.upper(): getattr(settings, each) for each in Settings.__slots__
        }
        file, path = tempfile.mkstemp(suffix=".json5")
        with os.fdopen(file, "wb") as stream:
            stream.write(encode_json(given_settings))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "stoatpath.tools.router",
            f"--settings={path}",
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        router = cls(process, path)
        await router._read_address()
        router._reader = asyncio.create_task(router._drain())
        return router

    async def _read_address(self):
        while line := await self._process.stderr.readline():
            record = decode_json(line)
            if isinstance(record, dict) and record.get("event") == LISTENING:
                self.address = record["address"]
                return
        raise AssertionError("the router did not start")

    async def _drain(self):
        while await self._process.stderr.readline():
            pass

    def pause(self):
        self._process.send_signal(signal.SIGSTOP)

    def resume(self):
        self._process.send_signal(signal.SIGCONT)

    def kill(self):
        self._process.kill()

    def terminate(self):
        self._process.terminate()

    async def wait(self):
        await self._process.wait()

    async def stop(self):
        """Kill the program if it still runs, and clean up."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
        self._reader.cancel()
        os.unlink(self._path)

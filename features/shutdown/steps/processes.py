"""A site whose routers run in processes of their own."""

import asyncio
import json
import os
import signal
import sys
import tempfile

from stoatpath.standins.sites import ZONES, Site
from stoatpath.tools.demonstrations import Demonstration

START_TIMEOUT_S = 60
EXIT_TIMEOUT_S = 60
POLL_S = 0.02


class RouterProcess:
    """One `stoatpath-router` process."""

    def __init__(self, name, process, log_path):
        self.name = name
        self.process = process
        self.log_path = log_path
        self.address = ""
        self.peer_address = ""

    async def wait_until_listening(self):
        """Return once the process has logged where it listens."""
        for _ in range(int(START_TIMEOUT_S / POLL_S)):
            for event in self.events("program.listening"):
                self.address = event["callers"]
                self.peer_address = event["peers"]
                return
            if self.process.returncode is not None:
                break
            await asyncio.sleep(POLL_S)
        raise AssertionError(self.output())

    def events(self, name):
        """Return the logged events of one name."""
        lines = self.output().splitlines()
        events = [json.loads(line) for line in lines if line.startswith("{")]
        return [event for event in events if event["event"] == name]

    def output(self):
        """Return the whole output of the process."""
        with open(self.log_path, encoding="utf-8") as file:
            return file.read()

    def send(self, signal_number):
        """Send the process a signal."""
        self.process.send_signal(signal_number)

    async def wait(self):
        """Return the exit code."""
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            return await self.process.wait()


class ProcessSite:
    """Stand-ins and a controller in this process, routers in processes of their own."""

    def __init__(self):
        self.site = Site()
        self.routers_by_name = {}
        self._folder = tempfile.TemporaryDirectory()
        self._started = 0

    async def start(self, routers, **overrides):
        """Start the site and submit the samples; then start the routers."""
        await self.site.start(routers=0)
        await Demonstration(self.site).submit_samples()
        names = [f"router-{index + 1}" for index in range(routers)]
        await asyncio.gather(*(self.start_router(name, **overrides) for name in names))

    async def start_router(self, name, **overrides):
        """Start a router process and add it to the instance list."""
        index = int(name.rpartition("-")[2])
        zone = ZONES[index % len(ZONES)]
        self._started += 1
        path = os.path.join(self._folder.name, f"{name}.{self._started}")
        with open(f"{path}.json", "w", encoding="utf-8") as file:
            json.dump(self.site.settings_mapping(name, zone, **overrides), file)
        command = [sys.executable, "-m", "stoatpath.tools.router"]
        with open(f"{path}.log", "w", encoding="utf-8") as log:
            process = await asyncio.create_subprocess_exec(
                *command,
                "--settings",
                f"{path}.json",
                stderr=log,
                stdout=log,
                start_new_session=True,
            )
        router = RouterProcess(name, process, f"{path}.log")
        self.routers_by_name[name] = router
        await router.wait_until_listening()
        self.site.add_listed_instance(name, "router", router.peer_address, zone)
        return router

    async def stop(self):
        """Kill the router processes that still run, and stop the site."""
        for router in self.routers_by_name.values():
            if router.process.returncode is None:
                router.send(signal.SIGKILL)
                await router.wait()
        await self.site.stop()
        self._folder.cleanup()

"""Tests of a gateway as a real process: unread output and signals."""

import asyncio
import random
import signal
import subprocess
import sys
import unittest
from pathlib import Path

import aiohttp

sys.path.insert(0, str(Path(__file__).parents[1] / "tools"))

from soak.callers import Caller  # noqa: E402
from soak.world import GRACE_S, World  # noqa: E402

#: Requests sent while the gateway's output is not read. Their log lines take several
#: times the 64 KiB that a pipe holds, so a blocking write would stop the gateway.
REQUESTS = 600


class UnreadOutputWorld(World):
    """World whose gateways write their output to pipes that are never read."""

    def spawn(self, name: str, command: list[str]) -> subprocess.Popen:
        """Start a process, with a gateway's output going to a pipe."""
        if not name.startswith("gateway"):
            return super().spawn(name, command)
        proc = subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
        )
        self.processes[name], self.commands[name] = proc, command
        return proc


class ProcessTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = await UnreadOutputWorld(random.Random(1)).__aenter__()
        await self.world.start()
        self.addAsyncCleanup(self.stop)

    async def stop(self):
        await self.world.stop()
        for proc in self.world.processes.values():
            proc.stdout.close()
        await self.world.__aexit__()

    async def test_unread_output_does_not_block_requests(self):
        gateway = self.world.gateways[0]
        caller = Caller(self.world, gateway, random.Random(1))
        credential = next(iter(self.world.credentials))
        async with aiohttp.ClientSession() as session:
            for _ in range(REQUESTS // 20):
                results = await asyncio.gather(
                    *(caller.request(session, "safe", credential) for _ in range(20))
                )
                self.assertEqual({r.status for r in results}, {200})
        self.assertTrue(await self.world.is_ready(gateway))

    async def test_mixed_sighup_and_sigterm_end_in_exit_code_zero(self):
        gateway = self.world.gateways[0]
        proc = self.world.processes[gateway.name]
        for signum in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            proc.send_signal(signum)
        async with asyncio.timeout(GRACE_S):
            while proc.poll() is None:
                await asyncio.sleep(0.05)
        self.assertEqual(proc.returncode, 0)


if __name__ == "__main__":
    unittest.main()

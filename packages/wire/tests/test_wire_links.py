import asyncio
import time
import unittest

from builders import make_heartbeat
from slatehoist.wire import (
    Link,
    LinkDownError,
    LinkServer,
    decode,
    heartbeat_interval_s,
)


async def echo(peer: str, body: bytes) -> str:
    return decode(body, str)


class LinkTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = LinkServer("127.0.0.1:0", {"echo": echo}, make_heartbeat)
        self.server.start()
        self.heartbeat_received = asyncio.Event()
        self.down = asyncio.Event()
        self.link = Link(
            self.server.address,
            make_heartbeat,
            time.monotonic,
            on_heartbeat=lambda heartbeat: self.heartbeat_received.set(),
            on_down=self.down.set,
            interval_s=0.1,
        )
        self.link.start()

    async def asyncTearDown(self):
        await self.link.close()
        await self.server.close()

    async def test_question_is_answered(self):
        await self.heartbeat_received.wait()
        self.assertEqual(await self.link.ask("echo", "hello", str), "hello")

    async def test_question_of_unknown_kind_times_out(self):
        await self.heartbeat_received.wait()
        with self.assertRaises(LinkDownError):
            await self.link.ask("nothing", "hello", str, 0.2)

    async def test_closed_server_is_reported_as_down(self):
        await self.heartbeat_received.wait()
        await self.server.close()
        await asyncio.wait_for(self.down.wait(), 10)


class HeartbeatIntervalTests(unittest.TestCase):
    def test_interval_grows_with_the_number_of_links(self):
        self.assertEqual(heartbeat_interval_s(10), 1.0)
        self.assertAlmostEqual(128 / heartbeat_interval_s(128), 30.0)

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
        self.heard = asyncio.Event()
        self.down = asyncio.Event()
        self.link = Link(
            self.server.address,
            make_heartbeat,
            time.monotonic,
            on_heartbeat=lambda beat: self.heard.set(),
            on_down=self.down.set,
            interval_s=0.1,
        )
        self.link.start()

    async def asyncTearDown(self):
        await self.link.close()
        await self.server.close()

    async def test_questions_are_answered(self):
        await self.heard.wait()
        self.assertEqual(await self.link.ask("echo", "hello", str), "hello")

    async def test_unknown_question_fails_by_timeout(self):
        await self.heard.wait()
        with self.assertRaises(LinkDownError):
            await self.link.ask("nothing", "hello", str, 0.2)

    async def test_a_peer_that_is_gone_is_noticed(self):
        await self.heard.wait()
        await self.server.close()
        await asyncio.wait_for(self.down.wait(), 10)


class HeartbeatIntervalTests(unittest.TestCase):
    def test_many_links_beat_more_slowly(self):
        self.assertEqual(heartbeat_interval_s(10), 1.0)
        self.assertAlmostEqual(128 / heartbeat_interval_s(128), 30.0)

"""Tests of servers whose bytes come without end, in a head or in a body."""

import asyncio
import time
import unittest

import aiohttp

from gateway_world import GatewayTestCase
from slatehoist.http import strict_connector
from slatehoist_standins.deployment_server import ENDLESS

#: Bytes of a response that may arrive before it is given up: the largest body that is
#: accepted, what sockets buffer, and some reads.
MAX_ACCEPTED_BYTES = 16 * 1024 * 1024
#: Seconds until the final answer: the routes' timeout and some slack.
MAX_ANSWER_S = 2.2


class EndlessTests(GatewayTestCase):
    # Guards against a gateway whose memory is used up, or that is kept busy, by a
    # server that sends a head or a body without end.
    async def test_endless_response_ends_with_a_failure_and_little_of_it_is_read(self):
        for behaviour in ENDLESS:
            for path in ("/safe/", "/unsafe/", "/stream/", "/once/"):
                with self.subTest(behaviour=behaviour, path=path):
                    await self.check_is_given_up(behaviour, path)

    async def check_is_given_up(self, behaviour: str, path: str) -> None:
        world = await self.start_world([behaviour])
        await world.caller_session.close()
        world.caller_session = aiohttp.ClientSession(connector=strict_connector())
        began = time.monotonic()
        try:
            async with world.call(path) as resp:
                self.assertIn(resp.status, (200, 502, 504))
                await resp.read()
                self.assertNotEqual(resp.status, 200)
        except aiohttp.ClientError:
            # The answer had begun and was broken off.
            pass
        self.assertLess(time.monotonic() - began, MAX_ANSWER_S)
        self.assertLess(world.servers[0].endless_bytes, MAX_ACCEPTED_BYTES)

    async def test_caller_that_does_not_read_holds_back_an_endless_stream(self):
        world = await self.start_world(["endless_chunks"])
        async with world.call("/once/", read_bufsize=1024) as resp:
            self.assertEqual(resp.status, 200)
            await asyncio.sleep(1.0)
        self.assertLess(world.servers[0].endless_bytes, MAX_ACCEPTED_BYTES)

    async def test_other_requests_are_served_meanwhile(self):
        world = await self.start_world(["endless_informational", "ok"], copies=1)
        task = asyncio.create_task(self.check_status(world, "/unsafe/", (502, 504)))
        await self.wait_until(lambda: world.servers[0].endless_bytes > 0)
        began = time.monotonic()
        await self.check_status(world, "/safe/", (200,))
        self.assertLess(time.monotonic() - began, 0.5)
        await task

    async def check_status(self, world, path: str, expected: tuple[int, ...]) -> None:
        async with world.call(path) as resp:
            self.assertIn(resp.status, expected)


if __name__ == "__main__":
    unittest.main()

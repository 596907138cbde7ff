"""Tests of servers whose bytes come without end, in a head or in a body."""

import asyncio
import time
import unittest

import aiohttp
from adapter.ranks import HttpRank
from adapter.store import PlatformTable

from endless_server import MAX_ACCEPTED_BYTES, EndlessServer
from gateway_world import GatewayTestCase, GatewayWorld
from slatehoist.http import strict_connector
from slatehoist.maps import Answer, RankUnreachableError
from slatehoist.storage import StoreDownError
from slatehoist_standins.deployment_server import ENDLESS

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
        # Each world is stopped at once: idle gateways would delay the next one.
        world = await GatewayWorld().start([behaviour])
        try:
            await self.wait_until(lambda: world.gateway.ready)
            await world.caller_session.close()
            world.caller_session = aiohttp.ClientSession(connector=strict_connector())
            await self.check_call_is_given_up(world, path)
        finally:
            await world.stop()

    async def check_call_is_given_up(self, world: GatewayWorld, path: str) -> None:
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


class ClientTests(unittest.IsolatedAsyncioTestCase):
    # Guards against a store or a rank whose answers without end fill the memory of a
    # gateway or an agent.
    async def test_endless_answers_of_store_and_rank_fail_and_little_is_read(self):
        for kind in ENDLESS:
            with self.subTest(kind=kind):
                server = EndlessServer(kind)
                await server.start()
                self.addAsyncCleanup(server.stop)
                session = aiohttp.ClientSession(connector=strict_connector())
                self.addAsyncCleanup(session.close)
                rank = HttpRank(server.address, session)
                began = time.monotonic()
                with self.assertRaises(StoreDownError):
                    await PlatformTable(server.address, session).get("t", "k")
                with self.assertRaises(RankUnreachableError):
                    await rank.report()
                self.assertIs(await rank.hold(1, 2), Answer.UNKNOWN)
                self.assertLess(time.monotonic() - began, 2.0)
                self.assertLess(server.sent_bytes, 3 * MAX_ACCEPTED_BYTES)


if __name__ == "__main__":
    unittest.main()

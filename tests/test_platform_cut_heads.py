"""Tests of servers that end the connection within the head of a response."""

import unittest

import aiohttp

from gateway_world import GatewayTestCase, GatewayWorld
from slatehoist.http import strict_connector
from slatehoist_standins.deployment_server import Arrival

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
PATHS = ("/safe/", "/unsafe/", "/stream/", "/once/")
REQUEST_ID = "0123456789abcdef"


class CutHeadTests(GatewayTestCase):
    async def start_world(self, *behaviours, **settings) -> GatewayWorld:
        """Start a world whose callers tell a broken response from a whole one."""
        world = await super().start_world(*behaviours, **settings)
        await world.caller_session.close()
        world.caller_session = aiohttp.ClientSession(connector=strict_connector())
        return world

    def measure_head(self, world: GatewayWorld, path: str) -> int:
        """Return the length of the head of a whole response."""
        headers = {"Request-Id": REQUEST_ID}
        if path in ("/stream/", "/once/"):
            headers["Accept"] = "text/event-stream"
        return len(world.servers[0].make_head(Arrival("GET", path, headers, b"")))

    async def check_fails(self, world: GatewayWorld, path: str) -> None:
        headers = {"Request-Id": REQUEST_ID}
        async with world.call(path, headers=headers) as resp:
            self.assertEqual(resp.status, 502)
            await resp.read()

    # Guards against a success with an empty or a short body, framed as whole, of a
    # server that stopped within the head of its response (MIXED, ORDER).
    async def test_response_cut_at_any_byte_of_its_head_is_no_success(self):
        world = await self.start_world([""], retry_allowance=1e6)
        server = world.servers[0]
        for behaviour in ("cut_head", "reset_head"):
            for path in PATHS:
                for server.head_prefix in (b"", CONTINUE):
                    for server.head_bytes in range(self.measure_head(world, path)):
                        server.behaviours = [behaviour]
                        with self.subTest(
                            behaviour=behaviour,
                            path=path,
                            prefix=server.head_prefix,
                            bytes=server.head_bytes,
                        ):
                            await self.check_fails(world, path)

    # The response before it left the connection open, as it was whole.
    async def test_cut_head_on_a_kept_connection_is_no_success(self):
        world = await self.start_world(["ok"], retry_allowance=1e6)
        server = world.servers[0]
        for path in PATHS:
            for server.head_bytes in range(0, self.measure_head(world, path), 3):
                server.behaviours = ["ok", "cut_head"]
                with self.subTest(path=path, bytes=server.head_bytes):
                    async with world.call(path) as resp:
                        self.assertEqual(resp.status, 200)
                        await resp.read()
                    await self.check_fails(world, path)

    async def test_repeatable_request_is_answered_by_another_server(self):
        world = await self.start_world(["cut_head"], ["ok"], retry_allowance=1e6)
        server = world.servers[0]
        for path in ("/safe/", "/stream/"):
            for server.head_bytes in range(0, self.measure_head(world, path), 7):
                with self.subTest(path=path, bytes=server.head_bytes):
                    async with world.call(path) as resp:
                        self.assertEqual(resp.status, 200)
                        self.assertNotEqual(await resp.read(), b"")

    # Guards against the end of the second response that ends the stream as whole.
    async def test_stream_whose_continuation_has_a_cut_head_does_not_look_whole(self):
        world = await self.start_world(
            ["cut", "cut_head"], copies=2, retry_allowance=1e6
        )
        shared = world.servers[0].behaviours
        for size in range(0, self.measure_head(world, "/stream/"), 3):
            shared[:] = ["cut", "cut_head"]
            for server in world.servers:
                server.head_bytes = size
            with self.subTest(bytes=size), self.assertRaises(aiohttp.ClientError):
                async with world.call("/stream/") as resp:
                    self.assertEqual(resp.status, 200)
                    await resp.read()


if __name__ == "__main__":
    unittest.main()

"""Requests that crash servers, over several gateways in front of the stand-ins."""

import asyncio
import unittest

from gateway_world import GatewayTestCase, GatewayWorld
from slatehoist.routing.crashes import MAX_CRASHES
from slatehoist_standins.deployment_server import CRASHING


class CrashTests(GatewayTestCase):
    async def send(self, world: GatewayWorld, gateway: int, body: bytes) -> int:
        async with world.call("/safe/", "POST", data=body, gateway=gateway) as resp:
            return resp.status

    async def lapse(self, world: GatewayWorld) -> None:
        """Take crashed servers off the list, and wait until all gateways know."""
        crashed = {s.server_id for s in world.servers if s.crashes}
        for name in crashed:
            world.store.remove("servers", name)
        sound = len(world.servers) - len(crashed)
        for gateway in world.gateways:
            directory = gateway.directory
            await self.until(lambda d=directory: len(d.of_service("app")) == sound)
        reports = len(crashed)
        await self.until(lambda: len(world.store.rows("crashes")) >= reports)
        # The last report is on its way to the gateways that wait for it.
        await asyncio.sleep(0.1)

    def crashes(self, world: GatewayWorld) -> int:
        return sum(server.crashes for server in world.servers)

    async def test_request_that_crashes_servers_is_stopped_at_all_gateways(self):
        world = await self.world(["ok"], copies=12)
        await world.add_gateway()
        for round_ in range(4):
            for gateway in (0, 1):
                status = await self.send(world, gateway, CRASHING)
                self.assertIn(status, (502, 503), f"round {round_}")
                await self.lapse(world)
        # The third crash may come with a second attempt that is already under way.
        self.assertLessEqual(self.crashes(world), MAX_CRASHES + 1)
        self.assertEqual(await self.send(world, 0, CRASHING), 503)

    async def test_others_are_served_meanwhile(self):
        world = await self.world(["ok"], copies=8)
        for _ in range(4):
            await self.send(world, 0, CRASHING)
            await self.lapse(world)
            self.assertEqual(await self.send(world, 0, b"sound"), 200)

    async def test_connections_that_break_are_no_crashes(self):
        world = await self.world(["reset"] * 6 + ["ok"], copies=2)
        for _ in range(4):
            await self.send(world, 0, b"sound")
        self.assertEqual(world.store.rows("crashes"), [])
        self.assertEqual(await self.send(world, 0, b"sound"), 200)


if __name__ == "__main__":
    unittest.main()

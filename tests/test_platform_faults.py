"""Gateways that are frozen or added, and clocks that step."""

import time
import unittest
from unittest import mock

from launch import boot_clock

from gateway_world import GatewayTestCase
from slatehoist.gateway import registry
from slatehoist_standins.deployment_server import DeploymentServer

#: Seconds by which the time of day jumps.
STEPS_S = (3600.0, -3600.0)


class FaultTestCase(GatewayTestCase):
    async def status(self, world, gateway=0, **fields) -> int:
        async with world.call("/safe/", gateway=gateway, **fields) as resp:
            return resp.status


class ClockTests(FaultTestCase):
    def test_time_of_day_does_not_move_the_clock(self):
        before = boot_clock()
        for step_s in STEPS_S:
            with mock.patch("time.time", lambda step=step_s: step):
                self.assertLess(abs(boot_clock() - before), 60.0)

    async def test_steps_change_neither_deadlines_nor_trust(self):
        world = await self.world()
        real = time.time
        for step_s in STEPS_S:
            with mock.patch("time.time", lambda step=step_s: real() + step):
                self.assertTrue(world.gateway.ready)
                self.assertEqual(await self.status(world), 200)
        for arrival in world.servers[0].arrivals:
            self.assertLessEqual(int(arrival.headers["Deadline-Ms"]), 1500)
            self.assertGreater(int(arrival.headers["Deadline-Ms"]), 0)


class FreezeTests(FaultTestCase):
    async def test_thawed_gateway_trusts_no_credential_that_it_knew_before(self):
        world = await self.world(revoke_s=5.0)
        self.assertEqual(await self.status(world), 200)
        world.store.fault = "silent"
        world.frozen_s += 6.0
        self.assertFalse(world.gateway.ready)
        self.assertEqual(await self.status(world), 503)
        self.assertEqual(world.arrivals(), 1)
        world.store.fault = ""
        await self.until(lambda: world.gateway.ready)
        self.assertEqual(await self.status(world), 200)

    async def test_answer_to_a_read_from_before_confirms_nothing(self):
        world = await self.world(revoke_s=5.0)
        # The wait for changes that is open now ends after the freeze.
        world.store.delay_s = 0.5
        world.frozen_s += 6.0
        self.assertEqual(await self.status(world), 503)
        world.store.delay_s = 0.0
        await self.until(lambda: world.gateway.ready)


class RecoveryTests(FaultTestCase):
    async def test_all_serve_again_after_everything_stopped(self):
        world = await self.world(["ok"], ["ok"])
        await world.add_gateway()
        for gateway in world.gateways:
            await gateway.stop()
        for number, server in enumerate(world.servers):
            await server.stop()
            world.store.remove("servers", server.server_id)
            again = DeploymentServer(f"i-again-{number}")
            await again.start()
            self.addAsyncCleanup(again.stop)
            world.store.put("servers", again.server_id, again.row("app"))
        for number in (2, 3):
            gateway = await world.add_gateway(instance=f"gateway-{number - 2}")
            await self.until(lambda g=gateway: g.ready)
            self.assertEqual(await self.status(world, gateway=number), 200)


class AddedTests(FaultTestCase):
    async def test_added_gateway_serves_and_shares_the_retry_allowance(self):
        with mock.patch.object(registry, "REGISTRY_POLL_S", 0.05):
            world = await self.world()
            added = await world.add_gateway()
            await self.until(lambda: added.ready)
            self.assertEqual(await self.status(world, gateway=1), 200)
            for gateway in world.gateways:
                forwarder = gateway._forwarder
                await self.until(
                    lambda f=forwarder: (
                        f._allowance_share._membership is not None
                        and f._allowance_share._membership.instances == 2
                    )
                )

    async def test_added_server_gets_work(self):
        world = await self.world(["hang"])
        server = DeploymentServer("i-added")
        await server.start()
        world.servers.append(server)
        world.store.put("servers", "i-added", server.row("app"))
        directory = world.gateway.directory
        await self.until(lambda: len(directory.of_service("app")) == 2)
        for _ in range(6):
            if server.arrivals:
                break
            await self.status(world)
        self.assertTrue(server.arrivals)

    async def test_server_that_moved_is_reached_at_its_new_address(self):
        world = await self.world()
        old = world.servers[0]
        moved = DeploymentServer(old.server_id)
        await moved.start()
        world.servers.append(moved)
        world.store.put("servers", old.server_id, moved.row("app"))
        directory = world.gateway.directory
        await self.until(
            lambda: directory.of_service("app")[0].address == moved.address
        )
        self.assertEqual(await self.status(world), 200)
        self.assertEqual((len(old.arrivals), len(moved.arrivals)), (0, 1))


if __name__ == "__main__":
    unittest.main()

"""Tests of clock jumps, frozen gateways, full restarts and added processes."""

import time
import unittest
from unittest import mock

from launch import boot_clock

from gateway_world import GatewayTestCase
from slatehoist.gateway import registry
from slatehoist_standins.deployment_server import DeploymentServer

#: Jumps of the time of day, in seconds.
CLOCK_JUMPS_S = (3600.0, -3600.0)


class FaultTestCase(GatewayTestCase):
    async def send_request(self, world, gateway=0, **fields) -> int:
        async with world.call("/safe/", gateway=gateway, **fields) as resp:
            return resp.status


class ClockTests(FaultTestCase):
    def test_boot_clock_ignores_jumps_of_the_time_of_day(self):
        before = boot_clock()
        for jump_s in CLOCK_JUMPS_S:
            with mock.patch("time.time", lambda jump=jump_s: jump):
                self.assertLess(abs(boot_clock() - before), 60.0)

    async def test_clock_jumps_change_neither_deadlines_nor_readiness(self):
        world = await self.start_world()
        real_time = time.time
        for jump_s in CLOCK_JUMPS_S:
            with mock.patch("time.time", lambda jump=jump_s: real_time() + jump):
                self.assertTrue(world.gateway.ready)
                self.assertEqual(await self.send_request(world), 200)
        for arrival in world.servers[0].arrivals:
            self.assertLessEqual(int(arrival.headers["Deadline-Ms"]), 1500)
            self.assertGreater(int(arrival.headers["Deadline-Ms"]), 0)


class FreezeTests(FaultTestCase):
    async def test_frozen_gateway_refuses_requests_until_it_has_read_the_store(self):
        world = await self.start_world(revoke_s=5.0)
        self.assertEqual(await self.send_request(world), 200)
        world.store.fault = "silent"
        world.frozen_s += 6.0
        self.assertFalse(world.gateway.ready)
        self.assertEqual(await self.send_request(world), 503)
        self.assertEqual(world.count_arrivals(), 1)
        world.store.fault = ""
        await self.wait_until(lambda: world.gateway.ready)
        self.assertEqual(await self.send_request(world), 200)

    async def test_read_begun_before_a_freeze_does_not_renew_credential_trust(self):
        world = await self.start_world(revoke_s=5.0)
        # A request for changes is pending during the freeze, and the store answers it
        # afterwards. This response may contain state from before the freeze, so it must
        # not renew the trust in the credentials that the gateway has.
        world.store.delay_s = 0.5
        world.frozen_s += 6.0
        self.assertEqual(await self.send_request(world), 503)
        world.store.delay_s = 0.0
        await self.wait_until(lambda: world.gateway.ready)


class RecoveryTests(FaultTestCase):
    async def test_new_gateways_and_servers_serve_after_all_were_stopped(self):
        world = await self.start_world(["ok"], ["ok"])
        await world.add_gateway()
        for gateway in world.gateways:
            await gateway.stop()
        for number, server in enumerate(world.servers):
            await server.stop()
            world.store.remove("servers", server.server_id)
            replacement = DeploymentServer(f"i-again-{number}")
            await replacement.start()
            self.addAsyncCleanup(replacement.stop)
            world.store.put("servers", replacement.server_id, replacement.row("app"))
        for number in (2, 3):
            gateway = await world.add_gateway(instance=f"gateway-{number - 2}")
            await self.wait_until(lambda g=gateway: g.ready)
            self.assertEqual(await self.send_request(world, gateway=number), 200)


class AddedProcessTests(FaultTestCase):
    async def test_added_gateway_serves_and_shares_the_retry_allowance(self):
        with mock.patch.object(registry, "REGISTRY_POLL_S", 0.05):
            world = await self.start_world()
            added = await world.add_gateway()
            await self.wait_until(lambda: added.ready)
            self.assertEqual(await self.send_request(world, gateway=1), 200)
            for gateway in world.gateways:
                forwarder = gateway._forwarder
                await self.wait_until(
                    lambda f=forwarder: (
                        f._allowance_share._membership is not None
                        and f._allowance_share._membership.instances == 2
                    )
                )

    async def test_added_server_receives_requests(self):
        world = await self.start_world(["hang"])
        server = DeploymentServer("i-added")
        await server.start()
        world.servers.append(server)
        world.store.put("servers", "i-added", server.row("app"))
        directory = world.gateway.directory
        await self.wait_until(
            lambda: len(directory.of_service("app", time.monotonic())) == 2
        )
        for _ in range(6):
            if server.arrivals:
                break
            await self.send_request(world)
        self.assertTrue(server.arrivals)

    async def test_server_with_a_new_address_is_reached_there(self):
        world = await self.start_world()
        old = world.servers[0]
        moved = DeploymentServer(old.server_id)
        await moved.start()
        world.servers.append(moved)
        world.store.put("servers", old.server_id, moved.row("app"))
        directory = world.gateway.directory
        await self.wait_until(
            lambda: (
                directory.of_service("app", time.monotonic())[0].address
                == moved.address
            )
        )
        self.assertEqual(await self.send_request(world), 200)
        self.assertEqual((len(old.arrivals), len(moved.arrivals)), (0, 1))


if __name__ == "__main__":
    unittest.main()

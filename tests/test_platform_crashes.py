"""Tests of requests that crash servers, with several gateways and stand-ins."""

import asyncio
import time
import unittest

from gateway_world import GatewayTestCase, GatewayWorld
from slatehoist.gateway.exchange import request_digest
from slatehoist.gateway.settings import CONFIG_LONG_POLL_S, GatewaySettings
from slatehoist.routing.crashes import BLOCKED_S, MAX_CRASHES
from slatehoist_standins.deployment_server import CRASH_MARKER, CRASH_PART
from slatehoist_standins.relay import Relay

#: Seconds after a fault within which a gateway must know of crashes, which is the
#: shortest time of all deployments.
NEWS_S = 3.0
#: Length of a poll for crash reports with the default settings.
CRASH_POLL_S = GatewaySettings("", "", "", "").crash_poll_s


class CrashTests(GatewayTestCase):
    async def send(self, world: GatewayWorld, gateway: int, body: bytes) -> int:
        async with world.call("/safe/", "POST", data=body, gateway=gateway) as resp:
            return resp.status

    async def remove_crashed_servers(self, world: GatewayWorld) -> None:
        """Remove crashed servers from the list in the store.

        Wait until all gateways have the new list and the crash reports.
        """
        crashed = {s.server_id for s in world.servers if s.crashes}
        for name in crashed:
            world.store.remove("servers", name)
        healthy = len(world.servers) - len(crashed)
        for gateway in world.gateways:
            directory = gateway.directory
            await self.wait_until(
                lambda d=directory: (
                    len(d.of_service("app", time.monotonic())) == healthy
                )
            )
        expected_reports = len(crashed)
        await self.wait_until(
            lambda: len(world.store.rows("crashes")) >= expected_reports
        )
        # The gateways receive the last crash report shortly after the store has it.
        await asyncio.sleep(0.1)

    def count_crashes(self, world: GatewayWorld) -> int:
        return sum(server.crashes for server in world.servers)

    async def test_request_that_crashes_servers_is_refused_by_all_gateways(self):
        world = await self.start_world(["ok"], copies=12)
        await world.add_gateway()
        for round_number in range(4):
            for gateway in (0, 1):
                status = await self.send(world, gateway, CRASH_MARKER)
                self.assertIn(status, (502, 503), f"round {round_number}")
                await self.remove_crashed_servers(world)
        # One crash more than the limit is possible: another attempt of the request may
        # already be running when the crash that reaches the limit is reported.
        self.assertLessEqual(self.count_crashes(world), MAX_CRASHES + 1)
        self.assertEqual(await self.send(world, 0, CRASH_MARKER), 503)

    # Guards against one server after the other that ends under requests which have a
    # part of their prompts in common, but are not the same request.
    async def test_requests_with_a_part_that_crashes_servers_are_refused_by_all(
        self,
    ):
        world = await self.start_world(["ok"], copies=12)
        await world.add_gateway()
        for round_number in range(4):
            for gateway in (0, 1):
                name = f"{round_number}{gateway}"
                parts = f"5e5e:90,{CRASH_PART}:40,{name}:20"
                status = await self.send_prompt(world, gateway, parts)
                self.assertIn(status, (502, 503), name)
                await self.remove_crashed_servers(world)
                sound = await self.send_prompt(world, gateway, f"5e5e:90,{name}:20")
                self.assertEqual(sound, 200, name)
        self.assertLessEqual(self.count_crashes(world), MAX_CRASHES + 1)
        parts = f"5e5e:90,{CRASH_PART}:40,last:20"
        self.assertEqual(await self.send_prompt(world, 0, parts), 503)

    async def send_prompt(self, world: GatewayWorld, gateway: int, parts: str) -> int:
        headers = {"Prompt-Prefix": parts}
        body = parts.encode()
        async with world.call(
            "/safe/", "POST", data=body, gateway=gateway, headers=headers
        ) as resp:
            return resp.status

    # A shorter delay would bring the caller back only to be refused again.
    async def test_blocked_caller_is_told_when_the_block_ends(self):
        world = await self.start_world(["ok"])
        digest = request_digest("POST", "/safe/", "team-a", CRASH_MARKER)
        for number in range(MAX_CRASHES):
            report = {"digest": digest, "crash": f"c{number}"}
            world.store.put("crashes", f"c{number}", report)
        await asyncio.sleep(NEWS_S)
        async with world.call("/safe/", "POST", data=CRASH_MARKER) as resp:
            delay_s = float(resp.headers["Retry-After"])
        self.assertGreater(delay_s, BLOCKED_S[0] - 2 * NEWS_S)
        self.assertEqual(self.count_crashes(world), 0)

    # New connections work, so neither callers nor the platform see a fault.
    async def test_report_is_read_in_time_after_store_connections_go_silent(self):
        world = await self.start_world(["ok"], copies=2)
        relay = Relay(world.store_address)
        port = await relay.start()
        self.addCleanup(relay.server.close)
        world.table.set_address(f"127.0.0.1:{port}")
        # The polls of all tables have then passed to the relay.
        await asyncio.sleep(CONFIG_LONG_POLL_S + CRASH_POLL_S)
        relay.set_mode("hole", 0.0)
        digest = request_digest("POST", "/safe/", "team-a", CRASH_MARKER)
        for number in range(MAX_CRASHES):
            report = {"digest": digest, "crash": f"c{number}"}
            world.store.put("crashes", f"c{number}", report)
        await asyncio.sleep(NEWS_S)
        self.assertEqual(await self.send(world, 0, CRASH_MARKER), 503)
        self.assertEqual(self.count_crashes(world), 0)

    async def test_other_requests_are_served_after_crashes(self):
        world = await self.start_world(["ok"], copies=8)
        for _ in range(4):
            await self.send(world, 0, CRASH_MARKER)
            await self.remove_crashed_servers(world)
            self.assertEqual(await self.send(world, 0, b"sound"), 200)

    async def test_connection_resets_are_not_reported_as_crashes(self):
        world = await self.start_world(["reset"] * 6 + ["ok"], copies=2)
        for _ in range(4):
            await self.send(world, 0, b"sound")
        self.assertEqual(world.store.rows("crashes"), [])
        self.assertEqual(await self.send(world, 0, b"sound"), 200)


if __name__ == "__main__":
    unittest.main()

"""Tests of a gateway with stand-ins: evacuated zones and regional restrictions."""

import asyncio
import logging
import time
import unittest
from unittest import mock

from gateway_world import GatewayTestCase, make_configuration, make_route
from slatehoist.gateway import GatewaySettings
from slatehoist.gateway.settings import CONFIG_LONG_POLL_S
from slatehoist_standins.deployment_server import stream_body

EVACUATION_S = GatewaySettings("", "", "", "").evacuation_s
#: Seconds for which the gateway trusts credentials longer than a silent store lasts.
REVOKE_S = 60.0


def setUpModule():
    logging.getLogger("slatehoist").setLevel(logging.CRITICAL)
    logging.getLogger("adapter").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("slatehoist").setLevel(logging.NOTSET)
    logging.getLogger("adapter").setLevel(logging.NOTSET)


class ZoneTestCase(GatewayTestCase):
    async def start_zones(self, zones: str, *behaviours, **settings):
        """Start a world with a server in each of the zones."""
        behaviours = behaviours or [["ok"] for _ in zones]
        # Its own zone has no server, so that the gateway prefers none of the zones.
        return await self.start_world(
            *behaviours, zones=zones, **{"zone": "z", "revoke_s": REVOKE_S, **settings}
        )

    async def used_zones(self, world, gateway: int = 0, calls: int = 24) -> str:
        """Send requests, and return the sorted zones of the servers that they reach."""
        counts = [len(server.arrivals) for server in world.servers]
        for _ in range(calls):
            async with world.call("/safe/", gateway=gateway) as resp:
                self.assertEqual(resp.status, 200)
        used = zip(world.servers, counts, strict=True)
        return "".join(sorted({s.zone for s, n in used if len(s.arrivals) > n}))

    async def wait_for_zones(self, world, *evacuated: str) -> None:
        """Wait until the gateway knows these zones as the evacuated ones."""
        zones = world.gateway.evacuations.zones

        def are_known() -> bool:
            return len(zones) == len(evacuated) and all(z in zones for z in evacuated)

        await self.wait_until(are_known)


class EvacuationTests(ZoneTestCase):
    # Guards against requests that reach an evacuated zone after the bound.
    async def test_evacuation_takes_effect_within_its_bound(self):
        world = await self.start_zones("aabb")
        self.assertEqual(await self.used_zones(world), "ab")
        world.store.evacuate("b")
        began = time.monotonic()
        while await self.used_zones(world, calls=8) != "a":
            pass
        self.assertLess(time.monotonic() - began, EVACUATION_S / 2)
        self.assertEqual(await self.used_zones(world), "a")
        world.store.restore_zone("b")
        await self.wait_for_zones(world)
        self.assertEqual(await self.used_zones(world), "ab")

    async def test_zone_stays_evacuated_while_the_store_is_silent(self):
        world = await self.start_zones("ab")
        world.store.evacuate("b")
        await self.wait_for_zones(world, "b")
        world.store.fault = "silent"
        # The poll that has already reached the store ends within this time.
        await asyncio.sleep(CONFIG_LONG_POLL_S + 0.2)
        world.store.restore_zone("b")
        await asyncio.sleep(2.5)
        self.assertEqual(await self.used_zones(world), "a")
        world.store.fault = ""
        await self.wait_for_zones(world)
        self.assertEqual(await self.used_zones(world), "ab")

    # Guards against changes of zones that are missed, since the gateway read a feed
    # which no longer has them.
    async def test_lost_history_and_an_older_era_lead_to_a_snapshot(self):
        world = await self.start_zones("abc")
        world.store.evacuate("a")
        await self.wait_for_zones(world, "a")
        copy = world.store.copy()
        world.store.fault = "down"
        await asyncio.sleep(0.2)
        world.store.restore_zone("a")
        world.store.evacuate("b")
        world.store.compact()
        world.store.fault = ""
        await self.wait_for_zones(world, "b")
        self.assertEqual(await self.used_zones(world), "ac")
        world.store.restore(copy)
        await self.wait_for_zones(world, "a")
        self.assertEqual(await self.used_zones(world), "bc")

    async def test_gateway_that_starts_during_an_evacuation_obeys_it(self):
        world = await self.start_zones("abc")
        world.store.evacuate("a")
        world.store.evacuate("b")
        gateway = await world.add_gateway(zone="b", revoke_s=REVOKE_S)
        await self.wait_until(lambda: gateway.ready)
        self.assertEqual(await self.used_zones(world, gateway=1), "c")

    async def test_broken_stream_resumes_outside_the_evacuated_zone(self):
        world = await self.start_zones("abb", ["ok"], ["cut"], ["cut"], zone="b")
        for server in world.servers:
            server.event_pause_s = 0.12
        async with world.call("/stream/", "POST", data=b"x") as resp:
            body = await resp.content.readany()
            world.store.evacuate("b")
            await self.wait_for_zones(world, "b")
            body += await resp.content.read()
        self.assertEqual(body, stream_body())
        first, *others = (len(server.arrivals) for server in world.servers)
        self.assertEqual((first, sum(others)), (1, 1))

    async def test_service_without_a_server_elsewhere_is_refused_as_not_run(self):
        world = await self.start_zones("bb")
        world.store.evacuate("b")
        await self.wait_for_zones(world, "b")
        async with world.call("/safe/") as resp:
            self.assertEqual(resp.status, 503)
            self.assertGreaterEqual(float(resp.headers["Retry-After"]), 5.0)
        self.assertEqual(world.count_arrivals(), 0)

    # Guards against requests that a process which stood still for longer than the bound
    # sends by the zones that it knew before.
    async def test_gateway_that_stood_still_reads_the_zones_first(self):
        # No read of the list of endpoints is due, for which requests wait, too.
        world = await self.start_zones("ab", drain_s=60.0)
        self.assertEqual(await self.used_zones(world), "ab")
        read_changes = world.table.changes

        async def read_late(*args):
            feed = await read_changes(*args)
            await asyncio.sleep(0.15)
            return feed

        with mock.patch.object(world.table, "changes", read_late):
            await asyncio.sleep(CONFIG_LONG_POLL_S + 0.2)
            world.frozen_s += EVACUATION_S + 1.0
            world.store.evacuate("b")
            self.assertEqual(await self.used_zones(world), "a")


class RegionTests(ZoneTestCase):
    # Guards against requests that run outside the regions of their route or team.
    async def test_regions_of_route_and_tenant_are_binding(self):
        regions = {"a": "north", "b": "north", "c": "south"}
        world = await self.start_zones("abc", zone_regions=regions)
        cases = [
            (["north"], None, "ab"),
            ([], ["south"], "c"),
            (["north", "south"], ["south", "west"], "c"),
            # An invalid list leaves the last valid one in force.
            ("north", ["south", ""], "c"),
        ]
        for version, (route, tenant, zones) in enumerate(cases, 2):
            with self.subTest(route=route, tenant=tenant):
                await self.restrict(world, version, route, tenant)
                self.assertEqual(await self.used_zones(world), zones)
        await self.restrict(world, 9, ["north"], ["south"])
        count = world.count_arrivals()
        async with world.call("/safe/") as resp:
            self.assertEqual(resp.status, 503)
            self.assertNotIn("Retry-After", resp.headers)
        self.assertEqual(world.count_arrivals(), count)

    async def restrict(self, world, version: int, route, tenant) -> None:
        """Publish a configuration with regions, and wait until it is in force."""
        routes = [make_route("safe", "/safe/", "safe", "app", allowedRegions=route)]
        doc = make_configuration(version, routes=routes)
        doc["tenants"][0]["allowedRegions"] = tenant
        world.store.put("op", "config", doc)
        await self.wait_until(lambda: world.gateway.catalogue.version == version)


if __name__ == "__main__":
    unittest.main()

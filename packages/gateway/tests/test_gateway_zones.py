"""Tests of evacuated zones and regional restrictions at a gateway, without a network.

The rule: some seconds after the operator has evacuated a zone, and until the zone is
restored, no request reaches its servers.
"""

import asyncio
import logging
import random
import time
import unittest

from gateway_builders import make_configuration, make_endpoint, make_engine
from reply_world import EVENT_STREAM, ScriptedReply, make_events
from zone_world import ZoneWorld

from slatehoist.gateway import Kind, Service, Team
from slatehoist.gateway.settings import GatewaySettings

REGIONS = {"a": "north", "b": "north", "c": "south"}
NOT_RUN = {"Not-Run": "1"}
EVACUATION_S = GatewaySettings("", "", "", "").evacuation_s


def setUpModule():
    logging.getLogger("slatehoist").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("slatehoist").setLevel(logging.NOTSET)


def retry_after(answer) -> float | None:
    """Return the seconds of backoff that an answer names, or None."""
    lines = answer.head.split("\r\n")
    values = [line.split(": ")[1] for line in lines if line.startswith("Retry-After")]
    return None if values == ["None"] else float(values[0])


class ZoneTestCase(unittest.IsolatedAsyncioTestCase):
    def make_world(self, *replies, **fields) -> ZoneWorld:
        return ZoneWorld(*replies, **{"kind": Kind.SAFE, **fields})


class EvacuationTests(ZoneTestCase):
    # Guards against requests to the servers of a zone that the operator evacuated.
    async def test_evacuated_zone_gets_no_requests_until_it_is_restored(self):
        world = self.make_world()
        async with world.running():
            self.assertEqual(await world.used_zones(), "abc")
            world.source.evacuate("b")
            await world.settle()
            self.assertEqual(await world.used_zones(), "ac")
            world.source.restore("b")
            await world.settle()
            self.assertEqual(await world.used_zones(), "abc")

    async def test_zones_are_evacuated_together_and_one_after_the_other(self):
        world = self.make_world()
        async with world.running():
            world.source.evacuate("a", "b")
            await world.settle()
            self.assertEqual(await world.used_zones(), "c")
            world.source.restore("a")
            await world.settle()
            self.assertEqual(await world.used_zones(), "ac")
            world.source.evacuate("c")
            world.source.restore("b")
            await world.settle()
            self.assertEqual(await world.used_zones(), "ab")
            world.source.evacuate("a")
            await world.settle()
            self.assertEqual(await world.used_zones(), "b")

    # Guards against a zone that is restored by a gateway which cannot read the store,
    # for example since its state expired.
    async def test_zone_stays_evacuated_while_the_store_is_unavailable(self):
        for fault in ("down", "silent"):
            with self.subTest(fault=fault):
                world = self.make_world()
                async with world.running():
                    world.source.evacuate("b")
                    await world.settle()
                    world.source.fault = fault
                    world.source.restore("b")
                    world.now += 300.0
                    await world.settle()
                    self.assertEqual(await world.used_zones(), "ac")
                    world.source.fault = ""
                    await world.settle()
                    self.assertEqual(await world.used_zones(), "abc")

    # Guards against changes that are missed, since the store dropped its history while
    # the gateway did not reach it.
    async def test_snapshot_replaces_the_zones_after_lost_history(self):
        world = self.make_world()
        async with world.running():
            world.source.evacuate("b")
            await world.settle()
            world.source.fault = "down"
            await world.settle()
            world.source.restore("b")
            world.source.evacuate("c")
            world.source.lose_history()
            world.source.fault = ""
            await world.settle()
            self.assertEqual(await world.used_zones(), "ab")

    # Guards against an order of changes and faults that leaves a gateway with other
    # zones than the store has, or with fewer while it reads nothing.
    async def test_gateway_agrees_with_the_store_after_drawn_changes_and_faults(self):
        for seed in range(12):
            with self.subTest(seed=seed):
                await self.check_drawn_changes(random.Random(seed))

    async def check_drawn_changes(self, rng: random.Random) -> None:
        world = self.make_world()
        known = world.evacuations.zones
        expected = set()
        async with world.running():
            for _ in range(12):
                action = rng.choice(
                    ("evacuate", "evacuate", "restore", "lose", "fault")
                )
                zone = rng.choice("abc")
                if action == "evacuate":
                    world.source.evacuate(zone)
                    expected.add(zone)
                elif action == "restore":
                    world.source.restore(zone)
                    expected.discard(zone)
                elif action == "lose":
                    world.source.lose_history()
                else:
                    world.source.fault = rng.choice(("", "down", "silent"))
                    before = {z for z in "abc" if z in known}
                    await world.settle()
                    if world.source.fault:
                        self.assertLessEqual(before, {z for z in "abc" if z in known})
                await asyncio.sleep(rng.choice((0.0, 0.0, 0.002)))
            world.source.fault = ""
            await world.settle()
            self.assertEqual({z for z in "abc" if z in known}, expected)
            used = await world.used_zones()
        self.assertEqual(used, "".join(sorted(set("abc") - expected)) or "-")

    # Guards against requests that a starting gateway sends before it knows the zones.
    async def test_gateway_that_starts_serves_nothing_before_it_knows_the_zones(self):
        world = self.make_world()
        world.source.evacuate("b")
        answer = await world.call_answered()
        self.assertTrue(answer.head.startswith("HTTP/1.1 503"), answer.head)
        self.assertEqual(world.upstream.requests, [])
        async with world.running():
            self.assertEqual(await world.used_zones(), "ac")

    # Guards against a short restoration that is taken from an outdated row.
    async def test_row_that_is_removed_and_set_between_two_reads_stays_in_force(self):
        world = self.make_world()
        restored = []
        world.evacuations.on_restored = lambda zone, now: restored.append(zone)
        async with world.running():
            world.source.evacuate("b")
            await world.settle()
            world.source.fault = "down"
            await world.settle()
            world.source.restore("b")
            world.source.evacuate("b")
            world.source.fault = ""
            await world.settle()
            self.assertEqual(await world.used_zones(), "ac")
        self.assertEqual(restored, [])

    # Guards against servers that are taken for warm, since their zone was evacuated
    # and restored between two reads.
    async def test_restoration_is_announced_also_after_a_short_evacuation(self):
        world = self.make_world()
        restored = []
        world.evacuations.on_restored = lambda *args: restored.append(args)
        async with world.running():
            world.source.evacuate("b")
            await world.settle()
            world.now += 7.0
            world.source.restore("b")
            await world.settle()
            world.now += 1.0
            world.source.evacuate("c")
            world.source.restore("c")
            await world.settle()
        self.assertEqual(restored, [("b", 107.0), ("c", 108.0)])
        self.assertEqual(world.evacuations.zones.restored_at("c"), 108.0)

    async def test_retry_avoids_an_evacuated_zone(self):
        shed = ScriptedReply(b"", "length", status=503, headers=NOT_RUN)
        whole = ScriptedReply(b"whole", "length", headers={})
        world = self.make_world(shed, whole, zones="abb")
        async with world.running():
            shed.on_read = lambda: None
            world.source.evacuate("b")
            await world.settle()
            answer = await world.call()
        # The only endpoint left has refused the request.
        self.assertTrue(answer.head.startswith("HTTP/1.1 503"), answer.head)
        self.assertEqual(len(world.upstream.requests), 1)
        self.assertLess(retry_after(answer), 1.0)

    # Guards against a stream that resumes in the zone which it was to leave.
    async def test_broken_stream_resumes_in_another_zone(self):
        for _ in range(10):
            first = ScriptedReply(make_events(1, 3), "chunked", breaks=True)
            rest = ScriptedReply(make_events(4, 6), "chunked", headers=EVENT_STREAM)
            world = self.make_world(
                first, rest, kind=Kind.STREAM, resumable=True, zones="aaabbb"
            )
            async with world.running():

                def evacuate(world=world) -> None:
                    zone = world.zone_of(world.upstream.requests[0].address)
                    world.evacuations.update([zone], [], world.now)

                first.on_read = evacuate
                answer = await world.call()
            self.assertTrue(answer.looks_complete)
            used = [world.zone_of(req.address) for req in world.upstream.requests]
            self.assertEqual(sorted(used), ["a", "b"])

    async def test_stream_in_an_evacuated_zone_runs_to_its_end(self):
        reply = ScriptedReply(make_events(1, 3), "chunked")
        world = self.make_world(reply, kind=Kind.STREAM, zones="a")
        async with world.running():
            reply.on_read = lambda: world.evacuations.update(["a"], [], world.now)
            answer = await world.call()
        self.assertTrue(answer.looks_complete)
        self.assertEqual(len(world.upstream.requests), 1)


class NoEndpointTests(ZoneTestCase):
    # Guards against callers that wait, or come back too soon, where all endpoints of
    # their service are in the evacuated zone.
    async def test_request_without_an_endpoint_is_refused_at_once_as_not_run(self):
        world = self.make_world(zones="bb")
        service = Service("app", make_engine())
        world.source.cfg = make_configuration(
            1, routes=(world.route,), services=(service,)
        )
        # The group of the endpoints is forming, for which requests wait otherwise.
        for name in ("e1", "e2"):
            world.health.observe_status(name, False, 1.0, world.now)
        async with world.running():
            world.source.evacuate("b")
            await world.settle()
            began = time.monotonic()
            answer = await world.call_answered()
        self.assertLess(time.monotonic() - began, 0.2)
        self.assertTrue(answer.head.startswith("HTTP/1.1 503"), answer.head)
        self.assertGreaterEqual(retry_after(answer), 5.0)
        self.assertEqual(world.upstream.requests, [])

    async def test_service_with_endpoints_in_other_zones_is_served(self):
        world = self.make_world(zones="bb")
        endpoints = [make_endpoint("e1", zone="b"), make_endpoint("e2", service="x")]
        world.directory.update(endpoints, world.now)
        async with world.running():
            world.source.evacuate("a")
            await world.settle()
            self.assertEqual(await world.used_zones(4), "b")

    # Guards against rows with a typing error that evacuate nothing, unnoticed, and
    # against a log line with each read.
    async def test_zone_that_no_endpoint_has_is_logged_once_and_has_no_effect(self):
        logger = logging.getLogger("slatehoist.gateway.evacuations")
        logger.setLevel(logging.INFO)
        self.addCleanup(logger.setLevel, logging.NOTSET)
        world = self.make_world()
        with self.assertLogs(logger, "INFO") as logs:
            async with world.running():
                world.source.evacuate("bb")
                for _ in range(3):
                    await world.settle()
                self.assertEqual(await world.used_zones(), "abc")
                world.source.evacuate("b")
                await world.settle()
                world.source.restore("b", "bb")
                await world.settle()
        self.assertEqual(
            [(record.msg, record.zone) for record in logs.records],
            [
                ("zone_evacuated", "bb"),
                ("evacuated_zone_unknown", "bb"),
                ("zone_evacuated", "b"),
                ("zone_restored", "b"),
                ("zone_restored", "bb"),
            ],
        )

    # Guards against a warning about each evacuated zone of a gateway that has not read
    # the list of endpoints yet.
    async def test_zone_is_not_unknown_before_the_list_was_read(self):
        world = self.make_world()
        world.directory.updated_at = None
        logger = logging.getLogger("slatehoist.gateway.evacuations")
        logger.setLevel(logging.WARNING)
        self.addCleanup(logger.setLevel, logging.NOTSET)
        with self.assertNoLogs(logger, "WARNING"):
            async with world.running():
                world.source.evacuate("b")
                await world.settle()
                world.directory.updated_at = world.now
                await world.settle()


class StandstillTests(ZoneTestCase):
    async def read(self, world: ZoneWorld, *evacuated: str) -> None:
        """Let the result of a read arrive after some rounds of the loop."""
        for _ in range(10):
            await asyncio.sleep(0)
        world.evacuations.replace(evacuated, world.now)

    # Guards against requests that are sent by zones which are older than the bound,
    # since the process stood still and handles them before the read that is due.
    async def test_request_waits_for_zones_that_are_overdue(self):
        for zone in "abc":
            with self.subTest(evacuated=zone):
                world = self.make_world()
                async with world.running():
                    self.assertEqual(await world.used_zones(), "abc")
                for _ in range(12):
                    await self.read(world)
                    world.now += EVACUATION_S
                    await asyncio.gather(world.call_answered(), self.read(world, zone))
                    address = world.upstream.requests[-1].address
                    self.assertNotEqual(world.zone_of(address), zone)

    # Guards against zones that count as current after a long poll whose answer was made
    # before the process stood still, and against a pause before the next read.
    async def test_read_during_a_standstill_is_repeated_without_a_wait(self):
        for fault in ("", "silent"):
            with self.subTest(fault=fault):
                wait_s, was_overdue = await self.next_poll(fault)
                self.assertEqual(wait_s, 0.0)
                self.assertTrue(was_overdue)

    async def next_poll(self, fault: str) -> tuple[float, bool]:
        """Return the wait of the poll after a standstill during a poll with a fault.

        Return also whether the zones were overdue when it began.
        """
        world = self.make_world()
        polls = []

        def record_poll() -> None:
            is_overdue = world.evacuations.is_overdue(world.now)
            polls.append((world.source.waits[-1], is_overdue))

        async with world.running():
            self.assertGreater(world.source.waits[-1], 0.0)
            world.source.on_poll = record_poll
            world.source.fault = fault
            world.now += EVACUATION_S
            while not polls:
                await asyncio.sleep(0.001)
        return polls[0]

    async def test_request_does_not_wait_while_the_store_is_unavailable(self):
        world = self.make_world()
        async with world.running():
            world.source.fault = "down"
            await world.settle()
        world.now += EVACUATION_S
        began = time.monotonic()
        answer = await world.call_answered()
        self.assertLess(time.monotonic() - began, 0.1)
        self.assertTrue(answer.head.startswith("HTTP/1.1 200"), answer.head)


class RegionTests(ZoneTestCase):
    def make_restricted(self, route=(), team=(), **fields) -> ZoneWorld:
        world = self.make_world(
            zone_regions=REGIONS, regions=route, public=False, **fields
        )
        teams = (Team("t", ("key",), regions=team),)
        cfg = make_configuration(1, routes=(world.route,), teams=teams)
        world.catalogue.offer(cfg)
        world.catalogue.confirm(world.now)
        return world

    # Guards against requests that leave the regions to which their route or their team
    # is bound.
    async def test_restrictions_of_route_and_team_are_binding(self):
        cases = {
            "abc": [((), ())],
            "ab": [
                (("north",), ()),
                ((), ("north",)),
                (("north",), ("south", "north")),
            ],
            "c": [(("south",), ()), (("north", "south"), ("south",))],
            "-": [(("north",), ("south",)), (("east",), ())],
        }
        for zones, restrictions in cases.items():
            for route, team in restrictions:
                with self.subTest(route=route, team=team):
                    world = self.make_restricted(route, team)
                    self.assertEqual(await world.used_zones(), zones)

    async def test_public_route_is_not_bound_by_a_team(self):
        world = self.make_world(zone_regions=REGIONS, regions=("south",))
        team = Team("t", ("key",), regions=("north",))
        cfg = make_configuration(1, routes=(world.route,), teams=(team,))
        world.catalogue.offer(cfg)
        self.assertEqual(await world.used_zones(), "c")

    # Guards against retries that cannot succeed, and against callers that do not come
    # back although a zone will be restored.
    async def test_only_an_evacuation_lets_the_caller_retry(self):
        world = self.make_restricted(route=("south",))
        world.evacuations.update(["c"], [], world.now)
        answer = await world.call_answered()
        self.assertGreaterEqual(retry_after(answer), 5.0)
        world.evacuations.update([], ["c"], world.now)
        self.assertEqual(await world.used_zones(), "c")
        world = self.make_restricted(route=("east",))
        answer = await world.call_answered()
        self.assertTrue(answer.head.startswith("HTTP/1.1 503"), answer.head)
        self.assertIsNone(retry_after(answer))

    async def test_retry_stays_in_the_region(self):
        shed = [
            ScriptedReply(b"", "length", status=503, headers=NOT_RUN) for _ in range(3)
        ]
        world = self.make_restricted(route=("south",), max_attempts=9, zones="abcc")
        world.upstream.replies = shed
        await world.call()
        used = [world.zone_of(req.address) for req in world.upstream.requests]
        self.assertEqual(used, ["c", "c"])


if __name__ == "__main__":
    unittest.main()

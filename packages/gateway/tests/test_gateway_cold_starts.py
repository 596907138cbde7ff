"""Tests that cold endpoints get no more requests than they tolerate."""

import logging
import unittest

from cold_world import (
    BOUND,
    COLD_S,
    QUEUE,
    SERVICE,
    SLOTS,
    ColdGateway,
    ColdWorld,
)
from gateway_builders import make_endpoint
from reply_world import ReplyWorld, ScriptedReply

from slatehoist.gateway import Kind, Service
from slatehoist.gateway.settings import REGISTRY_POLL_S, REGISTRY_PROPAGATION_S

#: Seconds after which gateways that start together have their shares.
COUNTED_S = REGISTRY_POLL_S + REGISTRY_PROPAGATION_S


def setUpModule():
    logging.getLogger("slatehoist").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("slatehoist").setLevel(logging.NOTSET)


class ColdTestCase(unittest.IsolatedAsyncioTestCase):
    def restart(self, world: ColdWorld, count: int, tells: bool = True) -> list:
        """Let the first servers restart now, cold."""
        servers = list(world.servers.values())[:count]
        for server in servers:
            server.tells = tells
            server.become_cold(world.now, restarts=True)
        return servers

    def count_arrivals(self, servers: list, start: float, end: float) -> int:
        return sum(start <= at < end for s in servers for at in s.arrivals)

    def check_bound(self, world: ColdWorld) -> None:
        self.assertLessEqual(world.find_worst_second(), BOUND)


class FleetTests(ColdTestCase):
    # Guards against cold servers that crash under the load of a whole zone's return,
    # and against warm ones that are overloaded since the others get too little.
    async def test_servers_that_return_cold_take_their_part_within_seconds(self):
        for gateways in (1, 6, 16, 21, 45):
            with self.subTest(gateways=gateways):
                world = ColdWorld(gateways)
                await world.run(4.0)
                back = self.restart(world, 24)
                started_at = world.now
                await world.run(1.0)
                others = [s for s in world.servers.values() if s not in back]
                for _ in range(10):
                    await world.run(0.2)
                    self.assertLessEqual(max(s.load for s in others), 3 * SLOTS)
                await world.run(1.0)
                self.check_bound(world)
                arrived = self.count_arrivals(back, started_at + 1.0, world.now)
                fair = world.rate * 3.0 * len(back) / len(world.servers)
                self.assertGreater(arrived, 0.7 * fair)
                self.assertEqual(world.refused, 0)
                self.assertEqual(sum(s.refused for s in world.servers.values()), 0)

    # Guards against shares that exceed the bound since each is at least one request.
    async def test_bound_is_kept_by_many_gateways(self):
        for gateways in (300, 1000):
            with self.subTest(gateways=gateways):
                world = ColdWorld(gateways, servers=12, rate=400.0)
                self.restart(world, 4)
                await world.run(2.0)
                self.check_bound(world)

    # Guards against a newcomer that gets the requests of all gateways at once, as each
    # of them finds it the least loaded.
    async def test_newcomer_among_loaded_servers_stays_within_the_bound(self):
        worst = {}
        for service in (SERVICE, Service("app")):
            world = ColdWorld(16, rate=600.0, service=service)
            await world.run(4.0)
            newcomer = world.add_server(is_cold=True)
            await world.run(3.0)
            worst[service.cold_rate] = world.find_worst_second()
            self.assertGreater(len(newcomer.arrivals), SLOTS)
        self.assertLessEqual(worst[SERVICE.cold_rate], BOUND)
        # Without the limit this traffic exceeds the bound.
        self.assertGreater(worst[0.0], BOUND)

    # Guards against a server that crashes in the time until gateways learn that it has
    # become cold, or that never states it.
    async def test_server_that_becomes_cold_without_notice_stays_within_the_bound(self):
        for rate, gateways, loses_work in (
            (126.0, 16, False),
            (600.0, 16, False),
            (600.0, 16, True),
            (600.0, 45, True),
        ):
            with self.subTest(rate=rate, gateways=gateways, loses_work=loses_work):
                world = ColdWorld(gateways, rate=rate)
                await world.run(4.0)
                for number, server in enumerate(list(world.servers.values())[:2]):
                    server.tells = number == 0
                    server.become_cold(world.now, loses_work=loses_work)
                await world.run(2.0)
                self.check_bound(world)

    # Guards against callers that wait or are lost although another gateway has a share
    # left, and against shares that stay unused.
    async def test_request_is_refused_for_another_gateway_if_all_servers_are_cold(self):
        world = ColdWorld(16, servers=3, rate=20.0)
        await world.run(2.0)
        servers = self.restart(world, 3)
        await world.run(1.0)
        self.assertEqual(world.refused, 0)
        world.rate = 400.0
        started_at = world.now
        await world.run(COLD_S - 1.2)
        self.check_bound(world)
        self.assertGreater(world.refused, 0)
        for hold in world.holds:
            self.assertTrue(hold.by_share)
            self.assertLess(hold.for_s, 0.1)
        arrived = self.count_arrivals(servers, started_at, world.now)
        self.assertGreater(arrived, 0.9 * 22 * 3 * (COLD_S - 1.2))
        await world.run(1.5)
        self.assertLess(max(s.load for s in servers), SLOTS + QUEUE + 1)

    async def test_service_without_a_cold_rate_is_served_as_before(self):
        world = ColdWorld(6, service=Service("app", cold_s=COLD_S), rate=400.0)
        self.restart(world, 24)
        with self.assertNoLogs("slatehoist.gateway.cold_starts"):
            await world.run(1.0)
        cold = world.gateways[0].cold
        endpoints = world.rows()
        self.assertIs(cold.available(world.service, endpoints, world.now), endpoints)
        candidates = []
        self.assertIs(cold.prefer(world.service, candidates, world.now), candidates)
        self.assertEqual(cold.log_fields(world.service, endpoints[0], world.now), {})


class MembershipTests(ColdTestCase):
    def make_world(self, gateways: int, **fields) -> ColdWorld:
        """Build a world whose gateways start now, and count each other by the store."""
        world = ColdWorld(0, **{"servers": 12, "rate": 60.0, **fields})
        for _ in range(gateways):
            world.add_gateway()
        return world

    def sent_by(self, world: ColdWorld, gateways: list[ColdGateway], servers) -> int:
        """Return the requests that servers get in a second if only these serve."""
        started_at = world.now
        for gateway in gateways:
            for _ in range(20):
                gateway.handle()
        return self.count_arrivals(servers, started_at, world.now + 1.0)

    # Guards against new gateways that take a share before the others count them.
    async def test_gateway_without_a_share_uses_the_warm_servers_only(self):
        world = self.make_world(16)
        await world.run(1.0)
        servers = self.restart(world, 4)
        await world.run(1.0)
        self.assertEqual(self.sent_by(world, world.gateways, servers), 0)
        self.assertEqual(world.refused, 0)
        await world.run(COUNTED_S)
        self.restart(world, 4)
        await world.run(1.0)
        self.assertGreater(self.sent_by(world, world.gateways, servers), 0)
        self.check_bound(world)

    async def test_bound_is_kept_while_gateways_join_and_restart(self):
        world = self.make_world(6, rate=300.0)
        await world.run(COUNTED_S)
        for step in range(8):
            self.restart(world, 4)
            if step == 2:
                for _ in range(30):
                    world.add_gateway()
            if step == 4:
                for number in range(6):
                    self.replace(world, number)
            await world.run(2.0)
        self.check_bound(world)

    def replace(self, world: ColdWorld, number: int) -> None:
        """End a gateway and start it again under the same name."""
        name = world.gateways[number].name
        world.gateways[number] = ColdGateway(name, world, counted=False)

    # Guards against gateways that forget their shares, or the cold times, as the store
    # is out of reach, and against more than the bound from those that never counted.
    async def test_bound_is_kept_without_the_store(self):
        world = self.make_world(6)
        await world.run(COUNTED_S)
        for _ in range(10):
            world.add_gateway().table.is_cut = True
        servers = self.restart(world, 4)
        await world.run(1.0)
        for gateway in world.gateways:
            gateway.table.is_cut = True
        arrived = self.count_arrivals(servers, 0.0, world.now)
        world.rate = 400.0
        await world.run(1.5)
        self.check_bound(world)
        self.assertGreater(self.count_arrivals(servers, 0.0, world.now), arrived)
        self.assertEqual(world.refused, 0)

    # Guards against a bound that holds only if all gateways count alike: those that are
    # cut off for long are removed from the others' counts.
    async def test_bound_is_kept_if_gateways_count_each_other_differently(self):
        for cut in (1, 5, 8, 12, 15):
            with self.subTest(cut=cut):
                world = ColdWorld(16, servers=4, rate=10.0)
                names = tuple(g.name for g in world.gateways)
                for gateway in world.gateways[cut:]:
                    gateway.count_long_ago(names[cut:])
                self.restart(world, 4)
                await world.run(1.0)
                world.rate = 800.0
                await world.run(COLD_S - 1.0)
                self.check_bound(world)


class SourceTests(ColdTestCase):
    def is_cold(self, gateway: ColdGateway, name: str, now: float) -> bool:
        fields = gateway.cold.log_fields(SERVICE, make_endpoint(name), now)
        return "cold_left_ms" in fields

    async def test_new_and_restarted_servers_count_as_cold_without_being_listed_so(
        self,
    ):
        world = ColdWorld(1, servers=3)
        (gateway,) = world.gateways
        await world.run(1.0)
        self.assertFalse(self.is_cold(gateway, "e0", world.now))
        self.restart(world, 1, tells=False)
        world.add_server().tells = False
        await world.run(1.0)
        for name, is_cold in (("e0", True), ("e1", False), ("e3", True)):
            self.assertEqual(self.is_cold(gateway, name, world.now), is_cold, name)
        await world.run(COLD_S)
        self.assertFalse(self.is_cold(gateway, "e0", world.now))

    # Guards against requests to a server that has crashed and is back before the list
    # shows its new start: in the soak it got 35 in a second (20 allowed).
    async def test_server_that_refused_a_connection_counts_as_cold(self):
        world = ColdWorld(1, servers=2)
        (gateway,) = world.gateways
        endpoint = make_endpoint("e0", service=SERVICE.name)
        gateway.cold.record_refused(endpoint, world.now)
        self.assertTrue(self.is_cold(gateway, "e0", world.now))
        self.assertFalse(self.is_cold(gateway, "e0", world.now + COLD_S))

    # Guards against a deployment that refuses its first requests: its servers start
    # together with gateways that have no shares yet.
    async def test_servers_that_start_before_any_traffic_are_not_cold(self):
        world = ColdWorld(0, servers=2, rate=0.0)
        gateway = world.add_gateway()
        world.add_server()
        await world.run(1.0)
        self.assertFalse(self.is_cold(gateway, "e2", world.now))
        world.rate = 20.0
        await world.run(1.0)
        self.assertEqual(world.refused, 0)

    async def test_listed_cold_time_counts_for_a_gateway_that_has_just_started(self):
        world = ColdWorld(1, servers=2)
        self.restart(world, 1)
        gateway = world.add_gateway()
        self.assertTrue(self.is_cold(gateway, "e0", world.now))
        self.assertFalse(self.is_cold(gateway, "e1", world.now))

    async def test_servers_of_a_restored_zone_count_as_cold(self):
        world = ColdWorld(1, servers=2)
        (gateway,) = world.gateways
        gateway.cold.record_zone_restored(world.rows()[:1], world.now)
        self.assertTrue(self.is_cold(gateway, "e0", world.now))
        self.assertTrue(self.is_cold(gateway, "e0", world.now + COLD_S - 0.01))
        self.assertFalse(self.is_cold(gateway, "e0", world.now + COLD_S))
        self.assertFalse(self.is_cold(gateway, "e1", world.now))

    async def test_log_states_the_rate_and_the_share_of_a_cold_server(self):
        world = ColdWorld(16, servers=3)
        with self.assertLogs("slatehoist.gateway.cold_starts", "INFO") as logs:
            self.restart(world, 1)
            await world.run(COLD_S + 3.0)
        mine = [r for r in logs.records if r.endpoint == "e0"]
        cold = next(r for r in mine if r.msg == "endpoint_cold")
        self.assertEqual((cold.rate, cold.requests, cold.instances), (26.0, 22, 16))
        self.assertIn(cold.share, (1, 2))
        self.assertIn(cold.reason, ("listed", "started"))
        for msg in ("endpoint_cold", "endpoint_warm"):
            self.assertEqual(sum(r.msg == msg for r in mine), 16, msg)


class ReplyTests(ColdTestCase):
    def make_world(self, **service) -> ReplyWorld:
        service = Service("app", **{"cold_s": 3.0, "cold_rate": 4.0, **service})
        world = ReplyWorld(kind=Kind.SAFE, service=service, max_attempts=1)
        # A gateway has no share in the first second after its start.
        world.now += 1.0
        return world

    async def call(self, world: ReplyWorld, **headers: str):
        world.upstream.replies = [ScriptedReply(b"whole", "length", headers=headers)]
        return await world.call()

    # Guards against requests beyond its share to a server that said that it is cold,
    # and against a caller that stays at this gateway although others have shares.
    async def test_server_that_says_it_is_cold_gets_its_share_only(self):
        world = self.make_world()
        for _ in range(2):
            await self.call(world, Cold="3")
        statuses = []
        for _ in range(6):
            answer = await self.call(world, Cold="3")
            statuses.append(answer.head.split()[1])
        # The limit is 2 requests a second for each of the two servers.
        self.assertEqual(len(world.upstream.requests), 4)
        self.assertEqual(statuses, ["200"] * 2 + ["503"] * 4)
        self.assertIn("Connection: close", answer.head)
        delay_s = float(answer.head.partition("Retry-After: ")[2].split("\r\n")[0])
        self.assertLess(delay_s, 0.5)
        world.now += 1.0
        answer = await self.call(world, Cold="2")
        self.assertTrue(answer.head.startswith("HTTP/1.1 200"), answer.head)

    async def test_server_that_says_it_is_warm_is_not_limited(self):
        world = self.make_world()
        await self.call(world, Cold="3")
        first = world.upstream.requests[0].address
        world.now += 1.0
        for _ in range(20):
            answer = await self.call(world, Cold="0")
            self.assertTrue(answer.head.startswith("HTTP/1.1 200"), answer.head)
        self.assertIn(first, [req.address for req in world.upstream.requests[1:]])

    async def test_cold_time_of_a_service_without_a_rate_is_ignored(self):
        world = self.make_world(cold_rate=0.0)
        for _ in range(20):
            answer = await self.call(world, Cold="3")
            self.assertTrue(answer.head.startswith("HTTP/1.1 200"), answer.head)

    async def test_metrics_count_cold_servers_and_their_requests(self):
        world = self.make_world()
        for _ in range(4):
            await self.call(world, Cold="3")
        value = world.metrics.registry.get_sample_value
        self.assertEqual(value("slatehoist_cold_endpoints"), 2)
        self.assertEqual(value("slatehoist_cold_starts_total", {"reason": "stated"}), 2)
        sent = "slatehoist_cold_limited_requests_total"
        self.assertEqual(value(sent, {"state": "cold"}), 2)
        self.assertEqual(value(sent, {"state": "warm"}), 2)


if __name__ == "__main__":
    unittest.main()

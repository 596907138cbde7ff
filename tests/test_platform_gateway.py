"""A gateway in front of the platform's stand-ins: answers, repeats, faults."""

import asyncio
import logging
import unittest

import aiohttp

from gateway_world import GatewayTestCase, make_configuration, make_route
from slatehoist_standins.deployment_server import PLAIN_BODY, STREAM_EVENTS, stream_body


def setUpModule():
    logging.getLogger("slatehoist").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("slatehoist").setLevel(logging.NOTSET)


class AnswerTests(GatewayTestCase):
    async def test_answer_and_request_are_passed_on_unchanged(self):
        world = await self.world()
        headers = {"X-Own": "1", "Connection": "X-Hop", "X-Hop": "2"}
        async with world.call(
            "/unsafe/a%2Fb?q=%20x", "POST", data=b"body", headers=headers
        ) as resp:
            self.assertEqual(resp.status, 200)
            self.assertEqual(await resp.read(), PLAIN_BODY)
            self.assertEqual(resp.headers["Server-Stamp"], "proof-of-i-0")
        arrival = world.servers[0].arrivals[0]
        self.assertEqual(arrival.target, "/unsafe/a%2Fb?q=%20x")
        self.assertEqual(arrival.body, b"body")
        self.assertEqual(arrival.headers["X-Own"], "1")
        self.assertEqual(arrival.headers["Tenant"], "team-a")
        self.assertEqual(arrival.headers["Expect-Instance"], "i-0")
        self.assertNotIn("X-Hop", arrival.headers)
        self.assertNotIn("Credential", arrival.headers)
        self.assertLessEqual(int(arrival.headers["Deadline-Ms"]), 1500)

    async def test_team_is_never_what_the_caller_claims(self):
        world = await self.world()
        async with world.call("/safe/", headers={"Tenant": "team-b"}) as resp:
            self.assertEqual(resp.status, 200)
        self.assertEqual(world.servers[0].arrivals[0].headers["Tenant"], "team-a")

    async def test_unknown_route_and_credential(self):
        world = await self.world()
        async with world.call("/nowhere/") as resp:
            self.assertEqual(resp.status, 404)
        async with world.call("/safe/", headers={"Credential": "no"}) as resp:
            self.assertEqual(resp.status, 401)
        self.assertEqual(world.arrivals(), 0)

    async def test_log_of_an_attempt_names_what_it_was_chosen_by(self):
        world = await self.world()
        with self.assertLogs("slatehoist.gateway.forwarding", "INFO") as logs:
            for _ in range(2):
                async with world.call("/safe/") as resp:
                    self.assertEqual(resp.status, 200)
        first, second = [r for r in logs.records if r.msg == "attempt"]
        self.assertIsNone(first.load_age_ms)
        self.assertEqual((second.load, second.own_inflight, second.pace), (1, 0, 1.0))
        self.assertGreaterEqual(second.load_age_ms, 0)
        self.assertGreaterEqual(second.list_age_ms, 0)

    async def test_stream_is_passed_on_whole(self):
        world = await self.world()
        async with world.call("/stream/", "POST", data=b"x") as resp:
            self.assertEqual(await resp.read(), stream_body())

    async def test_oversized_body_is_refused(self):
        world = await self.world()
        async with world.call("/unsafe/", "POST", data=b"x" * 10001) as resp:
            self.assertEqual(resp.status, 413)
        self.assertEqual(world.arrivals(), 0)


class RepeatTests(GatewayTestCase):
    async def test_safe_request_is_repeated_after_each_kind_of_failure(self):
        bad = (
            "error",
            "close",
            "reset",
            "truncate",
            "garbage",
            "other_id",
            "no_proof",
            "unframed_reset",
            "shed",
        )
        for behaviour in bad:
            with self.subTest(behaviour=behaviour):
                world = await self.world([behaviour, "ok"], copies=2)
                async with world.call("/safe/") as resp:
                    self.assertEqual(resp.status, 200)
                    self.assertEqual(await resp.read(), PLAIN_BODY)
                self.assertEqual(world.arrivals(), 2)

    async def test_unsafe_request_is_sent_once(self):
        for behaviour in ("close", "reset", "truncate", "garbage", "unframed_reset"):
            with self.subTest(behaviour=behaviour):
                world = await self.world([behaviour, "ok"], copies=2)
                async with world.call("/unsafe/", "POST", data=b"x") as resp:
                    self.assertEqual(resp.status, 502)
                    self.assertNotIn("Server-Stamp", resp.headers)
                self.assertEqual(world.arrivals(), 1)

    async def test_unsafe_get_on_a_closed_kept_connection_is_sent_once(self):
        world = await self.world(["ok", "close", "ok"])
        async with world.call("/unsafe/") as resp:
            self.assertEqual(resp.status, 200)
        async with world.call("/unsafe/") as resp:
            self.assertEqual(resp.status, 502)
        self.assertEqual(world.arrivals(), 2)

    async def test_refusal_without_a_run_is_a_promise_with_a_time(self):
        world = await self.world(["shed"])
        async with world.call("/unsafe/", "POST", data=b"x") as resp:
            self.assertEqual(resp.status, 503)
            self.assertGreater(float(resp.headers["Retry-After"]), 0)
            self.assertLessEqual(float(resp.headers["Retry-After"]), 1.0)

    async def test_servers_own_failure_is_passed_on_with_its_proof(self):
        world = await self.world(["error"])
        async with world.call("/unsafe/", "POST", data=b"x") as resp:
            self.assertEqual(resp.status, 500)
            self.assertEqual(resp.headers["Server-Stamp"], "proof-of-i-0")

    async def test_extra_answer_belongs_to_nobody(self):
        world = await self.world(["extra", "ok"])
        for _ in range(2):
            async with world.call("/safe/") as resp:
                self.assertEqual(resp.status, 200)
                self.assertEqual(await resp.read(), PLAIN_BODY)

    async def test_early_answer_leaves_no_part_of_a_body_to_the_next_request(self):
        world = await self.world(["early", "ok"])
        limits = {"maxBodyBytes": 10_000_000}
        world.store.put("op", "config", make_configuration(2, limits=limits))
        await self.until(lambda: world.gateway.catalogue.version == 2)
        body = b"long" * 500_000
        async with world.call("/unsafe/", "POST", data=body) as resp:
            self.assertEqual(resp.status, 400)
            self.assertEqual(resp.headers["Server-Stamp"], "proof-of-i-0")
        for _ in range(3):
            async with world.call("/unsafe/", "POST", data=b"next") as resp:
                self.assertEqual(resp.status, 200)
        arrivals = world.servers[0].arrivals
        self.assertEqual(arrivals[-1].body, b"next")
        self.assertLessEqual({a.body for a in arrivals}, {body, b"next"})

    async def test_unframed_answer_that_ends_in_order_is_whole(self):
        world = await self.world(["unframed"])
        async with world.call("/safe/") as resp:
            self.assertEqual(resp.status, 200)
            self.assertEqual(await resp.read(), PLAIN_BODY)

    async def test_address_of_another_server_is_left_and_another_one_asked(self):
        world = await self.world(["ok"], ["ok"])
        world.servers[0].server_id = "i-new"
        for _ in range(4):
            async with world.call("/unsafe/", "POST", data=b"x") as resp:
                self.assertEqual(resp.status, 200)

    async def test_safe_request_leaves_a_silent_server(self):
        world = await self.world(["hang", "ok"], copies=2)
        async with world.call("/safe/") as resp:
            self.assertEqual(resp.status, 200)
        self.assertEqual(world.arrivals(), 2)


class StreamTests(GatewayTestCase):
    async def test_resumable_stream_goes_on_at_another_server(self):
        world = await self.world(["cut", "ok"], copies=2)
        async with world.call("/stream/", "POST", data=b"x") as resp:
            self.assertEqual(await resp.read(), stream_body())
        second = [a for s in world.servers for a in s.arrivals][-1]
        ids = sorted(
            a.headers.get("Last-Event-Id", "")
            for s in world.servers
            for a in s.arrivals
        )
        self.assertEqual(ids, ["", "3"])
        self.assertEqual(second.body, b"x")

    async def test_stream_that_must_not_run_twice_breaks_off(self):
        world = await self.world(["cut", "ok"], copies=2)
        with self.assertRaises(aiohttp.ClientPayloadError):
            async with world.call("/once/", "POST", data=b"x") as resp:
                await resp.read()
        self.assertEqual(world.arrivals(), 1)

    async def test_server_stops_when_the_caller_leaves(self):
        world = await self.world()
        server = world.servers[0]
        server.event_pause_s = 0.05
        async with world.call("/stream/", "POST", data=b"x") as resp:
            await resp.content.readany()
            resp.close()
        await self.until(lambda: server.cancelled)

    async def test_request_of_a_caller_that_left_is_reset_and_not_closed(self):
        # What a link still holds up is lost by a reset, but delivered by a close.
        world = await self.world(["hang"])
        server = world.servers[0]
        task = asyncio.create_task(self.read(world))
        await self.until(lambda: server.arrivals)
        task.cancel()
        await self.until(lambda: server.cancelled)
        self.assertEqual(server.resets, 1)

    async def read(self, world):
        async with world.call("/stream/", "POST", data=b"x") as resp:
            await resp.read()

    async def test_route_timeout_ends_a_stream(self):
        world = await self.world()
        world.servers[0].event_pause_s = 1.0
        began = asyncio.get_running_loop().time()
        with self.assertRaises(aiohttp.ClientPayloadError):
            async with world.call("/stream/", "POST", data=b"x") as resp:
                await resp.read()
        took_s = asyncio.get_running_loop().time() - began
        self.assertLess(took_s, STREAM_EVENTS)

    async def test_route_timeout_before_an_answer(self):
        world = await self.world(["hang"])
        async with world.call("/unsafe/", "POST", data=b"x") as resp:
            self.assertEqual(resp.status, 504)


class ConfigurationTests(GatewayTestCase):
    async def test_new_version_moves_a_route_and_takes_a_credential(self):
        world = await self.world()
        routes = [make_route("safe", "/moved/", "safe", "app")]
        doc = make_configuration(5, routes=routes, tenants=[])
        world.store.put("op", "config", doc)

        async def moved() -> bool:
            async with world.call("/safe/") as resp:
                return resp.status == 404

        async with asyncio.timeout(10):
            while not await moved():
                await asyncio.sleep(0.02)
        async with world.call("/moved/") as resp:
            self.assertEqual(resp.status, 401)

    async def test_many_routes_more_are_served_like_the_first(self):
        world = await self.world()
        doc = make_configuration(3)
        doc["routes"] += [
            make_route(f"more-{n}", f"/more-{n}/", "safe", "app") for n in range(493)
        ]
        world.store.put("op", "config", doc)
        await self.until(lambda: world.gateway.catalogue.version == 3)
        for path in ("/safe/", "/more-0/x", "/more-49/", "/more-492/y"):
            async with world.call(path) as resp:
                self.assertEqual(resp.status, 200, path)

    async def test_unreadable_rows_and_history_do_no_harm(self):
        world = await self.world()
        world.store.put_bytes("servers", "i-bad", b"\xff\x00")
        world.store.put("servers", "i-odd", {"state": "hot", "slots": "many"})
        world.store.put("servers", "i-none", {})
        world.store.compact()
        world.store.put("op", "config", make_configuration(9))
        catalogue = world.gateway.catalogue
        await self.until(lambda: catalogue.version == 9)
        async with world.call("/safe/") as resp:
            self.assertEqual(resp.status, 200)

    async def test_without_the_store_credentials_stop_to_count(self):
        world = await self.world(revoke_s=1.6)
        world.store.fault = "down"
        await self.until(lambda: not world.gateway.ready)
        async with world.call("/safe/") as resp:
            self.assertEqual(resp.status, 503)
            self.assertLess(float(resp.headers["Retry-After"]), 0.2)
            self.assertEqual(resp.headers["Connection"], "close")
        world.store.fault = ""
        await self.until(lambda: world.gateway.ready)
        async with world.call("/safe/") as resp:
            self.assertEqual(resp.status, 200)

    async def test_draining_and_removed_servers_get_nothing(self):
        world = await self.world(["ok"], ["ok"], ["ok"])
        first, second, _ = world.servers
        world.store.put("servers", "i-0", first.row("app", state="draining"))
        world.store.remove("servers", "i-1")
        directory = world.gateway.directory
        await self.until(lambda: len(directory.of_service("app")) == 1)
        for _ in range(6):
            async with world.call("/safe/") as resp:
                self.assertEqual(resp.status, 200)
        self.assertEqual(len(first.arrivals) + len(second.arrivals), 0)


class DrainTests(GatewayTestCase):
    async def test_request_in_progress_is_answered_and_its_connection_closed(self):
        world = await self.world()
        world.servers[0].delay_s = 0.3
        task = asyncio.create_task(self.fetch(world))
        await self.until(lambda: world.arrivals() == 1)
        draining = asyncio.create_task(world.gateway.drain())
        await asyncio.sleep(0)
        self.assertFalse(world.gateway.ready)
        status, headers = await task
        self.assertEqual(status, 200)
        self.assertEqual(headers["Connection"], "close")
        await draining

    async def test_idle_connection_is_closed_after_the_rotation(self):
        world = await self.world()
        async with world.call("/safe/") as resp:
            await resp.read()
        await world.gateway.drain()
        with self.assertRaises(aiohttp.ClientError):
            await self.fetch(world)
        self.assertEqual(world.arrivals(), 1)

    async def fetch(self, world):
        async with world.call("/unsafe/", "POST", data=b"x") as resp:
            await resp.read()
            return resp.status, resp.headers


if __name__ == "__main__":
    unittest.main()

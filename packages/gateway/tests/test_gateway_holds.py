"""Tests of endpoints that leave, or turn requests away for a time."""

import logging
import unittest

from gateway_builders import make_endpoint, make_engine
from reply_world import EVENT_STREAM, ReplyWorld, ScriptedReply, make_events

from slatehoist.gateway import Kind, Service
from slatehoist.routing import Membership

LEAVING = {"Leaving": "1"}
TURNED_AWAY = {"Not-Run": "1", "Wait": "4"}


def setUpModule():
    logging.getLogger("slatehoist").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("slatehoist").setLevel(logging.NOTSET)


class HoldTestCase(unittest.IsolatedAsyncioTestCase):
    def make_world(self, *replies, **route_fields) -> ReplyWorld:
        return ReplyWorld(*replies, **{"kind": Kind.SAFE, **route_fields})

    async def call_and_count(
        self, world: ReplyWorld, calls: int, **headers: str
    ) -> dict[str, int]:
        """Send requests that are answered, and count them by the endpoint's address."""
        first = len(world.upstream.requests)
        for _ in range(calls):
            reply = ScriptedReply(b"whole", "length", headers=headers)
            world.upstream.replies.append(reply)
            answer = await world.call()
            self.assertTrue(answer.head.startswith("HTTP/1.1 200"), answer.head)
        counts: dict[str, int] = {}
        for req in world.upstream.requests[first:]:
            counts[req.address] = counts.get(req.address, 0) + 1
        return counts


class LeavingTests(HoldTestCase):
    # Guards against requests to a server that said in an answer that it leaves, while
    # the list still calls it ready.
    async def test_endpoint_that_said_it_leaves_gets_no_further_requests(self):
        for status in (200, 404, 500, 503):
            with self.subTest(status=status):
                reply = ScriptedReply(b"body", "length", status=status, headers=LEAVING)
                world = self.make_world(reply, max_attempts=1)
                await world.call()
                left = world.upstream.requests[0].address
                world.directory.record_outage()
                counts = await self.call_and_count(world, 8)
                self.assertNotIn(left, counts)

    async def test_retry_does_not_go_back_to_an_endpoint_that_leaves(self):
        world = self.make_world(
            ScriptedReply(b"", "length", status=500, headers=LEAVING),
            ScriptedReply(b"", "length", status=503, headers={"Not-Run": "1"}),
            max_attempts=5,
        )
        answer = await world.call()
        self.assertTrue(answer.head.startswith("HTTP/1.1 500"))
        addresses = [req.address for req in world.upstream.requests]
        self.assertEqual(len(addresses), len(set(addresses)))

    async def test_stream_of_an_endpoint_that_leaves_ends_in_order(self):
        headers = {**EVENT_STREAM, **LEAVING}
        reply = ScriptedReply(make_events(1, 3), "chunked", headers=headers)
        world = self.make_world(reply, kind=Kind.STREAM)
        answer = await world.call()
        self.assertTrue(answer.looks_complete)
        self.assertEqual(answer.content, make_events(1, 3))
        left = world.upstream.requests[0].address
        self.assertNotIn(left, await self.call_and_count(world, 6))

    async def test_endpoint_that_started_again_gets_requests(self):
        reply = ScriptedReply(b"whole", "length", headers=LEAVING)
        world = self.make_world(reply)
        await world.call()
        restarted = [make_endpoint(n, started_at_ms=5) for n in ("e1", "e2")]
        world.now += 31.0
        world.directory.update(restarted, world.now)
        self.assertEqual(len(await self.call_and_count(world, 12)), 2)

    # Guards against a hold that is lost, since the list showed an earlier start of the
    # server when that answered.
    async def test_start_that_is_listed_late_does_not_end_the_hold(self):
        for headers, status in ((LEAVING, 200), (TURNED_AWAY, 503)):
            with self.subTest(headers=headers):
                reply = ScriptedReply(b"", "length", status=status, headers=headers)
                world = self.make_world(reply, max_attempts=1)
                await world.call()
                held = world.upstream.requests[0].address
                world.now += 0.8
                started = [make_endpoint(n, started_at_ms=5) for n in ("e1", "e2")]
                world.directory.update(started, world.now)
                self.assertNotIn(held, await self.call_and_count(world, 8))

    async def test_request_is_refused_at_once_if_all_endpoints_leave(self):
        world = self.make_world()
        for _ in range(2):
            reply = ScriptedReply(b"whole", "length", headers=LEAVING)
            world.upstream.replies.append(reply)
            await world.call()
        answer = await world.call()
        self.assertTrue(answer.head.startswith("HTTP/1.1 503"))
        self.assertEqual(len(world.upstream.requests), 2)


class FailedGroupTests(HoldTestCase):
    """Endpoints reject requests after all instances have lost power together."""

    async def retry_delay(self, **status) -> float:
        reply = ScriptedReply(b"", "length", status=503, headers={"Not-Run": "1"})
        service = Service("app", make_engine())
        world = self.make_world(reply, reply, service=service, kind=Kind.STREAM)
        for name in ("e1", "e2")[: status.get("statuses", 0)]:
            world.health.observe_status(name, True, 1.0, world.now)
        answer = await world.call()
        return float(answer.head.partition("Retry-After: ")[2].split("\r\n")[0])

    # Guards against callers that use up their retries before the group has formed.
    async def test_caller_returns_after_the_group_has_formed(self):
        self.assertGreaterEqual(await self.retry_delay(), 1.2)

    async def test_caller_returns_soon_if_the_ranks_report_their_status(self):
        self.assertLess(await self.retry_delay(statuses=2), 0.5)


class RetryAfterTests(HoldTestCase):
    # Guards against requests to a server that asked for none for some seconds.
    async def test_endpoint_that_turned_a_request_away_gets_none_until_then(self):
        reply = ScriptedReply(b"", "length", status=503, headers=TURNED_AWAY)
        world = self.make_world(reply, max_attempts=1)
        await world.call()
        turned_away = world.upstream.requests[0].address
        world.now += 3.9
        self.assertNotIn(turned_away, await self.call_and_count(world, 8))
        world.now += 0.2
        self.assertIn(turned_away, await self.call_and_count(world, 12))

    async def test_shorter_time_does_not_end_a_longer_one(self):
        world = self.make_world(max_attempts=1)
        first, second = make_endpoint("e1"), make_endpoint("e2")
        world.directory.update([first], world.now)
        for wait in ("4", "1"):
            headers = {**TURNED_AWAY, "Wait": wait}
            reply = ScriptedReply(b"", "length", status=503, headers=headers)
            # The second request was in flight when the first was turned away.
            info = world.codec.read_reply(503, reply.headers)
            world.forwarder.choice.holds.record_reply(first, info, world.now, world.now)
        world.directory.update([first, second], world.now)
        world.now += 2.0
        self.assertNotIn(first.address, await self.call_and_count(world, 8))

    async def test_turning_away_is_no_failure_of_the_endpoint(self):
        for headers in (TURNED_AWAY, {"Wait": "4"}):
            with self.subTest(headers=headers):
                reply = ScriptedReply(b"", "length", status=503, headers=headers)
                world = self.make_world(reply, max_attempts=1)
                await world.call()
                failures = [world.health.get_record(n).failures for n in ("e1", "e2")]
                self.assertEqual(failures, [0, 0])

    async def test_request_is_refused_at_once_if_all_endpoints_ask_for_none(self):
        world = self.make_world(max_attempts=1)
        for wait in ("4", "6"):
            headers = {**TURNED_AWAY, "Wait": wait}
            reply = ScriptedReply(b"", "length", status=503, headers=headers)
            world.upstream.replies.append(reply)
            await world.call()
        delays = set()
        for _ in range(4):
            answer = await world.call()
            self.assertTrue(answer.head.startswith("HTTP/1.1 503"))
            delays.add(
                float(answer.head.partition("Retry-After: ")[2].split("\r\n")[0])
            )
        self.assertEqual(len(world.upstream.requests), 2)
        # The first of them takes requests again after 4 s.
        self.assertGreaterEqual(min(delays), 4.0)
        self.assertLess(max(delays), 6.0 + 1e-9)
        self.assertEqual(len(delays), 4)


class RateLimitTests(HoldTestCase):
    def make_limited_world(self, rate: str, **route_fields) -> ReplyWorld:
        world = self.make_world(max_attempts=1, **route_fields)
        world.directory.update([make_endpoint("e1")], world.now)
        names = tuple(f"gateway-{n}" for n in range(4))
        world.forwarder.record_membership(Membership(4, 0.0, 0.0, names))
        world.upstream.replies.append(
            ScriptedReply(b"whole", "length", headers={"Rate": rate})
        )
        return world

    # Guards against more requests than an endpoint said that it takes, from all
    # gateways together.
    async def test_endpoint_gets_no_more_than_this_gateways_share_of_its_rate(self):
        world = self.make_limited_world("8")
        statuses = []
        for _ in range(40):
            world.upstream.replies.append(
                ScriptedReply(b"whole", "length", headers={"Rate": "8"})
            )
            answer = await world.call()
            statuses.append(answer.head.split()[1])
            world.now += 0.1
        # A quarter of 8 requests a second, in 4 s; the first ones came before the rate
        # was known.
        self.assertLessEqual(statuses.count("200"), 9)
        self.assertGreaterEqual(statuses.count("200"), 6)
        self.assertEqual(set(statuses), {"200", "503"})

    async def test_work_beyond_the_share_goes_to_other_endpoints(self):
        world = self.make_limited_world("8")
        await world.call()
        first, second = make_endpoint("e1"), make_endpoint("e2")
        # The share of each is 3 requests in a second.
        await self.call_and_count(world, 3, Rate="8")
        world.directory.update([first, second], world.now)
        counts = await self.call_and_count(world, 3, Rate="8")
        self.assertEqual(counts, {second.address: 3})

    # Guards against a caller that waits although other gateways have shares
    # left, and against connections that keep it at this gateway.
    async def test_caller_beyond_the_share_is_sent_to_another_gateway_at_once(self):
        world = self.make_limited_world("2")
        await world.call()
        await self.call_and_count(world, 1, Rate="2")
        answer = await world.call(keep_alive=True)
        self.assertTrue(answer.head.startswith("HTTP/1.1 503"), answer.head)
        self.assertIn("Connection: close", answer.head)
        delay_s = float(answer.head.partition("Retry-After: ")[2].split("\r\n")[0])
        # All gateways together may send a request each 0.5 s; half of it is jitter.
        self.assertLessEqual(delay_s, 0.75)

    async def test_limit_ends_when_answers_do_not_state_it(self):
        world = self.make_limited_world("8")
        await world.call()
        counts = await self.call_and_count(world, 1)
        world.now += 1.1
        await self.call_and_count(world, 1)
        self.assertEqual(await self.call_and_count(world, 20), {"10.0.0.1:1": 20})
        self.assertEqual(counts, {"10.0.0.1:1": 1})


if __name__ == "__main__":
    unittest.main()

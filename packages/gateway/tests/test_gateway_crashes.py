"""Tests of requests that crash servers: each way to end, and each way the news takes.

A caller sends such a request again each second. No test needs a network.
"""

import asyncio
import itertools
import unittest

from gateway_builders import make_endpoint, make_engine
from gateway_fleet import (
    POISON,
    SILENCE_S,
    STEP_S,
    Fleet,
    Server,
    SimulatedGateway,
    SimulatedReply,
)

from slatehoist.gateway.crash_reports import CRASHES
from slatehoist.gateway.exchange import Exchange, request_digest
from slatehoist.gateway.losses import Crash, LossLedger, LostRequest
from slatehoist.routing import CRASH_RETENTION_S
from slatehoist.routing.crashes import (
    BLOCKED_S,
    MAX_CRASHES,
    MAX_UNEXCUSED_CRASHES,
    SHORT_BLOCK_S,
)
from slatehoist.storage import Write

#: Shortest time in seconds, of all deployments, after which all gateways must know of
#: the crash that reaches the limit.
NEWS_S = 3.0
#: Times that a request may still be sent to servers after that.
MAX_LATE_RETRIES = 3
#: Seconds for which the caller sends the request again, and the pause between.
RESEND_FOR_S = 40.0
RESEND_PAUSE_S = 1.0


class CrashTestCase(unittest.IsolatedAsyncioTestCase):
    async def start_fleet(
        self, servers: int = 72, gateways: int = 14, seed: int = 1, **faults
    ) -> Fleet:
        return await Fleet(servers, gateways, seed, **faults).start()

    async def resend(
        self,
        fleet: Fleet,
        caller_leaves: bool = False,
        pause_s: float = RESEND_PAUSE_S,
        for_s: float = RESEND_FOR_S,
    ) -> None:
        """Send a poison request again and again, each time through any gateway."""
        ends_at = fleet.now + for_s
        while fleet.now < ends_at:
            gateway = fleet.rng.choice(fleet.gateways)
            await gateway.send(caller_leaves=caller_leaves)
            await fleet.advance(pause_s)

    def count_late_retries(self, fleet: Fleet) -> int:
        crashes = fleet.crash_times()
        if len(crashes) < MAX_CRASHES:
            return 0
        after = crashes[MAX_CRASHES - 1] + NEWS_S
        return sum(at > after for at in fleet.poison_arrivals)


class EndingTests(CrashTestCase):
    """A request that crashes servers is blocked, in whichever way a server ends."""

    async def check(
        self,
        caller_leaves: bool = False,
        pause_s: float = RESEND_PAUSE_S,
        **faults,
    ) -> None:
        for seed in range(1, 4):
            fleet = await self.start_fleet(seed=seed, **faults)
            await self.resend(fleet, caller_leaves, pause_s)
            self.assertGreaterEqual(len(fleet.crash_times()), MAX_CRASHES)
            late = self.count_late_retries(fleet)
            self.assertLessEqual(late, MAX_LATE_RETRIES, f"seed {seed}")

    # The news must be there before the list shows the end, some seconds after a crash.
    async def test_no_further_server_ends_if_crashed_ones_refuse_connections(self):
        for seed in range(1, 6):
            fleet = await self.start_fleet(seed=seed, down_s=8.0)
            await self.resend(fleet)
            self.assertEqual(len(fleet.crash_times()), MAX_CRASHES, f"seed {seed}")

    # The gateway must not need news of the end within a fixed time.
    async def test_server_that_is_back_after_four_seconds_counts_as_crashed(self):
        await self.check(down_s=4.0)

    async def test_server_that_is_back_after_eight_seconds_counts_as_crashed(self):
        await self.check(down_s=8.0)

    async def test_server_that_is_back_under_a_new_id_counts_as_crashed(self):
        await self.check(down_s=4.0, replaced=True)

    # The attempt then ends by a timeout instead of a broken reply.
    async def test_server_that_falls_silent_counts_as_crashed(self):
        await self.check(ending="silent", down_s=4.0)

    # The attempt then ends by its cancellation.
    async def test_server_counts_as_crashed_if_the_caller_left_before(self):
        await self.check(ending="silent", down_s=4.0, caller_leaves=True)

    # Such a body looks complete.
    async def test_crash_that_ends_a_body_without_a_length_is_counted(self):
        await self.check(ending="unframed", down_s=4.0)

    # The next crash must not be taken for the one before, although the gateway does not
    # know that the server has started again.
    async def test_each_crash_under_one_id_is_counted_while_the_list_is_stale(self):
        fleet = await self.start_fleet(servers=1, gateways=1, down_s=1.0)
        gateway = fleet.gateways[0]
        gateway.cut_off = True
        for _ in range(MAX_CRASHES):
            await gateway.send()
            await fleet.advance(0.5)
            await gateway.send(b"sound")
            await fleet.advance(1.5)
        self.assertEqual(len(fleet.crash_times()), MAX_CRASHES)
        self.assertTrue((await gateway.send()).blocked)

    # A drain does not explain the end of a server under a request.
    async def test_crash_of_a_draining_server_is_counted(self):
        fleet = await self.start_fleet(servers=8, gateways=1, down_s=1e9)
        gateway = fleet.gateways[0]
        for _ in range(MAX_CRASHES):
            await gateway.send()
            for server in fleet.servers:
                server.draining = True
                if not server.is_up and server.row is not None:
                    server.row = server.row._replace(draining=True)
            await fleet.advance(6.0)
            for server in fleet.servers:
                if server.is_up:
                    server.restart(fleet.now)
            await fleet.advance(2.0)
        self.assertTrue((await gateway.send()).blocked)


class RareRequestTests(CrashTestCase):
    """A request that comes back seldom is blocked like one that comes back at once."""

    async def test_request_that_comes_back_every_half_minute_is_blocked(self):
        fleet = await self.start_fleet(servers=12, gateways=2)
        for _ in range(20):
            await fleet.rng.choice(fleet.gateways).send()
            await fleet.advance(30.0)
        self.assertLessEqual(self.count_late_retries(fleet), MAX_LATE_RETRIES)


class NewsTests(CrashTestCase):
    """The news of a crash is used as soon as it is there, and does not get lost."""

    # The gateway waits up to a second for a group that forms, with the request in hand.
    async def test_report_that_arrives_while_a_request_waits_for_a_group_blocks_it(
        self,
    ):
        fleet = await self.start_fleet(servers=4, gateways=1)
        gateway = fleet.gateways[0]
        gateway.observe_groups(is_open=False)
        sent = asyncio.create_task(gateway.send(engine=make_engine()))
        await asyncio.sleep(SILENCE_S)
        digest = request_digest("POST", "/a/x", "t", POISON)
        for number in range(MAX_CRASHES):
            gateway.tally.record_crash(digest, f"crash-{number}", fleet.now)
        gateway.observe_groups(is_open=True)
        self.assertTrue((await sent).blocked)
        self.assertEqual(fleet.crash_times(), [])

    # Such a row must not end the task that follows the reports.
    async def test_reports_after_an_unusable_row_are_counted(self):
        fleet = await self.start_fleet(gateways=1)
        digest = request_digest("POST", "/a/x", "t", POISON)
        rows = {"odd": {"digest": 7, "crash": "c"}, "empty": {}}
        for number in range(MAX_CRASHES):
            rows[f"z{number}"] = {"digest": digest, "crash": f"c{number}"}
        writes = [Write(CRASHES, key, value) for key, value in rows.items()]
        await fleet.table.transact([], writes)
        await fleet.advance(STEP_S)
        self.assertTrue((await fleet.gateways[0].send()).blocked)

    # Guards against a request that is sent on, since the store came back from a copy
    # without the reports of its crashes.
    async def test_reports_that_the_store_lost_are_written_again(self):
        fleet = await self.start_fleet(gateways=2)
        writer, _ = fleet.gateways
        copy = fleet.table.copy()
        digest = request_digest("POST", "/a/x", "t", POISON)
        for number in range(MAX_CRASHES):
            crash = Crash(f"e{number}@1", [LostRequest(digest)])
            writer.crashes._report_crash(crash, fleet.now)
        await fleet.advance(STEP_S)
        fleet.table.restore(copy)
        await fleet.advance(3 * STEP_S)
        late = SimulatedGateway(fleet, 9)
        await late.start()
        await late.tick()
        self.assertTrue((await late.send()).blocked)

    # Guards against a sound request that is blocked by reports of long ago, which an
    # older copy of the store contains again.
    async def test_expired_reports_that_come_back_are_not_counted(self):
        fleet = await self.start_fleet(gateways=1)
        gateway = fleet.gateways[0]
        digest = request_digest("POST", "/a/x", "t", POISON)
        for number in range(MAX_CRASHES - 1):
            crash = Crash(f"e{number}@1", [LostRequest(digest)])
            gateway.crashes._report_crash(crash, fleet.now)
        await fleet.advance(STEP_S)
        copy = fleet.table.copy()
        await fleet.advance(CRASH_RETENTION_S + 2 * STEP_S)
        self.assertEqual(await fleet.table.scan(CRASHES), [])
        self.assertFalse(gateway.tally.is_suspected(digest, fleet.now))
        fleet.table.restore(copy)
        await fleet.advance(3 * STEP_S)
        self.assertFalse(gateway.tally.is_suspected(digest, fleet.now))

    # Each gateway then counts only its own crashes.
    async def test_request_is_blocked_while_no_gateway_reaches_the_store(self):
        fleet = await self.start_fleet()
        for gateway in fleet.gateways:
            gateway.cut_off = True
        await self.resend(fleet)
        self.assertLessEqual(self.count_late_retries(fleet), MAX_LATE_RETRIES)


#: Answers that a server may give to a request which crashes all others.
SINGLE_ANSWERS = {
    "rejected": lambda: SimulatedReply(status=413, not_run=True),
    "rejected without a statement": lambda: SimulatedReply(status=400),
    "not found": lambda: SimulatedReply(status=404),
    "redirected": lambda: SimulatedReply(status=302),
    "not modified": lambda: SimulatedReply(status=304, body=b""),
    "server error": lambda: SimulatedReply(status=500),
    "refused": lambda: SimulatedReply(status=503),
    "success that was not run": lambda: SimulatedReply(not_run=True),
    "success without a body": lambda: SimulatedReply(status=204, body=b""),
    "success without a length": lambda: SimulatedReply(framed=False),
    "whole success": lambda: SimulatedReply(),
}


class SingleAnswerTests(CrashTestCase):
    """One answer among the crashes of a request does not keep it from being blocked."""

    PAUSE_S, FOR_S = 2.0, 24.0

    async def play(self, kind: str, places: set[int], gateways: int, **faults) -> Fleet:
        """Send a poison request, and answer it at the given places of the series."""
        fleet = await self.start_fleet(servers=6, gateways=gateways, **faults)
        fleet.answer_poison = lambda number: (
            SINGLE_ANSWERS[kind]() if number in places else None
        )
        await self.resend(fleet, pause_s=self.PAUSE_S, for_s=self.FOR_S)
        self.assertGreaterEqual(len(fleet.crash_times()), MAX_CRASHES)
        return fleet

    # Guards against a request that is never blocked since one server answered it, be it
    # without having run it (BUDGET).
    async def test_request_is_blocked_whatever_one_server_answers(self):
        for kind in SINGLE_ANSWERS:
            for place, gateways in itertools.product(range(4), (1, 2)):
                with self.subTest(kind=kind, place=place, gateways=gateways):
                    fleet = await self.play(kind, {place}, gateways, down_s=1.0)
                    self.assertLessEqual(
                        self.count_late_retries(fleet), MAX_LATE_RETRIES
                    )

    async def test_request_is_blocked_if_servers_come_back_under_new_ids(self):
        for kind in ("rejected", "whole success"):
            for place in range(4):
                with self.subTest(kind=kind, place=place):
                    fleet = await self.play(kind, {place}, 2, down_s=1.0, replaced=True)
                    self.assertLessEqual(
                        self.count_late_retries(fleet), MAX_LATE_RETRIES
                    )

    # The crashes of the other runs are found out only after the answers.
    async def test_request_that_crashes_most_servers_is_blocked(self):
        for first in range(3):
            with self.subTest(first=first):
                places = set(range(first, 40, 3))
                fleet = await self.play("whole success", places, 2, down_s=4.0)
                self.assertLessEqual(self.count_late_retries(fleet), MAX_LATE_RETRIES)

    # Guards against a success at one gateway that speaks for crashes after it, since
    # another gateway reads its report later (BUDGET).
    async def test_success_that_is_read_late_does_not_speak_for_later_crashes(self):
        fleet = await self.start_fleet(gateways=2)
        writer, reader = fleet.gateways
        digest = request_digest("POST", "/a/x", "t", POISON)
        reader.cut_off = True
        writer.crashes._report_crash(Crash("e1@1", [LostRequest(digest)]), fleet.now)
        writer.crashes.record_success(digest)
        await fleet.advance(STEP_S)
        for number in range(2, 2 + MAX_CRASHES):
            crash = Crash(f"e{number}@1", [LostRequest(digest)])
            reader.crashes._report_crash(crash, fleet.now)
        self.assertTrue(reader.tally.is_blocked(digest, fleet.now))
        reader.cut_off = False
        await fleet.advance(3 * STEP_S)
        for gateway in fleet.gateways:
            self.assertTrue((await gateway.send()).blocked, gateway.name)

    # Guards against losses that a success closes before their servers are found to have
    # ended, so that their crashes never count (BUDGET).
    async def test_success_does_not_close_the_losses_before_it(self):
        fleet = await self.start_fleet(servers=8, gateways=1, down_s=8.0)
        gateway = fleet.gateways[0]
        digest = request_digest("POST", "/a/x", "t", POISON)
        for server in fleet.servers[:MAX_UNEXCUSED_CRASHES]:
            gateway.crashes.record_loss(server.row, LostRequest(digest), fleet.now)
            server.crash(fleet.now)
        gateway.crashes.record_success(digest)
        await fleet.advance(6.0)
        self.assertTrue((await gateway.send()).blocked)

    # The rest of a stream is not the whole request.
    async def test_resumed_answer_does_not_speak_for_the_request(self):
        fleet = await self.start_fleet(servers=8, gateways=1)
        gateway = fleet.gateways[0]
        fleet.answer_poison = lambda number: SimulatedReply()
        digest = request_digest("POST", "/a/x", "t", POISON)
        for number in range(MAX_CRASHES):
            gateway.tally.record_crash(digest, f"c{number}", fleet.now - 100.0)
        gateway.tally._convicted[digest] = fleet.now - 100.0, 0
        await gateway.send(last_event_id="7")
        self.assertEqual(gateway.tally.count_crashes(digest)[0], MAX_CRASHES)
        await gateway.send()
        self.assertEqual(gateway.tally.count_crashes(digest)[0], 0)


class SoundRequestTests(CrashTestCase):
    """A request that crashes no server is not blocked."""

    async def send_often(
        self, fleet: Fleet, seconds: float, per_s: float
    ) -> list[Exchange]:
        """Send the same sound request again and again, and return the exchanges."""
        sent = []
        for _ in range(round(seconds * per_s)):
            gateway = fleet.rng.choice(fleet.gateways)
            sent.append(asyncio.create_task(gateway.send(b"sound", objective_s=5.0)))
            await fleet.advance(1.0 / per_s)
        await asyncio.gather(*sent)
        return [task.result() for task in sent]

    # Many callers send it, so it is on board wherever servers lose power together.
    async def test_request_of_many_callers_is_served_after_many_crashes_at_once(self):
        for gateways in (1, 2):
            with self.subTest(gateways=gateways):
                fleet = await self.start_fleet(servers=24, gateways=gateways)
                fleet.run_s = 0.4
                await self.send_often(fleet, 2.0, 10.0)
                for server in fleet.servers[:12]:
                    server.crash(fleet.now)
                sent = await self.send_often(fleet, 10.0, 10.0)
                self.assertFalse(any(exchange.blocked for exchange in sent))

    # Guards against a request that is refused for a minute since most of its servers
    # lost power together.
    async def test_request_of_many_callers_that_runs_long_is_served_again_soon(self):
        fleet = await self.start_fleet(servers=24, gateways=1)
        fleet.run_s = 2.0
        await self.send_often(fleet, 3.0, 5.0)
        for server in fleet.servers[:16]:
            server.crash(fleet.now)
        crashed_at = fleet.now
        sent = await self.send_often(fleet, 20.0, 5.0)
        late = [e for e in sent if e.arrived_at > crashed_at + 2 * SHORT_BLOCK_S]
        self.assertFalse(any(exchange.blocked for exchange in late))

    async def test_request_is_served_beside_one_that_crashes_servers(self):
        fleet = await self.start_fleet(servers=12, gateways=2, down_s=1.0)
        fleet.run_s = 0.2
        fleet.answer_poison = lambda number: (
            SINGLE_ANSWERS["rejected"]() if number == 1 else None
        )
        poison = [
            asyncio.create_task(self.send_poison_later(fleet, 2.0 * number))
            for number in range(10)
        ]
        sent = await self.send_often(fleet, 22.0, 10.0)
        await asyncio.gather(*poison)
        self.assertFalse(any(exchange.blocked for exchange in sent))
        self.assertLessEqual(self.count_late_retries(fleet), MAX_LATE_RETRIES)

    async def send_poison_later(self, fleet: Fleet, after_s: float) -> None:
        sent_at = fleet.now + after_s
        while fleet.now < sent_at:
            await asyncio.sleep(0)
        await fleet.rng.choice(fleet.gateways).send()

    # The bound that docs/design/platform.md names.
    async def test_seldom_request_on_board_of_three_crashes_is_served_after_a_minute(
        self,
    ):
        fleet = await self.start_fleet(servers=12, gateways=2)
        digest = request_digest("POST", "/a/x", "t", b"sound")
        for number in range(MAX_CRASHES):
            crash = Crash(f"e{number}@1", [LostRequest(digest)])
            fleet.gateways[0].crashes._report_crash(crash, fleet.now)
        await fleet.advance(STEP_S)
        blocked_at = fleet.now
        for gateway in fleet.gateways:
            self.assertTrue((await gateway.send(b"sound")).blocked)
        await fleet.advance(BLOCKED_S[0] + STEP_S)
        for gateway in fleet.gateways:
            self.assertFalse((await gateway.send(b"sound")).blocked)
        self.assertLess(fleet.now - blocked_at, BLOCKED_S[0] + 2 * STEP_S)

    async def test_resets_by_servers_that_live_on_do_not_block(self):
        fleet = await self.start_fleet()
        gateway = fleet.gateways[0]
        for _ in range(10):
            gateway.upstream.resets_left = 2
            await gateway.send(b"sound")
            await fleet.advance(0.5)
        self.assertFalse((await gateway.send(b"sound")).blocked)

    # Several servers may end at once under a request that many callers send.
    async def test_success_at_one_gateway_clears_the_request_at_all(self):
        fleet = await self.start_fleet(gateways=3)
        digest = request_digest("POST", "/a/x", "t", b"sound")
        for number in range(MAX_CRASHES - 1):
            crash = {"digest": digest, "crash": f"c{number}"}
            await fleet.table.transact([], [Write(CRASHES, f"z{number}", crash)])
        await fleet.advance(STEP_S)
        await fleet.gateways[0].send(b"sound")
        await fleet.advance(STEP_S)
        crash = {"digest": digest, "crash": "last"}
        await fleet.table.transact([], [Write(CRASHES, "z-last", crash)])
        await fleet.advance(STEP_S)
        for gateway in fleet.gateways:
            self.assertFalse((await gateway.send(b"sound")).blocked)

    # Only losses shortly before the end can be due to the crash.
    async def test_resets_long_before_the_end_of_a_server_do_not_block(self):
        fleet = await self.start_fleet(servers=4, gateways=1, down_s=1e9)
        gateway = fleet.gateways[0]
        for server in fleet.servers[:MAX_CRASHES]:
            gateway.upstream.resets_left = 2
            await gateway.send(b"sound")
            await fleet.advance(8.0)
            server.crash(fleet.now)
            await fleet.advance(6.0)
        self.assertFalse((await gateway.send(b"sound")).blocked)


class LossLedgerTests(unittest.TestCase):
    ROW_TTL_S = 4.0

    def setUp(self):
        self.ledger = LossLedger(self.ROW_TTL_S)
        self.endpoint = make_endpoint("e1", started_at_ms=1)
        self.ledger.record_loss(self.endpoint, LostRequest("d"), 9.0, 10.0)

    def observe(self, read_at: float, reliable_since: float = 0.0) -> list[LostRequest]:
        return self.ledger.observe_list([self.endpoint], read_at, reliable_since)

    def test_loss_is_open_while_the_row_of_a_crashed_endpoint_may_be_listed(self):
        self.assertEqual(self.observe(13.9), [])
        self.assertIsNotNone(self.ledger.record_end(self.endpoint, 14.0))

    def test_endpoint_that_is_listed_after_that_closes_the_loss(self):
        self.assertEqual(self.observe(14.1), [LostRequest("d")])
        self.assertIsNone(self.ledger.record_end(self.endpoint, 15.0))

    # The row of a crashed endpoint may not expire during an outage of the list.
    def test_loss_is_open_until_the_list_has_been_reliable_for_that_time(self):
        self.assertEqual(self.observe(30.0, reliable_since=27.0), [])
        closed = self.observe(31.1, reliable_since=27.0)
        self.assertEqual(closed, [LostRequest("d")])

    # The success may say that the loss was chance, and the count needs both.
    def test_crash_states_when_the_request_was_lost(self):
        crash = self.ledger.record_end(self.endpoint, 11.0)
        self.assertEqual((crash.requests, crash.lost_at), ([LostRequest("d")], (10.0,)))

    def test_loss_is_a_crash_if_the_endpoint_has_ended_before(self):
        self.ledger.record_end(self.endpoint, 10.0)
        crash = self.ledger.record_loss(self.endpoint, LostRequest("other"), 9.5, 20.0)
        self.assertEqual(crash.requests, [LostRequest("other")])

    def test_loss_after_a_known_end_is_part_of_the_next_crash(self):
        first = self.ledger.record_end(self.endpoint, 11.0)
        self.assertIsNone(
            self.ledger.record_loss(self.endpoint, LostRequest("d"), 12.0, 13.0)
        )
        second = self.ledger.record_end(self.endpoint, 14.0)
        self.assertNotEqual(first.crash_id, second.crash_id)

    # The lost request reached the new run, which has not ended.
    def test_loss_after_a_known_end_is_open_after_the_restart_is_listed(self):
        self.ledger.record_end(self.endpoint, 11.0)
        self.ledger.record_loss(self.endpoint, LostRequest("d"), 12.0, 13.0)
        restarted = self.endpoint._replace(started_at_ms=2)
        self.assertIsNone(self.ledger.record_restart(self.endpoint, restarted, 14.0))
        self.assertIsNotNone(self.ledger.record_end(restarted, 15.0))


class ServerTests(unittest.TestCase):
    """The simulated server behaves as the platform's list describes."""

    def test_row_of_a_crashed_server_expires_after_three_heartbeats(self):
        server = Server(0, down_s=60.0)
        server.crash(0.1)
        server.tick(3.5)
        self.assertIsNotNone(server.row)
        server.tick(3.7)
        self.assertIsNone(server.row)


if __name__ == "__main__":
    unittest.main()

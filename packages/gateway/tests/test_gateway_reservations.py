"""Tests of attempts that are given up only together with what their successors need.

The pattern: several requests stall in the same moment, while what another attempt needs
is there for one of them.
"""

import asyncio
import logging
import unittest
from types import SimpleNamespace

from reply_world import make_events
from simulated_time import run_in_simulated_time
from stall_world import BODY, EVENTS, OTHER, STALLING, StallWorld

from slatehoist.gateway import Service
from slatehoist.gateway.settings import STREAM_IDLE_MARGIN_S
from slatehoist.gateway.streams import STALL_RECHECK_S

REQUESTS = 6
#: Seconds after which a stream counts as stalled, and a slow answer as late.
STALL_S = 1.5 + STREAM_IDLE_MARGIN_S
OBJECTIVE_S = 0.4


def setUpModule():
    logging.getLogger("slatehoist").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("slatehoist").setLevel(logging.NOTSET)


def limit_rate(world: StallWorld) -> None:
    """Let the other endpoint state a rate that allows one request."""
    world.forwarder.choice.holds._rates.observe(OTHER, 0.25, 100.0, 100.0)


def make_cold(world: StallWorld) -> None:
    """Let the other endpoint be cold, with room for one request in two seconds."""
    starts = world.forwarder.choice.cold._starts
    # The gateway has run for long, so that it knows what it has sent.
    starts._started_at = 0.0
    starts.record(OTHER, 60.0, 100.0)


class ReservationTests(unittest.TestCase):
    def play(
        self, is_stream: bool, prepare=lambda world: None, **fields
    ) -> tuple[StallWorld, list]:
        """Let requests stall until just after the check whether they are moved."""

        async def run():
            world = StallWorld(is_stream, **fields)
            prepare(world)
            check_s = STALL_S if is_stream else OBJECTIVE_S
            # They go on before the next check.
            return world, await world.play(REQUESTS, check_s + STALL_RECHECK_S / 2)

        return run_in_simulated_time(run())

    def check_all_whole(self, answers: list, is_stream: bool) -> None:
        for answer in answers:
            self.assertIn(" 200 ", answer.head.partition("\r\n")[0] + " ")
            self.assertTrue(answer.looks_complete)
            content = make_events(1, EVENTS) if is_stream else BODY
            self.assertEqual(answer.content, content)

    def check_given_back(self, world: StallWorld) -> None:
        """Check that only what the moved requests need is still taken."""
        self.assertEqual(world.budget.reserved, 0)
        choice = world.forwarder.choice
        stated = choice.holds._rates._stated.get(OTHER)
        if stated is not None:
            self.assertEqual(len(stated.sent), world.moved)

    # Guards against streams, and answers that can be repeated, that are ended for a
    # retry which only one of them gets, so that the others are lost (LOST).
    def test_only_as_many_requests_are_moved_as_the_budget_allows(self):
        for is_stream in (True, False):
            for retries in (0, 1, 2):
                with self.subTest(is_stream=is_stream, retries=retries):
                    world, answers = self.play(is_stream, retries=retries)
                    self.assertEqual(world.moved, retries)
                    self.check_all_whole(answers, is_stream)
                    self.check_given_back(world)

    # Guards against the same with what an endpoint has room for.
    def test_only_as_many_requests_are_moved_as_an_endpoint_takes(self):
        cases = (("rate", limit_rate, {}), ("cold", make_cold, {"cold_rate": 1.0}))
        for name, prepare, fields in cases:
            for is_stream in (True, False):
                with self.subTest(scarce=name, is_stream=is_stream):
                    world, answers = self.play(is_stream, prepare, **fields)
                    self.assertEqual(world.moved, 1)
                    self.check_all_whole(answers, is_stream)
                    self.check_given_back(world)

    # Guards against streams of a straggler that are ended without a reservation.
    def test_straggler_keeps_the_streams_that_nothing_is_reserved_for(self):
        async def run():
            world = StallWorld(True, retries=2)
            streams = world.forwarder.attempts.streams
            moved = []
            asyncio.get_running_loop().call_at(
                0.5, lambda: moved.append(streams.move_streams("e1"))
            )
            return world, await world.play(REQUESTS, 0.6), moved

        world, answers, moved = run_in_simulated_time(run())
        self.assertEqual(moved, [2])
        self.assertEqual(world.moved, 2)
        self.check_all_whole(answers, True)
        self.check_given_back(world)

    # Guards against room that is lost if the caller leaves, or the stream goes on, in
    # the moment in which its successor is reserved.
    def test_reservation_is_given_back_if_the_attempt_does_not_end_for_it(self):
        async def run(leaves: bool):
            world = StallWorld(True, retries=5)
            limit_rate(world)
            reserve = world.forwarder._reserve_successor

            def reserve_and_disturb(exchange):
                result = reserve(exchange)
                if result and leaves:
                    exchange.req.protocol.connection_lost(None)
                elif result:
                    exchange.req.task.cancel()
                return result

            world.forwarder._reserve_successor = reserve_and_disturb
            await world.play(1, 6.0)
            return world

        for leaves in (True, False):
            with self.subTest(leaves=leaves):
                world = run_in_simulated_time(run(leaves))
                self.assertEqual(world.moved, 0)
                self.check_given_back(world)

    # Guards against a stalled stream that waits although an endpoint is free again.
    def test_stalled_stream_is_moved_once_an_endpoint_takes_requests(self):
        async def run():
            world = StallWorld(True)
            held = world.forwarder.choice.holds._held_until
            held[OTHER] = 100.0 + STALL_S + 1.0
            answers = await world.play(1, 7.9)
            return world, answers

        world, answers = run_in_simulated_time(run())
        self.assertEqual(world.moved, 1)
        self.check_all_whole(answers, True)


class EndpointReservationTests(unittest.TestCase):
    def test_cancelled_reservation_restores_shares_and_slots_once(self):
        async def run() -> list[tuple[int, int, int]]:
            world = StallWorld(False, cold_rate=1.0)
            limit_rate(world)
            make_cold(world)
            world.add_other()
            now = world.clock()
            world.health.observe_allocation(OTHER, 2, now)
            exchange = SimpleNamespace(
                service=Service("app", cold_rate=1.0),
                tried={STALLING},
                hold=None,
                regions=(),
                unplaced=None,
            )
            uses = []
            for _ in range(2):
                reservation = world.forwarder.choice.reserve(exchange, now)
                uses.append(self.read_use(world))
                reservation.cancel()
                reservation.cancel()
                uses.append(self.read_use(world))
            return uses

        uses = run_in_simulated_time(run())
        self.assertEqual(uses, [(1, 1, 1), (0, 0, 2)] * 2)

    def read_use(self, world: StallWorld) -> tuple[int, int, int]:
        """Return the uses of the rate and of the cold start, and the slots left."""
        choice = world.forwarder.choice
        return (
            len(choice.holds._rates._stated[OTHER].sent),
            len(choice.cold._starts._states[OTHER].sent),
            world.health.get_record(OTHER).allocated,
        )


if __name__ == "__main__":
    unittest.main()

"""Tests of the gateway's admission, without network; time is an argument or patched."""

import asyncio
import logging
import random
import unittest
from types import SimpleNamespace
from unittest import mock

from gateway_builders import make_configuration, make_endpoint, make_engine, make_route

from slatehoist.gateway import Kind, RouteTable, Service, Team
from slatehoist.gateway import admission as admission_module
from slatehoist.gateway.admission import Admission, AdmissionError
from slatehoist.gateway.health import EndpointHealth
from slatehoist.observe import GatewayMetrics

SERVICE = Service("app", make_engine())
SLOTS = 20


def setUpModule():
    logging.getLogger("slatehoist").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("slatehoist").setLevel(logging.NOTSET)


class AdmissionWorld:
    """One gateway's admission in front of two endpoints whose load a test sets."""

    def __init__(self, instances: int = 1) -> None:
        self.now = 100.0
        self.endpoints = [make_endpoint(f"e{n}", concurrency=SLOTS // 2) for n in "12"]
        self.health = EndpointHealth()
        self.admission = Admission(
            lambda service, now: self.endpoints,
            self.health,
            lambda: instances,
            GatewayMetrics(),
            lambda: self.now,
        )
        self.admitted = []
        self.rejected = []

    def report(self, running: int) -> None:
        """Receive statuses that show a load, which includes all admitted requests."""
        own, others = len(self.admitted), running - len(self.admitted)
        for index, endpoint in enumerate(self.endpoints):
            record = self.health.get_record(endpoint.endpoint_id)
            record.inflight = (own + index) // 2
            load = record.inflight + (others + index) // 2
            self.health.observe_load(endpoint.endpoint_id, load, 0, self.now)
            self.health.observe_status(endpoint.endpoint_id, True, 1.0, self.now)

    def exchange(self, urgency: int = 0, objective_s: float = 1.0, **fields):
        """Build a request that arrives now."""
        values = {
            "service": SERVICE,
            "team": "t",
            "urgency": urgency,
            "route": make_route(kind=Kind.STREAM, pause_s=0.12),
            "arrived_at": self.now,
            "objective_at": self.now + objective_s,
            "deadline_at": self.now + 8.0,
            "info": SimpleNamespace(request_id="r", prompt_tokens=9, answer_tokens=9),
            "admitted_at": None,
            "first_byte_at": None,
            "is_stream": True,
        }
        return SimpleNamespace(**{**values, **fields})

    async def enter(self, exchange) -> None:
        """Enter the admission, and record how it ends."""
        try:
            await self.admission.enter(exchange)
        except AdmissionError:
            self.rejected.append(exchange)
        else:
            self.admitted.append(exchange)

    def leave(self, exchange) -> None:
        """End an admitted request."""
        self.admitted.remove(exchange)
        self.admission.leave(exchange)


class AdmissionTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        poll = mock.patch.object(admission_module, "POLL_S", 0.0)
        poll.start()
        self.addCleanup(poll.stop)

    async def settle(self):
        for _ in range(20):
            await asyncio.sleep(0)

    async def test_requests_are_admitted_at_once_while_slots_are_free(self):
        world = AdmissionWorld()
        world.report(0)
        for _ in range(SLOTS // 2):
            await world.enter(world.exchange(urgency=2))
        self.assertEqual(len(world.admitted), SLOTS // 2)

    # Guards against requests that are held back since no agent reports.
    async def test_requests_are_admitted_at_once_without_statuses(self):
        world = AdmissionWorld()
        for _ in range(5 * SLOTS):
            await world.enter(world.exchange(urgency=3))
        self.assertEqual(world.rejected, [])

    # Guards against a service without an engine that is limited.
    async def test_services_without_an_engine_are_not_limited(self):
        world = AdmissionWorld()
        world.report(5 * SLOTS)
        await world.enter(world.exchange(service=Service("plain")))
        self.assertEqual(len(world.admitted), 1)

    # Guards against callers that are held although they cannot be served in time.
    async def test_request_whose_wait_is_too_long_is_rejected_at_once(self):
        world = AdmissionWorld()
        world.report(SLOTS)
        await world.enter(world.exchange(urgency=2, objective_s=0.4))
        self.assertEqual(len(world.rejected), 1)

    async def test_request_waits_for_an_own_slot_and_gets_it_at_once(self):
        world = AdmissionWorld()
        world.report(0)
        for _ in range(SLOTS):
            await world.enter(world.exchange())
        world.report(SLOTS)
        waiting = asyncio.create_task(world.enter(world.exchange()))
        await self.settle()
        self.assertEqual(len(world.admitted), SLOTS)
        world.leave(world.admitted[0])
        await self.settle()
        self.assertTrue(waiting.done())
        self.assertEqual(len(world.admitted), SLOTS)

    # Guards against a less urgent request that overtakes a more urgent one.
    async def test_more_urgent_request_goes_first(self):
        world = AdmissionWorld()
        world.report(0)
        for _ in range(SLOTS):
            await world.enter(world.exchange())
        # The arrivals until now no longer reserve slots.
        world.now += 3.0
        world.report(SLOTS)
        late = [world.exchange(urgency=u) for u in (2, 1, 0)]
        tasks = [asyncio.create_task(world.enter(e)) for e in late]
        await self.settle()
        for _ in range(5):
            world.leave(world.admitted[0])
            await self.settle()
        order = [exchange.urgency for exchange in world.admitted if exchange in late]
        self.assertEqual(order, [0, 1, 2])
        await asyncio.gather(*tasks)

    # Guards against requests that stay in the queue after their wait has ended.
    async def test_waiting_request_is_rejected_when_it_cannot_be_in_time(self):
        world = AdmissionWorld()
        world.report(0)
        for _ in range(SLOTS):
            await world.enter(world.exchange())
        world.report(SLOTS)
        task = asyncio.create_task(world.enter(world.exchange()))
        await self.settle()
        world.now += 0.9
        world.report(SLOTS)
        await self.settle()
        self.assertTrue(task.done())
        self.assertEqual(len(world.rejected), 1)

    # Guards against requests that stay in the queue after the task that admits them has
    # failed.
    async def test_waiting_request_is_rejected_if_the_task_fails(self):
        world = AdmissionWorld()
        world.report(0)
        for _ in range(SLOTS):
            await world.enter(world.exchange())
        world.report(SLOTS)
        with mock.patch.object(Admission, "_admit_waiting", side_effect=ValueError):
            task = asyncio.create_task(world.enter(world.exchange(objective_s=0.5)))
            async with asyncio.timeout(2.0):
                await task
        self.assertEqual(len(world.rejected), 1)

    # Guards against pauses that are kept for a route without a limit on them.
    async def test_pauses_of_a_route_without_a_limit_are_not_kept(self):
        world = AdmissionWorld()
        world.report(0)
        exchange = world.exchange(route=make_route(kind=Kind.STREAM))
        await world.enter(exchange)
        world.admission.record_pause(exchange, 1.0, world.now)
        self.assertEqual(world.admission._services["app"].limit._pauses, [])

    # Guards against slots that are lost when waiting callers leave.
    async def test_caller_that_leaves_while_it_waits_uses_no_slot(self):
        world = AdmissionWorld()
        world.report(0)
        for _ in range(SLOTS):
            await world.enter(world.exchange())
        world.report(SLOTS)
        task = asyncio.create_task(world.admission.enter(world.exchange()))
        await self.settle()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for exchange in list(world.admitted):
            world.leave(exchange)
        state = world.admission._services["app"]
        self.assertEqual(state.active, 0)
        self.assertFalse(any(state.queues.values()))

    # Guards against requests that are neither admitted nor rejected, or both, and
    # against state that grows: drawn arrivals, ends, loads and callers that leave.
    async def test_each_request_ends_in_exactly_one_way(self):
        rng = random.Random(3)
        for instances in (1, 16):
            world = AdmissionWorld(instances)
            tasks, left = [], 0
            for _ in range(1500):
                world.now += rng.expovariate(30.0)
                if rng.random() < 0.2:
                    world.report(rng.randrange(2 * SLOTS))
                exchange = world.exchange(
                    rng.randrange(4), rng.choice((-1.0, 0.4, 1.0))
                )
                tasks.append(asyncio.create_task(world.enter(exchange)))
                await asyncio.sleep(0)
                if world.admitted and rng.random() < 0.9:
                    world.leave(rng.choice(world.admitted))
                    left += 1
                if rng.random() < 0.05:
                    tasks[-1].cancel()
            world.now += 10.0
            world.report(0)
            await self.settle()
            outcomes = await asyncio.gather(*tasks, return_exceptions=True)
            cancelled = sum(
                isinstance(outcome, asyncio.CancelledError) for outcome in outcomes
            )
            ended = len(world.admitted) + left + len(world.rejected) + cancelled
            self.assertEqual(ended, len(tasks))
            state = world.admission._services["app"]
            self.assertEqual(state.active, len(world.admitted))
            self.assertFalse(any(state.queues.values()))
            self.assertIsNone(state.pump)


class UrgencyTests(unittest.TestCase):
    def test_team_decides_before_the_route(self):
        teams = (Team("a", ("a",), 0), Team("b", ("b",), 1))
        routes = tuple(make_route(f"/{p}/", priority=p) for p in range(3))
        table = RouteTable(make_configuration(1, routes=routes, teams=teams))
        ranks = [table.urgency(route, team) for team in teams for route in routes]
        self.assertEqual(ranks, sorted(ranks))
        self.assertEqual(len(set(ranks)), 6)

    def test_routes_decide_if_teams_state_no_priority(self):
        routes = tuple(make_route(f"/{p}/", priority=p) for p in (7, 2))
        table = RouteTable(make_configuration(1, routes=routes))
        team = table.cfg.teams[0]
        self.assertGreater(
            table.urgency(routes[0], team), table.urgency(routes[1], team)
        )

    def test_many_priorities_fit_the_levels_of_endpoints(self):
        routes = tuple(make_route(f"/{p}/", priority=p) for p in range(40))
        table = RouteTable(make_configuration(1, routes=routes))
        ranks = [table.urgency(route, None) for route in routes]
        self.assertEqual(ranks, sorted(ranks))
        self.assertLessEqual(max(ranks), 9)


if __name__ == "__main__":
    unittest.main()

"""Tests of the gateway's part in the even choice: statuses, reports, demand, rules."""

import unittest

import msgspec
from gateway_builders import make_endpoint, make_engine
from gateway_fleet import Fleet

from slatehoist.gateway import EngineSpec, Service
from slatehoist.gateway.directory import EndpointDirectory
from slatehoist.gateway.health import ALLOCATION_S, REPORT_TRAVEL_S, EndpointHealth
from slatehoist.gateway.settings import POOL_IDLE_S
from slatehoist.gateway.statuses import BUFFERED_S, STANDSTILL_S, StatusFeed
from slatehoist.maps import RankStatus, Subscription


class ReportTests(unittest.TestCase):
    def setUp(self):
        self.health = EndpointHealth()
        self.endpoint = make_endpoint("e1")

    def send(self, now: float) -> None:
        self.health.record_sent("e1", now)
        self.health.get_record("e1").inflight += 1

    # Guards against an endpoint that looks free just after a request was sent to it: a
    # report that had crossed the request was read as if it included it.
    def test_request_that_a_report_cannot_include_is_added_to_it(self):
        self.send(10.0)
        self.send(10.0 + REPORT_TRAVEL_S)
        self.health.observe_load("e1", 3, 0, 10.0 + REPORT_TRAVEL_S * 1.5)
        candidate = self.health.candidate(self.endpoint, 10.02)
        self.assertEqual((candidate.reported_load, candidate.own_at_report), (3, 1))
        self.assertEqual(candidate.own_inflight, 2)

    def test_connection_is_idle_from_the_end_of_an_attempt_until_its_reuse(self):
        record = self.health.get_record("e1")
        self.assertFalse(record.has_idle_connection(10.0))
        self.send(10.0)
        record.record_end(11.0)
        self.assertEqual(record.inflight, 0)
        self.assertTrue(record.has_idle_connection(11.1))
        self.assertFalse(record.has_idle_connection(11.0 + POOL_IDLE_S))
        self.send(11.2)
        self.assertFalse(record.has_idle_connection(11.3))

    def test_allocated_slots_are_used_up_and_expire(self):
        self.health.observe_allocation("e1", 2, 10.0)
        self.send(10.05)
        self.assertEqual(self.health.candidate(self.endpoint, 10.1).allocated, 1)
        expired_at = 10.0 + ALLOCATION_S + 0.01
        self.assertEqual(self.health.candidate(self.endpoint, expired_at).allocated, 0)
        self.assertEqual(self.health.allocated([self.endpoint], expired_at), 0)

    # Guards against random choices while the only reports are the loads in responses.
    def test_statuses_of_agents_are_known_while_they_are_fresh(self):
        self.assertFalse(self.health.has_status([self.endpoint], 10.0))
        self.health.observe_status("e1", True, 1.0, 10.0)
        self.assertTrue(self.health.has_status([self.endpoint], 10.1))
        self.assertFalse(self.health.has_status([self.endpoint], 12.0))

    def test_restarted_endpoint_has_no_allocated_slots(self):
        self.health.observe_allocation("e1", 2, 10.0)
        self.health.forget("e1")
        self.assertEqual(self.health.candidate(self.endpoint, 10.0).allocated, 0)


class RuleTests(unittest.IsolatedAsyncioTestCase):
    async def choose(self, gateways: int, engine: EngineSpec | None, allocated: int):
        """Return the rule that chose an endpoint, and the ids of those tried."""
        fleet = await Fleet(4, gateways, 1).start()
        gateway = fleet.gateways[0]
        gateway.observe_groups(is_open=True)
        name = fleet.servers[2].name
        gateway.health.observe_allocation(name, allocated, fleet.now)
        exchange = await gateway.send(b"sound", engine=engine)
        return exchange.chosen_by, exchange.tried, name

    async def test_endpoint_with_allocated_slots_is_chosen(self):
        engine = make_engine(report_lag_ms=200.0)
        rule, tried, allocating = await self.choose(6, engine, allocated=1)
        self.assertEqual((rule, tried), ("allocated", {allocating}))

    async def test_endpoint_is_chosen_by_estimate_without_allocated_slots(self):
        engine = make_engine(report_lag_ms=200.0)
        rule, tried, _ = await self.choose(6, engine, allocated=0)
        self.assertEqual((rule, len(tried)), ("estimated", 1))

    # Guards against a change for deployments that do not state the age of reports.
    async def test_default_chooser_is_used_with_few_gateways_or_without_stated_age(
        self,
    ):
        cases = (5, make_engine(200.0)), (6, make_engine()), (6, None)
        for gateways, engine in cases:
            with self.subTest(gateways=gateways, engine=engine):
                rule, _, _ = await self.choose(gateways, engine, allocated=1)
                self.assertEqual(rule, "")


class _Transport:
    """Transport that records what is sent."""

    def __init__(self) -> None:
        self.sent: dict[str, Subscription] = {}

    def sendto(self, data: bytes, addr: tuple) -> None:
        self.sent[addr[0]] = msgspec.msgpack.decode(data, type=Subscription)


class StatusFeedTests(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.health = EndpointHealth()
        self.endpoint = make_endpoint("e1", address="10.0.0.1:80")
        directory = EndpointDirectory(2.0)
        directory.update([self.endpoint], self.now)
        self.feed = StatusFeed(
            "g",
            ("10.9.0.1", 7000),
            directory,
            self.health,
            lambda name, pace: None,
            lambda: self.now,
            lambda service, endpoint, now: 2.5,
        )
        self.feed._transport = _Transport()
        self.service = Service("app", make_engine())

    def receive(self, allocated: int) -> int:
        """Receive a status, and return the slots that the gateway may fill."""
        status = RankStatus("10.0.0.1:80", True, 1, 0, 1.0, allocated)
        self.feed.datagram_received(msgspec.msgpack.encode(status), ("10.0.0.1", 7000))
        return self.health.candidate(self.endpoint, self.now).allocated

    def test_status_allocates_slots_until_the_next_one(self):
        self.assertEqual(self.receive(2), 2)
        self.assertEqual(self.receive(0), 0)

    def test_negative_number_of_slots_allocates_none(self):
        self.assertEqual(self.receive(-3), 0)

    # Guards against slots of old statuses, which waited in the receive buffer of a
    # process that stood still, and were allocated to other gateways since.
    def test_statuses_that_waited_while_the_process_stood_still_allocate_nothing(self):
        self.feed.check(self.now, [self.service])
        self.now += STANDSTILL_S + 3.0
        self.assertEqual(self.receive(2), 0)
        self.feed.check(self.now, [self.service])
        self.now += BUFFERED_S / 2
        self.assertEqual(self.receive(2), 0)
        self.now += BUFFERED_S
        self.feed.check(self.now, [self.service])
        self.assertEqual(self.receive(2), 2)

    def test_subscription_states_the_demand(self):
        self.feed.check(self.now, [self.service])
        self.assertEqual(
            self.feed._transport.sent, {"10.0.0.1": Subscription("g", 2.5)}
        )


if __name__ == "__main__":
    unittest.main()

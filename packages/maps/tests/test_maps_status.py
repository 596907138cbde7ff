"""Tests of statuses: allocated slots, and messages of older and newer processes."""

import logging
import unittest
from collections import Counter

import msgspec
from group_world import GroupSize, GroupWorld, Subscriber

from slatehoist.maps import RankStatus, Subscription
from slatehoist.maps.agent import STATUS_INTERVAL_S

SIZE = GroupSize(4, 2, 8, 5, link_mbps=100.0, slots=5)


class OldSubscription(msgspec.Struct, array_like=True, tag=1):
    """Subscription as processes without allocated slots know it."""

    subscriber: str


class OldStatus(msgspec.Struct, array_like=True, tag=2):
    """Status as processes without allocated slots know it."""

    address: str
    is_open: bool
    running: int
    waiting: int
    pace: float


def setUpModule():
    logging.getLogger("slatehoist").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("slatehoist").setLevel(logging.NOTSET)


class CompatibilityTests(unittest.TestCase):
    """Guards against gateways and agents of different versions that lose statuses."""

    def test_old_agent_reads_a_new_subscription(self):
        data = msgspec.msgpack.encode(Subscription("g", 2.5))
        self.assertEqual(
            msgspec.msgpack.decode(data, type=OldSubscription), OldSubscription("g")
        )

    def test_new_agent_reads_an_old_subscription_as_one_without_demand(self):
        data = msgspec.msgpack.encode(OldSubscription("g"))
        self.assertEqual(
            msgspec.msgpack.decode(data, type=Subscription), Subscription("g", 0.0)
        )

    def test_old_gateway_reads_a_new_status(self):
        data = msgspec.msgpack.encode(RankStatus("h:1", True, 3, 1, 1.0, allocated=2))
        self.assertEqual(
            msgspec.msgpack.decode(data, type=OldStatus),
            OldStatus("h:1", True, 3, 1, 1.0),
        )

    def test_new_gateway_reads_an_old_status_as_one_without_slots(self):
        data = msgspec.msgpack.encode(OldStatus("h:1", True, 3, 1, 1.0))
        self.assertEqual(
            msgspec.msgpack.decode(data, type=RankStatus),
            RankStatus("h:1", True, 3, 1, 1.0, allocated=0),
        )


class AllocationTests(unittest.TestCase):
    def run_world(self, *demands: float, size: GroupSize = SIZE) -> list[Subscriber]:
        """Return the subscribers of a group that was run for five seconds."""
        world = GroupWorld(size, 100.0)
        subscribers = [
            Subscriber(world, f"10.9.0.{index}", demand)
            for index, demand in enumerate(demands)
        ]
        for at in (0.5, 2.0, 3.5):
            world.events += [(at, subscriber.subscribe) for subscriber in subscribers]
        world.run(5.0)
        return subscribers

    def total(self, subscriber: Subscriber) -> int:
        return sum(status.allocated for _, _, status in subscriber.statuses)

    def test_free_slots_are_allocated_by_demand_and_only_to_those_that_have_some(self):
        large, small, old = self.run_world(3.0, 1.0, 0.0)
        self.assertAlmostEqual(self.total(large) / self.total(small), 3.0, delta=0.3)
        self.assertEqual(self.total(old), 0)

    # Guards against more messages than without allocation, and against two gateways
    # that fill the same slot.
    def test_each_subscriber_gets_one_status_per_interval(self):
        subscribers = self.run_world(1.0, 1.0, 1.0)
        for subscriber in subscribers:
            per_agent = Counter(host for _, host, _ in subscriber.statuses)
            self.assertEqual(len(per_agent), SIZE.ranks)
            for count in per_agent.values():
                self.assertLessEqual(count, 4.5 / STATUS_INTERVAL_S + 1)
        by_moment = Counter()
        for subscriber in subscribers:
            for at, host, status in subscriber.statuses:
                by_moment[host, round(at, 2)] += status.allocated
        self.assertLessEqual(max(by_moment.values()), SIZE.slots)

    def test_agent_that_does_not_know_the_slots_allocates_none(self):
        (subscriber,) = self.run_world(1.0, size=SIZE._replace(slots=0))
        self.assertGreater(len(subscriber.statuses), 20)
        self.assertEqual(self.total(subscriber), 0)


if __name__ == "__main__":
    unittest.main()

"""Tests of the even choice: allocated slots, estimated free slots, stated demand."""

import random
import unittest
from collections import Counter

from slatehoist.routing import Candidate, CapacityAllocator, EvenChooser, ZoneDemand


def make_candidate(name: str, zone: str = "a", **fields) -> Candidate:
    """Build a candidate with five slots and a fresh report."""
    return Candidate(name, zone, **{"concurrency": 5, **fields})


class CapacityAllocatorTests(unittest.TestCase):
    def allocate(self, demands: dict[str, float], rounds: int, free: int = 1):
        allocator = CapacityAllocator(random.Random(1))
        for name, demand in demands.items():
            allocator.set_demand(name, demand)
        total = Counter()
        for _ in range(rounds):
            total.update(allocator.allocate(free))
        return total

    # Guards against two gateways that fill the same slot.
    def test_no_more_slots_than_free_ones_are_allocated(self):
        allocator = CapacityAllocator(random.Random(1))
        for index in range(20):
            allocator.set_demand(index, 1.0 + index)
        for free in range(-1, 8):
            allocated = allocator.allocate(free)
            self.assertLessEqual(sum(allocated.values()), max(free, 0))
            self.assertEqual(bool(allocated), free > 0)

    def test_slots_are_allocated_in_proportion_to_demand(self):
        total = self.allocate({"a": 6.0, "b": 3.0, "c": 1.0}, 1000)
        self.assertAlmostEqual(total["a"], 600, delta=3)
        self.assertAlmostEqual(total["b"], 300, delta=3)
        self.assertAlmostEqual(total["c"], 100, delta=3)

    # Guards against a gateway that is never served because its share is small.
    def test_subscriber_with_little_demand_gets_a_turn(self):
        total = self.allocate({"large": 100.0, "small": 1.0}, 120)
        self.assertGreaterEqual(total["small"], 1)

    def test_subscriber_without_demand_or_removed_gets_nothing(self):
        allocator = CapacityAllocator(random.Random(1))
        allocator.set_demand("old", 0.0)
        self.assertEqual(allocator.allocate(5), {})
        allocator.set_demand("new", 1.0)
        allocator.remove("new")
        self.assertEqual(allocator.allocate(5), {})

    # Guards against demands of damaged messages, which would make all turns NaN.
    def test_demand_that_is_no_finite_number_counts_as_none(self):
        for demand in (float("nan"), float("inf"), -1.0):
            with self.subTest(demand=demand):
                allocator = CapacityAllocator(random.Random(1))
                allocator.set_demand("broken", demand)
                allocator.set_demand("sound", 1.0)
                self.assertEqual(allocator.allocate(2), {"sound": 1})

    # Guards against agents that start together and allocate all slots to one gateway.
    def test_agents_that_start_together_begin_with_different_subscribers(self):
        first = Counter()
        for seed in range(200):
            allocator = CapacityAllocator(random.Random(seed))
            for name in "abcd":
                allocator.set_demand(name, 1.0)
            first.update(allocator.allocate(1))
        self.assertLess(max(first.values()), 80)


class EvenChooserTests(unittest.TestCase):
    def choose(self, *candidates: Candidate, zone: str = "a") -> Counter:
        chooser = EvenChooser(random.Random(1))
        return Counter(chooser.choose(candidates, zone).name for _ in range(400))

    def test_least_loaded_endpoint_with_an_allocation_is_chosen(self):
        chosen = self.choose(
            make_candidate("idle"),
            make_candidate("busy", reported_load=4, allocated=1),
            make_candidate("free", reported_load=2, allocated=1),
        )
        self.assertEqual(chosen, {"free": 400})

    # Guards against requests that are spread over more connections than needed.
    def test_idle_connection_outweighs_one_request(self):
        near = make_candidate("new", reported_load=1, allocated=1)
        connected = make_candidate(
            "connected", reported_load=2, allocated=1, has_idle_connection=True
        )
        self.assertEqual(self.choose(connected, near), {"connected": 400})
        busy = connected._replace(reported_load=3)
        self.assertEqual(self.choose(busy, near), {"new": 400})

    def test_request_stays_in_the_zone_while_it_has_free_slots(self):
        chosen = self.choose(
            make_candidate("near", reported_load=3),
            make_candidate("far", "b", allocated=2),
        )
        self.assertEqual(chosen, {"near": 400})

    def test_request_leaves_a_full_zone(self):
        chosen = self.choose(
            make_candidate("near", reported_load=5),
            make_candidate("far", "b", reported_load=3),
        )
        self.assertEqual(chosen, {"far": 400})

    # Guards against requests that leave the zone although that gains nothing.
    def test_request_stays_in_the_zone_if_the_others_are_as_full(self):
        zones = [
            make_candidate(f"{zone}{i}", zone, reported_load=4 + (i > 0))
            for zone in "abc"
            for i in range(4)
        ]
        self.assertEqual(self.choose(*zones), {"a0": 400})

    # Guards against gateways that all choose the minimum of the same reports.
    def test_estimated_choice_is_spread_by_free_slots(self):
        chosen = self.choose(
            make_candidate("empty"),
            make_candidate("half", reported_load=3),
            make_candidate("full", reported_load=5),
        )
        self.assertGreater(chosen["empty"], chosen["half"])
        self.assertGreater(chosen["half"], 20)
        self.assertEqual(chosen["full"], 0)

    def test_old_report_counts_less_than_the_mean(self):
        old = float("inf")
        chosen = self.choose(
            make_candidate("unknown", report_age_s=old),
            make_candidate("known", reported_load=4),
        )
        self.assertGreater(chosen["unknown"], 200)

    def test_full_endpoints_are_chosen_if_there_are_no_others(self):
        full = [make_candidate(f"e{i}", reported_load=5 + i) for i in range(3)]
        self.assertEqual(sum(self.choose(*full).values()), 400)
        self.assertIsNone(EvenChooser(random.Random(1)).choose([], "a"))


class ZoneDemandTests(unittest.TestCase):
    def test_demand_is_the_rate_of_requests_and_of_those_that_leave(self):
        demand = ZoneDemand()
        for index in range(2000):
            demand.record(index % 4 == 0, index / 100)
        self.assertAlmostEqual(demand.per_second(True, 20.0), 100, delta=2)
        self.assertAlmostEqual(demand.per_second(False, 20.0), 25, delta=2)

    def test_idle_gateway_states_a_small_demand(self):
        demand = ZoneDemand()
        self.assertGreater(demand.per_second(True, 0.0), 0)
        self.assertGreater(demand.per_second(False, 0.0), 0)
        demand.record(False, 0.0)
        self.assertLess(demand.per_second(True, 60.0), 1)


if __name__ == "__main__":
    unittest.main()

"""Tests of demand estimates, plans, group states and versions, without a network."""

import random
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from slatehoist.maps import PlanLimits, PlanSettings, plan
from slatehoist.maps.coordinator import is_outdated
from slatehoist.maps.demand import BUCKET_S, DemandWindow, from_pairs, to_pairs
from slatehoist.maps.peers import MAX_STATE_AGE_S, Group, PeerState
from slatehoist.maps.placement import (
    copies_by_rank,
    initial_placement,
    is_valid,
    skew,
)
from slatehoist.maps.planner import _SetPlanner
from slatehoist.maps.switch import coordinator_of, next_version

SETS, RANKS, EXPERTS, PLACES = 3, 12, 96, 11
#: At most 4 new experts per rank and set, and one copy per rank in each plan.
LIMITS = PlanLimits(PLACES, 4, 1, 0.03)


def popularity(rng: random.Random) -> list[list[float]]:
    """Return a random demand with a power-law distribution over the experts."""
    shares = [(index + 1) ** -1.3 for index in range(EXPERTS)]
    total = sum(shares)
    return [
        [share / total for share in rng.sample(shares, EXPERTS)] for _ in range(SETS)
    ]


def make_state(rank: int, **fields) -> PeerState:
    """Return a rank's state with defaults for the fields that are not given."""
    values = {
        "address": f"10.0.0.{rank + 1}:80",
        "group": "g",
        "epoch": 1,
        "rank": rank,
        "size": 3,
        "is_open": True,
        "step": 5,
        "map_version": 0,
        "prepared": None,
        "armed": None,
        "held": None,
        "running": 1,
        "waiting": 0,
        "experts": [[rank]],
    }
    return PeerState(**{**values, **fields})


class PlannerTests(unittest.TestCase):
    def test_two_plans_of_one_copy_per_rank_lower_skew_after_demand_shift(self):
        for seed in range(5):
            demand = popularity(random.Random(seed))
            placement = initial_placement(SETS, RANKS, EXPERTS)
            self.assertGreater(skew(placement, demand), 2.5)
            for _ in range(2):
                placement = plan(placement, demand, LIMITS)
            with self.subTest(seed=seed):
                self.assertLess(skew(placement, demand), 1.5)

    def test_copies_of_a_plan_fit_the_copy_time(self):
        # A plan whose copies take much longer than `copy_time_s` could be outdated
        # before it is in use. The arguments are the seconds of one copy on a standard
        # and on a large deployment.
        cfg = PlanSettings()
        self.assertEqual(cfg.copies_per_rank(0.4), 1)
        self.assertLessEqual(cfg.copies_per_rank(0.076) * 0.076, 0.2)

    def test_change_to_one_set_searches_only_that_set_again(self):
        sets, ranks = 16, 24
        rng = random.Random(1)
        demand = [popularity(rng)[0] for _ in range(sets)]
        placement = initial_placement(sets, ranks, EXPERTS)
        limits = PlanLimits(places=5, spare=2, copies_per_rank=5, min_gain=0.03)
        search = _SetPlanner._search
        with mock.patch.object(
            _SetPlanner, "_search", autospec=True, side_effect=search
        ) as searches:
            planned = plan(placement, demand, limits)
        changes = sum(copies_by_rank(placement, planned))
        self.assertGreater(changes, 100)
        # One search of the changed set after each change, and a few more for sets whose
        # best change needs a rank that has no copies left.
        self.assertLess(searches.call_count, 4 * changes)

    @settings(max_examples=20)
    @given(st.integers(0, 10**6))
    def test_plans_respect_places_and_copies_per_rank(self, seed):
        rng = random.Random(seed)
        placement = initial_placement(SETS, RANKS, EXPERTS)
        for _ in range(4):
            planned = plan(placement, popularity(rng), LIMITS)
            self.assertTrue(is_valid(planned, EXPERTS, PLACES))
            self.assertLessEqual(max(copies_by_rank(placement, planned)), 1)
            placement = planned

    def test_steady_demand_needs_at_most_one_copy_after_six_plans(self):
        demand = popularity(random.Random(1))
        placement = initial_placement(SETS, RANKS, EXPERTS)
        for _ in range(6):
            placement = plan(placement, demand, LIMITS)
        again = plan(placement, demand, LIMITS)
        self.assertLessEqual(sum(copies_by_rank(placement, again)), 1)

    def test_plans_move_popular_experts_away_from_a_slow_rank(self):
        demand = popularity(random.Random(2))
        # The work of rank 0 takes 12 times as long as usual.
        pace = [12.0] + [1.0] * (RANKS - 1)
        placement = initial_placement(SETS, RANKS, EXPERTS)
        before = skew(placement, demand, pace)
        for _ in range(5):
            placement = plan(placement, demand, LIMITS, pace)
            self.assertTrue(is_valid(placement, EXPERTS, PLACES))
        self.assertGreater(before, 4.0)
        self.assertLess(skew(placement, demand, pace), 2.0)

    def test_plan_is_outdated_under_another_demand_but_not_its_own(self):
        demand = popularity(random.Random(2))
        pace = [12.0] + [1.0] * (RANKS - 1)
        placement = initial_placement(SETS, RANKS, EXPERTS)
        planned = plan(placement, demand, LIMITS, pace)
        expected = skew(planned, demand, pace)
        self.assertGreater(expected, 2.1)
        self.assertFalse(is_outdated(planned, demand, pace, expected))
        other = popularity(random.Random(3))
        even = [1.0] * RANKS
        planned = plan(placement, demand, LIMITS, even)
        expected = skew(planned, demand, even)
        self.assertTrue(is_outdated(planned, other, even, expected))

    def test_plan_without_demand_keeps_the_placement(self):
        placement = initial_placement(SETS, RANKS, EXPERTS)
        demand = [[0.0] * EXPERTS for _ in range(SETS)]
        self.assertEqual(plan(placement, demand, LIMITS), placement)


class DemandTests(unittest.TestCase):
    def add_buckets(self, window, counts, start, buckets):
        for index in range(buckets):
            window.add(counts, start + index * BUCKET_S)

    def test_estimate_follows_a_change_within_one_bucket(self):
        window = DemandWindow(1, 4)
        self.add_buckets(window, [90, 5, 3, 2], 0.0, 10)
        self.add_buckets(window, [2, 3, 5, 90], 1.0, 1)
        self.assertGreater(window.estimate()[0][3], 0.8)

    def test_steady_demand_is_averaged_over_the_window(self):
        window = DemandWindow(1, 4)
        for index in range(10):
            noisy = [60 + 10 * (index % 2), 20, 10, 10 - 10 * (index % 2)]
            self.add_buckets(window, noisy, index * BUCKET_S, 1)
        self.assertAlmostEqual(window.estimate()[0][0], 0.65, delta=0.02)

    def test_pairs_keep_only_the_larger_counts(self):
        # Two sets of four experts; counts below `MIN_SENT_SHARE` are left out.
        counts = [900, 3, 80, 17] + [1, 500, 2, 497]
        pairs = to_pairs(counts, 2)
        self.assertEqual(from_pairs(pairs, 8), [900, 0, 80, 17, 0, 500, 0, 497])
        with self.assertRaises(ValueError):
            from_pairs([8, 1], 8)

    def test_counts_of_another_length_are_refused(self):
        with self.assertRaises(ValueError):
            DemandWindow(1, 4).add([1, 2], 0.0)

    def test_estimate_is_none_before_the_first_counts(self):
        self.assertIsNone(DemandWindow(1, 4).estimate())


class GroupTests(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.group = Group(lambda: self.now)

    def test_lowest_rank_with_a_live_agent_leads(self):
        for rank in (2, 1):
            self.group.record_heartbeat(make_state(rank), 0.0)
        self.assertEqual(self.group.leader(0.1), 1)
        self.group.record_heartbeat(make_state(2), 1.0)
        self.assertEqual(self.group.leader(1.0), 2)

    def test_rank_whose_agent_sent_no_heartbeat_does_not_lead(self):
        self.group.record_heartbeat(make_state(1), 0.0)
        self.group.record_state(make_state(0), 0.0)
        self.assertEqual(self.group.leader(0.1), 1)

    def test_state_of_an_older_epoch_is_ignored(self):
        self.group.record_heartbeat(make_state(0, epoch=2, step=1), 0.0)
        self.group.record_heartbeat(make_state(0, epoch=1, step=99), 0.1)
        self.assertEqual(self.group.state(0, 0.1).step, 1)

    def test_expired_state_is_not_returned(self):
        self.group.record_heartbeat(make_state(0), 0.0)
        self.assertIsNone(self.group.state(0, MAX_STATE_AGE_S + 0.01))

    def test_last_switch_step_is_kept_within_an_epoch_and_reset_in_the_next(self):
        self.group.record_heartbeat(make_state(0, held=40), 0.0)
        self.group.record_heartbeat(make_state(0), 0.1)
        self.assertEqual(self.group.last_switch_step, 40)
        self.group.record_heartbeat(make_state(0, epoch=2), 0.2)
        self.assertEqual(self.group.last_switch_step, 0)

    def test_versions_are_unique_to_their_coordinator(self):
        first, second = next_version([130], 2), next_version([130], 3)
        self.assertNotEqual(first, second)
        self.assertEqual(coordinator_of(first), 2)
        self.assertGreater(min(first, second), 130)


if __name__ == "__main__":
    unittest.main()

import random
import unittest

from builders import make_candidate
from slatehoist.routing import (
    AdaptiveLimit,
    LoadAwareChooser,
    Peer,
    QuotaHolder,
    QuotaHome,
    RetryBudget,
    SharedRetryBudget,
    TokenBucket,
    choose_subset,
    home_entry,
    may_fail_fast,
    prefix_keys,
    retry_after_s,
    subset_size,
)


class TokenBucketTests(unittest.TestCase):
    def test_empty_bucket_returns_seconds_until_refill(self):
        bucket = TokenBucket(2.0, 1.0, 0.0)
        self.assertEqual(bucket.take(0.0), 0.0)
        self.assertAlmostEqual(bucket.take(0.0), 0.5)
        self.assertEqual(bucket.take(0.5), 0.0)


class AdaptiveLimitTests(unittest.TestCase):
    def test_slow_steps_decrease_and_fast_steps_increase_the_limit(self):
        limit = AdaptiveLimit(4, 32, target_step_s=0.05)
        for now in range(20):
            limit.observe(0.2, 32, float(now))
        self.assertEqual(limit.limit, 4)
        for now in range(20, 80):
            limit.observe(0.01, limit.limit, float(now))
        self.assertEqual(limit.limit, 32)

    def test_limit_does_not_increase_while_slots_are_unused(self):
        limit = AdaptiveLimit(4, 32, target_step_s=0.05)
        for now in range(20):
            limit.observe(0.2, 32, float(now))
        for now in range(20, 40):
            limit.observe(0.01, 1, float(now))
        self.assertEqual(limit.limit, 4)


class QuotaTests(unittest.TestCase):
    def test_live_shares_never_exceed_the_rate(self):
        home, rng = QuotaHome(), random.Random(3)
        live = {}
        for i in range(500):
            entry, now = f"e{rng.randrange(6)}", i * 0.1
            live[entry] = home.grant("t", entry, rng.uniform(0, 300), 100.0, now)
            total = sum(s.rate for s in live.values() if s.expires > now)
            self.assertLessEqual(total, 100.0 + 1e-6)

    def test_share_shrinks_without_renewal(self):
        holder = QuotaHolder(100.0, 2, 0.0)
        allowed = [
            sum(holder.take(second + i / 400) == 0.0 for i in range(400))
            for second in range(10)
        ]
        self.assertLess(allowed[9], allowed[0] / 4)

    def test_home_entry_does_not_depend_on_the_order_of_entries(self):
        entries = ["a", "b", "c"]
        self.assertEqual(home_entry("t", entries), home_entry("t", entries[::-1]))


class SharedRetryBudgetTests(unittest.TestCase):
    def setUp(self):
        self.budget = SharedRetryBudget(0.0, 1.0, 10.0)

    # Guards against retries that arrive in one window although they were allowed in
    # two.
    def test_retry_counts_until_a_window_after_its_arrival(self):
        retry = self.budget.reserve(100.0, 1.0)
        self.assertFalse(self.budget.has_room(115.0, 1.0))
        self.assertIsNone(self.budget.reserve(115.0, 1.0))
        retry.record_arrival(115.0)
        self.assertIsNone(self.budget.reserve(124.9, 1.0))
        self.assertIsNotNone(self.budget.reserve(125.1, 1.0))

    def test_retry_that_is_not_sent_leaves_its_room_to_another(self):
        self.budget.reserve(100.0, 1.0).cancel()
        self.assertIsNotNone(self.budget.reserve(100.0, 1.0))

    def test_retry_that_has_arrived_cannot_be_cancelled(self):
        retry = self.budget.reserve(100.0, 1.0)
        retry.record_arrival(100.0)
        retry.record_arrival(104.0)
        retry.cancel()
        self.assertEqual(self.budget.reserved, 0)
        self.assertIsNone(self.budget.reserve(109.9, 1.0))
        self.assertIsNotNone(self.budget.reserve(110.1, 1.0))


class RetryBudgetTests(unittest.TestCase):
    def test_retries_are_a_fraction_of_first_attempts(self):
        budget = RetryBudget(0.1, 5.0)
        spent = 0
        for i in range(10_000):
            budget.earn(i / 1000)
            spent += budget.spend()
        self.assertLess(spent, 1010)

    def test_spent_floor_is_refilled_at_low_traffic(self):
        budget = RetryBudget(0.1, 10.0)
        budget.earn(0.0)
        while budget.spend():
            pass
        budget.earn(60.0)
        self.assertTrue(budget.spend())

    def test_retry_delays_are_jittered(self):
        rng = random.Random(1)
        delays = [retry_after_s(4.0, rng) for _ in range(100)]
        self.assertGreater(max(delays) - min(delays), 1.0)
        self.assertGreaterEqual(min(delays), 4.0)


class ChooserTests(unittest.TestCase):
    def choose(self, candidates, **kwargs):
        return LoadAwareChooser(random.Random(1)).choose(candidates, "a", **kwargs).name

    def test_least_loaded_endpoint_of_the_own_zone_is_chosen(self):
        busy = make_candidate("busy", own_inflight=20)
        free = make_candidate("free", own_inflight=1)
        self.assertEqual(self.choose([busy, free]), "free")

    def test_much_less_loaded_endpoint_of_another_zone_is_chosen(self):
        near = make_candidate("near", own_inflight=30)
        far = make_candidate("far", "b", own_inflight=0)
        self.assertEqual(self.choose([near, far]), "far")

    def test_own_work_in_a_report_is_not_counted_twice(self):
        mine = make_candidate("mine", own_inflight=4, reported_load=4, own_at_report=4)
        theirs = make_candidate("theirs", reported_load=8)
        self.assertEqual(self.choose([mine, theirs]), "mine")

    def test_prefix_holder_is_preferred_while_it_has_free_slots(self):
        holder = make_candidate("holder", own_inflight=10)
        other = make_candidate("other")
        self.assertEqual(self.choose([holder, other], holders=["holder"]), "holder")
        full = holder._replace(own_inflight=40)
        self.assertEqual(self.choose([full, other], holders=["holder"]), "other")

    def test_entries_send_an_unknown_prefix_to_the_same_endpoint(self):
        candidates = [make_candidate(f"e{i}") for i in range(20)]
        picks = {
            LoadAwareChooser(random.Random(i)).choose(candidates, "a", prefix=77).name
            for i in range(10)
        }
        self.assertEqual(len(picks), 1)

    def test_requests_are_queued_when_all_endpoints_are_full(self):
        full = [make_candidate(f"e{i}", reported_load=40) for i in range(3)]
        self.assertFalse(may_fail_fast(full))
        self.assertTrue(may_fail_fast([*full, make_candidate("free")]))


class SubsetTests(unittest.TestCase):
    def test_removing_a_peer_changes_at_most_one_link_of_an_entry(self):
        peers = [Peer(f"s{i}", "abc"[i % 3]) for i in range(300)]
        for entry in ("e1", "e2", "e3"):
            before = set(choose_subset(entry, peers, 30))
            after = set(choose_subset(entry, peers[1:], 30))
            self.assertLessEqual(len(before - after), 1)
            self.assertLessEqual(len(after - before), 1)

    def test_subset_is_spread_evenly_over_zones(self):
        peers = [Peer(f"s{i}", "a" if i < 200 else "b") for i in range(250)]
        zones = [p.zone for p in choose_subset("e", peers, 40)]
        self.assertEqual(zones.count("a"), zones.count("b"))

    def test_subset_size_is_min_links_or_all_sidecars_if_fewer(self):
        self.assertEqual(subset_size(3, 30), 30)
        self.assertEqual(subset_size(370, 880), 64)


class PrefixTests(unittest.TestCase):
    def test_prompts_share_the_keys_of_their_common_prefix(self):
        one = prefix_keys(b"x" * 512 + b"a" * 256)
        two = prefix_keys(b"x" * 512 + b"b" * 256)
        self.assertEqual(one[1:], two[1:])
        self.assertNotEqual(one[0], two[0])

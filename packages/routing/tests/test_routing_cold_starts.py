"""Tests of the limits on requests to cold endpoints."""

import unittest

from builders import make_candidate
from slatehoist.routing import ColdStarts, RateShares, make_cold_limit
from slatehoist.routing.cold_starts import LISTED_MARGIN_S, WINDOW_S

PROPAGATION_S = 10.0
RATE, EXCESS, SLACK = 26.0, 1.5, 5.0
BOUND = RATE * EXCESS + SLACK
LIMIT = make_cold_limit(RATE, EXCESS, SLACK)


def make_starts(
    instance: str, names: list[str], joined_at: float = -60.0, started_at: float = -60.0
) -> ColdStarts:
    """Build the cold starts of an instance that counts the given ones."""
    shares = RateShares(instance, PROPAGATION_S)
    shares.set_members(names, joined_at, 0.0)
    return ColdStarts(shares, started_at)


def make_fleet(count: int, **fields) -> list[ColdStarts]:
    """Build the cold starts of instances that all count each other."""
    names = [f"gateway-{number}" for number in range(count)]
    return [make_starts(name, names, **fields) for name in names]


class ShareTestCase(unittest.TestCase):
    def count_sent(
        self, fleet: list[ColdStarts], now: float = 0.0, limit=LIMIT, name: str = "e"
    ) -> int:
        """Send to a cold endpoint what all instances may, and return the number."""
        sent = 0
        for starts in fleet:
            starts.record(name, 3.0, now)
            while starts.available([name], limit, now):
                starts.record_sent(name, limit, now)
                sent += 1
        return sent


class ShareTests(ShareTestCase):
    # Guards against shares that are rounded up: with many instances they exceeded what
    # a cold endpoint tolerates.
    def test_shares_stay_within_the_bound_for_any_number_of_instances(self):
        for count in (1, 2, 6, 16, 21, 45, 300, 1000):
            with self.subTest(count=count):
                sent = self.count_sent(make_fleet(count))
                self.assertEqual(sent, 22)

    def test_shares_are_free_again_after_a_second_and_not_before(self):
        fleet = make_fleet(6)
        self.count_sent(fleet)
        self.assertEqual(self.count_sent(fleet, 0.99), 0)
        self.assertEqual(self.count_sent(fleet, WINDOW_S), 22)

    def test_low_rates_are_kept(self):
        for rate, excess, slack in ((0.5, 1.5, 0.0), (1.0, 1.0, 0.0), (0.1, 1.0, 0.1)):
            with self.subTest(rate=rate):
                limit = make_cold_limit(rate, excess, slack)
                fleet = make_fleet(5)
                times = [
                    step * 0.1
                    for step in range(400)
                    for _ in range(self.count_sent(fleet, step * 0.1, limit))
                ]
                self.assertGreater(len(times), 0)
                self.assertLessEqual(len(times), 40 * rate + 1)
                self.assertEqual(len(times), len(set(times)))

    def test_rate_and_slack_of_zero_allow_nothing(self):
        limit = make_cold_limit(0.0, 1.5, 0.0)
        self.assertEqual(self.count_sent(make_fleet(3), limit=limit), 0)

    # Guards against shares of instances that others do not count: any number of them
    # may have joined at once.
    def test_instance_that_others_may_not_count_yet_sends_nothing(self):
        for count in (1, 16, 1000):
            with self.subTest(count=count):
                self.assertEqual(self.count_sent(make_fleet(count, joined_at=0.0)), 0)
        unknown = ColdStarts(RateShares("gateway-0", PROPAGATION_S), -60.0)
        self.assertEqual(self.count_sent([unknown]), 0)

    # Guards against a share that is used twice in a second: the process that ended had
    # used it, and the one that replaces it does not know that.
    def test_restarted_instance_sends_nothing_for_a_second(self):
        fleet = make_fleet(16, started_at=0.0)
        self.assertEqual(self.count_sent(fleet, 0.9), 0)
        self.assertEqual(self.count_sent(fleet, WINDOW_S), 22)

    # Guards against more than the bound from instances that were removed from the
    # others' counts while they were cut off from the store.
    def test_groups_that_do_not_count_each_other_stay_within_the_bound(self):
        names = [f"gateway-{number}" for number in range(16)]
        for cut in range(17):
            with self.subTest(cut=cut):
                fleet = [make_starts(name, names) for name in names[:cut]]
                fleet += [make_starts(name, names[cut:]) for name in names[cut:]]
                self.assertLessEqual(self.count_sent(fleet), BOUND)


class ColdTimeTests(unittest.TestCase):
    def setUp(self):
        (self.starts,) = make_fleet(1)

    def test_endpoint_is_cold_for_the_longest_time_that_is_known(self):
        self.assertTrue(self.starts.record("e", 3.0, 0.0))
        self.assertFalse(self.starts.record_listed("e", 5.0, 1.0))
        self.assertFalse(self.starts.record("e", 1.0, 1.0))
        end = 6.0 + LISTED_MARGIN_S
        self.assertEqual(self.starts.drop_ended(end - 0.1), [])
        self.assertTrue(self.starts.is_cold("e", end - 0.1))
        self.assertEqual(self.starts.drop_ended(end), ["e"])
        self.assertEqual(self.starts.drop_ended(end + 1.0), [])
        self.assertTrue(self.starts.record("e", 1.0, end + 1.0))

    # Guards against an endpoint that counts as warm by an answer which was made before
    # it became cold.
    def test_answer_ends_the_cold_time_only_if_its_request_was_sent_later(self):
        self.starts.record("e", 3.0, 1.0, sent_at=0.0)
        self.starts.record("e", 0.0, 1.2, sent_at=0.5)
        self.assertTrue(self.starts.is_cold("e", 1.2))
        self.starts.record("e", 0.0, 1.5, sent_at=1.1)
        self.assertFalse(self.starts.is_cold("e", 1.5))

    # Guards against a list that is older than the answer which says that the endpoint
    # has become cold.
    def test_list_replaces_only_what_it_showed_before(self):
        self.starts.record_listed("e", 3600.0, 0.0)
        self.starts.record("e", 3.0, 0.0, sent_at=0.0)
        self.starts.record_listed("e", 0.0, 1.0)
        self.assertTrue(self.starts.is_cold("e", 2.9))
        self.assertFalse(self.starts.is_cold("e", 3.0))

    def test_state_of_endpoints_that_left_is_dropped_when_they_are_not_cold(self):
        for name in ("cold", "warm"):
            self.starts.record_sent(name, LIMIT, 0.0)
        self.starts.record("cold", 3.0, 0.0)
        self.starts.forget_others([], 1.0)
        self.assertEqual(self.starts.use("warm", LIMIT, 0.0).sent, 0)
        self.assertEqual(self.starts.use("cold", LIMIT, 0.0).sent, 1)
        self.starts.forget_others([], 4.0)
        self.assertEqual(self.starts.cold_count, 0)


class PreferenceTests(unittest.TestCase):
    def prefer(self, starts: ColdStarts, *candidates) -> list[str]:
        return [c.name for c in starts.prefer(candidates, LIMIT, 0.0)]

    # Guards against more than the bound at an endpoint that became cold without notice.
    def test_warm_endpoint_is_limited_while_others_have_free_slots(self):
        (starts,) = make_fleet(1)
        for _ in range(LIMIT.requests):
            starts.record_sent("used", LIMIT, 0.0)
        used = make_candidate("used")
        self.assertEqual(
            self.prefer(starts, used, make_candidate("free")),
            ["free"],
        )
        full = make_candidate("full", reported_load=32)
        self.assertCountEqual(self.prefer(starts, used, full), ["used", "full"])
        self.assertEqual(self.prefer(starts, used), ["used"])

    # Guards against more than the bound at one endpoint while others got less, and
    # against requests that are refused though no endpoint is known to be cold.
    def test_all_endpoints_get_what_the_bound_allows_before_one_gets_more(self):
        for loads in ((32, 32), (32, 0), (0, 0)):
            with self.subTest(loads=loads):
                (starts,) = make_fleet(1)
                candidates = [
                    make_candidate(name, reported_load=load)
                    for name, load in zip("ab", loads, strict=True)
                ]
                sent = {"a": 0, "b": 0}
                while min(sent.values()) < LIMIT.requests:
                    name = self.prefer(starts, *candidates)[-1]
                    starts.record_sent(name, LIMIT, 0.0)
                    sent[name] += 1
                self.assertLessEqual(max(sent.values()), BOUND)
                for _ in range(100):
                    name = self.prefer(starts, *candidates)[-1]
                    starts.record_sent(name, LIMIT, 0.0)

    # Guards against requests that all new instances send to the same endpoint, and
    # against a new instance that refuses them.
    def test_instance_without_a_share_spreads_its_requests(self):
        (starts,) = make_fleet(1, joined_at=0.0)
        candidates = [make_candidate(name) for name in ("a", "b", "c")]
        chosen = []
        for _ in candidates:
            chosen.append(self.prefer(starts, *candidates)[0])
            starts.record_sent(chosen[-1], LIMIT, 0.0)
        self.assertEqual(chosen, ["a", "b", "c"])
        self.assertEqual(self.prefer(starts, *candidates), ["a", "b", "c"])


if __name__ == "__main__":
    unittest.main()

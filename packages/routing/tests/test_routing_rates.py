"""Tests of the shares of a rate that an endpoint states for all instances."""

import unittest

from slatehoist.routing import RateShares
from slatehoist.routing.rates import WINDOW_S

PROPAGATION_S = 10.0


class RateSharesTests(unittest.TestCase):
    def make_shares(self, count: int, joined_at: float = -60.0) -> list[RateShares]:
        names = [f"gateway-{number}" for number in range(count)]
        shares = [RateShares(name, PROPAGATION_S) for name in names]
        for share in shares:
            share.set_members(names, joined_at, 0.0)
        return shares

    def count_sent(self, shares: list[RateShares], seconds: float) -> int:
        """Send as much as all instances may, and return the number of requests."""
        sent = 0
        for step in range(int(seconds / 0.05)):
            now = step * 0.05
            for share in shares:
                while share.free_at("e", now) <= now:
                    share.record_sent("e", now)
                    sent += 1
        return sent

    def test_shares_add_up_to_the_rate_for_any_number_of_instances(self):
        for count in (1, 3, 14, 30):
            for rate in (0.5, 2.0, 7.3, 40.0):
                with self.subTest(count=count, rate=rate):
                    shares = self.make_shares(count)
                    for share in shares:
                        share.observe("e", rate, 0.0, 0.0)
                    sent = self.count_sent(shares, WINDOW_S)
                    self.assertLessEqual(sent, rate * WINDOW_S)
                    self.assertGreaterEqual(sent, int(rate * WINDOW_S))

    def test_rate_below_one_request_in_a_window_is_kept(self):
        shares = self.make_shares(5)
        for share in shares:
            share.observe("e", 0.1, 0.0, 0.0)
        self.assertEqual(self.count_sent(shares, 20.0), 2)

    def test_rate_of_zero_allows_trials_only(self):
        shares = self.make_shares(4)
        for share in shares:
            share.observe("e", 0.0, 0.0, 0.0)
        self.assertEqual(self.count_sent(shares, 29.0), 0)
        # One trial in 30 s of all instances together.
        self.assertEqual(self.count_sent(shares, 240.0), 7)

    # Guards against trials that add up: instances that had nothing to send in their
    # turns would all send their trials with the next burst.
    def test_trials_that_were_not_sent_do_not_add_up(self):
        shares = self.make_shares(30)
        for share in shares:
            share.observe("e", 1.0, 0.0, 0.0)
        for start in (300.0, 377.0, 1000.0):
            sent = 0
            for share in shares:
                while share.free_at("e", start) <= start:
                    share.record_sent("e", start)
                    sent += 1
            self.assertLessEqual(sent, 1 * WINDOW_S + 1)

    # Guards against shares dealt to a number of instances that is assumed: more than
    # that may start at once.
    def test_instance_that_others_may_not_count_yet_has_no_share(self):
        for count in (1, 45, 300):
            with self.subTest(count=count):
                shares = self.make_shares(count, joined_at=0.0)
                for share in shares:
                    share.observe("e", 18.0, 0.0, 0.0)
                self.assertEqual(self.count_sent(shares, WINDOW_S), 0)
                self.assertEqual(shares[0].free_at("e", 0.0), PROPAGATION_S)

    def test_endpoint_without_a_rate_is_not_limited(self):
        (share,) = self.make_shares(1)
        share.observe("e", 1.0, 0.0, 0.0)
        self.assertFalse(share.observe("e", None, 0.0, 0.0))
        self.assertTrue(share.observe("e", None, 1.0, 1.0))
        self.assertFalse(share.observe("e", None, 1.0, 1.0))
        for _ in range(100):
            share.record_sent("e", 0.0)
        self.assertEqual(share.free_at("e", 0.0), 0.0)

    # Guards against a rate that stays low for good since answers arrive out of order.
    def test_rate_follows_the_newest_answer_and_else_the_lower_one_holds(self):
        (share,) = self.make_shares(1)
        cases = [
            # Rate, time of its request, time of the answer, and the rate that holds.
            (8.0, 0.0, 1.0, 8.0),
            (2.0, 0.5, 2.0, 2.0),
            (8.0, 1.5, 3.0, 2.0),
            (8.0, 2.5, 3.1, 8.0),
        ]
        for rate, sent_at, now, expected in cases:
            share.observe("e", rate, sent_at, now)
            self.assertEqual(share.use("e", now).rate, expected, (rate, now))


if __name__ == "__main__":
    unittest.main()

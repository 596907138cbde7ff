"""Tests of the crash counts by which the gateway blocks requests."""

import unittest

from slatehoist.routing import CRASH_RETENTION_S, CrashTally
from slatehoist.routing.crashes import (
    BLOCKED_S,
    MAX_CRASHES,
    MAX_UNEXCUSED_CRASHES,
    SHORT_BLOCK_S,
    SUCCESS_S,
    SUCCESSES_PER_CRASH,
)


class CrashTallyTests(unittest.TestCase):
    def setUp(self):
        self.tally = CrashTally()

    def record_crashes(self, digest: str, count: int, now: float = 0.0) -> None:
        """Record crashes of the request ``digest``, with the ids ``<digest>-0`` and up.

        A further call for the same request uses the same ids again.
        """
        for number in range(count):
            self.tally.record_crash(digest, f"{digest}-{number}", now)

    def test_request_is_blocked_after_max_crashes(self):
        self.record_crashes("a", MAX_CRASHES - 1)
        self.assertFalse(self.tally.is_blocked("a", 0.0))
        # Only the last crash is new: the ids of the first call are repeated.
        self.record_crashes("a", MAX_CRASHES)
        self.assertTrue(self.tally.is_blocked("a", 0.0))
        self.assertFalse(self.tally.is_blocked("b", 0.0))

    def test_repeated_reports_of_one_crash_count_once(self):
        for _ in range(MAX_CRASHES):
            self.tally.record_crash("a", "one", 0.0)
        self.assertFalse(self.tally.is_blocked("a", 0.0))

    def test_success_unblocks_request(self):
        self.record_crashes("a", MAX_CRASHES)
        self.tally.record_success("a", 1.0)
        self.assertFalse(self.tally.is_blocked("a", 1.0))

    # Guards against a request that is never blocked since it succeeded once (BUDGET).
    def test_one_success_does_not_speak_for_later_crashes(self):
        self.tally.record_success("a", 0.0)
        for number in range(MAX_CRASHES):
            self.assertFalse(self.tally.is_blocked("a", 2.0 * number))
            self.tally.record_crash("a", f"c{number}", 2.0 * number)
        self.assertTrue(self.tally.is_blocked("a", 2.0 * MAX_CRASHES))

    def test_successes_make_up_for_a_crash_after_them_for_a_moment(self):
        for _ in range(2 * SUCCESSES_PER_CRASH):
            self.tally.record_success("hot", 0.0)
        self.record_crashes("hot", 1 + MAX_CRASHES)
        self.assertFalse(self.tally.is_blocked("hot", 0.0))
        self.tally.record_crash("hot", "later", 10.0)
        self.assertTrue(self.tally.is_blocked("hot", 10.0))

    # Many endpoints may lose power together, with the request on board of each.
    def test_request_that_succeeded_often_is_blocked_for_a_short_time_at_first(self):
        for number in range(SUCCESSES_PER_CRASH):
            self.tally.record_success("hot", 10.0 * number)
        now = 10.0 * SUCCESSES_PER_CRASH
        self.record_crashes("hot", 10, now)
        self.assertTrue(self.tally.is_blocked("hot", now + SHORT_BLOCK_S - 0.1))
        now += SHORT_BLOCK_S
        self.assertFalse(self.tally.is_blocked("hot", now))
        self.tally.record_crash("hot", "later", now)
        self.assertTrue(self.tally.is_blocked("hot", now + BLOCKED_S[0] - 0.1))

    def test_request_that_succeeds_often_is_not_blocked(self):
        for number in range(10 * MAX_CRASHES):
            self.tally.record_crash("hot", f"c{number}", number)
            for _ in range(SUCCESSES_PER_CRASH):
                self.tally.record_success("hot", number + 0.5)
            self.assertFalse(self.tally.is_blocked("hot", number + 0.5))

    def test_request_that_succeeds_between_its_crashes_is_blocked(self):
        for number in range(MAX_UNEXCUSED_CRASHES):
            self.assertFalse(self.tally.is_blocked("a", 3.0 * number))
            self.tally.record_crash("a", f"c{number}", 3.0 * number)
            if number < MAX_UNEXCUSED_CRASHES - 1:
                self.tally.record_success("a", 3.0 * number + 1.0)
        self.assertTrue(self.tally.is_blocked("a", 3.0 * MAX_UNEXCUSED_CRASHES))

    def test_one_crash_after_a_success_blocks_a_request_longer_than_before(self):
        self.record_crashes("a", MAX_CRASHES)
        self.tally.record_success("a", 1.0)
        self.tally.record_crash("a", "later", 2.0)
        self.assertTrue(self.tally.is_blocked("a", 2.0 + BLOCKED_S[1] - 1.0))

    def test_enough_successes_end_a_conviction(self):
        self.record_crashes("a", MAX_CRASHES)
        for _ in range(SUCCESSES_PER_CRASH):
            self.tally.record_success("a", 1.0)
        self.tally.record_crash("a", "later", 100.0)
        self.assertFalse(self.tally.is_blocked("a", 100.0))

    def test_successes_are_not_saved_up_for_later_crashes(self):
        self.tally.record_crash("a", "first", 0.0)
        for _ in range(100):
            self.tally.record_success("a", 1.0)
        for number in range(MAX_CRASHES):
            self.tally.record_crash("a", f"c{number}", 100.0 + number)
        self.tally.record_success("a", 110.0)
        self.assertEqual(self.tally.count_crashes("a"), (0, MAX_CRASHES))

    # Reports are read again if the store has lost its history.
    def test_success_that_is_reported_again_counts_once(self):
        self.record_crashes("a", MAX_UNEXCUSED_CRASHES)
        for _ in range(2 * SUCCESSES_PER_CRASH):
            self.tally.record_success("a", 1.0, after=["a-0", "a-1"])
        self.assertEqual(self.tally.count_crashes("a")[1], MAX_UNEXCUSED_CRASHES)
        self.assertTrue(self.tally.is_blocked("a", 1.0))

    def test_success_after_its_crashes_expired_ends_a_conviction(self):
        self.record_crashes("a", MAX_CRASHES)
        self.tally.record_success("a", CRASH_RETENTION_S)
        self.tally.record_crash("a", "later", CRASH_RETENTION_S + 1.0)
        self.assertFalse(self.tally.is_blocked("a", CRASH_RETENTION_S + 1.0))

    # The crash was before the success, and its news came after it.
    def test_success_speaks_for_a_crash_that_is_found_out_later(self):
        self.tally.record_success("a", 5.0)
        for number in range(MAX_CRASHES):
            self.tally.record_crash("a", f"c{number}", 6.0, lost_at=4.0)
        self.assertFalse(self.tally.is_blocked("a", 6.0))

    def test_success_elsewhere_speaks_for_the_crashes_that_it_names(self):
        self.tally.record_crash("a", "c0", 1.0)
        self.tally.record_crash("a", "c1", 2.0)
        self.assertTrue(self.tally.record_success("a", 3.0, after=["c0", "c2"]))
        self.tally.record_crash("a", "c2", 4.0)
        self.assertEqual(self.tally.count_crashes("a"), (1, 3))

    def test_first_crash_that_a_success_followed_needs_no_report(self):
        self.tally.record_success("a", 5.0)
        self.tally.record_crash("a", "c0", 6.0, lost_at=4.0)
        self.assertFalse(self.tally.needs_report("a", "c0"))
        self.tally.record_crash("a", "c1", 7.0, lost_at=4.5)
        self.assertTrue(self.tally.needs_report("a", "c1"))

    def test_crashes_expire(self):
        self.record_crashes("a", MAX_CRASHES - 1)
        self.assertTrue(self.tally.is_suspected("a", CRASH_RETENTION_S - 1))
        self.assertFalse(self.tally.is_suspected("a", CRASH_RETENTION_S))
        self.record_crashes("b", MAX_CRASHES)
        self.assertTrue(self.tally.is_blocked("b", BLOCKED_S[0] - 1))
        self.assertFalse(self.tally.is_blocked("b", BLOCKED_S[0]))

    # The request would otherwise crash three endpoints each minute.
    def test_request_is_blocked_again_by_one_crash_after_its_block_has_ended(self):
        self.record_crashes("a", MAX_CRASHES)
        now = 0.0
        for number, blocked_s in enumerate((*BLOCKED_S, BLOCKED_S[-1])):
            now += blocked_s
            self.assertTrue(self.tally.is_blocked("a", now - 1))
            self.assertFalse(self.tally.is_blocked("a", now))
            self.tally.record_crash("a", f"a-later-{number}", now)
            self.assertTrue(self.tally.is_blocked("a", now + 1))

    def test_crashes_of_one_trial_extend_the_block_once(self):
        self.record_crashes("a", MAX_CRASHES)
        for instance in range(3):
            self.tally.record_crash("a", f"trial-{instance}", BLOCKED_S[0] + instance)
        ends_at = BLOCKED_S[0] + 2 + BLOCKED_S[1]
        self.assertTrue(self.tally.is_blocked("a", ends_at - 1))
        self.assertFalse(self.tally.is_blocked("a", ends_at))

    def test_crashes_further_apart_than_the_retention_do_not_block(self):
        for number in range(2 * MAX_CRASHES):
            now = number * CRASH_RETENTION_S / (MAX_CRASHES - 1)
            self.tally.record_crash("a", f"a-{number}", now)
            self.assertFalse(self.tally.is_blocked("a", now))

    def test_requests_whose_crashes_have_expired_are_dropped(self):
        for number in range(1000):
            self.tally.record_crash(f"r{number}", "crash", float(number))
        self.assertLessEqual(len(self.tally._crashes), CRASH_RETENTION_S)

    def test_old_successes_are_dropped(self):
        # One success per second: those of the last `SUCCESS_S` are kept.
        for number in range(100):
            self.tally.record_success(f"r{number}", float(number))
        self.assertLessEqual(len(self.tally._successes), SUCCESS_S)


if __name__ == "__main__":
    unittest.main()

"""Requests that crash endpoints are told from those that were merely there."""

import unittest

from slatehoist.routing import CRASH_RETENTION_S, CrashTally
from slatehoist.routing.crashes import MAX_CRASHES


class CrashTallyTests(unittest.TestCase):
    def setUp(self):
        self.tally = CrashTally()

    def crash(self, digest: str, count: int, now: float = 0.0) -> None:
        for number in range(count):
            self.tally.record_crash(digest, f"{digest}-{number}", now)

    def test_third_crash_blocks(self):
        self.crash("a", MAX_CRASHES - 1)
        self.assertFalse(self.tally.is_blocked("a", 0.0))
        self.crash("a", MAX_CRASHES)
        self.assertTrue(self.tally.is_blocked("a", 0.0))
        self.assertFalse(self.tally.is_blocked("b", 0.0))

    def test_reports_of_one_crash_count_once(self):
        for _ in range(MAX_CRASHES):
            self.tally.record_crash("a", "one", 0.0)
        self.assertFalse(self.tally.is_blocked("a", 0.0))

    def test_success_clears(self):
        self.crash("a", MAX_CRASHES)
        self.tally.record_success("a", 1.0)
        self.assertFalse(self.tally.is_blocked("a", 1.0))

    def test_popular_request_is_not_blamed_for_many_crashes_at_once(self):
        self.tally.record_success("hot", 0.0)
        self.crash("hot", 10 * MAX_CRASHES, now=1.0)
        self.assertFalse(self.tally.is_blocked("hot", 1.0))

    def test_crashes_are_forgotten(self):
        self.crash("a", MAX_CRASHES)
        self.assertTrue(self.tally.is_blocked("a", CRASH_RETENTION_S - 1))
        self.assertFalse(self.tally.is_blocked("a", CRASH_RETENTION_S))

    def test_old_successes_are_dropped(self):
        for number in range(100):
            self.tally.record_success(f"r{number}", float(number))
        self.assertLessEqual(len(self.tally._successes), CRASH_RETENTION_S)


if __name__ == "__main__":
    unittest.main()

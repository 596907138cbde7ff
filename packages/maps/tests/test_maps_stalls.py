"""Tests of the log lines that say why a group begins no pass."""

import unittest

from slatehoist.maps import RankReport
from slatehoist.maps.peers import Group, make_state
from slatehoist.maps.stalls import StallLog

LOGGER = "slatehoist.maps.stalls"


def make_rank_state(rank: int, step: int, held: int | None = None, running: int = 1):
    report = RankReport("g", 1, rank, 3, True, step, 0, held=held, running=running)
    return make_state(f"10.0.0.{rank}:8000", report, [[]])


class StallLogTests(unittest.TestCase):
    def setUp(self):
        self.group = Group(lambda: 0.0)
        self.stalls = StallLog(self.group)

    def test_stall_names_held_and_silent_ranks_and_unanswered_orders(self):
        with self.assertLogs(LOGGER) as logs:
            for tenth in range(150):
                now = tenth / 10
                own = make_rank_state(1, 7)
                self.group.record_heartbeat(own, now)
                self.group.record_heartbeat(make_rank_state(2, 7, held=8), now)
                self.stalls.observe(own, {2: 40}, now)
            self.stalls.observe(make_rank_state(1, 8), {}, 15.0)
        first, second, end = logs.records
        self.assertEqual(first.getMessage(), "group_stalled")
        self.assertEqual(first.held, {2: 8})
        self.assertEqual(first.silent, [0])
        self.assertEqual(first.no_address, [0])
        self.assertEqual(first.leader, 1)
        self.assertEqual(first.unanswered, {2: 40})
        self.assertEqual((first.for_ms, second.for_ms), (2000, 12000))
        self.assertEqual((end.getMessage(), end.after_ms), ("group_resumed", 15000))

    def test_idle_group_is_no_stall(self):
        with self.assertNoLogs(LOGGER):
            for second in range(30):
                own = make_rank_state(1, 7, running=0)
                self.stalls.observe(own, {}, float(second))


if __name__ == "__main__":
    unittest.main()

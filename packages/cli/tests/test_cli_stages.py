"""Tests of the table of stages from a process's start until it serves."""

import json
import unittest

from slatehoist.cli.stages import collect_starts, start_row


def make_line(time: float, instance: str, event: str, **fields) -> str:
    return json.dumps({"time": time, "instance": instance, "event": event, **fields})


LINES = [
    make_line(10.0, "side-1", "starting"),
    make_line(10.25, "side-1", "rank_found", rank=1),
    make_line(10.5, "side-1", "start_stage", stage="leader_known", leader=0),
    make_line(9.0, "front-1", "starting"),
    make_line(9.5, "front-1", "configuration_read", version=3),
    make_line(9.75, "front-1", "configuration_read", version=4),
    make_line(13.0, "front-1", "service_stalled", service="model"),
    make_line(23.0, "front-1", "service_stalled", service="model"),
    "no event",
    make_line(30.0, "front-1", "starting"),
    make_line(30.5, "front-1", "start_stage", stage="ready"),
]


class StageTests(unittest.TestCase):
    def test_each_start_has_a_row_with_its_stages_and_stalls(self):
        starts = collect_starts(LINES)
        rows = [start_row(start, starts[0].time) for start in starts]
        self.assertEqual([row[0] for row in rows], ["front-1", "side-1", "front-1"])
        self.assertEqual([row[1] for row in rows], ["+0.00", "+1.00", "+21.00"])
        self.assertIn("configuration 0.50, servers -", rows[0][2])
        self.assertEqual(rows[0][3], "service_stalled x2")
        self.assertIn("rank_found 0.25, list_read -, leader_known 0.50", rows[1][2])
        self.assertIn("ready 0.50, first_answer -", rows[2][2])

    def test_lines_before_the_first_start_are_left_out(self):
        line = make_line(1.0, "side-1", "rank_found")
        self.assertEqual(collect_starts([line]), [])


if __name__ == "__main__":
    unittest.main()

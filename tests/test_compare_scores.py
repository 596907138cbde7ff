"""Tests of the comparison of scores that the journal holds."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tools"))

from compare_scores import Day, Figures, format_table, read_figures  # noqa: E402


def make_entry(head: str, worth: float, **fields) -> dict:
    """Build an entry of the journal."""
    days = [
        {"name": "quiet-1", "G": worth, "small_twin": None},
        {"name": "mix --seed 7", "G": 0.1, "small_twin": None},
    ]
    values = {"cmd": "score", "site": "s", "head": head, "dirty": False, "days": days}
    return {**values, **fields}


class CompareTests(unittest.TestCase):
    def test_standard_days_of_both_commits_are_compared(self):
        entries = [
            make_entry("aaa1", 0.8),
            make_entry("aaa1", 0.9),
            make_entry("bbb1", 0.6),
            make_entry("bbb1", 0.1, dirty=True),
            make_entry("bbb1", 0.2, cmd="hunt"),
            make_entry("ccc1", 0.3),
        ]
        figures = read_figures(entries, "aaa", "bbb")
        self.assertEqual(
            figures, {Day("s", "quiet-1", False): Figures([0.8, 0.9], [0.6])}
        )
        self.assertIn(
            "| s | quiet-1 | 0.800 0.900 | 0.600 | fell |", format_table(figures)
        )

    def test_fall_within_the_spread_is_not_marked(self):
        self.assertFalse(Figures([0.8, 0.9], [0.75]).has_fallen)
        self.assertFalse(Figures([0.8], [0.78]).has_fallen)
        self.assertTrue(Figures([0.8], [0.7]).has_fallen)

    def test_day_of_one_commit_only_is_left_out(self):
        self.assertEqual(read_figures([make_entry("aaa1", 0.8)], "aaa", "bbb"), {})


if __name__ == "__main__":
    unittest.main()

"""Compare the scores of two commits on the users' bench, from the entries in journal/.

Usage: ``compare_scores.py OLD NEW`` prints a table with one row for each day that was
scored on both commits: the worth of each run, and the spread of the old ones. A fall
below all old runs is marked. `make regression` records the scores and calls it.
"""

import json
import pathlib
import sys
from collections import defaultdict
from typing import NamedTuple

JOURNAL = pathlib.Path(__file__).resolve().parent.parent / "journal"


class Day(NamedTuple):
    """Standard day of a site; `is_small` is True for its small twin."""

    site: str
    name: str
    is_small: bool


class Figures(NamedTuple):
    """Worth of a day in the runs on the old and on the new commit."""

    old: list[float]
    new: list[float]

    @property
    def has_fallen(self) -> bool:
        """Return True if all new runs are below all old ones by more than the spread.

        The spread of a single old run is unknown; it counts as 0.03, which the bench
        calls noise.
        """
        spread = max(self.old) - min(self.old) if len(self.old) > 1 else 0.03
        return max(self.new) < min(self.old) - spread


def read_figures(entries: list[dict], old: str, new: str) -> dict[Day, Figures]:
    """Return the figures of all days that were scored on both commits.

    Entries of other commands, of other commits and of changed checkouts are left out.
    So is the day that a score draws anew each time.
    """
    runs: dict[Day, Figures] = defaultdict(lambda: Figures([], []))
    for entry in entries:
        if entry["cmd"] != "score" or entry["dirty"]:
            continue
        for commit, figures in ((old, "old"), (new, "new")):
            if not entry["head"].startswith(commit):
                continue
            for day in entry.get("days", []):
                if "--seed" in day["name"]:
                    continue
                key = Day(entry["site"], day["name"], bool(day.get("small_twin")))
                getattr(runs[key], figures).append(day["G"])
    return {day: figures for day, figures in runs.items() if all(figures)}


def format_table(figures: dict[Day, Figures]) -> list[str]:
    """Return the lines of a Markdown table, sorted by site and day."""
    lines = ["| site | day | old | new | |", "|---|---|---|---|---|"]
    for day in sorted(figures):
        old, new = (" ".join(f"{g:.3f}" for g in runs) for runs in figures[day])
        name = f"{day.name} (small)" if day.is_small else day.name
        mark = "fell" if figures[day].has_fallen else ""
        lines.append(f"| {day.site} | {name} | {old} | {new} | {mark} |")
    return lines


def main() -> int:
    """Print the table; return 1 if a day has fallen, 2 for wrong arguments."""
    if len(sys.argv) != 3:
        print(__doc__, file=sys.stderr)
        return 2
    entries = [json.loads(path.read_text()) for path in sorted(JOURNAL.glob("*.json"))]
    figures = read_figures(entries, *sys.argv[1:])
    print("\n".join(format_table(figures)))
    return int(any(runs.has_fallen for runs in figures.values()))


if __name__ == "__main__":
    sys.exit(main())

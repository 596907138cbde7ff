"""Disable one mechanism at a time, and list the cells of the matrix that then fail.

The matrix does not test a mechanism for which no cell fails. The last line is JSON.
"""

import json
import os
import pathlib
import re
import subprocess
import sys

MATRIX = pathlib.Path(__file__).with_name("matrix.py")
#: Pattern of the cells that test each mechanism.
CELLS = {
    "tombstone": "call/late:entry-sidecar/sending",
    "incarnation": "(call|keyed)/replace:sidecar/running",
    "claim": "keyed/(none|kill:entry)/(twins|running)",
    "fence": "map/(freeze:coordinator|late:links)/(arm|go)",
    "arm": "map/(freeze:member|late:links)/(go|gone)",
    "drain": "leave/none/(long|midstream)",
    "suspects": "poison/poison/(alone|among)",
}


def red_cells(mechanism: str) -> list[str]:
    """Run the cells of a mechanism without it; return those with a violation."""
    env = {**os.environ, "MUTATION": mechanism, "CELL": CELLS[mechanism]}
    run = subprocess.run(
        [sys.executable, str(MATRIX)], env=env, capture_output=True, text=True
    )
    return re.findall(r"^RED (\S+): violated", run.stdout, re.MULTILINE)


def main() -> int:
    """Run the mutations named on the command line, or all; return the exit status."""
    report = {}
    for mechanism in sys.argv[1:] or CELLS:
        report[mechanism] = red_cells(mechanism)
        print(f"without {mechanism}: red {report[mechanism] or 'NOTHING'}", flush=True)
    print(json.dumps(report))
    return 0 if all(report.values()) else 1


if __name__ == "__main__":
    sys.exit(main())

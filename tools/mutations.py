"""Switch off one mechanism at a time, and show which cells of the matrix go red.

A mechanism without a red cell is not proved by the matrix. The last line is JSON.
"""

import json
import os
import pathlib
import re
import subprocess
import sys

MATRIX = pathlib.Path(__file__).with_name("matrix.py")
#: Cells that each mechanism is there for.
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
    """Run a mechanism's cells without it, and list those whose property breaks."""
    env = {**os.environ, "MUTATION": mechanism, "CELL": CELLS[mechanism]}
    run = subprocess.run(
        [sys.executable, str(MATRIX)], env=env, capture_output=True, text=True
    )
    return re.findall(r"^RED (\S+): violated", run.stdout, re.MULTILINE)


def main() -> int:
    """Run all mutations."""
    report = {}
    for mechanism in sys.argv[1:] or CELLS:
        report[mechanism] = red_cells(mechanism)
        print(f"without {mechanism}: red {report[mechanism] or 'NOTHING'}", flush=True)
    print(json.dumps(report))
    return 0 if all(report.values()) else 1


if __name__ == "__main__":
    sys.exit(main())

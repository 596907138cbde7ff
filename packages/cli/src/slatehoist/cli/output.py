"""Output formats of the command line: aligned tables and JSON."""

import json
from collections.abc import Sequence
from typing import Any


def print_json(value: Any) -> None:
    """Print a value as JSON."""
    print(json.dumps(value, indent=2, sort_keys=True))


def print_table(heads: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print a table with aligned columns."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [
        max([len(head), *(len(row[i]) for row in texts)])
        for i, head in enumerate(heads)
    ]
    for row in [list(heads), *texts]:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())


def resource_row(document: dict[str, Any]) -> list[Any]:
    """Return the table row of a resource."""
    status = document.get("status", {})
    in_force = f"{status['in_force']} of {status['of']}" if status else ""
    spec = " ".join(f"{k}={json.dumps(v)}" for k, v in document["spec"].items())
    return [
        document["kind"],
        document["name"],
        document["generation"],
        document["revision"],
        in_force,
        spec,
    ]


RESOURCE_HEADS = ("KIND", "NAME", "GENERATION", "REVISION", "IN FORCE", "SPEC")

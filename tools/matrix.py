"""Run the fault matrix: inject each fault at each step and check the outcome.

``SEED=`` draws the pairs of faults, ``CELL=`` (a regular expression) selects cells by
id, ``MUTATION=`` names a mechanism that the daemons run without, and ``TRACE=1`` prints
the tracebacks of cells that failed without a violation. The last line is JSON with the
numbers of cells that ran and that passed.
"""

import asyncio
import json
import os
import re
import sys
import time
import traceback

from faults.catalogue import make_worlds
from faults.cells import Cell, Violation

#: Worlds that run concurrently; more would delay each other's heartbeats.
WORLDS = 6
#: Seconds that one cell may take.
CELL_TIMEOUT_S = 90.0


async def run_world(
    world_slots: asyncio.Semaphore, make_world, cells: list[Cell], results: dict
) -> None:
    """Start a world and run its cells one after another."""
    if not cells:
        return
    async with world_slots, make_world() as world:
        await world.start()
        for cell in cells:
            start = time.monotonic()
            results[cell.name] = await run_cell(world, cell)
            seconds = time.monotonic() - start
            outcome = results[cell.name] or "ok"
            print(f"{seconds:6.1f} s  {cell.name:45} {outcome}", flush=True)


async def run_cell(world, cell: Cell) -> str:
    """Run one cell and heal its world; return what went wrong, or an empty string.

    The result begins with ``violated`` if the cell raised `Violation`, with ``failed``
    if it raised any other exception or timed out, and with ``not healed`` if only the
    healing failed.
    """
    failure = ""
    try:
        async with asyncio.timeout(CELL_TIMEOUT_S):
            await cell.run(world)
    except Violation as exc:
        failure = f"violated: {exc}"
    except Exception as exc:
        failure = f"failed: {exc!r}"
        if os.environ.get("TRACE"):
            traceback.print_exc()
    try:
        async with asyncio.timeout(CELL_TIMEOUT_S):
            await world.heal()
    except Exception as exc:
        failure = failure or f"not healed: {exc!r}"
    return failure


def print_table(results: dict[str, str]) -> None:
    """Print the results as a table of faults by steps."""
    parts = [name.split("/") for name in results]
    steps = list(dict.fromkeys((path, step) for path, _, step in parts))
    faults = list(dict.fromkeys(fault for _, fault, _ in parts))
    print(f"{'':28}" + " ".join(f"{step[:9]:>9}" for _, step in steps))
    print(f"{'':28}" + " ".join(f"{path[:9]:>9}" for path, _ in steps))
    for fault in faults:
        row = []
        for path, step in steps:
            failure = results.get(f"{path}/{fault}/{step}")
            row.append("-" if failure is None else "RED" if failure else "ok")
        print(f"{fault[:28]:28}" + " ".join(f"{mark:>9}" for mark in row))


async def main() -> int:
    """Run the selected cells; return the exit status."""
    seed = int(os.environ.get("SEED", "1"))
    pattern = os.environ.get("CELL", "")
    mutation = os.environ.get("MUTATION", "")
    print(f"seed {seed}")
    results: dict[str, str] = {}
    worlds = make_worlds(seed, mutation)
    world_slots = asyncio.Semaphore(WORLDS)
    await asyncio.gather(
        *(
            run_world(
                world_slots,
                make,
                [c for c in cells if re.search(pattern, c.name)],
                results,
            )
            for make, cells in worlds
        )
    )
    print_table(results)
    red = {name: failure for name, failure in results.items() if failure}
    for name, failure in sorted(red.items()):
        print(f"RED {name}: {failure}")
    pairs = sum("+" in name for name in results)
    summary = {
        "cells": len(results),
        "ok": len(results) - len(red),
        "red": len(red),
        "pairs": pairs,
        "seed": seed,
    }
    print(json.dumps(summary))
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))

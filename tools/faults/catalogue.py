"""All worlds of the fault matrix and the cells that run in each of them."""

import functools
import pathlib
import sys
from collections.abc import Callable

from faults import configs, groups, poisons, requests
from faults.cells import Cell
from faults.world import World

MUTANT = str(pathlib.Path(__file__).with_name("mutant.py"))
#: Number of worlds that share the cells of a path; one if the path is not listed.
WORLDS_PER_PATH = {"request": 2, "keyed": 2, "map": 2}


def make_worlds(seed: int, mutation: str = "") -> list[tuple[Callable, list[Cell]]]:
    """Return the factories of the worlds, each with the cells that it runs.

    Parameters
    ----------
    seed : int
        Seed for drawing the pairs of faults.
    mutation : str
        Mechanism that the daemons run without; none if empty.
    """
    daemon = [sys.executable, MUTANT, mutation] if mutation else None
    cells = [
        *requests.make_cells(),
        *requests.make_pairs(seed),
        *configs.make_cells(),
        *poisons.make_cells(),
    ]
    by_path: dict[str, list[Cell]] = {}
    for cell in cells:
        by_path.setdefault(cell.path, []).append(cell)
    worlds = []
    for path, path_cells in by_path.items():
        count = WORLDS_PER_PATH.get(path, 1)
        make = functools.partial(World, daemon)
        worlds += [(make, path_cells[i::count]) for i in range(count)]
    count = WORLDS_PER_PATH["map"]
    for i in range(count):
        make = functools.partial(groups.GroupWorld, daemon, checks_fence=bool(i))
        worlds.append((make, groups.make_cells()[i::count]))
    return worlds

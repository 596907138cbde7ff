"""All worlds of the matrix with their cells."""

import functools
import pathlib
import sys
from collections.abc import Callable

from faults import configs, groups, poisons, requests
from faults.cells import Cell
from faults.world import World

MUTANT = str(pathlib.Path(__file__).with_name("mutant.py"))
#: Worlds that the cells of the longest paths are spread over.
SPLITS = {"request": 2, "keyed": 2, "map": 2}


def make_worlds(seed: int, mutation: str = "") -> list[tuple[Callable, list[Cell]]]:
    """List the worlds, each a way to make it and its cells.

    Parameters
    ----------
    seed : int
        Chooses the pairs of faults.
    mutation : str
        Mechanism that is switched off in the product's processes.
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
    for path, own in by_path.items():
        count = SPLITS.get(path, 1)
        make = functools.partial(World, daemon)
        worlds += [(make, own[i::count]) for i in range(count)]
    count = SPLITS["map"]
    for i in range(count):
        make = functools.partial(groups.GroupWorld, daemon, checks_fence=bool(i))
        worlds.append((make, groups.make_cells()[i::count]))
    return worlds

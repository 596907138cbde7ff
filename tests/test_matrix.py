"""Tests that run selected cells of the fault matrix with real processes."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tools"))

from faults import configs, groups, poisons, requests  # noqa: E402
from faults.world import World  # noqa: E402

WORLD_CELLS = (
    "request/none/midstream",
    "request/cut:entry-sidecar/midstream",
    "request/kill:sidecar/prefill",
    "keyed/none/twins",
    "keyed/kill:entry/running",
    "keyed/store:lost/claiming",
    "config/operator:race/before",
    "poison/poison/alone",
)
GROUP_CELLS = ("map/none/go", "map/kill:coordinator/armed")


class MatrixTests(unittest.IsolatedAsyncioTestCase):
    async def run_cells(self, world, cells, names):
        by_name = {cell.name: cell for cell in cells}
        async with world:
            await world.start()
            for name in names:
                with self.subTest(cell=name):
                    await by_name[name].run(world)
                await world.heal()

    async def test_requests_and_configuration_keep_guarantees_under_faults(self):
        cells = [
            *requests.make_cells(),
            *configs.make_cells(),
            *poisons.make_cells(),
        ]
        await self.run_cells(World(), cells, WORLD_CELLS)

    async def test_map_switch_keeps_guarantees_under_faults(self):
        await self.run_cells(groups.GroupWorld(), groups.make_cells(), GROUP_CELLS)

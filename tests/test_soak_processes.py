"""Short soak runs in which the servers are processes that are killed and frozen."""

import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tools"))

from soak.process_world import NAMELESS, REFUSING, run_processes  # noqa: E402

DURATION_S = 12.0
GATEWAYS = 6
SERVERS = 8
#: Seeds, with the behaviours of the servers.
SEEDS = {
    1: REFUSING,
    2: ("shed", *NAMELESS),
    3: ("shed", "false_promise", "extra", "shed_twice"),
}


class ProcessSoakTests(unittest.IsolatedAsyncioTestCase):
    # Guards against refusals that are believed although the server ran the request:
    # callers get a promise that it did not run (REFUSED), or it runs again (TWICE).
    async def test_requests_run_once_at_most_and_refused_ones_never(self):
        for seed, behaviours in SEEDS.items():
            with self.subTest(seed=seed, behaviours=behaviours):
                report = await run_processes(
                    seed, DURATION_S, GATEWAYS, SERVERS, behaviours
                )
                print(f"seed {seed}: {report.statuses}, {report.faults}")
                self.assertEqual(report.broken, [])
                self.assertGreater(report.statuses.get("200", 0), 100)


if __name__ == "__main__":
    unittest.main()

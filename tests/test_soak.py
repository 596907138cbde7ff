"""Short soak with a fixed seed, and the seeds that failed once."""

import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tools"))

from soak.play import play  # noqa: E402

#: Seconds of faults of one seed.
SECONDS = 6.0
#: Seeds played in CI, with what each once showed.
SEEDS = {
    1: "a plain sample",
    108: "a gateway was not ready 20 s after a kill; see KNOWN-RED.txt",
}


class SoakTests(unittest.IsolatedAsyncioTestCase):
    async def test_promises_hold_under_random_faults(self):
        for seed, why in SEEDS.items():
            with self.subTest(seed=seed, why=why):
                print(f"seed {seed}")
                report = await play(seed, SECONDS)
                self.assertEqual(report.broken, [], "\n".join(report.history))


if __name__ == "__main__":
    unittest.main()

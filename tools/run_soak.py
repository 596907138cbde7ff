"""Run real gateways on loopback under random faults and check their guarantees.

``SEED=`` seeds all random draws, ``MINUTES=`` sets how long faults are injected,
``GATEWAYS=`` sets the number of gateways, ``FAULTS=`` names the faults to draw from,
separated by commas, and ``KEEP=1`` keeps the logs of the processes. The last line is
JSON.
"""

import asyncio
import json
import os
import random
import sys

from soak.runner import run_seed
from soak.world import GATEWAYS


async def main() -> int:
    """Run one seed; return the exit status."""
    seed = int(os.environ.get("SEED") or random.SystemRandom().randrange(1_000_000))
    minutes = float(os.environ.get("MINUTES") or 1.0)
    gateways = int(os.environ.get("GATEWAYS") or GATEWAYS)
    print(f"seed {seed}, {minutes} minutes, {gateways} gateways", flush=True)
    faults = [name for name in os.environ.get("FAULTS", "").split(",") if name]
    report = await run_seed(seed, minutes * 60, gateways, faults)
    for line in report.history:
        print(line)
    for line in report.broken:
        print(f"BROKEN {line}")
    print(json.dumps({"seed": seed, "broken": len(report.broken), **report.counts}))
    return 1 if report.broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))

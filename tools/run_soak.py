"""Run real gateways on loopback under random faults and check their guarantees.

``SEED=`` seeds all random draws, ``MINUTES=`` sets how long faults are injected,
``GATEWAYS=`` sets the number of gateways, ``FAULTS=`` names the faults to draw from,
separated by commas, and ``KEEP=1`` keeps the logs of the processes. With ``SERVERS=``
that many servers run as processes, which are killed and frozen (see
`soak.process_world`); ``BEHAVIOURS=`` names their behaviours. The last line is JSON.
"""

import asyncio
import json
import os
import random
import sys

from soak.process_world import REFUSING, run_processes
from soak.runner import run_seed
from soak.world import GATEWAYS

#: Broken guarantees that are printed.
MAX_PRINTED = 20


async def main() -> int:
    """Run one seed; return the exit status."""
    seed = int(os.environ.get("SEED") or random.SystemRandom().randrange(1_000_000))
    minutes = float(os.environ.get("MINUTES") or 1.0)
    gateways = int(os.environ.get("GATEWAYS") or GATEWAYS)
    print(f"seed {seed}, {minutes} minutes, {gateways} gateways", flush=True)
    if servers := int(os.environ.get("SERVERS") or 0):
        return await _run_processes(seed, minutes * 60, gateways, servers)
    faults = [name for name in os.environ.get("FAULTS", "").split(",") if name]
    report = await run_seed(seed, minutes * 60, gateways, faults)
    for line in report.history:
        print(line)
    for line in report.broken:
        print(f"BROKEN {line}")
    print(json.dumps({"seed": seed, "broken": len(report.broken), **report.counts}))
    return 1 if report.broken else 0


async def _run_processes(seed: int, seconds: float, gateways: int, servers: int) -> int:
    drawn = os.environ.get("BEHAVIOURS")
    behaviours = tuple(drawn.split(",")) if drawn else REFUSING
    report = await run_processes(seed, seconds, gateways, servers, behaviours)
    for line in report.broken[:MAX_PRINTED]:
        print(f"BROKEN {line}")
    print(json.dumps({"seed": seed, **report._asdict(), "broken": len(report.broken)}))
    return 1 if report.broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))

"""Run real gateways on loopback under random faults and check their guarantees.

``SEED=`` seeds all random draws, ``MINUTES=`` sets how long faults are injected,
``GATEWAYS=`` sets the number of gateways, ``FAULTS=`` names the faults to draw from,
separated by commas, and ``KEEP=1`` keeps the logs of the processes. With ``SERVERS=``
that many servers run as processes, which are killed and frozen (see
`soak.process_world`); ``BEHAVIOURS=`` names their behaviours. With ``GROUP=`` a whole
deployment with a group of that many ranks and agents is lost once and returns (see
`soak.deployment`); ``LOSS=`` replaces fields of the loss that the seed draws, such as
``LOSS=trigger=hold,answer_s=0.03``; ``MUTATION=`` leaves a part out of the processes
that return (see `soak.mutant_launch`). The last line is JSON.
"""

import asyncio
import json
import os
import random
import sys

from soak.deployment import (
    GATEWAYS as DEPLOYMENT_GATEWAYS,
)
from soak.deployment import (
    LossError,
    check_size,
    draw_loss,
    format_outcome,
    parse_loss,
    run_loss,
)
from soak.mutant_launch import MUTATIONS
from soak.process_world import FREEZES, OPERATIONS, REFUSING, run_processes
from soak.runner import run_seed
from soak.world import GATEWAYS

#: Exit status for options that cannot be used.
EXIT_INVALID = 2
#: Broken guarantees that are printed.
MAX_PRINTED = 20


async def main() -> int:
    """Run one seed; return the exit status."""
    seed = int(os.environ.get("SEED") or random.SystemRandom().randrange(1_000_000))
    if group := os.environ.get("GROUP"):
        return await _run_deployment(seed, group)
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


async def _run_deployment(seed: int, group: str) -> int:
    """Lose a deployment once; print the stages of its return, and the result."""
    try:
        gateways = os.environ.get("GATEWAYS") or DEPLOYMENT_GATEWAYS
        try:
            sizes = int(group), int(gateways)
        except ValueError:
            raise LossError(f"GROUP={group} GATEWAYS={gateways}: no numbers") from None
        check_size(*sizes)
        drawn = draw_loss(random.Random(seed), sizes[0])
        loss = parse_loss(os.environ.get("LOSS", ""), drawn)
    except LossError as exc:
        print(exc, file=sys.stderr)
        return EXIT_INVALID
    mutation = os.environ.get("MUTATION", "")
    if mutation and mutation not in MUTATIONS:
        print(f"MUTATION={mutation}: not one of {sorted(MUTATIONS)}", file=sys.stderr)
        return EXIT_INVALID
    outcome = await run_loss(seed, loss, *sizes, mutation)
    for line in [*outcome.broken, *outcome.slow]:
        print(line)
    print(format_outcome(seed, outcome))
    return 1 if outcome.broken else 0


async def _run_processes(seed: int, seconds: float, gateways: int, servers: int) -> int:
    drawn = os.environ.get("BEHAVIOURS")
    behaviours = tuple(drawn.split(",")) if drawn else REFUSING
    names = os.environ.get("FAULTS")
    fault_names = tuple(names.split(",")) if names else FREEZES
    unknown = set(fault_names) - set(OPERATIONS)
    if unknown:
        print(f"FAULTS={names}: unknown {sorted(unknown)}", file=sys.stderr)
        return EXIT_INVALID
    report = await run_processes(
        seed, seconds, gateways, servers, behaviours, fault_names
    )
    for line in report.broken[:MAX_PRINTED]:
        print(f"BROKEN {line}")
    print(json.dumps({"seed": seed, **report._asdict(), "broken": len(report.broken)}))
    return 1 if report.broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))

"""One play of the soak: start, faults, recovery, verdict."""

import asyncio
import collections
import random
import time
from typing import NamedTuple

import aiohttp

from soak.callers import Caller
from soak.faults import Faults
from soak.guarantees import find_violations
from soak.world import World

#: Callers of each gateway.
CALLERS = 6
#: Seconds after the last fault within which each gateway serves again.
RECOVER_S = 5.0


class Report(NamedTuple):
    """What one play showed.

    Attributes
    ----------
    history : list of str
        Faults, with their times.
    broken : list of str
        A line for each promise that was broken.
    counts : dict of str to int
        Requests by how they ended.
    """

    history: list[str]
    broken: list[str]
    counts: dict[str, int]


async def run_seed(seed: int, seconds: float) -> Report:
    """Play one seed for some seconds."""
    rng = random.Random(seed)
    world = World(rng)
    async with world:
        await world.start()
        try:
            return await _run_seed(world, rng, seconds)
        finally:
            await world.stop()


async def _run_seed(world: World, rng: random.Random, seconds: float) -> Report:
    callers = [
        Caller(world, gateway, random.Random(rng.getrandbits(32)))
        for gateway in world.gateways
        for _ in range(CALLERS)
    ]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    faults = Faults(world, rng)
    await faults.run(time.monotonic() + seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    results = [result for caller in callers for result in caller.results]
    broken = [*faults.findings, *find_violations(world, results)]
    broken += [f"{g.name}: not serving" for g in await _not_serving(world)]
    for gateway in world.gateways:
        if world.processes[gateway.name].poll() is not None:
            broken.append(f"{gateway.name}: ended by itself")
    return Report(faults.history, broken, _count(results))


async def _not_serving(world: World) -> list:
    """Give the gateways that do not serve again after the last fault."""
    late = []
    for gateway in world.gateways:
        try:
            async with asyncio.timeout(RECOVER_S):
                while not await _serves(world, gateway):
                    await asyncio.sleep(0.1)
        except TimeoutError:
            late.append(gateway)
    return late


async def _serves(world: World, gateway) -> bool:
    caller = Caller(world, gateway, random.Random(1))
    async with aiohttp.ClientSession() as session:
        credential = next(iter(world.credentials))
        result = await caller.request(session, "safe", credential)
    return result.status == 200 and result.complete


def _count(results: list) -> dict[str, int]:
    counts = collections.Counter(
        "cut" if r.status == 200 and not r.complete else str(r.status) for r in results
    )
    return {"requests": len(results), **dict(sorted(counts.items()))}

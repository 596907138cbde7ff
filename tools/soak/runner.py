"""Run one seed of the soak: start, inject faults, wait for recovery, and check."""

import asyncio
import collections
import random
import time
from collections.abc import Sequence
from typing import NamedTuple

import aiohttp

from soak.callers import Caller
from soak.faults import FaultInjector
from soak.guarantees import (
    count_in_cold_second,
    find_bound_arrivals,
    find_evacuated_arrivals,
    find_repeats,
    find_violations,
)
from soak.poisons import PoisonCaller
from soak.world import GATEWAYS, World

#: HTTP versions of the callers of each gateway.
CALLER_VERSIONS = (aiohttp.HttpVersion11,) * 5 + (aiohttp.HttpVersion10,)
#: Seconds after the last fault within which each gateway must serve again.
RECOVERY_TIMEOUT_S = 5.0


class Report(NamedTuple):
    """Result of one run.

    Attributes
    ----------
    history : list of str
        Injected faults with their times.
    broken : list of str
        A line for each guarantee that was violated.
    counts : dict of str to int
        Number of requests, in total and by status; ``cut`` counts the responses with
        status 200 that ended early, ``poison_crashes`` the crashes of servers by a
        poison request, ``rates`` the rates that servers stated, and ``rates_in_force``
        those that bound a gateway; ``rate_arrivals`` requests were checked.
        ``evacuations`` counts the evacuations of zones, and ``evacuated_arrivals`` the
        requests that were checked in them.
        ``cold_spans`` counts the times that a server was cold, ``cold_arrivals`` the
        requests in them, and ``cold_second`` the most in a second. ``repeats`` counts
        the arrivals at servers but the first of each request.
    """

    history: list[str]
    broken: list[str]
    counts: dict[str, int]


async def run_seed(
    seed: int,
    seconds: float,
    gateway_count: int = GATEWAYS,
    faults: Sequence[str] = (),
) -> Report:
    """Run a seed and inject faults for the given number of seconds.

    Parameters
    ----------
    faults : sequence of str
        Names of the faults to draw from; all if empty.
    """
    rng = random.Random(seed)
    world = World(rng, gateway_count)
    async with world:
        await world.start()
        try:
            return await _run_seed(world, rng, seconds, faults)
        finally:
            await world.stop()


async def _run_seed(
    world: World, rng: random.Random, seconds: float, faults: Sequence[str]
) -> Report:
    callers = [
        Caller(world, gateway, random.Random(rng.getrandbits(32)), version)
        for gateway in world.gateways
        for version in CALLER_VERSIONS
    ]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    # One draw for both, so that older seeds inject the same faults as before.
    poison_seed = rng.getrandbits(32)
    poison_callers = [
        PoisonCaller(world, random.Random(poison_seed + shares_part), shares_part)
        for shares_part in (False, True)
    ]
    tasks += [
        *(asyncio.create_task(caller.run()) for caller in poison_callers),
        asyncio.create_task(world.send_heartbeats()),
        # Its draws leave those of the faults as they are, too.
        asyncio.create_task(world.evacuate_zones(random.Random(poison_seed + 2))),
    ]
    injector = FaultInjector(world, rng, faults)
    await injector.run(time.monotonic() + seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    results = [result for caller in callers for result in caller.results]
    broken = [*injector.findings, *find_violations(world, results)]
    for caller in poison_callers:
        broken += caller.find_violations()
        broken += caller.find_blocked_sound_ones(results)
    broken += [f"{g.name}: not serving" for g in await _find_not_serving(world)]
    for gateway in world.gateways:
        if world.processes[gateway.name].poll() is not None:
            broken.append(f"{gateway.name}: exited unexpectedly")
    counts = {
        **_count_outcomes(results),
        "poison_crashes": len(world.poison_crashes),
        **_count_rate_checks(world, results),
        "evacuations": len(world.evacuations),
        "evacuated_arrivals": sum(
            len(find_evacuated_arrivals(world, evacuation, results))
            for evacuation in world.evacuations
        ),
        **_count_cold_checks(world),
        "repeats": len(find_repeats(world, results)),
    }
    return Report(injector.history, broken, counts)


def _count_rate_checks(world: World, results: list) -> dict[str, int]:
    """Count the stated rates, those that bound a gateway, and the requests checked."""
    bound = [
        len(find_bound_arrivals(world, server, limit, results))
        for server in [*world.servers, *world.retired]
        for limit in server.rate_limits
    ]
    return {
        "rates": len(bound),
        "rates_in_force": sum(count > 0 for count in bound),
        "rate_arrivals": sum(bound),
    }


def _count_cold_checks(world: World) -> dict[str, int]:
    """Count the times that servers were cold, and their requests then."""
    servers = [*world.servers, *world.retired]
    spans = [(server, span) for server in servers for span in server.cold_spans]
    return {
        "cold_spans": len(spans),
        "cold_arrivals": sum(
            span.start <= at <= span.end
            for server, span in spans
            for at in server.counted_at
        ),
        "cold_second": max(map(count_in_cold_second, servers), default=0),
    }


async def _find_not_serving(world: World) -> list:
    """Return the gateways that do not serve requests after the last fault."""
    not_serving = []
    for gateway in world.gateways:
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_S):
                while not await _serves(world, gateway):
                    await asyncio.sleep(0.1)
        except TimeoutError:
            not_serving.append(gateway)
    return not_serving


async def _serves(world: World, gateway) -> bool:
    caller = Caller(world, gateway, random.Random(1))
    async with aiohttp.ClientSession() as session:
        credential = next(iter(world.credentials))
        result = await caller.request(session, "safe", credential)
    return result.status == 200 and result.complete


def _count_outcomes(results: list) -> dict[str, int]:
    counts = collections.Counter(
        "cut" if r.status == 200 and not r.complete else str(r.status) for r in results
    )
    return {"requests": len(results), **dict(sorted(counts.items()))}

"""Cells for requests that crash every endpoint that runs them."""

import asyncio

from faults.callers import complete, expected_text
from faults.cells import Cell, expect
from faults.world import ENGINES, World, unique_text, wait_until
from slatehoist_standins.engine import SILENCE_BEFORE_CRASH_S

#: Crashes that one poison request may cause, summed over all entries.
MAX_CRASHES = 2
#: Crashes that requests with one part in common may cause, and number of such requests.
MAX_CRASHES_OF_PART = 5 + 3
VARIANTS = 20
#: Seconds within which a crashed engine runs again.
RESTART_S = 1.0
#: Number of times that the caller sends the poison request.
RESENDS = 5
TOKENS = 40


async def run_poison(
    world: World,
    with_others: bool = False,
    restart_entry: bool = False,
    silent: bool = False,
) -> None:
    """Send a poison request repeatedly, through both entries in turn.

    Parameters
    ----------
    silent : bool
        True if an engine falls silent before it crashes, so that the attempts at it end
        before the crash is known. The caller then waits until that is so.
    """
    before = world.crashes()
    restarter = asyncio.create_task(_replace_crashed(world))
    session = world.session
    other_prompts = [
        unique_text("innocent") for _ in range(ENGINES if with_others else 0)
    ]
    calls = [
        asyncio.create_task(
            complete(session, world.entries[0].http, p, TOKENS, stream=False)
        )
        for p in other_prompts
    ]
    if other_prompts:
        await wait_until(
            lambda: all(world.runs(p) for p in other_prompts), what="the other requests"
        )
    poison = unique_text("SILENT POISON" if silent else "POISON")
    last = None
    for resend in range(RESENDS):
        entry = world.entries[resend % 2]
        last = await complete(session, entry.http, poison, TOKENS, stream=False)
        expect(last.kind != "whole", f"a poison request was answered: {last}")
        if silent:
            await asyncio.sleep(SILENCE_BEFORE_CRASH_S)
            await wait_until(lambda: _has_sidecars(world), what="the engines")
        if restart_entry and resend == 1:
            world.kill("entry-0")
            world.restart("entry-0")
            await wait_until(lambda: _has_sidecars(world), what="the entry")
    replies = await asyncio.gather(*calls)
    restarter.cancel()
    crashes = world.crashes() - before
    expect(crashes <= MAX_CRASHES, f"one poison request crashed {crashes} endpoints")
    expect(last.code == "crashes_endpoints", f"not refused as a poison request: {last}")
    for prompt, reply in zip(other_prompts, replies, strict=True):
        whole = reply.kind == "whole" and reply.text == expected_text(prompt, TOKENS)
        expect(whole, f"another request did not get its answer: {reply}")


async def run_variants(world: World) -> None:
    """Send poison requests, no two alike, whose prompts have a part in common."""
    before = world.crashes()
    restarter = asyncio.create_task(_replace_crashed(world))
    for number in range(VARIANTS):
        poison = unique_text("POISON")
        entry = world.entries[number % 2]
        await complete(world.session, entry.http, poison, TOKENS, stream=False)
        await asyncio.sleep(RESTART_S)
    restarter.cancel()
    crashes = world.crashes() - before
    expect(
        crashes <= MAX_CRASHES_OF_PART,
        f"{VARIANTS} requests with one part crashed {crashes} endpoints",
    )


async def _has_sidecars(world: World) -> bool:
    try:
        await world.wait_for_sidecars(world.entries[0], ENGINES - 1, 0.1)
    except Exception:
        return False
    return True


async def _replace_crashed(world: World) -> None:
    """Restart crashed endpoints, as the platform would."""
    while True:
        for name in list(world.urls):
            if world.processes[name].poll() is not None:
                await asyncio.sleep(0.3)
                world.restart(name)
        await asyncio.sleep(0.05)


def make_cells() -> list[Cell]:
    """Return the cells for poison requests."""

    async def alone(world: World) -> None:
        await run_poison(world)

    async def among(world: World) -> None:
        await run_poison(world, with_others=True)

    async def restart(world: World) -> None:
        await run_poison(world, restart_entry=True)

    async def silence(world: World) -> None:
        await run_poison(world, silent=True)

    return [
        Cell("poison", "poison", "alone", alone),
        Cell("poison", "poison", "among", among),
        Cell("poison", "poison", "restart", restart),
        Cell("poison", "poison", "silent", silence),
        Cell("poison", "poison", "variants", run_variants),
    ]

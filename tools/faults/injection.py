"""Faults that can be put into a world while a request is at some back end."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from faults.world import World

#: Seconds of a pause that every limit allows for.
SHORT_PAUSE_S = 0.8
#: Seconds of a freeze that is longer than silence and queries are borne.
LONG_FREEZE_S = 6.0

Injection = Callable[[World, str, str], Awaitable[None]]


async def nothing(world: World, sidecar: str, back_end: str) -> None:
    """Put in no fault."""


def kill(role: str) -> Injection:
    """Kill a process."""

    async def inject(world: World, sidecar: str, back_end: str) -> None:
        world.kill(_pick(role, sidecar, back_end))

    return inject


def replace(role: str) -> Injection:
    """Kill a process and start it again at once."""

    async def inject(world: World, sidecar: str, back_end: str) -> None:
        name = _pick(role, sidecar, back_end)
        world.kill(name)
        world.restart(name)

    return inject


def freeze(role: str, seconds: float) -> Injection:
    """Freeze a process and thaw it later."""

    async def inject(world: World, sidecar: str, back_end: str) -> None:
        name = _pick(role, sidecar, back_end)
        world.signal(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        world.signal(name, signal.SIGCONT)

    return inject


def relay(between: str, mode: str, delay_s: float = 0.0) -> Injection:
    """Change the relay before the sidecar or before the back end."""

    async def inject(world: World, sidecar: str, back_end: str) -> None:
        name = f"{sidecar}.http" if between == "entry-sidecar" else back_end
        await world.set_relay_mode(name, mode, delay_s)

    return inject


def platform(**faults: object) -> Injection:
    """Make the platform's stand-in fail."""

    async def inject(world: World, sidecar: str, back_end: str) -> None:
        await world.set_faults(world.platform_url, **faults)

    return inject


async def hole_platform(world: World, sidecar: str, back_end: str) -> None:
    """Turn the entries' open connections to the platform silent."""
    await world.set_relay_mode("platform", "hole")


async def lag_list(world: World, sidecar: str, back_end: str) -> None:
    """Leave a process on the platform's list that is gone."""
    world.kill(sidecar)


def _pick(role: str, sidecar: str, back_end: str) -> str:
    return {"sidecar": sidecar, "back_end": back_end, "entry": "entry-0"}[role]


FAULTS: dict[str, Injection] = {
    "none": nothing,
    "kill:sidecar": kill("sidecar"),
    "kill:back_end": kill("back_end"),
    "kill:entry": kill("entry"),
    "replace:sidecar": replace("sidecar"),
    "replace:back_end": replace("back_end"),
    "pause:sidecar": freeze("sidecar", SHORT_PAUSE_S),
    "pause:back_end": freeze("back_end", SHORT_PAUSE_S),
    "pause:entry": freeze("entry", SHORT_PAUSE_S),
    "freeze:sidecar": freeze("sidecar", LONG_FREEZE_S),
    "freeze:back_end": freeze("back_end", LONG_FREEZE_S),
    "freeze:entry": freeze("entry", LONG_FREEZE_S),
    "cut:entry-sidecar": relay("entry-sidecar", "cut"),
    "cut:sidecar-back_end": relay("sidecar-back_end", "cut"),
    "hole:entry-sidecar": relay("entry-sidecar", "hole"),
    "hole:sidecar-back_end": relay("sidecar-back_end", "hole"),
    "hole:platform": hole_platform,
    "delay:entry-sidecar": relay("entry-sidecar", "delay", 0.3),
    "late:entry-sidecar": relay("entry-sidecar", "late", 4.0),
    "store:down": platform(down=1),
    "store:slow": platform(delay_s=1.5),
    "store:lost": platform(lose=3),
    "list:lag": lag_list,
}

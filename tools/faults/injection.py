"""Faults that are injected into a world at a step of a request or call."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from faults.world import World

#: Seconds of a freeze that is shorter than every timeout.
SHORT_PAUSE_S = 0.8
#: Seconds of a freeze that exceeds the timeouts for silence and for queries.
LONG_FREEZE_S = 6.0

Injection = Callable[[World, str, str], Awaitable[None]]


async def inject_nothing(world: World, sidecar: str, endpoint: str) -> None:
    """Inject no fault."""


def kill(role: str) -> Injection:
    """Return a fault that kills a process."""

    async def inject(world: World, sidecar: str, endpoint: str) -> None:
        world.kill(_process_name(role, sidecar, endpoint))

    return inject


def replace(role: str) -> Injection:
    """Return a fault that kills a process and restarts it at once."""

    async def inject(world: World, sidecar: str, endpoint: str) -> None:
        name = _process_name(role, sidecar, endpoint)
        world.kill(name)
        world.restart(name)

    return inject


def freeze(role: str, seconds: float) -> Injection:
    """Return a fault that stops a process by SIGSTOP and continues it later."""

    async def inject(world: World, sidecar: str, endpoint: str) -> None:
        name = _process_name(role, sidecar, endpoint)
        world.signal(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        world.signal(name, signal.SIGCONT)

    return inject


def disturb_relay(link: str, mode: str, delay_s: float = 0.0) -> Injection:
    """Return a fault that sets the mode of the relay on a link."""

    async def inject(world: World, sidecar: str, endpoint: str) -> None:
        name = f"{sidecar}.http" if link == "entry-sidecar" else endpoint
        await world.set_relay_mode(name, mode, delay_s)

    return inject


def fail_platform(**faults: object) -> Injection:
    """Return a fault that makes the platform's stand-in fail."""

    async def inject(world: World, sidecar: str, endpoint: str) -> None:
        await world.set_faults(world.platform_url, **faults)

    return inject


async def silence_platform(world: World, sidecar: str, endpoint: str) -> None:
    """Stop forwarding on the entries' open connections to the platform."""
    await world.set_relay_mode("platform", "hole")


async def kill_listed_sidecar(world: World, sidecar: str, endpoint: str) -> None:
    """Kill a sidecar that the platform's list of instances still contains."""
    world.kill(sidecar)


def _process_name(role: str, sidecar: str, endpoint: str) -> str:
    """Return the name of the process that has a role in the current cell."""
    return {"sidecar": sidecar, "endpoint": endpoint, "entry": "entry-0"}[role]


FAULTS: dict[str, Injection] = {
    "none": inject_nothing,
    "kill:sidecar": kill("sidecar"),
    "kill:back_end": kill("endpoint"),
    "kill:entry": kill("entry"),
    "replace:sidecar": replace("sidecar"),
    "replace:back_end": replace("endpoint"),
    "pause:sidecar": freeze("sidecar", SHORT_PAUSE_S),
    "pause:back_end": freeze("endpoint", SHORT_PAUSE_S),
    "pause:entry": freeze("entry", SHORT_PAUSE_S),
    "freeze:sidecar": freeze("sidecar", LONG_FREEZE_S),
    "freeze:back_end": freeze("endpoint", LONG_FREEZE_S),
    "freeze:entry": freeze("entry", LONG_FREEZE_S),
    "cut:entry-sidecar": disturb_relay("entry-sidecar", "cut"),
    "cut:sidecar-back_end": disturb_relay("sidecar-endpoint", "cut"),
    "hole:entry-sidecar": disturb_relay("entry-sidecar", "hole"),
    "hole:sidecar-back_end": disturb_relay("sidecar-endpoint", "hole"),
    "hole:platform": silence_platform,
    "delay:entry-sidecar": disturb_relay("entry-sidecar", "delay", 0.3),
    "late:entry-sidecar": disturb_relay("entry-sidecar", "late", 4.0),
    "store:down": fail_platform(down=1),
    "store:slow": fail_platform(delay_s=1.5),
    "store:lost": fail_platform(lose=3),
    "list:lag": kill_listed_sidecar,
}

"""Faults of the soak, in series and overlapping, drawn from a seed."""

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterator

from soak.world import GRACE_S, REVOKE_S, Gateway, World

#: Series of faults that run beside each other.
SERIES = 3
#: Longest pause between two faults of a series, in seconds.
MAX_PAUSE_S = 1.5
#: Longest freeze or cut, in seconds; longer than credentials are trusted.
MAX_LENGTH_S = 6.0

#: Characters of a process's log that a finding shows.
LOG_TAIL = 600

Fault = Callable[["Faults", Gateway], Awaitable[None]]


class Faults:
    """Put in faults until the time is over.

    Parameters
    ----------
    rng : random.Random
        Chooses faults, places and times.
    """

    def __init__(self, world: World, rng: random.Random) -> None:
        self.world = world
        self.rng = rng
        #: What was done, for the report of a failure.
        self.history: list[str] = []
        self.findings: list[str] = []
        self._began = time.monotonic()

    async def run(self, ends_at: float) -> None:
        """Run all series until a time; all faults are over at the end."""
        self._began = time.monotonic()
        seeds = [self.rng.getrandbits(32) for _ in range(SERIES)]
        await asyncio.gather(*(self._series(seed, ends_at) for seed in seeds))

    async def _series(self, seed: int, ends_at: float) -> None:
        rng = random.Random(seed)
        while time.monotonic() < ends_at:
            await asyncio.sleep(rng.random() * MAX_PAUSE_S)
            name = rng.choice(sorted(FAULTS))
            gateway = rng.choice(self.world.gateways)
            if gateway.stopping:
                continue
            self.history.append(f"{self.elapsed():6.1f} s {name} {gateway.name}")
            await FAULTS[name](self, gateway)

    async def await_ready(self, gateway: Gateway) -> None:
        """Wait for a gateway that was started; note it if it does not come."""
        try:
            await self.world.wait_ready(gateway)
        except TimeoutError:
            tail = self.world.read_log(gateway.name)[-LOG_TAIL:]
            self.findings.append(f"{gateway.name}: not ready after its start: {tail}")

    def elapsed(self) -> float:
        """Give the seconds since the first fault could come."""
        return time.monotonic() - self._began

    def length_s(self) -> float:
        """Draw how long a fault lasts; short ones are more frequent."""
        return MAX_LENGTH_S * self.rng.random() ** 2


async def freeze(faults: Faults, gateway: Gateway) -> None:
    """Stop a gateway by a signal and let it go on."""
    with gateway.faults.during():
        faults.world.signal(gateway.name, signal.SIGSTOP)
        await asyncio.sleep(faults.length_s())
        faults.world.signal(gateway.name, signal.SIGCONT)


async def stutter(faults: Faults, gateway: Gateway) -> None:
    """Stop a gateway for short moments, again and again."""
    with gateway.faults.during():
        for _ in range(faults.rng.randint(3, 12)):
            faults.world.signal(gateway.name, signal.SIGSTOP)
            await asyncio.sleep(faults.rng.random() * 0.1)
            faults.world.signal(gateway.name, signal.SIGCONT)
            await asyncio.sleep(faults.rng.random() * 0.1)


async def kill(faults: Faults, gateway: Gateway) -> None:
    """Kill a gateway and start it again."""
    gateway.stopping = True
    with gateway.faults.during():
        faults.world.kill(gateway.name)
        await asyncio.sleep(faults.rng.random())
        faults.world.restart(gateway.name)
        await faults.await_ready(gateway)
    gateway.stopping = False


async def terminate(faults: Faults, gateway: Gateway) -> None:
    """Stop a gateway in order, with signals in series, and start it again."""
    gateway.stopping = True
    with gateway.planned.during():
        if faults.rng.random() < 0.3:
            faults.world.signal(gateway.name, signal.SIGHUP)
        took_s = await faults.world.end_gateway(gateway)
        if took_s >= GRACE_S:
            faults.findings.append(f"{gateway.name}: runs {took_s:.1f} s after SIGTERM")
        await faults.await_ready(gateway)
    gateway.stopping = False


async def reload(faults: Faults, gateway: Gateway) -> None:
    """Ask a gateway to read its settings."""
    faults.world.signal(gateway.name, signal.SIGHUP)


async def cut_callers(faults: Faults, gateway: Gateway) -> None:
    """Reset all connections of callers to a gateway."""
    with gateway.faults.during():
        gateway.caller_relay.set_mode("cut", 0.0)


async def delay_callers(faults: Faults, gateway: Gateway) -> None:
    """Delay what callers and a gateway send each other."""
    with gateway.faults.during():
        gateway.caller_relay.set_mode("delay", 0.1 + 0.4 * faults.rng.random())
        await asyncio.sleep(faults.length_s())
        gateway.caller_relay.set_mode("pass", 0.0)


async def silence_callers(faults: Faults, gateway: Gateway) -> None:
    """Turn open connections of callers silent for good."""
    with gateway.faults.during():
        gateway.caller_relay.set_mode("hole", 0.0)


@contextlib.contextmanager
def store_cut(gateway: Gateway, mode: str) -> Iterator[None]:
    """Cut a gateway off from the store while the block runs."""
    relay = gateway.store_relay
    with gateway.faults.during():
        relay.refusing = True
        relay.set_mode(mode, 0.0)
        yield
        relay.refusing = False
        relay.set_mode("cut", 0.0)


async def cut_store(faults: Faults, gateway: Gateway) -> None:
    """Cut a gateway off from the store, with or without a reset."""
    with store_cut(gateway, faults.rng.choice(["cut", "hole"])):
        await asyncio.sleep(faults.length_s())


async def revoke_behind_cut(faults: Faults, gateway: Gateway) -> None:
    """Take a credential away while a gateway cannot hear of it."""
    with store_cut(gateway, "hole"):
        faults.world.rotate_credential()
        await asyncio.sleep(REVOKE_S + faults.length_s() / 2)


async def delay_store(faults: Faults, gateway: Gateway) -> None:
    """Let the store answer a gateway late."""
    with gateway.faults.during():
        gateway.store_relay.set_mode("delay", 0.1 + 0.9 * faults.rng.random())
        await asyncio.sleep(faults.length_s())
        gateway.store_relay.set_mode("pass", 0.0)


async def fail_store(faults: Faults, gateway: Gateway) -> None:
    """Let the store be down, silent, or lose answers, for all gateways."""
    store = faults.world.store
    with faults.world.store_faults.during():
        store.fault = faults.rng.choice(["down", "silent", "lost"])
        await asyncio.sleep(faults.length_s())
        store.fault = ""


async def forget_history(faults: Faults, gateway: Gateway) -> None:
    """Let the store forget its history."""
    faults.world.store.compact()


async def change_configuration(faults: Faults, gateway: Gateway) -> None:
    """Write versions in quick succession."""
    for _ in range(faults.rng.randint(1, 4)):
        faults.world.publish()
        await asyncio.sleep(faults.rng.random() * 0.2)


async def revoke(faults: Faults, gateway: Gateway) -> None:
    """Take a credential away."""
    faults.world.rotate_credential()


async def crash_server(faults: Faults, gateway: Gateway) -> None:
    """Crash a server; another one takes its place."""
    world = faults.world
    server = world.servers.pop(faults.rng.randrange(len(world.servers)))
    world.retired.append(server)
    server.crash()
    await asyncio.sleep(faults.rng.random())
    world.store.remove("servers", server.server_id)
    await world.add_server()


async def drain_server(faults: Faults, gateway: Gateway) -> None:
    """Replace a server in order."""
    world = faults.world
    await world.add_server()
    server = world.servers.pop(0)
    world.retired.append(server)
    world.store.put("servers", server.server_id, server.row("app", state="draining"))
    server.left_at = time.monotonic()
    await asyncio.sleep(4.0)
    world.store.remove("servers", server.server_id)
    server.crash()


async def misbehave(faults: Faults, gateway: Gateway) -> None:
    """Let servers answer badly."""
    faults.world.bad_ratio = 0.02 + 0.2 * faults.rng.random()
    await asyncio.sleep(faults.length_s())
    faults.world.bad_ratio = 0.0


FAULTS: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        freeze,
        stutter,
        kill,
        terminate,
        reload,
        cut_callers,
        delay_callers,
        silence_callers,
        cut_store,
        revoke_behind_cut,
        delay_store,
        fail_store,
        forget_history,
        change_configuration,
        revoke,
        crash_server,
        drain_server,
        misbehave,
    )
}

"""Faults of the soak, drawn from a seed and injected in several concurrent series."""

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence

from slatehoist_standins.odd_rows import odd_server_rows
from soak.servers import RateLimit, SoakServer
from soak.world import COLD_S, GRACE_S, REVOKE_S, SETTLE_S, Gateway, World

#: Number of series of faults that run concurrently.
SERIES = 3
#: Maximum pause between two faults of a series, in seconds.
MAX_PAUSE_S = 1.5
#: Maximum duration of a fault, in seconds; longer than `REVOKE_S`, the time for which
#: a gateway trusts credentials without contact to the store.
MAX_DURATION_S = 6.0

#: Further times that `limit_rate` stands among the faults to draw from: other faults
#: soon excuse the gateways, but a rate does not.
EXTRA_LIMITS = 5
#: Shortest time in seconds for which a server states a rate: gateways must keep it only
#: some seconds after its first answer.
MIN_LIMIT_S = 6.0

#: Seconds for which a server that leaves still serves.
SERVES_ON_S = 4.0
#: Shortest outage in seconds in which gateways expect rows to expire.
MIN_OUTAGE_S = 2.5

#: Characters of a process's log that a finding contains.
LOG_TAIL_CHARS = 600

Fault = Callable[["FaultInjector", Gateway], Awaitable[None]]


class FaultInjector:
    """Inject random faults until a given time.

    Parameters
    ----------
    rng : random.Random
        Draws the faults, the gateways and the durations.
    names : sequence of str
        Faults to draw from; all of `FAULTS` if empty.
    """

    def __init__(
        self, world: World, rng: random.Random, names: Sequence[str] = ()
    ) -> None:
        self.world = world
        self.rng = rng
        self._names = sorted(names or [*FAULTS, *[limit_rate.__name__] * EXTRA_LIMITS])
        #: Injected faults with their times, for the report.
        self.history: list[str] = []
        self.findings: list[str] = []
        self._began = time.monotonic()

    async def run(self, ends_at: float) -> None:
        """Run all series until a time, and wait until all faults have ended."""
        self._began = time.monotonic()
        seeds = [self.rng.getrandbits(32) for _ in range(SERIES)]
        await asyncio.gather(*(self._run_series(seed, ends_at) for seed in seeds))

    async def _run_series(self, seed: int, ends_at: float) -> None:
        rng = random.Random(seed)
        while time.monotonic() < ends_at:
            await asyncio.sleep(rng.random() * MAX_PAUSE_S)
            name = rng.choice(self._names)
            gateway = rng.choice(self.world.gateways)
            if gateway.stopping:
                continue
            self.history.append(f"{self.elapsed():6.1f} s {name} {gateway.name}")
            await FAULTS[name](self, gateway)

    async def check_ready(self, gateway: Gateway) -> None:
        """Wait until a restarted gateway is ready; add a finding if it is not."""
        try:
            await self.world.wait_ready(gateway)
        except TimeoutError:
            tail = self.world.read_log(gateway.name)[-LOG_TAIL_CHARS:]
            self.findings.append(f"{gateway.name}: not ready after its start: {tail}")

    def elapsed(self) -> float:
        """Return the seconds since the series began."""
        return time.monotonic() - self._began

    def draw_duration_s(self) -> float:
        """Draw the duration of a fault; short durations are more frequent."""
        return MAX_DURATION_S * self.rng.random() ** 2


async def freeze(injector: FaultInjector, gateway: Gateway) -> None:
    """Stop a gateway by SIGSTOP and continue it later."""
    with gateway.fault_spans.record():
        injector.world.signal(gateway.name, signal.SIGSTOP)
        await asyncio.sleep(injector.draw_duration_s())
        injector.world.signal(gateway.name, signal.SIGCONT)


async def stutter(injector: FaultInjector, gateway: Gateway) -> None:
    """Stop a gateway repeatedly, for up to 0.1 s each time."""
    with gateway.fault_spans.record():
        for _ in range(injector.rng.randint(3, 12)):
            injector.world.signal(gateway.name, signal.SIGSTOP)
            await asyncio.sleep(injector.rng.random() * 0.1)
            injector.world.signal(gateway.name, signal.SIGCONT)
            await asyncio.sleep(injector.rng.random() * 0.1)


async def kill(injector: FaultInjector, gateway: Gateway) -> None:
    """Kill a gateway and restart it."""
    gateway.stopping = True
    with gateway.fault_spans.record():
        injector.world.kill(gateway.name)
        await asyncio.sleep(injector.rng.random())
        injector.world.restart(gateway.name)
        await injector.check_ready(gateway)
    gateway.stopping = False


async def terminate(injector: FaultInjector, gateway: Gateway) -> None:
    """Stop a gateway by SIGTERM, sometimes just after SIGHUP, and restart it."""
    gateway.stopping = True
    with gateway.stop_spans.record():
        if injector.rng.random() < 0.3:
            injector.world.signal(gateway.name, signal.SIGHUP)
        took_s = await injector.world.restart_gateway(gateway)
        if took_s >= GRACE_S:
            injector.findings.append(
                f"{gateway.name}: still running {took_s:.1f} s after SIGTERM"
            )
        await injector.check_ready(gateway)
    gateway.stopping = False


async def reload(injector: FaultInjector, gateway: Gateway) -> None:
    """Send SIGHUP, so that a gateway reloads its settings."""
    injector.world.signal(gateway.name, signal.SIGHUP)


async def cut_callers(injector: FaultInjector, gateway: Gateway) -> None:
    """Reset all open connections between callers and a gateway."""
    with gateway.fault_spans.record():
        gateway.caller_relay.set_mode("cut", 0.0)


async def delay_callers(injector: FaultInjector, gateway: Gateway) -> None:
    """Delay the traffic between callers and a gateway."""
    with gateway.fault_spans.record():
        gateway.caller_relay.set_mode("delay", 0.1 + 0.4 * injector.rng.random())
        await asyncio.sleep(injector.draw_duration_s())
        gateway.caller_relay.set_mode("pass", 0.0)


async def silence_callers(injector: FaultInjector, gateway: Gateway) -> None:
    """Stop forwarding on the open connections of callers, permanently."""
    with gateway.fault_spans.record():
        gateway.caller_relay.set_mode("hole", 0.0)


@contextlib.contextmanager
def disconnect_store(gateway: Gateway, mode: str) -> Iterator[None]:
    """Disconnect a gateway from the store while the block runs."""
    relay = gateway.store_relay
    with gateway.fault_spans.record():
        relay.refusing = True
        relay.set_mode(mode, 0.0)
        yield
        relay.refusing = False
        relay.set_mode("cut", 0.0)


async def cut_store(injector: FaultInjector, gateway: Gateway) -> None:
    """Disconnect a gateway from the store, with or without resetting connections."""
    with disconnect_store(gateway, injector.rng.choice(["cut", "hole"])):
        await asyncio.sleep(injector.draw_duration_s())


async def revoke_behind_cut(injector: FaultInjector, gateway: Gateway) -> None:
    """Revoke a credential while a gateway is disconnected from the store."""
    with disconnect_store(gateway, "hole"):
        injector.world.rotate_credential()
        await asyncio.sleep(REVOKE_S + injector.draw_duration_s() / 2)


async def delay_store(injector: FaultInjector, gateway: Gateway) -> None:
    """Delay the traffic between a gateway and the store."""
    with gateway.fault_spans.record():
        gateway.store_relay.set_mode("delay", 0.1 + 0.9 * injector.rng.random())
        await asyncio.sleep(injector.draw_duration_s())
        gateway.store_relay.set_mode("pass", 0.0)


async def fail_store(injector: FaultInjector, gateway: Gateway) -> None:
    """Make the store refuse or ignore calls, or lose responses to transactions."""
    store = injector.world.store
    with injector.world.store_fault_spans.record():
        store.fault = injector.rng.choice(["down", "silent", "lost"])
        await asyncio.sleep(injector.draw_duration_s())
        store.fault = ""


async def restore_store(injector: FaultInjector, gateway: Gateway) -> None:
    """Let the store come back from a copy that is some seconds old, in a new era."""
    world = injector.world
    copy = world.store.copy()
    await asyncio.sleep(injector.draw_duration_s() / 2)
    with world.store_fault_spans.record():
        world.store.fault = "down"
        await asyncio.sleep(injector.rng.random())
        world.store.restore(copy)
        world.store.fault = ""
        await asyncio.sleep(injector.rng.random())
        await world.write_again()


async def forget_history(injector: FaultInjector, gateway: Gateway) -> None:
    """Compact the store, so that it drops its history of changes."""
    injector.world.store.compact()


async def change_configuration(injector: FaultInjector, gateway: Gateway) -> None:
    """Write several versions of the configuration in quick succession."""
    for _ in range(injector.rng.randint(1, 4)):
        injector.world.publish()
        await asyncio.sleep(injector.rng.random() * 0.2)


async def revoke(injector: FaultInjector, gateway: Gateway) -> None:
    """Revoke a credential and replace it by a new one."""
    injector.world.rotate_credential()


async def crash_server(injector: FaultInjector, gateway: Gateway) -> None:
    """Crash a server and add another one."""
    world = injector.world
    server = world.servers.pop(injector.rng.randrange(len(world.servers)))
    world.retired.append(server)
    server.crash()
    await asyncio.sleep(injector.rng.random())
    world.store.remove("servers", server.server_id)
    await world.add_server()


async def drain_server(injector: FaultInjector, gateway: Gateway) -> None:
    """Add a server, drain the oldest one, and remove it from the store."""
    server = await replace_oldest_server(injector.world)
    row = server.row("app", state="draining")
    injector.world.store.put("servers", server.server_id, row)
    server.draining_since = time.monotonic()
    await asyncio.sleep(SERVES_ON_S)
    injector.world.store.remove("servers", server.server_id)
    server.crash()


async def remove_server(injector: FaultInjector, gateway: Gateway) -> None:
    """Add a server, and remove the oldest one from the store before it ends."""
    server = await replace_oldest_server(injector.world)
    injector.world.store.remove("servers", server.server_id)
    server.draining_since = time.monotonic()
    await asyncio.sleep(SERVES_ON_S)
    server.crash()


async def lose_read(injector: FaultInjector, gateway: Gateway) -> None:
    """Leave a read of the list unanswered while a server drains or is removed.

    This counts as no fault of a gateway or of the store: some reads may fail.
    """
    injector.world.store.silent_reads += 1
    await injector.rng.choice([drain_server, remove_server])(injector, gateway)


async def leave_in_outage(injector: FaultInjector, gateway: Gateway) -> None:
    """Remove a server that serves on while a gateway cannot read the list."""
    world = injector.world
    server = await replace_oldest_server(world)
    with disconnect_store(gateway, injector.rng.choice(["cut", "hole"])):
        world.store.remove("servers", server.server_id)
        server.draining_since = time.monotonic()
        await asyncio.sleep(MIN_OUTAGE_S + injector.draw_duration_s() / 3)
    await asyncio.sleep(SERVES_ON_S + SETTLE_S)
    server.crash()


async def replace_oldest_server(world: World) -> SoakServer:
    """Add a server, and return the oldest one, which is no longer kept up."""
    await world.add_server()
    server = world.servers.pop(0)
    world.retired.append(server)
    return server


async def leave_server(injector: FaultInjector, gateway: Gateway) -> None:
    """Let a server say in its answers that it leaves, while it is listed as ready."""
    world = injector.world
    server = await replace_oldest_server(world)
    server.leaving = True
    await asyncio.sleep(SERVES_ON_S)
    world.store.remove("servers", server.server_id)
    server.crash()


async def turn_away(injector: FaultInjector, gateway: Gateway) -> None:
    """Let some servers turn all requests away for a stated time."""
    world = injector.world
    count = injector.rng.randint(1, len(world.servers))
    servers = injector.rng.sample(world.servers, count)
    for server in servers:
        server.turns_away_for_s = 0.5 + 1.5 * injector.rng.random()
    await asyncio.sleep(injector.draw_duration_s() / 2)
    for server in servers:
        server.turns_away_for_s = 0.0


async def limit_rate(injector: FaultInjector, gateway: Gateway) -> None:
    """Let a server state the rate of requests that it takes from all gateways."""
    server = injector.rng.choice(injector.world.servers)
    if server.rate_limit is not None:
        return
    server.rate_limit = rate = injector.rng.choice([1.0, 5.0, 20.0])
    start = time.monotonic()
    await asyncio.sleep(MIN_LIMIT_S + injector.draw_duration_s())
    server.rate_limit = None
    server.rate_limits.append(RateLimit(rate, start, time.monotonic()))


async def return_cold(injector: FaultInjector, gateway: Gateway) -> None:
    """Replace some servers by new ones that start cold at the same moment."""
    world = injector.world
    count = injector.rng.randint(1, len(world.servers) - 1)
    drained = [await replace_oldest_server(world) for _ in range(count)]
    for server in drained:
        row = server.row("app", state="draining")
        world.store.put("servers", server.server_id, row)
        server.draining_since = time.monotonic()
    await asyncio.sleep(SERVES_ON_S)
    for server in drained:
        world.store.remove("servers", server.server_id)
        server.crash()


async def become_cold(injector: FaultInjector, gateway: Gateway) -> None:
    """Let a server become cold while it serves, which its responses then state."""
    injector.rng.choice(injector.world.servers).become_cold(COLD_S)
    await asyncio.sleep(COLD_S)


async def misbehave(injector: FaultInjector, gateway: Gateway) -> None:
    """Make a fraction of the servers' responses faulty for a while."""
    injector.world.bad_ratio = 0.02 + 0.2 * injector.rng.random()
    await asyncio.sleep(injector.draw_duration_s())
    injector.world.bad_ratio = 0.0


async def confuse(injector: FaultInjector, gateway: Gateway) -> None:
    """Let servers repeat refusals, and answer streams that are resumed with a text."""
    injector.world.confusing_ratio = 0.1 + 0.3 * injector.rng.random()
    await asyncio.sleep(injector.draw_duration_s())
    injector.world.confusing_ratio = 0.0


async def write_odd_rows(injector: FaultInjector, gateway: Gateway) -> None:
    """Leave odd rows in the list of servers for a while."""
    store = injector.world.store
    rows = sorted(odd_server_rows().items())
    names = []
    for _ in range(injector.rng.randint(1, 4)):
        name, row = injector.rng.choice(rows)
        names.append(f"i-odd {name}")
        store.put_bytes("servers", names[-1], row)
    await asyncio.sleep(injector.draw_duration_s())
    for name in names:
        store.remove("servers", name)


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
        restore_store,
        forget_history,
        change_configuration,
        revoke,
        crash_server,
        drain_server,
        remove_server,
        lose_read,
        leave_in_outage,
        leave_server,
        turn_away,
        limit_rate,
        return_cold,
        become_cold,
        misbehave,
        confuse,
        write_odd_rows,
    )
}

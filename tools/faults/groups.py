"""Cells for the switch of the expert map in a group of ranks with a coordinator."""

import asyncio
import json
import signal

from faults.cells import Cell, expect
from faults.world import retry, wait_until
from slatehoist_standins.fleet import Fleet, Node
from slatehoist_standins.record import read_record

RANKS = 4
SIDECARS = 2
LEASE_S = 2.0
#: Maximum number of changes of the experts' popularity until a switch must follow, and
#: seconds to wait for the switch after each change.
SHIFTS = 4
SHIFT_S = 8.0
#: Seconds within which the group must run further steps after a fault.
PROGRESS_S = 15.0
#: Seconds of a freeze that is longer than the lease.
FREEZE_S = 5.0
#: Seconds of a stall.
STALL_S = 2.0

#: Call that is blocked at each step: stand-in, text in the body, and whether the trap
#: blocks it before or after it is carried out.
TRAPS = {
    "stage": ("ranks", '"verb": "load"', "before"),
    "decide": ("platform", '["maps"', "before"),
    "decided": ("platform", '["maps"', "after"),
    "arm": ("ranks", '"verb": "hold"', "before"),
    "armed": ("ranks", '"verb": "hold"', "after"),
    "go": ("ranks", '"verb": "switch"', "before"),
    "gone": ("ranks", '"verb": "switch"', "after"),
    "drop": ("ranks", '"verb": "drop"', "before"),
}


class GroupWorld(Fleet):
    """Fleet with one group of ranks behind two sidecars.

    Parameters
    ----------
    checks_fence : bool
        Whether the engine of the ranks checks fencing numbers itself.
    """

    def __init__(
        self, daemon: list[str] | None = None, *, checks_fence: bool = False
    ) -> None:
        super().__init__()
        if daemon:
            self.daemon_command = daemon
        self.checks_fence = checks_fence
        self.ranks_url = ""
        self.entry: Node | None = None

    async def start(self) -> None:
        """Start all processes and declare the group."""
        await asyncio.gather(self.start_platform(), self.start_relays())
        self.entry = await self.start_entry("entry-0")
        self.ranks_url = await self.start_standin(
            "ranks",
            "ranks",
            count=RANKS,
            step_s=0.005,
            record=self.record_path("ranks"),
            checks_fence="1" if self.checks_fence else "",
        )
        engine = await self.start_standin("engine", "engine")
        for index in range(SIDECARS):
            await self._start_group_sidecar(index, engine)
        group = {"ranks": RANKS, "layers": 2, "experts": 2 * RANKS, "spare_slots": 4}
        await self.declare(self.entry, "group", "g", group)
        for index in range(SIDECARS):
            spec = {"models": ["any"], "group": "g"}
            await self.declare(self.entry, "endpoint", f"llm-{index}", spec)
        await self.wait_for_sidecars(self.entry, SIDECARS)
        await wait_until(self.current_coordinator, what="a coordinator")

    async def _start_group_sidecar(self, index: int, engine: str) -> None:
        per_sidecar = RANKS // SIDECARS
        ranks = [
            {
                "group": "g",
                "rank": index * per_sidecar + i,
                "url": self.ranks_url,
                "plan_s": 0.5,
                "lease_s": LEASE_S,
            }
            for i in range(per_sidecar)
        ]
        endpoint = {"name": f"llm-{index}", "url": engine}
        await self.start_sidecar(f"sidecar-{index}", endpoint, rank=ranks, relayed=True)

    async def heal(self) -> None:
        """Clear all faults and restart the sidecars that have ended."""
        await self.set_faults(self.platform_url)
        await self.set_faults(self.ranks_url)
        for rank in range(RANKS):
            await self.set_stalled(rank, False)
        for index in range(SIDECARS):
            name = f"sidecar-{index}"
            await self.set_relay_mode(f"{name}.control", "pass")
            self.signal(name, signal.SIGCONT)
            if self.processes[name].poll() is not None:
                self.restart(name)
        await retry(lambda: self.wait_for_sidecars(self.entry, SIDECARS))

    async def current_coordinator(self) -> str:
        """Return the sidecar that holds the lease in the platform's table, or ""."""
        url = f"{self.platform_url}/v1/row"
        params = {"table": "leases", "key": "group/g"}
        async with self.session.get(url, params=params) as resp:
            if resp.status != 200:
                return ""
            row = json.loads(await resp.text())
        return row[2]["holder"].partition("/")[0]

    async def shift_popularity(self) -> None:
        """Change the experts' popularity, so that a switch becomes worthwhile."""
        async with self.session.post(f"{self.ranks_url}/shift") as resp:
            resp.raise_for_status()

    async def set_stalled(self, rank: int, stalled: bool) -> None:
        """Stall a rank, or resume it."""
        url = f"{self.ranks_url}/ranks/{rank}/stall"
        async with self.session.post(url, json={"stalled": stalled}) as resp:
            resp.raise_for_status()

    async def has_trapped(self, url: str) -> bool:
        """Return True if a stand-in's trap blocks a call."""
        async with self.session.get(f"{url}/trapped") as resp:
            return (await resp.json())["trapped"]

    def steps(self) -> list[dict]:
        """Return the recorded events of the steps that the group has run."""
        events = read_record(self.record_path("ranks"))
        return [event for event in events if event["event"] == "step"]

    def newest_epoch(self) -> int:
        """Return the highest epoch of the last step, or 0 if no step has run."""
        steps = self.steps()
        return max(steps[-1]["epochs"]) if steps else 0


async def kill_coordinator(world: GroupWorld, coordinator: str, other: str) -> None:
    """Kill the coordinator and restart it a second later."""
    world.kill(coordinator)
    await asyncio.sleep(1.0)
    world.restart(coordinator)


async def kill_other(world: GroupWorld, coordinator: str, other: str) -> None:
    """Kill the other sidecar and restart it a second later."""
    await kill_coordinator(world, other, coordinator)


async def freeze_coordinator(world: GroupWorld, coordinator: str, other: str) -> None:
    """Freeze the coordinator until its lease has expired."""
    world.signal(coordinator, signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    world.signal(coordinator, signal.SIGCONT)


async def freeze_other(world: GroupWorld, coordinator: str, other: str) -> None:
    """Freeze the other sidecar for longer than the lease."""
    await freeze_coordinator(world, other, coordinator)


async def stall_rank(world: GroupWorld, coordinator: str, other: str) -> None:
    """Stall a rank for `STALL_S` seconds."""
    await world.set_stalled(1, True)
    await asyncio.sleep(STALL_S)
    await world.set_stalled(1, False)


async def silence_links(world: GroupWorld, coordinator: str, other: str) -> None:
    """Stop forwarding on the open links between the sidecars."""
    for index in range(SIDECARS):
        await world.set_relay_mode(f"sidecar-{index}.control", "hole")


async def delay_links(world: GroupWorld, coordinator: str, other: str) -> None:
    """Delay the messages on the open links between the sidecars."""
    for index in range(SIDECARS):
        await world.set_relay_mode(f"sidecar-{index}.control", "late", 3.0)


async def store_down(world: GroupWorld, coordinator: str, other: str) -> None:
    """Make the platform refuse all requests until the faults are cleared."""
    await world.set_faults(world.platform_url, down=1)


async def store_slow(world: GroupWorld, coordinator: str, other: str) -> None:
    """Make the platform slow."""
    await world.set_faults(world.platform_url, delay_s=1.2)


async def store_lost(world: GroupWorld, coordinator: str, other: str) -> None:
    """Drop the responses to the next writes."""
    await world.set_faults(world.platform_url, lose=3)


async def inject_nothing(world: GroupWorld, coordinator: str, other: str) -> None:
    """Inject no fault besides the delay of the trapped call."""


FAULTS = {
    "none": inject_nothing,
    "kill:coordinator": kill_coordinator,
    "kill:member": kill_other,
    "freeze:coordinator": freeze_coordinator,
    "freeze:member": freeze_other,
    "stall:rank": stall_rank,
    "hole:links": silence_links,
    "late:links": delay_links,
    "store:down": store_down,
    "store:slow": store_slow,
    "store:lost": store_lost,
}


async def run_switch(world: GroupWorld, step: str, inject) -> None:
    """Inject a fault at a step of a switch, then check all steps of the group."""
    standin, text, when = TRAPS[step]
    url = world.ranks_url if standin == "ranks" else world.platform_url
    await world.set_faults(url, trap={"match": text, "when": when})
    await shift_until(world, lambda: world.has_trapped(url), f"the trap at {step}")
    coordinator = await world.current_coordinator()
    other = next(n for n in ("sidecar-0", "sidecar-1") if n != coordinator)
    await inject(world, coordinator, other)
    async with world.session.post(f"{url}/release") as resp:
        resp.raise_for_status()
    step_count = len(world.steps())
    await wait_until(
        lambda: len(world.steps()) > step_count + 100,
        PROGRESS_S,
        "further steps of the group",
    )
    check_steps(world)
    await world.heal()
    epoch = world.newest_epoch()
    await shift_until(world, lambda: world.newest_epoch() > epoch, "another switch")
    check_steps(world)


async def shift_until(world: GroupWorld, condition, what: str) -> None:
    """Change the popularity until a condition is true; a change may cause no switch."""
    for _ in range(SHIFTS):
        await world.shift_popularity()
        try:
            await wait_until(condition, SHIFT_S, what)
        except TimeoutError:
            continue
        return
    raise TimeoutError(f"timed out waiting for {what}")


def check_steps(world: GroupWorld) -> None:
    """Check that all ranks used the same map per step and epochs never decreased."""
    last = 0
    for event in world.steps():
        epochs = set(event["epochs"])
        expect(len(epochs) == 1, f"step {event['step']} ran with epochs {epochs}")
        expect(
            max(epochs) >= last, f"step {event['step']} ran with lower epochs {epochs}"
        )
        last = max(epochs)


def make_cells() -> list[Cell]:
    """Return the cells for the map switch."""
    return [
        Cell("map", fault, step, _bind(step, inject))
        for step in TRAPS
        for fault, inject in FAULTS.items()
    ]


def _bind(step: str, inject):
    async def bound(world: GroupWorld) -> None:
        await run_switch(world, step, inject)

    return bound

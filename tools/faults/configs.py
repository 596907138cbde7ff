"""Cells of accepting configuration, of leaving, and of starting."""

import asyncio
import signal
import time

from faults.callers import complete, expected_text
from faults.cells import Cell, expect
from faults.world import ENGINES, World, retry, unique, until
from slatehoist_standins.fleet import Node, bearer
from slatehoist_standins.record import read_record

#: Seconds within which an accepted change is in force everywhere.
IN_FORCE_S = 10.0
#: Seconds after which a leaving sidecar gets no new work.
LEAVE_S = 3.0
TOKENS = 60


async def put(world: World, entry: Node, name: str, spec: dict, **headers: str):
    """Declare a team; give status and body, or None if no answer came."""
    url = f"http://{entry.http}/api/v1/team/{name}"
    try:
        async with world.session.put(
            url, json=spec, headers={**bearer("andina-operator"), **headers}
        ) as resp:
            return resp.status, await resp.json()
    except (TimeoutError, OSError, Exception):
        return None


async def weight_at(world: World, entry: Node, name: str) -> float | None:
    """Give the weight of a team as an entry has it in force."""
    url = f"http://{entry.http}/api/v1/team/{name}"
    async with world.session.get(url, headers=bearer("andina-operator")) as resp:
        return (await resp.json())["spec"]["weight"] if resp.status == 200 else None


class RevisionWatch:
    """Watch that no process puts a lower revision in force."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.highest: dict[str, int] = {}
        self.fell: list[str] = []
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            for entry in self.world.entries:
                try:
                    status = await self.world.status(entry)
                except Exception:  # noqa: S112
                    continue
                name, revision = status["entry"], status["instances"][status["entry"]]
                key = f"{name}/{self.world.processes[name].pid}"
                if revision < self.highest.get(key, 0):
                    self.fell.append(f"{key}: {self.highest[key]} to {revision}")
                self.highest[key] = revision
            await asyncio.sleep(0.1)

    def stop(self) -> None:
        """Stop, and check."""
        self.task.cancel()
        expect(not self.fell, f"a revision fell: {self.fell}")


async def run_accept(world: World, fault: str, when: str) -> None:
    """Put in a fault before or after a change is written."""
    watch = RevisionWatch(world)
    name = f"team-{time.monotonic_ns()}"
    trap = {"match": f'"{name}"', "when": when}
    more = {"lose": 1} if fault == "store:lost" else {}
    await world.set_faults(world.platform_url, trap=trap, **more)
    call = asyncio.create_task(put(world, world.entries[0], name, {"weight": 2.0}))
    await until(lambda: world.trapped(world.platform_url), what="the change")
    rival = await inject_accept(world, fault, name)
    await world.release(world.platform_url)
    reply = await call
    await world.heal()
    await check_accepted(world, name, [reply, rival])
    watch.stop()


async def inject_accept(world: World, fault: str, name: str):
    """Put in a fault of accepting; give a rival change's reply, if any."""
    match fault:
        case "kill:entry":
            world.kill("entry-0")
        case "freeze:entry":
            world.signal("entry-0", signal.SIGSTOP)
            await asyncio.sleep(4.0)
            world.signal("entry-0", signal.SIGCONT)
        case "freeze:sidecar":
            world.signal("sidecar-0", signal.SIGSTOP)
            await asyncio.sleep(4.0)
            world.signal("sidecar-0", signal.SIGCONT)
        case "replace:sidecar":
            world.kill("sidecar-0")
        case "store:down":
            await world.set_faults(world.platform_url, down=1)
        case "hole:platform":
            await world.set_relay_mode("platform", "hole")
        case "operator:race":
            rival = asyncio.create_task(
                put(world, world.entries[1], name, {"weight": 3.0})
            )
            done, _ = await asyncio.wait({rival}, timeout=2.0)
            return rival.result() if done else await _later(rival)
    return None


async def _later(task: asyncio.Task):
    return task


async def check_accepted(world: World, name: str, replies: list) -> None:
    """Check that all entries come to agree on what the replies allow."""
    settled = [await r if isinstance(r, asyncio.Task) else r for r in replies]
    accepted = [r[1] for r in settled if r is not None and r[0] == 200]
    newest = max(accepted, key=lambda doc: doc["revision"], default=None)
    allowed = {newest["spec"]["weight"] if newest else None}
    # A change without an answer, or with an unknown outcome, may stand or not.
    if settled[0] is None or settled[0][0] == 504:
        allowed.add(2.0)
    if settled[1] is not None and settled[1][0] == 504:
        allowed.add(3.0)
    found = []

    async def agree() -> bool:
        found[:] = [await weight_at(world, entry, name) for entry in world.entries]
        return found[0] == found[1] and found[0] in allowed

    try:
        await until(lambda: agree(), IN_FORCE_S, "the entries to agree")
    except TimeoutError:
        expect(False, f"in force: {found}, allowed: {allowed}, told: {settled}")
    for entry in world.entries:
        await world.wait_for_sidecars(entry, ENGINES, IN_FORCE_S)


async def run_leave(world: World, fault: str, step: str) -> None:
    """Stop a sidecar as planned while streams run, under a fault."""
    prompts = [unique("leave") for _ in range(2 * ENGINES)]
    session, address = world.session, world.entries[0].http
    calls = [
        asyncio.create_task(complete(session, address, p, 150, stream=True))
        for p in prompts
    ]
    if step == "midstream":
        await until(lambda: all(world.runs(p) for p in prompts), what="streams")
    if fault == "store:down":
        await world.set_faults(world.platform_url, down=1)
    leaver = "entry-1" if step == "entry" else "sidecar-0"
    extra = []
    if step == "entry":
        address = world.entries[1].http
        extra = [unique("leave-entry") for _ in range(2)]
        calls += [
            asyncio.create_task(complete(session, address, p, 150, stream=True))
            for p in extra
        ]
        await until(lambda: all(world.runs(p) for p in extra), what="streams")
    if fault == "freeze:entry":
        world.signal("entry-0", signal.SIGSTOP)
    world.signal(leaver, signal.SIGTERM)
    await asyncio.sleep(1.0)
    world.signal("entry-0", signal.SIGCONT)
    replies = await asyncio.gather(*calls)
    for prompt, reply in zip([*prompts, *extra], replies, strict=True):
        whole = reply.kind == "whole" and reply.text == expected_text(prompt, 150)
        expect(whole, f"cut off by a planned stop: {reply.kind} {reply.code}")
    await until(lambda: world.processes[leaver].poll() is not None, what="the stop")
    expect(world.processes[leaver].returncode == 0, "the stop was not clean")


async def run_leave_long(world: World, fault: str, step: str) -> None:
    """Keep a leaving sidecar busy, and check that it gets no new work."""
    model = "any"
    long = unique("long")
    session, address = world.session, world.entries[0].http
    call = asyncio.create_task(
        complete(session, address, long, 300, stream=True, model="solo-0")
    )
    await until(lambda: world.runs(long), what="a long stream")
    if fault == "store:down":
        await world.set_faults(world.platform_url, down=1)
    world.signal("sidecar-0", signal.SIGTERM)
    await asyncio.sleep(LEAVE_S)
    before = len(read_record(world.record_path("engine-0")))
    prompts = [unique("later") for _ in range(8)]
    later = [
        await complete(session, address, p, 5, stream=False, model=model)
        for p in prompts
    ]
    expect(all(r.kind == "whole" for r in later), f"refused elsewhere: {later}")
    after = read_record(world.record_path("engine-0"))[before:]
    new = [event for event in after if event["event"] == "run"]
    expect(not new, f"a leaving endpoint got new work: {new}")
    reply = await call
    expect(reply.kind == "whole", f"a long stream was cut off: {reply.kind}")
    await until(lambda: world.processes["sidecar-0"].poll() is not None, what="stop")


async def run_start(world: World, fault: str, step: str) -> None:
    """Start a process again under a fault; it must come to the newest revision."""
    watch = RevisionWatch(world)
    name = f"team-{time.monotonic_ns()}"
    status, _ = await put(world, world.entries[0], name, {"weight": 2.0})
    expect(status == 200, f"status {status}")
    newest = (await world.status(world.entries[0]))["revision"]
    if fault == "store:down":
        table = ["/v1/row", "/v1/rows", "/v1/transact"]
        await world.set_faults(world.platform_url, down=1, paths=table)
    elif fault == "store:slow":
        await world.set_faults(world.platform_url, delay_s=1.0)
    starter = "entry-1" if step == "entry" else "sidecar-0"
    world.kill(starter)
    world.restart(starter)

    async def in_force() -> bool:
        status = await retry(lambda: world.status(world.entries[0]))
        return status["instances"].get(starter, 0) >= newest

    await until(lambda: in_force(), IN_FORCE_S + 5, f"{starter} at {newest}")
    watch.stop()


ACCEPT_FAULTS = (
    "none",
    "kill:entry",
    "freeze:entry",
    "freeze:sidecar",
    "replace:sidecar",
    "store:down",
    "store:lost",
    "hole:platform",
    "operator:race",
)
LEAVE_FAULTS = ("none", "store:down", "freeze:entry")
START_FAULTS = ("none", "store:down", "store:slow")


STEPS = (
    ("config", ("before", "after"), ACCEPT_FAULTS, run_accept),
    ("leave", ("midstream", "sending", "entry"), LEAVE_FAULTS, run_leave),
    ("leave", ("long",), ("none", "store:down"), run_leave_long),
    ("start", ("entry", "sidecar"), START_FAULTS, run_start),
)


def make_cells() -> list[Cell]:
    """List the cells of configuration, leaving and starting."""
    return [
        Cell(path, fault, step, _bind(run, fault, step))
        for path, steps, faults, run in STEPS
        for step in steps
        for fault in faults
    ]


def _bind(run, fault: str, step: str):
    async def bound(world: World) -> None:
        await run(world, fault, step)

    return bound

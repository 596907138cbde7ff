"""Cells for configuration changes, planned stops and restarts."""

import asyncio
import signal
import time

from faults.callers import complete, expected_text
from faults.cells import Cell, expect
from faults.world import ENGINES, World, retry, unique_text, wait_until
from slatehoist_standins.fleet import Node, bearer
from slatehoist_standins.record import read_record

#: Seconds within which an accepted change is in force at all entries and sidecars.
IN_FORCE_S = 10.0
#: Seconds after SIGTERM from which a sidecar gets no new work.
LEAVE_S = 3.0
TOKENS = 60


async def put_team(world: World, entry: Node, name: str, spec: dict, **headers: str):
    """Declare a team; return status and body, or None without a response."""
    url = f"http://{entry.http}/api/v1/team/{name}"
    try:
        async with world.session.put(
            url, json=spec, headers={**bearer("andina-operator"), **headers}
        ) as resp:
            return resp.status, await resp.json()
    except (TimeoutError, OSError, Exception):
        return None


async def get_weight(world: World, entry: Node, name: str) -> float | None:
    """Return the weight of a team that is in force at an entry, or None."""
    url = f"http://{entry.http}/api/v1/team/{name}"
    async with world.session.get(url, headers=bearer("andina-operator")) as resp:
        return (await resp.json())["spec"]["weight"] if resp.status == 200 else None


class RevisionWatch:
    """Background check that no entry goes back to a lower revision."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.highest: dict[str, int] = {}
        self.decreases: list[str] = []
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
                    self.decreases.append(f"{key}: {self.highest[key]} to {revision}")
                self.highest[key] = revision
            await asyncio.sleep(0.1)

    def stop(self) -> None:
        """Stop polling, and raise `Violation` if a revision decreased."""
        self.task.cancel()
        expect(not self.decreases, f"a revision decreased: {self.decreases}")


async def run_accept(world: World, fault: str, when: str) -> None:
    """Inject a fault before or after the platform writes a change."""
    watch = RevisionWatch(world)
    name = f"team-{time.monotonic_ns()}"
    trap = {"match": f'"{name}"', "when": when}
    extra_faults = {"lose": 1} if fault == "store:lost" else {}
    await world.set_faults(world.platform_url, trap=trap, **extra_faults)
    call = asyncio.create_task(put_team(world, world.entries[0], name, {"weight": 2.0}))
    await wait_until(lambda: world.has_trapped(world.platform_url), what="the change")
    concurrent_reply = await inject_fault(world, fault, name)
    await world.release(world.platform_url)
    reply = await call
    await world.heal()
    await check_accepted(world, name, [reply, concurrent_reply])
    watch.stop()


async def inject_fault(world: World, fault: str, name: str):
    """Inject a fault; return a concurrent change's reply or pending task, or None."""
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
            concurrent_put = asyncio.create_task(
                put_team(world, world.entries[1], name, {"weight": 3.0})
            )
            done, _ = await asyncio.wait({concurrent_put}, timeout=2.0)
            return (
                concurrent_put.result()
                if done
                else await _pass_unfinished(concurrent_put)
            )
    return None


async def _pass_unfinished(task: asyncio.Task):
    """Return the task itself without waiting for its result."""
    return task


async def check_accepted(world: World, name: str, replies: list) -> None:
    """Check that all entries agree on a weight that the replies allow."""
    settled = [await r if isinstance(r, asyncio.Task) else r for r in replies]
    accepted = [r[1] for r in settled if r is not None and r[0] == 200]
    newest = max(accepted, key=lambda doc: doc["revision"], default=None)
    allowed = {newest["spec"]["weight"] if newest else None}
    # A change without a response, or with an unknown outcome, may be in force or not.
    if settled[0] is None or settled[0][0] == 504:
        allowed.add(2.0)
    if settled[1] is not None and settled[1][0] == 504:
        allowed.add(3.0)
    weights = []

    async def entries_agree() -> bool:
        weights[:] = [await get_weight(world, entry, name) for entry in world.entries]
        return weights[0] == weights[1] and weights[0] in allowed

    try:
        await wait_until(lambda: entries_agree(), IN_FORCE_S, "the entries to agree")
    except TimeoutError:
        expect(False, f"in force: {weights}, allowed: {allowed}, replies: {settled}")
    for entry in world.entries:
        await world.wait_for_sidecars(entry, ENGINES, IN_FORCE_S)


async def run_leave(world: World, fault: str, step: str) -> None:
    """Terminate a sidecar or an entry by SIGTERM while streams run, under a fault."""
    prompts = [unique_text("leave") for _ in range(2 * ENGINES)]
    session, address = world.session, world.entries[0].http
    calls = [
        asyncio.create_task(complete(session, address, p, 150, stream=True))
        for p in prompts
    ]
    if step == "midstream":
        await wait_until(lambda: all(world.runs(p) for p in prompts), what="streams")
    if fault == "store:down":
        await world.set_faults(world.platform_url, down=1)
    stopping = "entry-1" if step == "entry" else "sidecar-0"
    entry_prompts = []
    if step == "entry":
        address = world.entries[1].http
        entry_prompts = [unique_text("leave-entry") for _ in range(2)]
        calls += [
            asyncio.create_task(complete(session, address, p, 150, stream=True))
            for p in entry_prompts
        ]
        await wait_until(
            lambda: all(world.runs(p) for p in entry_prompts), what="streams"
        )
    if fault == "freeze:entry":
        world.signal("entry-0", signal.SIGSTOP)
    world.signal(stopping, signal.SIGTERM)
    await asyncio.sleep(1.0)
    world.signal("entry-0", signal.SIGCONT)
    replies = await asyncio.gather(*calls)
    for prompt, reply in zip([*prompts, *entry_prompts], replies, strict=True):
        whole = reply.kind == "whole" and reply.text == expected_text(prompt, 150)
        expect(whole, f"interrupted by a planned stop: {reply.kind} {reply.code}")
    await wait_until(
        lambda: world.processes[stopping].poll() is not None, what="the stop"
    )
    expect(
        world.processes[stopping].returncode == 0,
        "the exit status after a planned stop is not 0",
    )


async def run_leave_long(world: World, fault: str, step: str) -> None:
    """Check that a draining sidecar with a long stream gets no new work."""
    model = "any"
    long_prompt = unique_text("long")
    session, address = world.session, world.entries[0].http
    call = asyncio.create_task(
        complete(session, address, long_prompt, 300, stream=True, model="solo-0")
    )
    await wait_until(lambda: world.runs(long_prompt), what="a long stream")
    if fault == "store:down":
        await world.set_faults(world.platform_url, down=1)
    world.signal("sidecar-0", signal.SIGTERM)
    await asyncio.sleep(LEAVE_S)
    before = len(read_record(world.record_path("engine-0")))
    prompts = [unique_text("later") for _ in range(8)]
    later = [
        await complete(session, address, p, 5, stream=False, model=model)
        for p in prompts
    ]
    expect(
        all(r.kind == "whole" for r in later), f"refused at other endpoints: {later}"
    )
    after = read_record(world.record_path("engine-0"))[before:]
    new_runs = [event for event in after if event["event"] == "run"]
    expect(not new_runs, f"a draining sidecar got new work: {new_runs}")
    reply = await call
    expect(reply.kind == "whole", f"a long stream was interrupted: {reply.kind}")
    await wait_until(
        lambda: world.processes["sidecar-0"].poll() is not None, what="stop"
    )


async def run_start(world: World, fault: str, step: str) -> None:
    """Restart a process under a fault; it must reach the newest revision."""
    watch = RevisionWatch(world)
    name = f"team-{time.monotonic_ns()}"
    status, _ = await put_team(world, world.entries[0], name, {"weight": 2.0})
    expect(status == 200, f"status {status}")
    newest = (await world.status(world.entries[0]))["revision"]
    if fault == "store:down":
        table = ["/v1/row", "/v1/rows", "/v1/transact"]
        await world.set_faults(world.platform_url, down=1, paths=table)
    elif fault == "store:slow":
        await world.set_faults(world.platform_url, delay_s=1.0)
    restarted = "entry-1" if step == "entry" else "sidecar-0"
    world.kill(restarted)
    world.restart(restarted)

    async def in_force() -> bool:
        status = await retry(lambda: world.status(world.entries[0]))
        return status["instances"].get(restarted, 0) >= newest

    await wait_until(lambda: in_force(), IN_FORCE_S + 5, f"{restarted} at {newest}")
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
    """Return the cells for configuration changes, planned stops and restarts."""
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

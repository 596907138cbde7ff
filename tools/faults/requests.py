"""Cells of a model request and of a plain call, with and without a key."""

import asyncio
import random

from faults.callers import Reply, call_service, complete, expected_text
from faults.cells import Cell, expect
from faults.injection import FAULTS, Injection
from faults.world import BATCH, ENGINES, World, unique, until

TOKENS = 60
#: Seconds that a plain call runs.
SERVICE_S = 1.2
#: Faults after which an unstreamed request must still be answered whole.
RECOVERABLE = frozenset(FAULTS) - {"kill:entry"}
#: Faults after which a stream under way must still be answered whole.
RESUMABLE = frozenset(
    {
        "none",
        "pause:sidecar",
        "pause:back_end",
        "pause:entry",
        "cut:entry-sidecar",
        "cut:sidecar-back_end",
        "hole:entry-sidecar",
        "hole:sidecar-back_end",
        "hole:platform",
        "delay:entry-sidecar",
        "store:down",
        "store:slow",
        "store:lost",
    }
)


def check_reply(world: World, reply: Reply, text: str, whole: str) -> None:
    """Check what a caller was told against what the back ends did."""
    runs = world.runs(text)
    expect(reply.kind != "clean_end_without_done", "a cut answer ended cleanly")
    if reply.kind == "whole":
        expect(reply.text == whole, f"wrong answer: {reply.text[:60]!r}")
    if reply.ran == "no":
        expect(not runs, f"told 'not run', but it ran at {runs}")
    if reply.kind == "error":
        expect(
            reply.ran in ("no", "unknown", "yes"), f"not told whether it ran: {reply}"
        )


async def find_back_end(world: World, text: str) -> tuple[str, str]:
    """Wait until a request reached a back end; give its sidecar and the back end."""
    await until(lambda: world.runs(text), what=f"{text} at a back end")
    back_end = world.runs(text)[0]
    kind, _, number = back_end.partition("-")
    index = int(number) + (ENGINES if kind == "service" else 0)
    return f"sidecar-{index}", back_end


async def run_queued(world: World, fault: str, injection: Injection) -> None:
    """Put in a fault while the request waits in a sidecar's queue."""
    # An attempt whose entry was killed holds its slot until it ends, and would never
    # end at a stalled engine. A slot that is lost for good fails here.
    await until(lambda: _is_idle(world, 0), what="the first engine to be idle")
    await world.stall(0, True)
    fillers = [unique("filler") for _ in range(BATCH)]
    session, address = world.session, world.entries[0].http
    running = [asyncio.create_task(_fill(world, filler)) for filler in fillers]
    await until(lambda: all(world.runs(f) for f in fillers), what="fillers")
    prompt = unique("queued")
    call = asyncio.create_task(
        complete(session, address, prompt, TOKENS, stream=False, model="solo-0")
    )
    await asyncio.sleep(0.3)
    await injection(world, "sidecar-0", "engine-0")
    if world.processes["engine-0"].poll() is None:
        await world.stall(0, False)
    reply = await call
    check_reply(world, reply, prompt, expected_text(prompt, TOKENS))
    if fault in RESUMABLE:
        expect(reply.kind == "whole", f"not whole: {reply}")
    await asyncio.gather(*running)


async def _is_idle(world: World, engine: int) -> bool:
    """Tell whether an engine and the sidecar beside it have no work."""
    status = await world.status(world.entries[0])
    sidecar = status["sidecars"][f"sidecar-{engine}"]
    async with world.session.get(f"{world.urls[f'engine-{engine}']}/load") as resp:
        load = await resp.json()
    return not (sidecar["load"] or load["running"] or load["waiting"])


async def _fill(world: World, filler: str) -> None:
    """Take a slot of the first engine; send again until the filler is there."""
    address = world.entries[0].http
    while not world.runs(filler):
        await complete(
            world.session, address, filler, TOKENS, stream=False, model="solo-0"
        )


async def run_prefill(world: World, fault: str, injection: Injection) -> None:
    """Put in a fault while an unstreamed request has no token yet."""
    prompt = unique("prefill")
    for engine in range(ENGINES):
        await world.stall(engine, True)
    call = asyncio.create_task(
        complete(world.session, world.entries[0].http, prompt, TOKENS, stream=False)
    )
    sidecar, back_end = await find_back_end(world, prompt)
    await injection(world, sidecar, back_end)
    for engine in range(ENGINES):
        if world.processes[f"engine-{engine}"].poll() is None:
            await until(lambda e=engine: _unstall(world, e), what="an engine")
    reply = await call
    check_reply(world, reply, prompt, expected_text(prompt, TOKENS))
    if fault in RECOVERABLE:
        expect(reply.kind == "whole", f"not whole: {reply}")


async def _unstall(world: World, engine: int) -> bool:
    """Continue an engine that may just be starting."""
    try:
        await world.stall(engine, False)
    except OSError:
        return False
    return True


async def run_midstream(world: World, fault: str, injection: Injection) -> None:
    """Put in a fault while a stream is under way."""
    prompt, seen = unique("stream"), []
    call = asyncio.create_task(
        complete(
            world.session,
            world.entries[0].http,
            prompt,
            TOKENS,
            stream=True,
            seen=seen,
        )
    )
    await until(lambda: len(seen) > 5, what="tokens")
    sidecar, back_end = await find_back_end(world, prompt)
    await injection(world, sidecar, back_end)
    reply = await call
    whole = expected_text(prompt, TOKENS)
    check_reply(world, reply, prompt, whole)
    expect(whole.startswith("".join(seen)), "a stream with a gap or a repeat")
    expect(len(world.runs(prompt)) == 1, f"a stream ran at {world.runs(prompt)}")
    if fault in RESUMABLE:
        expect(reply.kind == "whole", f"not whole: {reply}")


async def run_call(world: World, fault: str, injection: Injection) -> None:
    """Put in a fault while a non-idempotent call without a key runs."""
    body = unique("call")
    call = asyncio.create_task(
        call_service(world.session, world.entries[0].http, body, sleep_s=SERVICE_S)
    )
    if fault.startswith("late"):
        sidecars = [f"sidecar-{ENGINES}", f"sidecar-{ENGINES + 1}"]
        await asyncio.gather(*(injection(world, s, "") for s in sidecars))
    else:
        await injection(world, *await find_back_end(world, body))
    reply = await call
    check_reply(world, reply, body, reply.text)
    await asyncio.sleep(5.0 if fault.startswith("late") else 0.2)
    runs = world.runs(body)
    expect(len(runs) <= 1, f"a non-idempotent call ran at {runs}")
    if fault in RESUMABLE - {"cut:sidecar-back_end", "hole:sidecar-back_end"}:
        expect(reply.kind == "whole", f"not whole: {reply}")


async def run_late_send(world: World, fault: str, injection: Injection) -> None:
    """Hold a call on its way to the sidecar until after it was given up there."""
    warm = [
        call_service(world.session, world.entries[0].http, unique("warm"))
        for _ in range(6)
    ]
    await asyncio.gather(*warm)
    for index in (ENGINES, ENGINES + 1):
        await injection(world, f"sidecar-{index}", "")
    body = unique("late")
    reply = await call_service(world.session, world.entries[0].http, body)
    check_reply(world, reply, body, reply.text)
    await asyncio.sleep(5.0)
    runs = world.runs(body)
    expect(len(runs) <= 1, f"a late call ran again: {runs}")


async def run_keyed(world: World, fault: str, injection: Injection) -> None:
    """Put in a fault while a call with a key runs; then come back with the key."""
    body = unique("keyed")
    first = asyncio.create_task(_keyed(world, 0, body))
    await injection(world, *await find_back_end(world, body))
    reply = await first
    await world.set_faults(world.platform_url)
    await finish_keyed(world, body, reply)


async def run_claiming(world: World, fault: str, injection: Injection) -> None:
    """Put in a fault before, or just after, the key's claim is written."""
    when = "after" if fault == "store:lost" else "before"
    body = unique("claim")
    trap = {"match": f"andina/router/{body}", "when": when}
    faults = {"trap": trap, **({"lose": 1} if fault == "store:lost" else {})}
    await world.set_faults(world.platform_url, **faults)
    first = asyncio.create_task(_keyed(world, 0, body))
    await until(lambda: world.trapped(world.platform_url), what="the claim")
    if fault != "store:lost":
        await injection(world, f"sidecar-{ENGINES}", "service-0")
    if fault in ("store:lost", "none") or not fault.startswith("store:"):
        await world.release(world.platform_url)
    reply = await first
    await world.set_faults(world.platform_url)
    await finish_keyed(world, body, reply)


async def run_recording(world: World, fault: str, injection: Injection) -> None:
    """Put in a fault when the answer's record is about to be written."""
    body = unique("record")
    trap = {"match": '"state":"finished"', "when": "before"}
    await world.set_faults(world.platform_url, trap=trap)
    reply = await _keyed(world, 0, body)
    expect(reply.kind == "whole", f"not whole before any fault: {reply}")
    await until(lambda: world.trapped(world.platform_url), what="the record")
    await injection(world, *await find_back_end(world, body))
    await world.set_faults(world.platform_url)
    await finish_keyed(world, body, reply)


async def run_twins(world: World, fault: str, injection: Injection) -> None:
    """Send the same key through both entries at the same time."""
    body = unique("twins")
    calls = asyncio.gather(*(_keyed(world, entry, body) for entry in (0, 1)))
    await injection(world, *await find_back_end(world, body))
    replies = await calls
    await world.set_faults(world.platform_url)
    for reply in replies:
        if reply.kind != "error":
            await finish_keyed(world, body, reply)
    await finish_keyed(world, body, Reply("cut"))


async def _keyed(world: World, entry: int, body: str) -> Reply:
    address = world.entries[entry].http
    return await call_service(world.session, address, body, key=body, sleep_s=SERVICE_S)


async def finish_keyed(world: World, body: str, reply: Reply) -> None:
    """Come back with the key until the answer is final, and check all of it."""
    receipts = {reply.text} if reply.kind == "whole" else set()
    if reply.ran == "no":
        expect(not world.runs(body), f"told 'not run', but ran: {world.runs(body)}")
    for attempt in range(60):
        again = await _keyed(world, 1 - attempt % 2, body)
        if again.kind == "whole":
            receipts.add(again.text)
            break
        if again.code in ("outcome_unknown", "crashes_endpoints"):
            break
        await asyncio.sleep(0.3)
    else:
        expect(False, f"no final answer: {again}")
    runs = world.runs(body)
    expect(len(runs) <= 1, f"a keyed call ran at {runs}")
    expect(len(receipts) <= 1, f"different answers to one key: {receipts}")


STEPS = {
    ("request", "queued"): run_queued,
    ("request", "prefill"): run_prefill,
    ("request", "midstream"): run_midstream,
    ("call", "running"): run_call,
    ("call", "sending"): run_late_send,
    ("keyed", "claiming"): run_claiming,
    ("keyed", "running"): run_keyed,
    ("keyed", "recording"): run_recording,
    ("keyed", "twins"): run_twins,
}

#: Faults that mean nothing at a step, and why.
IMPOSSIBLE = {
    ("late:entry-sidecar", "queued"): "the request has already arrived",
    ("late:entry-sidecar", "prefill"): "the request has already arrived",
    ("late:entry-sidecar", "midstream"): "the request has already arrived",
    ("late:entry-sidecar", "running"): "the call has already arrived",
    ("late:entry-sidecar", "claiming"): "nothing has been sent yet",
    ("late:entry-sidecar", "recording"): "the answer has already come back",
    ("late:entry-sidecar", "twins"): "the call has already arrived",
    ("replace:back_end", "queued"): "the same as kill:back_end with a restart",
}


def make_cells() -> list[Cell]:
    """List the cells of requests and calls."""
    cells = []
    for (path, step), run in STEPS.items():
        for fault, injection in FAULTS.items():
            if (fault, step) in IMPOSSIBLE:
                continue
            if step == "sending" and not fault.startswith("late"):
                continue
            cells.append(Cell(path, fault, step, _bind(run, fault, injection)))
    return cells


#: Faults that are drawn in pairs; those that heal by themselves or by a restart.
PAIRED = (
    "pause:sidecar",
    "pause:entry",
    "cut:entry-sidecar",
    "cut:sidecar-back_end",
    "hole:entry-sidecar",
    "hole:sidecar-back_end",
    "kill:sidecar",
    "kill:back_end",
    "kill:entry",
    "replace:sidecar",
    "store:down",
    "store:lost",
)
#: Pairs drawn.
PAIRS = 16


def make_pairs(seed: int) -> list[Cell]:
    """Draw pairs of faults at the steps where something runs."""
    rng = random.Random(seed)
    steps = [("request", "prefill"), ("request", "midstream"), ("keyed", "running")]
    cells = {}
    while len(cells) < PAIRS:
        (path, step), pair = rng.choice(steps), sorted(rng.sample(PAIRED, 2))
        name = "+".join(pair)
        if "kill:sidecar" in pair and "replace:sidecar" in pair:
            continue
        run = _bind(STEPS[path, step], name, _both(*pair))
        cells[path, name, step] = Cell(path, name, step, run)
    return list(cells.values())


def _both(first: str, second: str) -> Injection:
    async def inject(world: World, sidecar: str, back_end: str) -> None:
        await asyncio.gather(
            FAULTS[first](world, sidecar, back_end),
            FAULTS[second](world, sidecar, back_end),
        )

    return inject


def _bind(run, fault: str, injection: Injection):
    async def bound(world: World) -> None:
        await run(world, fault, injection)

    return bound

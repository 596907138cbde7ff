"""Cells for model requests and for service calls with and without a key."""

import asyncio
import random

from faults.callers import Reply, call_service, complete, expected_text
from faults.cells import Cell, expect
from faults.injection import FAULTS, Injection
from faults.world import BATCH, ENGINES, World, unique_text, wait_until

TOKENS = 60
#: Seconds that a service call runs.
SERVICE_S = 1.2
#: Faults after which an unstreamed request must still get a complete response.
RECOVERABLE = frozenset(FAULTS) - {"kill:entry"}
#: Faults after which a running stream, a queued request and, with two exceptions, a
#: running call must still get a complete response.
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
    """Check a caller's reply against the runs that the endpoints recorded."""
    runs = world.runs(text)
    expect(
        reply.kind != "clean_end_without_done",
        "a truncated stream ended without an error",
    )
    if reply.kind == "whole":
        expect(reply.text == whole, f"wrong answer: {reply.text[:60]!r}")
    if reply.ran == "no":
        expect(not runs, f"reported as not run, but ran at {runs}")
    if reply.kind == "error":
        expect(
            reply.ran in ("no", "unknown", "yes"),
            f"error without a valid 'ran' field: {reply}",
        )


async def find_endpoint(world: World, text: str) -> tuple[str, str]:
    """Wait until an endpoint runs a request; return its sidecar and the endpoint."""
    await wait_until(lambda: world.runs(text), what=f"{text} at an endpoint")
    endpoint = world.runs(text)[0]
    kind, _, number = endpoint.partition("-")
    index = int(number) + (ENGINES if kind == "service" else 0)
    return f"sidecar-{index}", endpoint


async def run_queued(world: World, fault: str, injection: Injection) -> None:
    """Inject a fault while a request waits in a sidecar's queue."""
    # An attempt whose entry was killed keeps its slot until it ends, and it would never
    # end while the engine is stalled. A slot that is never freed fails this wait.
    await wait_until(lambda: _is_idle(world, 0), what="the first engine to be idle")
    await world.set_stalled(0, True)
    fillers = [unique_text("filler") for _ in range(BATCH)]
    session, address = world.session, world.entries[0].http
    running = [asyncio.create_task(_occupy_slot(world, filler)) for filler in fillers]
    await wait_until(lambda: all(world.runs(f) for f in fillers), what="fillers")
    prompt = unique_text("queued")
    call = asyncio.create_task(
        complete(session, address, prompt, TOKENS, stream=False, model="solo-0")
    )
    await asyncio.sleep(0.3)
    await injection(world, "sidecar-0", "engine-0")
    if world.processes["engine-0"].poll() is None:
        await world.set_stalled(0, False)
    reply = await call
    check_reply(world, reply, prompt, expected_text(prompt, TOKENS))
    if fault in RESUMABLE:
        expect(reply.kind == "whole", f"not whole: {reply}")
    await asyncio.gather(*running)


async def _is_idle(world: World, engine: int) -> bool:
    """Return True if an engine and its sidecar have no work."""
    status = await world.status(world.entries[0])
    sidecar = status["sidecars"][f"sidecar-{engine}"]
    async with world.session.get(f"{world.urls[f'engine-{engine}']}/load") as resp:
        load = await resp.json()
    return not (sidecar["load"] or load["running"] or load["waiting"])


async def _occupy_slot(world: World, filler: str) -> None:
    """Occupy a slot of the first engine; repeat until the engine runs the request."""
    address = world.entries[0].http
    while not world.runs(filler):
        await complete(
            world.session, address, filler, TOKENS, stream=False, model="solo-0"
        )


async def run_prefill(world: World, fault: str, injection: Injection) -> None:
    """Inject a fault while an unstreamed request has no token yet."""
    prompt = unique_text("prefill")
    for engine in range(ENGINES):
        await world.set_stalled(engine, True)
    call = asyncio.create_task(
        complete(world.session, world.entries[0].http, prompt, TOKENS, stream=False)
    )
    sidecar, endpoint = await find_endpoint(world, prompt)
    await injection(world, sidecar, endpoint)
    for engine in range(ENGINES):
        if world.processes[f"engine-{engine}"].poll() is None:
            await wait_until(lambda e=engine: _unstall(world, e), what="an engine")
    reply = await call
    check_reply(world, reply, prompt, expected_text(prompt, TOKENS))
    if fault in RECOVERABLE:
        expect(reply.kind == "whole", f"not whole: {reply}")


async def _unstall(world: World, engine: int) -> bool:
    """Resume an engine; return False if it does not accept connections yet."""
    try:
        await world.set_stalled(engine, False)
    except OSError:
        return False
    return True


async def run_midstream(world: World, fault: str, injection: Injection) -> None:
    """Inject a fault while a stream is being delivered."""
    prompt, received = unique_text("stream"), []
    call = asyncio.create_task(
        complete(
            world.session,
            world.entries[0].http,
            prompt,
            TOKENS,
            stream=True,
            received=received,
        )
    )
    await wait_until(lambda: len(received) > 5, what="tokens")
    sidecar, endpoint = await find_endpoint(world, prompt)
    await injection(world, sidecar, endpoint)
    reply = await call
    whole = expected_text(prompt, TOKENS)
    check_reply(world, reply, prompt, whole)
    expect(
        whole.startswith("".join(received)), "a stream with missing or repeated tokens"
    )
    expect(len(world.runs(prompt)) == 1, f"a stream ran at {world.runs(prompt)}")
    if fault in RESUMABLE:
        expect(reply.kind == "whole", f"not whole: {reply}")


async def run_call(world: World, fault: str, injection: Injection) -> None:
    """Inject a fault while a non-idempotent call without a key runs."""
    body = unique_text("call")
    call = asyncio.create_task(
        call_service(world.session, world.entries[0].http, body, sleep_s=SERVICE_S)
    )
    if fault.startswith("late"):
        sidecars = [f"sidecar-{ENGINES}", f"sidecar-{ENGINES + 1}"]
        await asyncio.gather(*(injection(world, s, "") for s in sidecars))
    else:
        await injection(world, *await find_endpoint(world, body))
    reply = await call
    check_reply(world, reply, body, reply.text)
    await asyncio.sleep(5.0 if fault.startswith("late") else 0.2)
    runs = world.runs(body)
    expect(len(runs) <= 1, f"a non-idempotent call ran at {runs}")
    if fault in RESUMABLE - {"cut:sidecar-back_end", "hole:sidecar-back_end"}:
        expect(reply.kind == "whole", f"not whole: {reply}")


async def run_late_send(world: World, fault: str, injection: Injection) -> None:
    """Delay a call on the link to the sidecar until after its attempt was abandoned."""
    # The relay mode ``late`` affects only connections that are already open.
    warm_up_calls = [
        call_service(world.session, world.entries[0].http, unique_text("warm"))
        for _ in range(6)
    ]
    await asyncio.gather(*warm_up_calls)
    for index in (ENGINES, ENGINES + 1):
        await injection(world, f"sidecar-{index}", "")
    body = unique_text("late")
    reply = await call_service(world.session, world.entries[0].http, body)
    check_reply(world, reply, body, reply.text)
    await asyncio.sleep(5.0)
    runs = world.runs(body)
    expect(len(runs) <= 1, f"a call ran again when its delayed request arrived: {runs}")


async def run_keyed(world: World, fault: str, injection: Injection) -> None:
    """Inject a fault while a call with a key runs, then repeat the call."""
    body = unique_text("keyed")
    first = asyncio.create_task(_call_with_key(world, 0, body))
    await injection(world, *await find_endpoint(world, body))
    reply = await first
    await world.set_faults(world.platform_url)
    await retry_keyed(world, body, reply)


async def run_claiming(world: World, fault: str, injection: Injection) -> None:
    """Inject a fault before or just after the claim of the key is written."""
    when = "after" if fault == "store:lost" else "before"
    body = unique_text("claim")
    trap = {"match": f"andina/router/{body}", "when": when}
    faults = {"trap": trap, **({"lose": 1} if fault == "store:lost" else {})}
    await world.set_faults(world.platform_url, **faults)
    first = asyncio.create_task(_call_with_key(world, 0, body))
    await wait_until(lambda: world.has_trapped(world.platform_url), what="the claim")
    if fault != "store:lost":
        await injection(world, f"sidecar-{ENGINES}", "service-0")
    if fault in ("store:lost", "none") or not fault.startswith("store:"):
        await world.release(world.platform_url)
    reply = await first
    await world.set_faults(world.platform_url)
    await retry_keyed(world, body, reply)


async def run_recording(world: World, fault: str, injection: Injection) -> None:
    """Inject a fault just before the record of the answer is written."""
    body = unique_text("record")
    trap = {"match": '"state":"finished"', "when": "before"}
    await world.set_faults(world.platform_url, trap=trap)
    reply = await _call_with_key(world, 0, body)
    expect(reply.kind == "whole", f"not whole before the fault: {reply}")
    await wait_until(lambda: world.has_trapped(world.platform_url), what="the record")
    await injection(world, *await find_endpoint(world, body))
    await world.set_faults(world.platform_url)
    await retry_keyed(world, body, reply)


async def run_twins(world: World, fault: str, injection: Injection) -> None:
    """Send the same key through both entries at the same time."""
    body = unique_text("twins")
    calls = asyncio.gather(*(_call_with_key(world, entry, body) for entry in (0, 1)))
    await injection(world, *await find_endpoint(world, body))
    replies = await calls
    await world.set_faults(world.platform_url)
    for reply in replies:
        if reply.kind != "error":
            await retry_keyed(world, body, reply)
    await retry_keyed(world, body, Reply("cut"))


async def _call_with_key(world: World, entry: int, body: str) -> Reply:
    address = world.entries[entry].http
    return await call_service(world.session, address, body, key=body, sleep_s=SERVICE_S)


async def retry_keyed(world: World, body: str, reply: Reply) -> None:
    """Repeat a call with its key until the answer is final; check runs and answers."""
    receipts = {reply.text} if reply.kind == "whole" else set()
    if reply.ran == "no":
        expect(
            not world.runs(body), f"reported as not run, but ran at {world.runs(body)}"
        )
    for attempt in range(60):
        again = await _call_with_key(world, 1 - attempt % 2, body)
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

#: Faults that are not injected at a step, and the reason.
IMPOSSIBLE = {
    ("late:entry-sidecar", "queued"): "the request has already arrived",
    ("late:entry-sidecar", "prefill"): "the request has already arrived",
    ("late:entry-sidecar", "midstream"): "the request has already arrived",
    ("late:entry-sidecar", "running"): "the call has already arrived",
    ("late:entry-sidecar", "claiming"): "no request has been sent yet",
    ("late:entry-sidecar", "recording"): "the answer has already been returned",
    ("late:entry-sidecar", "twins"): "the call has already arrived",
    ("replace:back_end", "queued"): "the same as kill:back_end with a restart",
}


def make_cells() -> list[Cell]:
    """Return the cells for requests and calls."""
    cells = []
    for (path, step), run in STEPS.items():
        for fault, injection in FAULTS.items():
            if (fault, step) in IMPOSSIBLE:
                continue
            if step == "sending" and not fault.startswith("late"):
                continue
            cells.append(Cell(path, fault, step, _bind(run, fault, injection)))
    return cells


#: Faults that are drawn in pairs: they end by themselves, by a restart or, if they make
#: the platform fail, when the faults are cleared.
PAIRED_FAULTS = (
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
#: Number of pairs.
PAIR_COUNT = 16


def make_pairs(seed: int) -> list[Cell]:
    """Draw pairs of faults at the steps during which an endpoint runs a request."""
    rng = random.Random(seed)
    steps = [("request", "prefill"), ("request", "midstream"), ("keyed", "running")]
    cells = {}
    while len(cells) < PAIR_COUNT:
        (path, step), pair = rng.choice(steps), sorted(rng.sample(PAIRED_FAULTS, 2))
        name = "+".join(pair)
        if "kill:sidecar" in pair and "replace:sidecar" in pair:
            continue
        run = _bind(STEPS[path, step], name, _inject_both(*pair))
        cells[path, name, step] = Cell(path, name, step, run)
    return list(cells.values())


def _inject_both(first: str, second: str) -> Injection:
    async def inject(world: World, sidecar: str, endpoint: str) -> None:
        await asyncio.gather(
            FAULTS[first](world, sidecar, endpoint),
            FAULTS[second](world, sidecar, endpoint),
        )

    return inject


def _bind(run, fault: str, injection: Injection):
    async def bound(world: World) -> None:
        await run(world, fault, injection)

    return bound

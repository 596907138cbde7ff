"""Run the whole path on loopback and check it, one line per check."""

import asyncio
import json
import signal
import sys

from slatehoist_standins.engine import token_text
from slatehoist_standins.fleet import Fleet, Node, bearer

ROUTER = bearer("andina-router")


class CheckFailedError(Exception):
    """Name the check that failed."""


def check(name: str, holds: bool, detail: object = "") -> None:
    """Print a check's line, and stop at one that fails."""
    print(f"{'ok  ' if holds else 'FAIL'} {name}", flush=True)
    if not holds:
        raise CheckFailedError(f"{name}: {detail}")


async def start(fleet: Fleet) -> list[Node]:
    """Start stand-ins, two entries, three sidecars, and declare the endpoints."""
    await fleet.start_platform()
    entries = [await fleet.start_entry(f"entry-{i}", "ab"[i]) for i in range(2)]
    for i in range(3):
        url = await fleet.start_standin("engine", f"engine-{i}")
        endpoint = {"name": f"llm-{i}", "url": url}
        await fleet.start_sidecar(f"sidecar-{i}", endpoint, "abc"[i])
    url = await fleet.start_standin("plain", "portal")
    endpoint = {"name": "portal-0", "url": url, "kind": "plain"}
    await fleet.start_sidecar("sidecar-portal", endpoint)
    for i in range(3):
        await fleet.declare(entries[0], "endpoint", f"llm-{i}", {"models": ["mixtral"]})
    await fleet.declare(entries[0], "endpoint", "portal-0", {"service": "portal"})
    for entry in entries:
        await fleet.wait_for_sidecars(entry, 4)
    return entries


async def complete(fleet: Fleet, entry: Node, prompt: str, tokens: int, **body) -> str:
    """Run a completion and return the answer's text."""
    url = f"http://{entry.http}/v1/completions"
    body = {"model": "mixtral", "prompt": prompt, "max_tokens": tokens, **body}
    async with fleet.session.post(url, json=body, headers=ROUTER) as resp:
        if resp.status != 200:
            return f"status {resp.status}: {await resp.text()}"
        if not body.get("stream"):
            return (await resp.json())["choices"][0]["text"]
        return stream_text(await resp.text())


def stream_text(body: str) -> str:
    """Join the tokens of an event stream that ended properly."""
    events = [line[6:] for line in body.splitlines() if line.startswith("data: ")]
    if not events or events[-1] != "[DONE]":
        return f"cut: {body[-200:]}"
    return "".join(json.loads(e)["choices"][0]["text"] for e in events[:-1])


def expected(prompt: str, tokens: int) -> str:
    """Give the text that the engine's stand-in answers."""
    return "".join(token_text(prompt, i) for i in range(tokens))


async def check_requests(fleet: Fleet, entries: list[Node]) -> None:
    """Check streamed, unstreamed and plain requests."""
    text = await complete(fleet, entries[0], "streamed", 40, stream=True)
    check("streamed completion is whole", text == expected("streamed", 40), text)
    text = await complete(fleet, entries[1], "whole", 20)
    check("unstreamed completion is whole", text == expected("whole", 20), text)
    url = f"http://{entries[0].http}/services/portal/letters/7?lang=pt"
    async with fleet.session.get(url, headers=ROUTER) as resp:
        answer = await resp.json()
    check("plain call reaches the service", answer["path"] == "/letters/7", answer)


async def check_idempotency(fleet: Fleet, entries: list[Node]) -> None:
    """Check that a keyed call runs once, whichever entry it comes through."""
    headers = {**ROUTER, "Idempotency-Key": "letter-7"}
    receipts = []
    for entry in entries:
        url = f"http://{entry.http}/services/portal/letters"
        async with fleet.session.post(url, data=b"send", headers=headers) as resp:
            receipts.append((await resp.json()).get("receipt"))
    same = receipts[0] is not None and receipts[0] == receipts[1]
    check("non-idempotent call runs once over two entries", same, receipts)
    url = f"http://{entries[1].http}/services/portal/letters"
    async with fleet.session.post(url, data=b"other", headers=headers) as resp:
        check("key with another body is refused", resp.status == 422, resp.status)


async def check_drain(fleet: Fleet, entries: list[Node]) -> None:
    """Check that a planned stop of a sidecar cuts off nothing."""
    prompts = [f"drain {i}" for i in range(12)]
    calls = [complete(fleet, entries[0], p, 150, stream=True) for p in prompts]
    running = asyncio.gather(*calls)
    await asyncio.sleep(0.4)
    fleet.signal("sidecar-0", signal.SIGTERM)
    texts = await running
    whole = sum(t == expected(p, 150) for p, t in zip(prompts, texts, strict=True))
    check("drain cuts off no stream", whole == len(prompts), f"{whole} whole")
    status = fleet.processes["sidecar-0"].wait(10)
    check("drained sidecar ends by itself", status == 0, status)


async def check_kill(fleet: Fleet, entries: list[Node]) -> None:
    """Check that a killed sidecar loses no idempotent unstreamed request."""
    prompts = [f"kill {i}" for i in range(12)]
    running = asyncio.gather(*(complete(fleet, entries[1], p, 60) for p in prompts))
    await asyncio.sleep(0.2)
    fleet.kill("sidecar-1")
    texts = await running
    whole = sum(t == expected(p, 60) for p, t in zip(prompts, texts, strict=True))
    check("kill loses no idempotent request", whole == len(prompts), texts)


async def main() -> int:
    """Run all checks."""
    async with Fleet() as fleet:
        try:
            entries = await start(fleet)
            check("two entries and four sidecars are up", True)
            await check_requests(fleet, entries)
            await check_idempotency(fleet, entries)
            await check_drain(fleet, entries)
            await check_kill(fleet, entries)
        except (CheckFailedError, RuntimeError) as exc:
            print(f"demo: failed at {exc}", file=sys.stderr)
            return 1
    print("demo: ok")
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))

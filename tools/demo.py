"""Run the whole request path on loopback and print one line per check."""

import asyncio
import json
import signal
import sys

from slatehoist_standins.engine import token_text
from slatehoist_standins.fleet import Fleet, Node, bearer

ROUTER_HEADERS = bearer("andina-router")


class CheckFailedError(Exception):
    """Raised if a check fails; the message names the check."""


def check(name: str, passed: bool, detail: object = "") -> None:
    """Print the result of a check; raise CheckFailedError if it failed."""
    print(f"{'ok  ' if passed else 'FAIL'} {name}", flush=True)
    if not passed:
        raise CheckFailedError(f"{name}: {detail}")


async def start(fleet: Fleet) -> list[Node]:
    """Start the fleet, declare its endpoints, and return its entries.

    The fleet is the stand-ins, two entries and four sidecars.
    """
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
    """Request a completion and return its text, or a description of the error."""
    url = f"http://{entry.http}/v1/completions"
    body = {"model": "mixtral", "prompt": prompt, "max_tokens": tokens, **body}
    async with fleet.session.post(url, json=body, headers=ROUTER_HEADERS) as resp:
        if resp.status != 200:
            return f"status {resp.status}: {await resp.text()}"
        if not body.get("stream"):
            return (await resp.json())["choices"][0]["text"]
        return stream_text(await resp.text())


def stream_text(body: str) -> str:
    """Return the text of an event stream, or an error message if it was cut off."""
    events = [line[6:] for line in body.splitlines() if line.startswith("data: ")]
    if not events or events[-1] != "[DONE]":
        return f"stream cut off: {body[-200:]}"
    return "".join(json.loads(e)["choices"][0]["text"] for e in events[:-1])


def expected_text(prompt: str, tokens: int) -> str:
    """Return the text that the engine's stand-in generates."""
    return "".join(token_text(prompt, i) for i in range(tokens))


async def check_requests(fleet: Fleet, entries: list[Node]) -> None:
    """Check a streamed and an unstreamed completion, and a call to a plain service."""
    text = await complete(fleet, entries[0], "streamed", 40, stream=True)
    check("streamed completion is whole", text == expected_text("streamed", 40), text)
    text = await complete(fleet, entries[1], "whole", 20)
    check("unstreamed completion is whole", text == expected_text("whole", 20), text)
    url = f"http://{entries[0].http}/services/portal/letters/7?lang=pt"
    async with fleet.session.get(url, headers=ROUTER_HEADERS) as resp:
        answer = await resp.json()
    check("plain call reaches the service", answer["path"] == "/letters/7", answer)


async def check_idempotency(fleet: Fleet, entries: list[Node]) -> None:
    """Check that a call with an idempotency key runs once when sent to both entries."""
    headers = {**ROUTER_HEADERS, "Idempotency-Key": "letter-7"}
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
    """Check that draining a sidecar cuts off no stream."""
    prompts = [f"drain {i}" for i in range(12)]
    calls = [complete(fleet, entries[0], p, 150, stream=True) for p in prompts]
    running = asyncio.gather(*calls)
    await asyncio.sleep(0.4)
    fleet.signal("sidecar-0", signal.SIGTERM)
    texts = await running
    intact = sum(
        t == expected_text(p, 150) for p, t in zip(prompts, texts, strict=True)
    )
    check("drain cuts off no stream", intact == len(prompts), f"{intact} intact")
    status = fleet.processes["sidecar-0"].wait(10)
    check("drained sidecar ends by itself", status == 0, status)


async def check_kill(fleet: Fleet, entries: list[Node]) -> None:
    """Check that no idempotent unstreamed request fails when a sidecar is killed."""
    prompts = [f"kill {i}" for i in range(12)]
    running = asyncio.gather(*(complete(fleet, entries[1], p, 60) for p in prompts))
    await asyncio.sleep(0.2)
    fleet.kill("sidecar-1")
    texts = await running
    intact = sum(t == expected_text(p, 60) for p, t in zip(prompts, texts, strict=True))
    check("kill loses no idempotent request", intact == len(prompts), texts)


async def main() -> int:
    """Run all checks; return the exit status."""
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

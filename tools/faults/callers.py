"""Callers of the fault matrix: what they send, and what they were told."""

import json
from typing import NamedTuple

import aiohttp

from slatehoist_standins.engine import token_text
from slatehoist_standins.fleet import bearer

#: Seconds that a caller waits for anything.
PATIENCE_S = 30.0
ROUTER = bearer("andina-router")


class Reply(NamedTuple):
    """What a caller was told.

    Attributes
    ----------
    kind : str
        ``whole``, ``error`` or ``cut``.
    ran : str
        ``no``, ``unknown`` or ``yes``, as the caller was told; empty if it was not.
    """

    kind: str
    status: int = 0
    text: str = ""
    ran: str = ""
    code: str = ""


def expected_text(prompt: str, tokens: int) -> str:
    """Give the text that the engine's stand-in answers."""
    return "".join(token_text(prompt, i) for i in range(tokens))


async def complete(
    session: aiohttp.ClientSession,
    address: str,
    prompt: str,
    tokens: int,
    *,
    stream: bool,
    model: str = "any",
    seen: list[str] | None = None,
) -> Reply:
    """Run a completion; tokens of a stream are added to ``seen`` as they come."""
    url = f"http://{address}/v1/completions"
    body = {
        "model": model,
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": stream,
    }
    timeout = aiohttp.ClientTimeout(total=PATIENCE_S)
    try:
        async with session.post(url, json=body, headers=ROUTER, timeout=timeout) as r:
            if r.status != 200:
                return _error(r.status, await r.text())
            if not stream:
                text = (await r.json())["choices"][0]["text"]
                return Reply("whole", r.status, text)
            return await _read_stream(r, [] if seen is None else seen)
    except (TimeoutError, aiohttp.ClientError, json.JSONDecodeError):
        return Reply("cut")


async def _read_stream(resp: aiohttp.ClientResponse, seen: list[str]) -> Reply:
    event = ""
    async for raw in resp.content:
        line = raw.decode().strip()
        if line.startswith("event: "):
            event = line[7:]
        if not line.startswith("data: "):
            continue
        data = line[6:]
        if event == "error":
            return _error(resp.status, data)._replace(kind="cut")
        if data == "[DONE]":
            return Reply("whole", resp.status, "".join(seen))
        seen.append(json.loads(data)["choices"][0]["text"])
    return Reply("clean_end_without_done", resp.status, "".join(seen))


async def call_service(
    session: aiohttp.ClientSession,
    address: str,
    body: str,
    *,
    key: str = "",
    sleep_s: float = 0.0,
    timeout_s: float = 10.0,
) -> Reply:
    """Make a non-idempotent call of the plain service."""
    url = f"http://{address}/services/portal/letters?sleep={sleep_s}"
    headers = {**ROUTER, "Slatehoist-Timeout": str(timeout_s)}
    if key:
        headers["Idempotency-Key"] = key
    timeout = aiohttp.ClientTimeout(total=PATIENCE_S)
    try:
        async with session.post(url, data=body, headers=headers, timeout=timeout) as r:
            text = await r.text()
            if r.status != 200:
                return _error(r.status, text)
            return Reply("whole", r.status, json.loads(text)["receipt"])
    except (TimeoutError, aiohttp.ClientError, json.JSONDecodeError):
        return Reply("cut")


def _error(status: int, text: str) -> Reply:
    try:
        error = json.loads(text)["error"]
    except (json.JSONDecodeError, KeyError):
        return Reply("error", status, text)
    return Reply("error", status, text, error.get("ran", ""), error.get("code", ""))

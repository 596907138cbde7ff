"""Callers of the fault matrix: the requests that they send and their replies."""

import json
from typing import NamedTuple

import aiohttp

from slatehoist_standins.engine import token_text
from slatehoist_standins.fleet import bearer

#: Seconds that a caller waits for a complete response.
CALL_TIMEOUT_S = 30.0
ROUTER_HEADERS = bearer("andina-router")


class Reply(NamedTuple):
    """Result of a request as seen by its caller.

    Attributes
    ----------
    kind : str
        ``whole``, ``error``, ``cut`` (interrupted) or ``clean_end_without_done`` (a
        stream that ended without ``[DONE]`` and without an error).
    ran : str
        Whether the request ran, as stated by the error: ``no``, ``unknown`` or
        ``yes``; empty if it is not stated.
    """

    kind: str
    status: int = 0
    text: str = ""
    ran: str = ""
    code: str = ""


def expected_text(prompt: str, tokens: int) -> str:
    """Return the text that the engine's stand-in generates for a prompt."""
    return "".join(token_text(prompt, i) for i in range(tokens))


async def complete(
    session: aiohttp.ClientSession,
    address: str,
    prompt: str,
    tokens: int,
    *,
    stream: bool,
    model: str = "any",
    received: list[str] | None = None,
) -> Reply:
    """Request a completion; append the tokens of a stream to ``received``."""
    url = f"http://{address}/v1/completions"
    body = {
        "model": model,
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": stream,
    }
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    try:
        async with session.post(
            url, json=body, headers=ROUTER_HEADERS, timeout=timeout
        ) as r:
            if r.status != 200:
                return _error(r.status, await r.text())
            if not stream:
                text = (await r.json())["choices"][0]["text"]
                return Reply("whole", r.status, text)
            return await _read_stream(r, [] if received is None else received)
    except (TimeoutError, aiohttp.ClientError, json.JSONDecodeError):
        return Reply("cut")


async def _read_stream(resp: aiohttp.ClientResponse, received: list[str]) -> Reply:
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
            return Reply("whole", resp.status, "".join(received))
        received.append(json.loads(data)["choices"][0]["text"])
    return Reply("clean_end_without_done", resp.status, "".join(received))


async def call_service(
    session: aiohttp.ClientSession,
    address: str,
    body: str,
    *,
    key: str = "",
    sleep_s: float = 0.0,
    timeout_s: float = 10.0,
) -> Reply:
    """Send a non-idempotent call to the service."""
    url = f"http://{address}/services/portal/letters?sleep={sleep_s}"
    headers = {**ROUTER_HEADERS, "Slatehoist-Timeout": str(timeout_s)}
    if key:
        headers["Idempotency-Key"] = key
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
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

"""Client of the resource API."""

import json
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import aiohttp

from slatehoist.http import read_body, strict_connector

#: Timeout of one call, and of a watch that receives nothing, in seconds.
CALL_TIMEOUT_S = 15.0
#: Largest answer of an entry, in bytes.
MAX_ANSWER_BYTES = 64 * 1024 * 1024


class ApiError(Exception):
    """Raised for an error response of the resource API."""

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        error = body.get("error", {})
        super().__init__(error.get("message", f"status {status}"))
        self.status = status
        self.code = error.get("code", "")
        self.body = body


class UnreachableError(Exception):
    """Raised if the server cannot be reached or its response cannot be read."""


class Api(NamedTuple):
    """Client of the resource API with its server URL and bearer token."""

    server: str
    token: str

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Send one request and return the decoded JSON response."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        url = f"{self.server.rstrip('/')}/api/v1/{path}"
        try:
            async with (
                aiohttp.ClientSession(
                    connector=strict_connector(), timeout=timeout
                ) as session,
                session.request(
                    method, url, json=body, headers=self._headers(headers)
                ) as resp,
            ):
                answer = json.loads(await read_body(resp, MAX_ANSWER_BYTES) or "{}")
                if resp.status >= 400:
                    raise ApiError(resp.status, answer)
                return answer
        except (aiohttp.ClientError, TimeoutError, json.JSONDecodeError) as exc:
            raise UnreachableError(f"{url}: {exc}") from exc

    async def watch(self, revision: int) -> AsyncIterator[dict[str, Any]]:
        """Yield the changes after a revision as the server sends them."""
        url = f"{self.server.rstrip('/')}/api/v1/watch"
        timeout = aiohttp.ClientTimeout(total=None, sock_read=CALL_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(
                    connector=strict_connector(), timeout=timeout
                ) as session,
                session.get(
                    url, params={"from": str(revision)}, headers=self._headers(None)
                ) as resp,
            ):
                if resp.status >= 400:
                    raise ApiError(
                        resp.status, json.loads(await read_body(resp, MAX_ANSWER_BYTES))
                    )
                async for line in resp.content:
                    if line.startswith(b"data: "):
                        yield json.loads(line[6:])
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise UnreachableError(f"{url}: {exc}") from exc

    def _headers(self, extra: dict[str, str] | None) -> dict[str, str]:
        return {"Authorization": f"Bearer {self.token}", **(extra or {})}

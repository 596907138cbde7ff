"""Stand-in of the platform's metadata store.

It speaks the platform's published wire and can be down, slow, silent or lose answers.
"""

import asyncio
import base64
import contextlib
from typing import Any, NamedTuple

import msgspec
from aiohttp import web


class StoreRow(NamedTuple):
    """Row of the store, with the version at which it was removed, if it was."""

    value: bytes
    version: int
    removed: bool = False


class DeploymentStore:
    """Metadata store with the calls that slatehoist uses.

    Attributes
    ----------
    fault : str
        ``down`` refuses, ``silent`` never answers, ``lost`` writes without an answer.
    delay_s : float
        Seconds before each answer.
    """

    def __init__(self) -> None:
        self.fault = ""
        self.delay_s = 0.0
        self.calls: list[str] = []
        self._rows: dict[tuple[str, str], StoreRow] = {}
        self._version = 0
        self._history_from = 0
        self._changed = asyncio.Event()

    async def start(self) -> str:
        """Listen; give the address."""
        app = web.Application()
        app.router.add_get("/api/rows-get", self._get)
        app.router.add_get("/api/rows-feed", self._feed)
        app.router.add_post("/api/rows-tx", self._transact)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    def put(self, table: str, key: str, doc: Any) -> None:
        """Write a document as the operator or a server does."""
        self.put_bytes(table, key, msgspec.json.encode(doc))

    def put_bytes(self, table: str, key: str, value: bytes) -> None:
        """Write a value that need not be a document."""
        self._version += 1
        self._rows[table, key] = StoreRow(value, self._version)
        self._wake()

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._version += 1
        self._rows[table, key] = StoreRow(b"", self._version, True)
        self._wake()

    def rows(self, table: str) -> list[str]:
        """Give the keys of a table."""
        return [key for key, _ in self._live(table)]

    def compact(self) -> None:
        """Forget the history."""
        self._version += 1
        self._history_from = self._version
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _misbehave(self, call: str) -> web.Response | None:
        self.calls.append(call)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.fault == "silent":
            await asyncio.sleep(60)
        if self.fault == "down":
            return web.Response(status=503)
        return None

    def _live(self, table: str) -> list[tuple[str, StoreRow]]:
        return sorted(
            (key, row)
            for (name, key), row in self._rows.items()
            if name == table and not row.removed
        )

    async def _get(self, req: web.Request) -> web.Response:
        if (refusal := await self._misbehave("get")) is not None:
            return refusal
        start, end = req.query.get("from", ""), req.query.get("to")
        limit = int(req.query.get("limit", "500"))
        found = [
            (key, row)
            for key, row in self._live(req.query["table"])
            if key >= start and (end is None or key < end)
        ]
        return self._reply(req.query["table"], found[:limit], len(found) > limit)

    async def _feed(self, req: web.Request) -> web.Response:
        if (refusal := await self._misbehave("feed")) is not None:
            return refusal
        table, since = req.query["table"], int(req.query["sinceRev"])
        end = asyncio.get_running_loop().time() + int(req.query["waitMs"]) / 1000
        while True:
            if since < self._history_from:
                return web.Response(status=410)
            found = [
                (key, row)
                for (name, key), row in self._rows.items()
                if name == table and row.version > since
            ]
            left = end - asyncio.get_running_loop().time()
            if found or left <= 0:
                return self._reply(table, found, False)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()

    async def _transact(self, req: web.Request) -> web.Response:
        if (refusal := await self._misbehave("tx")) is not None:
            return refusal
        body = await req.json()
        failed = False
        for check in body["expectRev"]:
            row = self._rows.get((check["table"], check["key"]))
            version = 0 if row is None or row.removed else row.version
            failed = failed or version != check["ver"]
        if failed:
            found = [
                (check["key"], self._rows[check["table"], check["key"]])
                for check in body["expectRev"]
                if (check["table"], check["key"]) in self._rows
            ]
            table = body["expectRev"][0]["table"]
            return self._reply(table, found, False, status=412)
        self._version += 1
        for row in body["setKeys"]:
            value = base64.b64decode(row["value"])
            self._rows[row["table"], row["key"]] = StoreRow(value, self._version)
        for row in body["remove"]:
            gone = StoreRow(b"", self._version, True)
            self._rows[row["table"], row["key"]] = gone
        self._wake()
        if self.fault == "lost":
            req.transport.abort()
        return web.json_response({"ver": self._version, "nowMs": 0})

    def _reply(
        self,
        table: str,
        rows: list[tuple[str, StoreRow]],
        has_more: bool,
        status: int = 200,
    ) -> web.Response:
        docs = [
            {
                "table": table,
                "part": "",
                "key": key,
                "ver": row.version,
                "value": base64.b64encode(row.value).decode(),
                "removed": row.removed,
            }
            for key, row in rows
        ]
        return web.json_response(
            {"rows": docs, "hasMore": has_more, "ver": self._version, "nowMs": 0},
            status=status,
        )

"""Stand-in of the platform's metadata store.

It implements the three HTTP calls of the store that slatehoist uses: ``rows-get``
(read a range of keys), ``rows-feed`` (long poll for changes since a version) and
``rows-tx`` (conditional transaction). It runs in the process of the test. It can be
down, slow or silent, lose responses, and discard the history that ``rows-feed`` needs.
"""

import asyncio
import base64
import contextlib
from typing import Any, NamedTuple

import msgspec
from aiohttp import web

#: Seconds for which a silent call gets no answer; longer than any caller waits.
_SILENCE_S = 60.0


class StoreRow(NamedTuple):
    """Row of the store; a removed row stays as a tombstone with its version."""

    value: bytes
    version: int
    removed: bool = False


class DeploymentStore:
    """Metadata store in memory, with one version number for all tables.

    Attributes
    ----------
    fault : str
        ``down`` refuses calls with status 503, ``silent`` carries a call out only
        after 60 s, ``lost`` commits a transaction and resets the connection instead of
        responding.
    delay_s : float
        Seconds from a call until it is carried out.
    silent_reads : int
        Reads of the list of servers that get no answer from now on.
    calls : list of str
        Names of the calls received, in order.
    era : int
        Number that all responses state; it rises each time that a copy is restored.
    """

    def __init__(self) -> None:
        self.fault = ""
        self.delay_s = 0.0
        self.silent_reads = 0
        self.calls: list[str] = []
        self.era = 1
        self._rows: dict[tuple[str, str], StoreRow] = {}
        self._version = 0
        self._oldest_feed_version = 0
        self._changed = asyncio.Event()

    async def start(self) -> str:
        """Listen on loopback and return the address."""
        app = web.Application()
        app.on_response_prepare.append(self._state_era)
        app.router.add_get("/api/rows-get", self._get_rows)
        app.router.add_get("/api/rows-feed", self._serve_feed)
        app.router.add_post("/api/rows-tx", self._transact)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self._runner.cleanup()

    def put(self, table: str, key: str, doc: Any) -> None:
        """Write a document, as the operator or a server does."""
        self.put_bytes(table, key, msgspec.json.encode(doc))

    def put_bytes(self, table: str, key: str, value: bytes) -> None:
        """Write a value that need not be JSON."""
        self._version += 1
        self._rows[table, key] = StoreRow(value, self._version)
        self._notify_feeds()

    def remove(self, table: str, key: str) -> None:
        """Replace a row with a tombstone."""
        self._version += 1
        self._rows[table, key] = StoreRow(b"", self._version, True)
        self._notify_feeds()

    def evacuate(self, zone: str) -> None:
        """Evacuate a zone, as the operator does."""
        self.put("op", f"evacuate/{zone}", {})

    def restore_zone(self, zone: str) -> None:
        """End the evacuation of a zone."""
        self.remove("op", f"evacuate/{zone}")

    def rows(self, table: str) -> list[str]:
        """Return the sorted keys of a table."""
        return [key for key, _ in self._live_rows(table)]

    def compact(self) -> None:
        """Discard the history: a feed from an older version gets status 410."""
        self._version += 1
        self._oldest_feed_version = self._version
        self._notify_feeds()

    def copy(self) -> tuple[dict[tuple[str, str], StoreRow], int]:
        """Return a copy of all rows and the version, for `restore`."""
        return dict(self._rows), self._version

    def restore(self, copy: tuple[dict[tuple[str, str], StoreRow], int]) -> None:
        """Go back to a copy, in a new era; later versions are given out again."""
        rows, self._version = copy
        self._rows = dict(rows)
        self._oldest_feed_version = min(self._oldest_feed_version, self._version)
        self.era += 1
        self._notify_feeds()

    async def _state_era(self, req: web.Request, resp: web.StreamResponse) -> None:
        resp.headers["Store-Era"] = str(self.era)

    def _notify_feeds(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _apply_fault(self, call: str) -> web.Response | None:
        self.calls.append(call)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.fault == "silent":
            await asyncio.sleep(_SILENCE_S)
        if self.fault == "down":
            return web.Response(status=503)
        return None

    def _live_rows(self, table: str) -> list[tuple[str, StoreRow]]:
        return sorted(
            (key, row)
            for (name, key), row in self._rows.items()
            if name == table and not row.removed
        )

    async def _get_rows(self, req: web.Request) -> web.Response:
        if (fault_response := await self._apply_fault("get")) is not None:
            return fault_response
        if req.query["table"] == "servers" and self.silent_reads:
            self.silent_reads -= 1
            await asyncio.sleep(_SILENCE_S)
        start, end = req.query.get("from", ""), req.query.get("to")
        limit = int(req.query.get("limit", "500"))
        found = [
            (key, row)
            for key, row in self._live_rows(req.query["table"])
            if key >= start and (end is None or key < end)
        ]
        return self._make_rows_response(
            req.query["table"], found[:limit], len(found) > limit
        )

    async def _serve_feed(self, req: web.Request) -> web.Response:
        if (fault_response := await self._apply_fault("feed")) is not None:
            return fault_response
        table, since = req.query["table"], int(req.query["sinceRev"])
        deadline = asyncio.get_running_loop().time() + int(req.query["waitMs"]) / 1000
        while True:
            if not self._oldest_feed_version <= since <= self._version:
                return web.Response(status=410)
            found = [
                (key, row)
                for (name, key), row in self._rows.items()
                if name == table and row.version > since
            ]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if found or remaining_s <= 0:
                return self._make_rows_response(table, found, False)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()

    async def _transact(self, req: web.Request) -> web.Response:
        if (fault_response := await self._apply_fault("tx")) is not None:
            return fault_response
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
            return self._make_rows_response(table, found, False, status=412)
        self._version += 1
        for row in body["setKeys"]:
            value = base64.b64decode(row["value"])
            self._rows[row["table"], row["key"]] = StoreRow(value, self._version)
        for row in body["remove"]:
            tombstone = StoreRow(b"", self._version, True)
            self._rows[row["table"], row["key"]] = tombstone
        self._notify_feeds()
        if self.fault == "lost":
            req.transport.abort()
        return web.json_response({"ver": self._version, "nowMs": 0})

    def _make_rows_response(
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

"""Crashes of endpoints by the requests that they ran, shared by all gateways."""

import asyncio
import contextlib
import logging
from collections.abc import Callable

import xxhash

from slatehoist.gateway.exchange import Exchange
from slatehoist.gateway.model import Endpoint
from slatehoist.gateway.settings import (
    CRASH_CONFIRM_S,
    CRASH_FEED_WAIT_S,
    STORE_RETRY_S,
)
from slatehoist.routing import CRASH_RETENTION_S, CrashTally
from slatehoist.storage import HistoryLostError, PlatformError, WatchableTable, Write

log = logging.getLogger(__name__)

#: Table with a row for each request that was in a crash.
CRASHES = "crashes"
#: Rows written at once at most; the platform's store takes 100.
_MAX_ROWS = 100


def digest_of(exchange: Exchange) -> str:
    """Identify what a caller asks for, whichever attempt of the caller's it is."""
    content = xxhash.xxh3_128()
    for part in (exchange.req.method, exchange.req.raw_path, exchange.team):
        content.update(part.encode() + b"\0")
    content.update(exchange.body)
    return content.hexdigest()


class CrashReports:
    """Find out which requests an endpoint was running when it crashed.

    A response that breaks off says little by itself: links break, and endpoints cut
    off responses. It counts as a crash if the endpoint is down, restarted or replaced
    shortly before or after.

    Parameters
    ----------
    instance : str
        Name of this gateway, which removes its own reports when they are old.
    """

    def __init__(
        self,
        table: WatchableTable,
        instance: str,
        tally: CrashTally,
        clock: Callable[[], float],
    ) -> None:
        self._table = table
        self._instance = instance
        self._tally = tally
        self._clock = clock
        self._broken: dict[str, list[tuple[str, float]]] = {}
        self._down_at: dict[str, float] = {}
        self._unsent: dict[str, Write] = {}
        self._seen_at: dict[str, float] = {}
        self._wake = asyncio.Event()
        self._version: int | None = None

    def note_broken(self, endpoint: Endpoint, digest: str) -> None:
        """Note a request whose response broke off."""
        now = self._clock()
        crash_id = _crash_id(endpoint)
        if now - self._down_at.get(crash_id, float("-inf")) < CRASH_CONFIRM_S:
            self._report(crash_id, [digest], now)
            return
        self._broken[crash_id] = [*self._recent(crash_id, now), (digest, now)]

    def note_down(self, endpoint: Endpoint) -> None:
        """Note that an endpoint is down, started anew, or replaced by another one."""
        now = self._clock()
        crash_id = _crash_id(endpoint)
        self._down_at[crash_id] = now
        digests = [digest for digest, _ in self._recent(crash_id, now)]
        self._broken.pop(crash_id, None)
        if digests:
            self._report(crash_id, digests, now)

    def _recent(self, crash_id: str, now: float) -> list[tuple[str, float]]:
        broken = self._broken.get(crash_id, [])
        return [(digest, at) for digest, at in broken if now - at < CRASH_CONFIRM_S]

    def _report(self, crash_id: str, digests: list[str], now: float) -> None:
        for digest in digests:
            crashes = self._tally.record_crash(digest, crash_id, now)
            key = f"{digest}/{crash_id}/{self._instance}"
            value = {"digest": digest, "crash": crash_id}
            self._unsent[key] = Write(CRASHES, key, value)
            log.warning(
                "request_in_crash",
                extra={"digest": digest, "crash": crash_id, "crashes": crashes},
            )
        self._wake.set()

    async def write(self) -> None:
        """Write reports, and remove old ones, until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CRASH_RETENTION_S):
                    await self._wake.wait()
            self._wake.clear()
            try:
                await self._write_all()
            except PlatformError as exc:
                log.info("crash_reports_unsent", extra={"why": str(exc)})
                await asyncio.sleep(STORE_RETRY_S)
                self._wake.set()

    async def _write_all(self) -> None:
        now = self._clock()
        old = [key for key, at in self._seen_at.items() if self._is_old(key, now - at)]
        writes = [*self._unsent.values(), *(Write(CRASHES, key, None) for key in old)]
        for start in range(0, len(writes), _MAX_ROWS):
            part = writes[start : start + _MAX_ROWS]
            await self._table.transact([], part)
            for write in part:
                self._unsent.pop(write.key, None)
                if write.value is None:
                    del self._seen_at[write.key]
                else:
                    self._seen_at[write.key] = now

    def _is_old(self, key: str, age_s: float) -> bool:
        """Leave the reports of others to them, unless they are gone."""
        own = key.endswith(f"/{self._instance}")
        return age_s > CRASH_RETENTION_S * (1 if own else 2)

    async def follow(self) -> None:
        """Take in the reports of all gateways until cancelled."""
        while True:
            try:
                await self._read()
            except HistoryLostError:
                self._version = None
            except PlatformError as exc:
                log.debug("crash_reports_unread", extra={"why": str(exc)})
                await asyncio.sleep(STORE_RETRY_S)

    async def _read(self) -> None:
        if self._version is None:
            rows, self._version = await self._table.snapshot(CRASHES)
        else:
            feed = await self._table.changes(CRASHES, self._version, CRASH_FEED_WAIT_S)
            rows, self._version = feed.rows, feed.version
        now = self._clock()
        for row in rows:
            self._seen_at.setdefault(row.key, now)
            self._tally.record_crash(row.value["digest"], row.value["crash"], now)


def _crash_id(endpoint: Endpoint) -> str:
    """Identify one run of an endpoint, which can crash once."""
    return f"{endpoint.endpoint_id}@{endpoint.started_at_ms}"

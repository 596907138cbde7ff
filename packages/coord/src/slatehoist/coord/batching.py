"""Group conditional writes of single rows into few transactions.

Claims come many at a time, and the table takes a few hundred writes a second. Writes
that arrive within a short window share one transaction. If some of them conflict, the
others are sent again without them.
"""

import asyncio
from typing import NamedTuple

from slatehoist.storage import Check, ConflictError, Table, Write

#: Seconds that a write waits for others to share its transaction.
WINDOW_S = 0.004
#: Writes in one transaction at most.
MAX_WRITES = 64


class _Pending(NamedTuple):
    check: Check
    write: Write
    fut: asyncio.Future


class WriteBatcher:
    """Write single rows in shared transactions.

    Parameters
    ----------
    table : Table
    window_s : float
        Seconds to wait for company.
    """

    def __init__(self, table: Table, window_s: float = WINDOW_S) -> None:
        self._table = table
        self._window_s = window_s
        self._pending: list[_Pending] = []
        self._tasks: set[asyncio.Task] = set()
        self._flush_is_due = False

    async def write(self, check: Check, write: Write) -> None:
        """Write one row if its check holds.

        Raises
        ------
        ConflictError
            If the check failed.
        OutcomeUnknownError
            If the answer was lost.
        StoreDownError
            If nothing was written.
        """
        fut = asyncio.get_running_loop().create_future()
        self._pending.append(_Pending(check, write, fut))
        if not self._flush_is_due:
            self._flush_is_due = True
            self._spawn(self._flush_soon())
        await fut

    def _spawn(self, coro) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _flush_soon(self) -> None:
        await asyncio.sleep(self._window_s)
        self._flush_is_due = False
        pending, self._pending = self._pending, []
        for start in range(0, len(pending), MAX_WRITES):
            for batch in _without_twins(pending[start : start + MAX_WRITES]):
                self._spawn(self._send(batch))

    async def _send(self, batch: list[_Pending]) -> None:
        while batch:
            try:
                await self._table.transact(
                    [pending.check for pending in batch],
                    [pending.write for pending in batch],
                )
            except ConflictError as exc:
                batch = _refuse(batch, {tuple(key) for key in exc.keys})
            except BaseException as exc:
                _settle(batch, exc)
                return
            else:
                _settle(batch, None)
                return


def _without_twins(pending: list[_Pending]) -> list[list[_Pending]]:
    """Split writes so that no batch holds two writes of one row."""
    batches: list[list[_Pending]] = []
    seen: list[set[tuple[str, str]]] = []
    for item in pending:
        key = (item.write.table, item.write.key)
        for batch, keys in zip(batches, seen, strict=True):
            if key not in keys:
                batch.append(item)
                keys.add(key)
                break
        else:
            batches.append([item])
            seen.append({key})
    return batches


def _refuse(batch: list[_Pending], keys: set[tuple[str, str]]) -> list[_Pending]:
    """Fail the writes that conflict, and give the others."""
    rest = []
    for pending in batch:
        key = (pending.check.table, pending.check.key)
        if key in keys:
            _settle([pending], ConflictError([key]))
        else:
            rest.append(pending)
    return rest if len(rest) < len(batch) else []


def _settle(batch: list[_Pending], exc: BaseException | None) -> None:
    for pending in batch:
        if pending.fut.done():
            continue
        if exc is None:
            pending.fut.set_result(None)
        elif isinstance(exc, asyncio.CancelledError):
            pending.fut.cancel()
        else:
            pending.fut.set_exception(exc)

"""Batch conditional writes of single rows into few transactions.

Claims arrive many at a time, and the platform's table takes only a few hundred writes
a second. Writes that arrive within a short window therefore share one transaction. If
some of them conflict, the others are sent again without them.
"""

import asyncio
from typing import NamedTuple

from slatehoist.storage import Check, ConflictError, Table, Write

#: Seconds for which a write waits for others to share its transaction.
BATCH_WINDOW_S = 0.004
#: Maximum number of writes in one transaction.
MAX_BATCH_WRITES = 64


class _PendingWrite(NamedTuple):
    check: Check
    write: Write
    fut: asyncio.Future


class WriteBatcher:
    """Write single rows in shared transactions.

    Parameters
    ----------
    table : Table
    window_s : float
        Seconds for which a write waits for others to share its transaction.
    """

    def __init__(self, table: Table, window_s: float = BATCH_WINDOW_S) -> None:
        self._table = table
        self._window_s = window_s
        self._pending: list[_PendingWrite] = []
        self._tasks: set[asyncio.Task] = set()
        self._flush_scheduled = False

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
        self._pending.append(_PendingWrite(check, write, fut))
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._spawn(self._flush_after_window())
        await fut

    def _spawn(self, coro) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _flush_after_window(self) -> None:
        await asyncio.sleep(self._window_s)
        self._flush_scheduled = False
        pending, self._pending = self._pending, []
        for start in range(0, len(pending), MAX_BATCH_WRITES):
            for batch in _split_by_row(pending[start : start + MAX_BATCH_WRITES]):
                self._spawn(self._send(batch))

    async def _send(self, batch: list[_PendingWrite]) -> None:
        """Write a batch; after a conflict, write it again without the failed writes."""
        while batch:
            try:
                await self._table.transact(
                    [pending.check for pending in batch],
                    [pending.write for pending in batch],
                )
            except ConflictError as exc:
                batch = _fail_conflicting(batch, {tuple(key) for key in exc.keys})
            except BaseException as exc:
                _complete(batch, exc)
                return
            else:
                _complete(batch, None)
                return


def _split_by_row(pending: list[_PendingWrite]) -> list[list[_PendingWrite]]:
    """Split writes into batches that hold at most one write of each row."""
    batches: list[list[_PendingWrite]] = []
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


def _fail_conflicting(
    batch: list[_PendingWrite], keys: set[tuple[str, str]]
) -> list[_PendingWrite]:
    """Fail the writes of the conflicting rows and return the remaining ones.

    If no key is in the batch, all its writes fail: the service wrote none of them, and
    the same batch would conflict again.
    """
    remaining = []
    for pending in batch:
        key = (pending.check.table, pending.check.key)
        if key in keys:
            _complete([pending], ConflictError([key]))
        else:
            remaining.append(pending)
    if len(remaining) < len(batch):
        return remaining
    for pending in batch:
        _complete([pending], ConflictError([(pending.check.table, pending.check.key)]))
    return []


def _complete(batch: list[_PendingWrite], exc: BaseException | None) -> None:
    """Complete the futures of a batch with success or with an error."""
    for pending in batch:
        if pending.fut.done():
            continue
        if exc is None:
            pending.fut.set_result(None)
        elif isinstance(exc, asyncio.CancelledError):
            pending.fut.cancel()
        else:
            pending.fut.set_exception(exc)

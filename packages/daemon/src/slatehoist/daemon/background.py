"""Background tasks of a process; the failure of any of them is logged."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine

log = logging.getLogger(__name__)

#: Seconds added to the interval of a repeated step after an error.
RESTART_DELAY_S = 1.0


class Background:
    """Background tasks of one process; they are cancelled when it stops."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, coro: Coroutine) -> asyncio.Task:
        """Run a coroutine as a task; log an error that ends it."""
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def repeat(self, step: Callable[[], Awaitable[None]], interval_s: float) -> None:
        """Run a step repeatedly, ``interval_s`` apart; log each error and continue."""
        self.spawn(self._repeat(step, interval_s))

    async def close(self) -> None:
        """Cancel all tasks and wait for them."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _repeat(
        self, step: Callable[[], Awaitable[None]], interval_s: float
    ) -> None:
        while True:
            try:
                await step()
            except Exception:
                log.exception("task_failed", extra={"task": step.__qualname__})
                await asyncio.sleep(RESTART_DELAY_S)
            await asyncio.sleep(interval_s)

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error(
                "task_failed",
                extra={"task": task.get_coro().__qualname__},
                exc_info=task.exception(),
            )

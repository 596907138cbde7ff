"""Event loop with a simulated clock, which waits for nothing."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _SkippingSelector(selectors.DefaultSelector):
    """Selector that advances a loop's clock instead of waiting."""

    loop: "SimulatedTimeLoop"

    def select(self, timeout: float | None = None) -> list:
        self.loop.now += timeout or 0.0
        return super().select(0.0)


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """Loop whose clock moves on to the next timer when nothing else is to be done.

    Attributes
    ----------
    now : float
        Time in seconds since the loop was made.
    """

    def __init__(self) -> None:
        self.now = 0.0
        selector = _SkippingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.now


def run_in_simulated_time(coro: Coroutine) -> Any:
    """Run a coroutine that uses only timers, and return its result."""
    with asyncio.Runner(loop_factory=SimulatedTimeLoop) as runner:
        return runner.run(coro)

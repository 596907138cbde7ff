"""Cells of the fault matrix: one fault at one step of one path, and its checks."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple


class Violation(Exception):  # noqa: N818
    """Report a property that did not hold."""


class Cell(NamedTuple):
    """One cell.

    Attributes
    ----------
    path : str
    fault : str
    step : str
    run : callable
        Coroutine function of the world; raises `Violation`.
    """

    path: str
    fault: str
    step: str
    run: Callable[[Any], Awaitable[None]]

    @property
    def name(self) -> str:
        """Give the name by which a cell is chosen."""
        return f"{self.path}/{self.fault}/{self.step}"


def expect(holds: bool, message: str) -> None:
    """Raise `Violation` if something does not hold."""
    if not holds:
        raise Violation(message)

"""Cells of the fault matrix: a fault at a step of a path, with its checks."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple


class Violation(Exception):  # noqa: N818
    """Raised if a checked property does not hold."""


class Cell(NamedTuple):
    """One fault at one step of one path.

    Attributes
    ----------
    path : str
    fault : str
    step : str
    run : callable
        Coroutine function that takes the world; raises `Violation`.
    """

    path: str
    fault: str
    step: str
    run: Callable[[Any], Awaitable[None]]

    @property
    def name(self) -> str:
        """Return the id that ``CELL=`` is matched against."""
        return f"{self.path}/{self.fault}/{self.step}"


def expect(holds: bool, message: str) -> None:
    """Raise `Violation` with the message if a condition is false."""
    if not holds:
        raise Violation(message)

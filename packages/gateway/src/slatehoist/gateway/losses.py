"""Matching of lost requests with the ends of the endpoints that ran them.

A request is lost if it reached an endpoint and its response did not end. That alone
does not prove a crash: links fail, and endpoints cut off responses. The loss stays open
until the endpoint is found to have ended, or to have lived on: its row in the list is
then rewritten by a heartbeat that was sent after the loss. There is no time limit; it
would have to exceed the slowest way in which the news of an end can arrive.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from slatehoist.gateway.model import Endpoint

#: Open losses that are kept for each endpoint; the list may be unreadable for long.
_MAX_OPEN_LOSSES = 256
#: Seconds for which the end of an endpoint is remembered: longer than any request that
#: was in flight at that time can last.
_END_RETENTION_S = 60.0


class Crash(NamedTuple):
    """End of an endpoint, and the requests that were lost by it."""

    crash_id: str
    digests: list[str]


class _Loss:
    """Lost request, and the first row of its endpoint that was read afterwards."""

    __slots__ = ("digest", "at", "row_version")

    def __init__(self, digest: str, at: float) -> None:
        self.digest = digest
        self.at = at
        self.row_version: int | None = None

    def survived_by(self, row_version: int) -> bool:
        """Record a row that was read after the loss; return True if it is a newer one.

        The first one may have been written before the loss.
        """
        if self.row_version is None:
            self.row_version = row_version
        return row_version != self.row_version


class LossLedger:
    """Keep the open losses and the recent ends of endpoints."""

    def __init__(self) -> None:
        #: Open losses by crash id; see `_crash_id`.
        self._losses: dict[str, deque[_Loss]] = {}
        self._ended_at: dict[str, float] = {}

    def record_loss(self, endpoint: Endpoint, digest: str, now: float) -> Crash | None:
        """Record a lost request; return a crash if its endpoint has ended."""
        crash_id = _crash_id(endpoint)
        if crash_id in self._ended_at:
            return Crash(crash_id, [digest])
        losses = self._losses.setdefault(crash_id, deque(maxlen=_MAX_OPEN_LOSSES))
        losses.append(_Loss(digest, now))
        return None

    def record_end(self, endpoint: Endpoint, now: float) -> Crash | None:
        """Record that an endpoint ended; return a crash if that explains losses."""
        crash_id = _crash_id(endpoint)
        self._ended_at[crash_id] = now
        losses = self._losses.pop(crash_id, None)
        return Crash(crash_id, [loss.digest for loss in losses]) if losses else None

    def observe_list(
        self, listed: Iterable[Endpoint], read_at: float, now: float
    ) -> list[str]:
        """Close the losses that their endpoints outlived, and return the digests.

        Parameters
        ----------
        read_at : float
            Time at which the read of the list began.
        """
        closed = []
        for endpoint in listed:
            losses = self._losses.get(_crash_id(endpoint))
            if losses is None:
                continue
            outlived = [
                loss
                for loss in losses
                if read_at > loss.at and loss.survived_by(endpoint.row_version)
            ]
            for loss in outlived:
                losses.remove(loss)
                closed.append(loss.digest)
            if not losses:
                del self._losses[_crash_id(endpoint)]
        self._ended_at = {
            crash_id: at
            for crash_id, at in self._ended_at.items()
            if now - at < _END_RETENTION_S
        }
        return closed


def _crash_id(endpoint: Endpoint) -> str:
    """Return the id of one run of an endpoint, which can crash only once."""
    return f"{endpoint.endpoint_id}@{endpoint.started_at_ms}"

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


class _End(NamedTuple):
    """Last known end of an endpoint, and the number of ends under its start time."""

    at: float
    count: int


class LossLedger:
    """Keep the open losses and the recent ends of endpoints.

    An endpoint may start again under its id and end again before its new start time is
    read from the list. A request that was sent after the known end and is lost shows
    that it had started again, so the next end is another crash.
    """

    def __init__(self) -> None:
        #: Open losses by run; see `_run_id`.
        self._losses: dict[str, deque[_Loss]] = {}
        self._ends: dict[str, _End] = {}

    def record_loss(
        self, endpoint: Endpoint, digest: str, sent_at: float, now: float
    ) -> Crash | None:
        """Record a lost request; return a crash if its endpoint has ended since."""
        run_id = _run_id(endpoint)
        end = self._ends.get(run_id)
        if end is not None and sent_at <= end.at:
            return Crash(_crash_id(run_id, end), [digest])
        self._open_losses(run_id).append(_Loss(digest, now))
        return None

    def record_end(self, endpoint: Endpoint, now: float) -> Crash | None:
        """Record that an endpoint ended; return a crash if that explains losses."""
        run_id = _run_id(endpoint)
        losses = self._losses.pop(run_id, None)
        known = self._ends.get(run_id)
        count = 1 if known is None else known.count + bool(losses)
        end = self._ends[run_id] = _End(now, count)
        if not losses:
            return None
        return Crash(_crash_id(run_id, end), [loss.digest for loss in losses])

    def record_restart(
        self, old: Endpoint, current: Endpoint, now: float
    ) -> Crash | None:
        """Record that an endpoint is listed with a new start time.

        Losses after its known end are those of the current run, which has not ended.
        """
        if _run_id(old) not in self._ends:
            return self.record_end(old, now)
        for loss in self._losses.pop(_run_id(old), ()):
            self._open_losses(_run_id(current)).append(_Loss(loss.digest, loss.at))
        return None

    def _open_losses(self, run_id: str) -> deque[_Loss]:
        return self._losses.setdefault(run_id, deque(maxlen=_MAX_OPEN_LOSSES))

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
            losses = self._losses.get(_run_id(endpoint))
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
                del self._losses[_run_id(endpoint)]
        self._ends = {
            run_id: end
            for run_id, end in self._ends.items()
            if now - end.at < _END_RETENTION_S
        }
        return closed


def _run_id(endpoint: Endpoint) -> str:
    """Return the id of an endpoint since its listed start time."""
    return f"{endpoint.endpoint_id}@{endpoint.started_at_ms}"


def _crash_id(run_id: str, end: _End) -> str:
    """Return the id of an end, which is the same at all gateways for the first end."""
    return run_id if end.count == 1 else f"{run_id}+{end.count - 1}"

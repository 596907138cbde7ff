"""Matching of lost requests with the ends of the endpoints that ran them.

A request is lost if it reached an endpoint and its response did not end. That alone
does not prove a crash: links fail, and endpoints cut off responses. The loss stays open
until the endpoint is found to have ended or to have lived on. It has lived on if the
list still shows it when the row of a crashed endpoint would have expired. Only reads of
the list count for that, so a loss stays open while the list cannot be read.
"""

from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from slatehoist.gateway.model import Endpoint
from slatehoist.routing import PromptPart

#: Open losses that are kept for each endpoint; the list may be unreadable for long.
_MAX_OPEN_LOSSES = 256
#: Seconds for which the end of an endpoint is remembered: longer than any request that
#: was in flight at that time can last.
_END_RETENTION_S = 60.0


class LostRequest(NamedTuple):
    """Request whose response did not end, or whose end may be due to a crash.

    Attributes
    ----------
    digest : str
        See `slatehoist.gateway.exchange.request_digest`.
    parts : tuple of PromptPart
        Parts of its prompt that other requests may share.
    is_delivered : bool
        True if it has a response that is whole unless its endpoint has crashed.
    has_run : bool
        True if that response shows that the request ran to its end.
    """

    digest: str
    parts: tuple[PromptPart, ...] = ()
    is_delivered: bool = False
    has_run: bool = False


class Crash(NamedTuple):
    """End of an endpoint, and the requests that were lost by it.

    Attributes
    ----------
    lost_at : tuple of float
        Time at which each request was lost; empty if that is not known.
    """

    crash_id: str
    requests: list[LostRequest]
    lost_at: tuple[float, ...] = ()


class _Loss(NamedTuple):
    """Lost request, and the time at which it was lost."""

    request: LostRequest
    at: float


class _End(NamedTuple):
    """Last known end of an endpoint, and the number of ends under its start time."""

    at: float
    count: int


class LossLedger:
    """Keep the open losses and the recent ends of endpoints.

    An endpoint may start again under its id and end again before its new start time is
    read from the list. A request that was sent after the known end and is lost shows
    that it had started again, so the next end is another crash.

    Parameters
    ----------
    row_ttl_s : float
        Longest time in seconds for which the list shows an endpoint that has ended.
    """

    def __init__(self, row_ttl_s: float) -> None:
        self._row_ttl_s = row_ttl_s
        #: Open losses by run; see `Endpoint.run_id`.
        self._losses: dict[str, deque[_Loss]] = {}
        self._ends: dict[str, _End] = {}

    def record_loss(
        self, endpoint: Endpoint, request: LostRequest, sent_at: float, now: float
    ) -> Crash | None:
        """Record a lost request; return a crash if its endpoint has ended since."""
        run_id = endpoint.run_id
        end = self._ends.get(run_id)
        if end is not None and sent_at <= end.at:
            return Crash(_crash_id(run_id, end), [request], (now,))
        self._open_losses(run_id).append(_Loss(request, now))
        return None

    def record_end(self, endpoint: Endpoint, now: float) -> Crash | None:
        """Record that an endpoint ended; return a crash if that explains losses."""
        run_id = endpoint.run_id
        losses = self._losses.pop(run_id, None)
        known = self._ends.get(run_id)
        count = 1 if known is None else known.count + bool(losses)
        end = self._ends[run_id] = _End(now, count)
        self._drop_old_ends(now)
        if not losses:
            return None
        requests = [loss.request for loss in losses]
        lost_at = tuple(loss.at for loss in losses)
        return Crash(_crash_id(run_id, end), requests, lost_at)

    def record_restart(
        self, old: Endpoint, current: Endpoint, now: float
    ) -> Crash | None:
        """Record that an endpoint is listed with a new start time.

        Losses after its known end are those of the current run, which has not ended.
        """
        if old.run_id not in self._ends:
            return self.record_end(old, now)
        for loss in self._losses.pop(old.run_id, ()):
            self._open_losses(current.run_id).append(loss)
        return None

    def observe_list(
        self, listed: Iterable[Endpoint], read_at: float, reliable_since: float
    ) -> list[LostRequest]:
        """Close the losses that their endpoints outlived, and return the requests.

        Parameters
        ----------
        read_at : float
            Time at which the read of the list began.
        reliable_since : float
            Time since which the list could be read and rows have expired as usual.
        """
        run_ids = {endpoint.run_id for endpoint in listed}
        ended_before = read_at - self._row_ttl_s
        if reliable_since > ended_before:
            return []

        def outlived(run_id: str, loss: _Loss) -> bool:
            return run_id in run_ids and loss.at <= ended_before

        closed = [
            loss.request
            for run_id, losses in self._losses.items()
            for loss in losses
            if outlived(run_id, loss)
        ]
        if closed:
            self._keep_losses(lambda run_id, loss: not outlived(run_id, loss))
        return closed

    def _drop_old_ends(self, now: float) -> None:
        self._ends = {
            run_id: end
            for run_id, end in self._ends.items()
            if now - end.at < _END_RETENTION_S
        }

    def _keep_losses(self, is_kept: Callable[[str, _Loss], bool]) -> None:
        for run_id, losses in list(self._losses.items()):
            kept = [loss for loss in losses if is_kept(run_id, loss)]
            if kept:
                self._losses[run_id] = deque(kept, _MAX_OPEN_LOSSES)
            else:
                del self._losses[run_id]

    def _open_losses(self, run_id: str) -> deque[_Loss]:
        return self._losses.setdefault(run_id, deque(maxlen=_MAX_OPEN_LOSSES))


def _crash_id(run_id: str, end: _End) -> str:
    """Return the id of an end, which is the same at all gateways for the first end."""
    return run_id if end.count == 1 else f"{run_id}+{end.count - 1}"

"""Admission to the endpoint: fair queue, adaptive limit, one suspect at a time."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok, Result

from slatehoist.routing import AdaptiveLimit, FairQueue, Ticket
from slatehoist.wire.messages import AttemptRequest, NotRunReason

#: Weight of the newest request in the smoothed tokens per second of one slot.
RATE_SMOOTHING = 0.1
#: Lower bound of the retry delay in a refusal, in seconds.
MIN_RETRY_AFTER_S = 0.5


class Refusal(NamedTuple):
    """Refusal of a request that the endpoint has not seen."""

    reason: NotRunReason
    retry_after_s: float


class Admission:
    """Grant the slots of the endpoint to requests in fair order.

    Parameters
    ----------
    queue : FairQueue
    limit : AdaptiveLimit
    max_wait_s : float
        Longest expected wait at which a request is still queued, in seconds. A higher
        limit would let a backlog persist long after an overload ends.
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        queue: FairQueue,
        limit: AdaptiveLimit,
        max_wait_s: float,
        clock: Callable[[], float],
    ) -> None:
        self.queue = queue
        self.limit = limit
        self.running = 0
        self.draining = False
        self.shed_by_member: dict[str, int] = {}
        self._max_wait_s = max_wait_s
        self._clock = clock
        self._suspect_admitted = False
        self._slot_tokens_per_s = 0.0
        self._started_at: dict[str, float] = {}

    @property
    def load(self) -> float:
        """Return the number of requests running and waiting."""
        return self.running + len(self.queue)

    @property
    def tokens_per_s(self) -> float:
        """Return the tokens per second that all slots together serve when busy."""
        return self._slot_tokens_per_s * self.limit.limit

    async def acquire_slot(
        self, req: AttemptRequest, deadline: float
    ) -> Result[Ticket, Refusal]:
        """Wait for a slot; refuse the request if it would wait too long.

        Returns
        -------
        Ok of Ticket, to be passed to `release_slot`; or Err of Refusal
        """
        now = self._clock()
        if self.draining:
            return Err(Refusal(NotRunReason.DRAINING, MIN_RETRY_AFTER_S))
        if req.suspect and self._suspect_admitted:
            return Err(Refusal(NotRunReason.SUSPECT_BUSY, MIN_RETRY_AFTER_S))
        if req.fail_fast and not self._has_free_slot():
            return Err(Refusal(NotRunReason.BUSY, MIN_RETRY_AFTER_S))
        if self._would_wait_too_long(req, deadline, now):
            return self._refuse(req.member, NotRunReason.DEADLINE)
        self._suspect_admitted |= req.suspect
        fut = asyncio.get_running_loop().create_future()
        # The item of a ticket holds the future that ends the wait, and the request.
        ticket = Ticket(
            req.member, req.team, req.cost, req.priority, deadline, (fut, req)
        )
        for evicted in self.queue.push(ticket, now):
            self._refuse_ticket(evicted, now)
        self.fill_slots()
        try:
            refusal = await fut
        except asyncio.CancelledError:
            self._withdraw(ticket, fut)
            raise
        if refusal is not None:
            self._release_suspect(req)
            return Err(refusal)
        return Ok(ticket)

    def release_slot(self, ticket: Ticket, tokens: float) -> None:
        """Release a slot and charge the tokens that were served."""
        self.running -= 1
        self._release_suspect(ticket.item[1])
        self.queue.correct_charge(ticket, tokens)
        self._record_slot_rate(ticket.item[1].attempt_id, tokens)
        self.fill_slots()

    def fill_slots(self) -> None:
        """Grant the free slots to waiting requests."""
        now = self._clock()
        while self.running < self.limit.limit and len(self.queue):
            ticket, expired_tickets = self.queue.pop(now)
            for expired in expired_tickets:
                self._refuse_ticket(expired, now)
            if ticket is None:
                return
            if ticket.item[0].done():
                # The request was cancelled, but its task has not run since.
                self.queue.correct_charge(ticket, 0.0)
                continue
            self.running += 1
            self._started_at[ticket.item[1].attempt_id] = now
            ticket.item[0].set_result(None)

    def drop_expired(self) -> None:
        """Refuse waiting requests whose deadline has passed, then fill the slots."""
        now = self._clock()
        for expired in self.queue.expire(now):
            self._refuse_ticket(expired, now)
        self.fill_slots()

    def refuse_waiting(self, reason: NotRunReason) -> None:
        """Refuse all waiting requests, for example because the sidecar is draining."""
        while len(self.queue):
            # No deadline has passed at minus infinity, so `expired` is empty.
            ticket, expired = self.queue.pop(float("-inf"))
            for waiting in [*expired, *([ticket] if ticket else [])]:
                self.queue.correct_charge(waiting, 0.0)
                _resolve(waiting, Refusal(reason, MIN_RETRY_AFTER_S))

    def retry_after_s(self, member: str) -> float:
        """Return the retry delay for a member's refused request, in seconds.

        It is the estimated wait of a new request, but at least `MIN_RETRY_AFTER_S`.
        """
        return max(
            self.queue.expected_wait_s(member, self.tokens_per_s), MIN_RETRY_AFTER_S
        )

    def _record_slot_rate(self, attempt_id: str, tokens: float) -> None:
        """Update the smoothed rate of one slot from a request that ended.

        The rate is measured per request. A rate over wall-clock time would fall while
        the endpoint is idle, and the next burst would be refused although its queue
        would be short-lived.
        """
        seconds = self._clock() - self._started_at.pop(attempt_id)
        if tokens <= 0 or seconds <= 0:
            return
        rate = tokens / seconds
        weight = RATE_SMOOTHING if self._slot_tokens_per_s else 1.0
        self._slot_tokens_per_s += weight * (rate - self._slot_tokens_per_s)

    def _has_free_slot(self) -> bool:
        return self.running < self.limit.limit and not len(self.queue)

    def _would_wait_too_long(
        self, req: AttemptRequest, deadline: float, now: float
    ) -> bool:
        """Return True if the expected wait exceeds the deadline or `max_wait_s`.

        The reason of the refusal is ``DEADLINE`` in both cases.
        """
        if deadline <= now:
            return True
        wait_s = self.queue.expected_wait_s(req.member, self.tokens_per_s)
        return wait_s > min(deadline - now, self._max_wait_s)

    def _refuse_ticket(self, ticket: Ticket, now: float) -> None:
        expired = ticket.deadline <= now
        reason = NotRunReason.DEADLINE if expired else NotRunReason.OVER_SHARE
        _resolve(ticket, self._refuse(ticket.member, reason).unwrap_err())

    def _refuse(self, member: str, reason: NotRunReason) -> Result[Ticket, Refusal]:
        self.shed_by_member[member] = self.shed_by_member.get(member, 0) + 1
        return Err(Refusal(reason, max(self.retry_after_s(member), MIN_RETRY_AFTER_S)))

    def _withdraw(self, ticket: Ticket, fut: asyncio.Future) -> None:
        """Withdraw a cancelled request's ticket: queued, granted or already refused."""
        if self.queue.remove(ticket):
            self._release_suspect(ticket.item[1])
        elif fut.done() and not fut.cancelled() and fut.result() is None:
            self.release_slot(ticket, 0.0)
        else:
            self._release_suspect(ticket.item[1])

    def _release_suspect(self, req: AttemptRequest) -> None:
        if req.suspect:
            self._suspect_admitted = False


def _resolve(ticket: Ticket, refusal: Refusal) -> None:
    fut = ticket.item[0]
    if not fut.done():
        fut.set_result(refusal)

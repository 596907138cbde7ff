"""Attempts at one endpoint: the response and the outcome of each.

An attempt outlives the connection on which it arrived. An entry that lost its
connection queries the attempt on a new one and continues with the next frame. A query
for an attempt that has not arrived leaves a tombstone, so that the attempt is refused
if it arrives later. Without a tombstone, the attempt could run after the reply "not
run".
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import xxhash

from slatehoist.wire import encode_frame
from slatehoist.wire.messages import (
    AttemptRequest,
    AttemptState,
    Broken,
    CrashReport,
    Data,
    Final,
    Head,
    NotRun,
    NotRunReason,
)

#: Largest response that is buffered for readers that reconnect, in bytes per attempt.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
#: Seconds that a tombstone is kept; longer than a message can be delayed.
TOMBSTONE_RETENTION_S = 600.0
#: Seconds that the record of an attempt that ran is kept after its response is dropped.
RAN_RETENTION_S = 600.0
#: The same for an attempt with an idempotency key, in seconds; equal to the lifetime of
#: the key's claim.
KEYED_RAN_RETENTION_S = 24 * 3600.0
#: Seconds that the response to a request with an idempotency key is kept.
KEYED_RESPONSE_RETENTION_S = 600.0


class Attempt:
    """One attempt, the frames of its response, and its outcome."""

    def __init__(self, req: AttemptRequest, now: float) -> None:
        self.req = req
        self.deadline = now + req.deadline_s
        self.state = AttemptState.QUEUED
        self.head: Head | None = None
        self.frames: list[bytes] = []
        self.outcome: Final | NotRun | Broken | None = None
        self.ended_at: float | None = None
        self.last_reader_at = now
        self.readers = 0
        self.tokens = 0
        self.endpoint_incarnation = ""
        self.task: asyncio.Task | None = None
        self._bytes = 0
        self._digest = xxhash.xxh3_64(req.attempt_id.encode())
        self._waiters: set[asyncio.Future] = set()

    def set_head(self, head: Head) -> None:
        """Store the response's status and headers, and wake the readers."""
        self.head = head
        self.wake_readers()

    def append_data(self, data: bytes) -> bool:
        """Append to the response's body; return False if the buffer is full."""
        self._bytes += len(data)
        if self._bytes > MAX_RESPONSE_BYTES:
            return False
        self._digest.update(data)
        self.frames.append(encode_frame(Data(len(self.frames), data)))
        self.wake_readers()
        return True

    def finish(self, load: float, now: float) -> None:
        """End with a complete response."""
        count = len(self.frames)
        digest = self._digest.hexdigest()
        final = Final(self.req.attempt_id, count, digest, self.tokens, load)
        self._end(AttemptState.FINISHED, final, now)

    def refuse(
        self, reason: NotRunReason, retry_after_s: float, load: float, now: float
    ) -> None:
        """End as not run; the endpoint did not see the request."""
        outcome = NotRun(self.req.attempt_id, reason, retry_after_s, load)
        self._end(AttemptState.NOT_RUN, outcome, now)

    def fail(self, outcome: Broken, now: float) -> None:
        """End without a complete response; the request may have run."""
        self._end(AttemptState.BROKEN, outcome, now)

    def wake_readers(self) -> None:
        """Wake all readers, to send new frames or a keep-alive frame."""
        for fut in self._waiters:
            if not fut.done():
                fut.set_result(None)
        self._waiters.clear()

    async def wait_for_change(self) -> None:
        """Wait until the next call of `wake_readers`."""
        fut = asyncio.get_running_loop().create_future()
        self._waiters.add(fut)
        try:
            await fut
        finally:
            self._waiters.discard(fut)

    def _end(
        self, state: AttemptState, outcome: Final | NotRun | Broken, now: float
    ) -> None:
        if self.outcome is not None:
            return
        self.state = state
        self.outcome = outcome
        self.ended_at = now
        self.wake_readers()


class AttemptTable:
    """Table of the attempts at one incarnation of a sidecar.

    Parameters
    ----------
    retain_s : float
        Seconds that the response of an ended attempt without an idempotency key is
        kept.
    """

    def __init__(self, retain_s: float) -> None:
        self._retain_s = retain_s
        self._attempts: dict[str, Attempt] = {}
        self._tombstones: dict[str, float] = {}
        self._ran: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._attempts)

    def get(self, attempt_id: str) -> Attempt | None:
        """Return an attempt, or None if it is unknown or was dropped."""
        return self._attempts.get(attempt_id)

    def add(self, req: AttemptRequest, now: float) -> Attempt | None:
        """Add a new attempt; return None if it has a tombstone or has run already.

        The caller ensures that the table does not hold the attempt yet.
        """
        if req.attempt_id in self._tombstones or req.attempt_id in self._ran:
            return None
        attempt = Attempt(req, now)
        self._attempts[req.attempt_id] = attempt
        return attempt

    def state(self, attempt_id: str, now: float) -> AttemptState:
        """Return the state of an attempt; leave a tombstone if it never arrived.

        An attempt that ran counts as broken once its response was dropped.
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is not None:
            return attempt.state
        if attempt_id in self._ran:
            return AttemptState.BROKEN
        self.add_tombstone(attempt_id, now)
        return AttemptState.NEVER_SEEN

    def has_run(self, attempt_id: str) -> bool:
        """Return True if an attempt ran and its response was dropped."""
        return attempt_id in self._ran

    def add_tombstone(self, attempt_id: str, now: float) -> None:
        """Add a tombstone, so that the attempt is refused if it arrives later."""
        self._tombstones[attempt_id] = now + TOMBSTONE_RETENTION_S

    def live(self) -> list[Attempt]:
        """Return the attempts that have not ended."""
        return [a for a in self._attempts.values() if a.outcome is None]

    def running_digests(self, incarnation: str) -> list[str]:
        """Return the sorted digests of the requests running on an incarnation."""
        running = (a for a in self.live() if a.state == AttemptState.RUNNING)
        return sorted(
            {a.req.digest for a in running if a.endpoint_incarnation == incarnation}
        )

    def sweep(self, now: float, orphan_s: float) -> list[Attempt]:
        """Remove expired responses, records and tombstones; return the orphans.

        An orphan is an attempt without an idempotency key that has not ended and has
        had no reader for ``orphan_s`` seconds.
        """
        for attempt in list(self._attempts.values()):
            keyed = attempt.req.keyed
            retain_s = KEYED_RESPONSE_RETENTION_S if keyed else self._retain_s
            if attempt.ended_at is not None and now - attempt.ended_at > retain_s:
                self._drop_response(attempt, now)
        for expirations in (self._tombstones, self._ran):
            for attempt_id, expires in list(expirations.items()):
                if expires <= now:
                    del expirations[attempt_id]
        return [
            attempt
            for attempt in self.live()
            if not attempt.readers
            and not attempt.req.keyed
            and now - attempt.last_reader_at > orphan_s
        ]

    def _drop_response(self, attempt: Attempt, now: float) -> None:
        """Drop an ended attempt's response, but keep the record of whether it ran."""
        attempt_id = attempt.req.attempt_id
        del self._attempts[attempt_id]
        if attempt.state == AttemptState.NOT_RUN:
            self.add_tombstone(attempt_id, now)
            return
        retention_s = KEYED_RAN_RETENTION_S if attempt.req.keyed else RAN_RETENTION_S
        self._ran[attempt_id] = now + retention_s


class Loss(NamedTuple):
    """Request that ended without a response while an incarnation ran it."""

    digest: str
    at: float


class CrashLog:
    """Record of which requests were in flight at each crash of the endpoint.

    All attempts that a crash ended report the same id and digests. A request that ended
    before, for example by its deadline at an endpoint that had fallen silent, is part
    of the crash unless the endpoint was seen alive since.
    """

    def __init__(
        self, endpoint: str, running_digests: Callable[[str], list[str]]
    ) -> None:
        self._endpoint = endpoint
        self._running_digests = running_digests
        self._crashes: dict[str, list[str]] = {}
        #: Incarnation that was last seen, and the requests lost at it since.
        self._incarnation = ""
        self._losses: list[Loss] = []

    def record_loss(self, incarnation: str, digest: str, now: float) -> None:
        """Record a request that ended without a response."""
        if incarnation != self._incarnation:
            self._incarnation, self._losses = incarnation, []
        self._losses.append(Loss(digest, now))

    def observe_incarnation(
        self, incarnation: str, sent_at: float
    ) -> CrashReport | None:
        """Record that an incarnation runs; return a crash of the one before, if any.

        Parameters
        ----------
        sent_at : float
            Time at which the incarnation was requested.
        """
        if incarnation != self._incarnation and self._losses:
            return CrashReport(*self.record_crash(self._incarnation))
        self._losses = [loss for loss in self._losses if loss.at >= sent_at]
        return None

    def record_crash(self, incarnation: str) -> tuple[str, list[str]]:
        """Return the crash id of an incarnation and the digests in flight at the crash.

        The first call for an incarnation takes the digests; later calls repeat them.
        """
        crash_id = f"{self._endpoint}/{incarnation}"
        if crash_id not in self._crashes:
            digests = set(self._running_digests(incarnation))
            if incarnation == self._incarnation:
                digests |= {loss.digest for loss in self._losses}
                self._losses = []
            self._crashes[crash_id] = sorted(digests)
        return crash_id, self._crashes[crash_id]

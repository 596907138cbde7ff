"""Attempts at one endpoint: what each has produced, and what became of it.

An attempt outlives the connection that brought it. An entry that lost its connection
asks on a new one and reads on from the next frame. Asking for an attempt that never
arrived leaves a tombstone, so that a late arrival is refused: only then is "not run"
true.
"""

import asyncio
from collections.abc import Callable

import xxhash

from slatehoist.wire import encode_frame
from slatehoist.wire.messages import (
    AttemptRequest,
    AttemptState,
    Broken,
    Data,
    Final,
    Head,
    NotRun,
    NotRunReason,
)

#: Most bytes of an answer that are kept for reading on, per attempt.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
#: Seconds that a tombstone is kept; longer than a message can be late.
TOMBSTONE_RETENTION_S = 600.0
#: Seconds for which it is remembered that an attempt ran, when its answer is gone.
RAN_RETENTION_S = 600.0
#: The same for an attempt with an idempotency key; as long as its claim lives.
KEYED_RAN_RETENTION_S = 24 * 3600.0
#: Seconds for which the answer to a request with an idempotency key is kept.
KEYED_ANSWER_RETENTION_S = 600.0


class Attempt:
    """One attempt and the frames of its answer."""

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
        """Note the answer's status and headers."""
        self.head = head
        self.wake_readers()

    def append_data(self, data: bytes) -> bool:
        """Add a piece of the answer; False if there is no room for it."""
        self._bytes += len(data)
        if self._bytes > MAX_ANSWER_BYTES:
            return False
        self._digest.update(data)
        self.frames.append(encode_frame(Data(len(self.frames), data)))
        self.wake_readers()
        return True

    def finish(self, load: float, now: float) -> None:
        """End with a whole answer."""
        count = len(self.frames)
        digest = self._digest.hexdigest()
        final = Final(self.req.attempt_id, count, digest, self.tokens, load)
        self._end(AttemptState.FINISHED, final, now)

    def refuse(
        self, reason: NotRunReason, retry_after_s: float, load: float, now: float
    ) -> None:
        """End without having run."""
        outcome = NotRun(self.req.attempt_id, reason, retry_after_s, load)
        self._end(AttemptState.NOT_RUN, outcome, now)

    def fail(self, outcome: Broken, now: float) -> None:
        """End without a whole answer."""
        self._end(AttemptState.BROKEN, outcome, now)

    def wake_readers(self) -> None:
        """Wake all readers, to send what is new or a sign of life."""
        for fut in self._waiters:
            if not fut.done():
                fut.set_result(None)
        self._waiters.clear()

    async def wait_for_change(self) -> None:
        """Wait until the next `wake_readers`."""
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
    """All attempts of one incarnation of a sidecar.

    Parameters
    ----------
    retain_s : float
        Seconds that an ended attempt stays readable.
    """

    def __init__(self, retain_s: float) -> None:
        self._retain_s = retain_s
        self._attempts: dict[str, Attempt] = {}
        self._tombstones: dict[str, float] = {}
        self._ran: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._attempts)

    def get(self, attempt_id: str) -> Attempt | None:
        """Give a known attempt, or None."""
        return self._attempts.get(attempt_id)

    def add(self, req: AttemptRequest, now: float) -> Attempt | None:
        """Enter a new attempt; None if a tombstone forbids it.

        The caller makes sure that the attempt is not known yet.
        """
        if req.attempt_id in self._tombstones or req.attempt_id in self._ran:
            return None
        attempt = Attempt(req, now)
        self._attempts[req.attempt_id] = attempt
        return attempt

    def state(self, attempt_id: str, now: float) -> AttemptState:
        """Tell what became of an attempt; one never seen is forbidden for good."""
        attempt = self._attempts.get(attempt_id)
        if attempt is not None:
            return attempt.state
        if attempt_id in self._ran:
            return AttemptState.BROKEN
        self.add_tombstone(attempt_id, now)
        return AttemptState.NEVER_SEEN

    def has_run(self, attempt_id: str) -> bool:
        """Tell whether an attempt ran whose answer is gone."""
        return attempt_id in self._ran

    def add_tombstone(self, attempt_id: str, now: float) -> None:
        """Leave a tombstone for an attempt that never arrived."""
        self._tombstones[attempt_id] = now + TOMBSTONE_RETENTION_S

    def live(self) -> list[Attempt]:
        """Give the attempts that have not ended."""
        return [a for a in self._attempts.values() if a.outcome is None]

    def running_digests(self, incarnation: str) -> list[str]:
        """Give the requests that an incarnation of the endpoint is working on."""
        running = (a for a in self.live() if a.state == AttemptState.RUNNING)
        return sorted(
            {a.req.digest for a in running if a.endpoint_incarnation == incarnation}
        )

    def sweep(self, now: float, orphan_s: float) -> list[Attempt]:
        """Forget what is old, and give the attempts that nobody reads any more."""
        for attempt in list(self._attempts.values()):
            keyed = attempt.req.keyed
            retain_s = KEYED_ANSWER_RETENTION_S if keyed else self._retain_s
            if attempt.ended_at is not None and now - attempt.ended_at > retain_s:
                self._drop_answer(attempt, now)
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

    def _drop_answer(self, attempt: Attempt, now: float) -> None:
        """Drop an ended attempt's answer, but not the fact that it ran or did not."""
        attempt_id = attempt.req.attempt_id
        del self._attempts[attempt_id]
        if attempt.state == AttemptState.NOT_RUN:
            self.add_tombstone(attempt_id, now)
            return
        retention_s = KEYED_RAN_RETENTION_S if attempt.req.keyed else RAN_RETENTION_S
        self._ran[attempt_id] = now + retention_s


class CrashLog:
    """Agree, within one sidecar, on which requests were in flight at a crash."""

    def __init__(
        self, endpoint: str, running_digests: Callable[[str], list[str]]
    ) -> None:
        self._endpoint = endpoint
        self._running_digests = running_digests
        self._crashes: dict[str, list[str]] = {}

    def record_crash(self, incarnation: str) -> tuple[str, list[str]]:
        """Give the id and the digests of the crash of an endpoint's incarnation."""
        crash_id = f"{self._endpoint}/{incarnation}"
        if crash_id not in self._crashes:
            self._crashes[crash_id] = self._running_digests(incarnation)
        return crash_id, self._crashes[crash_id]

"""Requests with an idempotency key: claimed before they are sent, replayed after.

The claim's row names the attempt and its sidecar. An entry that finds a claim asks
that sidecar: an attempt that never arrived is forbidden for good there and taken over
here; a running one is said to be running; a finished one is replayed.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

from slatehoist.coord import Claim, ClaimState, ClaimStore
from slatehoist.coord.claims import CLAIM_LIFETIME_S, CLAIMS
from slatehoist.daemon.background import Background
from slatehoist.daemon.entry.answers import CallerAnswer, CallerError, Ran
from slatehoist.daemon.entry.attempts import (
    AttemptClient,
    IncarnationGoneError,
    Outcome,
)
from slatehoist.daemon.entry.directory import Directory, PeerInstance
from slatehoist.routing import home_entry
from slatehoist.storage import ObjectStore, PlatformError
from slatehoist.wire.messages import AttemptState, Final, Head, NotRun

log = logging.getLogger(__name__)

#: Answers up to this many bytes are kept in the claim's row, others as objects.
MAX_INLINE_BYTES = 32 * 1024
#: Expired claims deleted at a time, and seconds between looks for them.
MAX_COLLECTED = 500
COLLECT_S = 600.0
#: Times that a claim is written again after it was found free.
MAX_TAKE_OVERS = 3
#: Seconds after which a caller whose request still runs should ask again.
STILL_RUNNING_RETRY_S = 1.0

_HTTP_CONFLICT = 409
_HTTP_UNAVAILABLE = 503
_HTTP_UNPROCESSABLE = 422

KEY_REUSED = CallerError(
    _HTTP_UNPROCESSABLE, "key_reused", "the key was used with another request"
)
STILL_RUNNING = CallerError(
    _HTTP_CONFLICT,
    "still_running",
    "the request with this key still runs; ask again with the same key",
    Ran.YES,
    STILL_RUNNING_RETRY_S,
)
IN_DOUBT = CallerError(
    _HTTP_CONFLICT,
    "in_doubt",
    "it cannot be told now whether the request ran; ask again with the same key",
    Ran.UNKNOWN,
    STILL_RUNNING_RETRY_S,
)
OUTCOME_UNKNOWN = CallerError(
    _HTTP_CONFLICT,
    "outcome_unknown",
    "the request may have run and its answer is lost; do not repeat it",
    Ran.UNKNOWN,
)
STORE_DOWN = CallerError(
    _HTTP_UNAVAILABLE,
    "store_down",
    "the key cannot be claimed now, so the request was not run",
    Ran.NO,
    2.0,
)


class Replay(NamedTuple):
    """Recorded answer to be sent instead of running the request again."""

    head: Head
    body: bytes


class KeyedRequest:
    """Claim of one caller's request, from its first send to its record.

    Parameters
    ----------
    key : str
        Key of the claim, with member and team.
    digest : str
        Digest of the request.
    """

    def __init__(self, keeper: "ClaimKeeper", key: str, digest: str) -> None:
        self._keeper = keeper
        self._key = key
        self._digest = digest
        self._claim: Claim | None = None

    async def before_send(
        self, peer: PeerInstance, attempt_id: str
    ) -> CallerError | Replay | None:
        """Claim the key for an attempt; anything but None forbids to send it."""
        claim = Claim(
            key=self._key,
            digest=self._digest,
            attempt_id=attempt_id,
            instance=peer.instance.name,
            address=peer.instance.address,
            incarnation=peer.beat.incarnation,
            expires=self._keeper.wall_clock() + CLAIM_LIFETIME_S,
            version=self._claim.version if self._claim else 0,
        )
        for _ in range(MAX_TAKE_OVERS):
            try:
                standing = await self._keeper.book.write(claim)
            except PlatformError:
                return STORE_DOWN
            if standing.attempt_id == attempt_id:
                self._claim = standing
                return None
            found = await self._keeper.look_into(standing, self._digest)
            if found is not None:
                return found
            claim = claim._replace(version=standing.version)
        return IN_DOUBT

    def ended(self, outcome: Outcome, answer: CallerAnswer) -> None:
        """Note in the claim's row how the request ended."""
        if self._claim is None:
            return
        if isinstance(outcome, NotRun):
            self._keeper.release(self._claim)
        elif isinstance(outcome, Final):
            self._keeper.record(self._claim, answer.head, answer.body)
        else:
            self._keeper.mark_unknown(self._claim)


class ClaimKeeper:
    """Claims of one entry.

    Parameters
    ----------
    book : ClaimStore
    objects : ObjectStore
        Keeps the answers that are too large for a row.
    wall_clock : callable
        Time of day in seconds, for the expiry that rows carry.
    """

    def __init__(
        self,
        book: ClaimStore,
        objects: ObjectStore,
        client: AttemptClient,
        directory: Directory,
        background: Background,
        wall_clock: Callable[[], float],
    ) -> None:
        self.book = book
        self.wall_clock = wall_clock
        self._objects = objects
        self._client = client
        self._directory = directory
        self._background = background

    def keyed(self, member: str, team: str, key: str, digest: str) -> KeyedRequest:
        """Start a request that has a key."""
        return KeyedRequest(self, f"{member}/{team}/{key}", digest)

    async def look_into(
        self, standing: Claim, digest: str
    ) -> CallerError | Replay | None:
        """Find out what became of a claim; None if it can be taken over."""
        if standing.state == ClaimState.RELEASED:
            return None
        if standing.digest != digest:
            return KEY_REUSED
        if standing.state == ClaimState.FINISHED:
            return await self._replay(standing)
        if standing.state == ClaimState.UNKNOWN:
            return OUTCOME_UNKNOWN
        return await self._ask_sidecar(standing)

    async def collect(self) -> None:
        """Delete the claims that have expired, at one entry for all."""
        heard = [name for name, n in self._directory.entries.items() if n.up]
        me = self._directory.me.name
        if home_entry(CLAIMS, [me, *heard]) != me:
            return
        try:
            await self.book.delete_expired(self.wall_clock(), MAX_COLLECTED)
        except PlatformError as exc:
            log.info("claims_not_collected", extra={"why": exc})

    def record(self, claim: Claim, head: Head, body: bytes) -> None:
        """Write the answer into the claim's row, in the background."""
        self._background.spawn(self._record(claim, head, body))

    def mark_unknown(self, claim: Claim) -> None:
        """Write that the outcome is unknown, in the background."""
        self._background.spawn(self._write(claim._replace(state=ClaimState.UNKNOWN)))

    def release(self, claim: Claim) -> None:
        """Free the key of a request that did not run, in the background."""
        self._background.spawn(self._release(claim))

    async def _ask_sidecar(self, standing: Claim) -> CallerError | Replay | None:
        try:
            state = await self._client.state(
                standing.address, standing.incarnation, standing.attempt_id
            )
        except IncarnationGoneError:
            state = None
            gone = True
        else:
            gone = state is None and not self._is_listed(standing.instance)
        if state in (AttemptState.NEVER_SEEN, AttemptState.NOT_RUN):
            return None
        if state in (AttemptState.QUEUED, AttemptState.RUNNING):
            return STILL_RUNNING
        if state == AttemptState.FINISHED:
            return await self._fetch(standing)
        if gone or state == AttemptState.BROKEN:
            self.mark_unknown(standing)
            return OUTCOME_UNKNOWN
        return IN_DOUBT

    async def _fetch(self, standing: Claim) -> CallerError | Replay:
        """Read a finished answer from its sidecar and record it."""
        head, body, outcome = Head(0, {}), b"", None
        answer = self._client.ask(
            standing.address, standing.incarnation, standing.attempt_id
        )
        async for piece in answer:
            if isinstance(piece, Head):
                head = piece
            elif isinstance(piece, bytes):
                body += piece
            else:
                outcome = piece
        if not isinstance(outcome, Final):
            return IN_DOUBT
        self.record(standing, head, body)
        return Replay(head, body)

    async def _replay(self, standing: Claim) -> CallerError | Replay:
        record = standing.record
        head = Head(record["status"], record["headers"])
        if "body" in record:
            return Replay(head, record["body"].encode("latin-1"))
        try:
            body = await self._objects.get(record["object"])
        except PlatformError:
            return IN_DOUBT
        return OUTCOME_UNKNOWN if body is None else Replay(head, body)

    async def _record(self, claim: Claim, head: Head, body: bytes) -> None:
        record = {"status": head.status, "headers": head.headers}
        try:
            if len(body) <= MAX_INLINE_BYTES:
                record["body"] = body.decode("latin-1")
            else:
                record["object"] = f"answers/{claim.attempt_id}"
                await self._objects.put(record["object"], body)
        except PlatformError:
            return
        await self._write(claim._replace(state=ClaimState.FINISHED, record=record))

    async def _write(self, claim: Claim) -> None:
        """Write a claim; if that fails, its sidecar can still be asked."""
        try:
            await self.book.write(claim)
        except PlatformError as exc:
            log.warning("claim_not_written", extra={"key": claim.key, "why": exc})

    async def _release(self, claim: Claim) -> None:
        try:
            await self.book.release(claim)
        except PlatformError as exc:
            log.warning("claim_not_released", extra={"key": claim.key, "why": exc})

    def _is_listed(self, instance: str) -> bool:
        return any(i.name == instance for i in self._directory.instances)

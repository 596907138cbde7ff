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
MAX_DELETED = 500
DELETE_EXPIRED_INTERVAL_S = 600.0
#: Times that a claim is written again after it was found free.
MAX_CLAIM_WRITES = 3
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

    def __init__(self, manager: "ClaimManager", key: str, digest: str) -> None:
        self._manager = manager
        self._key = key
        self._digest = digest
        self._claim: Claim | None = None

    async def claim_key(
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
            expires=self._manager.wall_clock() + CLAIM_LIFETIME_S,
            version=self._claim.version if self._claim else 0,
        )
        for _ in range(MAX_CLAIM_WRITES):
            try:
                existing = await self._manager.store.write(claim)
            except PlatformError:
                return STORE_DOWN
            if existing.attempt_id == attempt_id:
                self._claim = existing
                return None
            found = await self._manager.resolve_claim(existing, self._digest)
            if found is not None:
                return found
            claim = claim._replace(version=existing.version)
        return IN_DOUBT

    def record_outcome(self, outcome: Outcome, answer: CallerAnswer) -> None:
        """Note in the claim's row how the request ended."""
        if self._claim is None:
            return
        if isinstance(outcome, NotRun):
            self._manager.release(self._claim)
        elif isinstance(outcome, Final):
            self._manager.record_answer(self._claim, answer.head, answer.body)
        else:
            self._manager.mark_unknown(self._claim)


class ClaimManager:
    """Claims of one entry.

    Parameters
    ----------
    store : ClaimStore
    objects : ObjectStore
        Keeps the answers that are too large for a row.
    wall_clock : callable
        Time of day in seconds, for the expiry that rows carry.
    """

    def __init__(
        self,
        store: ClaimStore,
        objects: ObjectStore,
        client: AttemptClient,
        directory: Directory,
        background: Background,
        wall_clock: Callable[[], float],
    ) -> None:
        self.store = store
        self.wall_clock = wall_clock
        self._objects = objects
        self._client = client
        self._directory = directory
        self._background = background

    def keyed_request(
        self, member: str, team: str, key: str, digest: str
    ) -> KeyedRequest:
        """Start a request that has a key."""
        return KeyedRequest(self, f"{member}/{team}/{key}", digest)

    async def resolve_claim(
        self, existing: Claim, digest: str
    ) -> CallerError | Replay | None:
        """Find out what became of a claim; None if it can be taken over."""
        if existing.state == ClaimState.RELEASED:
            return None
        if existing.digest != digest:
            return KEY_REUSED
        if existing.state == ClaimState.FINISHED:
            return await self._replay(existing)
        if existing.state == ClaimState.UNKNOWN:
            return OUTCOME_UNKNOWN
        return await self._query_sidecar(existing)

    async def delete_expired(self) -> None:
        """Delete the claims that have expired, at one entry for all."""
        live = [name for name, peer in self._directory.entries.items() if peer.up]
        me = self._directory.me.name
        if home_entry(CLAIMS, [me, *live]) != me:
            return
        try:
            await self.store.delete_expired(self.wall_clock(), MAX_DELETED)
        except PlatformError as exc:
            log.info("expired_claims_not_deleted", extra={"why": exc})

    def record_answer(self, claim: Claim, head: Head, body: bytes) -> None:
        """Write the answer into the claim's row, in the background."""
        self._background.spawn(self._write_answer(claim, head, body))

    def mark_unknown(self, claim: Claim) -> None:
        """Write that the outcome is unknown, in the background."""
        self._background.spawn(self._write(claim._replace(state=ClaimState.UNKNOWN)))

    def release(self, claim: Claim) -> None:
        """Free the key of a request that did not run, in the background."""
        self._background.spawn(self._release(claim))

    async def _query_sidecar(self, existing: Claim) -> CallerError | Replay | None:
        try:
            state = await self._client.query_state(
                existing.address, existing.incarnation, existing.attempt_id
            )
        except IncarnationGoneError:
            state = None
            sidecar_gone = True
        else:
            sidecar_gone = state is None and not self._is_listed(existing.instance)
        if state in (AttemptState.NEVER_SEEN, AttemptState.NOT_RUN):
            return None
        if state in (AttemptState.QUEUED, AttemptState.RUNNING):
            return STILL_RUNNING
        if state == AttemptState.FINISHED:
            return await self._fetch_answer(existing)
        if sidecar_gone or state == AttemptState.BROKEN:
            self.mark_unknown(existing)
            return OUTCOME_UNKNOWN
        return IN_DOUBT

    async def _fetch_answer(self, existing: Claim) -> CallerError | Replay:
        """Read a finished answer from its sidecar and record it."""
        head, body, outcome = Head(0, {}), b"", None
        answer = self._client.fetch_answer(
            existing.address, existing.incarnation, existing.attempt_id
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
        self.record_answer(existing, head, body)
        return Replay(head, body)

    async def _replay(self, existing: Claim) -> CallerError | Replay:
        record = existing.record
        head = Head(record["status"], record["headers"])
        if "body" in record:
            return Replay(head, record["body"].encode("latin-1"))
        try:
            body = await self._objects.get(record["object"])
        except PlatformError:
            return IN_DOUBT
        return OUTCOME_UNKNOWN if body is None else Replay(head, body)

    async def _write_answer(self, claim: Claim, head: Head, body: bytes) -> None:
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
            await self.store.write(claim)
        except PlatformError as exc:
            log.warning("claim_not_written", extra={"key": claim.key, "why": exc})

    async def _release(self, claim: Claim) -> None:
        try:
            await self.store.release(claim)
        except PlatformError as exc:
            log.warning("claim_not_released", extra={"key": claim.key, "why": exc})

    def _is_listed(self, instance: str) -> bool:
        return any(i.name == instance for i in self._directory.instances)

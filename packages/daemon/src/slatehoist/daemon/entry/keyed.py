"""Requests with an idempotency key: claim the key before each attempt, replay answers.

The claim's row names the attempt and its sidecar. An entry that finds an existing claim
queries that sidecar. If the attempt never arrived, the sidecar refuses it from then on
and the entry takes over the claim. If the attempt is running, the caller gets an error
that says so. If it has finished, its answer is replayed.
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

#: Largest answer in bytes stored in the claim's row; larger ones become objects.
MAX_INLINE_BYTES = 32 * 1024
#: Maximum expired claims deleted in one pass, and the seconds between passes.
MAX_DELETED = 500
DELETE_EXPIRED_INTERVAL_S = 600.0
#: Maximum writes of one claim; each repeat tries to take over an existing claim.
MAX_CLAIM_WRITES = 3
#: Seconds after which the caller of an unfinished request should repeat it.
STILL_RUNNING_RETRY_S = 1.0

_HTTP_CONFLICT = 409
_HTTP_UNAVAILABLE = 503
_HTTP_UNPROCESSABLE = 422

KEY_REUSED = CallerError(
    _HTTP_UNPROCESSABLE,
    "key_reused",
    "the idempotency key was used with a different request",
)
STILL_RUNNING = CallerError(
    _HTTP_CONFLICT,
    "still_running",
    "the request with this key is still running; retry with the same key",
    Ran.YES,
    STILL_RUNNING_RETRY_S,
)
IN_DOUBT = CallerError(
    _HTTP_CONFLICT,
    "in_doubt",
    "it is not known yet whether the request ran; retry with the same key",
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
    "the idempotency key cannot be claimed now; the request did not run",
    Ran.NO,
    2.0,
)


class Replay(NamedTuple):
    """Recorded answer, sent instead of running the request again."""

    head: Head
    body: bytes


class KeyedRequest:
    """Claim the idempotency key of one request and record its outcome.

    Parameters
    ----------
    key : str
        Key of the claim: member, team and idempotency key.
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
        """Claim the key for an attempt; return None if the attempt may be sent.

        Otherwise return the error or the recorded answer for the caller.
        """
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
            claim_answer = await self._manager.resolve_claim(existing, self._digest)
            if claim_answer is not None:
                return claim_answer
            claim = claim._replace(version=existing.version)
        return IN_DOUBT

    def record_outcome(self, outcome: Outcome, answer: CallerAnswer) -> None:
        """Record the outcome of the request in the claim's row."""
        if self._claim is None:
            return
        if isinstance(outcome, NotRun):
            self._manager.release(self._claim)
        elif isinstance(outcome, Final):
            self._manager.record_answer(self._claim, answer.head, answer.body)
        else:
            self._manager.mark_unknown(self._claim)


class ClaimManager:
    """Resolve and record claims of idempotency keys for one entry.

    Parameters
    ----------
    store : ClaimStore
    objects : ObjectStore
        Stores the answers that are too large for a row.
    wall_clock : callable
        Returns wall-clock time in seconds, by which claims expire.
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
        """Return the ``KeyedRequest`` of a request that has an idempotency key."""
        return KeyedRequest(self, f"{member}/{team}/{key}", digest)

    async def resolve_claim(
        self, existing: Claim, digest: str
    ) -> CallerError | Replay | None:
        """Return the answer for an existing claim, or None if it can be taken over."""
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
        """Delete expired claims; only one live entry does this for all entries."""
        live = [name for name, peer in self._directory.entries.items() if peer.up]
        me = self._directory.me.name
        # The name of the table is hashed instead of a team, to select one entry.
        if home_entry(CLAIMS, [me, *live]) != me:
            return
        try:
            await self.store.delete_expired(self.wall_clock(), MAX_DELETED)
        except PlatformError as exc:
            log.info("expired_claims_not_deleted", extra={"why": exc})

    def record_answer(self, claim: Claim, head: Head, body: bytes) -> None:
        """Write the answer to the claim's row, in the background."""
        self._background.spawn(self._write_answer(claim, head, body))

    def mark_unknown(self, claim: Claim) -> None:
        """Mark the outcome of a claim as unknown, in the background."""
        self._background.spawn(self._write(claim._replace(state=ClaimState.UNKNOWN)))

    def release(self, claim: Claim) -> None:
        """Free the key of a request that did not run, in the background."""
        self._background.spawn(self._release(claim))

    async def _query_sidecar(self, existing: Claim) -> CallerError | Replay | None:
        """Return the answer for a running claim, or None if it can be taken over.

        A sidecar counts as gone if another incarnation answers, or if it does not
        answer and the platform no longer lists its instance.
        """
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
        """Read a finished attempt's response from its sidecar and record it."""
        head, body, outcome = Head(0, {}), b"", None
        response = self._client.fetch_response(
            existing.address, existing.incarnation, existing.attempt_id
        )
        async for piece in response:
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
        """Write a claim; only log a failure, as its sidecar can still be queried."""
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

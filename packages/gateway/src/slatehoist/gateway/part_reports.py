"""Prompt parts that crash endpoints: convictions, proofs and trials of all gateways."""

import logging
import random
from collections.abc import Callable, Iterable, Sequence

from slatehoist.gateway.losses import Crash
from slatehoist.observe import GatewayMetrics
from slatehoist.routing import (
    CONVICTION_S,
    PROOF_S,
    PartConviction,
    PartTally,
    PromptPart,
)
from slatehoist.storage import (
    ABSENT,
    Check,
    ConflictError,
    PlatformError,
    Row,
    WatchableTable,
    Write,
)

log = logging.getLogger(__name__)

#: Prefix of the keys of the rows that state what is known of a part.
KEY_PREFIX = "part/"
#: States of a part. A success clears all crashes before it; a proof was earlier than
#: the crashes that are known.
_CONVICTED, _SUCCEEDED, _PROVEN = "convicted", "succeeded", "proven"
#: Longest delay in seconds of news that many gateways can give at the same time. One of
#: them is enough.
_MAX_NEWS_DELAY_S = 0.5
#: Least seconds between two rows of the same proof.
_PROOF_INTERVAL_S = PROOF_S / 4
#: Bounds on what is kept: part rows, and ids of crashes that this gateway reported.
_MAX_ROWS = 4096
_MAX_REPORTED = 256


class PartReports:
    """Share with all gateways which parts of prompts crash endpoints.

    The store has at most one row for each part, which states the newest that is known.
    A trial is claimed by a conditional write of that row, so that all gateways together
    send one request at a time with a part that is convicted.

    Attributes
    ----------
    tally : PartTally
        What this gateway knows of the parts.
    """

    def __init__(
        self,
        table: WatchableTable,
        table_name: str,
        instance: str,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._table = table
        self._table_name = table_name
        self._metrics = metrics
        self._clock = clock
        self._rng = random.Random(instance)
        self.tally = PartTally()
        #: Versions of the rows, and those that hold a conviction.
        self._versions: dict[str, int] = {}
        self._convictions: dict[str, None] = {}
        #: Rows to be written, with the time from which.
        self._pending: dict[str, tuple[float, Write]] = {}
        #: Times at which proofs were last written or read.
        self._proofs_shared_at: dict[PromptPart, float] = {}
        #: Successes that ended a conviction, in case an older copy of the store has it.
        self._cleared: dict[str, Write] = {}
        self._reported: dict[str, None] = {}

    def record_own_crash(self, crash: Crash, now: float) -> None:
        """Record a crash that this gateway reports."""
        self._reported[crash.crash_id] = None
        _drop_oldest(self._reported, _MAX_REPORTED)
        for request in crash.requests:
            self.record_crash(crash.crash_id, request.parts, now)

    def record_crash(
        self, crash_id: str, parts: Sequence[PromptPart], now: float
    ) -> None:
        """Record the parts of a request that some gateway lost by a crash."""
        convicted = self.tally.record_crash(crash_id, parts, now)
        for part in convicted:
            conviction = self.tally.conviction(part)
            self._log_event("convicted", part, crash=crash_id, weak=conviction.is_weak)
            # The others count the same reports; those that start later need the row.
            if crash_id in self._reported:
                self._write(part, _CONVICTED, now, conviction)
        for part in self.tally.proven_parts_in_doubt(parts, now):
            last_at = self._proofs_shared_at.get(part, float("-inf"))
            if now - last_at >= _PROOF_INTERVAL_S:
                self._proofs_shared_at[part] = now
                self._write(part, _PROVEN, now + self._draw_delay())

    def record_success(self, parts: Sequence[PromptPart]) -> bool:
        """Record that a request with these parts succeeded.

        Return True if there is news for the other gateways.
        """
        now = self._clock()
        doubted = self.tally.record_success(parts, now)
        for part in doubted:
            self._log_event("cleared", part)
            self._proofs_shared_at[part] = now
            write = self._write(part, _SUCCEEDED, now + self._draw_delay())
            self._cleared[write.key] = write
        _drop_oldest(self._cleared, _MAX_ROWS)
        _drop_oldest(self._proofs_shared_at, _MAX_ROWS)
        return bool(doubted)

    def take_due_writes(self, now: float) -> list[Write]:
        """Return the rows that are to be written by now."""
        due = [key for key, (at, _) in self._pending.items() if at <= now]
        return [self._pending.pop(key)[1] for key in due]

    def next_write_s(self, now: float) -> float:
        """Return the seconds until the next row is to be written."""
        return max(
            0.0, min((at for at, _ in self._pending.values()), default=now) - now
        )

    @property
    def has_pending(self) -> bool:
        """Return True if rows are to be written, now or soon."""
        return bool(self._pending)

    def read_row(self, row: Row, now: float, is_snapshot: bool) -> None:
        """Take over what a row states of a part.

        Parameters
        ----------
        is_snapshot : bool
            True if the row may come from an older copy of the store.
        """
        part, state, conviction = _decode(row, now)
        if part is None:
            log.warning(
                "part_report_unusable",
                extra={"key": row.key, "version": row.version, "value": row.value},
            )
            return
        self._versions[row.key] = row.version
        _drop_oldest(self._versions, _MAX_ROWS)
        if state == _CONVICTED:
            if is_snapshot and row.key in self._cleared:
                self._pending[row.key] = now, self._cleared[row.key]
                return
            if self.tally.is_proven(part, now):
                # The instance that convicted the part has not seen it succeed.
                self._write(part, _PROVEN, now + self._draw_delay())
                return
            self._cleared.pop(row.key, None)
            self._convictions[row.key] = None
            _drop_oldest(self._convictions, _MAX_ROWS)
            self.tally.convict(part, conviction)
            return
        self._convictions.pop(row.key, None)
        self._pending.pop(row.key, None)
        self._proofs_shared_at[part] = now
        successes = row.value.get("successes")
        if not isinstance(successes, int) or successes < 1:
            successes = 1  # Older instances do not state them.
        if state == _SUCCEEDED:
            self.tally.record_success([part], now, successes)
        else:
            self.tally.record_earlier_proof(part, now, successes)

    def begin_snapshot(self) -> None:
        """Forget the versions of rows, some of which may be gone."""
        self._versions.clear()

    def lifetime_s(self, key: str) -> float:
        """Return the seconds after which a row is removed."""
        return CONVICTION_S if key in self._convictions else PROOF_S

    async def claim_trials(self, parts: Iterable[PromptPart]) -> bool:
        """Claim the next trial of each part; return True if this gateway has them."""
        for part in parts:
            conviction = self.tally.conviction(part)
            if conviction is None:
                continue
            claimed = conviction._replace(
                at=self._clock(), trials=conviction.trials + 1
            )
            if not await self._store_trials(part, claimed, "trial"):
                return False
        return True

    async def release_trials(self, parts: Iterable[PromptPart]) -> None:
        """Give back the trials of a request that did not run."""
        for part in parts:
            key = _row_key(part)
            try:
                row = await self._table.get(self._table_name, key)
            except PlatformError as exc:
                log.info("part_trial_kept", extra={"key": key, "why": str(exc)})
                continue
            # It may have been cleared during the call.
            conviction = self.tally.conviction(part)
            if conviction is None or not conviction.trials:
                continue
            if row is not None and row.value.get("state") == _CONVICTED:
                self._versions[key] = row.version
                released = conviction._replace(trials=conviction.trials - 1)
                await self._store_trials(part, released, "trial_returned")

    async def _store_trials(
        self, part: PromptPart, conviction: PartConviction, event: str
    ) -> bool:
        key = _row_key(part)
        before = self.tally.conviction(part)
        # A second request of this gateway must not claim the trial meanwhile.
        self.tally.convict(part, conviction)
        check = Check(self._table_name, key, self._versions.get(key, ABSENT))
        write = self._make_write(part, _CONVICTED, conviction)
        try:
            await self._table.transact([check], [write])
        except ConflictError:
            if self.tally.conviction(part) == conviction:
                self.tally.convict(part, before._replace(at=conviction.at))
            await self._read_again(key)
            return False
        except PlatformError as exc:
            log.info("part_trial_unclaimed", extra={"key": key, "why": str(exc)})
            return False
        self._log_event(event, part, trials=conviction.trials)
        return True

    async def _read_again(self, key: str) -> None:
        """Read a row of which this gateway has an older version."""
        try:
            row = await self._table.get(self._table_name, key)
        except PlatformError as exc:
            log.info("part_row_unread", extra={"key": key, "why": str(exc)})
            return
        if row is None:
            self._versions.pop(key, None)
        else:
            self.read_row(row, self._clock(), is_snapshot=False)

    def _write(
        self,
        part: PromptPart,
        state: str,
        at: float,
        conviction: PartConviction | None = None,
    ) -> Write:
        write = self._make_write(part, state, conviction)
        self._pending[write.key] = at, write
        _drop_oldest(self._pending, _MAX_ROWS)
        return write

    def _make_write(
        self, part: PromptPart, state: str, conviction: PartConviction | None
    ) -> Write:
        key = _row_key(part)
        value = {
            # Older instances need a digest and a crash id in each row.
            "digest": key,
            "crash": "",
            "service": part.service,
            "part": part.part_id,
            "state": state,
        }
        if conviction is not None:
            value |= {"trials": conviction.trials, "weak": conviction.is_weak}
        else:
            value["successes"] = self.tally.successes(part)
        return Write(self._table_name, key, value)

    def _log_event(self, event: str, part: PromptPart, **fields: object) -> None:
        self._metrics.part_events.labels(event).inc()
        names = {"service": part.service, "part": part.part_id}
        log.warning(f"part_{event}", extra={**names, **fields})

    def _draw_delay(self) -> float:
        return self._rng.random() * _MAX_NEWS_DELAY_S


def _row_key(part: PromptPart) -> str:
    return f"{KEY_PREFIX}{part.service}/{part.part_id}"


def _decode(
    row: Row, now: float
) -> tuple[PromptPart | None, str, PartConviction | None]:
    """Return the part, its state and conviction; no part if the row is unusable."""
    service, part_id = row.value.get("service"), row.value.get("part")
    state, trials = row.value.get("state"), row.value.get("trials", 0)
    if (
        not isinstance(service, str)
        or not isinstance(part_id, str)
        or state not in (_CONVICTED, _SUCCEEDED, _PROVEN)
        or not isinstance(trials, int)
    ):
        return None, "", None
    conviction = PartConviction(now, max(trials, 0), bool(row.value.get("weak")))
    return PromptPart(service, part_id), state, conviction


def _drop_oldest(entries: dict, limit: int) -> None:
    while len(entries) > limit:
        del entries[next(iter(entries))]

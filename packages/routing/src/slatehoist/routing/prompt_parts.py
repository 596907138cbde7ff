"""Detection of prompt parts that crash endpoints, whatever else a request holds.

Requests that crash endpoints may all be different and have only one part of their
prompts in common. Sound requests share other parts with them, and are lost too if their
endpoint crashes. Three rules tell the parts apart:

- A part of a request that succeeded is proven. An unproven part is convicted after
  `MAX_CRASHES` crashes. A proven part is convicted only if no unproven one explains the
  crashes, and after more of them.
- A part that has succeeded several times is sound: crashes before that do not count,
  and those at the same time count once. A single success may be chance.
- A convicted part does not block a request if each of its crashes had another convicted
  part, which the request lacks and which explains the crash.

A part is counted for each service by itself: one build of a model may crash by a part
that another one answers.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence, Set
from typing import NamedTuple

#: Crashes after which an unproven part is convicted. Two may be a coincidence; each
#: further one costs another endpoint.
MAX_CRASHES = 3
#: Crashes after which it is convicted if it is convicted at another service.
_MAX_CRASHES_IF_KNOWN = 1
#: Crashes after which a proven part is convicted, and least seconds between two that
#: count if it has succeeded as often as stated: endpoints that lose power together say
#: nothing about such a part.
MAX_CRASHES_OF_PROVEN = 5
SEPARATE_CRASHES_S = 2.0
SUCCESSES_OF_SOUND = 4
#: Seconds for which a part stays proven after a success.
PROOF_S = 600.0
#: Seconds for which crashes and convictions are kept.
CONVICTION_S = 3600.0
#: Seconds from a conviction, or the last trial, until the next trial. The first value
#: is for convictions on weak evidence.
TRIAL_DELAYS_S = (5.0, 30.0, 120.0, 600.0)
#: Trials after a conviction; each may cost an endpoint.
MAX_TRIALS = 3
#: Shortest delay in seconds that the refusal of a convicted part names.
MIN_BLOCK_S = 5.0
#: Bounds on what is kept: crashes, parts of one crash, proofs and convictions.
_MAX_KEPT_CRASHES = 256
_MAX_PARTS_OF_CRASH = 512
_MAX_PROOFS = 16384
_MAX_CONVICTIONS = 1024
_NEVER = float("inf")


class PromptPart(NamedTuple):
    """Part of the prompts of a service's requests."""

    service: str
    part_id: str


class PartConviction(NamedTuple):
    """Conviction of a part.

    Attributes
    ----------
    at : float
        Time of the conviction, of its last crash or of the last trial.
    trials : int
        Trials since the conviction, at all instances.
    is_weak : bool
        True if requests with the part had succeeded before, or if all its crashes were
        at the same time.
    """

    at: float
    trials: int = 0
    is_weak: bool = False

    @property
    def trial_due_at(self) -> float:
        """Return the time from which one request may try the part again."""
        if self.trials >= MAX_TRIALS:
            return _NEVER
        return self.at + TRIAL_DELAYS_S[self.trials + (not self.is_weak)]


class _Crash:
    """One crash, and the parts of the requests that were lost by it."""

    def __init__(self, at: float) -> None:
        self.at = at
        self.unproven: set[PromptPart] = set()
        self.proven: set[PromptPart] = set()
        #: Those of the proven parts that succeeded after the crash.
        self.answered: set[PromptPart] = set()

    def add(self, part: PromptPart, is_proven: bool) -> bool:
        """Add a part; return False if it is known, or if there are too many."""
        known = self.unproven | self.proven
        if part in known or len(known) >= _MAX_PARTS_OF_CRASH:
            return False
        (self.proven if is_proven else self.unproven).add(part)
        return True

    def answer(self, part: PromptPart) -> None:
        """Record that a part has succeeded since."""
        self.unproven.discard(part)
        self.proven.add(part)
        self.answered.add(part)

    def discard(self, part: PromptPart) -> None:
        self.unproven.discard(part)
        self.proven.discard(part)
        self.answered.discard(part)

    def has_any(self, parts: Set[PromptPart]) -> bool:
        return not (self.unproven.isdisjoint(parts) and self.proven.isdisjoint(parts))


class PartTally:
    """Count the crashes in which each part of a prompt was involved."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[str, _Crash] = OrderedDict()
        #: Crashes of each part, in order.
        self._crashes_of: dict[PromptPart, list[_Crash]] = {}
        #: Time of the last success of each proven part, and the successes until then,
        #: at most `SUCCESSES_OF_SOUND`.
        self._proofs: OrderedDict[PromptPart, tuple[float, int]] = OrderedDict()
        self._convicted: OrderedDict[PromptPart, PartConviction] = OrderedDict()

    def record_crash(
        self, crash_id: str, parts: Iterable[PromptPart], now: float
    ) -> list[PromptPart]:
        """Record the parts of a request that was lost by a crash.

        Return the parts that it convicts. Reports of the same crash are merged.
        """
        self._drop_expired(now)
        crash = self._crashes.get(crash_id)
        if crash is None:
            crash = self._crashes[crash_id] = _Crash(now)
        for part in parts:
            if crash.add(part, self._is_proven(part, now)):
                self._crashes_of.setdefault(part, []).append(crash)
        if len(self._crashes) > _MAX_KEPT_CRASHES:
            self._drop_oldest_crash()
        guilty = [part for part in crash.unproven if self._has_unproven_limit(part)]
        if not guilty:
            guilty = [part for part in crash.proven if self._has_proven_limit(part)]
        convicted = [part for part in guilty if part not in self._convicted]
        for part in guilty:
            self._convict(part, now)
        return convicted

    def record_success(
        self, parts: Iterable[PromptPart], now: float, reported: int | None = None
    ) -> list[PromptPart]:
        """Record the parts of a request that succeeded.

        Return the parts that other instances may suspect, so that they need to know.

        Parameters
        ----------
        reported : int or None
            Successes of the parts that another instance reports; None if the request
            succeeded here.
        """
        doubted = []
        for part in parts:
            if self._is_doubted(part):
                doubted.append(part)
            self._prove(part, now, reported)
            self._convicted.pop(part, None)
            for crash in self._crashes_of.get(part, ()):
                if self._is_sound(part):
                    crash.discard(part)
                else:
                    crash.answer(part)
            if self._is_sound(part):
                self._crashes_of.pop(part, None)
        return doubted

    def record_earlier_proof(
        self, part: PromptPart, now: float, reported: int = 1
    ) -> None:
        """Record that a part was proven at another instance before recent crashes."""
        self._prove(part, now, reported)
        for crash in self._crashes_of.get(part, ()):
            crash.unproven.discard(part)
            crash.proven.add(part)
        if part in self._convicted:
            del self._convicted[part]
            if self._has_proven_limit(part):
                self._convict(part, now)

    def proven_parts_in_doubt(
        self, parts: Iterable[PromptPart], now: float
    ) -> list[PromptPart]:
        """Return the parts that are proven here and that other instances may convict.

        An instance that has not seen them succeed counts their crashes.
        """
        return [
            part
            for part in parts
            if self._is_proven(part, now) and self._is_doubted(part)
        ]

    def is_proven(self, part: PromptPart, now: float) -> bool:
        """Return True if a part is proven and was not in too many crashes since."""
        return self._is_proven(part, now) and not self._has_proven_limit(part)

    def successes(self, part: PromptPart) -> int:
        """Return the successes of a part, at most `SUCCESSES_OF_SOUND`."""
        return self._proofs.get(part, (0.0, 0))[1]

    def convict(self, part: PromptPart, conviction: PartConviction) -> None:
        """Take over a conviction that another instance has stored."""
        self._convicted[part] = conviction
        self._convicted.move_to_end(part)
        if len(self._convicted) > _MAX_CONVICTIONS:
            self._convicted.popitem(last=False)

    def conviction(self, part: PromptPart) -> PartConviction | None:
        """Return the conviction of a part, or None."""
        return self._convicted.get(part)

    def blocking_parts(
        self, parts: Sequence[PromptPart], now: float
    ) -> list[PromptPart]:
        """Return the parts of a request that must not be sent, except as a trial."""
        self._drop_expired(now)
        if not self._convicted:
            return []
        return [
            part
            for part in parts
            if part in self._convicted and not self._is_explained(part, parts)
        ]

    def is_trial_due(self, part: PromptPart, now: float) -> bool:
        """Return True if one request may try a convicted part again."""
        return now >= self._convicted[part].trial_due_at

    def blocked_for_s(self, part: PromptPart, now: float) -> float:
        """Return the seconds until a convicted part is tried again, at the least."""
        conviction = self._convicted[part]
        until = min(conviction.trial_due_at, conviction.at + CONVICTION_S)
        return max(until - now, MIN_BLOCK_S)

    def is_suspected(self, parts: Iterable[PromptPart]) -> bool:
        """Return True if one more crash would convict a part, or has done so."""
        return any(self._is_doubted(part) for part in parts)

    def _has_unproven_limit(self, part: PromptPart) -> bool:
        count = sum(part in crash.unproven for crash in self._crashes_of.get(part, ()))
        return part in self._convicted or count >= self._limit(part)

    def _limit(self, part: PromptPart) -> int:
        """Return the number of crashes after which an unproven part is convicted."""
        is_known = any(other.part_id == part.part_id for other in self._convicted)
        return _MAX_CRASHES_IF_KNOWN if is_known else MAX_CRASHES

    def _has_proven_limit(self, part: PromptPart) -> bool:
        """Return True if a proven part was in too many unexplained crashes."""
        if part in self._convicted:
            return True
        unexplained = [
            crash
            for crash in self._crashes_of.get(part, ())
            if crash.unproven.isdisjoint(self._convicted)
        ]
        if self._is_sound(part):
            return _count_separate(unexplained) >= MAX_CRASHES_OF_PROVEN
        return len(unexplained) >= MAX_CRASHES_OF_PROVEN

    def _is_doubted(self, part: PromptPart) -> bool:
        """Return True if an instance without a proof may convict the part soon."""
        crashes = self._crashes_of.get(part, ())
        count = sum(part not in crash.answered for crash in crashes)
        return part in self._convicted or count >= MAX_CRASHES - 1

    def _is_explained(self, part: PromptPart, parts: Sequence[PromptPart]) -> bool:
        """Return True if each crash of a part has a convicted one not in ``parts``."""
        crashes = self._crashes_of.get(part, ())
        others = self._convicted.keys() - set(parts)
        return bool(crashes) and all(crash.has_any(others) for crash in crashes)

    def _convict(self, part: PromptPart, now: float) -> None:
        known = self._convicted.get(part)
        if known is not None:
            self.convict(part, known._replace(at=now))
            return
        crashes = self._crashes_of.get(part, ())
        is_weak = self._is_proven(part, now) or _count_separate(crashes) == 1
        self.convict(part, PartConviction(now, is_weak=is_weak))

    def _prove(self, part: PromptPart, now: float, reported: int | None) -> None:
        successes = self.successes(part) if self._is_proven(part, now) else 0
        # Instances report the same successes to each other.
        successes = successes + 1 if reported is None else max(successes, reported)
        self._proofs[part] = now, min(successes, SUCCESSES_OF_SOUND)
        self._proofs.move_to_end(part)
        if len(self._proofs) > _MAX_PROOFS:
            self._proofs.popitem(last=False)

    def _is_sound(self, part: PromptPart) -> bool:
        return self.successes(part) >= SUCCESSES_OF_SOUND

    def _is_proven(self, part: PromptPart, now: float) -> bool:
        proof = self._proofs.get(part)
        return proof is not None and now - proof[0] < PROOF_S

    def _drop_expired(self, now: float) -> None:
        while self._crashes:
            first = next(iter(self._crashes.values()))
            if now - first.at < CONVICTION_S:
                break
            self._drop_oldest_crash()
        expired = [
            part
            for part, conviction in self._convicted.items()
            if now - conviction.at >= CONVICTION_S
        ]
        for part in expired:
            del self._convicted[part]

    def _drop_oldest_crash(self) -> None:
        _, oldest = self._crashes.popitem(last=False)
        for part in oldest.unproven | oldest.proven:
            kept = [c for c in self._crashes_of[part] if c is not oldest]
            if kept:
                self._crashes_of[part] = kept
            else:
                del self._crashes_of[part]


def _count_separate(crashes: Iterable[_Crash]) -> int:
    """Return the number of crashes, counting those at about the same time once."""
    count = 0
    last_at = float("-inf")
    for crash in crashes:
        if crash.at - last_at >= SEPARATE_CRASHES_S:
            count += 1
            last_at = crash.at
    return count

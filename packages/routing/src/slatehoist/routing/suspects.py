"""Poison request detection: find the requests that crash endpoints.

This decides whether a request runs normally, runs apart from other suspects, or is
refused. The status of a request follows from the crashes that occurred while it was in
flight:

- After one crash, every request that was in flight is a suspect. A suspect runs only
  on an endpoint that runs no other suspect.
- After a second crash, the suspect is held: it is refused at once. The requests that
  ran beside it become suspects.
- A held request is convicted, and still refused, when it is the only possible cause of
  one of its crashes: the other requests in that crash, if any, have completed since.

A conviction explains every crash that the convicted request was in. A request with one
crash is clear once that crash is explained. A request with more crashes becomes a
suspect again once all of them are explained: they still count, since two poison
requests may have been in one crash.

One distinct request thus crashes at most two endpoints, plus those that run copies of
it at the same moment.
"""

from enum import StrEnum
from typing import NamedTuple

#: Number of crashes after which a request is held.
HOLD_CRASHES = 2


class SuspectStatus(StrEnum):
    """Status of a request, derived from its crashes.

    A clear request runs normally and a suspect runs apart from other suspects; held
    and convicted requests are refused.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    HELD = "held"
    CONVICTED = "convicted"


class Crash(NamedTuple):
    """One crash and the digests of the requests that were in flight."""

    crash_id: str
    digests: frozenset[str]
    at: float


class SuspectTracker:
    """Tracks endpoint crashes and derives the status of requests from them.

    Crash reports may come from several entries, late and more than once; reports with
    the same ``crash_id`` are merged. A request is known by its digest.

    Parameters
    ----------
    suspicion_s : float
        Seconds after which a crash expires, unless a request is held for it, and after
        which the record that a suspect completed expires.
    conviction_s : float
        Seconds after which a conviction, or a crash that a request is held for,
        expires.
    """

    def __init__(self, suspicion_s: float, conviction_s: float) -> None:
        self._suspicion_s = suspicion_s
        self._conviction_s = conviction_s
        self._crashes: dict[str, Crash] = {}
        self._cleared: dict[str, float] = {}
        self._convicted: dict[str, float] = {}

    def status(self, digest: str, now: float) -> SuspectStatus:
        """Return the status of a request that is about to be sent."""
        self._expire(now)
        if digest in self._convicted:
            return SuspectStatus.CONVICTED
        crashes = self._crashes_of(digest)
        if not crashes or digest in self._cleared:
            return SuspectStatus.CLEAR
        unexplained = [c for c in crashes if not self._is_explained(c, digest)]
        if len(crashes) >= HOLD_CRASHES:
            return SuspectStatus.HELD if unexplained else SuspectStatus.SUSPECT
        return SuspectStatus.SUSPECT if unexplained else SuspectStatus.CLEAR

    def report_crash(self, crash_id: str, digests: list[str], now: float) -> bool:
        """Record a crash report; return True if it added a crash or a request."""
        known = self._crashes.get(crash_id)
        merged = frozenset(digests) | (known.digests if known else frozenset())
        if known and merged == known.digests:
            return False
        at = known.at if known else now
        self._crashes[crash_id] = Crash(crash_id, merged, at)
        for digest in digests:
            self._cleared.pop(digest, None)
        self._convict(now)
        return True

    def report_cleared(self, digest: str, now: float) -> bool:
        """Record that a suspect completed; return True if that was new."""
        if digest in self._cleared or not self._crashes_of(digest):
            return False
        self._cleared[digest] = now
        self._convict(now)
        return True

    def _crashes_of(self, digest: str) -> list[Crash]:
        return [crash for crash in self._crashes.values() if digest in crash.digests]

    def _possible_causes(self, crash: Crash) -> set[str]:
        """Return the requests that may have caused a crash.

        These are the convicted requests among those not cleared, if any, else all that
        are not cleared.
        """
        not_cleared = {d for d in crash.digests if d not in self._cleared}
        convicted = not_cleared & self._convicted.keys()
        return convicted or not_cleared

    def _convict(self, now: float) -> None:
        """Convict each held request that is the only possible cause of a crash."""
        for crash in self._crashes.values():
            possible_causes = self._possible_causes(crash)
            if len(possible_causes) != 1:
                continue
            (digest,) = possible_causes
            if len(self._crashes_of(digest)) >= HOLD_CRASHES:
                self._convicted.setdefault(digest, now)

    def _is_explained(self, crash: Crash, digest: str) -> bool:
        """Return True if a convicted request other than this one was in the crash."""
        return any(d in self._convicted and d != digest for d in crash.digests)

    def _lifetime_s(self, crash: Crash) -> float:
        """Return the seconds to keep a crash; longer if a request is held for it."""
        held = any(len(self._crashes_of(d)) >= HOLD_CRASHES for d in crash.digests)
        return self._conviction_s if held else self._suspicion_s

    def _expire(self, now: float) -> None:
        for crash_id, crash in list(self._crashes.items()):
            if now - crash.at >= self._lifetime_s(crash):
                del self._crashes[crash_id]
        for digest, at in list(self._convicted.items()):
            if now - at >= self._conviction_s:
                del self._convicted[digest]
        for digest in list(self._cleared):
            if now - self._cleared[digest] >= self._suspicion_s:
                del self._cleared[digest]

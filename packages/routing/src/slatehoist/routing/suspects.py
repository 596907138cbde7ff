"""Suspicion of requests that were in flight when an endpoint crashed.

After a first crash every request in flight is a suspect. A suspect runs again only
where no other suspect runs. If that endpoint crashes too, the suspect is held: it is
refused at once, while those that ran beside it become suspects in turn. It is
convicted when it has crashed twice and nobody else in one of the crashes can be to
blame. A conviction explains the crashes that the culprit was in, and who was held for
nothing else runs again, by itself at first. The crashes go on counting, since two
poison requests may have been in one of them.

One distinct request thus crashes at most two endpoints, plus the copies that were in
flight at the same moment.
"""

from enum import StrEnum
from typing import NamedTuple

#: Crashes after which a request is refused.
HOLD_CRASHES = 2


class SuspectStatus(StrEnum):
    """What the ledger says of a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    HELD = "held"
    CONVICTED = "convicted"


class Crash(NamedTuple):
    """One crash and the requests that may have caused it."""

    crash_id: str
    digests: frozenset[str]
    at: float


class SuspectTracker:
    """Judge requests by the crashes they were in.

    Crash reports may come from several reporters, late and more than once; reports
    with one ``crash_id`` are merged.

    Parameters
    ----------
    suspicion_s : float
        Seconds after which a crash is forgotten.
    conviction_s : float
        Seconds for which a conviction stands.
    """

    def __init__(self, suspicion_s: float, conviction_s: float) -> None:
        self._suspicion_s = suspicion_s
        self._conviction_s = conviction_s
        self._crashes: dict[str, Crash] = {}
        self._cleared: dict[str, float] = {}
        self._convicted: dict[str, float] = {}

    def status(self, digest: str, now: float) -> SuspectStatus:
        """Judge a request before it is sent."""
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
        """Take in a crash report; return whether it told anything new."""
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
        """Take in that a suspect ran to its end; return whether that was new."""
        if digest in self._cleared or not self._crashes_of(digest):
            return False
        self._cleared[digest] = now
        self._convict(now)
        return True

    def _crashes_of(self, digest: str) -> list[Crash]:
        return [crash for crash in self._crashes.values() if digest in crash.digests]

    def _blamable(self, crash: Crash) -> set[str]:
        """Give the requests that may have caused a crash, as far as is known."""
        open_digests = {d for d in crash.digests if d not in self._cleared}
        convicted = open_digests & self._convicted.keys()
        return convicted or open_digests

    def _convict(self, now: float) -> None:
        """Convict whoever alone is left to blame for a second crash."""
        for crash in self._crashes.values():
            blamable = self._blamable(crash)
            if len(blamable) != 1:
                continue
            (digest,) = blamable
            if len(self._crashes_of(digest)) >= HOLD_CRASHES:
                self._convicted.setdefault(digest, now)

    def _is_explained(self, crash: Crash, digest: str) -> bool:
        """Tell whether a convicted request other than this one was in a crash."""
        return any(d in self._convicted and d != digest for d in crash.digests)

    def _lifetime_s(self, crash: Crash) -> float:
        """Remember a crash longer if a request is held for it."""
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

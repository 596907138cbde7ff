"""Count of the endpoints that crashed while they ran a request.

This decides whether the gateway blocks a request as the likely cause of crashes.
"""

from collections import OrderedDict

#: Number of crashes after which a request is blocked. Two may be a coincidence when
#: several endpoints crash at once; each further crash costs another endpoint.
MAX_CRASHES = 3
#: Seconds for which crashes count, and their reports stay in the store. A request that
#: crashes endpoints may come back seldom; a success drops its crashes.
RETENTION_S = 600.0
#: Seconds for which successes are kept.
SUCCESS_S = 60.0
#: Seconds after its last crash for which a request that was blocked is blocked again by
#: a single further crash.
CONVICTION_S = 3600.0
#: Seconds for which a request is blocked after its last crash, by the number of crashes
#: since it was first blocked; the last value holds from there on. The fault may be
#: fixed after a minute, but each trial may cost an endpoint.
BLOCKED_S = (60.0, 240.0, CONVICTION_S)


class CrashTally:
    """Counts, for each request, the endpoints that crashed while they ran it.

    A request is known by its digest. One that succeeded recently is never blocked,
    however many endpoints crashed while they ran it.
    """

    def __init__(self) -> None:
        self._crashes: OrderedDict[str, dict[str, float]] = OrderedDict()
        self._successes: OrderedDict[str, float] = OrderedDict()
        #: Requests that reached the limit, with the time of their last crash and the
        #: number of crashes since they did.
        self._convicted: OrderedDict[str, tuple[float, int]] = OrderedDict()

    def record_crash(self, digest: str, crash_id: str, now: float) -> int:
        """Count a crash once per ``crash_id``; return the request's crash count."""
        crashes = self._crashes.setdefault(digest, {})
        if crash_id not in crashes:
            crashes[crash_id] = now
            self._crashes.move_to_end(digest)
            self._drop_expired(now)
            if digest in self._convicted or self._count(digest, now) >= MAX_CRASHES:
                self._convict(digest, now)
        return len(crashes)

    def record_success(self, digest: str, now: float) -> bool:
        """Record a success of a request and drop its crashes.

        Return True if it had any, so that the other instances need to know.
        """
        had_crashes = self._crashes.pop(digest, None) is not None
        self._convicted.pop(digest, None)
        self._successes[digest] = now
        self._successes.move_to_end(digest)
        while now - next(iter(self._successes.values())) >= SUCCESS_S:
            self._successes.popitem(last=False)
        return had_crashes

    def blocked_for_s(self, digest: str, now: float) -> float:
        """Return the seconds for which a request is blocked; 0 if it is not."""
        if digest not in self._convicted or self._succeeded(digest, now):
            return 0.0
        crashed_at, crashes = self._convicted[digest]
        return max(0.0, crashed_at + _blocked_s(crashes) - now)

    def is_blocked(self, digest: str, now: float) -> bool:
        """Return True if a request has crashed too many endpoints.

        It is tried once more some time after its last crash; see `BLOCKED_S`.
        """
        return self.blocked_for_s(digest, now) > 0.0

    def is_suspected(self, digest: str, now: float) -> bool:
        """Return True if one more crash would block a request."""
        return digest in self._convicted or self._count(digest, now) >= MAX_CRASHES - 1

    def _convict(self, digest: str, now: float) -> None:
        crashed_at, crashes = self._convicted.get(digest, (now, -1))
        # Crashes of one trial are reported by all instances that had sent it.
        is_trial = now >= crashed_at + _blocked_s(crashes)
        crashes += crashes < 0 or is_trial
        self._convicted[digest] = now, crashes
        self._convicted.move_to_end(digest)
        while now - next(iter(self._convicted.values()))[0] >= 2 * CONVICTION_S:
            self._convicted.popitem(last=False)

    def _drop_expired(self, now: float) -> None:
        """Drop the requests whose last crash has expired."""
        while self._crashes:
            digest, crashes = next(iter(self._crashes.items()))
            if now - max(crashes.values()) < RETENTION_S:
                return
            del self._crashes[digest]

    def _count(self, digest: str, now: float) -> int:
        crashes = self._crashes.get(digest)
        if crashes is None:
            return 0
        recent = {
            crash_id: at for crash_id, at in crashes.items() if now - at < RETENTION_S
        }
        if recent:
            self._crashes[digest] = recent
        else:
            del self._crashes[digest]
        return len(recent)

    def _succeeded(self, digest: str, now: float) -> bool:
        at = self._successes.get(digest)
        return at is not None and now - at < SUCCESS_S


def _blocked_s(crashes: int) -> float:
    """Return the seconds of a block, by the crashes since the request was blocked."""
    return BLOCKED_S[min(max(crashes, 0), len(BLOCKED_S) - 1)]

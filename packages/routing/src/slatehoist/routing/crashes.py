"""Count of the endpoints that crashed while they ran a request.

This decides whether the gateway blocks a request as the likely cause of crashes. A
success of the request speaks for it, by two rules:

- It shows that crashes before it may be chance, so these do not block the request any
  more by themselves. It says nothing of crashes after it.
- It does not make up for a crash. `SUCCESSES_PER_CRASH` successes do, after the crash
  or just before it. So a request that crashes most of the endpoints that run it is
  blocked although it succeeds at others, and one that many callers send is not blocked
  by endpoints that lose power together.
"""

from collections import OrderedDict
from collections.abc import Collection
from typing import NamedTuple

#: Number of crashes after which a request is blocked. Two may be a coincidence when
#: several endpoints crash at once; each further crash costs another endpoint.
MAX_CRASHES = 3
#: Number of crashes after which a request is blocked although it succeeded in between:
#: crashes that its successes do not make up for.
MAX_UNEXCUSED_CRASHES = 4
#: Successes that make up for a crash.
SUCCESSES_PER_CRASH = 4
#: Seconds after which a success counts half as one before a crash.
SUCCESS_HALF_LIFE_S = 1.0
#: Seconds for which crashes count, and their reports stay in the store. A request that
#: crashes endpoints may come back seldom.
RETENTION_S = 600.0
#: Seconds for which the last success of a request is kept, which may be older than the
#: news of a crash before it.
SUCCESS_S = 60.0
#: Crashes of a request that are kept as answered before their report is read.
MAX_ANSWERED_AHEAD = 32
#: Seconds after its last crash for which a request that was blocked is blocked again by
#: a single further crash.
CONVICTION_S = 3600.0
#: Seconds for which a request is blocked after its last crash, by the number of crashes
#: since it was first blocked; the last value holds from there on. The fault may be
#: fixed after a minute, but each trial may cost an endpoint.
BLOCKED_S = (60.0, 240.0, CONVICTION_S)
#: The same for the first block of a request that has succeeded `SUCCESSES_PER_CRASH`
#: times of late: many endpoints may have lost power together.
SHORT_BLOCK_S = 5.0


class _Successes(NamedTuple):
    """Successes of one request.

    Attributes
    ----------
    last_at : float
        Time of the last one.
    recent : float
        Number of them, which decays, less those that made up for crashes.
    count : int
        Number of them, at most `SUCCESSES_PER_CRASH`.
    """

    last_at: float
    recent: float
    count: int


_NO_SUCCESSES = _Successes(float("-inf"), 0.0, 0)


class _Evidence:
    """Crashes of one request, and what its successes say of them.

    Attributes
    ----------
    crashes : dict of str to float
        Time at which each crash was recorded, by its id, the oldest first.
    unanswered : set of str
        Crashes that no success followed.
    unexcused : list of str
        Crashes that successes do not make up for, the oldest first.
    answered_ahead : set of str
        Crashes that are not known yet, and that a success followed elsewhere.
    successes : int
        Successes since the last one that made up for a crash.
    """

    __slots__ = ("crashes", "unanswered", "unexcused", "answered_ahead", "successes")

    def __init__(self) -> None:
        self.crashes: dict[str, float] = {}
        self.unanswered: set[str] = set()
        self.unexcused: list[str] = []
        self.answered_ahead: set[str] = set()
        self.successes = 0

    @property
    def is_guilty(self) -> bool:
        """Return True if the crashes suffice to block the request."""
        return (
            len(self.unanswered) >= MAX_CRASHES
            or len(self.unexcused) >= MAX_UNEXCUSED_CRASHES
        )

    @property
    def is_suspected(self) -> bool:
        """Return True if one more crash would suffice."""
        return (
            len(self.unanswered) >= MAX_CRASHES - 1
            or len(self.unexcused) >= MAX_UNEXCUSED_CRASHES - 1
        )

    def record_success(self, after: Collection[str] | None) -> list[str]:
        """Record a success; return the crashes that it is the first one to follow.

        One that another instance reports counts only if it is news, since reports are
        read again. Successes are not saved up for later crashes.
        """
        if after is None:
            answered = list(self.unanswered)
            is_news = True
        else:
            answered = [crash_id for crash_id in after if crash_id in self.unanswered]
            is_news = bool(answered)
            room = MAX_ANSWERED_AHEAD - len(self.answered_ahead)
            unknown = [crash_id for crash_id in after if crash_id not in self.crashes]
            self.answered_ahead.update(unknown[:room])
        self.unanswered.difference_update(answered)
        if is_news and self.unexcused:
            self.successes += 1
            if self.successes == SUCCESSES_PER_CRASH:
                self.successes = 0
                del self.unexcused[0]
        return answered

    def drop_expired(self, now: float) -> None:
        """Drop the crashes that do not count any more."""
        expired = [c for c, at in self.crashes.items() if now - at >= RETENTION_S]
        for crash_id in expired:
            del self.crashes[crash_id]
            self.unanswered.discard(crash_id)
        if expired:
            self.unexcused = [c for c in self.unexcused if c in self.crashes]


class CrashTally:
    """Counts, for each request, the endpoints that crashed while they ran it.

    A request is known by its digest.
    """

    def __init__(self) -> None:
        #: Evidence by request, the one with the oldest last crash first.
        self._crashes: OrderedDict[str, _Evidence] = OrderedDict()
        #: Successes of the last `SUCCESS_S` by request, the oldest last one first.
        self._successes: OrderedDict[str, _Successes] = OrderedDict()
        #: Requests that reached the limit, with the time of their last crash and the
        #: number of crashes since they did, -1 during a short block.
        self._convicted: OrderedDict[str, tuple[float, int]] = OrderedDict()
        #: Convicted requests whose block a success has ended. One more crash blocks
        #: them again.
        self._lifted: set[str] = set()

    def record_crash(
        self, digest: str, crash_id: str, now: float, lost_at: float | None = None
    ) -> int:
        """Count a crash once per ``crash_id``; return the request's crash count.

        Parameters
        ----------
        lost_at : float or None
            Time at which the request was lost, if this instance lost it: its end may be
            found later, after a success of the request.
        """
        evidence = self._crashes.setdefault(digest, _Evidence())
        if crash_id in evidence.crashes:
            return len(evidence.crashes)
        evidence.crashes[crash_id] = now
        evidence.drop_expired(now)
        self._crashes.move_to_end(digest)
        self._drop_expired(now)
        if self._is_excused(digest, now):
            return len(evidence.crashes)
        evidence.unexcused.append(crash_id)
        succeeded_at = self._successes.get(digest, _NO_SUCCESSES).last_at
        is_answered = lost_at is not None and succeeded_at >= lost_at
        if not is_answered and crash_id not in evidence.answered_ahead:
            evidence.unanswered.add(crash_id)
        if digest in self._convicted or evidence.is_guilty:
            self._convict(digest, now)
        return len(evidence.crashes)

    def record_success(
        self, digest: str, now: float, after: Collection[str] | None = None
    ) -> bool:
        """Record a success of a request.

        Return True if it is the first one after a crash, so that the other instances
        need to know.

        Parameters
        ----------
        after : collection of str or None
            Crashes before the success, if another instance reports it; None if all
            known ones are.
        """
        if after is None:
            self._count_success(digest, now)
        evidence = self._crashes.get(digest)
        if evidence is None:
            if digest in self._convicted:
                self._acquit(digest)
            return False
        evidence.drop_expired(now)
        answered = evidence.record_success(after)
        if digest in self._convicted and not evidence.is_guilty:
            self._lifted.add(digest)
            if len(evidence.unexcused) < MAX_CRASHES:
                self._acquit(digest)
        return bool(answered)

    def known_crashes(self, digest: str) -> list[str]:
        """Return the crashes of a request, the oldest first."""
        evidence = self._crashes.get(digest)
        return [] if evidence is None else list(evidence.crashes)

    def count_crashes(self, digest: str) -> tuple[int, int]:
        """Return the crashes without a success since, and those without enough."""
        evidence = self._crashes.get(digest)
        if evidence is None:
            return 0, 0
        return len(evidence.unanswered), len(evidence.unexcused)

    def answered_crashes(self, digest: str) -> list[str]:
        """Return the known crashes of a request that a success followed."""
        evidence = self._crashes.get(digest)
        if evidence is None:
            return []
        return [c for c in evidence.crashes if c not in evidence.unanswered]

    def needs_report(self, digest: str, crash_id: str) -> bool:
        """Return True unless successes explain a crash, and the request has no other.

        Otherwise each request that succeeded at the second attempt would be reported.
        """
        evidence = self._crashes[digest]
        if crash_id not in evidence.unexcused:
            return False
        return crash_id in evidence.unanswered or len(evidence.unexcused) > 1

    def blocked_for_s(self, digest: str, now: float) -> float:
        """Return the seconds for which a request is blocked; 0 if it is not."""
        if digest not in self._convicted or digest in self._lifted:
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
        if digest in self._convicted:
            return True
        evidence = self._crashes.get(digest)
        if evidence is None:
            return False
        evidence.drop_expired(now)
        return evidence.is_suspected

    def _convict(self, digest: str, now: float) -> None:
        known = self._convicted.get(digest)
        if known is None:
            crashes = -1 if self._succeeds_often(digest, now) else 0
        else:
            # Crashes of one trial are reported by all instances that had sent it.
            crashed_at, crashes = known
            is_trial = now >= crashed_at + _blocked_s(crashes)
            crashes += is_trial or digest in self._lifted
        self._convicted[digest] = now, crashes
        self._convicted.move_to_end(digest)
        self._lifted.discard(digest)
        while now - next(iter(self._convicted.values()))[0] >= 2 * CONVICTION_S:
            self._acquit(next(iter(self._convicted)))

    def _acquit(self, digest: str) -> None:
        del self._convicted[digest]
        self._lifted.discard(digest)

    def _count_success(self, digest: str, now: float) -> None:
        count = self._successes.get(digest, _NO_SUCCESSES).count
        self._successes[digest] = _Successes(
            now,
            self._recent_successes(digest, now) + 1.0,
            min(count + 1, SUCCESSES_PER_CRASH),
        )
        self._successes.move_to_end(digest)
        while now - next(iter(self._successes.values())).last_at >= SUCCESS_S:
            self._successes.popitem(last=False)

    def _succeeds_often(self, digest: str, now: float) -> bool:
        successes = self._successes.get(digest, _NO_SUCCESSES)
        is_recent = now - successes.last_at < SUCCESS_S
        return is_recent and successes.count == SUCCESSES_PER_CRASH

    def _recent_successes(self, digest: str, now: float) -> float:
        """Return the number of successes, each halved as `SUCCESS_HALF_LIFE_S` pass."""
        successes = self._successes.get(digest, _NO_SUCCESSES)
        return successes.recent * _decay(now - successes.last_at)

    def _is_excused(self, digest: str, now: float) -> bool:
        """Return True if recent successes make up for a crash, and use them up."""
        if self._recent_successes(digest, now) < SUCCESSES_PER_CRASH:
            return False
        successes = self._successes[digest]
        used = SUCCESSES_PER_CRASH / _decay(now - successes.last_at)
        self._successes[digest] = successes._replace(recent=successes.recent - used)
        return True

    def _drop_expired(self, now: float) -> None:
        """Drop the requests whose last crash has expired."""
        while self._crashes:
            digest, evidence = next(iter(self._crashes.items()))
            if now - max(evidence.crashes.values(), default=now) < RETENTION_S:
                return
            del self._crashes[digest]


def _decay(age_s: float) -> float:
    return 0.5 ** (age_s / SUCCESS_HALF_LIFE_S)


def _blocked_s(crashes: int) -> float:
    """Return the seconds of a block, by the crashes since the request was blocked."""
    if crashes < 0:
        return SHORT_BLOCK_S
    return BLOCKED_S[min(crashes, len(BLOCKED_S) - 1)]

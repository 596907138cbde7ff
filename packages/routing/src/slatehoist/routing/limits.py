"""Limits: token bucket, adaptive concurrency, and team quotas shared by entries."""

from typing import NamedTuple

from slatehoist.routing.hashing import rendezvous_weight

#: Factor by which concurrency shrinks when steps are too slow.
DECREASE_FACTOR = 0.85
#: Slots by which concurrency grows when steps are fast and all slots are in use.
INCREASE_SLOTS = 1.0
#: Weight of the newest reading in the smoothed step time.
STEP_SMOOTHING = 0.3
#: Lifetime of a share that a home entry hands out, in seconds.
SHARE_LIFETIME_S = 2.0
#: Part of the last share that an entry cut off from the home keeps.
CUT_OFF_RATIO = 0.5


class TokenBucket:
    """Rate limit with a bounded burst.

    Parameters
    ----------
    rate : float
        Requests a second.
    burst : float
        Most requests at once.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self._level = burst
        self._at = now

    def take(self, now: float, amount: float = 1.0) -> float:
        """Take from the bucket.

        Returns
        -------
        float
            0 if taken; otherwise the seconds until it could be.
        """
        self._refill(now)
        if self._level >= amount:
            self._level -= amount
            return 0.0
        if self.rate <= 0:
            return SHARE_LIFETIME_S
        return (amount - self._level) / self.rate

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Change the rate from now on; what was saved up stays, up to the burst."""
        self._refill(now)
        self.rate = rate
        self.burst = burst
        self._level = min(self._level, burst)

    def _refill(self, now: float) -> None:
        self._level = min(self.burst, self._level + (now - self._at) * self.rate)
        self._at = now


class AdaptiveLimit:
    """Concurrency limit that follows the endpoint's step time.

    Steps slower than the target shrink the limit by a factor, at most once per
    ``hold_s``; steps well under the target grow it slot by slot while it is in use.
    """

    def __init__(
        self, floor: int, ceiling: int, target_step_s: float, hold_s: float = 0.5
    ) -> None:
        self.floor = floor
        self.ceiling = ceiling
        self.target_step_s = target_step_s
        self._hold_s = hold_s
        self._limit = float(ceiling)
        self._step_s = 0.0
        self._changed_at = float("-inf")

    @property
    def limit(self) -> int:
        """Give the requests that may run at once."""
        return int(self._limit)

    @property
    def step_s(self) -> float:
        """Give the smoothed step time in seconds."""
        return self._step_s

    def observe(self, step_s: float, in_use: int, now: float) -> None:
        """Take in a reading of the step time."""
        if self._step_s:
            self._step_s += STEP_SMOOTHING * (step_s - self._step_s)
        else:
            self._step_s = step_s
        if now - self._changed_at < self._hold_s:
            return
        if self._step_s > self.target_step_s:
            self._change(self._limit * DECREASE_FACTOR, now)
        elif in_use >= self.limit - 1:
            self._change(self._limit + INCREASE_SLOTS, now)

    def _change(self, limit: float, now: float) -> None:
        self._limit = min(max(limit, self.floor), self.ceiling)
        self._changed_at = now


def home_entry(team: str, entries: list[str]) -> str:
    """Choose the entry that divides a team's quota, by rendezvous hashing."""
    return max(entries, key=lambda name: rendezvous_weight(team, name))


class QuotaShare(NamedTuple):
    """Part of a team's rate, lent to one entry for a while."""

    rate: float
    expires: float


class QuotaHome:
    """Divide the rates of the teams whose home this entry is.

    Each entry asks with the rate that it sees wanted. A share is cut at once but
    grows only into what no live share holds, so that the shares never add up to more
    than the team's rate.
    """

    def __init__(self, lifetime_s: float = SHARE_LIFETIME_S) -> None:
        self._lifetime_s = lifetime_s
        self._shares: dict[str, dict[str, tuple[QuotaShare, float]]] = {}

    def grant(
        self, team: str, entry: str, wanted: float, rate: float, now: float
    ) -> QuotaShare:
        """Give an entry its share of a team's rate.

        Parameters
        ----------
        wanted : float
            Requests a second that the entry sees offered.
        rate : float
            Requests a second that the team may make in all.
        """
        shares = self._live_shares(team, now)
        wants = {name: want for name, (_, want) in shares.items()}
        wants[entry] = max(wanted, rate * 0.01)
        fair = rate * wants[entry] / sum(wants.values())
        others = sum(share.rate for name, (share, _) in shares.items() if name != entry)
        share = QuotaShare(max(min(fair, rate - others), 0.0), now + self._lifetime_s)
        shares[entry] = (share, wants[entry])
        return share

    def _live_shares(
        self, team: str, now: float
    ) -> dict[str, tuple[QuotaShare, float]]:
        """Give the shares not yet given up; a cut-off entry keeps part of its own."""
        shares = self._shares.setdefault(team, {})
        for name, (share, want) in list(shares.items()):
            if share.expires <= now:
                kept = share._replace(rate=share.rate * CUT_OFF_RATIO)
                shares[name] = (kept._replace(expires=now + self._lifetime_s), want)
                if kept.rate < 0.01:
                    del shares[name]
        return shares


class QuotaHolder:
    """Keep one entry's share of one team's rate.

    Until the home has answered, and when it no longer does, the entry uses a safe
    share: its part of an even split, or the last share halved per missed renewal.
    """

    def __init__(self, rate: float, entries: int, now: float) -> None:
        start = rate / max(entries, 1)
        self._bucket = TokenBucket(start, max(1.0, start), now)
        self._share = QuotaShare(start, now + SHARE_LIFETIME_S)
        self._seen = 0
        self._seen_at = now

    def take(self, now: float) -> float:
        """Take one request; 0 if allowed, else seconds until it may be."""
        self._seen += 1
        if now >= self._share.expires:
            self.renew(
                QuotaShare(self._share.rate * CUT_OFF_RATIO, now + SHARE_LIFETIME_S),
                now,
            )
        return self._bucket.take(now)

    def measure_demand(self, now: float) -> float:
        """Give the requests a second offered since the last call."""
        span = max(now - self._seen_at, 1e-3)
        wanted = self._seen / span
        self._seen = 0
        self._seen_at = now
        return wanted

    def renew(self, share: QuotaShare, now: float) -> None:
        """Put a new share in force."""
        self._share = share
        self._bucket.set_rate(share.rate, max(1.0, share.rate), now)

"""Limits: token bucket, adaptive concurrency, and team quotas shared by entries.

These decide how many requests an endpoint runs at once, and whether a team's request
is within its rate. A team's rate is divided among all entries by one of them, its home
entry, which leases each entry a share that expires unless it is renewed.
"""

from typing import NamedTuple

from slatehoist.routing.hashing import rendezvous_weight

#: Factor applied to the concurrency limit when steps are slower than the target.
DECREASE_FACTOR = 0.85
#: Slots added to the concurrency limit when steps are not slower than the target and
#: nearly all slots are in use.
INCREASE_SLOTS = 1.0
#: Weight of the newest sample in the smoothed step time.
STEP_SMOOTHING = 0.3
#: Lifetime in seconds of a share that a home entry leases out.
SHARE_LIFETIME_S = 2.0
#: Factor applied to an entry's share at each missed renewal of its lease.
MISSED_RENEWAL_FACTOR = 0.5


class TokenBucket:
    """Rate limit with a bounded burst.

    Parameters
    ----------
    rate : float
        Requests per second.
    burst : float
        Largest number of requests at once.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self._level = burst
        self._updated_at = now

    def take(self, now: float, amount: float = 1.0) -> float:
        """Take tokens from the bucket if it holds enough.

        Returns
        -------
        float
            0 if the tokens were taken; otherwise the seconds until they can be, or
            `SHARE_LIFETIME_S` if the rate is 0.
        """
        self._refill(now)
        if self._level >= amount:
            self._level -= amount
            return 0.0
        if self.rate <= 0:
            return SHARE_LIFETIME_S
        return (amount - self._level) / self.rate

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Change the rate and the burst; tokens in the bucket stay, up to the burst."""
        self._refill(now)
        self.rate = rate
        self.burst = burst
        self._level = min(self._level, burst)

    def _refill(self, now: float) -> None:
        self._level = min(
            self.burst, self._level + (now - self._updated_at) * self.rate
        )
        self._updated_at = now


class AdaptiveLimit:
    """Concurrency limit that adapts to the endpoint's step time (AIMD).

    Steps slower than the target decrease the limit by a factor. Other steps increase
    it by one slot while nearly all slots are in use. The limit changes at most once
    per ``hold_s``.
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
        """Return the number of requests that may run at once."""
        return int(self._limit)

    @property
    def step_s(self) -> float:
        """Return the smoothed step time in seconds."""
        return self._step_s

    def observe(self, step_s: float, in_use: int, now: float) -> None:
        """Record a sample of the step time and adapt the limit."""
        if self._step_s:
            self._step_s += STEP_SMOOTHING * (step_s - self._step_s)
        else:
            self._step_s = step_s
        if now - self._changed_at < self._hold_s:
            return
        if self._step_s > self.target_step_s:
            self._set_limit(self._limit * DECREASE_FACTOR, now)
        elif in_use >= self.limit - 1:
            self._set_limit(self._limit + INCREASE_SLOTS, now)

    def _set_limit(self, limit: float, now: float) -> None:
        self._limit = min(max(limit, self.floor), self.ceiling)
        self._changed_at = now


def home_entry(team: str, entries: list[str]) -> str:
    """Return the entry that divides a team's quota, chosen by rendezvous hashing."""
    return max(entries, key=lambda name: rendezvous_weight(team, name))


class QuotaShare(NamedTuple):
    """Part of a team's rate, leased to one entry until it expires."""

    rate: float
    expires: float


class QuotaHome:
    """Divides the rates of the teams whose home entry is this one.

    Each entry asks for a share and reports the demand that it sees. A share shrinks at
    once, but it grows only by what no unexpired share holds, so that the shares never
    add up to more than the team's rate.
    """

    def __init__(self, lifetime_s: float = SHARE_LIFETIME_S) -> None:
        self._lifetime_s = lifetime_s
        self._shares: dict[str, dict[str, tuple[QuotaShare, float]]] = {}

    def grant(
        self, team: str, entry: str, demand: float, rate: float, now: float
    ) -> QuotaShare:
        """Grant an entry its share of a team's rate.

        Parameters
        ----------
        demand : float
            Requests per second that arrive at the entry.
        rate : float
            Requests per second that the team may make in all.
        """
        shares = self._live_shares(team, now)
        demands = {name: known for name, (_, known) in shares.items()}
        demands[entry] = max(demand, rate * 0.01)
        fair = rate * demands[entry] / sum(demands.values())
        others = sum(share.rate for name, (share, _) in shares.items() if name != entry)
        share = QuotaShare(max(min(fair, rate - others), 0.0), now + self._lifetime_s)
        shares[entry] = (share, demands[entry])
        return share

    def _live_shares(
        self, team: str, now: float
    ) -> dict[str, tuple[QuotaShare, float]]:
        """Return a team's shares, with expired ones reduced and tiny ones dropped.

        An entry that cannot renew its lease still uses a reduced share (see
        `QuotaHolder`), so that part of the rate stays reserved for it.
        """
        shares = self._shares.setdefault(team, {})
        for name, (share, demand) in list(shares.items()):
            if share.expires <= now:
                kept = share._replace(rate=share.rate * MISSED_RENEWAL_FACTOR)
                shares[name] = (kept._replace(expires=now + self._lifetime_s), demand)
                if kept.rate < 0.01:
                    del shares[name]
        return shares


class QuotaHolder:
    """Holds one entry's share of one team's rate and limits requests to it.

    Until the home entry has answered, the entry uses its part of an even split. When
    the home entry no longer answers, each missed renewal halves the share.
    """

    def __init__(self, rate: float, entries: int, now: float) -> None:
        even_share = rate / max(entries, 1)
        self._bucket = TokenBucket(even_share, max(1.0, even_share), now)
        self._share = QuotaShare(even_share, now + SHARE_LIFETIME_S)
        self._requests = 0
        self._measured_at = now

    def take(self, now: float) -> float:
        """Take a token for one request; return 0, or the seconds until one is free."""
        self._requests += 1
        if now >= self._share.expires:
            self.renew(
                QuotaShare(
                    self._share.rate * MISSED_RENEWAL_FACTOR, now + SHARE_LIFETIME_S
                ),
                now,
            )
        return self._bucket.take(now)

    def measure_demand(self, now: float) -> float:
        """Return the requests per second since the last call, and restart the count."""
        elapsed_s = max(now - self._measured_at, 1e-3)
        demand = self._requests / elapsed_s
        self._requests = 0
        self._measured_at = now
        return demand

    def renew(self, share: QuotaShare, now: float) -> None:
        """Replace the share and its rate limit."""
        self._share = share
        self._bucket.set_rate(share.rate, max(1.0, share.rate), now)

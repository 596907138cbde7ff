"""Choice of an endpoint for a request.

A score in estimated seconds of wait is formed from this entry's own work in flight,
which is exact, and the reported load, which is late and is trusted less as it ages.
The best of a few random choices in the own zone is taken; another zone is taken when
it is better by more than the way there costs. A request whose prompt prefix was seen
goes back to the endpoint that holds it, as long as that one is not much busier. A
prefix that nobody is known to hold goes where its hash says, so that entries which do
not talk send it to the same endpoint.
"""

import heapq
import random
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from xxhash import xxh3_64_intdigest

#: Random candidates that are compared.
CHOICES = 8
#: Age, in seconds, at which a reported load is half trusted.
LOAD_HALF_LIFE_S = 0.5
#: Extra load, in parts of the concurrency, at which another zone is worth its way.
ZONE_PENALTY = 0.15
#: Endpoints that a prefix's hash names, best first.
HASHED_HOLDERS = 3
#: Part of all slots in use above which requests wait rather than fail fast.
FAIL_FAST_LOAD = 0.97
#: Load up to which an endpoint is taken to have a free slot for its prefixes.
AFFINITY_FREE = 0.95
#: Extra load, beyond that, at which a cached prefix is not worth waiting for.
AFFINITY_SLACK = 0.15

_SEED_MASK = 2**64 - 1


class Candidate(NamedTuple):
    """What an entry knows of one endpoint.

    Attributes
    ----------
    own_inflight : int
        Attempts of this entry that run or wait there.
    reported_load : float
        Work queued and running there by its own report, in requests.
    own_at_report : int
        Attempts of this entry that the report counted.
    report_age_s : float
        Age of the report in seconds.
    concurrency : int
        Requests that the endpoint runs at once.
    """

    name: str
    zone: str
    own_inflight: int = 0
    reported_load: float = 0.0
    own_at_report: int = 0
    report_age_s: float = 0.0
    concurrency: int = 32


class Chooser(Protocol):
    """Way to choose among candidates."""

    def choose(
        self,
        candidates: Sequence[Candidate],
        zone: str,
        holders: Sequence[str] = (),
        prefix: int = 0,
    ) -> Candidate | None:
        """Choose a candidate.

        Parameters
        ----------
        candidates : sequence of Candidate
        zone : str
            Availability zone of the chooser.
        holders : sequence of str
            Endpoints thought to hold the request's prefix, best first.
        prefix : int
            Hash of the prefix; 0 for none.
        """


def others_reported(candidate: Candidate) -> float:
    """Give the work of other entries that the newest report counted."""
    return max(0.0, candidate.reported_load - candidate.own_at_report)


def estimated_load(candidate: Candidate, mean_others: float) -> float:
    """Estimate the work at an endpoint per slot, from late reports and own work.

    Own work is known exactly. The others' is what the report counted, and the older
    that is, the more it is taken to have drawn near to what others have everywhere:
    an endpoint that was idle a while ago has been found by everybody else too.

    Parameters
    ----------
    mean_others : float
        Others' work at an endpoint, averaged over all candidates.
    """
    trust = 0.5 ** (candidate.report_age_s / LOAD_HALF_LIFE_S)
    others = trust * others_reported(candidate) + (1 - trust) * mean_others
    work = candidate.own_inflight + others
    return work / candidate.concurrency


def hashed_holders(
    candidates: Sequence[Candidate], zone: str, prefix: int
) -> list[str]:
    """Give the endpoints that a prefix's hash names, those of the own zone first."""
    near = [c.name for c in candidates if c.zone == zone]
    names = near or [c.name for c in candidates]
    seed = prefix & _SEED_MASK
    return heapq.nlargest(
        HASHED_HOLDERS, names, key=lambda name: xxh3_64_intdigest(name.encode(), seed)
    )


def may_fail_fast(candidates: Sequence[Candidate]) -> bool:
    """Tell whether a request should ask to be refused rather than queued.

    While there are free slots somewhere, a refusal by a full endpoint costs one way
    there and back and finds a free one. When all are full it would only cost.
    """
    slots = sum(candidate.concurrency for candidate in candidates)
    work = sum(max(c.reported_load, c.own_inflight) for c in candidates)
    return len(candidates) > 1 and work < slots * FAIL_FAST_LOAD


class LoadAwareChooser:
    """Choose by estimated load, zone and prefix affinity."""

    def __init__(
        self,
        rng: random.Random,
        choices: int = CHOICES,
        zone_penalty: float = ZONE_PENALTY,
        affinity_slack: float = AFFINITY_SLACK,
    ) -> None:
        self._rng = rng
        self._choices = choices
        self._zone_penalty = zone_penalty
        self._affinity_slack = affinity_slack
        self._mean_others = 0.0

    def choose(
        self,
        candidates: Sequence[Candidate],
        zone: str,
        holders: Sequence[str] = (),
        prefix: int = 0,
    ) -> Candidate | None:
        """Choose a candidate; see `Chooser.choose`."""
        if not candidates:
            return None
        total = sum(others_reported(candidate) for candidate in candidates)
        self._mean_others = total / len(candidates)
        best = self._least_loaded(candidates, zone)
        if prefix:
            hashed = hashed_holders(candidates, zone, prefix)
            holders = [*holders, *hashed]
        return self._prefer_holder(candidates, zone, holders, best)

    def _least_loaded(self, candidates: Sequence[Candidate], zone: str) -> Candidate:
        near = [c for c in candidates if c.zone == zone]
        far = [c for c in candidates if c.zone != zone]
        sample = self._sample(near) + self._sample(far)
        return min(sample, key=lambda c: self._score(c, zone))

    def _sample(self, candidates: list[Candidate]) -> list[Candidate]:
        count = min(self._choices, len(candidates))
        return self._rng.sample(candidates, count)

    def _score(self, candidate: Candidate, zone: str) -> float:
        penalty = 0.0 if candidate.zone == zone else self._zone_penalty
        return estimated_load(candidate, self._mean_others) + penalty

    def _prefer_holder(
        self,
        candidates: Sequence[Candidate],
        zone: str,
        holders: Sequence[str],
        best: Candidate,
    ) -> Candidate:
        by_name = {c.name: c for c in candidates}
        limit = self._score(best, zone) + self._affinity_slack
        for name in holders:
            holder = by_name.get(name)
            if holder is None:
                continue
            load = estimated_load(holder, self._mean_others)
            if load <= AFFINITY_FREE or self._score(holder, zone) <= limit:
                return holder
        return best

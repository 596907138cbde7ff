"""Choice of an endpoint for a request.

A score in estimated seconds of wait is formed from this entry's own work in flight,
which is exact, and the reported load, which is late and is trusted less as it ages.
The best of a few random choices in the own zone is taken; another zone is taken when
it is better by more than the way there costs. A request whose prompt prefix was seen
goes back to the endpoint that holds it, as long as that one is not much busier.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple, Protocol

#: Random candidates that are compared.
CHOICES = 3
#: Time constant, in seconds, after which a reported load is half trusted.
LOAD_HALF_LIFE_S = 2.0
#: Extra load, in parts of the concurrency, at which another zone is worth its way.
ZONE_PENALTY = 0.15
#: Extra load at which a cached prefix is no longer worth waiting for.
AFFINITY_SLACK = 0.3


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
    step_ratio: float = 1.0


class Chooser(Protocol):
    """Way to choose among candidates."""

    def choose(
        self,
        candidates: Sequence[Candidate],
        zone: str,
        holders: Sequence[str] = (),
    ) -> Candidate | None:
        """Choose a candidate.

        Parameters
        ----------
        candidates : sequence of Candidate
        zone : str
            Availability zone of the chooser.
        holders : sequence of str
            Endpoints thought to hold the request's prefix, best first.
        """


def estimated_load(candidate: Candidate) -> float:
    """Estimate the work at an endpoint per slot, from late reports and own work.

    Work of others is what the report counted beyond our own at that time, believed
    less as the report ages; own work is known exactly.
    """
    others = max(0.0, candidate.reported_load - candidate.own_at_report)
    trust = 0.5 ** (candidate.report_age_s / LOAD_HALF_LIFE_S)
    work = candidate.own_inflight + others * trust
    return work / candidate.concurrency * candidate.step_ratio


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

    def choose(
        self,
        candidates: Sequence[Candidate],
        zone: str,
        holders: Sequence[str] = (),
    ) -> Candidate | None:
        """Choose a candidate; see `Chooser.choose`."""
        if not candidates:
            return None
        best = self._least_loaded(candidates, zone)
        if not holders:
            return best
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
        return estimated_load(candidate) + penalty

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
            if holder is not None and self._score(holder, zone) <= limit:
                return holder
        return best

"""Endpoint selection: choose the endpoint that runs a request.

Entries and gateways score endpoints in the same way. The score of an endpoint is its
estimated load per slot. It combines the work that this process has in flight there,
which is exact, with the load that the endpoint reported, which is late and counts less
as it ages. A process samples a few endpoints of its own zone and a few of the other
zones and takes the one with the lowest score; an endpoint of another zone has a penalty
added to its score.

An entry sends a request to an endpoint that holds its prompt prefix in its cache, as
long as that endpoint has spare capacity or is not much busier than the best one.
Endpoints that rendezvous hashing selects for the prefix are tried next, so that all
entries send an unknown prefix to the same endpoint without exchanging messages.
"""

import heapq
import random
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from xxhash import xxh3_64_intdigest

#: Number of endpoints sampled in the own zone, and as many in all other zones together.
SAMPLE_SIZE = 8
#: Age in seconds at which a reported load has half its weight in the estimate.
LOAD_HALF_LIFE_S = 0.5
#: Load per slot added to the score of an endpoint in another zone, since the network
#: round trip is longer.
ZONE_PENALTY = 0.15
#: Number of endpoints that rendezvous hashing selects for a prefix.
HASHED_HOLDERS = 3
#: Load of all endpoints together, as a fraction of all slots, from which full endpoints
#: queue requests. Below it they refuse them, see `may_fail_fast`.
FAIL_FAST_LOAD = 0.97
#: Load per slot up to which an endpoint that holds the prefix is chosen, even if other
#: endpoints are less loaded.
AFFINITY_MAX_LOAD = 0.95
#: A holder above `AFFINITY_MAX_LOAD` is chosen only if its score exceeds the best score
#: by at most this, since waiting longer costs more than the cached prefix saves.
AFFINITY_SLACK = 0.15

_SEED_MASK = 2**64 - 1


class Candidate(NamedTuple):
    """State of one endpoint as the choosing process knows it.

    Attributes
    ----------
    own_inflight : int
        Attempts of this process that run or wait at the endpoint.
    reported_load : float
        Requests queued and running at the endpoint, as it reported.
    own_at_report : int
        Attempts of this process that the report includes.
    report_age_s : float
        Age of the report in seconds.
    concurrency : int
        Requests that the endpoint runs at once.
    allocated : int
        Free slots that the endpoint's agent allocated to this process and that are
        still unused.
    has_idle_connection : bool
        Whether a request probably needs no new connection.
    """

    name: str
    zone: str
    own_inflight: int = 0
    reported_load: float = 0.0
    own_at_report: int = 0
    report_age_s: float = 0.0
    concurrency: int = 32
    allocated: int = 0
    has_idle_connection: bool = False


class Chooser(Protocol):
    """Strategy for choosing among candidates."""

    def choose(
        self,
        candidates: Sequence[Candidate],
        zone: str,
        holders: Sequence[str] = (),
        prefix: int = 0,
    ) -> Candidate | None:
        """Return the chosen candidate, or None if there are no candidates.

        Parameters
        ----------
        candidates : sequence of Candidate
        zone : str
            Availability zone of the choosing process.
        holders : sequence of str
            Endpoints that probably have the request's prefix cached, best first.
        prefix : int
            Hash of the prefix; 0 for none.
        """


def others_reported(candidate: Candidate) -> float:
    """Return the work of other processes that the latest report includes."""
    return max(0.0, candidate.reported_load - candidate.own_at_report)


def estimated_load(candidate: Candidate, mean_others: float) -> float:
    """Return the estimated load of an endpoint: its work per slot.

    The work of this process is known exactly. The work of other processes is taken from
    the endpoint's report. As the report ages, the estimate moves from the reported
    value to the mean over all candidates: if an endpoint was idle some time ago, other
    processes have sent requests to it since.

    Parameters
    ----------
    mean_others : float
        Work of other processes at an endpoint, averaged over all candidates.
    """
    report_weight = 0.5 ** (candidate.report_age_s / LOAD_HALF_LIFE_S)
    others = (
        report_weight * others_reported(candidate) + (1 - report_weight) * mean_others
    )
    work = candidate.own_inflight + others
    return work / candidate.concurrency


def hashed_holders(
    candidates: Sequence[Candidate], zone: str, prefix: int
) -> list[str]:
    """Return the endpoints that rendezvous hashing selects for a prefix, best first.

    Only endpoints of the own zone are considered, if there are any.
    """
    local = [c.name for c in candidates if c.zone == zone]
    names = local or [c.name for c in candidates]
    seed = prefix & _SEED_MASK
    return heapq.nlargest(
        HASHED_HOLDERS, names, key=lambda name: xxh3_64_intdigest(name.encode(), seed)
    )


def may_fail_fast(candidates: Sequence[Candidate]) -> bool:
    """Return True if a full endpoint should refuse a request rather than queue it.

    While another endpoint has free slots, a refusal costs one round trip and the
    request then runs at once elsewhere. When all endpoints are full, a refusal gains
    nothing.
    """
    slots = sum(candidate.concurrency for candidate in candidates)
    work = sum(max(c.reported_load, c.own_inflight) for c in candidates)
    return len(candidates) > 1 and work < slots * FAIL_FAST_LOAD


class LoadAwareChooser:
    """Chooser that compares candidates by estimated load, zone and prefix affinity."""

    def __init__(
        self,
        rng: random.Random,
        sample_size: int = SAMPLE_SIZE,
        zone_penalty: float = ZONE_PENALTY,
        affinity_slack: float = AFFINITY_SLACK,
    ) -> None:
        self._rng = rng
        self._sample_size = sample_size
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
        """Return the chosen candidate; see `Chooser.choose`."""
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
        local = [c for c in candidates if c.zone == zone]
        remote = [c for c in candidates if c.zone != zone]
        sample = self._sample(local) + self._sample(remote)
        return min(sample, key=lambda c: self._score(c, zone))

    def _sample(self, candidates: list[Candidate]) -> list[Candidate]:
        count = min(self._sample_size, len(candidates))
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
        """Return the first holder that is not too busy, else the best candidate."""
        by_name = {c.name: c for c in candidates}
        max_score = self._score(best, zone) + self._affinity_slack
        for name in holders:
            holder = by_name.get(name)
            if holder is None:
                continue
            load = estimated_load(holder, self._mean_others)
            if load <= AFFINITY_MAX_LOAD or self._score(holder, zone) <= max_score:
                return holder
        return best

"""Measure the planner of maps under demand that shifts every few seconds.

For both deployments: mean and 99th percentile of the skew by pass, bytes copied and
orders, against the first map, a full replan each second, and two oracles that know the
true demand, one of which has to copy. The last line is JSON.
"""

import argparse
import concurrent.futures
import json
import os
from typing import NamedTuple

os.environ.setdefault("OMP_NUM_THREADS", "1")

import numpy as np

from models.shifting_demand import GROWN, STANDARD, Deployment, Group
from slatehoist.maps import (
    DemandWindow,
    Placement,
    PlanLimits,
    PlanSettings,
    copies_by_rank,
    initial_placement,
    is_outdated,
    plan,
    skew,
)

#: Seconds that one run simulates.
SPAN_S = 40.0
#: Seconds between two plans of the full replanner.
REPLAN_S = 1.0
#: Seconds between a plan's last copy and the pass that runs on it.
SWITCH_S = 0.1
#: Orders of one switch to each rank: prepare, arm or hold, release.
ORDERS_PER_RANK = 2.2
#: Least gains of the contenders that copy whatever helps, so that noise alone of the
#: planner's arithmetic does not count.
ANY_GAIN = 0.001
ANY_SKEW_GAIN = 0.02
WORKERS = 4
CONTENDERS = ("first_map", "full_replan", "ours", "oracle_copies", "oracle_free")


class Case(NamedTuple):
    """One run of one contender."""

    contender: str
    deployment: Deployment
    seed: int


class Switching(NamedTuple):
    """Placement whose copies are being made."""

    placement: Placement
    ready_at: float
    expected: float


class Contender:
    """Decides on placements as its name says."""

    def __init__(self, case: Case) -> None:
        self.name = case.contender
        self.size = case.deployment
        self.window = DemandWindow(self.size.sets, self.size.experts)
        self.copies = 0
        self.switches = 0
        self._planned_at = float("-inf")
        self._cfg = PlanSettings()

    def _limits(self) -> PlanLimits:
        size = self.size
        if self.name in ("full_replan", "oracle_free"):
            return PlanLimits(size.places, size.spare, size.spare * size.sets, ANY_GAIN)
        copies = self._cfg.copies_per_rank(size.copy_s)
        return PlanLimits(size.places, size.spare, copies, self._cfg.min_gain)

    def begin(self, group: Group) -> Switching | None:
        """Plan; None if the placement in force stays."""
        if self.name == "first_map":
            return None
        is_oracle = self.name.startswith("oracle")
        demand = group.demand if is_oracle else self.window.estimate()
        if demand is None:
            return None
        if self.name == "full_replan" and group.now - self._planned_at < REPLAN_S:
            return None
        self._planned_at = group.now
        planned = plan(group.placement, demand, self._limits())
        before, after = skew(group.placement, demand), skew(planned, demand)
        copies = copies_by_rank(group.placement, planned)
        is_ours = self.name == "ours"
        least = self._cfg.min_skew_gain if is_ours else ANY_SKEW_GAIN
        if before - after < least:
            return None
        self.copies += sum(copies)
        wait_s = SWITCH_S + max(copies) * self.size.copy_s
        if self.name == "oracle_free":
            wait_s = 0.0
        return Switching(planned, group.now + wait_s, after)

    def gives_up(self, switching: Switching, group: Group) -> bool:
        """Whether the demand that a placement was planned for is over."""
        if self.name == "ours":
            demand = self.window.estimate()
        elif self.name == "oracle_copies":
            demand = group.demand
        else:
            return False
        pace = [1.0] * self.size.ranks
        return is_outdated(switching.placement, demand, pace, switching.expected)


def run(case: Case) -> dict:
    """Run one contender."""
    size = case.deployment
    first = initial_placement(size.sets, size.ranks, size.experts)
    group = Group(size, first, case.seed)
    contender = Contender(case)
    skews, switching = [], None
    for done in group.passes(SPAN_S):
        skews.append(done.skew)
        contender.window.add(done.counts, done.at)
        if switching is not None:
            if contender.gives_up(switching, group):
                switching = None
            elif done.at >= switching.ready_at:
                group.placement = switching.placement
                contender.switches += 1
                switching = None
        if switching is None:
            switching = contender.begin(group)
    return {
        "mean": float(np.mean(skews)),
        "p99": float(np.percentile(skews, 99)),
        "gb": contender.copies * size.expert_gb,
        "orders": contender.switches * size.ranks * ORDERS_PER_RANK,
    }


def summarize(cases: list[Case], results: list[dict]) -> list[dict]:
    """Average over seeds, and compare with the goal."""
    rows = []
    for size in (STANDARD, GROWN):
        means = {}
        for name in CONTENDERS:
            own = [
                result
                for case, result in zip(cases, results, strict=True)
                if case.deployment == size and case.contender == name
            ]
            if own:
                means[name] = {k: float(np.mean([r[k] for r in own])) for k in own[0]}
        for name, mean in means.items():
            over = mean["mean"] / means["oracle_copies"]["mean"] - 1
            part = mean["gb"] / max(means["full_replan"]["gb"], 1e-9)
            rows.append(
                {
                    "deployment": size.name,
                    "contender": name,
                    **{key: round(value, 3) for key, value in mean.items()},
                    "over_oracle": round(over, 3),
                    "gb_of_full": round(part, 3),
                }
            )
    return rows


def main() -> None:
    """Run the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=int(os.environ.get("SEED", "1")))
    parser.add_argument("--seeds", type=int, default=4)
    args = parser.parse_args()
    seeds = range(args.seed, args.seed + args.seeds)
    print(f"seeds {seeds[0]}..{seeds[-1]}")
    cases = [
        Case(name, size, seed)
        for size in (STANDARD, GROWN)
        for name in CONTENDERS
        for seed in seeds
    ]
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        results = list(pool.map(run, cases))
    rows = summarize(cases, results)
    print(" ".join(f"{name[-13:]:>13}" for name in rows[0]))
    for row in rows:
        print(" ".join(f"{value!s:>13}" for value in row.values()))
    print(json.dumps({"seeds": list(seeds), "rows": rows}))


if __name__ == "__main__":
    main()

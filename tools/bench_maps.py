"""Measure the planner of expert maps under demand that shifts every few seconds.

For both deployments, prints the mean and 99th percentile of the skew per pass, the
bytes copied and the orders sent. The planner is compared with the first map, with a
full replan every second, and with two oracles that know the true demand: the copies of
one take time, those of the other do not. The last line of the output is JSON.
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

#: Simulated seconds of one run.
SPAN_S = 40.0
#: Seconds between two plans of the full replanner.
REPLAN_S = 1.0
#: Seconds from the last copy of a plan to the first pass that uses the new placement.
SWITCH_S = 0.1
#: Mean number of orders that each rank receives in one switch: prepare, arm or hold,
#: release.
ORDERS_PER_RANK = 2.2
#: Minimum gain of a copy for ``full_replan`` and ``oracle_free``, and of a switch for
#: all contenders but ``ours``. They are above 0 so that rounding errors of the planner
#: do not cause copies.
BASELINE_MIN_GAIN = 0.001
BASELINE_MIN_SKEW_GAIN = 0.02
WORKERS = 4
CONTENDERS = ("first_map", "full_replan", "ours", "oracle_copies", "oracle_free")


class Case(NamedTuple):
    """One run of one contender."""

    contender: str
    deployment: Deployment
    seed: int


class PendingSwitch(NamedTuple):
    """Switch to a new placement, whose copies are in progress.

    Attributes
    ----------
    ready_at : float
        Time in seconds at which passes can use the placement.
    expected_skew : float
        Skew of the placement under the demand that it was planned for.
    """

    placement: Placement
    ready_at: float
    expected_skew: float


class Contender:
    """Decide on new placements by the strategy that the case's contender names."""

    def __init__(self, case: Case) -> None:
        self.name = case.contender
        self.deployment = case.deployment
        self.window = DemandWindow(self.deployment.sets, self.deployment.experts)
        self.copies = 0
        self.switches = 0
        self._planned_at = float("-inf")
        self._cfg = PlanSettings()

    def _limits(self) -> PlanLimits:
        deployment = self.deployment
        if self.name in ("full_replan", "oracle_free"):
            return PlanLimits(
                deployment.places,
                deployment.spare,
                deployment.spare * deployment.sets,
                BASELINE_MIN_GAIN,
            )
        copies = self._cfg.copies_per_rank(deployment.copy_s)
        return PlanLimits(
            deployment.places, deployment.spare, copies, self._cfg.min_gain
        )

    def begin_switch(self, group: Group) -> PendingSwitch | None:
        """Plan a placement and return the switch to it, or None to keep the current."""
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
        is_product = self.name == "ours"
        min_skew_gain = (
            self._cfg.min_skew_gain if is_product else BASELINE_MIN_SKEW_GAIN
        )
        if before - after < min_skew_gain:
            return None
        self.copies += sum(copies)
        wait_s = SWITCH_S + max(copies) * self.deployment.copy_s
        if self.name == "oracle_free":
            wait_s = 0.0
        return PendingSwitch(planned, group.now + wait_s, after)

    def should_abandon(self, pending: PendingSwitch, group: Group) -> bool:
        """Return True if a pending placement no longer fits the demand."""
        if self.name == "ours":
            demand = self.window.estimate()
        elif self.name == "oracle_copies":
            demand = group.demand
        else:
            return False
        pace = [1.0] * self.deployment.ranks
        return is_outdated(pending.placement, demand, pace, pending.expected_skew)


def run(case: Case) -> dict:
    """Simulate one contender and return its figures."""
    deployment = case.deployment
    first = initial_placement(deployment.sets, deployment.ranks, deployment.experts)
    group = Group(deployment, first, case.seed)
    contender = Contender(case)
    skews, pending = [], None
    for result in group.run_passes(SPAN_S):
        skews.append(result.skew)
        contender.window.add(result.counts, result.at)
        if pending is not None:
            if contender.should_abandon(pending, group):
                pending = None
            elif result.at >= pending.ready_at:
                group.placement = pending.placement
                contender.switches += 1
                pending = None
        if pending is None:
            pending = contender.begin_switch(group)
    return {
        "mean": float(np.mean(skews)),
        "p99": float(np.percentile(skews, 99)),
        "gb": contender.copies * deployment.expert_gb,
        "orders": contender.switches * deployment.ranks * ORDERS_PER_RANK,
    }


def summarize(cases: list[Case], results: list[dict]) -> list[dict]:
    """Return the mean figures over the seeds, compared with two of the contenders.

    ``over_oracle`` compares the skew with that of the oracle whose copies take time,
    and ``gb_of_full`` the bytes copied with those of the full replan.
    """
    rows = []
    for deployment in (STANDARD, GROWN):
        means = {}
        for name in CONTENDERS:
            matching = [
                result
                for case, result in zip(cases, results, strict=True)
                if case.deployment == deployment and case.contender == name
            ]
            if matching:
                means[name] = {
                    k: float(np.mean([r[k] for r in matching])) for k in matching[0]
                }
        for name, mean in means.items():
            over_oracle = mean["mean"] / means["oracle_copies"]["mean"] - 1
            gb_ratio = mean["gb"] / max(means["full_replan"]["gb"], 1e-9)
            rows.append(
                {
                    "deployment": deployment.name,
                    "contender": name,
                    **{key: round(value, 3) for key, value in mean.items()},
                    "over_oracle": round(over_oracle, 3),
                    "gb_of_full": round(gb_ratio, 3),
                }
            )
    return rows


def main() -> None:
    """Run the bench and print its report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=int(os.environ.get("SEED", "1")))
    parser.add_argument("--seeds", type=int, default=4)
    args = parser.parse_args()
    seeds = range(args.seed, args.seed + args.seeds)
    print(f"seeds {seeds[0]}..{seeds[-1]}")
    cases = [
        Case(name, deployment, seed)
        for deployment in (STANDARD, GROWN)
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

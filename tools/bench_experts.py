"""Compare the expert planner with its baselines and with the lower bound of the skew.

Prints a table with one row per group size, scenario and quality of readings, and, as
the last line, JSON. ``--plot`` also writes an image to docs/img: the skew over time,
and the mean skew against the bytes moved.
"""

import argparse
import concurrent.futures
import json
import os
import resource
import time
from typing import NamedTuple

os.environ.setdefault("OMP_NUM_THREADS", "1")

import numpy as np

from models.expert_loads import SCENARIOS, sample_loads, simulate_readings
from slatehoist.experts import (
    FullReplanner,
    MoveCost,
    Planner,
    StaticPlanner,
    forecast,
    initial_placement,
    lower_bound,
    moved_slots,
    split_load,
)

#: Seconds between two plans.
PERIOD_S = 60.0
#: Readings that a plan uses.
WINDOW_READINGS = 6
#: Periods within which undoing a move counts as flapping.
FLAP_PERIODS = 10
#: Periods until a planner has enough readings for its flapping to be counted.
WARM_UP_PERIODS = 15
#: Weight of skew relative to the cost of moves, as each of the two members sets it.
MEMBERS = {"andina": 1.0, "tejoverde": 0.015}
WORKERS = 4


class Case(NamedTuple):
    """One run of one contender.

    Attributes
    ----------
    lag : int
        Periods by which the readings of the load are late.
    gap : float
        Fraction of the layers that are missing from a reading.
    skew_weight : float
        Weight of skew relative to the cost of moves.
    """

    scenario: str
    contender: str
    ranks: int
    layers: int
    experts: int
    spare: int
    periods: int
    lag: int
    gap: float
    seed: int
    skew_weight: float = 0.0


def make_planner(case: Case):
    """Return the planner of a case's contender."""
    if case.contender == "static":
        return StaticPlanner()
    if case.contender == "full":
        return FullReplanner()
    return Planner(MoveCost(), case.skew_weight)


def run(case: Case) -> dict:
    """Run one contender in one scenario and return its figures."""
    loads = sample_loads(
        case.scenario, case.seed, case.periods, case.layers, case.experts
    )
    readings = simulate_readings(loads, case.seed, case.lag, case.gap)
    placement = initial_placement(case.layers, case.ranks, case.experts, case.spare)
    placement = FullReplanner().plan(placement, readings[0])
    planner = make_planner(case)
    slots = case.experts + case.spare
    skews, bounds, moves, flaps, cpu_s = [], [], [], 0, []
    changed: dict[tuple, int] = {}
    for t in range(1, case.periods):
        window = readings[max(0, t - WINDOW_READINGS) : t]
        predicted = forecast(window, 1 + case.lag)
        start = time.process_time()
        if case.contender in ("static", "full"):
            new = planner.plan(placement, predicted)
        else:
            new = planner.plan(placement, window, 1 + case.lag)
        cpu_s.append(time.process_time() - start)
        moves.append(moved_slots(placement, new))
        new_flaps = count_flaps(placement, new, changed, t)
        flaps += new_flaps if t > WARM_UP_PERIODS else 0
        placement = new
        skews.append(skew(placement, predicted, loads[t]))
        mean = loads[t].sum(axis=1) / case.ranks
        bounds.append(lower_bound(loads[t], case.ranks, slots).sum() / mean.sum())
    cost = MoveCost()
    fetch_s = np.array(moves) * cost.expert_bytes / cost.store_rate
    return {
        "skew": float(np.mean(skews)),
        "skew_p99": float(np.percentile(skews, 99)),
        "bound": float(np.mean(bounds)),
        "gigabytes": float(np.sum(moves) * cost.expert_bytes / 1e9),
        "fetch_s_mean": float(fetch_s.mean()),
        "slow_down": float(np.minimum(fetch_s / PERIOD_S, 1).mean() * cost.slow_down),
        "flaps": flaps / (case.periods - WARM_UP_PERIODS - 1),
        "moves": int(np.sum(moves)),
        "cpu_s": float(np.mean(cpu_s)),
        "cpu_s_max": float(np.max(cpu_s)),
        "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "series": [round(s, 4) for s in skews],
    }


def skew(placement: np.ndarray, predicted: np.ndarray, loads: np.ndarray) -> float:
    """Return the skew under the actual loads.

    It is the sum over layers of the largest rank load, divided by the sum of the mean
    rank loads. Replicas of an expert share its load in the proportions planned from the
    predicted load.
    """
    layers, ranks, _ = placement.shape
    planned = split_load(placement, predicted + 1.0)
    row = np.arange(layers)[:, None, None]
    share = planned / (predicted + 1.0)[row, placement]
    actual = np.where(placement >= 0, share * loads[row, placement], 0.0)
    largest = actual.sum(axis=2).max(axis=1)
    return float(largest.sum() / (loads.sum(axis=1) / ranks).sum())


def count_flaps(old: np.ndarray, new: np.ndarray, changed: dict, t: int) -> int:
    """Return the number of moves that undo a move of the last FLAP_PERIODS periods.

    `changed` contains the period in which each expert was last added to or removed from
    each rank of a layer, and is updated.
    """
    flaps = 0
    # Experts that the new placement adds to a rank, then those that it removes.
    for placement, other in ((new, old), (old, new)):
        in_both = (placement[..., :, None] == other[..., None, :]).any(axis=-1)
        for layer, rank, slot in np.argwhere(~in_both & (placement >= 0)):
            key = (layer, rank, placement[layer, rank, slot])
            if t - changed.get(key, -FLAP_PERIODS - 1) <= FLAP_PERIODS:
                flaps += 1
            changed[key] = t
    return flaps


def make_cases(args: argparse.Namespace) -> list[Case]:
    """Return all combinations of size, scenario, reading quality, contender, seed."""
    sizes = [(64, 58, 64, 32), (64, 58, 64, 64), (8, 8, 16, 8)]
    if args.quick:
        sizes = [(64, 12, 64, 32)]
    weights = {"static": 0.0, "full": 0.0, **MEMBERS}
    return [
        Case(
            scenario,
            contender,
            ranks,
            layers,
            experts,
            spare,
            args.periods,
            lag,
            gap,
            seed,
            weight,
        )
        for ranks, layers, experts, spare in sizes
        for scenario in SCENARIOS
        for lag, gap in ((0, 0.0), (1, 0.1))
        for seed in range(args.seed, args.seed + args.seeds)
        for contender, weight in weights.items()
    ]


def group_results(cases: list[Case], results: list[dict]) -> dict:
    """Return the mean figures over the seeds for each setting and contender."""
    groups: dict[tuple, list[dict]] = {}
    for case, result in zip(cases, results, strict=True):
        key = (case.ranks, case.spare, case.scenario, case.lag, case.contender)
        groups.setdefault(key, []).append(result)
    return {
        key: {k: float(np.mean([r[k] for r in rs])) for k in rs[0] if k != "series"}
        for key, rs in groups.items()
    }


def summarize(means: dict) -> list[dict]:
    """Return one row per setting, which relates the members' figures to the baselines.

    ``tejoverde_way`` is the fraction of the gap between the static planner's skew and
    the lower bound that the planner closes with this member's weight.
    """
    rows = []
    for ranks, spare, name, lag in sorted({key[:4] for key in means}):
        setting = (ranks, spare, name, lag)
        static, full = means[(*setting, "static")], means[(*setting, "full")]
        andina, tejo = means[(*setting, "andina")], means[(*setting, "tejoverde")]
        progress = (static["skew"] - tejo["skew"]) / max(
            static["skew"] - full["bound"], 1e-9
        )
        full_bytes = max(full["gigabytes"], 1e-9)
        rows.append(
            {
                "ranks": ranks,
                "spare": spare,
                "scenario": name,
                "lag": lag,
                "static": round(static["skew"], 3),
                "full": round(full["skew"], 3),
                "bound": round(full["bound"], 3),
                "andina": round(andina["skew"], 3),
                "andina_p99": round(andina["skew_p99"], 3),
                "andina_over_full": round(andina["skew"] / full["skew"], 3),
                "andina_bytes": round(andina["gigabytes"] / full_bytes, 4),
                "andina_flaps": round(andina["flaps"], 1),
                "tejoverde": round(tejo["skew"], 3),
                "tejoverde_way": round(progress, 3),
                "tejoverde_bytes": round(tejo["gigabytes"] / full_bytes, 4),
                "tejoverde_flaps": round(tejo["flaps"], 1),
                "full_flaps": round(full["flaps"], 1),
                "full_fetch_s": round(full["fetch_s_mean"], 1),
                "andina_fetch_s": round(andina["fetch_s_mean"], 1),
                "tejoverde_fetch_s": round(tejo["fetch_s_mean"], 1),
                "cpu_s": round(andina["cpu_s"], 3),
                "peak_mb": round(andina["peak_mb"]),
            }
        )
    return rows


def print_table(rows: list[dict]) -> None:
    """Print the rows as a table with one column per figure."""
    names = list(rows[0])
    print(" ".join(f"{name[-11:]:>11}" for name in names))
    for row in rows:
        print(" ".join(f"{row[name]!s:>11}" for name in names))


def plot(cases: list[Case], results: list[dict]) -> None:
    """Plot the skew over time, and the mean skew against the bytes moved."""
    import matplotlib as mpl

    mpl.use("Agg")
    import matplotlib.pyplot as plt

    fig, axes = plt.subplots(1, 2, figsize=(11, 4))
    for case, result in zip(cases, results, strict=True):
        is_plotted = (case.scenario, case.spare, case.lag, case.ranks) == (
            "shift",
            32,
            1,
            64,
        )
        if is_plotted and case.seed == cases[0].seed:
            axes[0].plot(result["series"], label=case.contender)
    axes[0].set(xlabel="period", ylabel="step-time skew", title="sudden shift")
    axes[0].legend()
    weights = (0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 1)
    base = Case("drift", "swept", 64, 12, 64, 32, 40, 1, 0.1, cases[0].seed)
    points = [run(base._replace(skew_weight=w)) for w in weights]
    for name in ("static", "full"):
        result = run(base._replace(contender=name))
        axes[1].plot(result["gigabytes"], result["skew"], "s", label=name)
    xs, ys = [p["gigabytes"] for p in points], [p["skew"] for p in points]
    axes[1].plot(xs, ys, "o-", label="planner, by skew weight")
    for weight, x, y in zip(weights, xs, ys, strict=True):
        axes[1].annotate(f"{weight:g}", (x, y))
    axes[1].set(xlabel="GB moved", ylabel="mean skew", title="frontier under drift")
    axes[1].set_xscale("symlog")
    axes[1].legend()
    fig.tight_layout()
    fig.savefig("docs/img/experts.png", dpi=110)


def main() -> None:
    """Run the bench and print its report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=int(os.environ.get("SEED", "1")))
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--periods", type=int, default=48)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--plot", action="store_true")
    args = parser.parse_args()
    print(f"seeds {args.seed}..{args.seed + args.seeds - 1}")
    cases = make_cases(args)
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        results = list(pool.map(run, cases))
    rows = summarize(group_results(cases, results))
    print_table(rows)
    if args.plot:
        plot(cases, results)
    print(json.dumps({"seed": args.seed, "seeds": args.seeds, "rows": rows}))


if __name__ == "__main__":
    main()

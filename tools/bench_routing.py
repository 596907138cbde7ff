"""Measure choosing, fairness, quotas and retries against baselines.

The last line is JSON. ``SEED=`` chooses the work, which is the same for every
contender.
"""

import concurrent.futures
import json
import os
import random

from models import choosers, overload
from models.endpoints import Outcome, Setup, run, run_central
from models.overload import DEADLINE_S, TOKENS_PER_S, Traffic
from slatehoist.routing import LoadAwareChooser

WORKERS = 6
#: Attempts that ask to be refused rather than queued, as in the product.
FAIL_FAST_ATTEMPTS = 2

SETUPS = {
    "12 at 0.8": Setup(),
    "12 at 0.9": Setup(load=0.9),
    "12 stragglers": Setup(stragglers=0.17),
    "12 zone lost": Setup(load=0.6, lost_zone_at=30.0),
    "880 of 370": Setup(
        endpoints=880, entries=370, zones=12, slots=4, seconds=8.0, prefixes=4000
    ),
    "880 stragglers": Setup(
        endpoints=880,
        entries=370,
        zones=12,
        slots=4,
        seconds=8.0,
        prefixes=4000,
        stragglers=0.05,
    ),
}
CONTENDERS = (
    "slatehoist",
    "random",
    "round robin",
    "least reported",
    "two choices",
    "affinity only",
    "central",
)


def run_choice(job: tuple[str, str, int]) -> Outcome:
    """Run one contender through one setup."""
    name, contender, seed = job
    setup = SETUPS[name]._replace(seed=seed)
    rng = random.Random(seed)
    match contender:
        case "central":
            return run_central(setup)
        case "slatehoist":
            return run(setup, LoadAwareChooser(rng), fail_fast=FAIL_FAST_ATTEMPTS)
        case "random":
            return run(setup, choosers.RandomChooser(rng))
        case "round robin":
            return run(setup, choosers.RoundRobinChooser())
        case "least reported":
            return run(setup, choosers.LeastReportedChooser())
        case "two choices":
            return run(setup, choosers.TwoChoicesChooser(rng))
    return run(setup, choosers.AffinityChooser(rng))


def bench_choices(seed: int) -> dict:
    """Measure the choice of an endpoint."""
    jobs = [(name, who, seed) for name in SETUPS for who in CONTENDERS]
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        outcomes = dict(zip(jobs, pool.map(run_choice, jobs), strict=True))
    result = {}
    for name in SETUPS:
        print(f"\n{name:16}" + "".join(f"{f:>11}" for f in Outcome._fields))
        for who in CONTENDERS:
            outcome = outcomes[name, who, seed]
            print(f"{who:16}" + "".join(f"{v:>11}" for v in outcome))
        ours = outcomes[name, "slatehoist", seed]
        rivals = [outcomes[name, who, seed] for who in CONTENDERS[1:-1]]
        affinity = outcomes[name, "affinity only", seed].hit_rate
        result[name] = {
            "p99": ours.p99,
            "best_baseline_p99": min(r.p99 for r in rivals),
            "central_p99": outcomes[name, "central", seed].p99,
            "over_central": round(ours.p99 / outcomes[name, "central", seed].p99, 2),
            "hit_rate": ours.hit_rate,
            "affinity_hit_rate": affinity,
        }
    return result


def bench_fairness(seed: int) -> dict:
    """Measure what a greedy member and overload do to others."""
    capacity = TOKENS_PER_S / 100
    weights = {"victim": 1.0, "greedy": 1.0}
    victim = Traffic("victim", 0.4 * capacity, 100)
    greedy = Traffic("greedy", 5.0 * capacity, 100)
    long = Traffic("greedy", 1.5, 2000, start=20, end=30)
    result = {}
    alone = run_one(overload.fair_queue(weights), [victim], seed)
    base = overload.time_p99(alone, "victim")
    for name, other in (("10 times its share", greedy), ("long drafts", long)):
        ours = run_one(overload.fair_queue(weights), [victim, other], seed)
        fifo = run_one(overload.FifoQueue(512), [victim, other], seed)
        result[name] = {
            "victim_alone_p99": round(base, 3),
            "victim_p99": round(overload.time_p99(ours, "victim"), 3),
            "victim_p99_fifo": round(overload.time_p99(fifo, "victim"), 3),
        }
    result["shares"] = bench_shares(seed)
    result["overload"] = bench_overload(seed)
    return result


def run_one(queue, traffic: list[Traffic], seed: int):
    """Run a minute of traffic."""
    return overload.run_queue(queue, traffic, 60.0, seed)


def bench_shares(seed: int) -> dict:
    """Measure shares of service of three members that all want more."""
    weights = {"a": 3.0, "b": 2.0, "c": 1.0}
    capacity = TOKENS_PER_S / 100
    traffic = [
        Traffic("a", 2 * capacity, 100),
        Traffic("b", 4 * capacity / 5, 500),
        Traffic("c", 2 * capacity, 100),
    ]
    served = run_one(overload.fair_queue(weights), traffic, seed)
    got = overload.shares(served, 10, 55)
    worst = max(abs(got[m] / (w / 6.0) - 1) for m, w in weights.items())
    return {**{m: round(s, 3) for m, s in got.items()}, "worst_error": round(worst, 3)}


def bench_overload(seed: int) -> dict:
    """Measure goodput at 2 and 5 times the capacity, and the recovery."""
    capacity = TOKENS_PER_S / 100
    weights = {f"m{i}": 1.0 for i in range(4)}
    result = {}
    for factor in (2.0, 5.0):
        traffic = [
            Traffic(m, factor * capacity / 4, 100, end=40.0) for m in weights
        ] + [Traffic("m0", 0.5 * capacity, 100, start=40.0)]
        row = {}
        for name, queue in (
            ("fair", overload.fair_queue(weights)),
            ("fifo", overload.FifoQueue(512)),
        ):
            served = run_one(queue, traffic, seed)
            late = [s for s in served if s.arrived > 40 and s.member == "m0"]
            waits = sorted((s.arrived, s.wait) for s in late)
            slow = [at for at, wait in waits if wait < 0 or wait > 1.0]
            row[name] = {
                "goodput": round(overload.goodput(served, 10, 40), 3),
                "recovery_s": round(max(slow, default=40.0) - 40.0, 2),
            }
        result[f"{factor:g}x"] = row
    return result


def bench_quotas(seed: int) -> dict:
    """Measure a team's quota over several entries."""
    return {
        "8 entries": overload.run_quota(8, 100.0, False, seed),
        "8 entries, one cut off": overload.run_quota(8, 100.0, True, seed),
    }


def bench_retries(seed: int) -> dict:
    """Measure retries while a part of the tries fails."""
    policies = ("none", "unlimited", "budget")
    rows = {
        f"{failing:.0%} {policy}": overload.run_retries(policy, failing, seed)
        for failing in (0.02, 0.3, 1.0)
        for policy in policies
    }
    rows["second wave, spread"] = overload.return_wave(True, seed)
    rows["second wave, not spread"] = overload.return_wave(False, seed)
    return rows


def main() -> None:
    """Run the bench."""
    seed = int(os.environ.get("SEED", "1"))
    print(f"seed {seed}, deadline {DEADLINE_S} s")
    report = {
        "seed": seed,
        "choices": bench_choices(seed),
        "fairness": bench_fairness(seed),
        "quotas": bench_quotas(seed),
        "retries": bench_retries(seed),
    }
    for part in ("fairness", "quotas", "retries"):
        print(f"\n{part}")
        for name, row in report[part].items():
            print(f"  {name}: {row}")
    print(json.dumps(report))


if __name__ == "__main__":
    main()

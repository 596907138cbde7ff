"""Compare endpoint selection, fair queueing, quotas and retries with baselines.

The last line of the output is JSON. The environment variable ``SEED`` is the seed of
the simulated requests, which are the same for every contender.
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
#: Number of first attempts of a request that a full endpoint refuses rather than
#: queues, as in the product.
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


def run_contender(case: tuple[str, str, int]) -> Outcome:
    """Simulate one contender in one setup."""
    name, contender, seed = case
    setup = SETUPS[name]._replace(seed=seed)
    rng = random.Random(seed)
    match contender:
        case "central":
            return run_central(setup)
        case "slatehoist":
            return run(
                setup, LoadAwareChooser(rng), fail_fast_attempts=FAIL_FAST_ATTEMPTS
            )
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
    """Compare endpoint selection by all contenders in all setups."""
    cases = [(name, contender, seed) for name in SETUPS for contender in CONTENDERS]
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        outcomes = dict(zip(cases, pool.map(run_contender, cases), strict=True))
    result = {}
    for name in SETUPS:
        print(f"\n{name:16}" + "".join(f"{f:>11}" for f in Outcome._fields))
        for contender in CONTENDERS:
            outcome = outcomes[name, contender, seed]
            print(f"{contender:16}" + "".join(f"{v:>11}" for v in outcome))
        ours = outcomes[name, "slatehoist", seed]
        baselines = [outcomes[name, contender, seed] for contender in CONTENDERS[1:-1]]
        affinity = outcomes[name, "affinity only", seed].hit_rate
        result[name] = {
            "p99": ours.p99,
            "best_baseline_p99": min(r.p99 for r in baselines),
            "central_p99": outcomes[name, "central", seed].p99,
            "over_central": round(ours.p99 / outcomes[name, "central", seed].p99, 2),
            "hit_rate": ours.hit_rate,
            "affinity_hit_rate": affinity,
        }
    return result


def bench_fairness(seed: int) -> dict:
    """Measure how a greedy member and overload affect the other members."""
    max_requests_per_s = TOKENS_PER_S / 100
    weights = {"victim": 1.0, "greedy": 1.0}
    victim = Traffic("victim", 0.4 * max_requests_per_s, 100)
    greedy = Traffic("greedy", 5.0 * max_requests_per_s, 100)
    long_requests = Traffic("greedy", 1.5, 2000, start=20, end=30)
    result = {}
    alone = run_minute(overload.fair_queue(weights), [victim], seed)
    alone_p99 = overload.latency_p99(alone, "victim")
    for name, other in (("10 times its share", greedy), ("long drafts", long_requests)):
        ours = run_minute(overload.fair_queue(weights), [victim, other], seed)
        fifo = run_minute(overload.FifoQueue(512), [victim, other], seed)
        result[name] = {
            "victim_alone_p99": round(alone_p99, 3),
            "victim_p99": round(overload.latency_p99(ours, "victim"), 3),
            "victim_p99_fifo": round(overload.latency_p99(fifo, "victim"), 3),
        }
    result["shares"] = bench_shares(seed)
    result["overload"] = bench_overload(seed)
    return result


def run_minute(queue, traffic: list[Traffic], seed: int):
    """Run one minute of traffic through a queue."""
    return overload.run_queue(queue, traffic, 60.0, seed)


def bench_shares(seed: int) -> dict:
    """Measure the shares of three members whose demand exceeds their shares."""
    weights = {"a": 3.0, "b": 2.0, "c": 1.0}
    max_requests_per_s = TOKENS_PER_S / 100
    traffic = [
        Traffic("a", 2 * max_requests_per_s, 100),
        Traffic("b", 4 * max_requests_per_s / 5, 500),
        Traffic("c", 2 * max_requests_per_s, 100),
    ]
    results = run_minute(overload.fair_queue(weights), traffic, seed)
    shares = overload.shares(results, 10, 55)
    worst = max(abs(shares[m] / (w / 6.0) - 1) for m, w in weights.items())
    return {
        **{m: round(s, 3) for m, s in shares.items()},
        "worst_error": round(worst, 3),
    }


def bench_overload(seed: int) -> dict:
    """Measure goodput at 2 and 5 times the capacity, and the time to recover.

    The overload lasts 40 seconds. After it the queue has recovered once no request is
    refused or waits for more than a second.
    """
    max_requests_per_s = TOKENS_PER_S / 100
    weights = {f"m{i}": 1.0 for i in range(4)}
    result = {}
    for factor in (2.0, 5.0):
        traffic = [
            Traffic(m, factor * max_requests_per_s / 4, 100, end=40.0) for m in weights
        ] + [Traffic("m0", 0.5 * max_requests_per_s, 100, start=40.0)]
        row = {}
        for name, queue in (
            ("fair", overload.fair_queue(weights)),
            ("fifo", overload.FifoQueue(512)),
        ):
            results = run_minute(queue, traffic, seed)
            after_overload = [r for r in results if r.arrived > 40 and r.member == "m0"]
            waits = sorted((r.arrived, r.wait) for r in after_overload)
            slow_arrivals = [at for at, wait in waits if wait < 0 or wait > 1.0]
            row[name] = {
                "goodput": round(overload.goodput(results, 10, 40), 3),
                "recovery_s": round(max(slow_arrivals, default=40.0) - 40.0, 2),
            }
        result[f"{factor:g}x"] = row
    return result


def bench_quotas(seed: int) -> dict:
    """Measure how well several entries together keep to a team's quota."""
    return {
        "8 entries": overload.run_quota(8, 100.0, False, seed),
        "8 entries, one cut off": overload.run_quota(8, 100.0, True, seed),
    }


def bench_retries(seed: int) -> dict:
    """Measure retries while attempts fail, and their peak after a common refusal."""
    policies = ("none", "unlimited", "budget")
    rows = {
        f"{failure_ratio:.0%} {policy}": overload.run_retries(
            policy, failure_ratio, seed
        )
        for failure_ratio in (0.02, 0.3, 1.0)
        for policy in policies
    }
    rows["second wave, spread"] = overload.retry_peak(True, seed)
    rows["second wave, not spread"] = overload.retry_peak(False, seed)
    return rows


def main() -> None:
    """Run the bench and print its report."""
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

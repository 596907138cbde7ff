"""Compare endpoint selection, fair queueing, quotas and retries with baselines.

The last line of the output is JSON. The environment variable ``SEED`` is the seed of
the simulated requests, which are the same for every contender. ``PARTS`` names the
parts to run, separated by commas; all are run without it.
"""

import concurrent.futures
import json
import os
import random
import timeit

from models import choosers, overload, stale_statuses
from models.endpoints import Outcome, Setup, run, run_central
from models.overload import DEADLINE_S, TOKENS_PER_S, Traffic
from slatehoist.routing import Candidate, EvenChooser, LoadAwareChooser

#: Processes that simulate at the same time.
WORKERS = int(os.environ.get("WORKERS", "6"))
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


EVEN_SETUPS = {
    "16 at 0.7": stale_statuses.Setup(),
    "16 at 0.7, 1.1 s": stale_statuses.Setup(stream_s=(1.1, 1.1)),
    "16 at 0.85": stale_statuses.Setup(load=0.85),
    "16 at 0.95": stale_statuses.Setup(load=0.95),
    "16 at 0.2": stale_statuses.Setup(load=0.2),
    "6 at 0.7": stale_statuses.Setup(gateways=6),
    "6, zones swing": stale_statuses.Setup(gateways=6, swing=0.55),
    "14 at 0.7": stale_statuses.Setup(gateways=14),
    "14 at 0.7, uneven": stale_statuses.Setup(gateways=14, uneven=True),
    "35 at 0.7": stale_statuses.Setup(gateways=35),
    "35 at 0.7, uneven": stale_statuses.Setup(gateways=35, uneven=True),
    "300 of 880": stale_statuses.Setup(
        gateways=300, endpoints=880, zones=12, seconds=8.0
    ),
    "16, 0.1 s late": stale_statuses.Setup(lag_s=0.1),
    "16, 0.2 s late": stale_statuses.Setup(lag_s=0.2),
    "16, 0.5 s late": stale_statuses.Setup(lag_s=0.5),
    "16, 2 s late": stale_statuses.Setup(lag_s=2.0),
    "16, 0.3 lost": stale_statuses.Setup(lost=0.3),
    "16, stragglers": stale_statuses.Setup(stragglers=0.1),
    "16, restarts": stale_statuses.Setup(restart_every_s=1.0),
    "16, one frozen": stale_statuses.Setup(freeze_at=8.0),
    "16, burst at 0.5": stale_statuses.Setup(load=0.5, burst=1.8),
    "16 without agents": stale_statuses.Setup(agents=False),
    "16 of 3, no agents": stale_statuses.Setup(
        endpoints=3, slots=6, agents=False, stream_s=(0.3, 0.6)
    ),
    "6 of 7, no agents": stale_statuses.Setup(
        gateways=6, endpoints=7, slots=6, agents=False, stream_s=(0.3, 0.6)
    ),
}


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


def run_even(case: tuple[str, str, int]) -> stale_statuses.Outcome:
    """Simulate one contender of the choice by late statuses."""
    name, contender, seed = case
    return stale_statuses.run(EVEN_SETUPS[name]._replace(seed=seed), contender)


def bench_even_load(seed: int) -> dict:
    """Compare choices by statuses that several gateways read at the same time."""
    contenders = list(stale_statuses.CONTENDERS)
    cases = [(name, c, seed) for name in EVEN_SETUPS for c in contenders]
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        outcomes = dict(zip(cases, pool.map(run_even, cases), strict=True))
    for name in EVEN_SETUPS:
        fields = stale_statuses.Outcome._fields
        print(f"\n{name:20}" + "".join(f"{f:>11}" for f in fields))
        for contender in contenders:
            outcome = outcomes[name, contender, seed]
            print(f"{contender:20}" + "".join(f"{v:>11}" for v in outcome))
    return {
        name: {c: outcomes[name, c, seed]._asdict() for c in contenders}
        for name in EVEN_SETUPS
    }


def bench_cost(seed: int) -> dict:
    """Measure the microseconds of one choice, by number of candidates."""
    rng = random.Random(seed)
    result = {}
    for count in (14, 72, 880):
        unallocated = [
            Candidate(
                f"e{i}",
                f"z{i % 3}",
                own_inflight=rng.randrange(2),
                reported_load=rng.randrange(6),
                own_at_report=rng.randrange(2),
                report_age_s=rng.random() * 0.2,
                concurrency=5,
            )
            for i in range(count)
        ]
        allocated = [
            c._replace(allocated=i % 10 == 0) for i, c in enumerate(unallocated)
        ]
        zone_full = [
            c._replace(reported_load=7) if c.zone == "z0" else c for c in unallocated
        ]
        result[count] = {
            name: _time_choice(chooser, candidates)
            for name, chooser, candidates in (
                ("load aware", LoadAwareChooser(rng), unallocated),
                ("even, allocated", EvenChooser(rng), allocated),
                ("even, estimated", EvenChooser(rng), unallocated),
                ("even, zone full", EvenChooser(rng), zone_full),
            )
        }
    return result


def _time_choice(chooser, candidates: list[Candidate]) -> float:
    runs = 200
    times = timeit.repeat(
        lambda: chooser.choose(candidates, "z0"), number=runs, repeat=5
    )
    return round(min(times) / runs * 1e6, 1)


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
    parts = {
        "choices": bench_choices,
        "even_load": bench_even_load,
        "cost": bench_cost,
        "fairness": bench_fairness,
        "quotas": bench_quotas,
        "retries": bench_retries,
    }
    selected = os.environ.get("PARTS", ",".join(parts)).split(",")
    report = {"seed": seed, **{part: parts[part](seed) for part in selected}}
    for part in ("cost", "fairness", "quotas", "retries"):
        if part not in report:
            continue
        print(f"\n{part}")
        for name, row in report[part].items():
            print(f"  {name}: {row}")
    print(json.dumps(report))


if __name__ == "__main__":
    main()

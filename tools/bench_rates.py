"""Compare ways to share an endpoint's stated rate among instances.

Prints, for each number of instances, kind of traffic and rate, the share of the rate
that is used and the most requests over the limit in any 4 s. The last line is JSON.
"""

import json
import os
import sys

from models.rate_shares import ByDemand, ByLoad, ByMembership, run_model

INSTANCES = (1, 4, 14, 30, 300)
RATES = (2.0, 20.0, 200.0)
POLICIES = {"membership": ByMembership, "demand": ByDemand, "load": ByLoad}


def main() -> int:
    """Print the table; return 1 if the product's policy breaks the limit."""
    seed = int(os.environ.get("SEED") or 1)
    print(f"seed {seed}; used share of the rate / most over the limit in any 4 s")
    print("instances traffic   rate  " + "  ".join(f"{n:>18}" for n in POLICIES))
    worst = dict.fromkeys(POLICIES, float("-inf"))
    for instances in INSTANCES:
        for uneven in (False, True):
            for rate in RATES:
                cells = []
                for name, policy in POLICIES.items():
                    result = run_model(policy, instances, uneven, rate, seed)
                    worst[name] = max(worst[name], result.over)
                    cells.append(f"{result.used:9.2f} /{result.over:7.0f}")
                traffic = "uneven" if uneven else "even"
                row = f"{instances:9} {traffic:7} {rate:6.0f}  "
                print(row + "  ".join(cells), flush=True)
    print(json.dumps({"seed": seed, "worst_over": worst}))
    return 1 if worst["membership"] > 0 else 0


if __name__ == "__main__":
    sys.exit(main())

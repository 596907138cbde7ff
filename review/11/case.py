"""A server carries an order out late while agents are restarted and the group is idle.

The group switches to a new map, and the switch ends as it should. Then the agents are
stopped by SIGTERM and started again, one after the other, as in a rolling restart.
Without the disruption, the server answers all orders at once.
"""

import asyncio
import os
import pathlib
import sys
import tempfile
import time

from harness_3.agents import SERVICE, Agents
from harness_3.deployment import Record, run_case
from harness_3.ranks import RankGroup, loopback_prefix, make_engine

from slatehoist_standins.deployment_store import DeploymentStore
from slatehoist_standins.fleet import free_port

RANKS = 3
#: Seconds until an order without an answer is carried out; the pages allow 2 to 12.
LATE_S = 6.0
#: Seconds from the switch until the agents of ranks 1 and 0 get SIGTERM. The second one
#: has not been heard of for more than half a second when the late order is carried out.
FIRST_RESTART_S = 1.0
SECOND_RESTART_S = LATE_S - 1.0
#: Seconds of requests before other experts are in demand, and after the idle time.
BEFORE_S = 5.0
AFTER_S = 4.0
#: Seconds without requests, from the switch on.
IDLE_S = 13.0
#: Longest seconds until the switch begins.
SWITCH_TIMEOUT_S = 15.0
#: Experts in demand, before and after the change.
FAVOURITES = (0, 3)
OTHER_FAVOURITES = (1, 4)


async def case(record: Record, trouble: bool) -> str:
    """Switch the group's map, and return how the rule was broken."""
    store = DeploymentStore()
    store_address = await store.start()
    group = RankGroup(RANKS, record.write)
    prefix = loopback_prefix()
    hosts = [f"{prefix}.{100 + rank}" for rank in range(RANKS)]
    await group.start(hosts, free_port())
    service = {"name": SERVICE, "healthPath": "/healthz", "maxConns": 348}
    service["engine"] = make_engine(RANKS)
    store.put(
        "op",
        "config",
        {"version": 1, "routes": [], "services": [service], "limits": {}},
    )
    for rank in range(RANKS):
        store.put("servers", f"i-{rank}", group.row(rank, SERVICE))
    switching = asyncio.Event()
    restarts: list[asyncio.Task] = []
    with tempfile.TemporaryDirectory(prefix="slatehoist-review-") as folder:
        agents = Agents(pathlib.Path(folder), record)
        agents.configure(hosts, group.addresses, store_address)

        async def roll(rank: int) -> None:
            """Restart the agent beside the rank that is held, then that of rank 0."""
            began_at = time.monotonic()
            await asyncio.sleep(FIRST_RESTART_S)
            await agents.restart(rank)
            await asyncio.sleep(began_at + SECOND_RESTART_S - time.monotonic())
            await agents.restart(0)

        def on_hold(rank: int, body: dict) -> float | None:
            """Begin with the first hold of the second switch that is not refused."""
            is_hold = body["op"] == "hold" and body["step"] > group.step
            if not is_hold or switching.is_set():
                return None
            switching.set()
            group.busy_until = 0.0
            record.write("the last requests have ended: the group is idle")
            restarts.append(asyncio.create_task(roll(rank)))
            return LATE_S if trouble else None

        try:
            for rank in range(RANKS):
                agents.start(rank)
            group.favourites = FAVOURITES
            record.write("requests begin")
            group.busy_until = time.monotonic() + BEFORE_S + SWITCH_TIMEOUT_S
            await asyncio.sleep(BEFORE_S)
            group.lateness = on_hold
            group.favourites = OTHER_FAVOURITES
            record.write("other experts are in demand")
            async with asyncio.timeout(SWITCH_TIMEOUT_S):
                await switching.wait()
            await asyncio.sleep(IDLE_S)
            await asyncio.gather(*restarts)
            record.write("requests begin again")
            group.busy_until = time.monotonic() + AFTER_S
            before = group.step
            await asyncio.sleep(AFTER_S)
            record.write(f"passes {before + 1} to {group.step} were begun")
        finally:
            for task in restarts:
                task.cancel()
            agents.kill()
            await group.stop()
            await store.stop()
    record.write(f"{len(group.violations)} passes began with different maps")
    if group.violations:
        first = group.violations[0]
        return f"MAP: pass {first.step} began while ranks had the maps {first.versions}"
    if group.step == before:
        raise RuntimeError("no pass was begun any more")
    return ""


if __name__ == "__main__":
    folder = str(pathlib.Path(__file__).parent)
    sys.exit(run_case(folder, case, os.environ.get("TROUBLE", "1") != "0"))

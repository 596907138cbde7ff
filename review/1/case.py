"""Killed agents: a restarted agent undoes a switch of maps that is granted already."""

import asyncio
import pathlib
import sys
import time

from harness.deployment import NotRunError, Record, run_script
from harness.group import SIZE, GroupDeployment

#: Rounds of one run at most; each kills the agents of a new group once.
ROUNDS = 12
#: Seconds after which no further round begins.
LAST_ROUND_S = 90.0
#: Seconds in which a round waits for the first switch.
SWITCH_TIMEOUT_S = 15.0
#: Seconds from the kill until each agent is started again. The agent of rank 0, which
#: coordinated the switch, is the last one.
RESTART_S = [2.5, 1.5, 0.5, 0.5]
#: Seconds for which a round goes on after the last start.
OBSERVED_S = 1.5


async def run_round(record: Record, is_troubled: bool) -> bool:
    """Return True if no pass began while two ranks had different maps."""
    deployment = GroupDeployment(record)
    try:
        await deployment.start()
        for rank in deployment.group.ranks:
            rank.running.add("request")
        if is_troubled:
            deployment.kill_after_order("arm", rank=0)
            if not await deployment.wait_until_killed(SWITCH_TIMEOUT_S):
                raise NotRunError("no switch begins")
            await deployment.restart_agents(RESTART_S)
        else:
            until = time.monotonic() + SWITCH_TIMEOUT_S
            while not all(rank.map_version for rank in deployment.group.ranks):
                if time.monotonic() > until:
                    raise NotRunError("no switch ends")
                await asyncio.sleep(0.1)
        await asyncio.sleep(OBSERVED_S)
        group = deployment.group
        record.write(
            "round ends",
            passes=group.step,
            held=group.is_held,
            maps=[rank.map_version for rank in group.ranks],
            passes_with_different_maps=len(group.violations),
            agents_running=sum(
                deployment.processes.is_running(f"side-{n}") for n in range(SIZE)
            ),
        )
        return not group.violations
    finally:
        await deployment.stop()


async def case(record: Record, is_troubled: bool) -> bool:
    """Return True if the rule held in all rounds."""
    began_at = time.monotonic()
    for number in range(ROUNDS):
        if time.monotonic() - began_at > LAST_ROUND_S:
            break
        record.write("round begins", number=number)
        if not await run_round(record, is_troubled):
            return False
    return True


if __name__ == "__main__":
    # The argument is the variable TROUBLE of run.sh.
    is_troubled = sys.argv[1:] != ["0"]
    sys.exit(run_script(pathlib.Path(__file__).parent, case, is_troubled))

"""A group whose switch meets late orders, restarts, frozen and disconnected agents.

The real agents run in virtual time; see `group_world`. Faults are counted from the
first hold of the switch that follows a change of demand. At that time the group becomes
idle for a while, so orders of that switch may be carried out while its pass is due.
"""

import asyncio
import random
from typing import NamedTuple

from group_world import GroupSize, GroupWorld

SIZE = GroupSize(3, 1, 8, 5, link_mbps=10.0, copy_s=0.02)
#: Seconds until other experts are in demand.
SHIFT_S = 1.6
#: Seconds with requests after all faults.
BUSY_S = 6.0
#: Seconds of that in which the group may still stand still.
RECOVERY_S = 4.0
#: Range of the seconds after which a late order is carried out.
LATE_S = (2.0, 12.0)
#: Seconds from the first hold after which no order is late, and the group not idle.
MAX_LATE_S = 30.0


class AgentFault(NamedTuple):
    """Fault of one agent.

    Attributes
    ----------
    kind : str
        ``kill`` and ``stop`` (as by SIGTERM), after which the agent is started again
        when it is over; ``freeze``; or ``cut``: the instance has no network.
    at_s, lasts_s : float
        Seconds from the first hold until it begins, and until it is over.
    """

    kind: str
    rank: int
    at_s: float
    lasts_s: float


class Faults(NamedTuple):
    """Faults of one simulation.

    Attributes
    ----------
    late : dict of int to float
        Seconds after which an order is carried out, by its number from the first hold.
    idle_s : float
        Seconds without requests from the first hold on.
    late_share : float
        Share of all other orders that are late, too.
    idle_holds : int
        Number of later holds from which on the group is idle again.
    """

    late: dict[int, float]
    agents: list[AgentFault]
    idle_s: float
    late_share: float = 0.0
    idle_holds: int = 0


def draw_faults(seed: int, ranks: int = SIZE.ranks) -> Faults:
    """Draw the faults of one simulation.

    Ranks 0 and 1 coordinate and hold most switches. Half of the faults of agents last
    while a late order is carried out, since most others end before anything depends on
    them.
    """
    rng = random.Random(seed)
    late = {
        0 if rng.random() < 0.4 else rng.randrange(14): round(rng.uniform(*LATE_S), 2)
        for _ in range(rng.choice((1, 1, 1, 2, 2, 3)))
    }
    agents = []
    for _ in range(rng.randrange(1, 5)):
        kind = rng.choice(("kill", "kill", "stop", "stop", "freeze", "cut"))
        rank = rng.randrange(ranks) if rng.random() < 0.5 else rng.randrange(2)
        lasts_s = round(rng.uniform(0.6, 3.5), 2)
        at_s = round(rng.uniform(0.0, 14.0), 2)
        if rng.random() < 0.5:
            at_s = rng.choice(list(late.values())) - rng.uniform(0.0, lasts_s)
        elif rng.random() < 0.4:
            at_s = rng.uniform(0.0, 0.1)
        agents.append(AgentFault(kind, rank, max(at_s, 0.0), lasts_s))
    return Faults(late, agents, round(rng.uniform(0.5, 14.0), 2))


def draw_many_faults(seed: int, ranks: int) -> Faults:
    """Draw faults at a large share of the orders, over several switches."""
    rng = random.Random(seed)
    agents = [
        AgentFault(
            rng.choice(("kill", "stop", "freeze", "cut")),
            rng.randrange(min(ranks, rng.choice((2, ranks)))),
            round(rng.uniform(0.0, 30.0), 2),
            round(rng.uniform(0.6, 3.5), 2),
        )
        for _ in range(rng.randrange(4, 20))
    ]
    share = rng.choice((0.05, 0.15, 0.35))
    return Faults({}, agents, round(rng.uniform(1.0, 8.0), 2), share, rng.randrange(6))


class FaultWorld(GroupWorld):
    """Group whose second switch meets the given faults.

    Attributes
    ----------
    held_at : float or None
        Time of the first hold of that switch.
    """

    def __init__(self, faults: Faults, size: GroupSize = SIZE, seed: int = 1) -> None:
        super().__init__(size, SHIFT_S, seed)
        self.held_at: float | None = None
        self._faults = faults
        self._orders = 0
        #: Newest pass that was held, and the draws of late orders.
        self._held_step = 0
        self._idle_holds = faults.idle_holds
        self._late_rng = random.Random(seed)
        #: Agents that have been ended and not yet started again.
        self._down: set[int] = set()
        self.lateness = self._delay_order

    def play(self) -> None:
        """Run until some seconds after the last fault."""
        ends_s = [fault.at_s + fault.lasts_s + 1.0 for fault in self._faults.agents]
        late_s = list(self._faults.late.values())
        if self._faults.late_share:
            late_s.append(MAX_LATE_S + LATE_S[1] + self._faults.idle_s)
        self.faults_s = max([self._faults.idle_s, *late_s, *ends_s])
        self.run(SHIFT_S + 3.0 + self.faults_s + BUSY_S)

    @property
    def is_left_held(self) -> bool:
        """Return True if the group began no passes when all faults were over."""
        since = self.held_at + self.faults_s + RECOVERY_S
        return sum(at > since for at, _ in self.passes) < 10

    def _delay_order(self, rank: int, order: str, args: tuple) -> float | None:
        loop = asyncio.get_running_loop()
        if self.held_at is None:
            is_hold = order == "hold" and args[0] > self.engine.step
            if not is_hold or loop.time() < SHIFT_S:
                return None
            self.held_at = loop.time()
            self.engine.idle_until = loop.time() + self._faults.idle_s
            for fault in self._faults.agents:
                loop.call_later(fault.at_s, self._begin, fault)
        number = self._orders
        self._orders += 1
        if loop.time() - self.held_at > MAX_LATE_S:
            return None
        if order == "hold":
            is_next = self._held_step < args[0]
            if is_next and self._held_step and self._idle_holds:
                self._idle_holds -= 1
                self.engine.idle_until = loop.time() + self._faults.idle_s
            self._held_step = max(self._held_step, args[0])
        if self._late_rng.random() < self._faults.late_share:
            return self._late_rng.uniform(*LATE_S)
        return self._faults.late.get(number)

    def _begin(self, fault: AgentFault) -> None:
        loop = asyncio.get_running_loop()
        rank, host = fault.rank, self.host(fault.rank)
        if fault.kind == "freeze":
            self.frozen_until[host] = loop.time() + fault.lasts_s
        elif fault.kind == "cut":
            self.cut_off_hosts.add(host)
            loop.call_later(fault.lasts_s, self.cut_off_hosts.discard, host)
        elif rank not in self._down:
            self._down.add(rank)
            if fault.kind == "kill":
                self.kill_agent(rank)
                loop.call_later(fault.lasts_s, self._restart, rank)
            else:
                self.stop_agent(rank)
                self._runs[rank].add_done_callback(
                    lambda _: loop.call_later(fault.lasts_s, self._restart, rank)
                )

    def _restart(self, rank: int) -> None:
        self._down.discard(rank)
        self.start_agent(rank)


def describe(faults: Faults) -> str:
    """Return the faults of a simulation on one line."""
    agents = [f"{f.kind} {f.rank} {f.at_s:.2f}+{f.lasts_s:.2f}" for f in faults.agents]
    return f"{faults._replace(agents=[])}, {agents}"

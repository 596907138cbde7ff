"""Tests of ranks that are gone, and of the search for those with silent agents."""

import asyncio
import unittest

from map_builders import Engine, VirtualLoop

from slatehoist.maps import Answer, RankReport, RankUnreachableError
from slatehoist.maps.coordinator import Coordinator
from slatehoist.maps.peers import Group, make_state
from slatehoist.maps.switch import EpochChangedError, Switch

#: Seconds from the first order until the other ranks form a group in a new epoch.
RESTART_S = 2.0


class SilentRank:
    """Client of a rank that answers nothing."""

    async def disarm(self, epoch: int, version: int) -> Answer:
        await asyncio.sleep(0.04)
        return Answer.UNKNOWN


class LostRankTests(unittest.TestCase):
    # Guards against a coordinator that repeats an order for ever since the rank is gone
    # and no agent reports that rank's new epoch (RECOVER).
    def test_order_to_a_lost_rank_ends_once_the_own_rank_is_in_a_new_epoch(self):
        engine = Engine(3)

        class Observer:
            def report(self, rank: int):
                return None if rank == 2 else engine.reports()[rank]

        async def order() -> float:
            loop = asyncio.get_running_loop()
            loop.call_later(RESTART_S, engine.restart)
            clients = [SilentRank() for _ in range(3)]
            switch = Switch(clients, 0, 1, Observer(), None, loop.time)
            with self.assertRaises(EpochChangedError):
                async with asyncio.timeout(60.0):
                    await switch._order_until_answered(2, "disarm", 1, 4096)
            return loop.time()

        loop = VirtualLoop()
        try:
            ended_at = loop.run_until_complete(order())
        finally:
            loop.close()
        self.assertLess(ended_at, RESTART_S + 0.2)


class ListedRank:
    """Client of the rank at a listed address; see `SearchTests`."""

    def __init__(self, asked: list[str], address: str, report: RankReport | None):
        self._asked = asked
        self._address = address
        self._report = report

    async def report(self) -> RankReport:
        self._asked.append(self._address)
        if self._report is None:
            raise RankUnreachableError(self._address)
        return self._report

    async def experts(self) -> tuple[int, list[list[int]]]:
        return 0, [[self._report.rank]]


def make_report(rank: int, group: str = "g") -> RankReport:
    return RankReport(group, 1, rank, 3, True, 7, 0, running=1)


class SearchTests(unittest.IsolatedAsyncioTestCase):
    """Ranks 0 and 1 are known; the agent of rank 2 is silent."""

    def setUp(self):
        self.now = 0.0
        self.group = Group(lambda: self.now)
        self.listed = {"a0": make_report(0), "a1": make_report(1), "a2": make_report(2)}
        self.listed |= {f"f{n}": make_report(n, "other") for n in range(3)}
        self.asked: list[str] = []
        self.coordinator = Coordinator(
            *(None, None, self.group, None, None, None, None, 0),
            lambda address: ListedRank(self.asked, address, self.listed[address]),
            *(None, lambda: self.now, None),
            lambda: list(self.listed),
        )

    async def stall(self, seconds: float, alive: tuple[int, ...] = (0, 1)) -> None:
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            for rank in alive:
                state = make_state(f"a{rank}", make_report(rank), [[rank]])
                self.group.record_heartbeat(state, self.now)
            self.coordinator._own_state = self.group.state(0, self.now)
            await self.coordinator._probe_silent_ranks(self.now)

    async def test_rank_without_an_address_is_found_in_the_list(self):
        await self.stall(1.0)
        self.assertEqual(self.group.address(2), "a2")

    async def test_ranks_of_other_groups_are_asked_once_in_a_while(self):
        await self.stall(20.0)
        self.assertEqual([self.asked.count(f"f{n}") for n in range(3)], [1, 1, 1])

    async def test_address_that_does_not_answer_is_not_searched_elsewhere_at_once(self):
        await self.stall(0.2, alive=(0, 1, 2))
        self.listed["a2"] = None
        await self.stall(2.5)
        self.assertEqual(set(self.asked), {"a2"})
        self.listed["a9"] = make_report(2)
        await self.stall(3.0)
        self.assertEqual(self.group.address(2), "a9")

    async def test_nobody_is_asked_while_all_agents_are_heard(self):
        await self.stall(10.0, alive=(0, 1, 2))
        self.assertEqual(self.asked, [])


if __name__ == "__main__":
    unittest.main()

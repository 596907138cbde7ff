"""Tests of settlements: what is done with a hold, by what ranks report and answer."""

import asyncio
import unittest
from unittest import mock

from map_builders import Engine, VirtualLoop

from slatehoist.maps import Answer, Armed, GroupSpec, PlanSettings, RankUnreachableError
from slatehoist.maps.coordinator import Coordinator
from slatehoist.maps.grants import Grants
from slatehoist.maps.known_maps import KnownMaps
from slatehoist.maps.peers import Group, make_state
from slatehoist.maps.placement import initial_placement
from slatehoist.maps.switch import Settlement, Switch

RANKS = 3
#: Rank that begins the switch, and the one at which the group is held.
COORDINATOR, HOLDER = 0, 1
#: Versions of two switches of `COORDINATOR`, and the pass of the first one.
OLDER, NEWER = 4096, 8192
STEP = 13
PLACEMENT = initial_placement(1, RANKS, 6)


class EngineRank:
    """Client of a rank of an `Engine`; it answers nothing if the rank is silent."""

    def __init__(self, engine: Engine, rank: int, silent: set[int]) -> None:
        self._engine = engine
        self._rank = rank
        self._silent = silent
        #: Queries that get no answer.
        self.unanswered_queries = 0

    async def report(self):
        await asyncio.sleep(0.001)
        self.unanswered_queries -= 1
        if self._rank in self._silent or self.unanswered_queries >= 0:
            raise RankUnreachableError(f"rank {self._rank}")
        return self._engine.reports()[self._rank]

    async def experts(self):
        return 0, [PLACEMENT[0][self._rank]]

    def __getattr__(self, order: str):
        async def send(epoch: int, *args) -> Answer:
            await asyncio.sleep(0.001)
            if self._rank in self._silent:
                return Answer.UNKNOWN
            return self._engine.carry_out(self._rank, order, epoch, args)

        return send


class SettlementTests(unittest.TestCase):
    def setUp(self):
        self.engine = Engine(RANKS)
        self.engine.step = STEP - 1
        self.silent: set[int] = set()
        self.clients = [EngineRank(self.engine, r, self.silent) for r in range(RANKS)]

    def order(self, order: str, *args, ranks=range(RANKS)) -> None:
        for rank in ranks:
            self.engine.carry_out(rank, order, 1, args)

    def settle(self, holders=(HOLDER,), granted=True, reports=None) -> Settlement:
        """Settle the holds as the agent of `HOLDER`, which leads the group."""

        async def settle() -> Settlement:
            loop = asyncio.get_running_loop()
            observer = mock.Mock(report=lambda rank: None)
            switch = Switch(self.clients, HOLDER, 2, observer, None, loop.time)
            reachable = reports or {
                r.rank: r for r in self.engine.reports() if r.rank not in self.silent
            }
            async with asyncio.timeout(3.0):
                return await switch.settle(
                    1, reachable, list(holders), PLACEMENT, granted
                )

        loop = VirtualLoop()
        try:
            return loop.run_until_complete(settle())
        finally:
            loop.close()

    def run_passes(self) -> None:
        for _ in range(4):
            self.engine.begin_pass(0.0)
        self.assertEqual(self.engine.violations, [])
        self.assertEqual(self.engine.step, STEP + 3)

    # Guards against a late hold that is settled with the version of a newer switch:
    # ranks are armed for the held pass instead of their own one, and the ranks use
    # different maps from there on (MAP).
    def test_late_hold_of_an_earlier_switch_is_only_released(self):
        for silent in (set(), {COORDINATOR}):
            for granted in (False, True):
                with self.subTest(silent=silent, granted=granted):
                    self.setUp()
                    self.silent.update(silent)
                    self.order("prepare", NEWER, PLACEMENT)
                    self.order("arm", NEWER, STEP + 1)
                    self.order("hold", STEP, ranks=[HOLDER])
                    self.assertEqual(self.settle(granted=granted), Settlement.OBSOLETE)
                    armed = Armed(NEWER, STEP + 1)
                    self.assertEqual(self.engine.armed, [armed] * RANKS)
                    self.run_passes()

    # Guards against a switch that is undone although its coordinator's rank is armed,
    # for a pass after the one that is held by a late order (MAP).
    def test_late_hold_is_only_released_if_the_reports_are_older_than_the_switch(self):
        self.order("prepare", NEWER, PLACEMENT)
        reports = {r.rank: r for r in self.engine.reports()}
        self.order("arm", NEWER, STEP + 1)
        self.order("hold", STEP, ranks=[HOLDER])
        reports[HOLDER] = reports[HOLDER]._replace(held=STEP)
        self.assertEqual(self.settle(reports=reports), Settlement.OBSOLETE)
        self.assertEqual(self.engine.armed, [Armed(NEWER, STEP + 1)] * RANKS)
        self.run_passes()

    def test_late_hold_is_released_if_queries_get_no_answer_at_first(self):
        self.order("prepare", NEWER, PLACEMENT)
        self.order("arm", NEWER, STEP + 1)
        self.order("hold", STEP, ranks=[HOLDER])
        for client in self.clients:
            client.unanswered_queries = 1
        self.assertEqual(self.settle(), Settlement.OBSOLETE)
        self.assertEqual(self.engine.armed, [Armed(NEWER, STEP + 1)] * RANKS)
        self.run_passes()

    def test_hold_is_not_obsolete_if_only_an_old_report_shows_another_pass(self):
        old = self.engine.reports()[2]._replace(armed=Armed(OLDER, STEP - 1))
        self.order("prepare", NEWER, PLACEMENT)
        self.order("hold", STEP, ranks=[HOLDER])
        self.order("arm", NEWER, STEP, ranks=[HOLDER])
        reports = {r.rank: r for r in self.engine.reports()} | {2: old}
        self.assertEqual(self.settle(reports=reports), Settlement.UNDONE)
        self.run_passes()

    # Guards against a coordinator's rank that is taken for armed since it refuses the
    # fence, which it does while it copies a newer version (MAP).
    def test_rank_that_copies_a_newer_version_is_not_taken_for_armed(self):
        self.order("prepare", OLDER, PLACEMENT)
        self.order("hold", STEP, ranks=[HOLDER])
        self.order("arm", OLDER, STEP, ranks=[HOLDER])
        copied = NEWER * 100
        self.order("prepare", copied, PLACEMENT, ranks=[COORDINATOR])
        self.assertEqual(self.settle(), Settlement.UNDONE)
        self.assertEqual(self.engine.armed, [None] * RANKS)
        self.assertGreater(self.engine.prepared[COORDINATOR], copied)
        self.run_passes()

    # Guards against a group that stays held for good: every fence is refused, since
    # ranks report no prepared version after a switch.
    def test_hold_is_released_if_ranks_report_no_prepared_version(self):
        self.engine.maps = [NEWER] * RANKS
        self.order("hold", STEP, ranks=[HOLDER])
        self.assertEqual(self.settle(), Settlement.UNDONE)
        self.run_passes()

    def test_switch_waits_for_a_silent_coordinator_that_may_have_a_grant(self):
        self.order("prepare", OLDER, PLACEMENT)
        self.order("hold", STEP, ranks=[HOLDER])
        self.order("arm", OLDER, STEP)
        self.silent.add(COORDINATOR)
        self.assertEqual(self.settle(), Settlement.IMPOSSIBLE)
        self.assertEqual(self.engine.held[HOLDER], STEP)
        self.silent.clear()
        self.assertEqual(self.settle(), Settlement.FINISHED)
        self.run_passes()

    # Guards against a settlement that releases a pass for which a rank is armed by
    # another switch than the one that was undone (MAP).
    def test_pass_of_another_switch_is_not_released(self):
        self.order("prepare", OLDER, PLACEMENT)
        reports = {r.rank: r for r in self.engine.reports()}
        self.order("prepare", NEWER, PLACEMENT, ranks=[2])
        self.order("arm", NEWER, STEP, ranks=[2])
        self.order("hold", STEP, ranks=[HOLDER])
        reports[HOLDER] = self.engine.reports()[HOLDER]
        self.assertEqual(self.settle(reports=reports), Settlement.IMPOSSIBLE)
        self.assertEqual(self.engine.held[HOLDER], STEP)
        self.assertEqual(self.settle(), Settlement.UNDONE)
        self.run_passes()

    # Guards against a group that stays held for good: each settlement tries again to
    # arm a rank that has prepared a newer version.
    def test_switch_is_undone_at_all_ranks_if_one_refuses_to_be_armed(self):
        self.order("prepare", OLDER, PLACEMENT)
        self.order("hold", STEP, ranks=[HOLDER])
        self.order("arm", OLDER, STEP, ranks=[COORDINATOR, HOLDER])
        self.order("prepare", NEWER, PLACEMENT, ranks=[2])
        self.assertEqual(self.settle(), Settlement.UNDONE)
        self.assertEqual(self.engine.armed, [None] * RANKS)
        self.run_passes()


class CoordinatorSettlementTests(unittest.TestCase):
    """The agent of rank 1 leads; that of rank 0 is silent, as its rank may be."""

    def setUp(self):
        self.engine = Engine(RANKS)
        self.engine.step = STEP - 1
        self.silent: set[int] = set()

    def cycle(self, seconds: float, first_report=None) -> None:
        """Run the cycles of the leader's coordinator for some seconds."""
        loop = VirtualLoop()
        try:
            loop.run_until_complete(self._cycle(seconds, first_report))
        finally:
            loop.close()

    async def _cycle(self, seconds: float, first_report) -> None:
        loop = asyncio.get_running_loop()
        group = Group(loop.time)
        clients = [EngineRank(self.engine, r, self.silent) for r in range(RANKS)]
        known_maps = KnownMaps(group)
        known_maps.spec = GroupSpec(1, 6, 6, 2, 0.1)
        orders = mock.Mock(unanswered={}, clients=lambda: clients)
        grants = Grants(clients[HOLDER], group, None, loop.time)
        grants.record_report(first_report or self.engine.reports()[HOLDER])
        coordinator = Coordinator(
            PlanSettings(),
            *(known_maps.spec, group, known_maps, orders, mock.Mock(), grants, 0),
            lambda address: clients[int(address.split(":")[0][1:])],
            *(mock.Mock(), loop.time, None, lambda: []),
        )

        def state(rank: int):
            report = self.engine.reports()[rank]._replace(running=0)
            return make_state(f"a{rank}:80", report, [PLACEMENT[0][rank]])

        group.record_state(state(COORDINATOR), loop.time() - 1.0)
        while loop.time() < seconds:
            for rank in (HOLDER, 2):
                group.record_heartbeat(state(rank), loop.time())
            with mock.patch.object(coordinator, "_plan_and_switch"):
                await coordinator.run_cycle(group.state(HOLDER, loop.time()))
            await asyncio.sleep(0.06)

    def order(self, order: str, *args, ranks=range(RANKS)) -> None:
        for rank in ranks:
            self.engine.carry_out(rank, order, 1, args)

    def end_switch_and_hold_late(self) -> None:
        self.order("prepare", OLDER, PLACEMENT)
        self.order("arm", OLDER, STEP)
        self.order("hold", STEP, ranks=[HOLDER])

    # Guards against a group that stays held since nothing asks the rank of a silent
    # agent while no requests wait.
    def test_rank_of_a_silent_agent_is_asked_in_an_idle_group(self):
        self.end_switch_and_hold_late()
        self.cycle(1.0)
        self.assertEqual(self.engine.held, [None] * RANKS)
        self.assertEqual(self.engine.armed, [Armed(OLDER, STEP)] * RANKS)

    def test_silent_rank_is_waited_for_and_the_hold_ends_when_it_is_back(self):
        self.end_switch_and_hold_late()
        self.silent.add(COORDINATOR)
        with self.assertLogs("slatehoist.maps.coordinator", "WARNING") as logs:
            self.cycle(5.0)
            self.assertEqual(self.engine.held[HOLDER], STEP)
            self.silent.clear()
            self.cycle(3.0)
        self.assertEqual(self.engine.held, [None] * RANKS)
        self.assertEqual(self.engine.armed, [Armed(OLDER, STEP)] * RANKS)
        records = [r for r in logs.records if r.msg == "hold_settled"]
        settlements = [r.settlement for r in records]
        self.assertEqual(settlements, ["impossible", "finished"])
        self.assertEqual(
            [r.coordinator_silent for r in records], [True, False], records
        )

    # Guards against holds of two switches that are released together although only the
    # first one was settled (MAP).
    def test_hold_of_another_pass_is_settled_by_itself(self):
        self.order("prepare", NEWER, PLACEMENT)
        self.order("hold", STEP + 1, ranks=[2])
        self.order("arm", NEWER, STEP + 1, ranks=[2])
        self.order("hold", STEP, ranks=[HOLDER])
        with self.assertLogs("slatehoist.maps.coordinator", "WARNING") as logs:
            self.cycle(3.0)
        records = [r for r in logs.records if r.msg == "hold_settled"]
        self.assertEqual(
            [(r.step, r.settlement) for r in records],
            [(STEP, "obsolete"), (STEP + 1, "undone")],
        )
        self.assertEqual(self.engine.held, [None] * RANKS)
        self.assertEqual(self.engine.armed, [None] * RANKS)


if __name__ == "__main__":
    unittest.main()

"""Tests of a group whose agents are all killed during a switch of maps.

The pattern: store, network and ranks are sound, and each agent is started again after
a time of its own.
"""

import asyncio
import logging
import unittest

from group_world import GroupSize, GroupWorld

from slatehoist.maps import Answer

SIZE = GroupSize(4, 1, 8, 4, link_mbps=10.0)
#: Group whose copies last until restarted agents have planned again, and the seconds
#: until other experts are in demand there: before that plan.
SLOW_COPY_SIZE = SIZE._replace(copy_s=1.2)
SLOW_COPY_SHIFT_S = 0.45
#: Seconds of calm until other experts are in demand.
SHIFT_S = 2.0
#: Seconds from the kill until each agent is started again.
RESTARTS = {
    "coordinator last": (2.5, 1.5, 0.5, 0.5),
    "another one last": (1.0, 1.0, 1.0, 3.5),
    "holder last": (1.0, 3.5, 1.0, 1.0),
    "all at once": (0.5, 0.5, 0.5, 0.5),
}
#: Agents that do not return, by rank, with the seconds until the others start.
ABSENT = {
    "coordinator": (None, 0.5, 0.5, 0.5),
    "holder": (0.5, None, 0.5, 0.5),
    "another one": (0.5, 0.5, 0.5, None),
    "coordinator and another one": (None, 0.5, 0.5, None),
}
#: Longest seconds from the last start until passes begin again.
RECOVERY_S = 3.0
#: Orders after which the agents are killed, counted from the first `hold`.
KILLS = range(12)


def setUpModule():
    logging.getLogger("slatehoist").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("slatehoist").setLevel(logging.NOTSET)


class RestartWorld(GroupWorld):
    """Group whose agents are killed after some order of the first switch.

    Attributes
    ----------
    killed_at : float or None
    """

    def __init__(self, orders: int, delays: tuple[float | None, ...]) -> None:
        super().__init__(SIZE, SHIFT_S)
        self.killed_at: float | None = None
        self._orders_left = orders
        self._is_held = False
        self._delays = delays
        self.on_order = self._observe

    def _observe(self, rank: int, order: str, answer: Answer) -> None:
        self._is_held |= order == "hold" and answer is Answer.DONE
        if not self._is_held or self.killed_at is not None:
            return
        if self._orders_left:
            self._orders_left -= 1
            return
        loop = asyncio.get_running_loop()
        self.killed_at = loop.time()
        loop.call_soon(self.kill_agents)
        for rank, delay_s in enumerate(self._delays):
            if delay_s is not None:
                loop.call_later(delay_s, self.start_agent, rank)


class SlowCopyWorld(GroupWorld):
    """Group whose agents restart as soon as one rank has begun to copy experts.

    Attributes
    ----------
    restarted_at : float or None
    """

    def __init__(self, seed: int) -> None:
        super().__init__(SLOW_COPY_SIZE, SLOW_COPY_SHIFT_S, seed)
        self.restarted_at: float | None = None
        self.on_order = self._observe

    def _observe(self, rank: int, order: str, answer: Answer) -> None:
        if order != "prepare" or self.restarted_at is not None:
            return
        loop = asyncio.get_running_loop()
        self.restarted_at = loop.time()
        loop.call_soon(self.kill_agents)
        for started in range(self.size.ranks):
            loop.call_later(0.1, self.start_agent, started)


class AgentRestartTests(unittest.TestCase):
    def play(self, orders: int, delays: tuple[float | None, ...]) -> RestartWorld:
        world = RestartWorld(orders, delays)
        world.run(SHIFT_S + max(filter(None, delays)) + RECOVERY_S + 2.0)
        self.assertIsNotNone(world.killed_at, "the group was not held")
        return world

    # Guards against a restarted agent that undoes a switch which its predecessor has
    # granted, so that passes begin with different maps (MAP).
    def test_no_pass_begins_with_different_maps_after_all_agents_were_killed(self):
        for name, delays in RESTARTS.items():
            for orders in KILLS:
                with self.subTest(restarts=name, orders=orders):
                    world = self.play(orders, delays)
                    self.assertEqual(world.engine.violations, [])

    # Guards against a group that stays held since the agent that settles its switch
    # does not learn the address of a rank whose agent started later (RECOVER).
    def test_group_is_released_after_all_agents_were_killed(self):
        for name, delays in RESTARTS.items():
            for orders in KILLS:
                with self.subTest(restarts=name, orders=orders):
                    world = self.play(orders, delays)
                    recovered_at = world.killed_at + max(delays) + RECOVERY_S
                    late = [at for at, _ in world.passes if at > recovered_at]
                    self.assertGreater(len(late), 10)

    # Guards against a group that stays held since one agent does not return and the
    # others know its rank's address and experts only from it (RECOVER).
    def test_group_is_released_although_agents_do_not_return(self):
        for name, delays in ABSENT.items():
            for orders in KILLS:
                with self.subTest(absent=name, orders=orders):
                    world = self.play(orders, delays)
                    self.assertEqual(world.engine.violations, [])
                    recovered_at = world.killed_at + 0.5 + RECOVERY_S
                    late = [at for at, _ in world.passes if at > recovered_at]
                    self.assertGreater(len(late), 10)

    # Guards against a restarted coordinator that gives a version of its predecessor,
    # which ranks still copy, to another map, so that ranks use both (MAP).
    def test_restarted_coordinator_gives_no_version_to_a_second_map(self):
        for seed in range(1, 9):
            with self.subTest(seed=seed):
                world = SlowCopyWorld(seed)
                world.run(6.0)
                self.assertIsNotNone(world.restarted_at)
                ordered = world.engine.ordered_maps
                self.assertGreater(len(ordered), 1)
                shared = [version for version, maps in ordered.items() if maps[1:]]
                self.assertEqual(shared, [])


if __name__ == "__main__":
    unittest.main()

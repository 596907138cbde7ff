"""Drawn faults around a switch, against the real agents with all their parts.

Agents are killed, stopped, frozen and disconnected while orders are carried out late in
an idle group. No pass may begin while ranks use different maps, and no group may stay
held once all agents are back.
"""

import logging
import unittest

from fault_world import AgentFault, Faults, FaultWorld, describe

#: The hold of a switch that ends well is carried out late. By then the agent of the
#: held rank was restarted, and the one of the coordinator's rank is down.
LATE_HOLD_AFTER_RESTARTS = Faults(
    {0: 6.0}, [AgentFault("stop", 1, 1.0, 1.0), AgentFault("stop", 0, 5.0, 1.2)], 10.0
)


def setUpModule():
    logging.getLogger("slatehoist").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("slatehoist").setLevel(logging.NOTSET)


class FaultExplorationTests(unittest.TestCase):
    def check(self, world: FaultWorld, faults: Faults) -> None:
        world.play()
        self.assertIsNotNone(world.held_at, "the group was not held")
        self.assertEqual(world.engine.violations, [], describe(faults))
        self.assertFalse(world.is_left_held, describe(faults))

    # Guards against an agent that takes a rank which is not held for proof that its
    # predecessor's grants are of no effect any more (MAP).
    def test_late_hold_after_restarts_keeps_the_maps_in_step(self):
        self.check(FaultWorld(LATE_HOLD_AFTER_RESTARTS), LATE_HOLD_AFTER_RESTARTS)


if __name__ == "__main__":
    unittest.main()

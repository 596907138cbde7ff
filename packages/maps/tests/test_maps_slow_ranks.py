"""Tests of a live group whose ranks answer their agents late."""

import logging
import unittest
from unittest import mock

import group_world
from group_world import GroupSize, GroupWorld

SIZE = GroupSize(6, 1, 12, 6, link_mbps=10.0)
SHIFT_S = 3.0
PLAYED_S = 30.0


class SlowRankTests(unittest.TestCase):
    def setUp(self):
        logger = logging.getLogger("slatehoist")
        level = logger.level
        logger.setLevel(logging.CRITICAL)
        self.addCleanup(logger.setLevel, level)

    # Guards against a group that changes its map no more, since each pass that is to be
    # held has begun before the order to hold it arrives.
    def test_group_switches_although_its_ranks_answer_late(self):
        for answer_s in (0.03, 0.3):
            with (
                self.subTest(answer_s=answer_s),
                mock.patch.object(group_world, "LOCAL_DELAY_S", answer_s),
            ):
                world = GroupWorld(SIZE, SHIFT_S)
                world.run(PLAYED_S)
                self.assertEqual(world.engine.violations, [])
                self.assertGreaterEqual(len(world.used_from), 3)


if __name__ == "__main__":
    unittest.main()

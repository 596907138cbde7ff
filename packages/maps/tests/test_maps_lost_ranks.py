"""Tests of orders to a rank that is gone while the others have formed anew."""

import asyncio
import unittest

from map_builders import Engine, VirtualLoop

from slatehoist.maps import Answer
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
    # and nobody reports that rank's new epoch (RECOVER).
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


if __name__ == "__main__":
    unittest.main()

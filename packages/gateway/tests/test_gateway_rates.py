"""Tests that gateways together keep to the rate that an endpoint states."""

import logging
import unittest

from rate_world import RateWorld, Statement, make_random_world


def setUpModule():
    logging.getLogger("slatehoist").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("slatehoist").setLevel(logging.NOTSET)


class RateTestCase(unittest.IsolatedAsyncioTestCase):
    async def check_rate_is_kept(self, world: RateWorld, until: float = 60.0) -> None:
        await world.run(until)
        self.assertIsNone(world.find_excess())


class StatementTests(RateTestCase):
    # Guards against more requests than an endpoint takes, sent after a single answer
    # that lacks the stated rate.
    async def test_rate_is_kept_if_single_answers_lack_it(self):
        for rate in (1.0, 5.0):
            with self.subTest(rate=rate):
                world = RateWorld(4, Statement(rate, 20.0), missing=0.2, offered=20.0)
                await self.check_rate_is_kept(world)

    # Guards against a rate that an answer ends which was made before the endpoint first
    # stated it, but arrived later.
    async def test_rate_is_kept_if_older_answers_arrive_late(self):
        for seed in range(1, 6):
            with self.subTest(seed=seed):
                world = RateWorld(
                    4, Statement(1.0, 20.0), late_s=6.0, offered=20.0, seed=seed
                )
                await self.check_rate_is_kept(world)

    # Guards against a whole share that is free again since the endpoint stated no rate
    # for a moment.
    async def test_rate_is_kept_if_it_is_stated_again(self):
        spans = [Statement(5.0, start, start + 6.0) for start in (20.0, 26.5, 33.0)]
        world = RateWorld(4, *spans, offered=20.0)
        await self.check_rate_is_kept(world)

    async def test_gateway_without_a_share_learns_that_the_rate_ended(self):
        for rate in (0.0, 0.5):
            with self.subTest(rate=rate):
                world = RateWorld(4, Statement(rate, 20.0, 40.0))
                await self.check_rate_is_kept(world, until=240.0)
                sent = world.count_sent(200.0, 240.0)
                self.assertGreater(min(sent.values()), 200, sent)


class MembershipTests(RateTestCase):
    # Guards against shares of more than the rate: gateways whose rows could be written
    # only late counted those that registered before them, and took the rest for theirs.
    async def test_rate_is_kept_if_gateways_register_late(self):
        world = RateWorld(8, Statement(20.0, 25.0), offered=40.0)
        world.refuse_writes(True)
        world.at(30.0, lambda: world.refuse_writes(False))
        await self.check_rate_is_kept(world)

    # Guards against the same after the store came back without the gateways' rows.
    async def test_rate_is_kept_if_the_store_loses_the_gateways_rows(self):
        world = RateWorld(8, Statement(20.0, 25.0), offered=40.0)
        empty = world.table.copy()
        world.at(40.0, lambda: world.table.restore(empty))
        await self.check_rate_is_kept(world)

    # Guards against a gateway that takes the whole rate, since it lost the store just
    # after it had counted itself alone.
    async def test_rate_is_kept_if_a_gateway_loses_the_store_after_its_first_count(
        self,
    ):
        world = RateWorld(4, Statement(20.0, 15.0), offered=40.0)
        gateway = world.gateways[0]
        world.at(1.0, lambda: setattr(gateway.table, "is_cut", True))
        await self.check_rate_is_kept(world)

    # Guards against shares of more than the rate: the store came back without the rows
    # of gateways that had joined just before, and that the others had not counted yet.
    async def test_rate_is_kept_if_the_store_loses_the_rows_of_new_gateways(self):
        world = RateWorld(8, Statement(20.0, 15.0), offered=40.0)
        empty = world.table.copy()
        world.at(1.0, lambda: world.table.restore(empty))
        await self.check_rate_is_kept(world)

    # Guards against the same after a long cut: the others had removed the rows of the
    # gateways that were cut off, and those took their full shares at once.
    async def test_rate_is_kept_if_gateways_return_after_a_long_cut(self):
        world = RateWorld(8, Statement(20.0, 20.0), offered=40.0)

        def cut(is_cut: bool) -> None:
            for gateway in world.gateways[:4]:
                gateway.table.is_cut = is_cut

        world.at(30.0, lambda: cut(True))
        world.at(330.0, lambda: cut(False))
        await self.check_rate_is_kept(world, until=360.0)

    async def test_rate_is_kept_if_gateways_join_and_end(self):
        world = RateWorld(4, Statement(20.0, 20.0), offered=40.0)
        for number in range(4):
            world.at(30.0 + number, world.add_gateway)
        for number in range(4):
            gateway = world.gateways[number]
            world.at(50.0 + number, lambda g=gateway: setattr(g, "is_up", False))
        await self.check_rate_is_kept(world, until=80.0)


class RandomTests(RateTestCase):
    async def test_rate_is_kept_under_random_events(self):
        for seed in range(1, 13):
            with self.subTest(seed=seed):
                await self.check_rate_is_kept(make_random_world(seed), until=120.0)


if __name__ == "__main__":
    unittest.main()

import unittest

from slatehoist.coord import LeaseKeeper
from slatehoist.storage import MemoryTable, OutcomeUnknownError, StoreDownError

LIFETIME_S = 10.0


class FaultyTable(MemoryTable):
    """Table that can be down, or lose the answers to writes."""

    def __init__(self) -> None:
        super().__init__()
        self.down = False
        self.lose = False

    async def get(self, table, key):
        if self.down:
            raise StoreDownError("down")
        return await super().get(table, key)

    async def transact(self, checks, writes):
        if self.down:
            raise StoreDownError("down")
        await super().transact(checks, writes)
        if self.lose:
            raise OutcomeUnknownError("lost")


class LeaseKeeperTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = FaultyTable()
        self.one = LeaseKeeper(self.table, "g", "one", LIFETIME_S)
        self.two = LeaseKeeper(self.table, "g", "two", LIFETIME_S)

    async def test_the_first_holds_and_the_second_does_not(self):
        await self.one.renew_or_acquire(0.0)
        await self.two.renew_or_acquire(0.0)
        self.assertEqual(self.one.valid_lease(1.0).fence, 1)
        self.assertIsNone(self.two.valid_lease(1.0))

    async def test_a_paused_holder_knows_that_it_may_have_lost(self):
        await self.one.renew_or_acquire(0.0)
        self.assertIsNone(self.one.valid_lease(LIFETIME_S))

    async def test_take_over_raises_the_fence_only_after_the_whole_lifetime(self):
        await self.one.renew_or_acquire(0.0)
        await self.two.renew_or_acquire(0.0)
        await self.two.renew_or_acquire(LIFETIME_S - 0.1)
        self.assertIsNone(self.two.valid_lease(LIFETIME_S))
        await self.two.renew_or_acquire(LIFETIME_S + 0.1)
        self.assertEqual(self.two.valid_lease(LIFETIME_S + 1).fence, 2)

    async def test_holder_and_challenger_never_hold_at_the_same_time(self):
        await self.one.renew_or_acquire(0.0)
        await self.two.renew_or_acquire(0.0)
        await self.two.renew_or_acquire(LIFETIME_S)
        self.assertIsNone(self.one.valid_lease(LIFETIME_S))
        await self.one.renew_or_acquire(LIFETIME_S + 0.1)
        self.assertIsNone(self.one.valid_lease(LIFETIME_S + 0.2))

    async def test_renewals_keep_a_challenger_out(self):
        for now in range(0, 40, 3):
            await self.one.renew_or_acquire(float(now))
            await self.two.renew_or_acquire(float(now))
        self.assertIsNone(self.two.valid_lease(39.0))

    async def test_lost_answer_is_settled_by_reading_back(self):
        self.table.lose = True
        await self.one.renew_or_acquire(0.0)
        self.assertEqual(self.one.valid_lease(1.0).fence, 1)

    async def test_an_outage_lets_the_lease_lapse_for_its_holder(self):
        await self.one.renew_or_acquire(0.0)
        self.table.down = True
        await self.one.renew_or_acquire(5.0)
        self.assertIsNone(self.one.valid_lease(9.0))

    async def test_a_lease_that_was_given_up_is_taken_at_once(self):
        await self.one.renew_or_acquire(0.0)
        await self.one.release()
        await self.two.renew_or_acquire(0.1)
        self.assertEqual(self.two.valid_lease(1.0).fence, 2)

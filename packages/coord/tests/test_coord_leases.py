"""Tests of the acquisition, renewal, expiry and take-over of leases."""

import itertools
import unittest

from slatehoist.coord import LeaseKeeper
from slatehoist.storage import MemoryTable, OutcomeUnknownError, StoreDownError

LIFETIME_S = 10.0


def run_coroutine(coro) -> None:
    """Run a coroutine that never suspends."""
    try:
        coro.send(None)
    except StopIteration:
        return
    raise AssertionError("the coroutine suspended")


class FaultyTable(MemoryTable):
    """Table that can be down, or carry out writes and lose their answers."""

    def __init__(self) -> None:
        super().__init__()
        self.down = False
        self.lose_answers = False

    async def get(self, table, key):
        if self.down:
            raise StoreDownError("the table is down")
        return await super().get(table, key)

    async def transact(self, checks, writes):
        if self.down:
            raise StoreDownError("the table is down")
        await super().transact(checks, writes)
        if self.lose_answers:
            raise OutcomeUnknownError("the answer of the table was lost")


class LeaseKeeperTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = FaultyTable()
        self.one = LeaseKeeper(self.table, "g", "one", LIFETIME_S)
        self.two = LeaseKeeper(self.table, "g", "two", LIFETIME_S)

    async def test_second_process_does_not_acquire_a_held_lease(self):
        await self.one.renew_or_acquire(0.0)
        await self.two.renew_or_acquire(0.0)
        self.assertEqual(self.one.valid_lease(1.0).fence, 1)
        self.assertIsNone(self.two.valid_lease(1.0))

    async def test_lease_is_invalid_after_its_lifetime_without_renewal(self):
        """A holder that was suspended must not act on a lease it may have lost."""
        await self.one.renew_or_acquire(0.0)
        self.assertIsNone(self.one.valid_lease(LIFETIME_S))

    async def test_take_over_waits_a_whole_lifetime_and_increments_the_fence(self):
        await self.one.renew_or_acquire(0.0)
        await self.two.renew_or_acquire(0.0)
        await self.two.renew_or_acquire(LIFETIME_S - 0.1)
        self.assertIsNone(self.two.valid_lease(LIFETIME_S))
        await self.two.renew_or_acquire(LIFETIME_S + 0.1)
        self.assertEqual(self.two.valid_lease(LIFETIME_S + 1).fence, 2)

    async def test_holder_and_challenger_do_not_hold_the_lease_at_the_same_time(self):
        await self.one.renew_or_acquire(0.0)
        await self.two.renew_or_acquire(0.0)
        await self.two.renew_or_acquire(LIFETIME_S)
        self.assertIsNone(self.one.valid_lease(LIFETIME_S))
        await self.one.renew_or_acquire(LIFETIME_S + 0.1)
        self.assertIsNone(self.one.valid_lease(LIFETIME_S + 0.2))

    async def test_renewed_lease_is_not_taken_over(self):
        for now in range(0, 40, 3):
            await self.one.renew_or_acquire(float(now))
            await self.two.renew_or_acquire(float(now))
        self.assertIsNone(self.two.valid_lease(39.0))

    async def test_write_with_lost_answer_is_found_by_reading_back(self):
        self.table.lose_answers = True
        await self.one.renew_or_acquire(0.0)
        self.assertEqual(self.one.valid_lease(1.0).fence, 1)

    async def test_lease_expires_for_its_holder_while_the_table_is_down(self):
        await self.one.renew_or_acquire(0.0)
        self.table.down = True
        await self.one.renew_or_acquire(5.0)
        # The holder uses the lease for `HOLDER_LIFETIME_FRACTION` of its lifetime.
        self.assertIsNone(self.one.valid_lease(9.0))

    async def test_released_lease_is_acquired_at_once(self):
        await self.one.renew_or_acquire(0.0)
        await self.one.release()
        await self.two.renew_or_acquire(0.1)
        self.assertEqual(self.two.valid_lease(1.0).fence, 2)

    # Guards against two holders with one fencing number, since the table went back to a
    # copy without the newest take-over.
    async def test_fence_of_a_new_era_is_higher_than_all_before(self):
        await self.one.renew_or_acquire(0.0)
        copy = self.table.copy()
        await self.one.release()
        await self.two.renew_or_acquire(0.1)
        old = self.two.valid_lease(1.0)
        self.table.restore(copy)
        await self.one.renew_or_acquire(1.0)
        new = self.one.valid_lease(1.1)
        self.assertGreater(new.fence, old.fence)
        await self.two.renew_or_acquire(1.2)
        self.assertEqual(self.two.valid_lease(1.3), old)
        self.assertIsNone(self.two.valid_lease(1.0 + LIFETIME_S))


class EraExplorationTests(unittest.TestCase):
    """All sequences of steps of two processes and a table that goes back to copies."""

    STEPS = ("one", "two", "release", "wait", "copy", "restore")
    LENGTH = 6

    # Guards against orders of two holders that a receiver cannot tell apart, and
    # against a late one that wins over a newer one.
    def test_no_two_holders_have_one_fence_and_later_fences_are_higher(self):
        runs = 0
        for steps in itertools.product(self.STEPS, repeat=self.LENGTH):
            if "restore" in steps and "copy" in steps:
                run_coroutine(self.run_steps(steps))
                runs += 1
        self.assertGreater(runs, 10_000)

    async def run_steps(self, steps):
        table, now, copies = MemoryTable(), 0.0, []
        keepers = {n: LeaseKeeper(table, "g", n, LIFETIME_S) for n in ("one", "two")}
        fences: dict[int, str] = {}
        highest = 0
        for step in steps:
            if step == "wait":
                now += LIFETIME_S
            elif step == "copy":
                copies.append(table.copy())
            elif step == "restore" and copies:
                table.restore(copies[0])
            elif step == "release":
                await keepers["one"].release()
            elif step in keepers:
                before = keepers[step].valid_lease(now)
                await keepers[step].renew_or_acquire(now)
                lease = keepers[step].valid_lease(now)
                if lease is None or lease == before:
                    continue
                self.assertEqual(fences.setdefault(lease.fence, step), step, steps)
                self.assertGreaterEqual(lease.fence, highest, steps)
                highest = lease.fence

import asyncio
import unittest

from slatehoist.coord import Claim, ClaimState, ClaimStore, WriteBatcher
from slatehoist.storage import (
    Check,
    ConflictError,
    MemoryTable,
    OutcomeUnknownError,
    Write,
)


class LossyTable(MemoryTable):
    """Table that loses the answers to writes that it carried out."""

    def __init__(self) -> None:
        super().__init__()
        self.lose = 0

    async def transact(self, checks, writes):
        await super().transact(checks, writes)
        if self.lose:
            self.lose -= 1
            raise OutcomeUnknownError("lost")


def make_claim(attempt_id: str, **fields) -> Claim:
    values = {"digest": "d", "instance": "s", "address": "a", "incarnation": "i"}
    return Claim("k", attempt_id=attempt_id, **{**values, **fields})


class ClaimStoreTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = LossyTable()
        self.book = ClaimStore(self.table, WriteBatcher(self.table))

    async def test_first_claim_wins_and_the_second_sees_it(self):
        first = await self.book.write(make_claim("a1"))
        second = await self.book.write(make_claim("a2"))
        self.assertEqual(first.attempt_id, "a1")
        self.assertEqual(second.attempt_id, "a1")

    async def test_two_at_once_have_one_winner(self):
        books = [ClaimStore(self.table, WriteBatcher(self.table)) for _ in range(8)]
        claims = [make_claim(f"a{i}") for i in range(8)]
        stands = await asyncio.gather(
            *(book.write(c) for book, c in zip(books, claims, strict=True))
        )
        self.assertEqual(len({claim.attempt_id for claim in stands}), 1)

    async def test_lost_answer_is_settled_by_reading_back(self):
        self.table.lose = 1
        claim = await self.book.write(make_claim("a1"))
        self.assertEqual((claim.attempt_id, claim.version), ("a1", 1))

    async def test_record_replaces_the_claim(self):
        claim = await self.book.write(make_claim("a1"))
        done = claim._replace(state=ClaimState.FINISHED, record={"status": 200})
        await self.book.write(done)
        stands = await self.book.get("k")
        self.assertEqual(stands.record, {"status": 200})

    async def test_released_claim_may_be_taken(self):
        claim = await self.book.write(make_claim("a1"))
        await self.book.release(claim)
        released = await self.book.write(make_claim("a2"))
        self.assertEqual(released.state, ClaimState.RELEASED)
        taken = await self.book.write(make_claim("a2", version=released.version))
        self.assertEqual(taken.attempt_id, "a2")

    async def test_a_stale_take_over_loses_after_a_release(self):
        claim = await self.book.write(make_claim("a1"))
        stale = make_claim("a3", version=claim.version)
        await self.book.release(claim)
        released = await self.book.get("k")
        version = released.version if released else 0
        await self.book.write(make_claim("a2", version=version))
        stands = await self.book.write(stale)
        self.assertEqual(stands.attempt_id, "a2")

    async def test_collector_deletes_what_has_expired(self):
        await self.book.write(make_claim("a1", expires=10.0))
        self.assertEqual(await self.book.delete_expired(5.0, 100), 0)
        self.assertEqual(await self.book.delete_expired(11.0, 100), 1)


class WriteBatcherTests(unittest.IsolatedAsyncioTestCase):
    async def test_many_writes_share_a_transaction(self):
        table = MemoryTable()
        batcher = WriteBatcher(table)
        writes = (
            batcher.write(Check("t", str(i), 0), Write("t", str(i), {"v": i}))
            for i in range(30)
        )
        await asyncio.gather(*writes)
        self.assertEqual(table.writes, 1)

    async def test_a_conflict_fails_only_its_own_write(self):
        table = MemoryTable()
        await table.transact([], [Write("t", "taken", {})])
        batcher = WriteBatcher(table)
        results = await asyncio.gather(
            batcher.write(Check("t", "taken", 0), Write("t", "taken", {})),
            batcher.write(Check("t", "free", 0), Write("t", "free", {})),
            return_exceptions=True,
        )
        self.assertIsInstance(results[0], ConflictError)
        self.assertIsNone(results[1])

    async def test_two_writes_of_one_row_do_not_share_a_transaction(self):
        table = MemoryTable()
        batcher = WriteBatcher(table)
        results = await asyncio.gather(
            batcher.write(Check("t", "k", 0), Write("t", "k", {"v": 1})),
            batcher.write(Check("t", "k", 0), Write("t", "k", {"v": 2})),
            return_exceptions=True,
        )
        conflicts = [r for r in results if isinstance(r, ConflictError)]
        self.assertEqual(len(conflicts), 1)

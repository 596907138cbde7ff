"""Claims of idempotency keys, and the batching of their writes."""

import asyncio
import unittest
from types import SimpleNamespace

from slatehoist.coord import Claim, ClaimState, ClaimStore, WriteBatcher
from slatehoist.storage import (
    Check,
    ConflictError,
    MemoryTable,
    OutcomeUnknownError,
    Write,
)


class LossyTable(MemoryTable):
    """Table that carries out writes, and loses the next ``lost_answers`` answers."""

    def __init__(self) -> None:
        super().__init__()
        self.lost_answers = 0

    async def transact(self, checks, writes):
        await super().transact(checks, writes)
        if self.lost_answers:
            self.lost_answers -= 1
            raise OutcomeUnknownError("the answer of the table was lost")


def make_claim(attempt_id: str, **fields) -> Claim:
    values = {"digest": "d", "instance": "s", "address": "a", "incarnation": "i"}
    return Claim("k", attempt_id=attempt_id, **{**values, **fields})


class ClaimStoreTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = LossyTable()
        self.claims = ClaimStore(self.table, WriteBatcher(self.table))

    async def test_second_write_returns_the_first_claim(self):
        first = await self.claims.write(make_claim("a1"))
        second = await self.claims.write(make_claim("a2"))
        self.assertEqual(first.attempt_id, "a1")
        self.assertEqual(second.attempt_id, "a1")

    async def test_concurrent_writes_return_the_same_claim(self):
        stores = [ClaimStore(self.table, WriteBatcher(self.table)) for _ in range(8)]
        claims = [make_claim(f"a{i}") for i in range(8)]
        written = await asyncio.gather(
            *(store.write(c) for store, c in zip(stores, claims, strict=True))
        )
        self.assertEqual(len({claim.attempt_id for claim in written}), 1)

    async def test_write_with_lost_answer_is_found_by_reading_back(self):
        self.table.lost_answers = 1
        claim = await self.claims.write(make_claim("a1"))
        self.assertEqual((claim.attempt_id, claim.version), ("a1", 1))

    async def test_finished_claim_stores_its_record(self):
        claim = await self.claims.write(make_claim("a1"))
        done = claim._replace(state=ClaimState.FINISHED, record={"status": 200})
        await self.claims.write(done)
        current = await self.claims.get("k")
        self.assertEqual(current.record, {"status": 200})

    async def test_released_claim_can_be_taken_over(self):
        claim = await self.claims.write(make_claim("a1"))
        await self.claims.release(claim)
        released = await self.claims.write(make_claim("a2"))
        self.assertEqual(released.state, ClaimState.RELEASED)
        taken = await self.claims.write(make_claim("a2", version=released.version))
        self.assertEqual(taken.attempt_id, "a2")

    async def test_take_over_decided_before_a_release_conflicts(self):
        """The version of a row must keep increasing after a release.

        Otherwise the take-over would overwrite the claim that was made after the
        release, and the request would run twice.
        """
        claim = await self.claims.write(make_claim("a1"))
        stale = make_claim("a3", version=claim.version)
        await self.claims.release(claim)
        released = await self.claims.get("k")
        version = released.version if released else 0
        await self.claims.write(make_claim("a2", version=version))
        current = await self.claims.write(stale)
        self.assertEqual(current.attempt_id, "a2")

    async def test_only_expired_claims_are_deleted(self):
        await self.claims.write(make_claim("a1", expires=10.0))
        self.assertEqual(await self.claims.delete_expired(5.0, 100), 0)
        self.assertEqual(await self.claims.delete_expired(11.0, 100), 1)


class WriteBatcherTests(unittest.IsolatedAsyncioTestCase):
    # Guards against a write that never returns.
    async def test_conflict_that_names_no_row_of_the_batch_fails_its_writes(self):
        async def conflict(checks, writes):
            raise ConflictError([("other", "row")])

        batcher = WriteBatcher(SimpleNamespace(transact=conflict), 0.001)
        writes = [
            batcher.write(Check("t", key, 0), Write("t", key, {})) for key in "ab"
        ]
        async with asyncio.timeout(2.0):
            outcomes = await asyncio.gather(*writes, return_exceptions=True)
        self.assertEqual([exc.keys for exc in outcomes], [[("t", "a")], [("t", "b")]])

    async def test_concurrent_writes_share_a_transaction(self):
        table = MemoryTable()
        batcher = WriteBatcher(table)
        writes = (
            batcher.write(Check("t", str(i), 0), Write("t", str(i), {"v": i}))
            for i in range(30)
        )
        await asyncio.gather(*writes)
        self.assertEqual(table.writes, 1)

    async def test_conflict_fails_only_the_conflicting_write(self):
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

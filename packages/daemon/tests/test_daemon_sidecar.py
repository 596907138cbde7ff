import asyncio
import unittest

from builders import make_attempt
from slatehoist.daemon.sidecar.admission import Admission
from slatehoist.daemon.sidecar.attempts import AttemptTable
from slatehoist.routing import AdaptiveLimit, FairQueue
from slatehoist.wire.messages import AttemptState, NotRunReason


class Clock:
    """Clock that tests move."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


class AdmissionTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = Clock()
        limit = AdaptiveLimit(2, 2, target_step_s=1.0)
        self.admission = Admission(FairQueue(100), limit, 3.0, self.clock)

    async def acquire_slot(self, attempt_id: str, **fields):
        req = make_attempt(attempt_id, **fields)
        return await self.admission.acquire_slot(req, self.clock.now + 60.0)

    async def test_a_burst_after_an_idle_time_is_queued_and_not_refused(self):
        for number in range(10):
            ticket = (await self.acquire_slot(f"warm{number}")).unwrap()
            self.clock.now += 1.0
            self.admission.release_slot(ticket, 10.0)
        for _ in range(400):
            self.clock.now += 0.25
            self.admission.drop_expired()
        burst = [asyncio.ensure_future(self.acquire_slot(f"b{n}")) for n in range(5)]
        await asyncio.sleep(0)
        self.assertEqual(self.admission.running, 2)
        self.assertEqual(len(self.admission.queue), 3)
        for task in burst:
            task.cancel()

    async def test_an_eager_request_is_refused_when_all_slots_are_in_use(self):
        await self.acquire_slot("a")
        await self.acquire_slot("b")
        refusal = (await self.acquire_slot("c", fail_fast=True)).unwrap_err()
        self.assertEqual(refusal.reason, NotRunReason.BUSY)

    async def test_only_one_suspect_runs_at_a_time(self):
        first = (await self.acquire_slot("a", suspect=True)).unwrap()
        refusal = (await self.acquire_slot("b", suspect=True)).unwrap_err()
        self.assertEqual(refusal.reason, NotRunReason.SUSPECT_BUSY)
        self.clock.now += 1.0
        self.admission.release_slot(first, 10.0)
        self.assertTrue((await self.acquire_slot("c", suspect=True)).is_ok())

    async def test_leaving_refuses_what_waits(self):
        await self.acquire_slot("a")
        await self.acquire_slot("b")
        waiting = asyncio.ensure_future(self.acquire_slot("c"))
        await asyncio.sleep(0)
        self.admission.refuse_waiting(NotRunReason.DRAINING)
        refusal = (await waiting).unwrap_err()
        self.assertEqual(refusal.reason, NotRunReason.DRAINING)

    async def test_a_caller_that_goes_away_leaves_its_room(self):
        await self.acquire_slot("a")
        await self.acquire_slot("b")
        waiting = asyncio.ensure_future(self.acquire_slot("c"))
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertEqual(len(self.admission.queue), 0)

    async def test_a_waiting_caller_that_has_just_gone_takes_no_slot(self):
        first = (await self.acquire_slot("a")).unwrap()
        await self.acquire_slot("b")
        waiting = asyncio.ensure_future(self.acquire_slot("c"))
        await asyncio.sleep(0)
        waiting.cancel()
        self.clock.now += 1.0
        self.admission.release_slot(first, 10.0)
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertEqual(self.admission.running, 1)
        self.assertTrue((await self.acquire_slot("d")).is_ok())


class AttemptTableTests(unittest.TestCase):
    def setUp(self):
        self.table = AttemptTable(retain_s=10.0)

    def test_an_attempt_asked_for_before_it_came_is_refused_when_it_comes(self):
        self.assertEqual(self.table.state("a1", 0.0), AttemptState.NEVER_SEEN)
        self.assertIsNone(self.table.add(make_attempt("a1"), 1.0))

    def test_an_attempt_whose_answer_is_gone_is_not_said_to_be_unseen(self):
        attempt = self.table.add(make_attempt("a1", keyed=True), 0.0)
        attempt.finish(0.0, 1.0)
        self.table.sweep(10_000.0, orphan_s=20.0)
        self.assertIsNone(self.table.get("a1"))
        self.assertEqual(self.table.state("a1", 10_000.0), AttemptState.BROKEN)
        self.assertIsNone(self.table.add(make_attempt("a1"), 10_001.0))

    def test_an_attempt_that_did_not_run_stays_forbidden(self):
        attempt = self.table.add(make_attempt("a1"), 0.0)
        attempt.refuse(NotRunReason.OVER_SHARE, 1.0, 0.0, 1.0)
        self.table.sweep(100.0, orphan_s=20.0)
        self.assertIsNone(self.table.add(make_attempt("a1"), 101.0))

    def test_nobody_reading_makes_an_orphan_but_not_of_a_keyed_attempt(self):
        plain = self.table.add(make_attempt("a1"), 0.0)
        self.table.add(make_attempt("a2", keyed=True), 0.0)
        self.assertEqual(self.table.sweep(30.0, orphan_s=20.0), [plain])

import asyncio
import unittest

from builders import make_attempt
from slatehoist.daemon.sidecar.admission import Admission
from slatehoist.daemon.sidecar.attempts import AttemptTable
from slatehoist.routing import AdaptiveLimit, FairQueue
from slatehoist.wire.messages import AttemptState, NotRunReason


class Clock:
    """Clock whose time is set by the test."""

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

    async def test_burst_after_idle_time_is_queued(self):
        """Idle time does not lower the rate that the expected wait is based on.

        If the rate were served tokens over wall-clock time, it would fall while the
        endpoint is idle, and a burst would be refused as waiting too long.
        """
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

    async def test_fail_fast_request_is_refused_when_all_slots_are_in_use(self):
        await self.acquire_slot("a")
        await self.acquire_slot("b")
        refusal = (await self.acquire_slot("c", fail_fast=True)).unwrap_err()
        self.assertEqual(refusal.reason, NotRunReason.BUSY)

    async def test_second_suspect_is_refused_while_one_runs(self):
        first = (await self.acquire_slot("a", suspect=True)).unwrap()
        refusal = (await self.acquire_slot("b", suspect=True)).unwrap_err()
        self.assertEqual(refusal.reason, NotRunReason.SUSPECT_BUSY)
        self.clock.now += 1.0
        self.admission.release_slot(first, 10.0)
        self.assertTrue((await self.acquire_slot("c", suspect=True)).is_ok())

    async def test_refuse_waiting_refuses_queued_request(self):
        await self.acquire_slot("a")
        await self.acquire_slot("b")
        waiting = asyncio.ensure_future(self.acquire_slot("c"))
        await asyncio.sleep(0)
        self.admission.refuse_waiting(NotRunReason.DRAINING)
        refusal = (await waiting).unwrap_err()
        self.assertEqual(refusal.reason, NotRunReason.DRAINING)

    async def test_cancelled_request_is_removed_from_queue(self):
        await self.acquire_slot("a")
        await self.acquire_slot("b")
        waiting = asyncio.ensure_future(self.acquire_slot("c"))
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertEqual(len(self.admission.queue), 0)

    async def test_request_cancelled_just_before_its_grant_takes_no_slot(self):
        """A slot is freed after a waiting request is cancelled, before its task runs.

        The ticket is still queued then. Granting it the slot would lose the slot, since
        the cancelled task never releases it.
        """
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

    def test_attempt_queried_before_arrival_is_refused(self):
        """The reply to a query that an attempt was never seen must stay true."""
        self.assertEqual(self.table.state("a1", 0.0), AttemptState.NEVER_SEEN)
        self.assertIsNone(self.table.add(make_attempt("a1"), 1.0))

    def test_attempt_with_dropped_response_is_reported_as_broken(self):
        """An attempt that ran is not reported as never seen, nor run again.

        The table drops the response of an ended attempt after its retention time. If it
        dropped the record of the run as well, the attempt would look like a new one.
        """
        attempt = self.table.add(make_attempt("a1", keyed=True), 0.0)
        attempt.finish(0.0, 1.0)
        self.table.sweep(10_000.0, orphan_s=20.0)
        self.assertIsNone(self.table.get("a1"))
        self.assertEqual(self.table.state("a1", 10_000.0), AttemptState.BROKEN)
        self.assertIsNone(self.table.add(make_attempt("a1"), 10_001.0))

    def test_refused_attempt_is_refused_after_retention(self):
        """An attempt reported as not run must not run if it arrives again later."""
        attempt = self.table.add(make_attempt("a1"), 0.0)
        attempt.refuse(NotRunReason.OVER_SHARE, 1.0, 0.0, 1.0)
        self.table.sweep(100.0, orphan_s=20.0)
        self.assertIsNone(self.table.add(make_attempt("a1"), 101.0))

    def test_attempt_without_readers_is_orphan_unless_keyed(self):
        plain = self.table.add(make_attempt("a1"), 0.0)
        self.table.add(make_attempt("a2", keyed=True), 0.0)
        self.assertEqual(self.table.sweep(30.0, orphan_s=20.0), [plain])

"""Tests that gateways learn in time that endpoints are leaving, or are gone."""

import asyncio
import logging
import time
import unittest
from types import SimpleNamespace

from gateway_builders import make_endpoint
from reply_world import ReplyWorld, ScriptedReply
from simulated_time import run_in_simulated_time

from slatehoist.gateway import EndpointDirectory, Kind
from slatehoist.gateway.health import EndpointHealth
from slatehoist.gateway.settings import (
    CONNECT_TIMEOUT_S,
    ENDPOINT_RELIST_S,
    MIN_READ_INTERVAL_S,
    GatewaySettings,
)
from slatehoist.gateway.sync import EndpointSync
from slatehoist.storage import StoreDownError

#: Seconds within which the shortest of the users' bounds wants a drain to be known.
DRAIN_S = 2.0
#: Seconds after an outage of the store from which the shortest of the users' bounds
#: holds again.
CONTACT_S = 3.0
#: Seconds after which a call to the store fails that gets no answer.
CALL_TIMEOUT_S = 0.9


def setUpModule():
    logging.getLogger("slatehoist").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("slatehoist").setLevel(logging.NOTSET)


class ScriptedSource:
    """List of endpoints of which some reads fail.

    Attributes
    ----------
    failing_reads : range
        Numbers of the reads that fail; the first is number 1.
    silence_s : float
        Seconds until such a read fails.
    """

    era = 0
    call_timeout_s = 0.9

    def __init__(self) -> None:
        self.listed = [make_endpoint("e1"), make_endpoint("e2")]
        self.reads = 0
        self.failing_reads = range(2, 3)
        self.silence_s = CALL_TIMEOUT_S
        #: Time of the last answer before the silent read.
        self.answered_at = 0.0

    async def endpoints(self) -> list:
        self.reads += 1
        if self.reads in self.failing_reads:
            await asyncio.sleep(self.silence_s)
            raise StoreDownError("no answer")
        if self.reads == 1:
            self.answered_at = time.monotonic()
        return self.listed


class OutageSource:
    """List of endpoints that is unavailable for some seconds.

    Parameters
    ----------
    silence_s : float
        Seconds until a read that began during the outage fails.

    Attributes
    ----------
    up_from : float
        End of the outage.
    """

    era = 0
    call_timeout_s = 0.9

    def __init__(self, down_from: float, outage_s: float, silence_s: float) -> None:
        self.up_from = down_from + outage_s
        self._down_from = down_from
        self._silence_s = silence_s

    async def endpoints(self) -> list:
        """Return e1 and e2, and only e1 after the outage."""
        began_at = asyncio.get_running_loop().time()
        if self._down_from <= began_at < self.up_from:
            await asyncio.sleep(self._silence_s)
            raise StoreDownError("no answer")
        names = ("e1", "e2") if began_at < self._down_from else ("e1",)
        return [make_endpoint(name) for name in names]


def make_sync(source) -> tuple[EndpointDirectory, EndpointSync]:
    """Build a directory with the users' shortest bounds, and what keeps it current."""
    cfg = GatewaySettings("", "", "", "", drain_s=DRAIN_S, contact_s=CONTACT_S)
    directory = EndpointDirectory(
        cfg.endpoint_relist_s, cfg.row_ttl_s, cfg.min_outage_s
    )
    crashes = SimpleNamespace(
        record_end=lambda endpoint: None,
        record_restart=lambda old, current: None,
        observe_list=lambda listed, read_at, reliable_since: None,
    )
    cold = SimpleNamespace(record_list=lambda listed, started, now: None)
    sync = EndpointSync(
        source,
        directory,
        EndpointHealth(),
        crashes,
        cold,
        cfg.endpoint_poll_s,
        asyncio.get_running_loop().time,
    )
    return directory, sync


class ReadTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.source = ScriptedSource()
        self.directory, sync = make_sync(self.source)
        task = asyncio.create_task(sync.run())
        self.addAsyncCleanup(asyncio.wait, {task})
        self.addCleanup(task.cancel)

    async def seconds_until_one_is_left(self) -> float:
        """Return the seconds from the answer before the change until it is known."""
        async with asyncio.timeout(8.0):
            while len(self.directory.of_service("app", time.monotonic())) != 1:
                await asyncio.sleep(0.005)
        return time.monotonic() - self.source.answered_at

    async def check_drain_is_known_in_time(self) -> None:
        await asyncio.sleep(0.1)
        self.source.listed = [make_endpoint("e1"), make_endpoint("e2", draining=True)]
        self.assertLess(await self.seconds_until_one_is_left(), DRAIN_S)

    # Guards against requests to a server that reported its drain `DRAIN_S` ago, since
    # one read of the list got no answer.
    async def test_drain_is_known_in_time_if_one_read_gets_no_answer(self):
        await self.check_drain_is_known_in_time()

    # Guards against the same after several reads without an answer, as on connections
    # that went silent together.
    async def test_drain_is_known_in_time_if_two_reads_get_no_answer(self):
        self.source.failing_reads = range(2, 4)
        await self.check_drain_is_known_in_time()

    # Guards against requests that are sent by an outdated list until the next read,
    # although answers show that other servers have the addresses.
    async def test_requested_read_begins_soon(self):
        self.source.failing_reads = range(0)
        await asyncio.sleep(0.05)
        self.directory.request_read()
        await asyncio.sleep(MIN_READ_INTERVAL_S + 0.1)
        self.assertEqual(self.source.reads, 2)

    # Guards against a billed read for each of many such answers.
    async def test_requests_for_reads_do_not_add_up(self):
        self.source.failing_reads = range(0)
        began_at = time.monotonic()
        while time.monotonic() < began_at + 1.0:
            self.directory.request_read()
            await asyncio.sleep(0.01)
        took_s = time.monotonic() - began_at
        self.assertLessEqual(self.source.reads, 1 + took_s / MIN_READ_INTERVAL_S)

    # Guards against the same where the list drops the server without notice: one failed
    # read counted as an outage, in which rows expire, and kept the server for 2.8 s.
    async def test_removal_is_known_in_time_if_one_read_fails(self):
        self.source.silence_s = 0.0
        await asyncio.sleep(0.1)
        self.source.listed = [make_endpoint("e1")]
        self.assertLess(await self.seconds_until_one_is_left(), DRAIN_S)


class OutageTests(unittest.TestCase):
    #: Seconds of the outage, in which rows expire, and after which the next reads are
    #: due at different times.
    OUTAGES_S = [3.0 + 0.05 * step for step in range(20)]

    async def removal_s(self, outage_s: float, silence_s: float) -> float:
        """Return the seconds from the end of an outage until e2 gets no requests."""
        loop = asyncio.get_running_loop()
        source = OutageSource(loop.time() + 0.1, outage_s, silence_s)
        directory, sync = make_sync(source)
        task = asyncio.create_task(sync.run())
        async with asyncio.timeout(outage_s + 2 * CONTACT_S):
            await asyncio.sleep(outage_s)
            while (
                loop.time() < source.up_from
                or len(directory.of_service("app", loop.time())) != 1
            ):
                await asyncio.sleep(0.005)
        removed_at = loop.time()
        task.cancel()
        await asyncio.wait({task})
        return removed_at - source.up_from

    def removals_s(self) -> list[float]:
        """Return the results for outages that refuse reads or do not answer them."""
        return [
            run_in_simulated_time(self.removal_s(outage_s, silence_s))
            for outage_s in self.OUTAGES_S
            for silence_s in (0.0, CALL_TIMEOUT_S)
        ]

    # Guards against requests to a server that left during an outage of the store, sent
    # later than `CONTACT_S` after the outage: the server was kept until a read that was
    # due after the time in which expired servers list themselves again.
    def test_server_that_left_in_an_outage_is_removed_within_contact_time(self):
        self.assertLessEqual(max(self.removals_s()), CONTACT_S - CONNECT_TIMEOUT_S)

    # Guards against refused requests while servers whose rows expired in an outage have
    # not listed themselves again.
    def test_server_that_expired_in_an_outage_is_kept_for_the_relist_time(self):
        self.assertGreaterEqual(min(self.removals_s()), ENDPOINT_RELIST_S)


class OverdueListTests(unittest.IsolatedAsyncioTestCase):
    def make_world(self) -> ReplyWorld:
        reply = ScriptedReply(b"whole", "length")
        return ReplyWorld(reply, max_list_age_s=1.4, kind=Kind.SAFE)

    async def drain(self, world: ReplyWorld, name: str) -> None:
        """Let the list show after some rounds of the loop that an endpoint drains."""
        for _ in range(10):
            await asyncio.sleep(0)
        listed = [make_endpoint(n, draining=n == name) for n in ("e1", "e2")]
        world.directory.update(listed, world.now)

    # Guards against requests that are sent by a list which is older than `DRAIN_S`,
    # since the process stood still and handled them before the read that was due.
    async def test_request_waits_for_a_list_that_is_overdue(self):
        for name in ("e1", "e2"):
            with self.subTest(draining=name):
                world = self.make_world()
                world.now += DRAIN_S
                answer, _ = await asyncio.gather(world.call(), self.drain(world, name))
                self.assertTrue(answer.head.startswith("HTTP/1.1 200"), answer.head)
                sent_to = world.upstream.requests[0].address
                self.assertNotEqual(sent_to, make_endpoint(name).address)

    async def test_request_does_not_wait_during_an_outage_of_the_list(self):
        world = self.make_world()
        world.now += DRAIN_S
        world.directory.record_outage()
        async with asyncio.timeout(0.1):
            answer = await world.call()
        self.assertTrue(answer.head.startswith("HTTP/1.1 200"), answer.head)


if __name__ == "__main__":
    unittest.main()

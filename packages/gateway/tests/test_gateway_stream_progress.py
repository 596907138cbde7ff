"""Tests of which streams count as stalled, without a network."""

import asyncio
import unittest
from types import SimpleNamespace

from slatehoist.gateway.streams import STALL_RECHECK_S, StreamRelay
from slatehoist.http import Framing
from slatehoist.observe import GatewayMetrics

IDLE_S = 0.2


class SlowContent:
    """Body whose pieces arrive one after the other, each after a pause."""

    def __init__(self, pieces: list[bytes], pause_s: float) -> None:
        self._pieces = list(pieces)
        self._pause_s = pause_s

    async def readany(self) -> bytes:
        if not self._pieces:
            return b""
        await asyncio.sleep(self._pause_s)
        return self._pieces.pop(0)


class SlowCaller:
    """Response that takes each write after a pause."""

    status = 200

    def __init__(self, pause_s: float) -> None:
        self._pause_s = pause_s
        self.received = b""
        self.is_whole = False

    async def write(self, data: bytes) -> None:
        await asyncio.sleep(self._pause_s)
        self.received += data

    async def write_eof(self) -> None:
        self.is_whole = True


class StreamProgressTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.has_alternative = True
        self.max_attempts = 2
        self.stalls = 0

    def record_stall(self) -> None:
        self.stalls += 1

    async def relay(
        self, pieces: list[bytes], pause_s: float, caller_pause_s: float = 0.0
    ) -> SlowCaller:
        caller = SlowCaller(caller_pause_s)
        exchange = SimpleNamespace(
            route=SimpleNamespace(resumable=True, max_attempts=self.max_attempts),
            attempts=0,
            stream=caller,
            stream_media_type="text/event-stream",
            framing=Framing.CHUNKED,
            reply_bytes=0,
            partial_event_bytes=0,
            last_event_id="",
            last_data_at=0.0,
            info=SimpleNamespace(request_id="r"),
        )
        reply = SimpleNamespace(
            status=200,
            content=SlowContent(pieces, pause_s),
            headers={"Content-Type": "text/event-stream"},
        )
        endpoint = SimpleNamespace(endpoint_id="e", address="10.0.0.1:80")
        relay = StreamRelay(None, GatewayMetrics(), IDLE_S, lambda: 0.0)
        async with asyncio.timeout(3.0):
            await relay.relay(
                exchange,
                endpoint,
                reply,
                lambda exchange: self.has_alternative,
                self.record_stall,
            )
        return caller

    async def check_times_out(self, pieces: list[bytes], pause_s: float) -> None:
        started_at = asyncio.get_running_loop().time()
        with self.assertRaises(TimeoutError):
            await self.relay(pieces, pause_s)
        took_s = asyncio.get_running_loop().time() - started_at
        self.assertLess(took_s, 4 * IDLE_S)

    async def test_stream_with_an_event_now_and_then_is_whole(self):
        events = [f"id: {n}\ndata: x\n\n".encode() for n in range(6)]
        caller = await self.relay(events, IDLE_S * 0.6)
        self.assertEqual(caller.received, b"".join(events))
        self.assertTrue(caller.is_whole)

    # Guards against a large event that arrives slowly and is taken for a stall.
    async def test_stream_of_one_large_event_is_whole(self):
        pieces = [b"data: " + b"x" * 2000] + [b"x" * 2000] * 5 + [b"\n\n"]
        caller = await self.relay(pieces, IDLE_S * 0.6)
        self.assertTrue(caller.is_whole)

    # Guards against a slow caller that is taken for a stalled endpoint.
    async def test_stream_to_a_caller_that_reads_slowly_is_whole(self):
        events = [f"id: {n}\ndata: x\n\n".encode() for n in range(3)]
        caller = await self.relay(events, 0.01, caller_pause_s=2 * IDLE_S)
        self.assertTrue(caller.is_whole)

    # Guards against streams that never end: each byte renewed the time-out.
    async def test_event_that_gets_a_byte_now_and_then_times_out(self):
        await self.check_times_out([b"d"] + [b"x"] * 100, IDLE_S / 4)

    async def test_comments_are_no_progress(self):
        await self.check_times_out([b": keep-alive\n\n"] * 100, IDLE_S / 4)

    async def test_blank_lines_are_no_progress(self):
        await self.check_times_out([b"\n\n"] * 100, IDLE_S / 4)

    # Guards against a stream that is cut although nothing can continue it, while its
    # endpoint only pauses (LOST).
    async def test_stream_that_nothing_can_continue_is_not_ended(self):
        events = [f"id: {n}\ndata: x\n\n".encode() for n in range(2)]
        for max_attempts, has_alternative in ((1, True), (2, False)):
            with self.subTest(max_attempts=max_attempts):
                self.max_attempts = max_attempts
                self.has_alternative = has_alternative
                self.stalls = 0
                caller = await self.relay(events, 2 * IDLE_S)
                self.assertEqual(caller.received, b"".join(events))
                self.assertTrue(caller.is_whole)
                self.assertEqual(self.stalls, 2)

    # Guards against an endpoint that is ejected for one stream, whose comments were
    # taken for stalls of their own.
    async def test_stall_with_comments_is_recorded_once(self):
        self.has_alternative = False
        pieces = [*[b": keep-alive\n\n"] * 40, b"id: 1\ndata: x\n\n"]
        caller = await self.relay(pieces, IDLE_S / 4)
        self.assertTrue(caller.is_whole)
        self.assertEqual(self.stalls, 1)

    async def test_stalled_stream_ends_once_another_endpoint_can_continue_it(self):
        self.has_alternative = False
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        loop.call_later(2 * IDLE_S, setattr, self, "has_alternative", True)
        with self.assertRaises(TimeoutError):
            await self.relay([b"id: 1\ndata: x\n\n"], 60.0)
        took_s = loop.time() - began_at
        self.assertGreaterEqual(took_s, 2 * IDLE_S)
        self.assertLess(took_s, 2 * IDLE_S + 2 * STALL_RECHECK_S)


if __name__ == "__main__":
    unittest.main()

"""Tests of how the ends of endpoints' responses pass through sidecar and entry."""

import logging
import unittest

from raw_server import RawServer, make_reply

from builders import make_attempt
from slatehoist.daemon.entry.answers import CallerError
from slatehoist.daemon.sidecar.endpoints import BrokenResponseError, make_endpoint
from slatehoist.wire.messages import (
    UNPROVED_END,
    UNPROVED_END_HEADER,
    Head,
)

FRAMINGS = ("length", "chunked", "connection")
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
EVENT_STREAM = "text/event-stream"
UNPROVED = {UNPROVED_END_HEADER: UNPROVED_END}
DEADLINE_ERROR = CallerError(504, "deadline", "the request exceeded its deadline")


def setUpModule():
    logging.getLogger("slatehoist").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("slatehoist").setLevel(logging.NOTSET)


class EndpointTests(unittest.IsolatedAsyncioTestCase):
    async def run_attempt(self, kind, *replies, **fields) -> tuple[Head, bytes]:
        server = RawServer(*replies)
        url = await server.start()
        self.addAsyncCleanup(server.stop)
        endpoint = make_endpoint(kind, url, 1.0)
        self.addAsyncCleanup(endpoint.close)
        self.server = server
        head, *chunks = [p async for p in endpoint.run(make_attempt(**fields))]
        return head, b"".join(chunks)

    async def test_whole_body_is_returned_with_the_proof_of_its_end(self):
        for framing in FRAMINGS:
            for version in ("1.0", "1.1"):
                if (framing, version) == ("chunked", "1.0"):
                    continue
                with self.subTest(framing=framing, version=version):
                    reply = make_reply(b"whole", framing, version=version)
                    head, body = await self.run_attempt("plain", reply)
                    self.assertEqual(body, b"whole")
                    self.assertEqual(head.proves_end, framing != "connection")

    # Guards against a body without a length that is taken for whole although the
    # endpoint's connection was reset.
    async def test_body_whose_connection_fails_is_broken(self):
        for framing in FRAMINGS:
            for resets in (False, True):
                if (framing, resets) == ("connection", False):
                    continue
                with self.subTest(framing=framing, resets=resets):
                    reply = make_reply(b"whole", framing, resets, missing=2)
                    with self.assertRaises(BrokenResponseError):
                        await self.run_attempt("plain", reply)

    # Guards against a stream of a plain service that was cut within an event and is
    # taken for whole.
    async def test_stream_of_a_plain_service_that_ends_within_an_event_is_broken(self):
        for framing in FRAMINGS:
            with self.subTest(framing=framing):
                reply = make_reply(EVENTS[:-3], framing, content_type=EVENT_STREAM)
                with self.assertRaises(BrokenResponseError):
                    await self.run_attempt("plain", reply)

    async def test_stream_that_ends_with_its_connection_before_any_event_is_broken(
        self,
    ):
        reply = make_reply(b"", "connection", content_type=EVENT_STREAM)
        with self.assertRaises(BrokenResponseError):
            await self.run_attempt("plain", reply)

    async def test_whole_stream_of_a_plain_service_is_returned(self):
        for framing in FRAMINGS:
            with self.subTest(framing=framing):
                reply = make_reply(EVENTS, framing, content_type=EVENT_STREAM)
                _, body = await self.run_attempt("plain", reply)
                self.assertEqual(body, EVENTS)

    # Guards against a completion without a length that was cut off with its engine's
    # connection and is taken for whole.
    async def test_completion_that_is_cut_is_read_again_from_the_engine(self):
        whole = b'{"usage": {"completion_tokens": 3}}'
        cut = make_reply(whole[:9], "connection", content_type="application/json")
        again = make_reply(whole, "connection", content_type="application/json")
        head, body = await self.run_attempt("engine", cut, again, body=b"{}")
        self.assertEqual(body, whole)
        # The JSON document itself shows that it is whole.
        self.assertTrue(head.proves_end)
        self.assertEqual(len(self.server.requests), 2)


if __name__ == "__main__":
    unittest.main()

"""Tests of how the ends of endpoints' responses pass through sidecar and entry."""

import logging
import unittest
from types import SimpleNamespace
from unittest import mock

from raw_server import RawServer, make_reply

from builders import make_attempt
from recorded_caller import Answer, RecordedCaller
from slatehoist.daemon.entry.answers import CallerAnswer, CallerError
from slatehoist.daemon.entry.dispatch import Dispatcher
from slatehoist.daemon.sidecar.admission import Admission
from slatehoist.daemon.sidecar.attempts import AttemptTable, CrashLog
from slatehoist.daemon.sidecar.endpoints import BrokenResponseError, make_endpoint
from slatehoist.daemon.sidecar.runner import AttemptRunner
from slatehoist.routing import AdaptiveLimit, FairQueue
from slatehoist.wire.messages import (
    UNPROVED_END,
    UNPROVED_END_HEADER,
    Final,
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


class LearningTests(unittest.IsolatedAsyncioTestCase):
    # Guards against a request that crashes endpoints and is taken for harmless, because
    # its response ended in order with the endpoint's connection.
    async def test_request_whose_end_is_not_proved_is_part_of_a_crash(self):
        for headers, expected in ((UNPROVED, ["d"]), ({}, [])):
            with self.subTest(headers=headers):
                crash = await self.run_attempt(headers)
                self.assertEqual(crash.digests if crash else [], expected)

    async def run_attempt(self, headers):
        async def run(req):
            yield Head(200, headers)
            yield b"body"

        table = AttemptTable(10.0)
        limit = AdaptiveLimit(2, 2, target_step_s=1.0)
        admission = Admission(FairQueue(100), limit, 3.0, lambda: 0.0)
        endpoint = SimpleNamespace(run=run, count_tokens=lambda req, chunk: 0)
        crashes = CrashLog("e", table.running_digests)
        runner = AttemptRunner(
            table,
            admission,
            endpoint,
            crashes,
            lambda: "first",
            mock.Mock(),
            mock.Mock(),
            lambda: 0.0,
        )
        crashes.observe_incarnation("first", 0.0)
        attempt = runner.start(make_attempt())
        await attempt.task
        self.assertIsInstance(attempt.outcome, Final)
        return crashes.observe_incarnation("second", 1.0)

    async def finish(self, status: int, headers: dict[str, str]) -> bool:
        """Return True if a response clears the suspect that it answers."""
        guard = mock.Mock()
        dispatcher = Dispatcher(None, None, None, guard, None, None, lambda: 0.0, None)
        answer = CallerAnswer(mock.Mock(), "trace")
        answer.set_head(Head(status, headers))
        req = SimpleNamespace(digest="d", prefixes=[])
        final = Final("a1", 0, "")
        await dispatcher._finish(req, mock.Mock(), answer, None, final)
        return guard.report_completed.called

    async def test_end_that_is_not_proved_does_not_clear_a_suspect(self):
        for headers, cleared in ((UNPROVED, False), ({}, True)):
            with self.subTest(headers=headers):
                self.assertEqual(await self.finish(200, headers), cleared)

    # Guards against a suspect that is cleared by an endpoint which rejected it without
    # having run it (BUDGET).
    async def test_status_other_than_a_success_does_not_clear_a_suspect(self):
        for status in (302, 304, 400, 413, 500):
            with self.subTest(status=status):
                self.assertFalse(await self.finish(status, {}))


class CallerAnswerTests(unittest.IsolatedAsyncioTestCase):
    async def answer(self, headers, data, error=None, version="1.1") -> Answer:
        async def handle(req):
            answer = CallerAnswer(req, "trace")
            answer.set_head(Head(200, headers))
            await answer.write(data)
            if error is not None:
                return await answer.fail(error)
            return await answer.finish()

        request = f"GET / HTTP/{version}\r\nHost: h\r\n\r\n"
        return await RecordedCaller(handle).send(request.encode())

    # Guards against a caller without chunks that takes the close of its connection for
    # the end of an answer which failed.
    async def test_connection_is_reset_if_it_alone_marks_the_end_of_a_failed_stream(
        self,
    ):
        stream = {"Content-Type": EVENT_STREAM}
        for headers, version in ((stream, "1.0"), ({**stream, **UNPROVED}, "1.1")):
            with self.subTest(version=version):
                answer = await self.answer(headers, EVENTS, DEADLINE_ERROR, version)
                self.assertEqual(answer.ending, "reset")

    # Guards against an error event that is appended to part of another event.
    async def test_stream_that_fails_within_an_event_gets_no_error_event(self):
        stream = {"Content-Type": EVENT_STREAM}
        answer = await self.answer(stream, EVENTS[:-3], DEADLINE_ERROR)
        self.assertEqual(answer.content, EVENTS[:-3])
        self.assertFalse(answer.looks_complete)
        answer = await self.answer(stream, EVENTS, DEADLINE_ERROR)
        self.assertIn(b"event: error", answer.content)
        self.assertFalse(answer.looks_complete)

    async def test_end_that_is_not_proved_is_passed_on_as_such(self):
        for content_type in (EVENT_STREAM, "text/plain"):
            with self.subTest(content_type=content_type):
                headers = {"Content-Type": content_type, **UNPROVED}
                answer = await self.answer(headers, EVENTS)
                self.assertFalse(answer.is_chunked or answer.has_length)
                self.assertEqual((answer.body, answer.ending), (EVENTS, "close"))
                self.assertNotIn(UNPROVED_END_HEADER, answer.head)

    async def test_proved_end_is_passed_on_with_a_length_or_a_last_chunk(self):
        for content_type in (EVENT_STREAM, "text/plain"):
            with self.subTest(content_type=content_type):
                answer = await self.answer({"Content-Type": content_type}, EVENTS)
                self.assertTrue(answer.looks_complete)
                self.assertEqual((answer.content, answer.ending), (EVENTS, ""))


if __name__ == "__main__":
    unittest.main()

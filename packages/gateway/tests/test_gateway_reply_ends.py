"""Tests of how the ends of endpoints' replies reach the callers."""

import logging
import unittest

from reply_world import (
    EVENT_STREAM,
    FRAMINGS,
    ReplyWorld,
    ScriptedReply,
    make_event,
    make_events,
)

from slatehoist.gateway import Kind


def setUpModule():
    logging.getLogger("slatehoist").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("slatehoist").setLevel(logging.NOTSET)


class StreamEndTests(unittest.IsolatedAsyncioTestCase):
    # Guards against a stream whose server crashed within an event, and which ended as
    # if it were whole: its last part was passed on, and the answer was completed.
    async def test_stream_that_ends_within_an_event_does_not_look_complete(self):
        for framing in FRAMINGS:
            for resumable in (False, True):
                with self.subTest(framing=framing, resumable=resumable):
                    reply = ScriptedReply(make_events(1, 2) + b"id: 3\nda", framing)
                    world = ReplyWorld(
                        reply, kind=Kind.STREAM, resumable=resumable, max_attempts=1
                    )
                    answer = await world.call()
                    self.assertFalse(answer.looks_complete)
                    self.assertTrue(answer.content.startswith(make_events(1, 2)))

    # Guards against the same end of a stream that another endpoint could have resumed.
    async def test_resumable_stream_that_ends_within_an_event_is_resumed(self):
        for framing in FRAMINGS:
            with self.subTest(framing=framing):
                world = ReplyWorld(
                    ScriptedReply(make_events(1, 2) + make_event(3)[:9], framing),
                    ScriptedReply(make_events(3, 4), "chunked"),
                    kind=Kind.STREAM,
                    resumable=True,
                )
                answer = await world.call()
                self.assertTrue(answer.looks_complete)
                self.assertEqual(answer.content, make_events(1, 4))
                last_ids = [r.headers["Last-Event-Id"] for r in world.upstream.requests]
                self.assertEqual(last_ids, ["", "2"])

    async def test_whole_stream_looks_complete(self):
        for framing in FRAMINGS:
            for resumable in (False, True):
                with self.subTest(framing=framing, resumable=resumable):
                    world = ReplyWorld(
                        ScriptedReply(make_events(1, 3), framing),
                        kind=Kind.STREAM,
                        resumable=resumable,
                    )
                    answer = await world.call()
                    self.assertTrue(answer.looks_complete)
                    self.assertEqual(answer.content, make_events(1, 3))

    # Guards against a caller without chunks (HTTP/1.0) that takes an orderly close of
    # its connection for the end of an answer which was broken off.
    async def test_connection_of_an_http_1_0_caller_is_reset_if_its_stream_breaks(self):
        for framing in FRAMINGS:
            for tail, breaks in ((b"", True), (b"id: 3\nda", False)):
                with self.subTest(framing=framing, breaks=breaks):
                    reply = ScriptedReply(make_events(1, 2) + tail, framing, breaks)
                    world = ReplyWorld(reply, kind=Kind.STREAM)
                    answer = await world.call(version="1.0")
                    self.assertEqual(answer.ending, "reset")
                    self.assertFalse(answer.looks_complete)

    async def test_connection_of_an_http_1_0_caller_is_closed_after_a_whole_stream(
        self,
    ):
        for framing in FRAMINGS:
            with self.subTest(framing=framing):
                world = ReplyWorld(
                    ScriptedReply(make_events(1, 3), framing), kind=Kind.STREAM
                )
                answer = await world.call(version="1.0")
                self.assertEqual(answer.ending, "close")
                self.assertFalse(answer.is_chunked)
                self.assertEqual(answer.content, make_events(1, 3))

    # Guards against a stream whose end its caller never sees, since the connection that
    # alone marks it is kept open as the caller asked.
    async def test_connection_that_marks_the_end_is_not_kept_open(self):
        for framing in FRAMINGS:
            for version in ("1.0", "1.1"):
                with self.subTest(framing=framing, version=version):
                    world = ReplyWorld(
                        ScriptedReply(make_events(1, 3), framing), kind=Kind.STREAM
                    )
                    answer = await world.call(version, keep_alive=True)
                    is_kept = version == "1.1" and framing != "connection"
                    self.assertEqual(answer.ending, "" if is_kept else "close")
                    self.assertTrue(answer.looks_complete)

    # Guards against a body that ends with the endpoint's connection, perhaps by its
    # crash, and that the caller gets with a length or a last chunk as if it were whole.
    async def test_end_that_is_not_proved_is_passed_on_as_such(self):
        for kind in Kind:
            for status in (200, 404, 500):
                for version in ("1.0", "1.1"):
                    with self.subTest(kind=kind, status=status, version=version):
                        reply = ScriptedReply(make_events(1, 2), status=status)
                        world = ReplyWorld(reply, kind=kind, max_attempts=1)
                        answer = await world.call(version)
                        self.assertFalse(answer.is_chunked or answer.has_length)
                        self.assertEqual(answer.ending, "close")
                        self.assertEqual(answer.body, make_events(1, 2))

    async def test_proved_end_is_passed_on_with_a_length_or_a_last_chunk(self):
        for framing in ("length", "chunked"):
            for kind in Kind:
                for status in (200, 404, 500):
                    with self.subTest(framing=framing, kind=kind, status=status):
                        reply = ScriptedReply(make_events(1, 2), framing, status=status)
                        world = ReplyWorld(reply, kind=kind, max_attempts=1)
                        answer = await world.call()
                        self.assertTrue(answer.is_chunked or answer.has_length)
                        self.assertTrue(answer.looks_complete)
                        self.assertEqual(answer.ending, "")

    async def test_response_to_a_head_request_has_no_body(self):
        world = ReplyWorld(ScriptedReply(b""), kind=Kind.SAFE)
        answer = await world.call(method="HEAD")
        self.assertTrue(answer.head.startswith("HTTP/1.1 200"))
        self.assertEqual((answer.body, answer.ending), (b"", ""))

    # Guards against a server that crashes between the head and the first event of a
    # stream, which then ends without any event, as if it were whole.
    async def test_stream_that_ends_with_its_connection_before_any_event_is_cut(self):
        world = ReplyWorld(ScriptedReply(b""), kind=Kind.STREAM, max_attempts=1)
        answer = await world.call()
        self.assertTrue(answer.head.startswith("HTTP/1.1 502"))
        world = ReplyWorld(
            ScriptedReply(b""),
            ScriptedReply(make_events(1, 2), "chunked"),
            kind=Kind.STREAM,
            resumable=True,
        )
        answer = await world.call()
        self.assertEqual(answer.content, make_events(1, 2))

    async def test_resumed_stream_without_further_events_is_whole(self):
        world = ReplyWorld(
            ScriptedReply(make_events(1, 2), "chunked", breaks=True),
            ScriptedReply(b""),
            kind=Kind.STREAM,
            resumable=True,
        )
        answer = await world.call()
        self.assertTrue(answer.looks_complete)
        self.assertEqual(answer.content, make_events(1, 2))


class ErrorAfterBreakTests(unittest.IsolatedAsyncioTestCase):
    """A stream has begun and breaks off; the next server answers with an error."""

    #: Bytes of the error, which look like an event or like a head.
    BODIES = (
        b'{"error": "no such stream"}',
        b"id: 3\ndata: error\n\n",
        b"HTTP/1.1 500 X\r\n\r\n",
        b"",
    )
    PLAIN = {"Content-Type": "text/plain"}
    JSON = {"Content-Type": "application/json"}
    STATUSES = (201, 204, 206, 302, 400, 404, 408, 410, 429, 500, 502, 503, 504)

    def errors(self) -> list[tuple[int, dict[str, str]]]:
        """Return statuses and headers of answers that are no stream."""
        found = [(200, self.PLAIN), (200, self.JSON), (200, {})]
        for status in self.STATUSES:
            found += [(status, self.PLAIN), (status, EVENT_STREAM)]
        return [*found, (503, {**self.PLAIN, "Not-Run": "1"})]

    async def call(self, *replies: ScriptedReply, version: str = "1.1"):
        broken = ScriptedReply(make_events(1, 2) + b"id: 3\nda", "chunked", True)
        world = ReplyWorld(
            broken,
            *replies,
            kind=Kind.STREAM,
            resumable=True,
            max_attempts=1 + len(replies),
            endpoints=1 + len(replies),
        )
        return await world.call(version)

    # Guards against the text or the head of an error in the middle of a stream
    # (MIXED), and against a stream that ends as if it were complete (ORDER).
    async def test_error_is_not_passed_on_within_a_stream(self):
        for status, headers in self.errors():
            for body in self.BODIES:
                for framing in FRAMINGS:
                    for version in ("1.0", "1.1"):
                        with self.subTest(
                            status=status,
                            headers=headers,
                            body=body,
                            framing=framing,
                            version=version,
                        ):
                            error = ScriptedReply(body, framing, False, status, headers)
                            answer = await self.call(error, version=version)
                            self.assertFalse(answer.looks_complete)
                            self.assertEqual(answer.content, make_events(1, 2))

    async def test_stream_is_resumed_after_an_error_if_a_third_attempt_is_allowed(
        self,
    ):
        for status, headers in self.errors():
            with self.subTest(status=status, headers=headers):
                error = ScriptedReply(self.BODIES[0], "length", False, status, headers)
                rest = ScriptedReply(make_events(3, 4), "chunked")
                answer = await self.call(error, rest)
                self.assertTrue(answer.looks_complete)
                self.assertEqual(answer.content, make_events(1, 4))


class LearningTests(unittest.IsolatedAsyncioTestCase):
    # Guards against an endpoint that is ejected, and a stream that is sent again,
    # because its caller's connection was lost.
    async def test_lost_connection_of_a_caller_is_no_failure_of_the_endpoint(self):
        reply = ScriptedReply(make_events(1, 2), "chunked")
        world = ReplyWorld(reply, kind=Kind.STREAM, resumable=True)
        reply.on_read = lambda: world.caller.transport.lose()
        await world.call()
        self.assertEqual(len(world.upstream.requests), 1)
        failures = [world.health.get_record(name).failures for name in ("e1", "e2")]
        self.assertEqual(failures, [0, 0])

    # Guards against a request that is taken for harmless because the reply that ended
    # with its server's connection counted as a success.
    async def test_end_that_is_not_proved_keeps_the_request_suspected(self):
        for framing in FRAMINGS:
            for body in (make_events(1, 2), make_events(1, 2) + b"id: 3"):
                with self.subTest(framing=framing, body=body):
                    reply = ScriptedReply(body, framing)
                    world = ReplyWorld(reply, kind=Kind.STREAM, max_attempts=1)
                    for crash_id in ("e3@0", "e4@0"):
                        world.tally.record_crash(world.digest, crash_id, world.now)
                    await world.call()
                    is_proved = framing != "connection" and body.endswith(b"\n\n")
                    suspected = world.tally.is_suspected(world.digest, world.now)
                    self.assertEqual(suspected, not is_proved)


if __name__ == "__main__":
    unittest.main()

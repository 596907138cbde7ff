"""Tests of connections that receive drawn answers, whole or in pieces."""

import asyncio
import random
import re
import time
import unittest

from aiohttp.client_exceptions import ClientError
from hypothesis import given, settings
from hypothesis import strategies as st

from http_parsers import PARSERS, use_parser
from odd_answers import (
    BODY,
    BROKEN,
    CHUNK,
    CHUNKED,
    LAST_CHUNK,
    REPAIRABLE,
    SOUND,
    change,
    make_answer,
    make_chunked,
    read_strictly,
    repair,
)
from slatehoist.http import (
    MalformedResponseError,
    ResponseValidator,
    StrictResponseHandler,
)
from slatehoist.http.validation import MAX_HEAD_BYTES, MAX_HELD_BYTES, MAX_LINE_BYTES

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}")


class _Transport(asyncio.Transport):
    """Transport of a connection that sends nothing."""

    def __init__(self) -> None:
        super().__init__()
        self.is_aborted = False

    def is_closing(self) -> bool:
        return self.is_aborted

    def abort(self) -> None:
        self.is_aborted = True

    close = abort

    def pause_reading(self) -> None:
        pass

    resume_reading = pause_reading


async def receive(pieces: list[bytes], method: str = "GET") -> tuple[int, bytes] | None:
    """Return status and body of what a connection receives; None if that is broken.

    The connection is closed in order after the pieces.
    """
    handler = StrictResponseHandler(asyncio.get_running_loop())
    transport = _Transport()
    handler.connection_made(transport)
    handler.set_response_params(
        skip_payload=method == "HEAD", read_until_eof=True, auto_decompress=False
    )
    for piece in pieces:
        if not transport.is_aborted:
            handler.data_received(piece)
    handler.connection_lost(None)
    try:
        while True:
            message, payload = await handler.read()
            if message.code >= 200:
                return message.code, await payload.read()
    except (ClientError, OSError):
        return None


def split(data: bytes, cuts: list[int]) -> list[bytes]:
    """Return bytes in pieces that end at some positions."""
    ends = sorted({cut % (len(data) + 1) for cut in cuts} | {0, len(data)})
    return [data[a:b] for a, b in zip(ends, ends[1:], strict=False)]


class DrawnAnswerTests(unittest.TestCase):
    def check(self, data: bytes, pieces: list[bytes]) -> None:
        strict = read_strictly(data, closed=True)
        repaired = strict or read_strictly(repair(data), closed=True)
        for parser in PARSERS:
            with use_parser(parser), self.subTest(parser=parser, data=data):
                found = asyncio.run(receive(pieces))
                expected = repaired and (repaired.status, repaired.body)
                if strict is None or len(_STATUS_LINE.findall(data)) > 1:
                    # A head that begins within another one may be rejected.
                    self.assertIn(found, (None, expected))
                else:
                    self.assertEqual(found, expected)

    # Guards against broken answers that are no case of `odd_answers`.
    @settings(max_examples=500)
    @given(
        st.sampled_from([*SOUND.values(), *REPAIRABLE.values()]),
        st.integers(0, 1 << 32),
        st.lists(st.integers(0, 400), max_size=4),
    )
    def test_changed_answer_is_read_as_a_strict_reader_reads_it(self, base, seed, cuts):
        data = change(base, random.Random(seed))
        self.check(data, split(data, cuts))

    @given(
        st.sampled_from([a for answers in BROKEN.values() for a in answers.values()]),
        st.lists(st.integers(0, 400), max_size=4),
    )
    def test_broken_answer_in_pieces_is_rejected(self, data, cuts):
        for parser in PARSERS:
            with use_parser(parser), self.subTest(parser=parser):
                self.assertIsNone(asyncio.run(receive(split(data, cuts))))

    def test_sound_answer_is_read_in_single_bytes(self):
        for what, data in SOUND.items():
            pieces = [data[at : at + 1] for at in range(len(data))]
            with self.subTest(what=what):
                self.check(data, pieces)


class BodilessTests(unittest.IsolatedAsyncioTestCase):
    async def test_response_without_a_body_ends_with_its_head(self):
        for parser in PARSERS:
            for method, status in (("HEAD", 200), ("GET", 204), ("GET", 304)):
                for framing in (b"", CHUNKED, b"Content-Length: 28"):
                    with (
                        use_parser(parser),
                        self.subTest(parser=parser, status=status, framing=framing),
                    ):
                        line = b"HTTP/1.1 %d X" % status
                        data = make_answer(framing=framing, body=b"", status_line=line)
                        self.assertEqual(await receive([data], method), (status, b""))


class ValidatorTests(unittest.TestCase):
    def test_broken_response_is_rejected_before_it_ends(self):
        for begin in (
            b"X",
            b"HTTP/1.1 0",
            b"HTTP/1.1 200 OK\r\nX Y: 1\r\n",
            make_chunked(b"g"),
            make_chunked(CHUNK[:-2], b"0"),
            make_chunked(CHUNK, b"0\r\nX Y: 1\r\n"),
        ):
            with self.subTest(begin=begin), self.assertRaises(MalformedResponseError):
                ResponseValidator().feed(begin)

    def test_nothing_of_a_broken_chunk_is_passed_on(self):
        validator = ResponseValidator()
        head = validator.feed(make_chunked())
        self.assertTrue(head.endswith(b"\r\n\r\n"))
        self.assertEqual(validator.feed(b"1d\r\n" + BODY + b"\r"), b"")
        with self.assertRaises(MalformedResponseError):
            validator.feed(b"\n0")

    def test_large_chunk_is_passed_on_in_parts_and_its_end_is_checked(self):
        for end, is_sound in ((b"\r\n", True), (b"\n\r", False), (b"x", False)):
            with self.subTest(end=end):
                validator = ResponseValidator()
                validator.feed(make_chunked())
                size = 3 * MAX_HELD_BYTES
                part = b"x" * (2 * MAX_HELD_BYTES)
                sent = validator.feed(b"%x\r\n" % size + part)
                self.assertEqual(len(sent), len(b"%x\r\n" % size) + len(part))
                rest = b"x" * MAX_HELD_BYTES
                if is_sound:
                    self.assertEqual(validator.feed(rest + end), rest + end)
                    self.assertEqual(validator.feed(LAST_CHUNK), LAST_CHUNK)
                else:
                    with self.assertRaises(MalformedResponseError):
                        validator.feed(rest + end)

    def test_bytes_after_a_response_are_counted_and_not_passed_on(self):
        empty = make_answer(framing=b"Content-Length: 0", body=b"")
        no_content = make_answer(
            framing=b"", body=b"", status_line=b"HTTP/1.1 204 No Content"
        )
        for answer in (
            make_answer(),
            make_chunked(CHUNK, LAST_CHUNK),
            empty,
            no_content,
        ):
            with self.subTest(answer=answer):
                validator = ResponseValidator()
                whole = validator.feed(answer)
                self.assertEqual(validator.feed(b"xyz"), b"")
                self.assertEqual(validator.excess_bytes, 3)
                at_once = ResponseValidator()
                self.assertEqual(at_once.feed(answer + b"xyz"), whole)
                self.assertEqual(at_once.excess_bytes, 3)

    def test_responses_without_end_are_rejected_soon(self):
        for begin, piece, limit in (
            (b"HTTP/1.1 200 ", b"x", MAX_LINE_BYTES),
            (b"HTTP/1.1 200 X\r\nX: ", b"x", MAX_LINE_BYTES),
            (b"HTTP/1.1 200 X\r\nX: ", b"\n ", MAX_LINE_BYTES),
            (b"HTTP/1.1 200 X\r\n", b"X: " + b"x" * 9000 + b"\r\n", MAX_HEAD_BYTES),
            (b"HTTP/1.1 200 X\r\n", b"X: 1\r\n", MAX_LINE_BYTES),
            (make_chunked(b"1;"), b"x", MAX_LINE_BYTES),
            (make_chunked(b"0\r\nX:"), b"x", MAX_LINE_BYTES),
            (make_chunked(b"0\r\n"), b"X: 1\r\n", MAX_LINE_BYTES),
            (b"HTTP/1.1 103 X\r\n\r\n", b"HTTP/1.1 102 X\r\n\r\n", MAX_LINE_BYTES),
        ):
            with self.subTest(begin=begin, piece=piece[:9]):
                validator = ResponseValidator()
                validator.feed(begin)
                fed, began = 0, time.process_time()
                with self.assertRaises(MalformedResponseError):
                    while fed <= 3 * limit:
                        validator.feed(piece)
                        fed += len(piece)
                # Bytes that arrive one by one cost no more than a little each.
                self.assertLess(time.process_time() - began, 5.0)


if __name__ == "__main__":
    unittest.main()

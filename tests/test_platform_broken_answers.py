"""Tests of servers that send broken answers, through a whole gateway."""

import asyncio
import logging
import os
import random
import unittest
from unittest import mock

from adapter.headers import PlatformHeaderCodec
from multidict import CIMultiDict

from gateway_world import CREDENTIAL, HOST, GatewayTestCase, GatewayWorld
from http_parsers import PARSERS, use_parser
from odd_answers import (
    BODY,
    BROKEN,
    ID_MARK,
    REPAIRABLE,
    SOUND,
    Message,
    change,
    read_strictly,
    repair,
)
from slatehoist.gateway.exchange import request_digest

PATHS = ("/safe/", "/unsafe/", "/stream/", "/once/")
BAD_GATEWAY = 502
#: Time-out in seconds of one answer; broken answers must end well before deadlines.
ANSWER_TIMEOUT_S = 1.0
#: Statuses of answers that the gateway makes itself.
OWN_STATUSES = (502, 503)
SEED = int(os.environ.get("SEED", "1"))
DRAWS = int(os.environ.get("DRAWS", "400"))


def setUpModule():
    logging.getLogger("slatehoist").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("slatehoist").setLevel(logging.NOTSET)


class SocketCaller:
    """Caller that keeps one connection, and reads answers byte by byte."""

    def __init__(self, url: str) -> None:
        self._host, _, port = url.removeprefix("http://").rpartition(":")
        self._port = int(port)
        self._writer: asyncio.StreamWriter | None = None

    async def call(self, path: str, request_id: bytes = b"") -> Message | None:
        """Return the answer to a request; None if it is invalid or cut off."""
        request_id = request_id or f"{random.getrandbits(64):016x}".encode()
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._host, self._port
            )
        lines = [
            f"GET {path} HTTP/1.1".encode(),
            f"Host: {HOST}".encode(),
            b"Request-Id: " + request_id,
            f"Credential: {CREDENTIAL}".encode(),
            b"Deadline-Ms: 3000",
        ]
        if path in ("/stream/", "/once/"):
            lines.append(b"Accept: text/event-stream")
        self._writer.write(b"\r\n".join([*lines, b"", b""]))
        data = b""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while (message := read_strictly(data)) is None:
                try:
                    part = await self._reader.read(65536)
                except ConnectionResetError:
                    await self.close()
                    return None
                if not part:
                    await self.close()
                    return read_strictly(data, closed=True)
                data += part
        return message

    async def close(self) -> None:
        """Close the connection; the next call opens another one."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None


class BrokenAnswerCase(GatewayTestCase):
    """Test case with one gateway, and a caller that keeps its connection."""

    async def start_world(self, *behaviours, **settings) -> GatewayWorld:
        world = await super().start_world(*behaviours, retry_allowance=1e6, **settings)
        self.caller = SocketCaller(world.urls[0])
        self.addAsyncCleanup(self.caller.close)
        return world


class BrokenAnswerTests(BrokenAnswerCase):
    async def check_rejected(self, world: GatewayWorld, path: str) -> None:
        """Check that a broken answer of the only server becomes a 502."""
        server = world.servers[0]
        server.behaviours = ["scripted", "ok"]
        arrivals = len(server.arrivals)
        answer = await self.caller.call(path)
        self.assertIsNotNone(answer, "cut off or invalid")
        self.assertEqual(answer.status, BAD_GATEWAY)
        self.assertNotIn(b"server-stamp", answer.fields)
        self.assertEqual(answer.rest, b"")
        self.assertEqual(len(server.arrivals), arrivals + 1)
        # The connection of the caller stays usable.
        self.assertEqual((await self.caller.call(path)).status, 200)

    async def check_class(self, name: str, parser: str) -> None:
        with use_parser(parser):
            world = await self.start_world(["scripted"])
            for what, answer in BROKEN[name].items():
                world.servers[0].script = (answer,)
                for path in PATHS:
                    with self.subTest(parser=parser, what=what, path=path):
                        await self.check_rejected(world, path)

    async def test_status_that_is_no_status_code_is_rejected(self):
        for parser in PARSERS:
            await self.check_class("status", parser)

    async def test_field_name_that_is_no_token_is_rejected(self):
        for parser in PARSERS:
            await self.check_class("name", parser)

    async def test_control_byte_in_a_value_is_rejected(self):
        for parser in PARSERS:
            await self.check_class("value", parser)

    async def test_invalid_framing_is_rejected(self):
        for parser in PARSERS:
            await self.check_class("framing", parser)

    async def test_broken_chunks_are_rejected(self):
        for parser in PARSERS:
            await self.check_class("chunk", parser)

    def one_of_each_class(self) -> dict[str, bytes]:
        """Return the first broken answer of each class."""
        return {name: next(iter(answers.values())) for name, answers in BROKEN.items()}

    async def test_request_that_can_be_repeated_is_served_by_another_endpoint(self):
        for name, script in self.one_of_each_class().items():
            world = await self.start_world(["scripted", "ok"], copies=2)
            for server in world.servers:
                server.script = (script,)
            for path in PATHS:
                world.servers[0].behaviours[:] = ["scripted", "ok"]
                with self.subTest(name=name, path=path):
                    arrivals = world.count_arrivals()
                    answer = await self.caller.call(path)
                    is_repeated = path in ("/safe/", "/stream/")
                    self.assertEqual(answer.status, 200 if is_repeated else BAD_GATEWAY)
                    sent = world.count_arrivals() - arrivals
                    self.assertEqual(sent, 1 + is_repeated)

    async def test_one_log_line_names_endpoint_request_and_reason(self):
        world = await self.start_world(["scripted"])
        for name, script in self.one_of_each_class().items():
            world.servers[0].script = (script,)
            for path in PATHS:
                with (
                    self.subTest(name=name, path=path),
                    self.assertLogs("slatehoist", logging.INFO) as log,
                ):
                    await self.caller.call(path, b"id-of-the-request")
                lines = [r for r in log.records if r.getMessage() == "reply_broken"]
                self.assertEqual(len(lines), 1)
                self.assertEqual(lines[0].endpoint, "i-0")
                self.assertEqual(lines[0].request, "id-of-the-request")
                self.assertIn("MalformedResponseError", lines[0].why)

    # Guards against a server that counts as sound after a broken answer, and against a
    # request that crashes servers and counts as one that succeeded.
    async def test_broken_answer_is_a_failure_and_keeps_the_request_suspected(self):
        for name, script in self.one_of_each_class().items():
            for path in PATHS:
                world = await self.start_world(["scripted"])
                world.servers[0].script = (script,)
                with self.subTest(name=name, path=path):
                    digest = request_digest("GET", path, "team-a", b"")
                    tally = world.gateway._forwarder._guard._tally
                    for crash_id in ("e3@0", "e4@0"):
                        tally.record_crash(digest, crash_id, world.clock())
                    await self.caller.call(path)
                    self.assertTrue(tally.is_suspected(digest, world.clock()))
                    record = world.gateway._health.get_record("i-0")
                    self.assertEqual(record.failures, 1)

    async def test_sound_answers_are_passed_on(self):
        for parser in PARSERS:
            with use_parser(parser):
                world = await self.start_world(["scripted"])
                for what, script in SOUND.items():
                    world.servers[0].script = (script,)
                    for path in PATHS:
                        with self.subTest(parser=parser, what=what, path=path):
                            answer = await self.caller.call(path)
                            self.assertIsNotNone(answer, "cut off or invalid")
                            self.assertEqual(answer.status, 200)
                            self.assertEqual(answer.body, BODY)
                            sent = read_strictly(script, closed=True)
                            value = sent.fields.get(b"x-a")
                            self.assertEqual(answer.fields.get(b"x-a"), value)

    async def test_answers_that_may_be_repaired_are_passed_on_whole_or_rejected(self):
        for parser in PARSERS:
            with use_parser(parser):
                world = await self.start_world(["scripted"])
                for what, script in REPAIRABLE.items():
                    world.servers[0].script = (script,)
                    for path in PATHS:
                        with self.subTest(parser=parser, what=what, path=path):
                            answer = await self.caller.call(path)
                            self.assertIsNotNone(answer, "cut off or invalid")
                            if answer.status != BAD_GATEWAY:
                                self.assertEqual(answer.status, 200)
                                self.assertEqual(answer.body, BODY)

    # Guards against a head of our own that cannot be written: the connection closed
    # without an answer, or a stream's error was sent in chunks beside its length.
    async def test_answer_whose_headers_cannot_be_written_becomes_a_502(self):
        for parser in PARSERS:
            with use_parser(parser):
                await self.start_world(["ok"])
                for name, value in (("X-A", "a\x07b"), ("X-A", "a\r\nb"), ("X A", "b")):
                    odd = CIMultiDict({"Content-Type": "text/plain", name: value})
                    for path in PATHS:
                        with (
                            self.subTest(parser=parser, name=name, path=path),
                            mock.patch.object(
                                PlatformHeaderCodec, "reply_headers", return_value=odd
                            ),
                        ):
                            answer = await self.caller.call(path)
                            self.assertIsNotNone(answer, "cut off or invalid")
                            self.assertEqual(answer.status, BAD_GATEWAY)
                            self.assertEqual(answer.rest, b"")
                            with mock.patch.object(
                                PlatformHeaderCodec, "own_headers", return_value=odd
                            ):
                                answer = await self.caller.call("/none/")
                            self.assertIsNotNone(answer, "cut off or invalid")
                            self.assertEqual(answer.status, BAD_GATEWAY)
                        self.assertEqual((await self.caller.call(path)).status, 200)

    async def test_refusal_repeats_a_request_id_in_iso_8859_1(self):
        for parser in PARSERS:
            with use_parser(parser), self.subTest(parser=parser):
                await self.start_world(["ok"])
                answer = await self.caller.call("/none/", b"caf\xe9")
                self.assertIsNotNone(answer, "cut off or invalid")
                self.assertEqual(answer.status, 404)
                self.assertEqual(answer.fields[b"request-id"], b"caf\xe9")


class DrawnAnswerTests(BrokenAnswerCase):
    """Sound answers with random changes: ``DRAWS`` of them, drawn by ``SEED``."""

    # Guards against broken answers that are no case of `odd_answers`.
    async def test_changed_answers_are_passed_on_only_if_a_strict_reader_agrees(self):
        rng = random.Random(SEED)
        for parser in PARSERS:
            with use_parser(parser):
                world = await self.start_world(["scripted"])
                world.servers[0].closes_after_script = True
                for _ in range(DRAWS):
                    base = rng.choice([*SOUND.values(), *REPAIRABLE.values()])
                    data = change(base, rng)
                    with self.subTest(parser=parser, seed=SEED, data=data):
                        await self.check_answer(world, rng.choice(PATHS), data)

    async def check_answer(self, world: GatewayWorld, path: str, data: bytes) -> None:
        request_id = f"{random.getrandbits(64):016x}".encode()
        data = data.replace(ID_MARK, request_id)
        strict = read_strictly(data, closed=True)
        expected = strict or read_strictly(repair(data), closed=True)
        server = world.servers[0]
        server.script = (data,)
        arrivals = len(server.arrivals)
        answer = await self.caller.call(path, request_id)
        self.assertEqual(len(server.arrivals), arrivals + 1)
        is_stream = path in ("/stream/", "/once/")
        if expected is None and is_stream and answer is None:
            # Its end was broken: the caller sees that what it got is not whole.
            return
        if expected is None:
            self.assertIsNotNone(answer, "cut off or invalid")
            self.assertEqual(answer.status, BAD_GATEWAY)
            self.assertNotIn(b"server-stamp", answer.fields)
        elif is_stream:
            # Its body may end within an event, so that the stream is broken off.
            if answer is not None and answer.status == expected.status:
                self.assertEqual(answer.body, expected.body)
        else:
            self.assertIsNotNone(answer, "cut off or invalid")
            if strict is None or not self.is_valid(strict, request_id):
                found = answer.status, answer.body
                wanted = expected.status, expected.body
                self.assertTrue(found == wanted or answer.status in OWN_STATUSES)
            else:
                self.assertEqual(answer.status, strict.status)
                self.assertEqual(answer.body, strict.body)

    def is_valid(self, message: Message, request_id: bytes) -> bool:
        """Return True if the gateway passes an answer on by all other rules."""
        return (
            message.status == 200
            and message.fields.get(b"request-id") == request_id
            and b"server-stamp" in message.fields
            and b"HTTP/1." not in b"".join(message.fields.values())
        )


if __name__ == "__main__":
    unittest.main()

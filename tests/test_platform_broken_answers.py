"""Tests of servers that send broken answers, through a whole gateway."""

import asyncio
import contextlib
import logging
import random
import unittest
from collections.abc import Iterator
from unittest import mock

from adapter.headers import PlatformHeaderCodec
from aiohttp import client_proto, http_parser, http_writer
from multidict import CIMultiDict

from gateway_world import CREDENTIAL, HOST, GatewayTestCase, GatewayWorld
from odd_answers import BODY, BROKEN, REPAIRABLE, SOUND, Message, read_strictly

PATHS = ("/safe/", "/unsafe/", "/stream/", "/once/")
BAD_GATEWAY = 502
#: Time-out in seconds of one answer; broken answers must end well before deadlines.
ANSWER_TIMEOUT_S = 1.0


def setUpModule():
    logging.getLogger("slatehoist").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("slatehoist").setLevel(logging.NOTSET)


@contextlib.contextmanager
def use_parser(name: str) -> Iterator[None]:
    """Let aiohttp read answers, and write heads, with its C or its Python code."""
    suffix, writer = ("Py", "_py") if name == "Python" else ("C", "_c")
    parser = getattr(http_parser, f"HttpResponseParser{suffix}")
    serialize = getattr(http_writer, f"{writer}_serialize_headers")
    with (
        mock.patch.object(client_proto, "HttpResponseParser", parser),
        mock.patch.object(http_writer, "_serialize_headers", serialize),
    ):
        yield


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
                if not (part := await self._reader.read(65536)):
                    await self.close()
                    return read_strictly(data, closed=True)
                data += part
        return message

    async def close(self) -> None:
        """Close the connection; the next call opens another one."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None


class BrokenAnswerTests(GatewayTestCase):
    async def start_world(self, *behaviours, **settings) -> GatewayWorld:
        world = await super().start_world(*behaviours, retry_allowance=1e6, **settings)
        self.caller = SocketCaller(world.urls[0])
        self.addAsyncCleanup(self.caller.close)
        return world

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
        for parser in ("C", "Python"):
            await self.check_class("status", parser)

    async def test_field_name_that_is_no_token_is_rejected(self):
        for parser in ("C", "Python"):
            await self.check_class("name", parser)

    async def test_control_byte_in_a_value_is_rejected(self):
        for parser in ("C", "Python"):
            await self.check_class("value", parser)

    async def test_invalid_framing_is_rejected(self):
        for parser in ("C", "Python"):
            await self.check_class("framing", parser)

    async def test_broken_chunks_are_rejected(self):
        for parser in ("C", "Python"):
            await self.check_class("chunk", parser)

    async def test_sound_answers_are_passed_on(self):
        for parser in ("C", "Python"):
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
        for parser in ("C", "Python"):
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
        for parser in ("C", "Python"):
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
        for parser in ("C", "Python"):
            with use_parser(parser), self.subTest(parser=parser):
                await self.start_world(["ok"])
                answer = await self.caller.call("/none/", b"caf\xe9")
                self.assertIsNotNone(answer, "cut off or invalid")
                self.assertEqual(answer.status, 404)
                self.assertEqual(answer.fields[b"request-id"], b"caf\xe9")


if __name__ == "__main__":
    unittest.main()

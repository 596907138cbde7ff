"""Tests of entries and sidecars that read broken answers."""

import asyncio
import unittest

import aiohttp

from builders import make_attempt
from http_parsers import PARSERS, use_parser
from odd_answers import BROKEN, SOUND
from scripted_server import ScriptedServerTestCase
from slatehoist.config.settings import RankSettings, RetrySettings
from slatehoist.coord import RankUnreachableError
from slatehoist.daemon.background import Background
from slatehoist.daemon.entry.attempts import AttemptClient, Unknown
from slatehoist.daemon.sidecar.endpoints import BrokenResponseError, make_endpoint
from slatehoist.daemon.sidecar.ranks import EngineRank
from slatehoist.http import strict_connector
from slatehoist.storage import HttpInstanceList, HttpTable, StoreDownError
from slatehoist.wire import encode

#: Seconds within which a broken answer ends an attempt.
ATTEMPT_TIMEOUT_S = 2.0


class DaemonTests(ScriptedServerTestCase):
    async def check_all(self, check, body: bytes) -> None:
        """Check all broken answers, with both parsers."""
        for parser in PARSERS:
            with use_parser(parser):
                for name, answers in BROKEN.items():
                    for what, answer in answers.items():
                        self.server.answer(answer, body)
                        with self.subTest(parser=parser, name=name, what=what):
                            await check()

    async def test_sidecar_breaks_off_a_broken_response_of_its_endpoint(self):
        for kind in ("plain", "engine"):
            endpoint = make_endpoint(kind, f"http://{self.address}", 1.0)
            self.addAsyncCleanup(endpoint.close)
            req = make_attempt(body=b"{}")

            async def check(endpoint=endpoint, req=req):
                self.server.arrivals.clear()
                with (
                    self.assertLogs("slatehoist.http") as log,
                    self.assertRaises(BrokenResponseError),
                ):
                    async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                        async for piece in endpoint.run(req):
                            self.assertNotIsInstance(piece, bytes)
                line = log.records[0]
                self.assertEqual(line.getMessage(), "response_rejected")
                self.assertIn(self.address, line.endpoint)
                self.assertIn(req.attempt_id, line.request)
                sent = [a for a in self.server.arrivals if a.target == req.path]
                self.assertEqual(len(sent), 1)

            with self.subTest(kind=kind):
                await self.check_all(check, b"data: piece")

    async def test_header_in_iso_8859_1_is_left_out(self):
        endpoint = make_endpoint("plain", f"http://{self.address}", 1.0)
        self.addAsyncCleanup(endpoint.close)
        answer = SOUND["length"].replace(b"text/event-stream", b"text/x; a=\xe9")
        self.server.answer(answer)
        pieces = [piece async for piece in endpoint.run(make_attempt(body=b"{}"))]
        self.assertNotIn("Content-Type", pieces[0].headers)
        encode(pieces[0])

    async def test_outcome_of_an_attempt_is_unknown_and_it_is_sent_once(self):
        client = AttemptClient(RetrySettings())
        self.addAsyncCleanup(client.close)
        req = make_attempt(body=b"{}")

        async def check():
            self.server.arrivals.clear()
            with self.assertLogs("slatehoist.http") as log:
                pieces = [piece async for piece in client.run(self.address, req)]
            self.assertEqual(pieces, [Unknown(req.attempt_id, "sidecar_gone")])
            line = log.records[0]
            self.assertEqual(line.getMessage(), "response_rejected")
            self.assertEqual(line.endpoint, self.address)
            self.assertIn(req.attempt_id, line.request)
            sent = [a for a in self.server.arrivals if a.method == "POST"]
            self.assertEqual(len(sent), 1)

        await self.check_all(check, b"")

    async def test_rank_with_a_broken_answer_is_unreachable(self):
        session = aiohttp.ClientSession(connector=strict_connector())
        self.addAsyncCleanup(session.close)
        cfg = RankSettings(group="g", rank=0, url=f"http://{self.address}")
        rank = EngineRank(cfg, session, None, Background())

        async def check():
            with (
                self.assertLogs("slatehoist.http") as log,
                self.assertRaises(RankUnreachableError),
            ):
                await rank.hold(1, 2)
            self.check_logged(log, "POST")

        await self.check_all(check, b'{"done":true}')

    async def test_read_of_the_platform_fails(self):
        session = aiohttp.ClientSession(connector=strict_connector())
        self.addAsyncCleanup(session.close)
        url = f"http://{self.address}"
        for read in (
            HttpTable(url, session).scan,
            lambda table: HttpInstanceList(url, session).list(),
        ):

            async def check(read=read):
                with (
                    self.assertLogs("slatehoist.http") as log,
                    self.assertRaises(StoreDownError),
                ):
                    await read("t")
                self.check_logged(log, "GET")

            await self.check_all(check, b"[]")


if __name__ == "__main__":
    unittest.main()

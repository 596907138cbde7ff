"""Tests of agents, store clients and the command line that read broken answers."""

import unittest
from unittest import mock

import aiohttp
from adapter import ranks
from adapter.ranks import HttpRank
from adapter.store import PlatformTable

from http_parsers import PARSERS, use_parser
from odd_answers import BROKEN, SOUND, make_answer
from scripted_server import ScriptedServerTestCase
from slatehoist.cli.client import Api, UnreachableError
from slatehoist.cli.fleet import read_processes
from slatehoist.http import strict_connector
from slatehoist.maps import Answer, RankUnreachableError
from slatehoist.storage import OutcomeUnknownError, StoreDownError

BROKEN_ANSWERS = {
    f"{name}: {what}": answer
    for name, answers in BROKEN.items()
    for what, answer in answers.items()
}
ANSWER_TIMEOUT_S = 2.0
NO_ROWS = b'{"ver":1,"rows":[]}'


class BrokenReaderTests(ScriptedServerTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        # Answers that come later than usual are not the subject here.
        for name in ("ORDER_TIMEOUT_S", "QUERY_TIMEOUT_S"):
            patch = mock.patch.object(ranks, name, ANSWER_TIMEOUT_S)
            patch.start()
            self.addCleanup(patch.stop)
        self.session = aiohttp.ClientSession(connector=strict_connector())
        self.addAsyncCleanup(self.session.close)

    async def check_all(self, check, body: bytes) -> None:
        """Check all broken answers, with both parsers."""
        for parser in PARSERS:
            with use_parser(parser):
                for what, answer in BROKEN_ANSWERS.items():
                    self.server.answer(answer, body)
                    with self.subTest(parser=parser, what=what):
                        await check()

    async def check_sound(self, check, body: bytes) -> None:
        """Check all sound answers, with both parsers."""
        for parser in PARSERS:
            with use_parser(parser):
                for what, answer in SOUND.items():
                    if what == "many chunks":
                        continue  # Its body cannot be replaced.
                    self.server.answer(answer, body)
                    with self.subTest(parser=parser, what=what):
                        await check()

    async def test_read_of_the_store_fails(self):
        table = PlatformTable(self.address, self.session)

        async def check():
            with (
                self.assertLogs("slatehoist.http") as log,
                self.assertRaises(StoreDownError),
            ):
                await table.get("t", "k")
            self.check_logged(log, "GET /api/rows-get")

        await self.check_all(check, NO_ROWS)

    async def test_sound_answers_of_the_store_are_read(self):
        table = PlatformTable(self.address, self.session)

        async def check():
            self.assertIsNone(await table.get("t", "k"))

        await self.check_sound(check, NO_ROWS)

    async def test_outcome_of_a_write_is_unknown_and_it_is_sent_once(self):
        table = PlatformTable(self.address, self.session)

        async def check():
            arrivals = len(self.server.arrivals)
            with (
                self.assertLogs("slatehoist.http") as log,
                self.assertRaises(OutcomeUnknownError),
            ):
                await table.transact([], [])
            self.check_logged(log, "POST /api/rows-tx")
            self.assertEqual(len(self.server.arrivals), arrivals + 1)

        await self.check_all(check, b"{}")

    async def test_outcome_of_an_order_is_unknown_and_it_is_sent_once(self):
        rank = HttpRank(self.address, self.session)

        async def check():
            arrivals = len(self.server.arrivals)
            with self.assertLogs("slatehoist.http") as log:
                self.assertIs(await rank.hold(1, 2), Answer.UNKNOWN)
            self.check_logged(log, "hold")
            self.assertEqual(len(self.server.arrivals), arrivals + 1)

        await self.check_all(check, b"{}")

    async def test_sound_answers_to_orders_are_read(self):
        rank = HttpRank(self.address, self.session)

        async def check():
            self.assertIs(await rank.hold(1, 2), Answer.DONE)

        await self.check_sound(check, b"{}")

    async def test_rank_with_a_broken_report_is_unreachable(self):
        rank = HttpRank(self.address, self.session)

        async def check():
            with (
                self.assertLogs("slatehoist.http") as log,
                self.assertRaises(RankUnreachableError),
            ):
                await rank.report()
            self.check_logged(log, "GET /")

        await self.check_all(check, b"{}")

    # Guards against an answer that only aiohttp's limits reject, without a log line.
    async def test_valid_answer_that_the_parser_rejects_is_logged(self):
        table = PlatformTable(self.address, self.session)

        async def check():
            with (
                self.assertLogs("slatehoist.http") as log,
                self.assertRaises(StoreDownError),
            ):
                await table.get("t", "k")
            self.check_logged(log, "GET /api/rows-get")

        for parser in PARSERS:
            for what, answer in (
                ("large field", make_answer(b"X-A: " + b"x" * 9000)),
                ("cut body", make_answer(framing=b"Content-Length: 29")),
            ):
                self.server.closes_after_script = True
                self.server.answer(answer, NO_ROWS)
                with use_parser(parser), self.subTest(parser=parser, what=what):
                    await check()

    async def test_command_line_names_the_reason(self):
        api = Api(f"http://{self.address}", "token")

        async def check():
            with self.assertRaisesRegex(UnreachableError, f"{self.address}.*: .+"):
                await api.call("GET", "groups")
            with self.assertRaisesRegex(UnreachableError, f"{self.address}.*: .+"):
                async for _ in api.watch(0):
                    pass

        await self.check_all(check, b"{}")

    async def test_command_line_shows_unread_processes(self):
        async def check():
            (process,) = await read_processes([self.address])
            self.assertTrue(process.problem)

        await self.check_all(check, b"")


if __name__ == "__main__":
    unittest.main()

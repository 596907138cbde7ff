"""Tests that nonsense from outside costs no task and no process.

Each parser of `platform/` gets drawn documents and may raise only its own error. The
number of draws is set by the test's profile; `hypothesis` runs it longer by hand.
"""

import asyncio
import logging
import pathlib
import tempfile
import unittest
from unittest import mock

from adapter.documents import MalformedError, read_configuration, read_endpoint
from adapter.headers import PlatformHeaderCodec
from adapter.ranks import HttpRank, read_group_spec, read_report
from adapter.settings import BOOT_VARIABLE, SettingsError, load_settings
from hypothesis import given
from hypothesis import strategies as st

from gateway_world import VALUES, documents, drawn_configurations
from slatehoist.gateway import process
from slatehoist.maps import RankUnreachableError
from slatehoist.observe import GatewayMetrics


def setUpModule():
    logging.getLogger("slatehoist").setLevel(logging.CRITICAL)
    logging.getLogger("adapter").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("slatehoist").setLevel(logging.NOTSET)
    logging.getLogger("adapter").setLevel(logging.NOTSET)


class ParserTests(unittest.TestCase):
    def check(self, parse, *args) -> None:
        try:
            parse(*args)
        except (MalformedError, SettingsError):
            pass

    @given(drawn_configurations())
    def test_configuration_of_any_shape_raises_only_its_own_error(self, doc):
        self.check(read_configuration, doc)

    @given(
        documents("service", "addr", "zone", "slots", "state", "born", "version")
        | VALUES
    )
    def test_server_row_of_any_shape_raises_only_its_own_error(self, doc):
        if isinstance(doc, dict):
            self.check(read_endpoint, "i", doc)

    @given(documents("sets", "experts", "places", "spare", "expertMb", "linkMbps"))
    def test_engine_of_any_shape_raises_only_its_own_error(self, doc):
        self.check(read_group_spec, doc)

    @given(
        documents("group", "size", "step", "map", "armed", "running", "waiting", "pace")
    )
    def test_report_of_any_shape_raises_only_named_errors(self, doc):
        try:
            read_report(doc)
        except (AttributeError, KeyError, TypeError, ValueError, OverflowError):
            pass

    @given(documents("group", "size", "step", "map", "counts", "epoch", "armed"))
    def test_answer_of_a_rank_of_any_shape_is_an_unreachable_rank(self, doc):
        rank = HttpRank("10.0.0.1:80", None)

        async def query():
            with mock.patch.object(rank, "_get_json", return_value=doc):
                for call in (rank.report, rank.counts, rank.experts):
                    try:
                        await call()
                    except RankUnreachableError:
                        pass

        asyncio.run(query())

    @given(st.text(max_size=12), st.text(max_size=12), st.integers(100, 599))
    def test_headers_of_any_value_are_decoded(self, number, load, status):
        codec = PlatformHeaderCodec()
        headers = {
            "Token-Count": f"{number},{load}",
            "Prompt-Prefix": f"{load}:{number},{number},{load}",
            "Deadline-Ms": number,
            "Server-Load": load,
            "Server-Limit": number,
            "Retry-After": number,
            "Cold-Ms": number,
        }
        codec.read_request(headers)
        codec.read_reply(status, headers)

    # Guards against an answer 500 for a caller's number, and a request that is lost for
    # a server's.
    def test_numbers_that_are_not_finite_are_ignored(self):
        codec = PlatformHeaderCodec()
        for text in ("nan", "inf", "-inf", "1e999"):
            with self.subTest(text=text):
                info = codec.read_request(
                    {"Token-Count": f"{text},1", "Deadline-Ms": text}
                )
                self.assertEqual((info.prompt_tokens, info.answer_tokens), (0, 1))
                self.assertIsNone(info.deadline_s)
                reply = codec.read_reply(200, {"Server-Load": f"{text},{text},3"})
                self.assertIsNone(reply.running)

    def test_settings_file_that_is_not_utf8_is_refused(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "local.conf"
            path.write_bytes(b"node=\xff\n")
            with (
                mock.patch.dict("os.environ", {BOOT_VARIABLE: str(path)}),
                self.assertRaisesRegex(SettingsError, "position 5"),
            ):
                load_settings()


class SupervisionTests(unittest.IsolatedAsyncioTestCase):
    # Guards against an instance that serves with old news for good, since a background
    # task ended after an unexpected error.
    async def test_task_that_fails_is_started_again(self):
        calls, done = [], asyncio.Event()

        async def run():
            calls.append(len(calls))
            if len(calls) < 3:
                raise AttributeError("unexpected")
            done.set()
            await asyncio.Event().wait()

        metrics = GatewayMetrics()
        with mock.patch.object(process, "TASK_RESTART_S", 0.01):
            task = asyncio.create_task(process.supervise("sync", run, metrics))
            async with asyncio.timeout(2.0):
                await done.wait()
            task.cancel()
        failures = metrics.task_failures.labels("sync")
        self.assertEqual(failures._value.get(), 2)


if __name__ == "__main__":
    unittest.main()

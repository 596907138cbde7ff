"""Tests of the adapter: settings, documents, reports, headers and the store client."""

import asyncio
import os
import pathlib
import tempfile
import unittest
from unittest import mock

import aiohttp
from adapter.documents import (
    MalformedError,
    PlatformSource,
    read_configuration,
    read_endpoint,
)
from adapter.headers import PlatformHeaderCodec
from adapter.ranks import read_group_spec, read_report
from adapter.settings import (
    BOOT_VARIABLE,
    CAUSE_CHANGE,
    CAUSE_SIGNAL,
    SettingsError,
    SettingsWatch,
    gateway_settings,
    parse_settings,
)
from adapter.store import PlatformTable

from gateway_world import make_configuration, make_route
from scripted_session import ScriptedSession
from slatehoist.gateway import Forwarding
from slatehoist.storage import (
    Check,
    ConflictError,
    HistoryLostError,
    OutcomeUnknownError,
    StoreDownError,
    Write,
)
from slatehoist_standins.deployment_server import DeploymentServer
from slatehoist_standins.deployment_store import DeploymentStore

SETTINGS = """\
node=front-1
zone=a
ip=10.0.0.1
listen.front=10.0.0.1:80
listen.ready=10.0.0.1:81
internalPorts=7000,7010
bounds.revokeMs=4000
provider.addr=10.9.0.1:99
something.new=1
"""


class SettingsTests(unittest.TestCase):
    def test_known_keys_are_read_and_others_ignored(self):
        settings = parse_settings(SETTINGS)
        self.assertEqual(settings.internal_ports[0], 7000)
        cfg = gateway_settings(settings, 9000)
        self.assertEqual(cfg.revoke_s, 4.0)
        self.assertEqual(cfg.metrics_listen, ("10.0.0.1", 9000))

    def test_error_lists_all_invalid_settings(self):
        text = SETTINGS.replace("node=front-1\n", "").replace("4000", "soon")
        with self.assertRaises(SettingsError) as caught:
            parse_settings(text)
        self.assertIn("node: missing", str(caught.exception))
        self.assertIn("bounds.revokeMs: 'soon' is not a number", str(caught.exception))


class SettingsWatchTests(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = pathlib.Path(self.folder.name) / "local.conf"
        self.path.write_text(SETTINGS)
        patch = mock.patch.dict(os.environ, {BOOT_VARIABLE: str(self.path)})
        patch.start()
        self.addCleanup(patch.stop)
        self.watch = SettingsWatch(parse_settings(SETTINGS))

    def test_changed_file_is_reloaded_without_a_signal(self):
        self.assertIsNone(self.watch.reload(CAUSE_CHANGE))
        self.path.write_text(SETTINGS.replace("10.9.0.1", "10.9.0.2"))
        with self.assertLogs("adapter.settings") as logs:
            reloaded = self.watch.reload(CAUSE_CHANGE)
        self.assertEqual(reloaded.store_address, "10.9.0.2:99")
        self.assertEqual(logs.records[0].changed, ["store_address"])

    def test_invalid_settings_are_not_applied(self):
        self.path.write_text("node=front-1")
        with self.assertLogs("adapter.settings", "WARNING"):
            self.assertIsNone(self.watch.reload(CAUSE_SIGNAL))


def make_restricted(version: int, regions) -> dict:
    """Build a configuration whose route and tenant have this list of regions."""
    route = make_route("s", "/s/", "safe", "app", allowedRegions=regions)
    tenant = {"name": "t", "apiKeys": ["k"], "allowedRegions": regions}
    return make_configuration(version, routes=[route], tenants=[tenant])


class DocumentTests(unittest.TestCase):
    def test_configuration_is_decoded_with_times_in_seconds(self):
        split = [{"service": "app", "weight": 9}, {"service": "other", "weight": 1}]
        route = make_route("s", "/s/", "stream", "app", split=split)
        cfg = read_configuration(make_configuration(3, routes=[route]))
        self.assertEqual(cfg.version, 3)
        self.assertEqual([t.weight for t in cfg.routes[0].targets], [9.0, 1.0])
        self.assertAlmostEqual(cfg.routes[0].timeout_s, 1.5)

    def test_malformed_configuration_is_refused(self):
        for doc in ({}, {"version": 1, "routes": [{}], "services": []}):
            with self.assertRaises(MalformedError):
                read_configuration(doc)

    def test_regions_of_routes_and_tenants_are_decoded(self):
        for value, regions in ((None, ()), ([], ()), (["n", "s"], ("n", "s"))):
            cfg = read_configuration(make_restricted(1, value))
            self.assertEqual(cfg.routes[0].regions, regions)
            self.assertEqual(cfg.teams[0].regions, regions)
        cfg = read_configuration(make_configuration())
        self.assertEqual((cfg.routes[0].regions, cfg.teams[0].regions), ((), ()))

    # Guards against a restriction that ends, or a configuration that is not adopted,
    # since a list of regions is invalid.
    def test_last_valid_regions_stay_in_force_for_an_invalid_list(self):
        last = read_configuration(make_restricted(1, ["n"]))
        for value in ("n", 5, True, {"n": 1}, [""], ["s", " "], ["s", 5], ["s", None]):
            with self.subTest(value=value):
                invalid = {}
                doc = make_restricted(2, value)
                cfg = read_configuration(doc, last, invalid.__setitem__)
                self.assertEqual(cfg.version, 2)
                self.assertEqual(cfg.routes[0].regions, ("n",))
                self.assertEqual(cfg.teams[0].regions, ("n",))
                self.assertEqual(sorted(invalid), ["route s", "tenant t"])

    # Guards against requests that run in any region after a restart of the gateway.
    def test_invalid_list_without_a_last_one_allows_its_valid_names_at_most(self):
        for value, regions in (("n", ("",)), ([""], ("",)), (["s", ""], ("s",))):
            with self.subTest(value=value):
                cfg = read_configuration(make_restricted(1, value))
                self.assertEqual(cfg.routes[0].regions, regions)
                again = read_configuration(make_restricted(2, value), cfg)
                self.assertEqual(again.routes[0].regions, regions)

    def test_malformed_server_rows_are_refused(self):
        good = {
            "service": "app",
            "addr": "10.0.0.1:80",
            "zone": "a",
            "slots": 6,
            "state": "ready",
            "born": 5,
        }
        self.assertEqual(read_endpoint("i", good).started_at_ms, 5)
        bad = [
            {"state": "warming"},
            {"service": None},
            {"addr": "nowhere"},
            {"slots": "6"},
            {"slots": True},
            {"zone": 1},
        ]
        for fields in bad:
            with self.subTest(fields=fields), self.assertRaises(MalformedError):
                read_endpoint("i", {**good, **fields})

    def make_row(self, **fields) -> dict:
        row = {"service": "app", "addr": "10.0.0.1:80", "zone": "a", "slots": 6}
        return {**row, "state": "ready", **fields}

    def test_cold_times_are_decoded_and_bounded(self):
        for value, expected in ((2500, 2.5), (0, 0.0), (1e9, 3600.0), (10**400, 3600)):
            with self.subTest(value=value):
                endpoint = read_endpoint("i", self.make_row(coldLeftMs=value))
                self.assertEqual(endpoint.cold_s, expected)
        self.assertEqual(read_endpoint("i", self.make_row()).cold_s, 0.0)
        services = [{"name": "app", "coldS": 3.0, "coldPerS": 26}, {"name": "other"}]
        cfg = read_configuration(make_configuration(3, services=services))
        found = [(s.cold_s, s.cold_rate) for s in cfg.services]
        self.assertEqual(found, [(3.0, 26.0), (0.0, 0.0)])

    # Guards against a server that is lost, or cold for good, because of one field.
    def test_unusable_cold_time_of_a_server_is_ignored(self):
        for value in (
            -1,
            "2500",
            True,
            None,
            float("nan"),
            float("inf"),
            [1],
            -(10**9),
        ):
            with self.subTest(value=value):
                endpoint = read_endpoint("i", self.make_row(coldLeftMs=value))
                self.assertEqual(endpoint.cold_s, 0.0)

    def test_unusable_cold_rate_of_a_service_is_refused(self):
        for key in ("coldS", "coldPerS"):
            for value in (-1, "3", float("nan"), float("inf"), [1]):
                doc = make_configuration(3, services=[{"name": "app", key: value}])
                with (
                    self.subTest(key=key, value=value),
                    self.assertRaises(MalformedError),
                ):
                    read_configuration(doc)

    def test_report_and_group_are_decoded(self):
        doc = {
            "group": {"name": "g", "epoch": 2, "rank": 1, "state": "open"},
            "size": 12,
            "step": 7,
            "map": 3,
            "prepared": 4,
            "armed": {"version": 4, "step": 9},
            "held": 9,
            "running": 2,
            "waiting": 1,
            "pace": 1.5,
        }
        report = read_report(doc)
        self.assertEqual(report.armed, (4, 9))
        self.assertEqual((report.held, report.pace, report.is_open), (9, 1.5, True))
        engine = {
            "sets": 3,
            "experts": 96,
            "places": 11,
            "spare": 4,
            "expertMb": 2200.0,
            "linkMbps": 44000.0,
        }
        self.assertAlmostEqual(read_group_spec(engine).copy_s, 0.4)
        self.assertEqual(read_group_spec(engine).slots, 0)
        self.assertEqual(read_group_spec({**engine, "slots": 5}).slots, 5)
        for slots in ("5", True, -1, None):
            self.assertEqual(read_group_spec({**engine, "slots": slots}).slots, 0)
        with self.assertRaises(MalformedError):
            read_group_spec({"sets": 3})

    # Guards against a value that makes a whole configuration unusable although only
    # one optional rule depends on it.
    def test_age_of_reports_is_optional(self):
        engine = {
            "slots": 5,
            "step_ms": 5.85,
            "per_seq_ms": 0.852,
            "context_per_k": 0.01,
            "read_per_s": 61200,
            "chunk": 512,
            "stride": 6,
        }
        cases = (200, 200.0), ("200", None), (True, None), (-1, None), (None, None)
        for value, expected in cases:
            with self.subTest(value=value):
                service = {"name": "app", "engine": {**engine, "report_lag_ms": value}}
                cfg = read_configuration(make_configuration(3, services=[service]))
                self.assertEqual(cfg.services[0].engine.report_lag_ms, expected)
        cfg = read_configuration(
            make_configuration(3, services=[{"name": "app", "engine": engine}])
        )
        self.assertIsNone(cfg.services[0].engine.report_lag_ms)


class HeaderTests(unittest.TestCase):
    def test_caller_cannot_set_headers_of_the_gateway(self):
        headers = {
            "Tenant": "x",
            "Expect-Instance": "y",
            "Deadline-Ms": "999999",
            "Credential": "secret",
            "Prompt-Prefix": "a:1",
        }
        sent = PlatformHeaderCodec().request_headers(
            headers, Forwarding("i-1", 0.5, "", "")
        )
        self.assertEqual(sent["Expect-Instance"], "i-1")
        self.assertEqual(sent["Deadline-Ms"], "500")
        self.assertNotIn("Tenant", sent)
        self.assertNotIn("Credential", sent)
        self.assertEqual(sent["Prompt-Prefix"], "a:1")

    def test_server_that_leaves_or_turns_requests_away_is_decoded(self):
        codec = PlatformHeaderCodec()
        cases = (
            (200, {"Server-Leaving": "1"}, True, None),
            (503, {"Server-Leaving": "0", "Retry-After": "2.5"}, False, 2.5),
            (503, {"Retry-After": "0"}, False, 0.0),
            (200, {"Retry-After": "2.5"}, False, None),
        )
        for status, headers, leaving, retry_after_s in cases:
            with self.subTest(status=status, headers=headers):
                info = codec.read_reply(status, headers)
                self.assertEqual(
                    (info.leaving, info.retry_after_s), (leaving, retry_after_s)
                )

    def test_unusable_retry_after_of_a_server_is_ignored_and_logged(self):
        for text in ("soon", "-1", "nan", "inf", "", "1" * 400):
            with (
                self.subTest(text=text),
                self.assertLogs("adapter.headers", "WARNING") as logs,
            ):
                info = PlatformHeaderCodec().read_reply(503, {"Retry-After": text})
                self.assertIsNone(info.retry_after_s)
            self.assertLess(len(logs.records[0].value), 50)

    def test_rate_limit_of_a_server_is_decoded(self):
        codec = PlatformHeaderCodec()
        for text, expected in (("12.5", 12.5), ("0", 0.0)):
            info = codec.read_reply(200, {"Server-Limit": text})
            self.assertEqual(
                (info.rate_limit, info.states_rate_limit), (expected, True)
            )
        self.assertFalse(codec.read_reply(200, {}).states_rate_limit)
        for text in ("many", "-3", "nan", "inf"):
            with self.assertLogs("adapter.headers", "WARNING"):
                info = codec.read_reply(200, {"Server-Limit": text})
            self.assertEqual((info.rate_limit, info.states_rate_limit), (None, True))

    def test_cold_time_of_a_server_is_decoded_and_bounded(self):
        codec = PlatformHeaderCodec()
        for text, expected in (("2500", 2.5), ("0", 0.0), ("1e9", 3600.0)):
            with self.subTest(text=text):
                info = codec.read_reply(200, {"Cold-Ms": text})
                self.assertEqual(info.cold_s, expected)
        self.assertIsNone(codec.read_reply(200, {}).cold_s)

    # Guards against a log that one server fills, which states it in each response.
    def test_unusable_cold_time_in_responses_is_ignored_and_logged_once(self):
        codec = PlatformHeaderCodec()
        for text in ("soon", "-1", "nan", "inf", "", "1" * 400):
            with (
                self.subTest(text=text),
                self.assertLogs("adapter.headers", "WARNING") as logs,
            ):
                for _ in range(3):
                    self.assertIsNone(codec.read_reply(200, {"Cold-Ms": text}).cold_s)
            self.assertEqual(len(logs.records), 1)
            self.assertLess(len(logs.records[0].value), 50)

    # Guards against requests to a server that asked for more rest than we keep.
    def test_time_of_rest_beyond_the_bound_is_taken_as_the_bound(self):
        codec = PlatformHeaderCodec()
        for text, expected in (("3600", 3600.0), ("7200", 3600.0), ("1e9", 3600.0)):
            with self.subTest(text=text):
                info = codec.read_reply(503, {"Retry-After": text})
                self.assertEqual(info.retry_after_s, expected)

    def test_shared_parts_of_a_prompt_are_all_but_the_last(self):
        for text, expected in (
            ("", ()),
            ("5c1e:800", ()),
            ("5C1E:800,91bd:410,e440:250", ("5c1e", "91bd")),
            ("5c1e:800, 5c1e:800 ,,e440:250", ("5c1e",)),
            ("5c1e,91bd:x:y,", ("5c1e", "91bd")),
        ):
            with self.subTest(text=text):
                info = PlatformHeaderCodec().read_request({"Prompt-Prefix": text})
                self.assertEqual(info.prompt_parts, expected)

    def test_number_and_length_of_the_parts_that_are_read_are_bounded(self):
        text = ",".join("f" * 500 + str(number) for number in range(500))
        parts = PlatformHeaderCodec().read_request({"Prompt-Prefix": text}).prompt_parts
        self.assertEqual(parts, ("f" * 64,))
        text = ",".join(str(number) for number in range(500))
        parts = PlatformHeaderCodec().read_request({"Prompt-Prefix": text}).prompt_parts
        self.assertEqual(len(parts), 64)

    def test_malformed_numbers_are_ignored(self):
        info = PlatformHeaderCodec().read_request(
            {"Deadline-Ms": "soon", "Token-Count": "x,y"}
        )
        self.assertIsNone(info.deadline_s)
        self.assertEqual(info.prompt_tokens, 0)


class CutAnswerTests(unittest.IsolatedAsyncioTestCase):
    # Guards against a decoding error that ends the task which wrote to the store.
    async def test_conflict_whose_answer_is_cut_names_all_checked_rows(self):
        for body in (b'{"rows": [{"table": "own", "ke', b"[]", b'{"rows": 3}'):
            with self.subTest(body=body):
                table = PlatformTable("10.0.0.1:80", ScriptedSession(412, body))
                with self.assertRaises(ConflictError) as caught:
                    await table.transact([Check("own", "a", 1)], [])
                self.assertEqual(caught.exception.keys, [("own", "a")])


class LateAnswerTests(unittest.IsolatedAsyncioTestCase):
    # Guards against rows that are taken for those of another table: a second copy of an
    # earlier answer may arrive where the next one is expected.
    async def test_late_answer_for_another_table_is_refused(self):
        row = b'{"table":"servers","key":"i","ver":3,"value":"e30="}'
        body = b'{"rows":[' + row + b'],"ver":3}'
        table = PlatformTable("10.0.0.1:80", ScriptedSession(200, body))
        rows, _ = await table.snapshot("servers")
        self.assertEqual([row.key for row in rows], ["i"])
        with self.assertRaises(StoreDownError):
            await table.snapshot("gateways")
        with self.assertRaises(StoreDownError):
            await table.changes("op", 2, 0.0)


class StoreTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = DeploymentStore()
        address = await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        session = aiohttp.ClientSession()
        self.addAsyncCleanup(session.close)
        self.table = PlatformTable(address, session)

    async def test_write_with_a_failed_check_raises_a_conflict(self):
        write = [Write("own", "k", {"n": 1})]
        await self.table.transact([Check("own", "k", 0)], write)
        row = await self.table.get("own", "k")
        self.assertEqual(row.value, {"n": 1})
        with self.assertRaises(ConflictError) as caught:
            await self.table.transact([Check("own", "k", 0)], write)
        self.assertEqual(caught.exception.keys, [("own", "k")])
        remove = [Write("own", "k", None)]
        await self.table.transact([Check("own", "k", row.version)], remove)
        self.assertIsNone(await self.table.get("own", "k"))

    async def test_scan_filters_by_prefix_in_key_order(self):
        for key in ("b/2", "a/1", "b/1", "c"):
            self.store.put("own", key, {})
        rows = await self.table.scan("own", "b/")
        self.assertEqual([row.key for row in rows], ["b/1", "b/2"])
        rows = await self.table.scan("own", "b/", after="b/1")
        self.assertEqual([row.key for row in rows], ["b/2"])

    async def test_outage_and_lost_response_raise_different_errors(self):
        self.store.fault = "down"
        with self.assertRaises(StoreDownError):
            await self.table.get("own", "k")
        self.store.fault = "lost"
        with self.assertRaises(OutcomeUnknownError):
            await self.table.transact([], [Write("own", "k", {})])
        self.store.fault = ""
        self.assertIsNotNone(await self.table.get("own", "k"))

    async def test_feed_returns_changes_and_reports_lost_history(self):
        _, version = await self.table.snapshot("own")
        self.store.put("own", "k", {"n": 2})
        feed = await self.table.changes("own", version, 5.0)
        self.assertEqual([row.key for row in feed.rows], ["k"])
        empty = await self.table.changes("own", feed.version, 0.01)
        self.assertEqual(empty.rows, [])
        self.store.compact()
        with self.assertRaises(HistoryLostError):
            await self.table.changes("own", feed.version, 0.01)

    async def test_feed_reports_removed_rows_but_not_those_written_again(self):
        for key in ("a", "b", "c"):
            self.store.put("own", key, {})
        _, version = await self.table.snapshot("own")
        self.store.remove("own", "a")
        self.store.remove("own", "b")
        self.store.put("own", "b", {"n": 2})
        self.store.remove("own", "never")
        feed = await self.table.changes("own", version, 0.01)
        self.assertEqual([row.key for row in feed.rows], ["b"])
        self.assertEqual(sorted(feed.removed), ["a", "never"])
        empty = await self.table.changes("own", feed.version, 0.01)
        self.assertEqual((empty.rows, empty.removed), ([], ()))

    # Guards against the state of a row that is taken from an older change, where a feed
    # lists each change of a row.
    async def test_newest_change_of_a_row_counts_in_any_order(self):
        removed = b'{"key":"k","ver":%d,"removed":true}'
        written = b'{"key":"k","ver":%d,"value":"e30="}'
        cases = [
            ((removed % 7, written % 9), ()),
            ((written % 9, removed % 7), ()),
            ((written % 7, removed % 9), ("k",)),
            ((removed % 9, written % 7), ("k",)),
        ]
        for changes, expected in cases:
            with self.subTest(changes=changes):
                body = b'{"rows":[' + b",".join(changes) + b'],"ver":9}'
                table = PlatformTable("10.0.0.1:80", ScriptedSession(200, body))
                feed = await table.changes("own", 5, 0.0)
                self.assertEqual(feed.removed, expected)

    # Guards against changes that are missed, since the store that came back from a copy
    # gives out again the versions up to which a feed was read.
    async def test_feed_from_an_older_era_reports_lost_history(self):
        copy = self.store.copy()
        self.store.put("own", "a", {})
        self.store.put("own", "b", {})
        _, version = await self.table.snapshot("own")
        self.store.restore(copy)
        for key in ("c", "d", "e"):
            self.store.put("own", key, {})
        with self.assertRaises(HistoryLostError):
            await self.table.changes("own", version, 0.01)
        rows, version = await self.table.snapshot("own")
        self.assertEqual([row.key for row in rows], ["c", "d", "e"])
        self.store.put("own", "f", {})
        feed = await self.table.changes("own", version, 0.01)
        self.assertEqual([row.key for row in feed.rows], ["f"])

    async def test_feed_that_waits_while_the_era_changes_reports_lost_history(self):
        copy = self.store.copy()
        self.store.put("own", "a", {})
        _, version = await self.table.snapshot("own")
        task = asyncio.create_task(self.table.changes("own", version, 2.0))
        await asyncio.sleep(0.05)
        self.store.restore(copy)
        with self.assertRaises(HistoryLostError):
            await task

    # Guards against a write whose check holds although the row is another one: in a new
    # era, versions are given out again.
    async def test_check_with_a_version_of_an_older_era_fails(self):
        copy = self.store.copy()
        self.store.put("own", "k", {"n": 1})
        row = await self.table.get("own", "k")
        self.store.restore(copy)
        self.store.put("own", "k", {"n": 2})
        # Another call shows the new era before the write, or the write itself does.
        write = [Write("own", "k", {"n": 3})]
        await self.table.get("own", "other")
        with self.assertRaises(ConflictError):
            await self.table.transact([Check("own", "k", row.version)], write)
        self.assertEqual((await self.table.get("own", "k")).value, {"n": 2})

    async def test_write_in_which_the_era_changes_has_an_unknown_outcome(self):
        self.store.put("own", "k", {"n": 1})
        row = await self.table.get("own", "k")
        self.store.restore(self.store.copy())
        with self.assertRaises(OutcomeUnknownError):
            await self.table.transact([Check("own", "k", row.version)], [])

    async def test_era_that_is_missing_or_falls_counts_as_changed(self):
        self.store.put("own", "k", {})
        for era in (5, 4, "", "x"):
            _, version = await self.table.snapshot("own")
            self.store.era = era
            with self.subTest(era=era), self.assertRaises(HistoryLostError):
                await self.table.changes("own", version, 0.01)

    # Guards against a server that is lost, or a log that fills, because of one field.
    async def test_unusable_cold_time_of_a_listed_server_is_logged_once(self):
        server = DeploymentServer("i-0")
        server.address = "127.0.0.1:80"
        self.store.put("servers", "i-0", {**server.row("app"), "coldLeftMs": -1})
        source = PlatformSource(self.table)
        with self.assertLogs("adapter.documents", "WARNING") as logs:
            for _ in range(3):
                (endpoint,) = await source.endpoints()
        self.assertEqual(endpoint.cold_s, 0.0)
        self.assertEqual(len(logs.records), 1)

    # Guards against one row of another writer that ends the task which reads the list.
    async def test_deeply_nested_row_is_skipped(self):
        self.store.put_bytes("own", "bad", b"[" * 20_000 + b"]" * 20_000)
        self.store.put("own", "good", {"a": 1})
        with self.assertLogs("adapter.store", "WARNING"):
            rows, _ = await self.table.snapshot("own")
        self.assertEqual([row.key for row in rows], ["good"])

    async def test_unreadable_rows_are_skipped_and_logged_once(self):
        self.store.put("own", "good", {})
        self.store.put_bytes("own", "bad", b"\xff\xfe")
        self.store.put("own", "list", [1])
        with self.assertLogs("adapter.store", "WARNING") as logs:
            rows = await self.table.scan("own")
            await self.table.scan("own")
        self.assertEqual([row.key for row in rows], ["good"])
        self.assertEqual(len(logs.records), 2)


class OperatorTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = DeploymentStore()
        address = await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        session = aiohttp.ClientSession()
        self.addAsyncCleanup(session.close)
        self.source = PlatformSource(PlatformTable(address, session))

    # Guards against calls to the store that are added, since each one is billed.
    async def test_one_call_returns_the_configuration_and_the_evacuated_zones(self):
        self.store.put("op", "config", make_configuration(4))
        for key in ("a", "evacuate", "evacuate/x", "evacuate/y/z", "evacuater", "z"):
            self.store.put("op", key, {})
        update = await self.source.configuration()
        self.assertEqual(self.store.calls, ["get"])
        self.assertEqual(update.cfg.version, 4)
        self.assertEqual(update.evacuated, {"x", "y/z"})
        self.store.remove("op", "evacuate/x")
        self.store.put("op", "evacuate/w", {})
        self.store.put("op", "config", make_configuration(5))
        update = await self.source.next_configuration(update.version, 0.1)
        self.assertEqual(self.store.calls, ["get", "feed"])
        self.assertEqual(update.cfg.version, 5)
        self.assertEqual((update.evacuated, update.restored), ({"w"}, {"x"}))

    # Guards against a zone that is restored, since its row was overwritten with a value
    # that cannot be read.
    async def test_row_evacuates_its_zone_whatever_its_value(self):
        self.store.put("op", "evacuate/a", {})
        update = await self.source.configuration()
        self.store.put("op", "evacuate/b", [1])
        self.store.put_bytes("op", "evacuate/c", b"\xff")
        self.store.put("op", "evacuate/d", {"until": 5})
        with self.assertLogs("adapter.store", "WARNING") as logs:
            update = await self.source.next_configuration(update.version, 0.1)
            self.assertEqual(update.evacuated, {"b", "c", "d"})
            update = await self.source.configuration()
        self.assertEqual(update.evacuated, {"a", "b", "c", "d"})
        self.assertEqual([r.key for r in logs.records], ["evacuate/b", "evacuate/c"])
        self.store.remove("op", "evacuate/c")
        update = await self.source.next_configuration(update.version, 0.1)
        self.assertEqual(update.restored, {"c"})

    async def test_row_without_a_zone_is_ignored_and_logged_once(self):
        self.store.put("op", "evacuate/", {})
        with self.assertLogs("adapter.documents", "WARNING") as logs:
            for _ in range(2):
                update = await self.source.configuration()
                self.assertEqual(update.evacuated, set())
        self.assertEqual([r.key for r in logs.records], ["evacuate/"])

    async def test_invalid_list_of_regions_is_logged_once_and_the_last_one_stays(self):
        self.store.put("op", "config", make_restricted(1, ["n"]))
        await self.source.configuration()
        with self.assertLogs("adapter.documents", "WARNING") as logs:
            for version in (2, 3):
                self.store.put("op", "config", make_restricted(version, "s"))
                update = await self.source.configuration()
                self.assertEqual(update.cfg.routes[0].regions, ("n",))
            self.store.put("op", "config", make_restricted(4, ["s"]))
            await self.source.configuration()
            self.store.put("op", "config", make_restricted(5, "s"))
            update = await self.source.configuration()
        self.assertEqual(update.cfg.routes[0].regions, ("s",))
        entries = [record.entry for record in logs.records]
        self.assertEqual(entries, ["route s", "tenant t"] * 2)


if __name__ == "__main__":
    unittest.main()

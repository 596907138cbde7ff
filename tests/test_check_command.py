"""Tests of ``slatehoist check`` with the adapter and a stand-in of the store."""

import asyncio
import contextlib
import copy
import io
import json
import logging
import pathlib
import re
import tempfile
import threading
import time
import unittest

import cappa
import msgspec
from adapter.checking import WIRE_NAMES, CheckedDocument, PlatformDocuments
from adapter.documents import MAX_NAMED_ERRORS, MalformedError, read_configuration
from hypothesis import given
from hypothesis import strategies as st

from gateway_world import (
    VALUES,
    decodable_configurations,
    drawn_configurations,
    make_configuration,
    make_route,
)
from slatehoist.cli.check import DEFAULT_PLATFORM, check_document
from slatehoist.cli.main import EXIT_UNREACHABLE, Operator
from slatehoist.gateway import (
    CallerLimits,
    Configuration,
    Deployment,
    EngineSpec,
    Route,
    RouteTable,
    Service,
    Team,
    compare_configurations,
)
from slatehoist_standins.deployment_server import DeploymentServer
from slatehoist_standins.deployment_store import DeploymentStore

#: Seconds within which a document of `ENTRIES` entries is checked and compared.
CHECK_S = 2.0
ENTRIES = 8000
ROOT = pathlib.Path(__file__).resolve().parent.parent
DOCUMENTS = PlatformDocuments()
DEPLOYMENT = Deployment(frozenset({"eu"}), {"a": 1}, 9.0)


def setUpModule():
    logging.getLogger("adapter").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("adapter").setLevel(logging.NOTSET)


def make_large_configuration(version: int, changed: str) -> dict:
    """Build a document of `ENTRIES` routes, services and teams of one host."""
    routes = [
        make_route(f"r{n}", f"/{n}{changed}/", "safe", f"s{n % 1000}")
        for n in range(ENTRIES // 2)
    ]
    services = [{"name": f"s{n}"} for n in range(ENTRIES // 8)]
    teams = [
        {"name": f"t{n}", "apiKeys": [f"key-{n}{changed}", f"other-{n}"]}
        for n in range(ENTRIES - len(routes) - len(services))
    ]
    return make_configuration(version, routes=routes, services=services, tenants=teams)


class DecoderTests(unittest.TestCase):
    def errors_of(self, doc) -> dict[str, str]:
        with self.assertRaises(MalformedError) as caught:
            read_configuration(doc)
        return dict(caught.exception.errors)

    # Guards against a report of the first error only, or without its place.
    def test_all_errors_are_reported_with_their_places(self):
        doc = make_configuration()
        doc["routes"][3]["timeoutMs"] = "soon"
        doc["routes"][1]["kind"] = "quick"
        doc["routes"][2]["split"] = [{"service": "app"}, 7]
        doc["routes"].append({})
        doc["services"][1] = {"name": "llm", "engine": {"slots": 5}}
        doc["limits"]["idleTimeoutMs"] = None
        doc["tenants"] = [{"name": "a", "apiKeys": [["secret"]]}, {"name": "b"}]
        del doc["version"]
        errors = self.errors_of(doc)
        self.assertEqual(errors["routes[3].timeoutMs"], "is not a number: 'soon'")
        self.assertIn("safe, unsafe, stream", errors["routes[1].kind"])
        self.assertLessEqual(
            {
                "version",
                "routes[2].split[0].weight",
                "routes[2].split[1]",
                "routes[4].host",
                "services[1].engine.stride",
                "limits.idleTimeoutMs",
                "tenants[0].apiKeys[0]",
                "tenants[1].apiKeys",
            },
            set(errors),
        )
        self.assertNotIn("secret", repr(errors))

    # Guards against a log line of a gateway with thousands of errors.
    def test_message_names_a_bounded_number_of_errors(self):
        doc = make_configuration(routes=[{}] * 1000)
        with self.assertRaises(MalformedError) as caught:
            read_configuration(doc)
        self.assertEqual(len(caught.exception.errors), 6 * 1000)
        self.assertIn(f"and {6000 - MAX_NAMED_ERRORS} more", str(caught.exception))
        self.assertLess(len(str(caught.exception)), 500)

    # Guards against a task of the gateway that ends with OverflowError.
    def test_number_that_is_too_large_is_an_error(self):
        for fields in ({"timeoutMs": 10**400}, {"goalMs": 10**400}):
            route = make_route("a", "/a/", "safe", "app", **fields)
            errors = self.errors_of(make_configuration(routes=[route]))
            self.assertEqual(list(errors), [f"routes[0].{next(iter(fields))}"])

    # Guards against a gateway that rejects what it adopted before.
    def test_values_of_a_wrong_type_that_were_adopted_still_are(self):
        route = make_route("a", "/a/", "safe", "app", priority="high", maxAttempts=[])
        doc = make_configuration(
            "7", routes=[{**route, "name": 5, "prefix": []}], tenants={}, limits=0
        )
        cfg = read_configuration(doc)
        self.assertEqual((cfg.version, cfg.teams), (7, ()))
        self.assertEqual(cfg.limits, CallerLimits())
        RouteTable(cfg)

    # Guards against a configuration that is decoded and then cannot be put in force.
    @given(decodable_configurations() | drawn_configurations())
    def test_decoded_configuration_can_be_indexed(self, doc):
        with contextlib.suppress(MalformedError):
            RouteTable(read_configuration(doc))

    def test_regions_and_limits_of_cold_servers_are_decoded(self):
        route = make_route("a", "/a/", "safe", "app", allowedRegions=["eu"])
        cfg = read_configuration(
            make_configuration(
                routes=[route],
                services=[{"name": "app", "coldS": 3, "coldPerS": 26}],
                tenants=[{"name": "t", "apiKeys": [], "allowedRegions": ["us"]}],
            )
        )
        self.assertEqual(
            (cfg.routes[0].regions, cfg.teams[0].regions), (("eu",), ("us",))
        )
        self.assertEqual((cfg.services[0].cold_s, cfg.services[0].cold_rate), (3, 26))

    # Guards against an operator who learns of an unusable list only from the log of a
    # gateway, which adopts the document.
    def test_invalid_lists_of_regions_are_errors_of_an_adopted_document(self):
        for regions in ("eu", [""], [" "], [1], {"eu": 1}, 0, False):
            doc = make_configuration(
                routes=[make_route("a", "/a/", "safe", "app", allowedRegions=regions)],
                tenants=[{"name": "t", "apiKeys": ["k"], "allowedRegions": regions}],
            )
            with self.subTest(regions=regions):
                cfg = read_configuration(doc)
                self.assertEqual(
                    (cfg.routes[0].regions, cfg.teams[0].regions), (("",), ("",))
                )
                report = check_document(DOCUMENTS, msgspec.json.encode(doc), "f")
                found = [(line.check, line.place) for line in report.lines]
                self.assertIn(("field", "routes[0].allowedRegions"), found)
                self.assertIn(("field", "tenants[0].allowedRegions"), found)
                self.assertEqual(report.exit_code, 2)
        doc["limits"] = {"idleTimeoutMs": None}
        places = [error.place for error in CheckedDocument(doc).errors]
        self.assertEqual(
            places,
            [
                "limits.idleTimeoutMs",
                "routes[0].allowedRegions",
                "tenants[0].allowedRegions",
            ],
        )

    def test_unusable_limits_of_cold_servers_are_errors_with_their_places(self):
        values = (-1, "3", True, [1], {}, float("nan"), float("inf"))
        for value in values:
            service = {"name": "app", "coldS": value, "coldPerS": value}
            with self.subTest(value=value):
                errors = self.errors_of(make_configuration(services=[service]))
                self.assertEqual(
                    list(errors), ["services[0].coldS", "services[0].coldPerS"]
                )
                self.assertIn("is not a number from 0 on", errors["services[0].coldS"])
        for value, decoded in ((None, 0.0), (1 << 70, 1e6), (2, 2.0)):
            service = {"name": "app", "coldS": value, "coldPerS": value}
            cfg = read_configuration(make_configuration(services=[service]))
            self.assertEqual(
                (cfg.services[0].cold_s, cfg.services[0].cold_rate), (decoded,) * 2
            )

    # Guards against a task of the gateway that ends since priorities cannot be ranked,
    # and against a document that is refused although they can.
    def test_priorities_that_cannot_be_ranked_are_errors(self):
        for routes, teams, places in (
            ([1, "high"], [], ["routes[1].priority"]),
            ([None, 1, 2], [], ["routes[0].priority"]),
            ([[]], [], ["routes[0].priority"]),
            ([1], [2, "high", None], ["tenants[1].priority"]),
            ([], [{}], ["tenants[0].priority"]),
            (["high", "low"], [None], []),
            ([None], [True, 2.5], []),
            ([], ["high", 1], []),
        ):
            doc = make_configuration(
                routes=[
                    make_route(f"r{n}", f"/{n}/", "safe", "app", priority=value)
                    for n, value in enumerate(routes)
                ],
                tenants=[
                    {"name": f"t{n}", "apiKeys": [f"k{n}"], "priority": value}
                    for n, value in enumerate(teams)
                ],
            )
            with self.subTest(routes=routes, teams=teams):
                if places:
                    self.assertEqual(list(self.errors_of(doc)), places)
                else:
                    RouteTable(read_configuration(doc))

    # Guards against a service that is lost, or a task of the gateway that ends, because
    # of the age of reports.
    def test_age_of_reports_is_none_if_it_cannot_be_used(self):
        names = "slots step_ms per_seq_ms context_per_k read_per_s chunk stride"
        engine = dict.fromkeys(names.split(), 1)
        for value, decoded in (
            (200, 200.0),
            (0, 0.0),
            (None, None),
            (-1, None),
            (True, None),
            ("200", None),
            (float("inf"), None),
        ):
            service = {"name": "app", "engine": {**engine, "report_lag_ms": value}}
            with self.subTest(value=value):
                cfg = read_configuration(make_configuration(services=[service]))
                self.assertEqual(cfg.services[0].engine.report_lag_ms, decoded)
        service = {"name": "app", "engine": {**engine, "report_lag_ms": 10**400}}
        self.assertEqual(
            list(self.errors_of(make_configuration(services=[service]))),
            ["services[0].engine.report_lag_ms"],
        )

    # Guards against a task of the gateway that ends since a name cannot be written,
    # which is used to find the last valid regions of the entry.
    def test_name_that_cannot_be_written_is_an_error(self):
        nested = []
        for _ in range(100_000):
            nested = [nested]
        for name in (10**5000, nested):
            route = make_route("a", "/a/", "safe", "app") | {"name": name}
            tenant = {"name": name, "apiKeys": []}
            doc = make_configuration(routes=[route], tenants=[tenant])
            self.assertEqual(
                list(self.errors_of(doc)), ["routes[0].name", "tenants[0].name"]
            )


class DrawnDocumentTests(unittest.TestCase):
    # Guards against an exception instead of a finding.
    @given(drawn_configurations() | decodable_configurations() | VALUES)
    def test_check_of_any_document_ends_with_a_report(self, doc):
        documents = PlatformDocuments()
        documents.decode = lambda data: CheckedDocument(doc)
        in_force = CheckedDocument(make_configuration())
        report = check_document(documents, b"", "f", DEPLOYMENT, in_force, "g")
        json.dumps(report.as_json())
        report.as_text()
        self.assertNotIn("document", [line.check for line in report.lines])

    @given(st.binary(max_size=30) | st.text(max_size=30).map(str.encode))
    def test_check_of_any_bytes_ends_with_a_report(self, data):
        self.assertEqual(check_document(DOCUMENTS, data, "f").exit_code, 2)

    def test_document_that_is_nested_too_deeply_is_an_error(self):
        for depth in (900, 960, 990, 100_000):
            with self.subTest(depth=depth):
                nested = b"[" * depth + b"]" * depth
                doc = msgspec.json.encode(make_configuration(priority=0))
                data = doc.replace(b'"safe",', nested + b",", 1)
                in_force = CheckedDocument(make_configuration())
                report = check_document(DOCUMENTS, data, "f", DEPLOYMENT, in_force, "g")
                self.assertEqual(report.exit_code, 2)

    @given(decodable_configurations(), decodable_configurations(), st.data())
    def test_diff_is_empty_exactly_if_the_configurations_are_equal(
        self, doc, other, data
    ):
        mixed = copy.deepcopy(doc)
        for key in data.draw(st.sets(st.sampled_from(sorted(other)), max_size=2)):
            mixed[key] = copy.deepcopy(other[key])
        for pair in ((doc, other), (doc, mixed), (doc, copy.deepcopy(doc))):
            try:
                old, new = (read_configuration(d) for d in pair)
            except MalformedError:
                continue
            diff = compare_configurations(old, new)
            self.assertEqual(not diff.changes, old == new)
            if old == new:
                self.assertEqual(diff.moves, ())

    def test_drawn_documents_can_usually_be_decoded(self):
        decoded = []

        @given(decodable_configurations())
        def draw(doc):
            decoded.append(not CheckedDocument(doc).errors)

        draw()
        self.assertGreater(sum(decoded), len(decoded) // 2)


class PlaceTests(unittest.TestCase):
    def test_places_have_the_names_of_the_document(self):
        names = {
            name
            for cls in (Route, Service, EngineSpec, CallerLimits, Team, Configuration)
            for name in cls._fields
        }
        self.assertLessEqual(set(WIRE_NAMES), names)
        # Names that the model has and the document uses unchanged.
        same = {
            "name",
            "host",
            "prefix",
            "kind",
            "priority",
            "public",
            "resumable",
            "version",
            "routes",
            "services",
            "limits",
            "engine",
            "step_ms",
            "chunk",
            "report_lag_ms",
        }
        self.assertEqual(names - set(WIRE_NAMES), same)

    def test_changed_fields_have_the_names_and_units_of_the_document(self):
        engine = {
            "slots": 5,
            "step_ms": 1,
            "per_seq_ms": 1,
            "context_per_k": 1,
            "read_per_s": 1,
            "chunk": 1,
            "stride": 1,
            "report_lag_ms": 200,
            "usual": {"prompt": 1, "answer": 1},
        }
        base = {
            "routes": [
                make_route("a", "/a/", "stream", "app", gapAimMs=120, priority=1)
            ],
            "services": [{"name": "app", "engine": engine, "coldS": 3, "coldPerS": 9}],
            "limits": {
                "maxHeaderBytes": 1,
                "maxBodyBytes": 1,
                "headerTimeoutMs": 1,
                "idleTimeoutMs": 1,
            },
        }
        cases = [
            ("routes[0]", name, ["routes", 0], value)
            for name, value in (
                ("timeoutMs", 2500),
                ("goalMs", 700),
                ("gapAimMs", 60),
                ("maxAttempts", 3),
                ("priority", 4),
                ("host", "other"),
                ("allowedRegions", ["eu"]),
                ("public", True),
            )
        ]
        cases += [
            ("services[0]", name, ["services", 0], 4) for name in ("coldS", "coldPerS")
        ]
        cases += [
            ("services[0]", f"engine.{name}", ["services", 0, "engine"], 4)
            for name in engine
            if name != "usual"
        ]
        cases += [
            (
                "services[0]",
                f"engine.usual.{name}",
                ["services", 0, "engine", "usual"],
                4,
            )
            for name in ("prompt", "answer")
        ]
        cases += [("limits", name, ["limits"], 4) for name in base["limits"]]
        for place, name, keys, value in cases:
            with self.subTest(name=name):
                old = make_configuration(**base)
                new = copy.deepcopy(old)
                new["version"] = 2
                entry = new
                for key in keys:
                    entry = entry[key]
                entry[name.rpartition(".")[2]] = value
                report = check_document(
                    DOCUMENTS,
                    msgspec.json.encode(new),
                    "f",
                    in_force=CheckedDocument(old),
                    against="g",
                )
                change = report.changes[1]
                self.assertEqual(change["place"], place)
                self.assertEqual(list(change["fields"]), [name])
                self.assertEqual(change["fields"][name]["after"], value)


class ReferenceTests(unittest.TestCase):
    # Guards against a check that the reference page does not explain.
    def test_reference_lists_all_checks(self):
        page = (ROOT / "docs" / "reference" / "checks.md").read_text()
        listed = set(re.findall(r"`([a-z_]+(?:\.[a-z_]+)?)`", page))
        folder = ROOT / "packages"
        source = "".join(
            (folder / path).read_text()
            for path in (
                "gateway/src/slatehoist/gateway/configuration_checks.py",
                "cli/src/slatehoist/cli/check.py",
            )
        )
        call = r'(?:_error|_warning|Finding|Line)\(\s*"([a-z_.]+)"'
        checks = set(re.findall(call, source))
        checks |= {f"{kind}.name_repeated" for kind in ("route", "service", "team")}
        self.assertGreater(len(checks), 25)
        self.assertEqual(checks - listed, set())


class CommandTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name: str, doc) -> str:
        path = self.folder / name
        path.write_bytes(doc if isinstance(doc, bytes) else msgspec.json.encode(doc))
        return str(path)

    def run_check(self, *args: str) -> tuple[int, str, str]:
        """Run the command; return its exit code and what it printed."""
        out, err = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
            self.assertRaises(SystemExit) as caught,
        ):
            cappa.invoke(Operator, argv=["check", *args])
        return caught.exception.code, out.getvalue(), err.getvalue()

    def start_store(self, doc) -> str:
        """Start a store with a document and a server; return its address."""
        store, loop = DeploymentStore(), asyncio.new_event_loop()
        thread = threading.Thread(target=loop.run_forever)
        thread.start()

        def call(coro):
            return asyncio.run_coroutine_threadsafe(coro, loop).result(10.0)

        def stop():
            call(store.stop())
            loop.call_soon_threadsafe(loop.stop)
            thread.join()
            loop.close()

        async def start() -> str:
            if doc is not None:
                store.put("op", "config", doc)
            row = DeploymentServer("i-0", ["ok"])
            await row.start()
            store.put("servers", "i-0", row.row("app"))
            await row.stop()
            return await store.start()

        self.addCleanup(stop)
        return call(start())

    def sound_configuration(self, version: int = 2) -> dict:
        doc = make_configuration(version)
        doc["services"] = doc["services"][:1]
        return doc

    def test_exit_code_is_that_of_the_worst_finding(self):
        sound = self.sound_configuration()
        self.assertEqual(self.run_check(self.write("a", sound))[0], 0)
        warned = make_configuration()
        code, out, _ = self.run_check(self.write("b", warned))
        self.assertEqual(code, 1)
        self.assertIn("services[1] (other): no route sends", out)
        self.assertIn("0 errors, 1 warnings", out)
        wrong = make_configuration(limits={"maxBodyBytes": 0, "idleTimeoutMs": "x"})
        code, out, _ = self.run_check(self.write("c", wrong))
        self.assertEqual(code, 2)
        self.assertIn("limits.idleTimeoutMs: is not a number: 'x' [field]", out)

    # Guards against findings that appear only after the first errors are corrected.
    def test_entries_without_errors_are_checked_beside_others(self):
        doc = self.sound_configuration()
        doc["routes"][0]["timeoutMs"] = None
        doc["routes"][2]["goalMs"] = 9000
        doc["tenants"].append({"name": "b", "apiKeys": []})
        code, out, _ = self.run_check(self.write("a", doc))
        self.assertEqual(code, 2)
        for place in (
            "routes[0].timeoutMs",
            "routes[2].timeoutMs",
            "tenants[1].apiKeys",
        ):
            self.assertIn(place, out)
        self.assertIn("1 errors, 2 warnings", out)

    def test_missing_section_causes_no_findings_elsewhere(self):
        for section in ("routes", "services"):
            doc = self.sound_configuration()
            del doc[section]
            report = check_document(DOCUMENTS, msgspec.json.encode(doc), "f")
            self.assertEqual([line.place for line in report.lines], [section])

    def test_differences_from_a_file_are_listed_as_json(self):
        old, new = self.sound_configuration(1), self.sound_configuration(2)
        new["routes"][0] |= {"timeoutMs": 2000, "service": "other"}
        new["services"].append({"name": "other"})
        new["tenants"][0]["apiKeys"] = ["key-2"]
        paths = self.write("new", new), self.write("old", old)
        code, out, _ = self.run_check(
            paths[0], "--against", paths[1], "--format", "json"
        )
        report = json.loads(out)
        self.assertEqual((code, report["findings"]), (0, []))
        changes = {c["place"]: c for c in report["changes"]}
        self.assertEqual(
            list(changes), ["version", "routes[0]", "services[1]", "tenants[0]"]
        )
        self.assertEqual(
            changes["routes[0]"]["fields"]["timeoutMs"], {"before": 1500, "after": 2000}
        )
        self.assertEqual(len(report["moves"]), 3)
        self.assertNotIn("key-", out)

    def test_version_that_gateways_do_not_adopt_is_an_error(self):
        old, new = self.sound_configuration(2), self.sound_configuration(2)
        new["limits"]["maxBodyBytes"] = 5
        paths = self.write("new", new), self.write("old", old)
        code, out, _ = self.run_check(paths[0], "--against", paths[1])
        self.assertEqual(code, 2)
        self.assertIn("version: 2 is not above 2", out)
        code, out, _ = self.run_check(paths[1], "--against", paths[1])
        self.assertEqual(code, 0)
        self.assertIn("0 changes", out)

    def test_document_in_force_with_errors_is_a_warning(self):
        path = self.write("new", self.sound_configuration())
        code, out, _ = self.run_check(path, "--against", self.write("old", {}))
        self.assertEqual(code, 1)
        self.assertIn("[against.malformed]", out)
        self.assertIn("are not known", out)

    def test_store_states_the_version_in_force_and_the_servers(self):
        address = self.start_store(self.sound_configuration(1))
        settings = self.folder / "local.conf"
        settings.write_text(
            f"node=n\nzone=a\nip=127.0.0.1\ninternalPorts=7000,7010\n"
            f"provider.addr={address}\nzones.a=eu\n"
        )
        doc = self.sound_configuration()
        doc["routes"][0]["allowedRegions"] = ["mars"]
        path = self.write("new", doc)
        code, out, _ = self.run_check(
            path, "--against", "store", "--settings", str(settings)
        )
        self.assertEqual(code, 2)
        self.assertIn("routes[0].allowedRegions (safe): no zone is in mars", out)
        self.assertIn("2 attempts, but service app has 1 endpoints", out)
        self.assertIn("~ version: 1 -> 2", out)
        code, out, _ = self.run_check(path, "--against", "store", "--store", address)
        self.assertEqual(code, 1)
        self.assertNotIn("mars: no", out)

    def test_empty_store_and_store_that_cannot_be_reached(self):
        path = self.write("new", self.sound_configuration())
        address = self.start_store(None)
        _, out, _ = self.run_check(path, "--against", "store", "--store", address)
        self.assertIn("+ routes[0] (safe)", out)
        self.assertIn("~ tenants: none -> listed", out)
        for other in ("127.0.0.1:1", "no address"):
            code, _, err = self.run_check(path, "--against", "store", "--store", other)
            self.assertEqual(code, EXIT_UNREACHABLE)
            self.assertIn(f"store {other}", err)

    def test_invalid_arguments_and_files_are_reported(self):
        path = self.write("new", self.sound_configuration())
        bad = self.write("bad", b"\xff")
        cases = (
            ([str(self.folder / "none")], "cannot read"),
            ([path, "--against", bad], "cannot be decoded"),
            ([path, "--against", "store"], "needs --store or --settings"),
            ([path, "--settings", bad], bad),
            ([path, "--settings", path], "node: missing"),
        )
        for args, message in cases:
            with self.subTest(args=args):
                code, out, err = self.run_check(*args)
                self.assertEqual((code, out), (2, ""))
                self.assertIn(message, err)
        code, out, _ = self.run_check(bad)
        self.assertEqual(code, 2)
        self.assertIn("is not JSON", out)

    def test_adapter_is_loaded_from_the_checkout(self):
        self.assertTrue((DEFAULT_PLATFORM / "adapter" / "checking.py").exists())

    # Guards against a check whose time grows with the square of the entries.
    def test_large_document_is_checked_and_compared_in_time(self):
        paths = [
            self.write("new", make_large_configuration(2, "x")),
            self.write("old", make_large_configuration(1, "")),
        ]
        started_at = time.monotonic()
        code, out, _ = self.run_check(paths[0], "--against", paths[1])
        took_s = time.monotonic() - started_at
        self.assertEqual(code, 0)
        self.assertIn("7001 changes", out)
        self.assertLess(took_s, CHECK_S)


if __name__ == "__main__":
    unittest.main()

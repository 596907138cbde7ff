"""Tests of the checks of a configuration, and of what gateways log of them."""

import asyncio
import time
import unittest

from gateway_builders import make_configuration, make_engine, make_route
from hypothesis import given
from hypothesis import strategies as st

from slatehoist.gateway import (
    CallerLimits,
    Catalogue,
    ChangeKind,
    Deployment,
    EndpointDirectory,
    GatewaySettings,
    Kind,
    OperatorUpdate,
    RouteTable,
    Service,
    Severity,
    Target,
    Team,
    check_configuration,
    compare_configurations,
    describe_deployment,
    format_path,
)
from slatehoist.gateway.configuration_diff import _PrefixIndex
from slatehoist.gateway.evacuations import EvacuationState
from slatehoist.gateway.settings import MAX_LOGGED_FINDINGS
from slatehoist.gateway.sync import ConfigurationSync
from slatehoist.observe import GatewayMetrics

DEPLOYMENT = Deployment(frozenset({"eu"}), {"app": 3}, 9.0)
APP = Service("app")
ERROR, WARNING = Severity.ERROR, Severity.WARNING


def find(cfg, deployment=DEPLOYMENT) -> list[tuple]:
    """Return the check, the severity and the path of each finding."""
    return [
        (found.check, found.severity, format_path(found.path))
        for found in check_configuration(cfg, deployment)
    ]


class CheckTests(unittest.TestCase):
    def test_sound_configuration_has_no_findings(self):
        stream = make_route("/s/", kind=Kind.STREAM, resumable=True, pause_s=0.12)
        service = Service("app", make_engine(), cold_s=3.0, cold_rate=26.0)
        route = make_route(regions=("eu",), timeout_s=0.4)
        cfg = make_configuration(1, routes=(route, stream), services=(service,))
        self.assertEqual(find(cfg), [])

    # Guards against routes, services and teams that are written and never used, or are
    # used for other requests than intended.
    def test_findings_of_routes(self):
        app, other = Target("app", 1.0), Target("other", 1.0)
        zero = Target("app", 0.0)
        cases = (
            ({"host": "h:80"}, "route.never_matches", ERROR, "host"),
            ({"prefix": "a/"}, "route.never_matches", ERROR, "prefix"),
            ({"prefix": "/ä"}, "route.never_matches", ERROR, "prefix"),
            ({"prefix": "/a?b"}, "route.never_matches", ERROR, "prefix"),
            ({"targets": (app, other)}, "route.unknown_service", ERROR, "targets"),
            ({"targets": (zero, zero)}, "route.no_weight", ERROR, "targets"),
            ({"targets": (zero,)}, "route.weight_zero", WARNING, "targets"),
            ({"unused_targets": (zero,)}, "route.weight_zero", WARNING, "targets"),
            (
                {"timeout_s": 0.02, "objective_s": 0.01},
                "route.timeout_too_short",
                ERROR,
                "timeout_s",
            ),
            (
                {"objective_s": 0.0},
                "route.objective_not_positive",
                ERROR,
                "objective_s",
            ),
            ({"timeout_s": 0.3}, "route.timeout_below_objective", WARNING, "timeout_s"),
            (
                {"pause_s": 0.0, "kind": Kind.STREAM},
                "route.pause_not_positive",
                WARNING,
                "pause_s",
            ),
            ({"pause_s": 0.1}, "route.not_a_stream", WARNING, "pause_s"),
            ({"resumable": True}, "route.not_a_stream", WARNING, "resumable"),
            ({"max_attempts": 0}, "route.attempts_below_one", WARNING, "max_attempts"),
            (
                {"max_attempts": 4},
                "route.more_attempts_than_endpoints",
                WARNING,
                "max_attempts",
            ),
            ({"priority": 10}, "priority_out_of_range", WARNING, "priority"),
            ({"regions": ("mars",)}, "region_without_zone", ERROR, "regions"),
            ({"regions": ("eu", "mars")}, "region_without_zone", WARNING, "regions"),
            ({"name": 5}, "type", ERROR, "name"),
            ({"prefix": ["/"], "name": "r"}, "type", ERROR, "prefix"),
            ({"timeout_s": float("nan")}, "type", ERROR, "timeout_s"),
            ({"timeout_s": 10**400}, "type", ERROR, "timeout_s"),
            ({"priority": True}, "type", ERROR, "priority"),
            ({"targets": (Target("app", float("inf")),)}, "type", ERROR, "targets"),
        )
        for fields, check, severity, field in cases:
            with self.subTest(fields=fields):
                cfg = make_configuration(1, routes=(make_route(**fields),))
                path = f"routes[0].{field}"
                self.assertEqual(find(cfg), [(check, severity, path)])

    def test_second_route_of_a_host_and_prefix_never_matches(self):
        routes = (make_route(name="a"), make_route(name="b", host="H"))
        cfg = make_configuration(1, routes=routes)
        self.assertEqual(find(cfg), [("route.prefix_taken", ERROR, "routes[1].prefix")])
        self.assertEqual(RouteTable(cfg).route("h", "/a/x").name, "a")

    def test_routes_of_the_same_name_are_a_warning(self):
        routes = (make_route(name="a"), make_route("/b/", name="a"))
        expected = [("route.name_repeated", WARNING, "routes[1].name")]
        self.assertEqual(find(make_configuration(1, routes=routes)), expected)

    def test_findings_of_services(self):
        cases = (
            ((APP, APP), "service.name_repeated", ERROR, "services[1].name"),
            ((APP, Service("x")), "service.not_reached", WARNING, "services[1]"),
            (
                (Service("app", cold_s=-1.0),),
                "service.cold_limit_negative",
                ERROR,
                "services[0].cold_s",
            ),
            (
                (Service("app", cold_rate=26.0),),
                "service.cold_limit_unused",
                WARNING,
                "services[0].cold_rate",
            ),
            (
                (Service("app", cold_s=3.0, cold_rate=8.0),),
                "service.rate_below_retries",
                WARNING,
                "services[0].cold_rate",
            ),
            (
                (Service("app", make_engine()._replace(chunk="512")),),
                "type",
                ERROR,
                "services[0].engine.chunk",
            ),
        )
        for services, *expected in cases:
            with self.subTest(services=services):
                cfg = make_configuration(1, services=services)
                self.assertEqual(find(cfg), [tuple(expected)])

    def test_findings_of_limits(self):
        for field, severity in (
            ("max_body_bytes", ERROR),
            ("max_header_bytes", WARNING),
            ("idle_timeout_s", WARNING),
        ):
            with self.subTest(field=field):
                limits = CallerLimits(**{field: 0})
                expected = ("limit_not_positive", severity, f"limits.{field}")
                cfg = make_configuration(1, limits=limits)
                self.assertEqual(find(cfg), [expected])

    def test_findings_of_teams(self):
        team = Team("t", ("key-1",))
        cases = (
            (Team("u", ()), "team.no_credential", WARNING, "credentials"),
            (Team("t", ("key-2",)), "team.name_repeated", WARNING, "name"),
            (Team("u", ("key-1",)), "credential.of_two_teams", ERROR, "credentials[0]"),
            (
                Team("u", ("key-2", "key-2")),
                "credential.repeated",
                WARNING,
                "credentials[1]",
            ),
            (Team("u", ("",)), "credential.empty", ERROR, "credentials[0]"),
            (
                Team("u", ("key-2 ",)),
                "credential.never_matches",
                WARNING,
                "credentials[0]",
            ),
            (Team("u", ("k",)), "credential.one_character", WARNING, "credentials[0]"),
            (Team("u", (5,)), "type", ERROR, "credentials[0]"),
            (Team("u", ("key-2",), priority="high"), "type", ERROR, "priority"),
            (
                Team("u", ("key-2",), regions=("mars",)),
                "region_without_zone",
                ERROR,
                "regions",
            ),
        )
        for other, check, severity, field in cases:
            with self.subTest(other=other):
                cfg = make_configuration(1, teams=(team, other))
                self.assertEqual(find(cfg), [(check, severity, f"teams[1].{field}")])

    def test_routes_that_no_caller_may_use_are_an_error(self):
        cfg = make_configuration(1, teams=())
        self.assertEqual(find(cfg), [("team.nobody", ERROR, "teams")])
        cfg = make_configuration(1, teams=(), routes=(make_route(public=True),))
        self.assertEqual(find(cfg), [])

    # Guards against credentials in logs and in the output of commands.
    def test_findings_contain_no_credential(self):
        secrets = ("key-1", "key-1 ", "key-1", "", "key-2")
        teams = (Team("t", secrets), Team("u", secrets), Team("u", ["key-1"]))
        found = check_configuration(make_configuration(1, teams=teams))
        self.assertGreater(len(found), 5)
        self.assertNotIn("key-", repr(found))

    def test_checks_without_the_facts_they_need_are_left_out(self):
        route = make_route(max_attempts=9, regions=("mars",))
        service = Service("app", cold_s=3.0, cold_rate=1.0)
        cfg = make_configuration(1, routes=(route,), services=(service,))
        self.assertEqual(len(find(cfg)), 3)
        self.assertEqual(find(cfg, Deployment()), [])

    def test_settings_state_regions_and_the_rate_of_retries(self):
        cfg = GatewaySettings("", "", "", "", zone_regions={"a": "eu", "b": "eu"})
        self.assertEqual(
            describe_deployment(cfg), Deployment(frozenset({"eu"}), None, 9)
        )


class DiffTests(unittest.TestCase):
    def setUp(self):
        routes = (make_route(name="a"), make_route("/b/", public=True))
        self.old = make_configuration(1, routes=routes)

    def compare(self, **fields):
        return compare_configurations(self.old, self.old._replace(**fields))

    def test_equal_configurations_have_no_differences(self):
        diff = self.compare()
        self.assertEqual((diff.changes, diff.moves), ((), ()))

    def test_changed_added_and_removed_entries_are_listed(self):
        routes = (
            make_route("/c/"),
            make_route(name="a", timeout_s=2.0, targets=(Target("x", 1.0),)),
        )
        diff = self.compare(version=2, routes=routes)
        found = [(c.kind.value, c.section, c.index, c.entry) for c in diff.changes]
        self.assertEqual(
            found,
            [
                ("changed", "version", None, ""),
                ("added", "routes", 0, "/c/"),
                ("changed", "routes", 1, "a"),
                ("removed", "routes", 1, "/b/"),
            ],
        )
        fields = {f.field: (f.before, f.after) for f in diff.changes[2].fields}
        self.assertEqual(fields[("timeout_s",)], (1.0, 2.0))
        self.assertEqual(set(fields), {("timeout_s",), ("targets",)})

    def test_callers_that_move_to_other_services_are_listed(self):
        split = (Target("app", 3.0), Target("x", 1.0))
        routes = (
            make_route("/a/", name="a", targets=split),
            make_route("/b/", public=True),
            make_route("/b/x/", public=True),
        )
        moves = self.compare(routes=routes).moves
        self.assertEqual(moves, (("callers of h/a/", "app", "app 75%, x 25%"),))
        moves = self.compare(routes=self.old.routes[:1]).moves
        self.assertEqual(moves, (("callers of h/b/", "app", "no route (404)"),))

    # Guards against a longer prefix that takes callers from another route unnoticed.
    def test_new_longer_prefix_moves_its_callers(self):
        route = make_route("/a/b/", targets=(Target("x", 1.0),))
        moves = self.compare(routes=(*self.old.routes, route)).moves
        self.assertEqual(moves, (("callers of h/a/b/", "app", "x"),))

    def test_callers_that_lose_or_need_access_are_listed(self):
        moves = self.compare(teams=None).moves
        self.assertEqual(
            moves,
            (("callers of h/a/", "a credential is needed", "no credential is needed"),),
        )
        moves = self.compare(teams=(Team("u", ("key", "key-2")),)).moves
        self.assertEqual(
            moves,
            (
                ("callers with 1 of the credentials", "team t", "team u"),
                ("callers with 1 of the credentials", "rejected (401)", "team u"),
            ),
        )

    # Guards against credentials in the output of the command.
    def test_credentials_are_only_counted(self):
        diff = self.compare(teams=(Team("t", ("key", "key-2")),))
        (change,) = diff.changes[0].fields
        self.assertEqual(change, (("credentials",), "1", "2 (1 added, 0 removed)"))
        self.assertNotIn("key", repr(diff))

    def test_other_order_of_entries_is_a_difference(self):
        diff = self.compare(routes=self.old.routes[::-1])
        self.assertEqual([c.kind for c in diff.changes], [ChangeKind.REORDERED])

    def test_fields_of_an_engine_are_compared(self):
        self.old = self.old._replace(services=(Service("app", make_engine()),))
        engine = make_engine()._replace(chunk=1024)
        diff = self.compare(services=(Service("app", engine),))
        self.assertEqual(diff.changes[0].fields, ((("engine", "chunk"), 512, 1024),))

    # Guards against moves that are computed for other routes than gateways use.
    @given(
        st.lists(st.text("/ab", max_size=4), max_size=6),
        st.text("/ab", max_size=6),
    )
    def test_prefix_index_finds_the_route_that_gateways_use(self, prefixes, path):
        routes = tuple(
            make_route(prefix, name=str(number), host="hH"[number % 2])
            for number, prefix in enumerate(prefixes)
        )
        cfg = make_configuration(1, routes=routes)
        self.assertEqual(
            _PrefixIndex(cfg).route("h", path), RouteTable(cfg).route("h", path)
        )


class OneConfigurationSource:
    """Source that returns one configuration, and then none."""

    era = 0
    call_timeout_s = 0.9

    def __init__(self, cfg) -> None:
        self._cfg = cfg

    async def configuration(self):
        return OperatorUpdate(self._cfg, 1)

    async def next_configuration(self, since: int, wait_s: float):
        await asyncio.sleep(0.01)
        return OperatorUpdate(None, since)


class LogTests(unittest.IsolatedAsyncioTestCase):
    async def adopt(self, cfg, catalogue=None) -> list:
        """Run the synchronization for some polls; return the records of findings."""
        catalogue = catalogue or Catalogue(4.0)
        evacuations = EvacuationState(
            4.0, EndpointDirectory(2.0), GatewayMetrics(), time.monotonic
        )
        sync = ConfigurationSync(
            OneConfigurationSource(cfg),
            catalogue,
            evacuations,
            time.monotonic,
            lambda: DEPLOYMENT,
        )
        with self.assertLogs("slatehoist.gateway") as logs:
            task = asyncio.create_task(sync.run())
            await asyncio.sleep(0.2)
            task.cancel()
            await asyncio.wait({task})
        self.catalogue = catalogue
        return [r for r in logs.records if r.msg.startswith("configuration_f")] + [
            r for r in logs.records if r.msg == "configuration_checked"
        ]

    async def test_findings_of_an_adopted_configuration_are_logged(self):
        cfg = make_configuration(3, routes=(make_route(timeout_s=0.3),))
        finding, summary = await self.adopt(cfg)
        self.assertEqual(finding.check, "route.timeout_below_objective")
        self.assertEqual(finding.path, "routes[0].timeout_s")
        self.assertEqual((summary.errors, summary.warnings), (0, 1))
        self.assertEqual(self.catalogue.version, 3)

    # Guards against a gateway that rejects what it adopted before the checks existed.
    async def test_configuration_with_errors_is_adopted(self):
        cfg = make_configuration(3, routes=(make_route(), make_route()))
        await self.adopt(cfg)
        self.assertIs(self.catalogue.table.cfg, cfg)
        self.assertLess(self.catalogue.age_s(time.monotonic()), 1.0)

    async def test_configuration_that_is_not_adopted_is_not_checked(self):
        catalogue = Catalogue(4.0)
        catalogue.offer(make_configuration(3))
        cfg = make_configuration(3, routes=(make_route(timeout_s=0.3),))
        self.assertEqual(await self.adopt(cfg, catalogue), [])

    # Guards against thousands of lines, which would displace those of requests.
    async def test_number_of_lines_is_bounded(self):
        services = [Service(f"s{number}") for number in range(300)]
        cfg = make_configuration(3, services=(APP, *services))
        records = await self.adopt(cfg)
        self.assertEqual(len(records), MAX_LOGGED_FINDINGS + 1)
        self.assertEqual(records[-1].warnings, 300)
        self.assertEqual(records[-1].not_listed, 300 - MAX_LOGGED_FINDINGS)


if __name__ == "__main__":
    unittest.main()

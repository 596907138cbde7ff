"""Tests of placement: evacuated zones and regional restrictions."""

import unittest

from builders import make_candidate
from slatehoist.routing import Placement, Unplaced, ZoneEvacuations
from slatehoist.routing.placement import MAX_RESTORED

REGIONS = {"a": "north", "b": "north", "c": "south", "d": ""}


class ZoneEvacuationsTests(unittest.TestCase):
    def setUp(self):
        self.zones = ZoneEvacuations()

    def test_changes_are_reported_once(self):
        self.assertEqual(self.zones.update(["b", "a"], [], 1.0), (("a", "b"), ()))
        self.assertEqual(self.zones.update(["a"], [], 2.0), ((), ()))
        self.assertEqual(self.zones.update([], ["a"], 3.0), ((), ("a",)))
        self.assertNotIn("a", self.zones)
        self.assertIn("b", self.zones)

    # Guards against a zone that stays evacuated, or is restored, since a snapshot was
    # merged with what was known before.
    def test_snapshot_replaces_what_was_known(self):
        self.zones.update(["a", "b"], [], 1.0)
        changes = self.zones.replace(["b", "c"], 5.0)
        self.assertEqual(changes, (("c",), ("a",)))
        self.assertEqual([z for z in "abc" if z in self.zones], ["b", "c"])
        self.assertEqual(self.zones.restored_at("a"), 5.0)
        self.assertIsNone(self.zones.restored_at("b"))

    # Guards against servers that are taken for warm after an evacuation that began and
    # ended between two reads.
    def test_evacuation_between_two_reads_counts_as_restored(self):
        self.assertEqual(self.zones.update([], ["a"], 2.0), ((), ("a",)))
        self.assertEqual(self.zones.restored_at("a"), 2.0)

    def test_latest_restoration_counts(self):
        for now in (1.0, 2.0):
            self.zones.update(["a"], [], now)
            self.zones.update([], ["a"], now + 0.5)
        self.assertEqual(self.zones.restored_at("a"), 2.5)

    def test_memory_of_restorations_is_bounded(self):
        for number in range(MAX_RESTORED + 10):
            self.zones.update([], [f"z{number}"], float(number))
        self.assertIsNone(self.zones.restored_at("z9"))
        self.assertEqual(self.zones.restored_at("z10"), 10.0)


class PlacementTests(unittest.TestCase):
    def setUp(self):
        self.zones = ZoneEvacuations()
        self.placement = Placement(self.zones, REGIONS)
        self.endpoints = [make_candidate(f"e-{zone}", zone) for zone in "abcdx"]

    def allowed(self, *regions: tuple[str, ...]) -> str:
        found = self.placement.allowed(self.endpoints, *regions)
        return "".join(endpoint.zone for endpoint in found)

    def find_cause(self, *regions: tuple[str, ...]) -> Unplaced | None:
        return self.placement.find_cause(self.endpoints, *regions)

    def test_all_endpoints_are_allowed_without_evacuation_and_restriction(self):
        self.assertEqual(self.allowed((), ()), "abcdx")
        self.assertIsNone(self.find_cause((), ()))

    def test_evacuated_zones_are_excluded(self):
        self.zones.update(["a", "c", "unknown"], [], 1.0)
        self.assertEqual(self.allowed(), "bdx")

    # Guards against a restriction of a route that hides the one of the team.
    def test_restrictions_of_route_and_team_are_both_binding(self):
        self.assertEqual(self.allowed(("north",), ()), "ab")
        self.assertEqual(self.allowed((), ("south", "west")), "c")
        self.assertEqual(self.allowed(("north", "south"), ("south",)), "c")
        self.assertEqual(self.allowed(("north",), ("south",)), "")

    # Guards against requests that leave their region in a zone whose region is unknown:
    # zone d has an empty one, and zone x is not in the settings.
    def test_zone_without_a_region_meets_no_restriction(self):
        self.assertEqual(self.allowed(("",)), "")
        self.assertEqual(self.allowed(("north", "south", "")), "abc")

    def test_cause_is_the_region_if_waiting_for_a_zone_does_not_help(self):
        self.zones.update(["c"], [], 1.0)
        self.assertIs(self.find_cause(("north",), ("south",)), Unplaced.REGIONS)
        self.assertIs(self.find_cause(("south",)), Unplaced.EVACUATION)
        self.assertIsNone(self.find_cause(("north",)))
        self.zones.update("abdx", [], 2.0)
        self.assertIs(self.find_cause(), Unplaced.EVACUATION)

    def test_no_endpoints_at_all_have_no_cause(self):
        self.zones.update(["a"], [], 1.0)
        self.assertIsNone(self.placement.find_cause([], ("north",)))


if __name__ == "__main__":
    unittest.main()

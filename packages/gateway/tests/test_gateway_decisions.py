"""Tests of the gateway's decisions, without network; time is an argument."""

import random
import unittest

from gateway_builders import (
    make_configuration,
    make_endpoint,
    make_route,
    send_retry,
)
from hypothesis import given
from hypothesis import strategies as st

from slatehoist.gateway import Catalogue, EndpointDirectory, RouteTable, Target
from slatehoist.gateway.catalogue import pick_service
from slatehoist.gateway.health import EJECT_FAILURES, EndpointHealth, GroupState
from slatehoist.gateway.settings import RETRY_RATIO_USED
from slatehoist.http import EventSplitter
from slatehoist.routing import SharedRetryBudget, retry_delay_s


class CatalogueTests(unittest.TestCase):
    def test_longest_prefix_of_the_host_is_chosen(self):
        routes = tuple(make_route(prefix) for prefix in ("/", "/a/", "/a/b/"))
        table = RouteTable(make_configuration(1, routes=routes))
        self.assertEqual(table.route("H", "/a/b/c").prefix, "/a/b/")
        self.assertEqual(table.route("h", "/a/x").prefix, "/a/")
        self.assertIsNone(table.route("other", "/a/x"))

    def test_older_configuration_is_not_adopted(self):
        catalogue = Catalogue(3.0)
        self.assertTrue(catalogue.offer(make_configuration(7)).adopted)
        self.assertFalse(catalogue.offer(make_configuration(5)).adopted)
        self.assertEqual(catalogue.version, 7)

    def test_credentials_are_trusted_from_the_start_of_the_read(self):
        catalogue = Catalogue(3.0)
        self.assertFalse(catalogue.credentials_trusted(0.0))
        catalogue.offer(make_configuration(1))
        catalogue.confirm(10.0)
        catalogue.confirm(9.0)
        self.assertTrue(catalogue.credentials_trusted(12.9))
        self.assertFalse(catalogue.credentials_trusted(13.0))

    def test_split_follows_the_weights(self):
        route = make_route(targets=(Target("a", 90.0), Target("b", 10.0)))
        rng = random.Random(1)
        chosen = [pick_service(route, rng) for _ in range(2000)]
        self.assertAlmostEqual(chosen.count("b") / 2000, 0.1, delta=0.03)


class DirectoryTests(unittest.TestCase):
    def test_missing_endpoint_is_removed(self):
        directory = EndpointDirectory(2.5)
        directory.update([make_endpoint("e1"), make_endpoint("e2")], 0.0)
        changes = directory.update([make_endpoint("e1")], 1.0)
        self.assertEqual([e.endpoint_id for e in changes.removed], ["e2"])
        self.assertEqual(len(directory.of_service("app", 1.0)), 1)

    def test_endpoints_missing_after_an_outage_are_kept_for_the_relist_time(self):
        directory = EndpointDirectory(2.5)
        directory.update([make_endpoint("e1"), make_endpoint("e2")], 0.0)
        directory.record_outage()
        directory.update([make_endpoint("e1")], 10.0)
        self.assertEqual(len(directory.of_service("app", 10.0)), 2)
        directory.update([make_endpoint("e1")], 12.6)
        self.assertEqual(len(directory.of_service("app", 12.6)), 1)

    # Guards against requests to an endpoint that left in an outage, until a read which
    # is due later or gets no answer.
    def test_kept_endpoint_is_not_returned_after_the_relist_time(self):
        directory = EndpointDirectory(2.5)
        directory.update([make_endpoint("e1"), make_endpoint("e2")], 0.0)
        directory.record_outage()
        directory.update([make_endpoint("e1")], 10.0)
        self.assertEqual(len(directory.of_service("app", 12.4)), 2)
        names = [e.endpoint_id for e in directory.of_service("app", 12.5)]
        self.assertEqual(names, ["e1"])
        changes = directory.update([make_endpoint("e1")], 13.0)
        self.assertEqual([e.endpoint_id for e in changes.removed], ["e2"])

    def test_endpoint_relisted_after_an_outage_and_then_missing_is_removed(self):
        directory = EndpointDirectory(2.8)
        directory.update([make_endpoint("e1"), make_endpoint("e2")], 0.0)
        directory.record_outage()
        directory.update([make_endpoint("e1"), make_endpoint("e2")], 11.53)
        changes = directory.update([make_endpoint("e1")], 12.8)
        self.assertEqual([e.endpoint_id for e in changes.removed], ["e2"])

    def test_missing_endpoint_is_not_kept_if_another_one_has_its_address(self):
        directory = EndpointDirectory(2.5)
        directory.update([make_endpoint("e1")], 0.0)
        directory.record_outage()
        directory.update([make_endpoint("e2", address="10.0.0.1:1")], 1.0)
        names = [e.endpoint_id for e in directory.of_service("app", 1.0)]
        self.assertEqual(names, ["e2"])

    def test_draining_endpoint_gets_no_work_after_an_outage(self):
        directory = EndpointDirectory(2.5)
        directory.update([make_endpoint("e1")], 0.0)
        directory.update([make_endpoint("e1", draining=True)], 1.0)
        directory.record_outage()
        directory.update([], 2.0)
        self.assertEqual(directory.of_service("app", 2.0), [])

    # Guards against requests to a draining endpoint that an older copy of the list
    # calls ready.
    def test_draining_endpoint_stays_so_until_it_starts_again(self):
        directory = EndpointDirectory(2.5, row_ttl_s=4.8)
        directory.update([make_endpoint("e1", draining=True)], 0.0)
        directory.update([make_endpoint("e1")], 1.0, era=1)
        self.assertEqual(directory.of_service("app", 1.0), [])
        directory.update([make_endpoint("e1")], 60.0, era=1)
        self.assertEqual(directory.of_service("app", 60.0), [])
        directory.update([make_endpoint("e1", started_at_ms=7)], 61.0, era=1)
        self.assertEqual(len(directory.of_service("app", 61.0)), 1)

    # Guards against requests to a draining endpoint that an earlier heartbeat, which is
    # written late, calls ready.
    def test_draining_endpoint_stays_so_if_a_late_heartbeat_calls_it_ready(self):
        directory = EndpointDirectory(2.5)
        directory.update([make_endpoint("e1", draining=True)], 0.0)
        directory.update([make_endpoint("e1")], 1.0)
        self.assertEqual(directory.of_service("app", 1.0), [])
        directory.update([], 2.0)
        directory.update([make_endpoint("e1")], 3.0)
        self.assertEqual(directory.of_service("app", 3.0), [])
        directory.update([make_endpoint("e1", started_at_ms=7)], 4.0)
        self.assertEqual(len(directory.of_service("app", 4.0)), 1)

    # Guards against requests to an endpoint that has left, and that an older copy of
    # the list contains again.
    def test_endpoint_that_left_is_ignored_while_a_copy_may_contain_it(self):
        directory = EndpointDirectory(2.5, row_ttl_s=4.8)
        both = [make_endpoint("e1"), make_endpoint("e2")]
        directory.update(both, 0.0)
        directory.update(both[:1], 1.0)
        directory.record_outage()
        for at in (2.0, 6.0):
            directory.update(both, at, era=1)
            names = [e.endpoint_id for e in directory.of_service("app", at)]
            self.assertEqual(names, ["e1"])
        # Its heartbeats keep its row, so it is alive.
        directory.update(both, 6.9, era=1)
        self.assertEqual(len(directory.of_service("app", 6.9)), 2)

    def test_endpoint_that_comes_back_in_the_same_era_is_accepted(self):
        directory = EndpointDirectory(2.5, row_ttl_s=4.8)
        directory.update([make_endpoint("e1")], 0.0)
        directory.update([], 1.0)
        directory.update([make_endpoint("e1")], 2.0)
        self.assertEqual(len(directory.of_service("app", 2.0)), 1)

    def test_restart_under_the_same_id_is_reported(self):
        directory = EndpointDirectory(2.5)
        directory.update([make_endpoint("e1", started_at_ms=1)], 0.0)
        changes = directory.update([make_endpoint("e1", started_at_ms=2)], 1.0)
        self.assertEqual([e.endpoint_id for e in changes.restarted], ["e1"])


class HealthTests(unittest.TestCase):
    def setUp(self):
        self.health = EndpointHealth()
        self.endpoints = [make_endpoint(f"e{i}") for i in range(4)]

    def eject(self, name, now=0.0):
        for _ in range(EJECT_FAILURES):
            self.health.record_failure(name, now)

    def available_names(self, now):
        return [e.endpoint_id for e in self.health.available(self.endpoints, now)]

    def test_endpoint_is_ejected_for_a_time_after_repeated_failures(self):
        self.eject("e0")
        self.assertEqual(self.available_names(0.5), ["e1", "e2", "e3"])
        self.assertEqual(len(self.available_names(1.0)), 4)

    def test_all_endpoints_are_used_if_more_than_half_would_be_ejected(self):
        for name in ("e0", "e1", "e2"):
            self.eject(name)
        self.assertEqual(len(self.available_names(0.5)), 4)

    def test_slow_rank_gets_no_work_while_its_status_is_fresh(self):
        self.health.observe_status("e1", True, 12.0, 0.0)
        self.assertNotIn("e1", self.available_names(0.2))
        self.assertIn("e1", self.available_names(2.0))

    def test_group_is_forming_once_all_its_ranks_report_a_status(self):
        for name in ("e0", "e1", "e2"):
            self.health.observe_status(name, False, 1.0, 0.0)
        state = self.health.group_state(self.endpoints, 0.1)
        self.assertEqual(state, GroupState.CLOSED)
        self.health.observe_status("e3", False, 1.0, 0.1)
        state = self.health.group_state(self.endpoints, 0.2)
        self.assertEqual(state, GroupState.FORMING)
        self.health.observe_status("e0", True, 1.0, 0.2)
        state = self.health.group_state(self.endpoints, 0.3)
        self.assertEqual(state, GroupState.OPEN)

    def test_group_without_statuses_counts_as_open(self):
        state = self.health.group_state(self.endpoints, 0.0)
        self.assertEqual(state, GroupState.OPEN)


class RetryTests(unittest.TestCase):
    def test_retries_of_all_instances_stay_within_ratio_and_allowance(self):
        instances, ratio, allowance = 5, 0.2, 90.0
        rng = random.Random(3)
        budgets = [
            SharedRetryBudget(ratio * RETRY_RATIO_USED, allowance, 10.0)
            for _ in range(instances)
        ]
        first, retries = [], []
        for step in range(6000):
            now = step * 0.005
            budget = rng.choice(budgets)
            if now < 20.0:
                budget.record_first_attempt(now)
                first.append(now)
            if send_retry(budget, now, 1 / instances):
                retries.append(now)
            recent = sum(now - 10.0 <= t for t in retries)
            # The first attempts that permit these retries were sent in the same window,
            # or in one that begins up to one window earlier.
            sent = max(
                sum(now - back - 10.0 <= t <= now - back for t in first)
                for back in (0.0, 5.0, 10.0)
            )
            self.assertLessEqual(recent, sent * ratio + allowance)

    def test_retry_delays_are_spread_and_leave_time_before_the_deadline(self):
        rng = random.Random(1)
        delays = [retry_delay_s(1.2, 8.0, rng) for _ in range(200)]
        self.assertGreater(max(delays) - min(delays), 0.4)
        self.assertLessEqual(max(retry_delay_s(9.0, 3.0, rng) for _ in range(9)), 1.0)


class EventSplitterTests(unittest.TestCase):
    EVENTS = [f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 6)]

    @given(st.lists(st.integers(1, 40), max_size=30))
    def test_chunks_of_any_size_give_whole_events_and_the_last_id(self, sizes):
        data = b"".join(self.EVENTS)
        splitter, returned, at = EventSplitter(), b"", 0
        for size in sizes:
            returned += splitter.feed(data[at : at + size])
            at += size
        whole = returned.count(b"\n\n")
        self.assertEqual(returned, b"".join(self.EVENTS[:whole]))
        self.assertEqual(splitter.last_event_id, str(whole) if whole else "")
        self.assertEqual(returned + splitter.rest, data[:at])

    def test_incomplete_event_is_not_returned(self):
        splitter = EventSplitter()
        returned = splitter.feed(self.EVENTS[0] + self.EVENTS[1][:7])
        self.assertEqual(returned, self.EVENTS[0])


if __name__ == "__main__":
    unittest.main()

"""Tests of where requests go under patterns of load of large fleets, without a network.

Each test names its pattern.
"""

import random
import unittest

from gateway_builders import make_endpoint

from slatehoist.gateway.health import EndpointHealth
from slatehoist.routing import Candidate, LoadAwareChooser

GROUPS, RANKS = 3, 64


class BrokenGroupTests(unittest.TestCase):
    """Pattern: a rank of one of several groups crashed, so that its group is closed."""

    def setUp(self):
        self.health = EndpointHealth()
        self.endpoints = [
            make_endpoint(f"g{group}-{rank}", address=f"10.0.{group}.{rank}:80")
            for group in range(GROUPS)
            for rank in range(RANKS)
        ]

    def observe(self, open_groups: set[int], now: float) -> None:
        for endpoint in self.endpoints:
            is_open = int(endpoint.endpoint_id[1]) in open_groups
            self.health.observe_status(endpoint.endpoint_id, is_open, 1.0, now)

    def choose(self, now: float) -> set[str]:
        """Return the groups to which 300 requests go."""
        chooser = LoadAwareChooser(random.Random(1))
        usable = self.health.in_open_groups(self.endpoints, now)
        usable = self.health.available(usable, now)
        candidates = [Candidate(e.endpoint_id, e.zone) for e in usable]
        return {chooser.choose(candidates, "a").name[1] for _ in range(300)}

    # Guards against a third of the requests that wait at ranks of a closed group until
    # it refuses them.
    def test_no_request_goes_to_a_closed_group_while_another_is_open(self):
        self.observe({0, 2}, 10.0)
        self.assertEqual(self.choose(10.1), {"0", "2"})

    def test_requests_go_to_the_only_open_group(self):
        self.observe({1}, 10.0)
        self.assertEqual(self.choose(10.1), {"1"})

    def test_expired_statuses_exclude_no_group(self):
        self.observe({1}, 10.0)
        self.assertEqual(self.choose(12.0), {"0", "1", "2"})

    def test_all_groups_are_used_if_all_are_closed(self):
        self.observe(set(), 10.0)
        self.assertEqual(self.choose(10.1), {"0", "1", "2"})


class ForgottenEndpointTests(unittest.TestCase):
    """Pattern: endpoints restart while attempts at them are in flight."""

    # Guards against a load that stays too high: the attempts in flight were counted in
    # a new record, and out of the old one.
    def test_attempts_that_end_after_a_restart_leave_no_load(self):
        health = EndpointHealth()
        record = health.get_record("e1")
        record.inflight += 2
        record.failures = 2
        health.forget("e1")
        self.assertEqual(health.get_record("e1").inflight, 2)
        self.assertEqual(health.get_record("e1").failures, 0)
        record.inflight -= 2
        self.assertEqual(health.get_record("e1").inflight, 0)
        health.forget("e1")
        self.assertIsNot(health.get_record("e1"), record)


if __name__ == "__main__":
    unittest.main()

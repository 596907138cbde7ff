"""Exploration of the guarantees across gateways: retry allowance and revocations.

The production code runs through every order of a set of events, or through random
orders where there are too many.
"""

import asyncio
import itertools
import random
import unittest
from typing import NamedTuple
from unittest import mock

from gateway_builders import make_configuration, send_retry

from slatehoist.gateway.catalogue import Catalogue
from slatehoist.gateway.registry import InstanceRegistry
from slatehoist.gateway.settings import (
    REGISTRY_POLL_S,
    REGISTRY_PROPAGATION_S,
    TRUST_RATIO,
)
from slatehoist.routing import AllowanceShare, Membership, SharedRetryBudget
from slatehoist.storage import MemoryTable

WINDOW_S = 10.0
ALLOWANCE = 30.0
STEP_S = 0.5
REVOKE_S = 5.0


class Instance:
    """Gateway that sends as many retries as its budget allows."""

    def __init__(self, name: str, table: MemoryTable, clock) -> None:
        self.share = AllowanceShare(WINDOW_S, REGISTRY_PROPAGATION_S)
        self.budget = SharedRetryBudget(0.0, ALLOWANCE, WINDOW_S)
        self.registry = InstanceRegistry(table, name, self._record, clock)
        self.next_count_at = clock()
        self._clock = clock

    def _record(self, membership: Membership) -> None:
        self.share.record_membership(membership, self._clock())

    async def spend(self, cut_off: bool) -> int:
        """Count the instances if that is due, and return the number of retries."""
        now = self._clock()
        if now >= self.next_count_at and not cut_off:
            await self.registry.refresh()
            self.next_count_at = now + REGISTRY_POLL_S
        spent = 0
        while send_retry(self.budget, now, self.share.fraction(now)):
            spent += 1
        return spent


class AllowanceExploration(unittest.TestCase):
    def simulate(self, rng: random.Random, seconds: float) -> list[tuple[float, int]]:
        """Return the retries per step of instances that join, restart and are cut off.

        The times of these events are random.
        """
        table, now, spent = MemoryTable(), 100.0, []
        instances: dict[str, Instance] = {}
        cut_off: dict[str, float] = {}

        async def step() -> None:
            for name in ("a", "b", "c", "d"):
                chance = rng.random()
                if chance < 0.02:
                    instances[name] = Instance(name, table, lambda: now)
                elif chance < 0.03:
                    cut_off[name] = now + rng.random() * 30
            total = 0
            for name, instance in instances.items():
                total += await instance.spend(now < cut_off.get(name, 0.0))
            spent.append((now, total))

        while now < 100.0 + seconds:
            asyncio.run(step())
            now += STEP_S
        return spent

    def test_share_that_applies_at_once_after_a_start_exceeds_the_allowance(self):
        # The exploration must detect this fault: a restarted process uses its share
        # at once and thus spends it for a second time within one window.
        with mock.patch.object(AllowanceShare, "fraction", lambda share, now: 1 / 4):
            spent = [self.simulate(random.Random(number), 90.0) for number in range(10)]
        most = max(
            sum(n for at, n in run if end - WINDOW_S < at <= end)
            for run in spent
            for end, _ in run
        )
        self.assertGreater(most, ALLOWANCE)

    def test_instances_together_stay_within_the_allowance(self):
        seed = 20261204
        print(f"seed {seed}")
        used = 0
        for number in range(150):
            spent = self.simulate(random.Random(seed + number), 90.0)
            for end, _ in spent:
                window = sum(n for at, n in spent if end - WINDOW_S < at <= end)
                self.assertLessEqual(window, ALLOWANCE, f"run {number} at {end} s")
                used = max(used, window)
        self.assertGreater(used, ALLOWANCE / 2)


class State(NamedTuple):
    """State of a gateway, the store and one read in progress; times in seconds.

    Attributes
    ----------
    read : tuple of (float, int) or None
        Start of the read in progress, and the version that it will return.
    """

    now: float
    catalogue: Catalogue
    revoked_at: float | None
    read: tuple[float, int] | None


class RevocationExploration(unittest.TestCase):
    """Explore every order of reads, lost reads, a revocation, waits and freezes."""

    EVENTS = ("start_read", "finish_read", "lose_read", "revoke", "wait", "freeze")
    DEPTH = 8
    WAIT_S = 1.3

    def apply(self, state: State, event: str) -> State | None:
        """Return the state after an event, or None if the event is impossible."""
        now, catalogue, revoked_at, read = state
        version = 1 if revoked_at is None else 2
        if event == "start_read":
            return state._replace(read=(now, version)) if read is None else None
        if event == "revoke":
            return state._replace(revoked_at=now) if revoked_at is None else None
        if event == "wait":
            return state._replace(now=now + self.WAIT_S)
        if event == "freeze":
            return state._replace(now=now + REVOKE_S + 1)
        if read is None:
            return None
        if event == "finish_read":
            started_at, seen = read
            teams = {} if seen == 1 else {"teams": ()}
            catalogue.offer(make_configuration(seen, **teams))
            catalogue.confirm(started_at)
        return state._replace(read=None)

    def check(self, state: State) -> None:
        """Check that a credential is not accepted beyond the bound on revocations."""
        table = state.catalogue.table
        if table is None or state.revoked_at is None:
            return
        accepted = table.team("key") and state.catalogue.credentials_trusted(state.now)
        late = state.now - state.revoked_at > REVOKE_S
        self.assertFalse(accepted and late, f"{state}")

    def explore(self, trust_s: float) -> int:
        """Run every possible order of events, and return their number."""
        runs = 0
        for events in itertools.product(self.EVENTS, repeat=self.DEPTH):
            if events.count("revoke") != 1 or events[0] != "start_read":
                continue
            state = State(0.0, Catalogue(trust_s), None, None)
            for event in events:
                state = self.apply(state, event)
                if state is None:
                    break
                self.check(state)
            else:
                runs += 1
        return runs

    def test_revoked_credential_is_not_accepted_beyond_the_bound(self):
        runs = self.explore(REVOKE_S * TRUST_RATIO)
        print(f"{runs} runs")
        self.assertGreater(runs, 1000)

    def test_longer_trust_time_accepts_a_revoked_credential(self):
        # The exploration must detect this fault: credentials are trusted for longer
        # than the bound on revocations.
        with self.assertRaises(AssertionError):
            self.explore(REVOKE_S * 1.2)


if __name__ == "__main__":
    unittest.main()

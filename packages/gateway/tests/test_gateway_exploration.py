"""Exploration of what gateways agree on: the retry allowance and revocations.

The real functions are driven through every order of some events, or through random
ones where there are too many.
"""

import asyncio
import itertools
import random
import unittest
from typing import NamedTuple
from unittest import mock

from gateway_builders import make_configuration

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
    """Gateway that spends whatever it may."""

    def __init__(self, name: str, table: MemoryTable, clock) -> None:
        self.share = AllowanceShare(WINDOW_S, REGISTRY_PROPAGATION_S)
        self.budget = SharedRetryBudget(0.0, ALLOWANCE, WINDOW_S)
        self.registry = InstanceRegistry(table, name, self._record, clock)
        self.counts_at = clock()
        self._clock = clock

    def _record(self, membership: Membership) -> None:
        self.share.record(membership, self._clock())

    async def step(self, cut_off: bool) -> int:
        """Count if it is time, then spend; give the repeats."""
        now = self._clock()
        if now >= self.counts_at and not cut_off:
            await self.registry.refresh()
            self.counts_at = now + REGISTRY_POLL_S
        spent = 0
        while self.budget.spend(now, self.share.part(now)):
            spent += 1
        return spent


class AllowanceExploration(unittest.TestCase):
    def play(self, rng: random.Random, seconds: float) -> list[tuple[float, int]]:
        """Run instances that join, start again and are cut off at random times."""
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
                total += await instance.step(now < cut_off.get(name, 0.0))
            spent.append((now, total))

        while now < 100.0 + seconds:
            asyncio.run(step())
            now += STEP_S
        return spent

    def test_part_that_counts_at_once_after_a_start_is_caught(self):
        with mock.patch.object(AllowanceShare, "part", lambda share, now: 1 / 4):
            spent = [self.play(random.Random(number), 90.0) for number in range(10)]
        most = max(
            sum(n for at, n in play if end - WINDOW_S < at <= end)
            for play in spent
            for end, _ in play
        )
        self.assertGreater(most, ALLOWANCE)

    def test_instances_never_use_more_than_the_allowance(self):
        seed = 20261204
        print(f"seed {seed}")
        used = 0
        for number in range(150):
            spent = self.play(random.Random(seed + number), 90.0)
            for end, _ in spent:
                window = sum(n for at, n in spent if end - WINDOW_S < at <= end)
                self.assertLessEqual(window, ALLOWANCE, f"play {number} at {end} s")
                used = max(used, window)
        self.assertGreater(used, ALLOWANCE / 2)


class State(NamedTuple):
    """Gateway, store and one read between them; times in seconds.

    Attributes
    ----------
    read : tuple of (float, int) or None
        When a read that is under way began, and the version that it will bring.
    """

    now: float
    catalogue: Catalogue
    revoked_at: float | None
    read: tuple[float, int] | None


class RevocationExploration(unittest.TestCase):
    """Every order of reads, losses, a revocation, waits and freezes."""

    EVENTS = ("ask", "answer", "lose", "revoke", "wait", "freeze")
    DEPTH = 8
    WAIT_S = 1.3

    def apply(self, state: State, event: str) -> State | None:
        """Let an event happen; None where it cannot."""
        now, catalogue, revoked_at, read = state
        version = 1 if revoked_at is None else 2
        if event == "ask":
            return state._replace(read=(now, version)) if read is None else None
        if event == "revoke":
            return state._replace(revoked_at=now) if revoked_at is None else None
        if event == "wait":
            return state._replace(now=now + self.WAIT_S)
        if event == "freeze":
            return state._replace(now=now + REVOKE_S + 1)
        if read is None:
            return None
        if event == "answer":
            asked_at, seen = read
            teams = {} if seen == 1 else {"teams": ()}
            catalogue.offer(make_configuration(seen, **teams))
            catalogue.confirm(asked_at)
        return state._replace(read=None)

    def check(self, state: State) -> None:
        """Ask whether the credential counts now."""
        table = state.catalogue.table
        if table is None or state.revoked_at is None:
            return
        accepted = table.team("key") and state.catalogue.credentials_trusted(state.now)
        late = state.now - state.revoked_at > REVOKE_S
        self.assertFalse(accepted and late, f"{state}")

    def explore(self, trust_s: float) -> int:
        """Play every order of events; give their number."""
        plays = 0
        for events in itertools.product(self.EVENTS, repeat=self.DEPTH):
            if events.count("revoke") != 1 or events[0] != "ask":
                continue
            state = State(0.0, Catalogue(trust_s), None, None)
            for event in events:
                state = self.apply(state, event)
                if state is None:
                    break
                self.check(state)
            else:
                plays += 1
        return plays

    def test_no_revoked_credential_counts_beyond_the_bound(self):
        plays = self.explore(REVOKE_S * TRUST_RATIO)
        print(f"{plays} plays")
        self.assertGreater(plays, 1000)

    def test_longer_trust_is_caught(self):
        with self.assertRaises(AssertionError):
            self.explore(REVOKE_S * 1.2)


if __name__ == "__main__":
    unittest.main()

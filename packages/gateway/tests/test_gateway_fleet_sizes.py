"""Tests that shared allowances hold for fleets of any size, without a network.

The patterns: all gateways start at once, more than half are killed and restarted in one
moment, a quarter more are added, and the store is away meanwhile.
"""

import asyncio
import logging
import random
import unittest

from gateway_builders import send_retry
from gateway_fleet import SharedTable

from slatehoist.gateway.registry import GATEWAYS, STALE_RENEWALS, InstanceRegistry
from slatehoist.gateway.settings import (
    REGISTRY_POLL_S,
    REGISTRY_PROPAGATION_S,
    REGISTRY_RENEWAL_S,
)
from slatehoist.routing import (
    AllowanceShare,
    Membership,
    RateShares,
    SharedRetryBudget,
)

WINDOW_S = 10.0
ALLOWANCE = 2000.0
#: Requests per second that an endpoint takes, and the users' rule on them: in 4 s, one
#: and a half times what the rate allows and 5 more.
RATE = 50.0
RATE_WINDOW_S = 4.0
MAX_IN_RATE_WINDOW = 1.5 * RATE * RATE_WINDOW_S + 5
STEP_S = 0.5
SIZES = (1, 2, 18, 45, 100, 300, 1000)


def setUpModule():
    logging.getLogger("slatehoist").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("slatehoist").setLevel(logging.NOTSET)


class FleetGateway:
    """Gateway that uses as much of each shared allowance as it may."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        self.name = name
        self._fleet = fleet
        self.allowance = AllowanceShare(WINDOW_S, REGISTRY_PROPAGATION_S)
        self.budget = SharedRetryBudget(0.0, ALLOWANCE, WINDOW_S)
        self.rates = RateShares(name, REGISTRY_PROPAGATION_S)
        self.rates.observe("e", RATE, fleet.now, fleet.now)
        self.registry = InstanceRegistry(
            fleet.table, name, self._record, lambda: fleet.now
        )
        # Processes do not all poll at the same time.
        self.next_count_at = fleet.now + fleet.rng.random()

    def _record(self, membership: Membership) -> None:
        now = self._fleet.now
        self.allowance.record_membership(membership, now)
        self.rates.set_members(membership.names, membership.joined_at, now)

    async def step(self) -> tuple[int, int]:
        """Return the retries, and the requests to the endpoint with a rate."""
        now = self._fleet.now
        if now >= self.next_count_at and not self._fleet.store_is_away:
            await self.registry.refresh()
            self.next_count_at = now + REGISTRY_POLL_S
        retries = requests = 0
        while send_retry(self.budget, now, self.allowance.fraction(now)):
            retries += 1
        while self.rates.free_at("e", now) <= now:
            self.rates.record_sent("e", now)
            requests += 1
        return retries, requests


class Fleet:
    """Gateways that share a store, and the allowances that they use together."""

    def __init__(self, size: int, seed: int = 1) -> None:
        self.now = 100.0
        self.rng = random.Random(seed)
        self.table = SharedTable()
        self.store_is_away = False
        self.used: list[tuple[float, int, int]] = []
        self.gateways = [FleetGateway(self, f"g{n}") for n in range(size)]

    def add(self, count: int) -> None:
        start = len(self.gateways)
        self.gateways += [FleetGateway(self, f"g{start + n}") for n in range(count)]

    def restart(self, ratio: float) -> None:
        """Restart some of the processes at once; their rows stay in the store."""
        for index in self.rng.sample(
            range(len(self.gateways)), round(len(self.gateways) * ratio)
        ):
            self.gateways[index] = FleetGateway(self, self.gateways[index].name)

    def run(self, seconds: float) -> None:
        asyncio.run(self._run(self.now + seconds))

    async def _run(self, until: float) -> None:
        while self.now < until:
            used = [await gateway.step() for gateway in self.gateways]
            retries, requests = (sum(column) for column in zip(*used, strict=True))
            self.used.append((self.now, retries, requests))
            self.now += STEP_S

    def most_used(self) -> tuple[int, int]:
        """Return the most retries and requests within their windows."""
        return tuple(
            max(
                sum(row[column] for row in self.used if end - length < row[0] <= end)
                for end, *_ in self.used
            )
            for column, length in ((1, WINDOW_S), (2, RATE_WINDOW_S))
        )


class FleetSizeTests(unittest.TestCase):
    def check(self, fleet: Fleet) -> None:
        retries, requests = fleet.most_used()
        self.assertLessEqual(retries, ALLOWANCE)
        self.assertLessEqual(requests, MAX_IN_RATE_WINDOW)

    def test_allowances_hold_while_all_start_at_once(self):
        for size in SIZES:
            with self.subTest(size=size):
                fleet = Fleet(size)
                fleet.run(24.0)
                self.check(fleet)
                # Each gateway has its share after 11 s and its second count at most.
                self.assertGreater(sum(row[1] for row in fleet.used), 0)

    def test_allowances_hold_while_most_restart_and_some_are_added(self):
        for size in (18, 45, 100, 300):
            with self.subTest(size=size):
                fleet = Fleet(size)
                fleet.run(24.0)
                fleet.restart(0.55)
                fleet.run(4.0)
                fleet.add(size // 4)
                fleet.restart(0.55)
                fleet.run(24.0)
                self.check(fleet)

    def test_allowances_hold_while_the_store_is_away(self):
        for size in (18, 100, 300):
            with self.subTest(size=size):
                fleet = Fleet(size)
                # The gateways know only some of the others when the store fails.
                fleet.run(1.0)
                fleet.store_is_away = True
                fleet.run(20.0)
                fleet.store_is_away = False
                fleet.run(24.0)
                fleet.store_is_away = True
                fleet.restart(0.55)
                fleet.run(14.0)
                self.check(fleet)

    def test_restarted_gateway_has_its_share_at_once(self):
        fleet = Fleet(45)
        fleet.run(24.0)
        fleet.restart(1.0)
        fleet.run(1.5)
        shares = [g.allowance.fraction(fleet.now) for g in fleet.gateways]
        self.assertEqual(set(shares), {0.5 / 45})


class RebootTests(unittest.IsolatedAsyncioTestCase):
    """Pattern: all gateways lose power at once.

    The boot clock of each gateway begins anew. The gateway's row remains in the store.
    """

    # Guards against a fleet without retries for 11 s and more after a power failure.
    async def test_rebooted_gateway_is_known_to_the_others(self):
        table, counts = SharedTable(), []
        table.store_time_s = 500.0
        now = 100.0
        await InstanceRegistry(table, "a", counts.append, lambda: now).refresh()
        self.assertEqual(counts[-1].joined_at, 100.0)
        table.store_time_s, now = 540.0, 5.0
        rebooted = InstanceRegistry(table, "a", counts.append, lambda: now)
        await rebooted.refresh()
        self.assertEqual((counts[-1].joined_at, counts[-1].previous_start), (-35, -35))
        table.store_time_s, now = 544.0, 2.0
        await InstanceRegistry(table, "a", counts.append, lambda: now).refresh()
        self.assertEqual((counts[-1].joined_at, counts[-1].previous_start), (-42, -2))

    async def test_time_that_the_store_has_not_reached_is_not_used(self):
        table, counts = SharedTable(), []
        table.store_time_s = 500.0
        await InstanceRegistry(table, "a", counts.append, lambda: 100.0).refresh()
        table.store_time_s = 20.0
        await InstanceRegistry(table, "a", counts.append, lambda: 5.0).refresh()
        self.assertEqual(counts[-1].joined_at, 5.0)


class StaleRowTests(unittest.IsolatedAsyncioTestCase):
    """Pattern: a gateway stands still between reading the rows and acting on them."""

    # Guards against the removal of a gateway that has renewed its row meanwhile. The
    # others would take over its shares, and it would use them as well.
    async def test_row_that_was_renewed_meanwhile_is_not_removed(self):
        now = 100.0
        table = SharedTable()
        registries = {
            name: InstanceRegistry(table, name, lambda _: None, lambda: now)
            for name in ("a", "b")
        }
        for registry in registries.values():
            await registry.refresh()
        await registries["a"].refresh()
        now += REGISTRY_RENEWAL_S * (STALE_RENEWALS + 1)
        transact = table.transact

        async def renew_before_removal(checks, writes):
            if any(write.value is None for write in writes):
                table.transact = transact
                await registries["b"].refresh()
            await transact(checks, writes)

        table.transact = renew_before_removal
        await registries["a"].refresh()
        rows = await table.scan(GATEWAYS)
        self.assertEqual([row.key for row in rows], ["a", "b"])


if __name__ == "__main__":
    unittest.main()

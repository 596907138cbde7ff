"""Tests of the registry in which gateways count each other."""

import unittest

from slatehoist.gateway.registry import GATEWAYS, STALE_RENEWALS, InstanceRegistry
from slatehoist.gateway.settings import REGISTRY_RENEWAL_S
from slatehoist.storage import MemoryTable, Write


class RegistryTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.now = 0.0
        self.table = MemoryTable()
        self.counts = []

    def make_registry(self, name):
        return InstanceRegistry(self.table, name, self.record, lambda: self.now)

    def record(self, membership):
        self.counts.append(membership.instances)
        self.membership = membership

    async def refresh(self, registry):
        await registry.refresh()

    async def test_all_instances_are_counted(self):
        for name in ("a", "b", "c"):
            await self.refresh(self.make_registry(name))
        self.assertEqual(self.counts, [1, 2, 3])

    async def test_restarted_instance_counts_once(self):
        for _ in range(3):
            self.now += 1.0
            await self.refresh(self.make_registry("a"))
            self.assertEqual(self.membership.joined_at, 1.0)
        self.assertEqual(self.membership.previous_start, 2.0)
        self.assertEqual(self.counts[-1], 1)

    async def test_instance_joins_again_after_a_reboot(self):
        self.now = 500.0
        await self.refresh(self.make_registry("a"))
        self.now = 3.0
        await self.refresh(self.make_registry("a"))
        self.assertEqual(self.membership.joined_at, 3.0)

    # Guards against shares of the retry allowance that are too large for a minute,
    # since the store came back from a copy without an instance's row.
    async def test_row_that_the_store_lost_is_written_again_with_the_next_count(self):
        registries = [self.make_registry(name) for name in ("a", "b")]
        for registry in registries:
            await self.refresh(registry)
        lost = Write(GATEWAYS, "b", None)
        older = Write(GATEWAYS, "a", {"renewals": 0})
        await self.table.transact([], [lost, older])
        for registry in registries:
            self.now += 1.0
            await self.refresh(registry)
        self.assertEqual(self.counts[-1], 2)
        row = await self.table.get(GATEWAYS, "a")
        self.assertEqual(row.value["joined_at"], 0.0)

    async def test_row_that_missed_its_renewals_is_removed(self):
        await self.refresh(self.make_registry("gone"))
        stays = self.make_registry("stays")
        await self.refresh(stays)
        for _ in range(STALE_RENEWALS + 1):
            self.now += REGISTRY_RENEWAL_S
            await self.refresh(stays)
        self.assertEqual(self.counts[-1], 1)
        self.assertIsNone(await self.table.get(GATEWAYS, "gone"))


if __name__ == "__main__":
    unittest.main()

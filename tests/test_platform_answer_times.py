"""Tests of clients whose ranks and store answer later than usual."""

import asyncio
import unittest

import aiohttp
from adapter.ranks import HttpRank
from adapter.store import PlatformTable
from aiohttp import web

from slatehoist.maps import Answer
from slatehoist.storage import PlatformError
from slatehoist_standins.deployment_store import DeploymentStore


class SlowRank:
    """Rank that carries orders out at once and answers after some seconds."""

    def __init__(self, answer_s: float) -> None:
        self._answer_s = answer_s
        self.orders = 0

    async def start(self) -> str:
        app = web.Application()
        app.router.add_post("/api/order", self._take_order)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0]
        return f"{host}:{port}"

    async def stop(self) -> None:
        await self._runner.cleanup()

    async def _take_order(self, req: web.Request) -> web.Response:
        self.orders += 1
        await asyncio.sleep(self._answer_s)
        return web.json_response({})


class SlowRankTests(unittest.IsolatedAsyncioTestCase):
    async def repeat_order(self, answer_s: float, is_local: bool) -> int:
        """Return the orders until one is answered."""
        rank = SlowRank(answer_s)
        address = await rank.start()
        self.addAsyncCleanup(rank.stop)
        async with aiohttp.ClientSession() as session:
            client = HttpRank(address, session, is_local)
            async with asyncio.timeout(10.0):
                while await client.hold(1, 5) is Answer.UNKNOWN:
                    await asyncio.sleep(0.01)
        return rank.orders

    # Guards against an order that is repeated for ever, as each one is given up before
    # the rank answers (RECOVER).
    async def test_order_is_answered_by_a_rank_that_is_slower_than_the_time_out(self):
        for answer_s in (0.05, 0.3):
            for is_local in (True, False):
                with self.subTest(answer_s=answer_s, is_local=is_local):
                    orders = await self.repeat_order(answer_s, is_local)
                    self.assertLess(orders, 20)


class SlowStoreTests(unittest.IsolatedAsyncioTestCase):
    # Guards against reads that never succeed while the store answers each call later
    # than the reader waits (RECOVER).
    async def test_store_that_is_slower_than_the_time_out_is_read(self):
        store = DeploymentStore()
        address = await store.start()
        self.addAsyncCleanup(store.stop)
        store.put("op", "config", {"version": 1})
        store.delay_s = 1.2
        async with aiohttp.ClientSession() as session:
            table = PlatformTable(address, session)
            async with asyncio.timeout(8.0):
                while True:
                    try:
                        row = await table.get("op", "config")
                        break
                    except PlatformError:
                        await asyncio.sleep(0.1)
            self.assertEqual(row.value, {"version": 1})
            # Writes and long polls wait as long as reads do by then.
            await table.transact([], [])
            feed = await table.changes("op", row.version, 0.2)
            self.assertEqual(feed.rows, [])


if __name__ == "__main__":
    unittest.main()

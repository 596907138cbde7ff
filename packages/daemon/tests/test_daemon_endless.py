"""Tests of endpoints, ranks and entries' stores whose answers come without end."""

import asyncio
import time
import unittest

import aiohttp

from builders import make_attempt
from endless_server import MAX_ACCEPTED_BYTES, EndlessServer
from slatehoist.daemon.sidecar.endpoints import (
    BrokenResponseError,
    EndpointDownError,
    make_endpoint,
)
from slatehoist.http import strict_connector
from slatehoist.storage import (
    HttpObjectStore,
    HttpTable,
    OutcomeUnknownError,
    StoreDownError,
)
from slatehoist_standins.deployment_server import ENDLESS

#: Seconds after which the tests give up an attempt, as the sidecar's deadline does.
DEADLINE_S = 2.0


class EndlessTestCase(unittest.IsolatedAsyncioTestCase):
    async def start_server(self, kind: str) -> EndlessServer:
        server = EndlessServer(kind)
        await server.start()
        self.addAsyncCleanup(server.stop)
        return server


class SidecarTests(EndlessTestCase):
    # Guards against a sidecar whose memory is used up by an endpoint that sends a head
    # or a body without end, or that reads such a response again and again.
    async def test_endless_response_is_broken_and_little_of_it_is_read(self):
        for endpoint_kind in ("plain", "engine"):
            for kind in ENDLESS:
                with self.subTest(endpoint=endpoint_kind, kind=kind):
                    await self.check_is_broken(endpoint_kind, kind)

    async def check_is_broken(self, endpoint_kind: str, kind: str) -> None:
        server = await self.start_server(kind)
        endpoint = make_endpoint(endpoint_kind, server.url, 1.0)
        self.addAsyncCleanup(endpoint.close)
        received = 0
        with self.assertRaises((BrokenResponseError, EndpointDownError, TimeoutError)):
            async with asyncio.timeout(DEADLINE_S):
                async for piece in endpoint.run(make_attempt(body=b"{}")):
                    received += len(piece) if isinstance(piece, bytes) else 0
                    # The runner of attempts stops at its buffer's limit.
                    if received > MAX_ACCEPTED_BYTES:
                        raise TimeoutError
        self.assertLess(server.sent_bytes, 3 * MAX_ACCEPTED_BYTES)

    async def test_endless_load_report_counts_as_missing(self):
        for kind in ENDLESS:
            with self.subTest(kind=kind):
                server = await self.start_server(kind)
                endpoint = make_endpoint("plain", server.url, 1.0)
                self.addAsyncCleanup(endpoint.close)
                self.assertIsNone(await endpoint.load())
                self.assertLess(server.sent_bytes, MAX_ACCEPTED_BYTES)


class StoreTests(EndlessTestCase):
    # Guards against a store whose answers without end fill the memory of its callers.
    async def test_endless_answers_of_stores_fail_and_little_of_them_is_read(self):
        for kind in ENDLESS:
            for client in (HttpTable, HttpObjectStore):
                with self.subTest(kind=kind, client=client.__name__):
                    await self.check_fails(client, kind)

    async def check_fails(self, client: type, kind: str) -> None:
        server = await self.start_server(kind)
        began = time.monotonic()
        session = aiohttp.ClientSession(connector=strict_connector())
        async with session:
            store = client(server.url, session, timeout_s=1.0)
            call = store.get("t", "k") if client is HttpTable else store.get("k")
            with self.assertRaises((StoreDownError, OutcomeUnknownError)):
                await call
        self.assertLess(time.monotonic() - began, 1.5)
        self.assertLess(server.sent_bytes, 2 * MAX_ACCEPTED_BYTES)


if __name__ == "__main__":
    unittest.main()

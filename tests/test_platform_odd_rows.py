"""Tests of rows that another writer left in the list of servers, and of odd answers."""

import logging
import unittest

import msgspec
from adapter.documents import MalformedError, read_endpoint
from adapter.ranks import HttpRank, PlatformGroups
from hypothesis import given
from hypothesis import strategies as st

from gateway_world import VALUES, GatewayTestCase
from scripted_session import ScriptedSession
from slatehoist.maps import RankUnreachableError
from slatehoist_standins.deployment_server import DeploymentServer
from slatehoist_standins.odd_rows import make_server_row, odd_server_rows


def setUpModule():
    logging.getLogger("slatehoist").setLevel(logging.CRITICAL)
    logging.getLogger("adapter").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("slatehoist").setLevel(logging.NOTSET)
    logging.getLogger("adapter").setLevel(logging.NOTSET)


class OddRowTests(GatewayTestCase):
    # Guards against a gateway or an agent that stops following the list, or ends again
    # and again, because of one odd row.
    async def test_odd_row_does_not_hide_the_other_servers(self):
        world = await self.start_world(["ok"])
        groups = PlatformGroups(world.source, world.servers[0].address, "app")
        for name, row in odd_server_rows().items():
            with self.subTest(row=name):
                world.store.put_bytes("servers", "i-odd", row)
                listed = await world.source.endpoints()
                self.assertEqual([e.endpoint_id for e in listed], ["i-0"])
                self.assertEqual(
                    await groups.peer_addresses(), [world.servers[0].address]
                )

    # Guards against requests that are lost at an entry which names no server.
    async def test_requests_are_answered_beside_odd_rows(self):
        world = await self.start_world(["ok"])
        for number, row in enumerate(odd_server_rows().values()):
            world.store.put_bytes("servers", f"i-odd-{number}", row)
        world.store.put("servers", "i-odd\r\nX: y", make_server_row())
        server = DeploymentServer("i-new")
        await server.start()
        world.servers.append(server)
        world.store.put("servers", server.server_id, server.row("app"))
        world.store.remove("servers", "i-0")
        await self.wait_until(lambda: self.listed(world) == ["i-new"])
        for _ in range(20):
            async with world.call("/unsafe/", "POST", data=b"x") as resp:
                self.assertEqual(resp.status, 200)
        failures = world.gateway._metrics.task_failures.collect()[0].samples
        self.assertEqual([sample.value for sample in failures], [])

    def listed(self, world) -> list[str]:
        """Return the ids of the servers that the gateway may choose."""
        directory = world.gateway.directory
        return [e.endpoint_id for e in directory.of_service("app", world.clock())]


class RankTests(unittest.IsolatedAsyncioTestCase):
    async def test_answer_that_is_nested_deeply_is_an_unreachable_rank(self):
        depth = 100_000
        body = b'{"step":' + b"[" * depth + b"]" * depth + b"}"
        session = ScriptedSession(200, body)
        session.get = session.request
        with self.assertRaises(RankUnreachableError):
            await HttpRank("10.0.0.1:80", session).report()


class ParserTests(unittest.TestCase):
    @given(
        st.sampled_from(["addr", "slots", "born", "coldLeftMs", "zone", "service"]),
        VALUES
        | st.integers()
        | st.integers(min_value=1 << 60, max_value=1 << 2000)
        | st.from_regex(r"[0-9a-f.:\[\]]{0,12}:[0-9]{1,6}", fullmatch=True),
    )
    def test_row_that_is_accepted_can_be_used_everywhere(self, field, value):
        try:
            endpoint = read_endpoint("i", make_server_row(**{field: value}))
        except MalformedError:
            return
        port = int(endpoint.address.rpartition(":")[2])
        self.assertTrue(0 < port < 65536, endpoint.address)
        self.assertGreaterEqual(float(endpoint.concurrency), 1.0)
        # Crash reports contain the run of an endpoint.
        msgspec.json.encode([endpoint.run_id, endpoint.started_at_ms])


if __name__ == "__main__":
    unittest.main()

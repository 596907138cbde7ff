"""Tests of the overview of gateways and agents, against the real metrics server."""

import contextlib
import io
import unittest

import cappa

from slatehoist.cli.fleet import process_row, read_processes, summarize
from slatehoist.cli.main import EXIT_UNREACHABLE, Operator
from slatehoist.observe import AgentMetrics, GatewayMetrics, serve_metrics


class FleetTests(unittest.IsolatedAsyncioTestCase):
    async def serve(self, metrics) -> str:
        runner = await serve_metrics(metrics.registry, "127.0.0.1", 0, "/metrics")
        self.addAsyncCleanup(runner.cleanup)
        host, port = runner.addresses[0]
        return f"{host}:{port}"

    async def start_gateway(self, version: int) -> str:
        metrics = GatewayMetrics()
        metrics.config_version.set(version)
        metrics.config_age.set(0.4)
        for service, count in (("app", 3), ("llm", 12)):
            metrics.endpoints.labels(service).set(count)
        return await self.serve(metrics)

    async def start_agent(self, leads: bool) -> str:
        metrics = AgentMetrics()
        metrics.leads.set(leads)
        metrics.peers.set(12)
        metrics.skew.set(1.25)
        return await self.serve(metrics)

    async def test_summary_and_rows_show_gateways_and_agents(self):
        addresses = [
            await self.start_gateway(7),
            await self.start_gateway(7),
            await self.start_gateway(5),
            await self.start_agent(True),
            await self.start_agent(False),
        ]
        processes = await read_processes(addresses)
        summary = summarize(processes)
        self.assertEqual(
            (summary["configuration"], summary["in_force"], summary["gateways"]),
            (7, 2, 3),
        )
        self.assertEqual(summary["leaders"], [addresses[3]])
        self.assertEqual(summary["unread"], {})
        rows = [process_row(process)[1:] for process in processes]
        self.assertEqual(rows[0], ["gateway", "7", "0.4 s", "15", "", ""])
        self.assertEqual(rows[3], ["agent", "", "", "", "12 ranks, leads", "1.25"])
        self.assertEqual(rows[4], ["agent", "", "", "", "12 ranks", ""])

    async def test_process_that_cannot_be_read_is_listed(self):
        gateway = await self.start_gateway(7)
        processes = await read_processes([gateway, "127.0.0.1:1"])
        summary = summarize(processes)
        self.assertEqual(list(summary["unread"]), ["127.0.0.1:1"])
        self.assertEqual(process_row(processes[1])[:2], ["127.0.0.1:1", "?"])


class CommandTests(unittest.TestCase):
    def test_unreachable_process_fails_the_command(self):
        out, err = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
            self.assertRaises(SystemExit) as caught,
        ):
            cappa.invoke(Operator, argv=["fleet", "127.0.0.1:1"])
        self.assertEqual(caught.exception.code, EXIT_UNREACHABLE)
        self.assertIn("no gateway was read", out.getvalue())
        self.assertIn("not read: 127.0.0.1:1", err.getvalue())


if __name__ == "__main__":
    unittest.main()

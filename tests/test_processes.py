"""Tests of running processes through their public interfaces and their traces."""

import asyncio
import json
import unittest

from aiohttp import web
from opentelemetry.proto.collector.trace.v1 import trace_service_pb2

from slatehoist_standins.fleet import Fleet, bearer, free_port

ROUTER = bearer("andina-router")


class Collector:
    """OTLP collector that keeps the name and trace id of each span."""

    def __init__(self) -> None:
        self.spans: list[tuple[str, str]] = []

    async def start(self) -> str:
        app = web.Application()
        app.router.add_post("/v1/traces", self.receive_spans)
        self.runner = web.AppRunner(app)
        await self.runner.setup()
        port = free_port()
        await web.TCPSite(self.runner, "127.0.0.1", port).start()
        return f"http://127.0.0.1:{port}/v1/traces"

    async def receive_spans(self, req: web.Request) -> web.Response:
        message = trace_service_pb2.ExportTraceServiceRequest()
        message.ParseFromString(await req.read())
        for resource in message.resource_spans:
            for scope in resource.scope_spans:
                self.spans += [(s.name, s.trace_id.hex()) for s in scope.spans]
        return web.Response()

    def span_names(self, trace: str) -> set[str]:
        return {name for name, trace_id in self.spans if trace_id == trace}


class ProcessTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.collector = Collector()
        otlp = await self.collector.start()
        self.fleet = await Fleet().__aenter__()
        await self.fleet.start_platform()
        observe = {"otlp": otlp, "sample": 1.0}
        self.entry = await self.fleet.start_entry(
            "entry-0", observe=observe, caller={"max_body_bytes": 20000}
        )
        url = await self.fleet.start_standin("engine", "engine")
        endpoint = {"name": "llm", "url": url}
        await self.fleet.start_sidecar("sidecar-0", endpoint, observe=observe)
        spec = {"models": ["m"], "members": ["andina"]}
        await self.fleet.declare(self.entry, "endpoint", "llm", spec)
        await self.fleet.wait_for_sidecars(self.entry, 1)

    async def asyncTearDown(self):
        await self.fleet.__aexit__()
        await self.collector.runner.cleanup()

    async def call(self, method, path, headers=ROUTER, **kwargs):
        url = f"http://{self.entry.http}{path}"
        async with self.fleet.session.request(
            method, url, headers=headers, **kwargs
        ) as resp:
            text = await resp.text()
            return resp.status, json.loads(text), resp.headers

    async def test_running_processes_pass_the_interface_checks(self):
        for check in (
            self.check_bad_input,
            self.check_members_are_isolated,
            self.check_preconditions,
            self.check_team_quota,
            self.check_trace_covers_all_hops,
        ):
            with self.subTest(check=check.__name__):
                await check()

    async def check_bad_input(self):
        path = "/v1/completions"
        cases = [
            (400, "bad_json", {"data": b"{"}),
            (400, "bad_json", {"data": b"\xff\xfe"}),
            (400, "bad_json", {"json": {"prompt": "x"}}),
            (400, "bad_json", {"json": {"model": "m", "max_tokens": "many"}}),
            (404, "unknown_model", {"json": {"model": "none"}}),
            (413, "too_large", {"data": b"x" * 30000}),
        ]
        for expected_status, code, kwargs in cases:
            status, body, _ = await self.call("POST", path, **kwargs)
            self.assertEqual((status, body["error"]["code"]), (expected_status, code))
            self.assertEqual(body["error"]["ran"], "no")
        status, body, _ = await self.call("POST", path, headers=bearer("nobody"))
        self.assertEqual((status, body["error"]["code"]), (401, "unauthorized"))
        headers = {**ROUTER, "Slatehoist-Timeout": "-1"}
        status, body, _ = await self.call(
            "POST", path, headers=headers, json={"model": "m"}
        )
        self.assertEqual((status, body["error"]["code"]), (400, "bad_timeout"))

    async def check_members_are_isolated(self):
        other = bearer("tejoverde-operator")
        path = "/api/v1/endpoint/llm"
        status, _, _ = await self.call("GET", path, headers=other)
        self.assertEqual(status, 404)
        status, _, _ = await self.call("PUT", path, headers=other, json={})
        self.assertEqual(status, 403)
        status, _, _ = await self.call("DELETE", path, headers=other)
        self.assertEqual(status, 403)
        status, _, _ = await self.call("PUT", path, json={})
        self.assertEqual(status, 403, "the token is not an operator's")
        body = {"model": "m", "prompt": "x"}
        permits = bearer("tejoverde-permits")
        status, _, _ = await self.call(
            "POST", "/v1/completions", headers=permits, json=body
        )
        self.assertEqual(status, 404)

    async def check_preconditions(self):
        operator = bearer("andina-operator")
        path = "/api/v1/team/scheduling"
        status, first, headers = await self.call(
            "PUT", path, headers=operator, json={"weight": 1.0}
        )
        self.assertEqual(status, 200)
        stale = {**operator, "If-Match": headers["ETag"]}
        await self.call("PUT", path, headers=operator, json={"weight": 2.0})
        status, conflict, _ = await self.call(
            "PUT", path, headers=stale, json={"weight": 3}
        )
        self.assertEqual(status, 412)
        self.assertEqual(conflict["current"]["spec"]["weight"], 2.0)
        status, invalid, _ = await self.call(
            "PUT", path, headers=operator, json={"weight": -1, "colour": 1}
        )
        self.assertEqual(status, 422)
        self.assertEqual(len(invalid["error"]["findings"]), 2)

    async def check_team_quota(self):
        await self.fleet.declare(
            self.entry, "team", "router", {"rate_per_s": 3.0}, "andina"
        )
        body = {"model": "m", "prompt": "x", "max_tokens": 1}
        answers = [
            await self.call("POST", "/v1/completions", json=body) for _ in range(12)
        ]
        refused = [a for a in answers if a[0] == 429]
        self.assertTrue(refused)
        self.assertIn("Retry-After", refused[0][2])
        self.assertEqual(refused[0][1]["error"]["ran"], "no")
        await self.fleet.declare(
            self.entry, "team", "router", {"rate_per_s": 1000.0}, "andina"
        )
        await asyncio.sleep(1.5)

    async def check_trace_covers_all_hops(self):
        body = {"model": "m", "prompt": "traced", "max_tokens": 3}
        status, _, headers = await self.call("POST", "/v1/completions", json=body)
        self.assertEqual(status, 200)
        trace = headers["Slatehoist-Trace"]
        expected_spans = {
            "entry.request",
            "entry.select",
            "entry.link",
            "sidecar.attempt",
            "sidecar.queue",
            "endpoint.run",
        }
        for _ in range(100):
            if expected_spans <= self.collector.span_names(trace):
                break
            await asyncio.sleep(0.1)
        self.assertLessEqual(expected_spans, self.collector.span_names(trace))
        self.assertIn(trace, self.fleet.read_log("sidecar-0"))

"""Counters and latency histograms, served as text for Prometheus.

Every metric of the gateway and the agent is listed here; `tools/make_reference.py`
writes the page from this list.
"""

from collections.abc import Callable

from aiohttp import web
from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

#: Upper bounds of the latency buckets in seconds: around the objectives of today's
#: routes (0.15 to 0.4 s) and up to their deadlines (8 s).
LATENCY_BUCKETS_S = (0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)


class GatewayMetrics:
    """Metrics of one gateway."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        made = {"registry": self.registry}
        self.attempts = Counter(
            "slatehoist_attempts",
            "Requests sent to endpoints, by how that ended.",
            ["outcome"],
            **made,
        )
        self.answers = Counter(
            "slatehoist_answers",
            "Final answers to callers, by status and by who gave them.",
            ["status", "source"],
            **made,
        )
        self.first_byte = Histogram(
            "slatehoist_first_byte_seconds",
            "Seconds from a request to the head of its answer.",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            **made,
        )
        self.duration = Histogram(
            "slatehoist_request_seconds",
            "Seconds from a request to the end of its answer.",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            **made,
        )
        self.moved_streams = Counter(
            "slatehoist_moved_streams",
            "Streams moved away from an endpoint that held up its group.",
            **made,
        )
        self.config_version = Gauge(
            "slatehoist_configuration_version", "Configuration in force.", **made
        )
        self.config_age = Gauge(
            "slatehoist_configuration_age_seconds",
            "Seconds since the configuration was last known to be the newest.",
            **made,
        )
        self.endpoints = Gauge(
            "slatehoist_endpoints",
            "Endpoints that take new work, by service.",
            ["service"],
            **made,
        )


class AgentMetrics:
    """Metrics of one agent."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        made = {"registry": self.registry}
        self.leads = Gauge(
            "slatehoist_group_leads", "Whether this agent leads its group.", **made
        )
        self.peers = Gauge(
            "slatehoist_group_peers", "Ranks of the group that are heard.", **made
        )
        self.skew = Gauge(
            "slatehoist_map_skew",
            "Load of the most loaded rank over the mean, as last estimated.",
            **made,
        )
        self.demand_age = Gauge(
            "slatehoist_demand_age_seconds",
            "Seconds since choices of experts were last heard.",
            **made,
        )
        self.switches = Counter(
            "slatehoist_map_switches",
            "Switches of the expert map, by how they ended.",
            ["result"],
            **made,
        )
        self.copies = Counter(
            "slatehoist_expert_copies",
            "Copies of experts that plans asked for.",
            **made,
        )
        self.settled = Counter(
            "slatehoist_switches_settled",
            "Switches of other coordinators that were settled, by what became of them.",
            ["settlement"],
            **made,
        )


async def serve_metrics(
    registry: CollectorRegistry,
    host: str,
    port: int,
    path: str,
    refresh: Callable[[], None] = lambda: None,
) -> web.AppRunner:
    """Serve a registry as text.

    Parameters
    ----------
    refresh : callable
        Called before each answer to set gauges that age.
    """

    async def answer(req: web.Request) -> web.Response:
        refresh()
        body = generate_latest(registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})

    app = web.Application()
    app.router.add_get(path, answer)
    runner = web.AppRunner(app, access_log=None, handle_signals=False)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner

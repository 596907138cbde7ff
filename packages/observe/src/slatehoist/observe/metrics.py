"""Counters and latency histograms, served as text for Prometheus.

All metrics of the gateway and the agent are defined here; `tools/make_reference.py`
generates the reference page from these definitions.
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

#: Upper bounds of the latency buckets in seconds: dense around the latency objectives
#: of the current routes (0.15 to 0.4 s), and up to their deadlines (8 s).
LATENCY_BUCKETS_S = (0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)


class GatewayMetrics:
    """Metrics of one gateway."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        kwargs = {"registry": self.registry}
        self.attempts = Counter(
            "slatehoist_attempts",
            "Requests sent to endpoints, by outcome.",
            ["outcome"],
            **kwargs,
        )
        self.retries = Counter(
            "slatehoist_retries",
            "Retries that routes allow, by result (reserved in the retry budget of the"
            " service, or over_budget and not sent).",
            ["result"],
            **kwargs,
        )
        self.answers = Counter(
            "slatehoist_answers",
            "Final answers to callers, by status and by source (endpoint or gateway).",
            ["status", "source"],
            **kwargs,
        )
        self.first_byte = Histogram(
            "slatehoist_first_byte_seconds",
            "Seconds from a request to the head of its answer.",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            **kwargs,
        )
        self.duration = Histogram(
            "slatehoist_request_seconds",
            "Seconds from a request to the end of its answer.",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            **kwargs,
        )
        self.moved_streams = Counter(
            "slatehoist_moved_streams",
            "Streams moved away from an endpoint that delayed its group.",
            **kwargs,
        )
        self.reply_ends = Counter(
            "slatehoist_reply_ends",
            "Responses of endpoints, by what marks their end and by outcome.",
            ["framing", "outcome"],
            **kwargs,
        )
        self.endpoint_holds = Counter(
            "slatehoist_endpoint_holds",
            "Times that an endpoint asked for no requests, by reason.",
            ["reason"],
            **kwargs,
        )
        self.evacuated_zones = Gauge(
            "slatehoist_evacuated_zones",
            "Availability zones that are evacuated.",
            **kwargs,
        )
        self.zone_changes = Counter(
            "slatehoist_zone_changes",
            "Times that a zone was read as evacuated or restored.",
            ["change"],
            **kwargs,
        )
        self.unplaced_requests = Counter(
            "slatehoist_unplaced_requests",
            "Requests refused without an endpoint, by cause (regions or evacuation).",
            ["cause"],
            **kwargs,
        )
        self.cold_starts = Counter(
            "slatehoist_cold_starts",
            "Times that an endpoint became cold, by what showed it.",
            ["reason"],
            **kwargs,
        )
        self.cold_limited_requests = Counter(
            "slatehoist_cold_limited_requests",
            "Requests to services with a cold rate, by state of the endpoint (cold,"
            " warm) or as beyond_share, after this gateway used up its share.",
            ["state"],
            **kwargs,
        )
        self.admissions = Counter(
            "slatehoist_admissions",
            "Requests of model services, by result (admitted, rejected).",
            ["result"],
            **kwargs,
        )
        self.lost_requests = Counter(
            "slatehoist_lost_requests",
            "Attempts that ended without a complete answer, by how they ended.",
            ["outcome"],
            **kwargs,
        )
        self.crash_reports = Counter(
            "slatehoist_crash_reports",
            "Reports of requests in crashes, by reporter (own or other gateway).",
            ["reporter"],
            **kwargs,
        )
        self.blocked_requests = Counter(
            "slatehoist_blocked_requests",
            "Requests refused because they crashed too many endpoints.",
            **kwargs,
        )
        self.part_events = Counter(
            "slatehoist_prompt_part_events",
            "Prompt parts that were convicted, cleared or tried, at this gateway.",
            ["event"],
            **kwargs,
        )
        self.endpoint_choices = Counter(
            "slatehoist_endpoint_choices",
            "Choices where load is spread evenly, by rule (allocated: by slots that"
            " agents allocated to this gateway; estimated: by estimated free slots).",
            ["rule"],
            **kwargs,
        )
        self.allocated_slots = Gauge(
            "slatehoist_allocated_slots",
            "Slots that agents have allocated to this gateway and that are unused.",
            ["service"],
            **kwargs,
        )
        self.task_failures = Counter(
            "slatehoist_task_failures",
            "Times that a background task failed and was started again, by task.",
            ["task"],
            **kwargs,
        )
        self.config_version = Gauge(
            "slatehoist_configuration_version",
            "Version of the configuration in force.",
            **kwargs,
        )
        self.config_age = Gauge(
            "slatehoist_configuration_age_seconds",
            "Seconds since the configuration was last confirmed to be the newest.",
            **kwargs,
        )
        self.store_eras = Gauge(
            "slatehoist_store_era_changes",
            "Times that the store was seen to come back from an older copy.",
            **kwargs,
        )
        self.cold_endpoints = Gauge(
            "slatehoist_cold_endpoints",
            "Endpoints that are known to be cold.",
            **kwargs,
        )
        self.kept_endpoints = Gauge(
            "slatehoist_kept_endpoints",
            "Endpoints that the last list lacks, kept since it was just unavailable.",
            **kwargs,
        )
        self.endpoints = Gauge(
            "slatehoist_endpoints",
            "Endpoints that accept new requests, by service.",
            ["service"],
            **kwargs,
        )


class AgentMetrics:
    """Metrics of one agent."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        kwargs = {"registry": self.registry}
        self.leads = Gauge(
            "slatehoist_group_leads",
            "1 if this agent leads its group, else 0.",
            **kwargs,
        )
        self.peers = Gauge(
            "slatehoist_group_peers",
            "Ranks of the group whose last report is recent.",
            **kwargs,
        )
        self.allocated_slots = Counter(
            "slatehoist_rank_allocated_slots",
            "Free slots of the rank that were allocated to gateways.",
            **kwargs,
        )
        self.skew = Gauge(
            "slatehoist_map_skew",
            "Load of the most loaded rank divided by the mean load, as last estimated.",
            **kwargs,
        )
        self.demand_age = Gauge(
            "slatehoist_demand_age_seconds",
            "Seconds since expert choices were last received.",
            **kwargs,
        )
        self.switches = Counter(
            "slatehoist_map_switches",
            "Switches of the expert map, by result.",
            ["result"],
            **kwargs,
        )
        self.copies = Counter(
            "slatehoist_expert_copies",
            "Expert copies that plans required.",
            **kwargs,
        )
        self.settled = Counter(
            "slatehoist_switches_settled",
            "Unfinished switches of other coordinators, by how they were settled.",
            ["settlement"],
            **kwargs,
        )


async def serve_metrics(
    registry: CollectorRegistry,
    host: str,
    port: int,
    path: str,
    refresh: Callable[[], None] = lambda: None,
) -> web.AppRunner:
    """Serve a registry over HTTP in the Prometheus text format.

    Parameters
    ----------
    path : str
        Path of the URL.
    refresh : callable
        Called before each response, to set gauges such as ages.
    """

    async def handle(req: web.Request) -> web.Response:
        refresh()
        body = generate_latest(registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})

    app = web.Application()
    app.router.add_get(path, handle)
    runner = web.AppRunner(app, access_log=None, handle_signals=False)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner

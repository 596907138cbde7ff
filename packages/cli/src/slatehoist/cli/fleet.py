"""Overview of running gateways and agents, collected from their metrics."""

import asyncio
from collections.abc import Mapping
from typing import Any, NamedTuple

import aiohttp
from prometheus_client.parser import text_string_to_metric_families

from slatehoist.http import read_body, strict_connector

#: Timeout for reading the metrics of one process, in seconds; a partitioned instance
#: never answers.
TIMEOUT_S = 2.0
#: Largest answer with the metrics of a process, in bytes.
MAX_METRICS_BYTES = 4 * 1024 * 1024
METRICS_PATH = "/metrics"

_VERSION = "slatehoist_configuration_version"
_CONFIG_AGE = "slatehoist_configuration_age_seconds"
_ENDPOINTS = "slatehoist_endpoints"
_LEADS = "slatehoist_group_leads"
_PEERS = "slatehoist_group_peers"
_SKEW = "slatehoist_map_skew"


class Process(NamedTuple):
    """Metrics of one process.

    Attributes
    ----------
    values : mapping of str to float
        Values by metric name; samples that differ only in labels are added up.
    problem : str
        Reason why the metrics could not be read, or empty.
    """

    address: str
    values: Mapping[str, float]
    problem: str = ""

    @property
    def role(self) -> str:
        """Return the role, ``gateway`` or ``agent``, or ``?`` if it is unknown."""
        if _VERSION in self.values:
            return "gateway"
        return "agent" if _LEADS in self.values else "?"


async def read_processes(addresses: list[str]) -> list[Process]:
    """Read the metrics of all processes concurrently."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(
        connector=strict_connector(), timeout=timeout
    ) as session:
        return list(
            await asyncio.gather(*(_read_process(session, a) for a in addresses))
        )


async def _read_process(session: aiohttp.ClientSession, address: str) -> Process:
    try:
        async with session.get(f"http://{address}{METRICS_PATH}") as resp:
            if resp.status != 200:
                return Process(address, {}, f"status {resp.status}")
            return Process(
                address,
                parse_metrics((await read_body(resp, MAX_METRICS_BYTES)).decode()),
            )
    except (TimeoutError, aiohttp.ClientError, ValueError) as exc:
        return Process(address, {}, str(exc) or type(exc).__name__)


def parse_metrics(text: str) -> dict[str, float]:
    """Return the sum of the samples of each metric.

    Raises
    ------
    ValueError
        If the text is not in the Prometheus text format.
    """
    values: dict[str, float] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            values[sample.name] = values.get(sample.name, 0.0) + sample.value
    return values


def summarize(processes: list[Process]) -> dict[str, Any]:
    """Summarize configuration versions, leaders and processes that were not read."""
    gateways = [p for p in processes if p.role == "gateway"]
    agents = [p for p in processes if p.role == "agent"]
    newest = max((p.values[_VERSION] for p in gateways), default=-1.0)
    current = [p for p in gateways if p.values[_VERSION] == newest]
    return {
        "configuration": int(newest),
        "in_force": len(current),
        "gateways": len(gateways),
        "agents": len(agents),
        "leaders": [p.address for p in agents if p.values[_LEADS]],
        "unread": {p.address: p.problem for p in processes if p.role == "?"},
    }


FLEET_HEADS = ("ADDRESS", "ROLE", "CONFIGURATION", "AGE", "ENDPOINTS", "GROUP", "SKEW")


def process_row(process: Process) -> list[str]:
    """Return the table row of a process."""
    if process.role == "?":
        problem = process.problem or "no metrics of a gateway or an agent"
        return [process.address, "?", problem, "", "", "", ""]
    values = process.values
    if process.role == "gateway":
        return [
            process.address,
            "gateway",
            str(int(values[_VERSION])),
            f"{values.get(_CONFIG_AGE, float('nan')):.1f} s",
            str(int(values.get(_ENDPOINTS, 0))),
            "",
            "",
        ]
    group = f"{int(values.get(_PEERS, 0))} ranks"
    if values[_LEADS]:
        return [
            process.address,
            "agent",
            *("", "", ""),
            f"{group}, leads",
            f"{values.get(_SKEW, 0.0):.2f}",
        ]
    return [process.address, "agent", "", "", "", group, ""]

"""Metrics sent over statsd; `Metric` and the reference page list all names."""

from enum import StrEnum

import statsd


class Metric(StrEnum):
    """Names of the metrics, below ``slatehoist.``."""

    REQUESTS = "entry.requests"
    REFUSED = "entry.refused"
    RETRIES = "entry.retries"
    UNKNOWN = "entry.outcome_unknown"
    FIRST_TOKEN_MS = "entry.first_token_ms"
    REQUEST_MS = "entry.request_ms"
    SHED = "sidecar.shed"
    QUEUE = "sidecar.queue"
    RUNNING = "sidecar.running"
    LIMIT = "sidecar.limit"
    STEP_MS = "sidecar.step_ms"
    CRASHES = "sidecar.crashes"
    REVISION = "config.revision"
    MAP_SWITCHES = "group.map_switches"


class Metrics:
    """Client that sends metrics over statsd; does nothing without an address.

    Parameters
    ----------
    address : str
        ``host:port`` of a statsd server, or "" to send nothing.
    """

    def __init__(self, address: str) -> None:
        self._client = None
        if address:
            host, _, port = address.rpartition(":")
            self._client = statsd.StatsClient(host, int(port), prefix="slatehoist")

    def count(self, metric: Metric, label: str = "", amount: int = 1) -> None:
        """Increment a counter; a label becomes the last part of its name."""
        if self._client is not None:
            self._client.incr(_name(metric, label), amount)

    def gauge(self, metric: Metric, value: float, label: str = "") -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(_name(metric, label), value)

    def timing(self, metric: Metric, seconds: float, label: str = "") -> None:
        """Record a duration."""
        if self._client is not None:
            self._client.timing(_name(metric, label), seconds * 1000)


def _name(metric: Metric, label: str) -> str:
    return f"{metric}.{label.replace('.', '_')}" if label else str(metric)

"""Event logs and metrics of the processes."""

from slatehoist.observe.logs import BoundedHandler, configure_logging, milliseconds
from slatehoist.observe.metrics import AgentMetrics, GatewayMetrics, serve_metrics
from slatehoist.observe.stages import StartStages

__all__ = [
    "AgentMetrics",
    "BoundedHandler",
    "GatewayMetrics",
    "StartStages",
    "configure_logging",
    "milliseconds",
    "serve_metrics",
]

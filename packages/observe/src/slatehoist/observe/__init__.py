"""Event logs and metrics of the processes."""

from slatehoist.observe.logs import BoundedHandler, configure_logging

__all__ = ["BoundedHandler", "configure_logging"]

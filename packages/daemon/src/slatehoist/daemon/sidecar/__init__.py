"""Sidecar: proxy that forwards all requests to the endpoint beside it."""

from slatehoist.daemon.sidecar.process import SidecarProcess

__all__ = ["SidecarProcess"]

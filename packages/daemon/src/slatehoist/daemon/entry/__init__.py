"""Entry: callers' HTTP, the resource API, and all decisions on where work goes."""

from slatehoist.daemon.entry.process import EntryProcess

__all__ = ["EntryProcess"]

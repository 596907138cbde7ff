"""Exceptions of the internal protocol."""


class WireError(Exception):
    """Raised for data that violates the internal protocol."""


class LinkDownError(WireError):
    """Raised if a link is not connected or a question was not answered in time."""

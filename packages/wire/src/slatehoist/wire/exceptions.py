"""Errors raised by the inner protocol."""


class WireError(Exception):
    """Report bytes or a message that break the inner protocol."""


class LinkDownError(WireError):
    """Report that a link has no live peer, or that a question got no answer."""

"""Errors of the platform's services."""


class PlatformError(Exception):
    """Base class of all errors of the platform's services."""


class StoreDownError(PlatformError):
    """Report that a service refused a call, which therefore had no effect."""


class OutcomeUnknownError(PlatformError):
    """Report a write whose answer was lost: it took effect, or may later, or never."""


class ConflictError(PlatformError):
    """Report that a check of a transaction failed and nothing was written.

    Attributes
    ----------
    keys : list of tuple of (str, str)
        Table and key of each failed check.
    """

    def __init__(self, keys: list[tuple[str, str]]) -> None:
        super().__init__(f"conflict on {keys}")
        self.keys = keys


class HistoryLostError(PlatformError):
    """Report that the service no longer has the changes since a version."""

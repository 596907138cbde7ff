"""Errors of the platform's services."""


class PlatformError(Exception):
    """Base class of all errors of the platform's services."""


class StoreDownError(PlatformError):
    """Raised for a call without effect: the service refused it or was not reached.

    A read that got no answer raises this error too.
    """


class OutcomeUnknownError(PlatformError):
    """Raised for a write without an answer: it may have taken effect or still may."""


class ConflictError(PlatformError):
    """Raised if a check of a transaction failed and nothing was written.

    Attributes
    ----------
    keys : list of tuple of (str, str)
        Table and key of each failed check.
    """

    def __init__(self, keys: list[tuple[str, str]]) -> None:
        super().__init__(f"conflict on {keys}")
        self.keys = keys


class HistoryLostError(PlatformError):
    """Raised if the service no longer has the changes since a version."""

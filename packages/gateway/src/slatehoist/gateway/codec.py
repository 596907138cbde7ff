"""Interfaces to the platform, which the adapter implements."""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from multidict import CIMultiDict

from slatehoist.gateway.model import Configuration, Endpoint, ReplyInfo, RequestInfo


class Forwarding(NamedTuple):
    """Values that the gateway sets in the headers of a forwarded request.

    Attributes
    ----------
    deadline_s : float
        Seconds until the deadline of the request.
    team : str
        Empty if the request needs no credential.
    last_event_id : str
        Event after which the stream continues; empty to start at its beginning.
    priority : int or None
        Urgency that the endpoint admits the request with, 0 first; None to state none.
    """

    endpoint_id: str
    deadline_s: float
    team: str
    last_event_id: str
    priority: int | None = None


class HeaderCodec(Protocol):
    """Read and write the platform's HTTP headers."""

    def read_request(self, headers: Mapping[str, str]) -> RequestInfo:
        """Return the fields of a caller's request."""

    def request_headers(
        self, headers: Mapping[str, str], forwarding: Forwarding
    ) -> CIMultiDict[str]:
        """Return the headers of the request to an endpoint."""

    def read_reply(self, status: int, headers: Mapping[str, str]) -> ReplyInfo:
        """Return the fields of an endpoint's response."""

    def reply_headers(self, headers: Mapping[str, str]) -> CIMultiDict[str]:
        """Return the headers of an endpoint's response that the caller gets."""

    def own_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> CIMultiDict[str]:
        """Return the headers of a response that the gateway itself creates."""


class OperatorUpdate(NamedTuple):
    """What operators have written to the store.

    Attributes
    ----------
    cfg : Configuration or None
        Newest configuration; None if there is none, or none that is usable.
    version : int
        Version of the store up to which all changes are included.
    evacuated : frozenset of str
        Zones that are evacuated.
    restored : frozenset of str
        Zones that are no longer evacuated.
    """

    cfg: Configuration | None
    version: int
    evacuated: frozenset[str] = frozenset()
    restored: frozenset[str] = frozenset()


class DeploymentSource(Protocol):
    """Read the configuration and the endpoints from the platform's store."""

    async def configuration(self) -> OperatorUpdate:
        """Return the newest configuration and all evacuated zones."""

    async def next_configuration(self, since: int, wait_s: float) -> OperatorUpdate:
        """Wait for changes since a version of the store, and return them.

        Nothing has changed if the wait ends first.
        """

    async def endpoints(self) -> list[Endpoint]:
        """Return the listed endpoints."""

    @property
    def call_timeout_s(self) -> float:
        """Return the seconds that a read may take beyond the wait that it requests."""

    @property
    def era(self) -> int:
        """Return a number that rises each time that the store goes back to a copy."""

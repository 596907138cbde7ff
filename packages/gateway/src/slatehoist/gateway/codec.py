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


class DeploymentSource(Protocol):
    """Read the configuration and the endpoints from the platform's store."""

    async def configuration(self) -> tuple[Configuration | None, int]:
        """Return the newest configuration, or None, and the store's version."""

    async def next_configuration(
        self, since: int, wait_s: float
    ) -> tuple[Configuration | None, int]:
        """Wait for a configuration newer than a version of the store.

        Return None for the configuration if there is none when the wait ends.
        """

    async def endpoints(self) -> list[Endpoint]:
        """Return the listed endpoints."""

    @property
    def era(self) -> int:
        """Return a number that rises each time that the store goes back to a copy."""

"""Interface to what speaks the deployment's wire."""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from multidict import CIMultiDict

from slatehoist.gateway.model import Configuration, Endpoint, ReplyInfo, RequestInfo


class Forwarding(NamedTuple):
    """What is set on a request before it goes to an endpoint.

    Attributes
    ----------
    deadline_s : float
        Seconds that are left.
    team : str
        Empty if the route is public.
    last_event_id : str
        Event after which a stream goes on; empty for its start.
    """

    endpoint_id: str
    deadline_s: float
    team: str
    last_event_id: str


class HeaderCodec(Protocol):
    """Reads and writes the headers of the deployment's wire."""

    def read_request(self, headers: Mapping[str, str]) -> RequestInfo:
        """Read what a caller states."""

    def request_headers(
        self, headers: Mapping[str, str], forwarding: Forwarding
    ) -> CIMultiDict[str]:
        """Give the headers of the request to an endpoint."""

    def read_reply(self, status: int, headers: Mapping[str, str]) -> ReplyInfo:
        """Read what an endpoint states."""

    def reply_headers(self, headers: Mapping[str, str]) -> CIMultiDict[str]:
        """Give the headers of an endpoint's response that go to the caller."""

    def own_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> CIMultiDict[str]:
        """Give the headers of a response that the gateway makes itself."""


class DeploymentSource(Protocol):
    """Reads what the platform keeps."""

    async def configuration(self) -> tuple[Configuration | None, int]:
        """Read the newest configuration, and the store's version."""

    async def next_configuration(
        self, since: int, wait_s: float
    ) -> tuple[Configuration | None, int]:
        """Wait for a configuration newer than a version of the store."""

    async def endpoints(self) -> list[Endpoint]:
        """Read the list of endpoints."""

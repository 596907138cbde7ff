"""HTTP client for requests to endpoints, over pooled connections."""

import asyncio
from typing import NamedTuple

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from slatehoist.gateway.settings import CONNECT_TIMEOUT_S, POOL_IDLE_S
from slatehoist.http import ResettingResponseHandler, strict_connector

#: Headers that aiohttp must not add to a forwarded request.
_NO_AUTO_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
#: Longest response header line that is accepted, in bytes.
_MAX_HEADER_BYTES = 16384


class NotSentError(Exception):
    """Raised if no connection was made, so that the request was not sent.

    Attributes
    ----------
    refused : bool
        True if the connection was refused: nothing listens at the address.
    """

    def __init__(self, reason: str, refused: bool) -> None:
        super().__init__(reason)
        self.refused = refused


class BrokenReplyError(Exception):
    """Raised for a missing, cut-off or malformed response; the request may have run."""


class UpstreamRequest(NamedTuple):
    """Request as it is sent to an endpoint."""

    method: str
    address: str
    target: str
    headers: CIMultiDict[str]
    body: bytes


class Upstream:
    """Client session for all endpoints; it never retries a request by itself."""

    def __init__(self) -> None:
        connector = strict_connector(
            ResettingResponseHandler,
            limit=0,
            keepalive_timeout=POOL_IDLE_S,
            use_dns_cache=False,
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            skip_auto_headers=_NO_AUTO_HEADERS,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            max_field_size=_MAX_HEADER_BYTES,
            max_line_size=_MAX_HEADER_BYTES,
        )
        # aiohttp would retry a request if its pooled connection was closed, without a
        # charge to the retry budget.
        self._session._retry_connection = False

    async def send(self, req: UpstreamRequest) -> aiohttp.ClientResponse:
        """Send a request and return its response once the headers have arrived.

        Raises
        ------
        NotSentError
            If no connection was made.
        BrokenReplyError
            If the response is missing or malformed; the request may have run.
        """
        try:
            url = URL(f"http://{req.address}{req.target}", encoded=True)
        except ValueError as exc:
            raise NotSentError(f"{req.address}: {exc}", refused=False) from exc
        try:
            return await self._session.request(
                req.method,
                url,
                headers=req.headers,
                data=req.body or None,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            refused = isinstance(exc.__cause__, ConnectionRefusedError)
            raise NotSentError(f"{req.address}: {exc}", refused) from exc
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            raise BrokenReplyError(f"{req.address}: {exc!r}") from exc

    async def probe(self, address: str) -> None:
        """Open a connection without a request, and reset it.

        Raises
        ------
        NotSentError
            If the connection was refused, or not accepted in time.
        """
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except (TimeoutError, OSError, ValueError) as exc:
            refused = isinstance(exc, ConnectionRefusedError)
            raise NotSentError(f"{address}: {exc!r}", refused) from exc
        writer.transport.abort()

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

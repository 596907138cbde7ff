"""HTTP clients of the platform's services."""

import logging
from collections.abc import Mapping
from typing import Any, TypeVar

import aiohttp
import msgspec

from slatehoist.http import log_rejected, read_body, response_framing
from slatehoist.storage.base import Check, Instance, Row, Write
from slatehoist.storage.exceptions import (
    ConflictError,
    OutcomeUnknownError,
    StoreDownError,
)

#: Timeout of one call in seconds.
CALL_TIMEOUT_S = 2.0
#: Largest answer of a service in bytes.
MAX_ANSWER_BYTES = 16 * 1024 * 1024

log = logging.getLogger(__name__)

Doc = TypeVar("Doc")

#: Header in which the table service states its era.
ERA_HEADER = "Table-Era"

_HTTP_OK = 200
_HTTP_NOT_FOUND = 404
_HTTP_CONFLICT = 409
#: Statuses with which the service refuses a call before it has any effect.
_REFUSAL_STATUSES = frozenset({429, 503})


class _HttpClient:
    """Base class of the HTTP clients."""

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def _call(
        self,
        method: str,
        path: str,
        data: bytes | None = None,
        whole: bool = False,
        **params: str,
    ) -> tuple[int, bytes]:
        """Make one call and return the status and body.

        Parameters
        ----------
        whole : bool
            True if the body must be known to be whole: a body that is neither JSON nor
            has a length or chunks may have been cut off.

        Raises
        ------
        StoreDownError
            If no connection was made or the service refused: nothing was done.
        OutcomeUnknownError
            If the connection failed later, or the status is not a known one: the
            service may have carried out the call.
        """
        url = f"{self._base_url}{path}"
        try:
            async with self._session.request(
                method, url, data=data, params=params, timeout=self._timeout
            ) as resp:
                self._observe(resp.headers)
                body = await read_body(resp, MAX_ANSWER_BYTES)
        except aiohttp.ClientConnectorError as exc:
            raise StoreDownError(f"{url}: {exc}") from exc
        except (TimeoutError, aiohttp.ClientError) as exc:
            log_rejected(exc, self._base_url, f"{method} {path}")
            raise OutcomeUnknownError(f"{url}: {exc!r}") from exc
        if resp.status in _REFUSAL_STATUSES:
            raise StoreDownError(f"{url}: status {resp.status}")
        if resp.status not in (_HTTP_OK, _HTTP_NOT_FOUND, _HTTP_CONFLICT):
            raise OutcomeUnknownError(f"{url}: status {resp.status}")
        framing = response_framing(method, resp.status, resp.headers)
        if whole and not framing.proves_end:
            raise OutcomeUnknownError(f"{url}: the end of the body is not proved")
        return resp.status, body

    def _observe(self, headers: Mapping[str, str]) -> None:
        """Process the headers of an answer."""

    async def _read(
        self, path: str, whole: bool = False, **params: str
    ) -> bytes | None:
        """Return the body of a read, or None if the service has no such item.

        A read has no effect, so a lost answer is reported as StoreDownError too.
        """
        try:
            status, body = await self._call("GET", path, whole=whole, **params)
        except OutcomeUnknownError as exc:
            raise StoreDownError(str(exc)) from exc
        return None if status == _HTTP_NOT_FOUND else body


class HttpTable(_HttpClient):
    """Table service over HTTP and JSON."""

    #: Era that the service stated last; see `Table.era`.
    era = 0

    def _observe(self, headers: Mapping[str, str]) -> None:
        stated = headers.get(ERA_HEADER, "")
        if stated.isdecimal() and int(stated) != self.era:
            log.warning("table_era_changed", extra={"from": self.era, "to": stated})
            # The number never falls, so that neither do fencing numbers.
            self.era = max(self.era + 1, int(stated))

    async def get(self, table: str, key: str) -> Row | None:
        """Return a row, or None if it does not exist."""
        body = await self._read("/v1/row", table=table, key=key)
        return None if body is None else _decode(body, Row)

    async def scan(self, table: str, prefix: str = "", after: str = "") -> list[Row]:
        """Return the rows with a key prefix that follow the key ``after``, by key."""
        body = await self._read("/v1/rows", table=table, prefix=prefix, after=after)
        return _decode(body or b"[]", list[Row])

    async def transact(self, checks: list[Check], writes: list[Write]) -> None:
        """Write all rows if all checks hold, else none; see `Table.transact`."""
        data = msgspec.json.encode({"checks": checks, "writes": writes})
        status, body = await self._call("POST", "/v1/transact", data)
        if status == _HTTP_CONFLICT:
            raise ConflictError(_failed_checks(checks, body))
        if status != _HTTP_OK:
            raise OutcomeUnknownError(f"/v1/transact: status {status}")


class HttpObjectStore(_HttpClient):
    """Object store over HTTP."""

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist."""
        return await self._read(f"/v1/objects/{name}", whole=True)

    async def put(self, name: str, data: bytes) -> None:
        """Write an object; raise `OutcomeUnknownError` if that is not confirmed."""
        path = f"/v1/objects/{name}"
        status, _ = await self._call("PUT", path, data)
        if status != _HTTP_OK:
            raise OutcomeUnknownError(f"{path}: status {status}")


class HttpInstanceList(_HttpClient):
    """Instance list over HTTP and JSON."""

    async def list(self) -> list[Instance]:
        """Return the instances."""
        body = await self._read("/v1/instances")
        return _decode(body or b"[]", list[Instance])


class HttpWeightStore(_HttpClient):
    """Rate-limited weight store over HTTP."""

    async def fetch(self, name: str) -> int:
        """Fetch the weights of an expert; return their size in bytes."""
        body = await self._read(f"/v1/weights/{name}")
        doc = _decode(body or b"{}", dict[str, Any])
        return doc.get("bytes", 0)


def _decode(body: bytes, doc_type: type[Doc]) -> Doc:
    """Decode the answer to a read; raise StoreDownError if it is malformed."""
    try:
        return msgspec.json.decode(body, type=doc_type)
    except msgspec.DecodeError as exc:
        raise StoreDownError(f"the answer cannot be decoded: {exc}") from exc


def _failed_checks(checks: list[Check], body: bytes) -> list[tuple[str, str]]:
    """Return the rows whose checks failed, or all if the answer does not tell."""
    try:
        return msgspec.json.decode(body, type=list[tuple[str, str]])
    except msgspec.DecodeError:
        return [(check.table, check.key) for check in checks]

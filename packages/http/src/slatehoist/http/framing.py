"""What marks the end of a response body (RFC 9112, section 6.3)."""

from collections.abc import Mapping
from enum import StrEnum

#: Statuses whose responses have no body, besides those below 200.
_BODILESS_STATUSES = frozenset({204, 304})
_FIRST_FINAL_STATUS = 200


class Framing(StrEnum):
    """What marks the end of a response body.

    - ``none``: the response has no body.
    - ``length``: the number of bytes that the head states.
    - ``chunked``: the last chunk.
    - ``connection``: the close of the connection, which a crash of the sender may have
      caused as well.
    """

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"

    @property
    def proves_end(self) -> bool:
        """Return True if a body that ended is known to be whole."""
        return self is not Framing.CONNECTION


def has_no_body(status: int) -> bool:
    """Return True if a response with this status has no body."""
    return status < _FIRST_FINAL_STATUS or status in _BODILESS_STATUSES


def response_framing(method: str, status: int, headers: Mapping[str, str]) -> Framing:
    """Return what marks the end of a response's body.

    Parameters
    ----------
    method : str
        Method of the request.
    headers : Mapping
        Headers of the response; the names are looked up as they are written here.
    """
    if method == "HEAD" or has_no_body(status):
        return Framing.NONE
    codings = headers.get("Transfer-Encoding", "").lower().split(",")
    if codings[-1].strip() == "chunked":
        return Framing.CHUNKED
    if codings == [""] and "Content-Length" in headers:
        return Framing.LENGTH
    return Framing.CONNECTION

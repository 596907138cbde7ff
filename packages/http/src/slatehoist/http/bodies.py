"""Reading of response bodies whose size is bounded."""

import aiohttp
from aiohttp.client_exceptions import ClientPayloadError


class OversizedBodyError(ClientPayloadError):
    """Raised if a body is larger than is accepted; its connection is closed."""


class BufferBudget:
    """Bound on the bytes of all bodies that are being read at the same time."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0


async def read_body(
    resp: aiohttp.ClientResponse, max_bytes: int, budget: BufferBudget | None = None
) -> bytes:
    """Return the body of a response.

    Raises
    ------
    OversizedBodyError
        If the body has more than `max_bytes`, or if all bodies that are being read
        exceed the budget.
    """
    budget = budget or BufferBudget(max_bytes)
    stated = resp.headers.get("Content-Length", "")
    if stated.isdecimal() and int(stated) > max_bytes:
        resp.close()
        raise OversizedBodyError(f"body of {stated} bytes; accepted are {max_bytes}")
    parts: list[bytes] = []
    size = 0
    try:
        while part := await resp.content.readany():
            size += len(part)
            budget.used_bytes += len(part)
            if size > max_bytes or budget.used_bytes > budget.max_bytes:
                resp.close()
                raise OversizedBodyError(
                    f"body of {size} bytes or more; accepted are {max_bytes}, and "
                    f"{budget.max_bytes} for all bodies together"
                )
            parts.append(part)
    finally:
        budget.used_bytes -= size
    return b"".join(parts)

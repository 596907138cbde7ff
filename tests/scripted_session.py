"""Client session whose responses are scripted, for tests without a network."""

from multidict import CIMultiDict


class ScriptedSession:
    """Client session that gives the same response to each request."""

    def __init__(
        self, status: int, body: bytes, headers: dict[str, str] | None = None
    ) -> None:
        self.status = status
        self.headers = CIMultiDict(headers or {})
        self._body = body

    def request(self, *args, **kwargs) -> "ScriptedSession":
        return self

    async def __aenter__(self) -> "ScriptedSession":
        return self

    async def __aexit__(self, *exc_info) -> None:
        pass

    async def read(self) -> bytes:
        return self._body

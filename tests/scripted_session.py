"""Client session whose responses are scripted, for tests without a network."""

from multidict import CIMultiDict


class ScriptedSession:
    """Client session that gives the same response to each request."""

    def __init__(
        self, status: int, body: bytes, headers: dict[str, str] | None = None
    ) -> None:
        self.status = status
        self.headers = CIMultiDict(headers or {})
        self.content = self
        self._body = body
        self._pieces: list[bytes] = []

    def request(self, *args, **kwargs) -> "ScriptedSession":
        self._pieces = [self._body] if self._body else []
        return self

    async def __aenter__(self) -> "ScriptedSession":
        return self

    async def __aexit__(self, *exc_info) -> None:
        pass

    async def readany(self) -> bytes:
        return self._pieces.pop() if self._pieces else b""

    def close(self) -> None:
        pass

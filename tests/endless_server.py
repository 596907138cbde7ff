"""Server on loopback whose responses come without end.

Usage as a process: ``endless_server.py KIND=PORT ...`` serves each kind at its port.
"""

import asyncio
import sys

from slatehoist_standins.deployment_server import DeploymentServer

#: Bytes of a response that may arrive before it is given up: the largest body that is
#: accepted, what sockets buffer, and some reads.
MAX_ACCEPTED_BYTES = 16 * 1024 * 1024


class EndlessServer(DeploymentServer):
    """Server that answers each request with the same endless response.

    Parameters
    ----------
    kind : str
        Key of `slatehoist_standins.deployment_server.ENDLESS`.
    """

    def __init__(self, kind: str) -> None:
        super().__init__(kind, [kind])
        self.url = ""

    async def start(self, port: int = 0) -> None:
        """Listen on loopback."""
        await super().start(port)
        self.url = f"http://{self.address}"

    @property
    def sent_bytes(self) -> int:
        """Return the bytes that were sent in responses without end."""
        return self.endless_bytes

    async def _read_head(self, reader: asyncio.StreamReader):
        head = await super()._read_head(reader)
        return head._replace(headers={"Request-Id": "", **head.headers})


async def main() -> None:
    """Serve until the process is killed."""
    for argument in sys.argv[1:]:
        kind, _, port = argument.partition("=")
        await EndlessServer(kind).start(int(port))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())

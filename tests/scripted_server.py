"""Server on loopback that answers each request with the same bytes."""

import asyncio
import unittest

from odd_answers import BODY
from slatehoist_standins.deployment_server import Arrival, DeploymentServer


class ScriptedServer(DeploymentServer):
    """Server whose answer, perhaps an odd one, is set by `answer`."""

    def __init__(self) -> None:
        super().__init__("scripted", ["scripted"])

    def answer(self, answer: bytes, body: bytes = BODY) -> None:
        """Answer all further requests with these bytes.

        Parameters
        ----------
        body : bytes
            Put in the place of `odd_answers.BODY`, and filled up to its size.
        """
        if len(body) > len(BODY):
            raise ValueError(f"body of {len(body)} bytes; {len(BODY)} fit")
        self.script = (answer.replace(BODY, body.ljust(len(BODY))),)

    async def _read_head(self, reader: asyncio.StreamReader) -> Arrival:
        head = await super()._read_head(reader)
        return head._replace(headers={"Request-Id": "", **head.headers})


class ScriptedServerTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a `ScriptedServer`."""

    async def asyncSetUp(self):
        self.server = ScriptedServer()
        self.address = await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    def check_logged(self, log, request: str) -> None:
        """Check that one line names endpoint, request and reason."""
        lines = [r for r in log.records if r.getMessage() == "response_rejected"]
        self.assertEqual(len(lines), 1)
        self.assertIn(self.address, lines[0].endpoint)
        self.assertIn(request, lines[0].request)
        self.assertTrue(lines[0].why)

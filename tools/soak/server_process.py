"""Server of the soak as a process of its own, which can be killed and frozen.

Usage: ``server_process.py ID PORT SEED RUNS_FILE [BEHAVIOUR ...]``. It appends a line
with the request id and its own id to the file for each request that it begins to run.
"""

import asyncio
import os
import random
import sys

from slatehoist_standins.deployment_server import Arrival, DeploymentServer

#: Longest seconds from a request until its response; few take longer than a tenth.
MAX_DELAY_S = 1.5
#: Probability of a response that is as it should be.
OK_RATIO = 0.7


class ServerProcess(DeploymentServer):
    """Server that draws a delay and a behaviour for each request."""

    def __init__(
        self, server_id: str, rng: random.Random, runs_file: str, drawn: list[str]
    ) -> None:
        super().__init__(server_id)
        self._rng = rng
        self._drawn = drawn
        # Each line is written by one call, so that a kill loses none.
        self._runs = os.open(runs_file, os.O_CREAT | os.O_APPEND | os.O_WRONLY)

    def _next_behaviour(self) -> str:
        self.delay_s = MAX_DELAY_S * self._rng.random() ** 6
        if not self._drawn or self._rng.random() < OK_RATIO:
            return "ok"
        return self._rng.choice(self._drawn)

    def _begin_run(self, arrival: Arrival) -> None:
        super()._begin_run(arrival)
        line = f"{arrival.headers['Request-Id']} {self.server_id}\n"
        os.write(self._runs, line.encode())


async def main() -> None:
    """Serve until the process is killed."""
    server_id, port, seed, runs_file, *drawn = sys.argv[1:]
    server = ServerProcess(server_id, random.Random(int(seed)), runs_file, drawn)
    await server.start(int(port))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())

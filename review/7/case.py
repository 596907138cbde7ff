"""A request that crashes servers, and one early rejection: it must stay blocked."""

import asyncio
import itertools
import time
from pathlib import Path

from standins_2.deployment import (
    HEARTBEAT_S,
    Caller,
    Deployment,
    Server,
    new_id,
    request_headers,
    route,
    run_case,
)
from standins_2.http1 import encode, find_header, read_body

SERVERS = 5
#: Sound requests per second, and seconds of them before the first poison request.
SOUND_PER_S = 15.0
WARM_UP_S = 6.0
#: Seconds between two poison requests, and the number of them.
POISON_PAUSE_S = 2.0
POISONS = 18
#: Poison request that is rejected before it is in.
REJECTED = 2
POISON_BODY = b'{"letter": "crash"}' + b" " * 60000
DOWN_S = 1.0
DEADLINE_MS = 3000
#: Bounds of the rule: seconds after the third crash, and retries that may arrive then.
CONTACT_S = 3.0
ALLOWED_RETRIES = 3
CRASHES = 3
#: Heartbeats after whose absence the store drops the entry of a crashed server.
LOST_BEATS = 3


class PoisonWorld:
    """Servers that a poison request crashes, and what arrived at them.

    Attributes
    ----------
    crashes, arrivals : list of float
        Times of the crashes, and of all arrivals of poison requests.
    rejects_next : bool
        True if the next poison request is to be rejected before it is in.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._tasks: set[asyncio.Task] = set()
        self.crashes: list[float] = []
        self.arrivals: list[float] = []
        self.rejects_next = False
        self.answers = 0
        #: Connections of each server, by its id.
        self._writers: dict[str, set[asyncio.StreamWriter]] = {}

    async def answer(self, server, first_line, headers, reader, writer) -> bytes:
        """Answer a request, or crash."""
        request_id = find_header(headers, "request-id")
        writers = self._writers.setdefault(server.server_id, set())
        writers.add(writer)
        self.answers += 1
        is_poison = "/poison" in first_line
        if is_poison:
            self.arrivals.append(time.monotonic())
        if is_poison and self.rejects_next:
            self.rejects_next = False
            self._deployment.record.write(
                f"{server.server_id} rejects {request_id} with 413 before it is in"
            )
            reply = encode(
                "HTTP/1.1 413 Content Too Large",
                server.reply_headers(headers) | {"Not-Run": "1"},
                b"rejected",
            )
            writer.write(reply)
            await writer.drain()
            await read_body(reader, headers)
            return b""
        await read_body(reader, headers)
        if is_poison:
            self.crashes.append(time.monotonic())
            self._deployment.record.write(
                f"{server.server_id} runs {request_id} and crashes, crash"
                f" {len(self.crashes)}"
            )
            self._crash(server)
            raise ConnectionResetError
        async with server.slot():
            await asyncio.sleep(0.02)
        return encode("HTTP/1.1 200 OK", server.reply_headers(headers), b"done")

    def _crash(self, server: Server) -> None:
        server.close()
        self._deployment.servers.remove(server)
        for writer in self._writers.pop(server.server_id, ()):
            writer.transport.abort()
        for work in (self._return(server), self._forget(server)):
            task = asyncio.create_task(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _return(self, server: Server) -> None:
        """Start the server again, as a new boot with a new id."""
        await asyncio.sleep(DOWN_S)
        await self._deployment.add_server(self.answer)

    async def _forget(self, server: Server) -> None:
        await asyncio.sleep(HEARTBEAT_S * LOST_BEATS)
        self._deployment.store.remove("servers", server.server_id)


async def send_sound(deployment: Deployment, address: str) -> None:
    """Send sound requests until cancelled."""

    async def send() -> None:
        headers = request_headers(new_id(), DEADLINE_MS)
        try:
            caller = await Caller.connect(address)
            async with asyncio.timeout(DEADLINE_MS / 1000):
                await caller.exchange(encode("GET /list/1 HTTP/1.1", headers))
            caller.close()
        except (TimeoutError, OSError) as exc:
            deployment.record.write(f"a sound request: {exc!r}")

    tasks: set[asyncio.Task] = set()
    while True:
        task = asyncio.create_task(send())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1.0 / SOUND_PER_S)


async def main(trouble: bool) -> bool:
    """Return True if the request reached servers more often than the rule allows."""
    async with Deployment(Path(__file__).parent) as deployment:
        record = deployment.record
        world = PoisonWorld(deployment)
        deployment.put_config(
            [route("letter", "unsafe"), route("list", "safe", maxAttempts=2)]
        )
        for _ in range(SERVERS):
            await deployment.add_server(world.answer)
        gateway = await deployment.add_gateway()
        sound = asyncio.create_task(send_sound(deployment, gateway.front))
        await asyncio.sleep(WARM_UP_S)
        for number in itertools.count(1):
            if number > POISONS:
                break
            world.rejects_next = trouble and number == REJECTED
            request_id = new_id()
            headers = request_headers(request_id, DEADLINE_MS)
            caller = await Caller.connect(gateway.front)
            async with asyncio.timeout(10.0):
                reply = await caller.exchange(
                    encode("POST /letter/poison HTTP/1.1", headers, POISON_BODY)
                )
            caller.close()
            record.write(
                f"poison request {number} ({request_id}): answered"
                f" {reply and reply.status}"
            )
            await asyncio.sleep(POISON_PAUSE_S)
        sound.cancel()
        late = []
        if len(world.crashes) >= CRASHES:
            bound = world.crashes[CRASHES - 1] + CONTACT_S
            late = [at for at in world.arrivals if at > bound]
        record.write(
            f"{world.answers} requests at servers; {len(world.crashes)} crashes;"
            f" {len(late)} arrivals later than {CONTACT_S} s after the third crash"
        )
    return len(late) > ALLOWED_RETRIES


if __name__ == "__main__":
    run_case(main)

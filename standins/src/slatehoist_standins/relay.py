"""Stand-in of the network between two processes: TCP relays on loopback.

``POST /relays`` with a name and a target opens a relay and returns its port.
``POST /relays/{name}`` sets its mode:

``hole``
    Discard all data on the connections that are open now, without closing them. New
    connections work.
``late``
    Delay the data on the connections that are open now by ``delay_s`` per read.
``cut``
    Reset the connections that are open now.
``delay``
    Delay the data on all connections, also new ones, until the next mode is set.
``pass``
    End ``delay``. Connections that ``hole`` or ``late`` changed stay as they are.

The soak test runs relays in its own process and can also make them reset all new
connections (`Relay.refusing`).
"""

import asyncio
import contextlib

from aiohttp import web

from slatehoist_standins.sockets import reset_connection

RELAYS = web.AppKey("relays", dict)


class Relay:
    """Listening port that forwards each connection to a target."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.delay_s = 0.0
        #: True if new connections are reset.
        self.refusing = False
        self.pipes: set[Pipe] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listen on loopback and return the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    def set_mode(self, mode: str, delay_s: float) -> None:
        """Apply a mode to the open connections, and ``delay`` also to new ones.

        Each mode other than ``delay`` ends ``delay``. A mode that is not known is not
        refused, and acts as ``pass``.
        """
        self.delay_s = delay_s if mode == "delay" else 0.0
        for pipe in list(self.pipes):
            if mode == "hole":
                pipe.silent = True
            elif mode == "cut":
                pipe.close()
            elif mode == "late":
                pipe.late_s = delay_s

    async def _serve(self, reader, writer) -> None:
        host, _, port = self.target.rpartition(":")
        if self.refusing:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        pipe = Pipe(self, writer, target_writer)
        self.pipes.add(pipe)
        await asyncio.gather(
            pipe.copy(reader, target_writer), pipe.copy(target_reader, writer)
        )
        self.pipes.discard(pipe)


class Pipe:
    """Forwarded connection, with the faults that apply to it alone."""

    def __init__(self, relay: Relay, *writers: asyncio.StreamWriter) -> None:
        self.relay = relay
        self.writers = writers
        self.silent = False
        self.late_s = 0.0

    def close(self) -> None:
        """Reset the connections on both sides."""
        for writer in self.writers:
            reset_connection(writer)

    async def copy(self, reader, writer) -> None:
        """Forward one direction; a silent pipe reads data and discards it.

        A reset of one side resets the other. A silent or late pipe does not forward the
        end of the connection either.
        """
        with contextlib.suppress(OSError, RuntimeError):
            while data := await self._read(reader):
                wait_s = self.late_s or self.relay.delay_s
                if wait_s:
                    await asyncio.sleep(wait_s)
                if self.silent:
                    continue
                writer.write(data)
                await writer.drain()
        if not self.silent and not self.late_s:
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        try:
            return await reader.read(65536)
        except ConnectionResetError:
            if not self.silent and not self.late_s:
                self.close()
            raise


async def add_relay(req: web.Request) -> web.Response:
    """Open a relay and return its port."""
    body = await req.json()
    relay = Relay(body["target"])
    req.app[RELAYS][body["name"]] = relay
    return web.json_response({"port": await relay.start()})


async def set_mode(req: web.Request) -> web.Response:
    """Apply the mode in the body to the relay named in the path."""
    body = await req.json()
    relay = req.app[RELAYS][req.match_info["name"]]
    relay.set_mode(body["mode"], body.get("delay_s", 0.0))
    return web.json_response({})


def build_app() -> web.Application:
    """Build the application."""
    app = web.Application()
    app[RELAYS] = {}
    app.router.add_post("/relays", add_relay)
    app.router.add_post("/relays/{name}", set_mode)
    return app

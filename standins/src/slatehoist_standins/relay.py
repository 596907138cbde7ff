"""Relays on loopback whose connections can be cut, delayed, or turned silent.

``POST /relays`` with a name and a target opens a relay and gives its port. ``POST
/relays/{name}`` with a mode changes it: ``hole`` stops forwarding on the connections
that are open now while new ones pass; ``late`` holds what comes on them for a while;
``cut`` closes them; ``delay`` forwards everything late; ``pass`` heals.
"""

import asyncio
import contextlib

from aiohttp import web

RELAYS = web.AppKey("relays", dict)


class Relay:
    """One listening port that forwards to a target."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.delay_s = 0.0
        #: Whether new connections are reset.
        self.refusing = False
        self.open: set[Pipe] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listen, and give the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    def set_mode(self, mode: str, delay_s: float) -> None:
        """Change how connections are treated."""
        self.delay_s = delay_s if mode == "delay" else 0.0
        for pipe in list(self.open):
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
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pipe = Pipe(self, writer, far_writer)
        self.open.add(pipe)
        await asyncio.gather(
            pipe.copy(reader, far_writer), pipe.copy(far_reader, writer)
        )
        self.open.discard(pipe)


class Pipe:
    """One forwarded connection."""

    def __init__(self, relay: Relay, *writers: asyncio.StreamWriter) -> None:
        self.relay = relay
        self.writers = writers
        self.silent = False
        self.late_s = 0.0

    def close(self) -> None:
        """Reset both ends."""
        for writer in self.writers:
            writer.transport.abort()

    async def copy(self, reader, writer) -> None:
        """Forward one direction; a silent pipe reads and forwards nothing."""
        with contextlib.suppress(OSError, RuntimeError):
            while data := await reader.read(65536):
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


async def add_relay(req: web.Request) -> web.Response:
    """Open a relay."""
    body = await req.json()
    relay = Relay(body["target"])
    req.app[RELAYS][body["name"]] = relay
    return web.json_response({"port": await relay.start()})


async def set_mode(req: web.Request) -> web.Response:
    """Change a relay's mode."""
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

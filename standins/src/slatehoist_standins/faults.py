"""Faults that a stand-in can be told to show, over ``POST /faults``.

``down``
    Refuse every call.
``delay_s``
    Answer late.
``lose``
    Carry out the next N writes, then cut the connection without an answer.
``paths``
    Prefixes of the paths that the faults above apply to; all if absent.
``trap``
    Stop the first call whose body holds ``trap.match``, ``trap.when`` ``before`` or
    ``after`` it is carried out, until ``POST /release``. ``GET /trapped`` tells
    whether a call is stopped.
"""

import asyncio

from aiohttp import web

FAULTS = web.AppKey("faults", dict)
TRAP = web.AppKey("trap", "Trap")

#: Paths by which a stand-in is watched and told to fail.
_OWN_PATHS = frozenset({"/faults", "/record", "/release", "/trapped"})


class Trap:
    """One call that is stopped at a chosen moment."""

    def __init__(self) -> None:
        self.match = b""
        self.when = ""
        self.caught = False
        self.released = asyncio.Event()

    def arm(self, match: str, when: str) -> None:
        """Wait for a call."""
        self.match, self.when = match.encode(), when
        self.caught = False
        self.released = asyncio.Event()

    async def hold(self, when: str, body: bytes) -> None:
        """Stop a call that matches; only the first one is stopped."""
        if self.when == when and not self.caught and self.match in body:
            self.caught = True
            await self.released.wait()

    def release(self) -> None:
        """Let the stopped call go on, and stop no other."""
        self.when = ""
        self.released.set()


@web.middleware
async def fault_middleware(req: web.Request, handler) -> web.StreamResponse:
    """Show the faults that are set."""
    if req.path in _OWN_PATHS:
        return await handler(req)
    faults, trap = req.app[FAULTS], req.app[TRAP]
    body = await req.read() if trap.when and req.method != "GET" else b""
    await trap.hold("before", body)
    if not _applies(faults, req.path):
        return await handler(req)
    if faults.get("down"):
        return web.Response(status=503)
    if faults.get("delay_s"):
        await asyncio.sleep(faults["delay_s"])
    resp = await handler(req)
    await trap.hold("after", body)
    if req.method != "GET" and faults.get("lose", 0) > 0:
        faults["lose"] -= 1
        req.transport.close()
    return resp


def _applies(faults: dict, path: str) -> bool:
    return any(path.startswith(prefix) for prefix in faults.get("paths", [""]))


async def set_faults(req: web.Request) -> web.Response:
    """Replace the faults by those of the body."""
    faults = await req.json()
    trap = faults.pop("trap", None)
    req.app[FAULTS].clear()
    req.app[FAULTS].update(faults)
    req.app[TRAP].release()
    if trap:
        req.app[TRAP].arm(trap["match"], trap["when"])
    return web.json_response({})


async def get_trapped(req: web.Request) -> web.Response:
    """Tell whether a call is stopped."""
    trap = req.app[TRAP]
    return web.json_response({"trapped": trap.caught and not trap.released.is_set()})


async def release(req: web.Request) -> web.Response:
    """Let the stopped call go on."""
    req.app[TRAP].release()
    return web.json_response({})


def with_faults() -> web.Application:
    """Build an application that can be told to fail."""
    app = web.Application(middlewares=[fault_middleware], client_max_size=64 * 2**20)
    app[FAULTS] = {}
    app[TRAP] = Trap()
    app.router.add_post("/faults", set_faults)
    app.router.add_get("/trapped", get_trapped)
    app.router.add_post("/release", release)
    return app

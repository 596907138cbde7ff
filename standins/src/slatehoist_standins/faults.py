"""Faults that the HTTP stand-ins share: `engine`, `plain`, `platform` and `ranks`.

The body of ``POST /faults`` replaces the faults in force; ``{}`` removes them:

``down``
    Respond to every call with status 503 and do not carry it out.
``delay_s``
    Carry out every call this many seconds late.
``lose``
    Carry out the next N writes, but close the connection instead of responding. All
    methods except GET are writes.
``paths``
    Prefixes of the paths that the faults above apply to; all paths if absent.
``trap``
    Block the first write whose body contains ``trap.match`` until ``POST /release``,
    ``before`` or ``after`` it is carried out (``trap.when``). ``GET /trapped`` returns
    whether a call is blocked now.
"""

import asyncio

from aiohttp import web

FAULTS = web.AppKey("faults", dict)
TRAP = web.AppKey("trap", "Trap")

#: Paths over which a test sets and observes faults; no fault applies to them.
_CONTROL_PATHS = frozenset({"/faults", "/record", "/release", "/trapped"})


class Trap:
    """Block one call before or after it is carried out, until it is released."""

    def __init__(self) -> None:
        self.match = b""
        self.when = ""
        self.triggered = False
        self.released = asyncio.Event()

    def arm(self, match: str, when: str) -> None:
        """Block the next call whose body contains ``match``."""
        self.match, self.when = match.encode(), when
        self.triggered = False
        self.released = asyncio.Event()

    async def block_call(self, when: str, body: bytes) -> None:
        """Block until the release if this is the first call that matches."""
        if self.when == when and not self.triggered and self.match in body:
            self.triggered = True
            await self.released.wait()

    def release(self) -> None:
        """Unblock the call and disarm the trap."""
        self.when = ""
        self.released.set()


@web.middleware
async def fault_middleware(req: web.Request, handler) -> web.StreamResponse:
    """Apply the faults in force to a call."""
    if req.path in _CONTROL_PATHS:
        return await handler(req)
    faults, trap = req.app[FAULTS], req.app[TRAP]
    body = await req.read() if trap.when and req.method != "GET" else b""
    await trap.block_call("before", body)
    if not _affects(faults, req.path):
        return await handler(req)
    if faults.get("down"):
        return web.Response(status=503)
    if faults.get("delay_s"):
        await asyncio.sleep(faults["delay_s"])
    resp = await handler(req)
    await trap.block_call("after", body)
    if req.method != "GET" and faults.get("lose", 0) > 0:
        faults["lose"] -= 1
        req.transport.close()
    return resp


def _affects(faults: dict, path: str) -> bool:
    return any(path.startswith(prefix) for prefix in faults.get("paths", [""]))


async def set_faults(req: web.Request) -> web.Response:
    """Replace the faults in force with those of the body."""
    faults = await req.json()
    trap = faults.pop("trap", None)
    req.app[FAULTS].clear()
    req.app[FAULTS].update(faults)
    req.app[TRAP].release()
    if trap:
        req.app[TRAP].arm(trap["match"], trap["when"])
    return web.json_response({})


async def get_trapped(req: web.Request) -> web.Response:
    """Return whether the trap blocks a call now."""
    trap = req.app[TRAP]
    return web.json_response({"trapped": trap.triggered and not trap.released.is_set()})


async def release(req: web.Request) -> web.Response:
    """Unblock the call that the trap blocks."""
    req.app[TRAP].release()
    return web.json_response({})


def build_app_with_faults() -> web.Application:
    """Build an application without calls of its own whose faults can be set."""
    app = web.Application(middlewares=[fault_middleware], client_max_size=64 * 2**20)
    app[FAULTS] = {}
    app[TRAP] = Trap()
    app.router.add_post("/faults", set_faults)
    app.router.add_get("/trapped", get_trapped)
    app.router.add_post("/release", release)
    return app

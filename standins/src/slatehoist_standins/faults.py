"""Faults that a stand-in can be told to show, over ``POST /faults``.

Fault names: ``down`` (refuse every call), ``delay_s`` (answer late), ``lose`` (carry
out the next N writes, then cut the connection without an answer).
"""

import asyncio

from aiohttp import web

FAULTS = web.AppKey("faults", dict)


@web.middleware
async def fault_middleware(req: web.Request, handler) -> web.StreamResponse:
    """Show the faults that are set, on every path but ``/faults`` itself."""
    faults = req.app[FAULTS]
    if req.path in ("/faults", "/record"):
        return await handler(req)
    if faults.get("down"):
        return web.Response(status=503)
    if faults.get("delay_s"):
        await asyncio.sleep(faults["delay_s"])
    resp = await handler(req)
    if req.method != "GET" and faults.get("lose", 0) > 0:
        faults["lose"] -= 1
        req.transport.close()
    return resp


async def set_faults(req: web.Request) -> web.Response:
    """Replace the faults by those of the body."""
    req.app[FAULTS].clear()
    req.app[FAULTS].update(await req.json())
    return web.json_response(req.app[FAULTS])


def with_faults() -> web.Application:
    """Build an application that can be told to fail."""
    app = web.Application(middlewares=[fault_middleware], client_max_size=64 * 2**20)
    app[FAULTS] = {}
    app.router.add_post("/faults", set_faults)
    return app

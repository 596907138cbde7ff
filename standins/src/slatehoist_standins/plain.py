"""Stand-in of a plain HTTP service, an endpoint that is no model engine.

It responds to any method and path after ``?sleep=`` seconds, with a description of the
request and a receipt that is unique to the run. ``GET /load`` returns its load, which
is always 0. A body that contains ``POISON`` crashes the process. The faults of `faults`
apply too. The record contains each request that it ran.
"""

import asyncio
import hashlib
import os
import uuid

from aiohttp import web

from slatehoist_standins.faults import build_app_with_faults
from slatehoist_standins.record import Record

RECORD = web.AppKey("record", Record)
INCARNATION = web.AppKey("incarnation", str)


async def handle_request(req: web.Request) -> web.Response:
    """Run one request and return a description of it."""
    body = await req.read()
    request_id = req.headers.get("X-Request-Id", "")
    req.app[RECORD].write("run", id=request_id, path=req.path, body=body.decode())
    if b"POISON" in body:
        req.app[RECORD].write("crash", id=request_id)
        os._exit(70)
    await asyncio.sleep(float(req.query.get("sleep", "0")))
    req.app[RECORD].write("finish", id=request_id)
    result = {
        "method": req.method,
        "path": req.path,
        "digest": hashlib.sha256(body).hexdigest(),
        "receipt": uuid.uuid4().hex,
    }
    return web.json_response(result)


async def get_load(req: web.Request) -> web.Response:
    """Return the incarnation and a load of 0."""
    result = {
        "incarnation": req.app[INCARNATION],
        "running": 0,
        "waiting": 0,
        "step_s": 0.0,
    }
    return web.json_response(result)


def build_app(record: str = "") -> web.Application:
    """Build the application; ``record`` is the path of its record."""
    app = build_app_with_faults()
    app[RECORD] = Record(record)
    app[INCARNATION] = uuid.uuid4().hex[:12]
    app.router.add_get("/load", get_load)
    app.router.add_route("*", "/{path:.*}", handle_request)
    return app

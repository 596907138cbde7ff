"""Stand-in of a plain service: echoes any call, after ``?sleep=`` seconds."""

import asyncio
import hashlib
import os
import uuid

from aiohttp import web

from slatehoist_standins.faults import build_app_with_faults
from slatehoist_standins.record import Record

RECORD = web.AppKey("record", Record)
INCARNATION = web.AppKey("incarnation", str)


async def serve(req: web.Request) -> web.Response:
    """Run one call and say what was received."""
    body = await req.read()
    call_id = req.headers.get("X-Request-Id", "")
    req.app[RECORD].write("run", id=call_id, path=req.path, body=body.decode())
    if b"POISON" in body:
        req.app[RECORD].write("crash", id=call_id)
        os._exit(70)
    await asyncio.sleep(float(req.query.get("sleep", "0")))
    req.app[RECORD].write("finish", id=call_id)
    answer = {
        "method": req.method,
        "path": req.path,
        "digest": hashlib.sha256(body).hexdigest(),
        "receipt": uuid.uuid4().hex,
    }
    return web.json_response(answer)


async def load(req: web.Request) -> web.Response:
    """Report load."""
    answer = {
        "incarnation": req.app[INCARNATION],
        "running": 0,
        "waiting": 0,
        "step_s": 0.0,
    }
    return web.json_response(answer)


def build_app(record: str = "") -> web.Application:
    """Build the application."""
    app = build_app_with_faults()
    app[RECORD] = Record(record)
    app[INCARNATION] = uuid.uuid4().hex[:12]
    app.router.add_get("/load", load)
    app.router.add_route("*", "/{path:.*}", serve)
    return app

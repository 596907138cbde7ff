"""Stand-in of the platform: table, objects, instance list and weight store.

One process serves all four under different prefixes, since they are asked through
separate URLs. Weights are paced to ``weight_rate`` bytes a second.
"""

import asyncio
import time

from aiohttp import web

from slatehoist.storage import Check, ConflictError, Instance, MemoryTable, Write
from slatehoist_standins.faults import build_app_with_faults

TABLE = web.AppKey("table", MemoryTable)
OBJECTS = web.AppKey("objects", dict)
INSTANCES = web.AppKey("instances", dict)
WEIGHTS = web.AppKey("weights", dict)


async def get_row(req: web.Request) -> web.Response:
    """Serve one row."""
    row = await req.app[TABLE].get(req.query["table"], req.query["key"])
    if row is None:
        return web.Response(status=404)
    return web.json_response(row)


async def get_rows(req: web.Request) -> web.Response:
    """Serve the rows of a scan."""
    query = req.query
    rows = await req.app[TABLE].scan(
        query["table"], query.get("prefix", ""), query.get("after", "")
    )
    return web.json_response(rows)


async def transact(req: web.Request) -> web.Response:
    """Carry out a transaction."""
    body = await req.json()
    checks = [Check(*check) for check in body["checks"]]
    writes = [Write(*write) for write in body["writes"]]
    try:
        await req.app[TABLE].transact(checks, writes)
    except ConflictError as exc:
        return web.json_response(exc.keys, status=409)
    return web.json_response({})


async def get_object(req: web.Request) -> web.Response:
    """Serve an object."""
    data = req.app[OBJECTS].get(req.match_info["name"])
    return web.Response(status=404) if data is None else web.Response(body=data)


async def put_object(req: web.Request) -> web.Response:
    """Keep an object."""
    req.app[OBJECTS][req.match_info["name"]] = await req.read()
    return web.Response()


async def get_instances(req: web.Request) -> web.Response:
    """Serve the list as it was ``lag_s`` seconds ago."""
    limit = time.monotonic() - req.app[INSTANCES]["lag_s"]
    current: dict[str, Instance] = {}
    for at, instance, gone in req.app[INSTANCES]["log"]:
        if at > limit:
            break
        current.pop(instance.name, None)
        if not gone:
            current[instance.name] = instance
    return web.json_response(list(current.values()))


async def put_instance(req: web.Request) -> web.Response:
    """Register an instance, as the platform would."""
    instance = Instance(**await req.json())
    req.app[INSTANCES]["log"].append((time.monotonic(), instance, False))
    return web.Response()


async def delete_instance(req: web.Request) -> web.Response:
    """Take an instance off the list, as the platform would."""
    instance = Instance(req.match_info["name"], "", "", "", "", "")
    req.app[INSTANCES]["log"].append((time.monotonic(), instance, True))
    return web.Response()


async def get_weights(req: web.Request) -> web.Response:
    """Take as long as the bytes need under the store's rate, all callers together."""
    weights = req.app[WEIGHTS]
    start = max(time.monotonic(), weights["busy_until"])
    weights["busy_until"] = start + weights["bytes"] / weights["rate"]
    await asyncio.sleep(weights["busy_until"] - time.monotonic())
    return web.json_response({"bytes": weights["bytes"]})


async def get_record(req: web.Request) -> web.Response:
    """Serve what the table did."""
    table = req.app[TABLE]
    return web.json_response({"reads": table.reads, "writes": table.writes})


def build_app(lag_s: str = "0", weight_rate: str = "4e8", weight_bytes: str = "4e6"):
    """Build the application."""
    app = build_app_with_faults()
    app[TABLE] = MemoryTable()
    app[OBJECTS] = {}
    app[INSTANCES] = {"lag_s": float(lag_s), "log": []}
    app[WEIGHTS] = {
        "busy_until": 0.0,
        "rate": float(weight_rate),
        "bytes": float(weight_bytes),
    }
    app.router.add_get("/v1/row", get_row)
    app.router.add_get("/v1/rows", get_rows)
    app.router.add_post("/v1/transact", transact)
    app.router.add_get("/v1/objects/{name:.+}", get_object)
    app.router.add_put("/v1/objects/{name:.+}", put_object)
    app.router.add_get("/v1/instances", get_instances)
    app.router.add_put("/v1/instances", put_instance)
    app.router.add_delete("/v1/instances/{name}", delete_instance)
    app.router.add_get("/v1/weights/{name:.+}", get_weights)
    app.router.add_get("/record", get_record)
    return app

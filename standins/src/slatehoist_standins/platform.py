"""Stand-in of the platform: table, objects, instance list and weight store.

One process serves all four under different prefixes, since their clients use separate
URLs:

``GET /v1/row``, ``GET /v1/rows``, ``POST /v1/transact``
    Read and conditionally write rows of the table.
``GET`` and ``PUT /v1/objects/{name}``
    Read and write an object.
``GET`` and ``PUT /v1/instances``, ``DELETE /v1/instances/{name}``
    Read and change the instance list. Readers see changes ``lag_s`` seconds late.
``GET /v1/weights/{name}``
    Download weights at ``weight_rate`` bytes a second, shared by all callers.
``GET /record``
    Return how many reads and transactions the table has carried out.

The faults of `faults` apply; their ``paths`` limit them to one of the services.
"""

import asyncio
import time

from aiohttp import web

from slatehoist.storage import (
    ERA_HEADER,
    Check,
    ConflictError,
    Instance,
    MemoryTable,
    Write,
)
from slatehoist_standins.faults import build_app_with_faults

TABLE = web.AppKey("table", MemoryTable)
OBJECTS = web.AppKey("objects", dict)
INSTANCES = web.AppKey("instances", dict)
WEIGHTS = web.AppKey("weights", dict)


async def get_row(req: web.Request) -> web.Response:
    """Return one row."""
    row = await req.app[TABLE].get(req.query["table"], req.query["key"])
    if row is None:
        return web.Response(status=404)
    return web.json_response(row)


async def get_rows(req: web.Request) -> web.Response:
    """Return the rows of a scan."""
    query = req.query
    rows = await req.app[TABLE].scan(
        query["table"], query.get("prefix", ""), query.get("after", "")
    )
    return web.json_response(rows)


async def transact(req: web.Request) -> web.Response:
    """Carry out a transaction; respond 409 with the keys that conflict."""
    body = await req.json()
    checks = [Check(*check) for check in body["checks"]]
    writes = [Write(*write) for write in body["writes"]]
    try:
        await req.app[TABLE].transact(checks, writes)
    except ConflictError as exc:
        return web.json_response(exc.keys, status=409)
    return web.json_response({})


async def get_object(req: web.Request) -> web.Response:
    """Return an object."""
    data = req.app[OBJECTS].get(req.match_info["name"])
    return web.Response(status=404) if data is None else web.Response(body=data)


async def put_object(req: web.Request) -> web.Response:
    """Write an object."""
    req.app[OBJECTS][req.match_info["name"]] = await req.read()
    return web.Response()


async def get_instances(req: web.Request) -> web.Response:
    """Return the instance list as it was ``lag_s`` seconds ago."""
    visible_until = time.monotonic() - req.app[INSTANCES]["lag_s"]
    current: dict[str, Instance] = {}
    for changed_at, instance, removed in req.app[INSTANCES]["log"]:
        if changed_at > visible_until:
            break
        current.pop(instance.name, None)
        if not removed:
            current[instance.name] = instance
    return web.json_response(list(current.values()))


async def put_instance(req: web.Request) -> web.Response:
    """Add an instance to the list or replace it, as the platform does."""
    instance = Instance(**await req.json())
    req.app[INSTANCES]["log"].append((time.monotonic(), instance, False))
    return web.Response()


async def delete_instance(req: web.Request) -> web.Response:
    """Remove an instance from the list, as the platform does."""
    instance = Instance(req.match_info["name"], "", "", "", "", "")
    req.app[INSTANCES]["log"].append((time.monotonic(), instance, True))
    return web.Response()


async def get_weights(req: web.Request) -> web.Response:
    """Respond after the time that the download takes; downloads run one by one."""
    weights = req.app[WEIGHTS]
    start = max(time.monotonic(), weights["busy_until"])
    weights["busy_until"] = start + weights["bytes"] / weights["rate"]
    await asyncio.sleep(weights["busy_until"] - time.monotonic())
    return web.json_response({"bytes": weights["bytes"]})


async def state_era(req: web.Request, resp: web.StreamResponse) -> None:
    """State the table's era in a response."""
    resp.headers[ERA_HEADER] = str(req.app[TABLE].era)


async def get_record(req: web.Request) -> web.Response:
    """Return the numbers of reads and transactions of the table."""
    table = req.app[TABLE]
    return web.json_response({"reads": table.reads, "writes": table.writes})


def build_app(lag_s: str = "0", weight_rate: str = "4e8", weight_bytes: str = "4e6"):
    """Build the application; rates are in bytes per second, sizes in bytes."""
    app = build_app_with_faults()
    app[TABLE] = MemoryTable()
    app.on_response_prepare.append(state_era)
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

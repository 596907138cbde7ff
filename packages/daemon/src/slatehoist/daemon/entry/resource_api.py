"""Resource API: declare, read and watch resources and their status."""

import asyncio
import uuid
from collections.abc import Callable

import msgspec
from aiohttp import web

from slatehoist.config import (
    Change,
    Kind,
    Refusal,
    Replica,
    Resource,
    ResourceStore,
    check_resource,
)
from slatehoist.config.settings import TokenSettings
from slatehoist.daemon.entry.answers import CallerError, error_response
from slatehoist.daemon.entry.callers import RefusedError
from slatehoist.storage import OutcomeUnknownError, StoreDownError

#: Seconds between keep-alive comments on an idle watch.
WATCH_COMMENT_S = 5.0

_STATUS_OF_REFUSAL = {
    "conflict": 409,
    "busy": 409,
    "precondition": 412,
    "forbidden": 403,
    "not_found": 404,
}


class ResourceApi:
    """HTTP handlers for resources; only operators' tokens may change them.

    Parameters
    ----------
    revisions : callable
        Coroutine function; returns the revision in force by instance.
    on_change_accepted : callable
        Coroutine function called after a change was accepted.
    status : callable
        Returns this entry's status, as shown to the member in its argument.
    """

    def __init__(
        self,
        store: ResourceStore,
        replica: Replica,
        authenticate: Callable[[web.Request], TokenSettings],
        revisions: Callable,
        on_change_accepted: Callable,
        status: Callable[[str], dict],
    ) -> None:
        self._store = store
        self._replica = replica
        self._authenticate = authenticate
        self._revisions = revisions
        self._on_change_accepted = on_change_accepted
        self._status = status
        self._changed = asyncio.Event()
        replica.on_change(self._wake_watchers)

    def add_routes(self, app: web.Application) -> None:
        """Add the routes for resources to an application."""
        app.router.add_get("/api/v1/status", self._with_auth(self.status))
        app.router.add_get("/api/v1/watch", self._with_auth(self.watch))
        app.router.add_get("/api/v1/{kind}", self._with_auth(self.list))
        app.router.add_get("/api/v1/{kind}/{name}", self._with_auth(self.get))
        app.router.add_put("/api/v1/{kind}/{name}", self._with_auth(self.put))
        app.router.add_delete("/api/v1/{kind}/{name}", self._with_auth(self.delete))

    async def status(self, req: web.Request, token: TokenSettings) -> web.Response:
        """Return the newest revision, and the one in force at every process."""
        revisions = await self._revisions()
        newest = max(revisions.values(), default=0)
        in_force = sum(1 for revision in revisions.values() if revision >= newest)
        body = {
            "revision": newest,
            "in_force": in_force,
            "of": len(revisions),
            "instances": revisions,
            **self._status(token.member),
        }
        return web.json_response(body)

    async def list(self, req: web.Request, token: TokenSettings) -> web.Response:
        """List the member's resources of a kind."""
        kind = self._kind(req)
        own = [r for r in self._replica.list(kind) if r.member == token.member]
        revisions = await self._revisions()
        return web.json_response([_document(r, revisions) for r in own])

    async def get(self, req: web.Request, token: TokenSettings) -> web.Response:
        """Read one resource."""
        kind = self._kind(req)
        resource = self._replica.get(kind, req.match_info["name"])
        if resource is None or resource.member != token.member:
            raise RefusedError(404, "not_found", "no such resource")
        return self._resource_response(resource, await self._revisions())

    async def put(self, req: web.Request, token: TokenSettings) -> web.Response:
        """Declare a resource."""
        kind, name = self._kind(req), req.match_info["name"]
        try:
            spec = msgspec.json.decode(await req.read(), type=dict)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise RefusedError(400, "bad_json", str(exc)) from exc
        findings = check_resource(kind, name, spec)
        if findings:
            body = {"error": {"code": "invalid", "ran": "no"}}
            body["error"]["message"] = "; ".join(str(f) for f in findings)
            body["error"]["findings"] = [f._asdict() for f in findings]
            return web.json_response(body, status=422)
        return await self._accept_change(req, token, kind, name, spec)

    async def delete(self, req: web.Request, token: TokenSettings) -> web.Response:
        """Delete a resource."""
        return await self._accept_change(
            req, token, self._kind(req), req.match_info["name"], None
        )

    async def watch(self, req: web.Request, token: TokenSettings) -> web.StreamResponse:
        """Stream the member's changes after a revision, including future ones."""
        try:
            since = int(req.query.get("from", "0"))
        except ValueError as exc:
            raise RefusedError(
                400, "bad_revision", "from must be a revision number"
            ) from exc
        resp = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await resp.prepare(req)
        while True:
            changed = self._changed
            for change in self._replica.changes_since(since):
                since = change.revision
                if change.member == token.member:
                    await resp.write(_encode_event(change))
            try:
                await asyncio.wait_for(changed.wait(), WATCH_COMMENT_S)
            except TimeoutError:
                await resp.write(b": idle\n\n")

    async def _accept_change(
        self,
        req: web.Request,
        token: TokenSettings,
        kind: Kind,
        name: str,
        spec: dict | None,
    ) -> web.Response:
        if not token.operator:
            raise RefusedError(
                403, "forbidden", "the token does not belong to an operator"
            )
        change = Change(
            kind, name, token.member, spec, _if_match(req), uuid.uuid4().hex
        )
        try:
            accepted = await self._store.accept(change)
        except StoreDownError as exc:
            raise RefusedError(
                503, "store_down", "the store is down; nothing was changed"
            ) from exc
        except OutcomeUnknownError as exc:
            message = "the change may have been accepted; read the resource to check"
            raise RefusedError(504, "outcome_unknown", message) from exc
        if accepted.is_err():
            return _refusal_response(accepted.unwrap_err())
        await self._on_change_accepted()
        return self._resource_response(accepted.unwrap(), await self._revisions())

    def _resource_response(
        self, resource: Resource, revisions: dict[str, int]
    ) -> web.Response:
        headers = {"ETag": f'"{resource.revision}"'}
        return web.json_response(_document(resource, revisions), headers=headers)

    def _kind(self, req: web.Request) -> Kind:
        try:
            return Kind(req.match_info["kind"])
        except ValueError as exc:
            kinds = ", ".join(Kind)
            message = f"unknown kind; must be one of {kinds}"
            raise RefusedError(404, "unknown_kind", message) from exc

    def _with_auth(self, handler):
        """Wrap a handler to authenticate requests and to return refusals as errors."""

        async def wrapped(req: web.Request) -> web.StreamResponse:
            try:
                return await handler(req, self._authenticate(req))
            except RefusedError as exc:
                return error_response(exc.error)

        return wrapped

    def _wake_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _if_match(req: web.Request) -> int | None:
    if req.headers.get("If-None-Match") == "*":
        return 0
    text = req.headers.get("If-Match", "").strip('"')
    if not text:
        return None
    if not text.isdigit():
        raise RefusedError(400, "bad_if_match", "If-Match must be a revision number")
    return int(text)


def _refusal_response(refusal: Refusal) -> web.Response:
    status = _STATUS_OF_REFUSAL[refusal.code]
    if refusal.current is None:
        return error_response(CallerError(status, refusal.code, refusal.message))
    error = {"code": refusal.code, "message": refusal.message, "ran": "no"}
    body = {"error": error, "current": refusal.current._asdict()}
    return web.json_response(body, status=status)


def _document(resource: Resource, revisions: dict[str, int]) -> dict:
    in_force = sum(1 for rev in revisions.values() if rev >= resource.revision)
    status = {"in_force": in_force, "of": len(revisions)}
    status["observed_generation"] = resource.generation if in_force else 0
    return {**resource._asdict(), "status": status}


def _encode_event(change: Resource) -> bytes:
    verb = "deleted" if change.deleted else "changed"
    data = msgspec.json.encode(change._asdict())
    return f"id: {change.revision}\nevent: {verb}\ndata: ".encode() + data + b"\n\n"

"""HTTP API for callers: model calls and plain services."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from typing import Required, TypedDict

import msgspec
import xxhash
from aiohttp import web

from slatehoist.config import Kind, Replica
from slatehoist.config.settings import EntrySettings, TokenSettings
from slatehoist.daemon.entry.answers import (
    CallerAnswer,
    CallerError,
    error_response,
)
from slatehoist.daemon.entry.dispatch import CallerRequest, Dispatcher
from slatehoist.daemon.entry.keyed import ClaimManager, KeyedRequest
from slatehoist.daemon.entry.quotas import TeamQuotas
from slatehoist.daemon.metrics import Metric, Metrics
from slatehoist.daemon.tracing import parent_context, trace_id, tracer
from slatehoist.routing import prefix_keys

log = logging.getLogger(__name__)

#: Request header with the caller's timeout, in seconds.
TIMEOUT_HEADER = "Slatehoist-Timeout"
#: Request header that marks a request as idempotent, ``true`` or ``false``.
IDEMPOTENT_HEADER = "Slatehoist-Idempotent"
#: Request header with the idempotency key; a request with one runs at most once.
KEY_HEADER = "Idempotency-Key"
#: Maximum length of an idempotency key, in characters.
MAX_KEY_CHARS = 255
#: Estimated bytes of prompt per token.
BYTES_PER_TOKEN = 4
#: Tokens assumed for a request that states no limit.
DEFAULT_MAX_TOKENS = 16
#: Request headers that are forwarded to the endpoint.
FORWARDED_HEADERS = ("Content-Type", "Accept", "Accept-Language")


class ModelCall(TypedDict, total=False):
    """Fields of a model call that the load balancer reads."""

    model: Required[str]
    max_tokens: int | None


class RefusedError(Exception):
    """Raised for a refused request; carries the error for its caller."""

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.error = CallerError(status, code, message)


class CallerApi:
    """HTTP handlers for the callers' requests."""

    def __init__(
        self,
        cfg: EntrySettings,
        replica: Replica,
        dispatcher: Dispatcher,
        claims: ClaimManager,
        quotas: TeamQuotas,
        metrics: Metrics,
        takes_work: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._cfg = cfg
        self._replica = replica
        self._dispatcher = dispatcher
        self._claims = claims
        self._quotas = quotas
        self._metrics = metrics
        self._takes_work = takes_work
        self._clock = clock
        self._tokens = {token.token: token for token in cfg.token}
        self.inflight = 0
        self.refused: Counter[str] = Counter()

    def add_routes(self, app: web.Application) -> None:
        """Add the routes for callers to an application."""
        app.router.add_post("/v1/completions", self.model_call)
        app.router.add_post("/v1/chat/completions", self.model_call)
        app.router.add_get("/v1/models", self.models)
        app.router.add_route("*", "/services/{service}/{path:.*}", self.service_call)

    def authenticate(self, req: web.Request) -> TokenSettings:
        """Return the settings of a request's bearer token: its member and team."""
        scheme, _, token = req.headers.get("Authorization", "").partition(" ")
        settings = self._tokens.get(token.strip()) if scheme == "Bearer" else None
        if settings is None:
            raise RefusedError(401, "unauthorized", "a valid bearer token is required")
        return settings

    async def models(self, req: web.Request) -> web.StreamResponse:
        """List the declared models that the caller's member may use."""
        try:
            token = self.authenticate(req)
        except RefusedError as exc:
            return error_response(exc.error)
        names = set()
        for endpoint in self._replica.specs(Kind.ENDPOINT).values():
            if not endpoint.members or token.member in endpoint.members:
                names.update(endpoint.models)
        data = [{"id": name, "object": "model"} for name in sorted(names)]
        return web.json_response({"object": "list", "data": data})

    async def model_call(self, req: web.Request) -> web.StreamResponse:
        """Run a completion or chat completion."""
        return await self._handle(req, self._parse_model_call)

    async def service_call(self, req: web.Request) -> web.StreamResponse:
        """Run a call to a plain service."""
        return await self._handle(req, self._parse_service_call)

    async def _handle(self, req: web.Request, parse) -> web.StreamResponse:
        context = parent_context(req.headers.get("traceparent", ""))
        started = self._clock()
        with tracer().start_as_current_span("entry.request", context) as span:
            trace = trace_id(span)
            self.inflight += 1
            try:
                resp, caller_req = await self._serve(req, parse, trace)
            except RefusedError as exc:
                resp, caller_req = error_response(exc.error, trace), None
            finally:
                self.inflight -= 1
            span.set_attribute("http.status_code", resp.status)
        self._record_end(req, resp, caller_req, trace, self._clock() - started)
        return resp

    async def _serve(self, req: web.Request, parse, trace: str):
        token = self.authenticate(req)
        if not self._takes_work():
            error = CallerError(503, "not_ready", "this entry takes no new work")
            return error_response(error._replace(retry_after_s=1.0), trace), None
        wait_s = self._quotas.acquire(token.team)
        if wait_s:
            error = CallerError(429, "over_quota", "the team is over its rate limit")
            return error_response(error._replace(retry_after_s=wait_s), trace), None
        body = await self._read_body(req)
        caller_req = parse(req, token, body)
        answer = CallerAnswer(req, trace, keep_copy=bool(caller_req.key))
        keyed = self._keyed_request(caller_req)
        try:
            async with asyncio.timeout(caller_req.deadline - self._clock()):
                resp = await self._dispatcher.run(caller_req, answer, keyed)
        except TimeoutError:
            error = CallerError(
                504, "deadline", "the request exceeded its deadline", "unknown"
            )
            resp = await answer.fail(error)
        return resp, caller_req

    def _keyed_request(self, caller_req: CallerRequest) -> KeyedRequest | None:
        if not caller_req.key:
            return None
        return self._claims.keyed_request(
            caller_req.member, caller_req.team, caller_req.key, caller_req.digest
        )

    async def _read_body(self, req: web.Request) -> bytes:
        limit = self._cfg.caller.max_body_bytes
        if (req.content_length or 0) > limit:
            raise RefusedError(413, "too_large", f"the body is over {limit} bytes")
        try:
            async with asyncio.timeout(self._cfg.caller.body_timeout_s):
                return await req.read()
        except TimeoutError as exc:
            raise RefusedError(
                408, "slow_body", "the body was not received in time"
            ) from exc
        except web.HTTPRequestEntityTooLarge as exc:
            message = f"the body is over {limit} bytes"
            raise RefusedError(413, "too_large", message) from exc

    def _parse_model_call(
        self, req: web.Request, token: TokenSettings, body: bytes
    ) -> CallerRequest:
        try:
            call = msgspec.json.decode(body, type=ModelCall)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            message = f"the body is not valid: {exc}"
            raise RefusedError(400, "bad_json", message) from exc
        model = call["model"]
        self._check_model(model, token.member)
        max_tokens = call.get("max_tokens") or DEFAULT_MAX_TOKENS
        prompt_tokens = len(body) / BYTES_PER_TOKEN
        return self._caller_request(
            req,
            token,
            body,
            path=req.path,
            model=model,
            cost=max_tokens + prompt_tokens / 8,
            prefixes=prefix_keys(body),
            idempotent=True,
        )

    def _parse_service_call(
        self, req: web.Request, token: TokenSettings, body: bytes
    ) -> CallerRequest:
        service = req.match_info["service"]
        endpoints = self._replica.specs(Kind.ENDPOINT).values()
        specs = [spec for spec in endpoints if spec.service == service]
        allowed = [s for s in specs if not s.members or token.member in s.members]
        if not allowed:
            raise RefusedError(404, "unknown_service", f"unknown service {service!r}")
        idempotent = all(req.method in spec.idempotent_methods for spec in allowed)
        path = "/" + req.match_info["path"]
        if req.query_string:
            path = f"{path}?{req.query_string}"
        return self._caller_request(
            req, token, body, path=path, service=service, idempotent=idempotent
        )

    def _caller_request(
        self,
        req: web.Request,
        token: TokenSettings,
        body: bytes,
        *,
        path: str,
        idempotent: bool,
        model: str = "",
        service: str = "",
        cost: float = 1.0,
        prefixes: list[int] | None = None,
    ) -> CallerRequest:
        key = req.headers.get(KEY_HEADER, "").strip('"')
        if len(key) > MAX_KEY_CHARS:
            raise RefusedError(
                400,
                "bad_key",
                f"the idempotency key is over {MAX_KEY_CHARS} characters",
            )
        idempotent_mark = req.headers.get(IDEMPOTENT_HEADER, "").lower()
        if idempotent_mark not in ("", "true", "false"):
            raise RefusedError(
                400, "bad_mark", f"{IDEMPOTENT_HEADER} must be true or false"
            )
        team = self._replica.spec(Kind.TEAM, token.team)
        return CallerRequest(
            member=token.member,
            team=token.team,
            model=model,
            service=service,
            method=req.method,
            path=path,
            body=body,
            headers={k: req.headers[k] for k in FORWARDED_HEADERS if k in req.headers},
            priority=team.priority if team else 5,
            deadline=self._clock() + self._timeout_s(req),
            idempotent=idempotent and idempotent_mark != "false" and not key,
            cost=cost,
            digest=_request_digest(token, req.method, path, body),
            prefixes=prefixes or [],
            key=key,
        )

    def _timeout_s(self, req: web.Request) -> float:
        text = req.headers.get(TIMEOUT_HEADER)
        if text is None:
            return self._cfg.caller.default_deadline_s
        try:
            timeout_s = float(text)
        except ValueError:
            timeout_s = 0.0
        if not 0 < timeout_s <= self._cfg.caller.max_deadline_s:
            limit = self._cfg.caller.max_deadline_s
            message = f"{TIMEOUT_HEADER} must be above 0 and at most {limit:g} seconds"
            raise RefusedError(400, "bad_timeout", message)
        return timeout_s

    def _check_model(self, model: str, member: str) -> None:
        for endpoint in self._replica.specs(Kind.ENDPOINT).values():
            allowed = not endpoint.members or member in endpoint.members
            if allowed and model in endpoint.models:
                return
        raise RefusedError(404, "unknown_model", f"unknown model {model!r}")

    def _record_end(self, req, resp, caller_req, trace: str, seconds: float) -> None:
        member = caller_req.member if caller_req else ""
        self._metrics.count(Metric.REQUESTS, member)
        self._metrics.timing(Metric.REQUEST_MS, seconds)
        if resp.status >= 400:
            self.refused[member] += 1
            self._metrics.count(Metric.REFUSED, member)
        log.info(
            "request_end",
            extra={
                "member": member,
                "team": caller_req.team if caller_req else "",
                "path": req.path,
                "status": resp.status,
                "seconds": round(seconds, 4),
                "trace": trace,
            },
        )


def _request_digest(token: TokenSettings, method: str, path: str, body: bytes) -> str:
    state = xxhash.xxh3_128(f"{token.member}/{token.team}/{method}/{path}\0".encode())
    state.update(body)
    return state.hexdigest()

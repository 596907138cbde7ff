"""Stand-in of a model engine: continuous batching, SSE, resume, cancel, load, orders.

A connection that closes does not cancel its stream: streams are resumed and cancelled
by id. Each step gives every running stream one token. A prompt that holds ``POISON``
crashes the process after ``poison_steps`` steps. Tokens depend on the prompt alone,
so that a caller can check an answer.
"""

import asyncio
import hashlib
import json
import os
import uuid

from aiohttp import web

from slatehoist_standins.faults import build_app_with_faults
from slatehoist_standins.record import Record

ENGINE = web.AppKey("engine", "Engine")

#: Exit status of a crash by poison.
CRASH_STATUS = 70


def token_text(prompt: str, index: int) -> str:
    """Give the token of an answer at an index."""
    return f"{hashlib.sha1(prompt.encode()).hexdigest()[:6]}.{index} "


class Stream:
    """One request in the engine."""

    def __init__(self, stream_id: str, prompt: str, max_tokens: int) -> None:
        self.id = stream_id
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.tokens: list[str] = []
        self.cancelled = False
        self.changed = asyncio.Event()

    @property
    def done(self) -> bool:
        """Tell whether no more tokens will come."""
        return self.cancelled or len(self.tokens) >= self.max_tokens

    def push(self) -> None:
        """Add the next token and wake the readers."""
        self.tokens.append(token_text(self.prompt, len(self.tokens)))
        self.wake()

    def wake(self) -> None:
        """Wake the readers."""
        self.changed.set()
        self.changed = asyncio.Event()


class Engine:
    """Batch of running streams and a queue of waiting ones."""

    def __init__(self, batch: int, step_s: float, slope: float, record: Record) -> None:
        self.batch = batch
        self.step_s = step_s
        self.slope = slope
        self.record = record
        self.incarnation = uuid.uuid4().hex[:12]
        self.streams: dict[str, Stream] = {}
        self.running: list[Stream] = []
        self.waiting: list[Stream] = []
        self.fence = 0
        self.stalled = False
        self.poison_steps = 5

    def admit(self, stream_id: str, prompt: str, max_tokens: int) -> Stream:
        """Queue a new stream."""
        stream = Stream(stream_id, prompt, max_tokens)
        self.streams[stream_id] = stream
        self.waiting.append(stream)
        self.record.write("run", id=stream_id, prompt=prompt[:200])
        return stream

    def cancel(self, stream: Stream) -> None:
        """Take a stream out of the batch."""
        if not stream.done:
            stream.cancelled = True
            self.record.write("cancel", id=stream.id, tokens=len(stream.tokens))
            stream.wake()

    def current_step_s(self) -> float:
        """Give the time of one step at the present batch."""
        return self.step_s * (1 + self.slope * len(self.running) / self.batch)

    async def run(self) -> None:
        """Step for ever."""
        while True:
            await asyncio.sleep(self.current_step_s())
            if self.stalled:
                continue
            self.running = [stream for stream in self.running if not stream.done]
            while self.waiting and len(self.running) < self.batch:
                self.running.append(self.waiting.pop(0))
            for stream in self.running:
                self._step(stream)

    def _step(self, stream: Stream) -> None:
        if stream.done:
            return
        stream.push()
        if "POISON" in stream.prompt and len(stream.tokens) >= self.poison_steps:
            self.record.write("crash", id=stream.id)
            os._exit(CRASH_STATUS)
        if stream.done:
            self.record.write("finish", id=stream.id, tokens=len(stream.tokens))


def _prompt_of(body: dict) -> str:
    if "messages" in body:
        return "\n".join(str(msg.get("content", "")) for msg in body["messages"])
    return str(body.get("prompt", ""))


async def complete(req: web.Request) -> web.StreamResponse:
    """Run a completion, streamed or whole."""
    engine = req.app[ENGINE]
    body = await req.json()
    prompt = _prompt_of(body)
    stream_id = req.headers.get("X-Request-Id") or uuid.uuid4().hex
    stream = engine.admit(stream_id, prompt, int(body.get("max_tokens", 16)))
    if body.get("stream"):
        return await _send_events(req, stream, 0)
    return await _send_whole(stream, body.get("model"))


async def _send_whole(stream: Stream, model: str | None) -> web.Response:
    while not stream.done:
        await stream.changed.wait()
    if stream.cancelled:
        return web.json_response({"error": "cancelled"}, status=499)
    return web.json_response(_whole_answer(stream, model))


def _whole_answer(stream: Stream, model: str | None) -> dict:
    return {
        "id": stream.id,
        "object": "text_completion",
        "model": model,
        "choices": [{"index": 0, "text": "".join(stream.tokens)}],
        "usage": {
            "prompt_tokens": len(stream.prompt) // 4,
            "completion_tokens": len(stream.tokens),
        },
    }


async def _send_events(
    req: web.Request, stream: Stream, start: int
) -> web.StreamResponse:
    resp = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await resp.prepare(req)
    sent = start
    while True:
        events = [_event(stream, i) for i in range(sent, len(stream.tokens))]
        sent = max(sent, len(stream.tokens))
        if events:
            await resp.write(b"".join(events))
        if stream.done and sent >= len(stream.tokens):
            break
        if sent >= len(stream.tokens):
            await stream.changed.wait()
    if not stream.cancelled:
        await resp.write(b"data: [DONE]\n\n")
    return resp


def _event(stream: Stream, index: int) -> bytes:
    choice = {"index": 0, "text": stream.tokens[index]}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


async def resume(req: web.Request) -> web.StreamResponse:
    """Send the events of a known stream from an index on."""
    stream = req.app[ENGINE].streams.get(req.match_info["id"])
    if stream is None:
        return web.Response(status=404)
    if req.query.get("whole"):
        return await _send_whole(stream, None)
    return await _send_events(req, stream, int(req.query.get("from", 0)))


async def cancel(req: web.Request) -> web.Response:
    """Cancel a stream."""
    stream = req.app[ENGINE].streams.get(req.match_info["id"])
    if stream is not None:
        req.app[ENGINE].cancel(stream)
    return web.Response()


async def load(req: web.Request) -> web.Response:
    """Report load."""
    engine = req.app[ENGINE]
    return web.json_response(
        {
            "incarnation": engine.incarnation,
            "running": len(engine.running),
            "waiting": len(engine.waiting),
            "step_s": engine.current_step_s(),
        }
    )


async def stall(req: web.Request) -> web.Response:
    """Stop or continue stepping."""
    req.app[ENGINE].stalled = (await req.json())["stalled"]
    return web.Response()


async def _run_engine(app: web.Application):
    task = asyncio.create_task(app[ENGINE].run())
    yield
    task.cancel()


def build_app(
    batch: str = "32", step_s: str = "0.005", slope: str = "0.5", record: str = ""
) -> web.Application:
    """Build the application."""
    app = build_app_with_faults()
    app[ENGINE] = Engine(int(batch), float(step_s), float(slope), Record(record))
    app.router.add_post("/v1/completions", complete)
    app.router.add_post("/v1/chat/completions", complete)
    app.router.add_get("/v1/streams/{id}", resume)
    app.router.add_delete("/v1/streams/{id}", cancel)
    app.router.add_get("/load", load)
    app.router.add_post("/stall", stall)
    app.cleanup_ctx.append(_run_engine)
    return app

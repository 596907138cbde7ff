"""Stand-in of a model engine with continuous batching.

Each step adds one token to every stream in the batch. Tokens depend on the prompt
alone, so that a caller can check a response. The engine implements:

``POST /v1/completions``, ``POST /v1/chat/completions``
    Queue a request and send its tokens, in one JSON body or as server-sent events. Both
    paths respond in the format of a text completion. A closed connection does not
    cancel the stream.
``GET /v1/streams/{id}``
    Resume a stream at the token with the index ``from``, or return the whole response
    once it is complete if ``whole`` is set.
``DELETE /v1/streams/{id}``
    Cancel a stream.
``GET /load``
    Return the incarnation, the numbers of running and waiting streams, and the step
    time.
``POST /stall``
    Fault: stop or continue all steps.

A prompt that contains ``POISON`` crashes the process once its stream has
`Engine.poison_steps` tokens. The faults of `faults` apply too.
"""

import asyncio
import hashlib
import json
import os
import time
import uuid

from aiohttp import web

from slatehoist_standins.faults import build_app_with_faults
from slatehoist_standins.record import Record

ENGINE = web.AppKey("engine", "Engine")

#: Seconds for which the engine answers nothing before a crash that a prompt with both
#: ``SILENT`` and ``POISON`` causes.
SILENCE_BEFORE_CRASH_S = 6.0
#: Exit status of a crash that a prompt with ``POISON`` causes.
CRASH_STATUS = 70


def token_text(prompt: str, index: int) -> str:
    """Return the text of the token at an index of the response to a prompt."""
    return f"{hashlib.sha1(prompt.encode()).hexdigest()[:6]}.{index} "


class Stream:
    """One request with the tokens generated so far."""

    def __init__(self, stream_id: str, prompt: str, max_tokens: int) -> None:
        self.id = stream_id
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.tokens: list[str] = []
        self.cancelled = False
        self.changed = asyncio.Event()

    @property
    def done(self) -> bool:
        """Return True if the stream is cancelled or has all its tokens."""
        return self.cancelled or len(self.tokens) >= self.max_tokens

    def append_token(self) -> None:
        """Generate the next token and notify the readers."""
        self.tokens.append(token_text(self.prompt, len(self.tokens)))
        self.notify_readers()

    def notify_readers(self) -> None:
        """Wake all tasks that wait for a change of the stream."""
        self.changed.set()
        self.changed = asyncio.Event()


class Engine:
    """Batch of running streams and a queue of waiting ones.

    Attributes
    ----------
    batch : int
        Maximum number of running streams.
    step_s : float
        Seconds of a step with an empty batch.
    slope : float
        Relative increase of the step time from an empty to a full batch.
    poison_steps : int
        Tokens after which a stream whose prompt contains ``POISON`` crashes the engine.
    """

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
        """Create a stream and append it to the queue."""
        stream = Stream(stream_id, prompt, max_tokens)
        self.streams[stream_id] = stream
        self.waiting.append(stream)
        self.record.write("run", id=stream_id, prompt=prompt[:200])
        return stream

    def cancel(self, stream: Stream) -> None:
        """Cancel a stream; a later step removes it from the batch."""
        if not stream.done:
            stream.cancelled = True
            self.record.write("cancel", id=stream.id, tokens=len(stream.tokens))
            stream.notify_readers()

    def current_step_s(self) -> float:
        """Return the seconds of one step at the current number of running streams."""
        return self.step_s * (1 + self.slope * len(self.running) / self.batch)

    async def run(self) -> None:
        """Run steps until cancelled."""
        while True:
            await asyncio.sleep(self.current_step_s())
            if self.stalled:
                continue
            self.running = [stream for stream in self.running if not stream.done]
            while self.waiting and len(self.running) < self.batch:
                self.running.append(self.waiting.pop(0))
            for stream in self.running:
                self._advance_stream(stream)

    def _advance_stream(self, stream: Stream) -> None:
        if stream.done:
            return
        stream.append_token()
        if "POISON" in stream.prompt and len(stream.tokens) >= self.poison_steps:
            self.record.write("crash", id=stream.id)
            if "SILENT" in stream.prompt:
                # Blocks the event loop, so that the engine answers nothing any more.
                time.sleep(SILENCE_BEFORE_CRASH_S)
            os._exit(CRASH_STATUS)
        if stream.done:
            self.record.write("finish", id=stream.id, tokens=len(stream.tokens))


def _read_prompt(body: dict) -> str:
    if "messages" in body:
        return "\n".join(str(msg.get("content", "")) for msg in body["messages"])
    return str(body.get("prompt", ""))


async def post_completion(req: web.Request) -> web.StreamResponse:
    """Run a completion; send events if the body has ``stream``, else one body."""
    engine = req.app[ENGINE]
    body = await req.json()
    prompt = _read_prompt(body)
    stream_id = req.headers.get("X-Request-Id") or uuid.uuid4().hex
    stream = engine.admit(stream_id, prompt, int(body.get("max_tokens", 16)))
    if body.get("stream"):
        return await _send_events(req, stream, 0)
    return await _send_completion(stream, body.get("model"))


async def _send_completion(stream: Stream, model: str | None) -> web.Response:
    while not stream.done:
        await stream.changed.wait()
    if stream.cancelled:
        return web.json_response({"error": "cancelled"}, status=499)
    return web.json_response(_make_completion(stream, model))


def _make_completion(stream: Stream, model: str | None) -> dict:
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
        events = [_encode_event(stream, i) for i in range(sent, len(stream.tokens))]
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


def _encode_event(stream: Stream, index: int) -> bytes:
    choice = {"index": 0, "text": stream.tokens[index]}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


async def resume_stream(req: web.Request) -> web.StreamResponse:
    """Send a stream from an index on, or its whole response if ``whole`` is set."""
    stream = req.app[ENGINE].streams.get(req.match_info["id"])
    if stream is None:
        return web.Response(status=404)
    if req.query.get("whole"):
        return await _send_completion(stream, None)
    return await _send_events(req, stream, int(req.query.get("from", 0)))


async def cancel_stream(req: web.Request) -> web.Response:
    """Cancel the stream with the id in the path, if there is one."""
    stream = req.app[ENGINE].streams.get(req.match_info["id"])
    if stream is not None:
        req.app[ENGINE].cancel(stream)
    return web.Response()


async def get_load(req: web.Request) -> web.Response:
    """Return the incarnation and the load of the engine."""
    engine = req.app[ENGINE]
    return web.json_response(
        {
            "incarnation": engine.incarnation,
            "running": len(engine.running),
            "waiting": len(engine.waiting),
            "step_s": engine.current_step_s(),
        }
    )


async def set_stalled(req: web.Request) -> web.Response:
    """Stop or continue all steps."""
    req.app[ENGINE].stalled = (await req.json())["stalled"]
    return web.Response()


async def _run_engine(app: web.Application):
    task = asyncio.create_task(app[ENGINE].run())
    yield
    task.cancel()


def build_app(
    batch: str = "32", step_s: str = "0.005", slope: str = "0.5", record: str = ""
) -> web.Application:
    """Build the application; see `Engine` for the options."""
    app = build_app_with_faults()
    app[ENGINE] = Engine(int(batch), float(step_s), float(slope), Record(record))
    app.router.add_post("/v1/completions", post_completion)
    app.router.add_post("/v1/chat/completions", post_completion)
    app.router.add_get("/v1/streams/{id}", resume_stream)
    app.router.add_delete("/v1/streams/{id}", cancel_stream)
    app.router.add_get("/load", get_load)
    app.router.add_post("/stall", set_stalled)
    app.cleanup_ctx.append(_run_engine)
    return app

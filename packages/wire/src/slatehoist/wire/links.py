"""Control links between processes: notifications, questions and heartbeats over pynng.

nng reconnects without reporting it, and does not detect a connection on which messages
no longer arrive. The client side of each link therefore sends heartbeats, which the
server side answers, and opens a new socket if it has received nothing for some time.
Each question has an id, so that a late answer is never taken for the answer to another
question.
"""

import asyncio
import contextlib
import itertools
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec
import pynng
from transitions import Machine

from slatehoist.wire.codec import decode, encode
from slatehoist.wire.exceptions import LinkDownError, WireError
from slatehoist.wire.messages import Heartbeat

#: Minimum seconds between heartbeats on a link; also the timeout of a send, and the
#: default timeout of a question.
HEARTBEAT_S = 1.0
#: Heartbeat intervals without any received message after which a link is silent.
MISSED_HEARTBEATS = 3
#: Seconds to wait before a silent or failed link is dialled again.
REDIAL_DELAY_S = 0.3

#: Seconds to wait for a cancelled task; a send that blocks in nng may never end.
CLOSE_TIMEOUT_S = 1.0
#: Maximum heartbeats per second that a process sends over all its links together.
MAX_HEARTBEATS_PER_S = 30.0

Handler = Callable[[str, bytes], Awaitable[Any]]


def heartbeat_interval_s(links: int) -> float:
    """Return the seconds between heartbeats on each link of a process.

    The heartbeat rate of a process is bounded, so the interval grows with the number of
    links. Urgent changes, such as the start of a drain, do not wait for the interval:
    they are sent on all links at once.
    """
    return max(HEARTBEAT_S, links / MAX_HEARTBEATS_PER_S)


class Envelope(NamedTuple):
    """Envelope of every control message; ``question_id`` is 0 in notifications."""

    kind: str
    question_id: int
    body: msgspec.Raw


class Traffic(NamedTuple):
    """Numbers of messages and bytes that were sent and received."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0

    def plus_sent(self, size: int) -> "Traffic":
        """Return the counts with one sent message added."""
        return self._replace(sent=self.sent + 1, sent_bytes=self.sent_bytes + size)

    def plus_received(self, size: int) -> "Traffic":
        """Return the counts with one received message added."""
        return self._replace(
            received=self.received + 1, received_bytes=self.received_bytes + size
        )


class LinkServer:
    """Server side of links: accepts connections and answers questions.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on; port 0 selects a free port.
    handlers : dict of str to coroutine function
        Handlers by kind of message. They are called with the peer's pipe id and the
        body of the message; the returned message is the answer to a question.
    heartbeat : callable
        Returns the heartbeat to send in reply to a heartbeat.

    Attributes
    ----------
    address : str
        The address to listen on, with the selected port after `start`.
    traffic : Traffic
        Messages and bytes that were sent and received so far.
    peers : dict of int to Heartbeat
        Last heartbeat of each connected peer, by pipe id.
    """

    def __init__(
        self,
        address: str,
        handlers: dict[str, Handler],
        heartbeat: Callable[[], Heartbeat],
    ) -> None:
        self.address = address
        self.traffic = Traffic()
        self.peers: dict[int, Heartbeat] = {}
        self._handlers = handlers
        self._heartbeat = heartbeat
        self._pipes: dict[int, pynng.Pipe] = {}
        self._socket: pynng.Pair1 | None = None
        self._tasks: set[asyncio.Task] = set()

    def start(self) -> None:
        """Listen and handle messages until `close`."""
        self._socket = pynng.Pair1(polyamorous=True)
        listener = self._socket.listen(f"tcp://{self.address}")
        if self.address.endswith(":0"):
            self.address = str(listener.local_address)
        self._spawn(self._serve())

    async def close(self) -> None:
        """Cancel all handlers and close the socket."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=CLOSE_TIMEOUT_S)
        if self._socket is not None:
            self._socket.close()

    async def broadcast(self, kind: str, msg: Any) -> None:
        """Send a notification to every connected peer."""
        for pipe in list(self._pipes.values()):
            await self._send(pipe, kind, 0, msg)

    def _spawn(self, coro: Awaitable) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self) -> None:
        while True:
            msg = await self._socket.arecv_msg()
            pipe = msg.pipe
            self.traffic = self.traffic.plus_received(len(msg.bytes))
            self._pipes[pipe.id] = pipe
            with contextlib.suppress(WireError):
                envelope = decode(msg.bytes, Envelope)
                self._spawn(self._handle(pipe, envelope))

    async def _handle(self, pipe: pynng.Pipe, envelope: Envelope) -> None:
        if envelope.kind == "heartbeat":
            self.peers[pipe.id] = decode(bytes(envelope.body), Heartbeat)
            await self._send(pipe, "heartbeat", envelope.question_id, self._heartbeat())
            return
        handler = self._handlers.get(envelope.kind)
        if handler is None:
            return
        answer = await handler(str(pipe.id), bytes(envelope.body))
        if envelope.question_id and answer is not None:
            await self._send(pipe, "answer", envelope.question_id, answer)

    async def _send(
        self, pipe: pynng.Pipe, kind: str, question_id: int, msg: Any
    ) -> None:
        data = encode(Envelope(kind, question_id, msgspec.Raw(encode(msg))))
        try:
            await asyncio.wait_for(pipe.asend(data), HEARTBEAT_S)
        except (pynng.NNGException, TimeoutError):
            self._pipes.pop(pipe.id, None)
            self.peers.pop(pipe.id, None)
            return
        self.traffic = self.traffic.plus_sent(len(data))


class Link:
    """Client side of a link to one peer; reconnects after a failure.

    One task dials the peer, receives messages, and dials again after a failure.

    Parameters
    ----------
    address : str
        ``host:port`` of the peer's `LinkServer`.
    heartbeat : callable
        Returns the heartbeat to send.
    on_heartbeat : callable
        Called with each heartbeat that is received.
    on_down : callable
        Called when the connection failed or the peer is silent.
    notification_handlers : dict of str to coroutine function
        Handlers of the peer's notifications, by kind. They are called with the peer's
        address and the body of the notification.
    clock : callable
        Monotonic clock, in seconds.
    interval_s : float
        Seconds between heartbeats. The attribute may be set while the link is open.
    """

    STATES = ["idle", "dialling", "up", "silent", "closed"]

    def __init__(
        self,
        address: str,
        heartbeat: Callable[[], Heartbeat],
        clock: Callable[[], float],
        on_heartbeat: Callable[[Heartbeat], None] = lambda beat: None,
        on_down: Callable[[], None] = lambda: None,
        notification_handlers: dict[str, Handler] | None = None,
        interval_s: float = HEARTBEAT_S,
    ) -> None:
        self.address = address
        self.traffic = Traffic()
        self.interval_s = interval_s
        self._heartbeat = heartbeat
        self._on_heartbeat = on_heartbeat
        self._on_down = on_down
        self._notification_handlers = notification_handlers or {}
        self._clock = clock
        self._pending_questions: dict[int, asyncio.Future] = {}
        self._question_ids = itertools.count(1)
        self._socket: pynng.Pair1 | None = None
        self._task: asyncio.Task | None = None
        self._handler_tasks: set[asyncio.Task] = set()
        self._lifecycle = Machine(
            model=self, states=self.STATES, initial="idle", auto_transitions=False
        )
        self._lifecycle.add_transition("mark_dialling", ["idle", "silent"], "dialling")
        self._lifecycle.add_transition("mark_up", ["dialling", "up"], "up")
        self._lifecycle.add_transition("mark_silent", ["dialling", "up"], "silent")
        self._lifecycle.add_transition("mark_closed", "*", "closed")

    def start(self) -> None:
        """Start the task that keeps the link connected until `close`."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Close the link; pending questions fail at their timeouts."""
        self.mark_closed()
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait({self._task}, timeout=2 * CLOSE_TIMEOUT_S)
        self._close_socket()

    async def ask(
        self, kind: str, msg: Any, answer_cls: type, timeout_s: float = HEARTBEAT_S
    ) -> Any:
        """Send an idempotent question and return its answer.

        Raises
        ------
        LinkDownError
            If the link is down, or no answer arrived within ``timeout_s`` seconds after
            the question was sent.
        """
        question_id = next(self._question_ids)
        fut = asyncio.get_running_loop().create_future()
        self._pending_questions[question_id] = fut
        try:
            await self._send(kind, question_id, msg)
            data = await asyncio.wait_for(fut, timeout_s)
        except (pynng.NNGException, TimeoutError) as exc:
            raise LinkDownError(f"no answer to {kind!r} from {self.address}") from exc
        finally:
            self._pending_questions.pop(question_id, None)
        return decode(data, answer_cls)

    async def notify(self, kind: str, msg: Any) -> None:
        """Send a notification; it is dropped silently if the link is down."""
        with contextlib.suppress(LinkDownError, pynng.NNGException, TimeoutError):
            await self._send(kind, 0, msg)

    async def _run(self) -> None:
        while True:
            self.mark_dialling()
            try:
                await self._run_connection()
            except (pynng.NNGException, TimeoutError, WireError):
                pass
            finally:
                self._close_socket()
            # A failed connection is treated like a silent peer.
            self.mark_silent()
            self._on_down()
            await asyncio.sleep(REDIAL_DELAY_S)

    async def _run_connection(self) -> None:
        self._socket = pynng.Pair1()
        self._socket.dial(f"tcp://{self.address}", block=False)
        heartbeats = asyncio.create_task(self._send_heartbeats())
        try:
            while True:
                timeout_s = self.interval_s * MISSED_HEARTBEATS
                msg = await asyncio.wait_for(self._socket.arecv_msg(), timeout_s)
                self._handle_message(msg.bytes)
        finally:
            heartbeats.cancel()
            await asyncio.wait({heartbeats}, timeout=CLOSE_TIMEOUT_S)

    async def _send_heartbeats(self) -> None:
        while True:
            with contextlib.suppress(pynng.NNGException, TimeoutError):
                await self._send("heartbeat", 0, self._heartbeat())
            await asyncio.sleep(self.interval_s)

    def _handle_message(self, data: bytes) -> None:
        envelope = decode(data, Envelope)
        self.traffic = self.traffic.plus_received(len(data))
        if self.state != "closed":
            self.mark_up()
        body = bytes(envelope.body)
        if envelope.kind == "heartbeat":
            self._on_heartbeat(decode(body, Heartbeat))
        elif envelope.kind == "answer":
            fut = self._pending_questions.get(envelope.question_id)
            if fut is not None and not fut.done():
                fut.set_result(body)
        elif envelope.kind in self._notification_handlers:
            task = asyncio.create_task(
                self._notification_handlers[envelope.kind](self.address, body)
            )
            self._handler_tasks.add(task)
            task.add_done_callback(self._handler_tasks.discard)

    async def _send(self, kind: str, question_id: int, msg: Any) -> None:
        if self._socket is None:
            raise LinkDownError(f"link to {self.address} is down")
        data = encode(Envelope(kind, question_id, msgspec.Raw(encode(msg))))
        await asyncio.wait_for(self._socket.asend(data), HEARTBEAT_S)
        self.traffic = self.traffic.plus_sent(len(data))

    def _close_socket(self) -> None:
        socket, self._socket = self._socket, None
        if socket is not None:
            socket.close()

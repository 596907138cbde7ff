"""Control links between processes: notes, questions and heartbeats over pynng.

nng reconnects out of sight, so a path that has gone silent would stay silent. Each
dialling side therefore sends heartbeats of its own and opens its socket anew when it
has heard nothing for a while. Questions carry a number, so that a late answer never
reaches the wrong question.
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

#: Seconds between heartbeats on an idle link.
HEARTBEAT_S = 1.0
#: Heartbeats missed in a row before a link counts as silent.
MISSED_HEARTBEATS = 3
#: Seconds before a silent or refused link is dialled again.
REDIAL_S = 0.3

#: Seconds to wait for a cancelled task; a send that nng holds may not end.
CLOSE_S = 1.0
#: Heartbeats a second that one process sends, all its links together.
MAX_HEARTBEATS_PER_S = 30.0

Handler = Callable[[str, bytes], Awaitable[Any]]


def heartbeat_interval_s(links: int) -> float:
    """Give the seconds between heartbeats on each of a process's links.

    Control has a budget, so that many links have slower heartbeats. What must be
    known at once, like leaving, is told at once on all of them.
    """
    return max(HEARTBEAT_S, links / MAX_HEARTBEATS_PER_S)


class Envelope(NamedTuple):
    """Outer form of every control message; ``ask`` is 0 for a note."""

    kind: str
    ask: int
    body: msgspec.Raw


class Traffic(NamedTuple):
    """Messages and bytes sent and received."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0

    def plus_sent(self, size: int) -> "Traffic":
        """Count one message sent."""
        return self._replace(sent=self.sent + 1, sent_bytes=self.sent_bytes + size)

    def plus_received(self, size: int) -> "Traffic":
        """Count one message received."""
        return self._replace(
            received=self.received + 1, received_bytes=self.received_bytes + size
        )


class LinkServer:
    """Listen for links and answer the peers' questions.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on; port 0 takes a free one.
    handlers : dict of str to coroutine function
        Called with the peer's pipe id and the message's body; a returned message
        answers a question.
    heartbeat : callable
        Gives the heartbeat that answers a peer's heartbeat.
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
        """Listen and serve until `close`."""
        self._socket = pynng.Pair1(polyamorous=True)
        listener = self._socket.listen(f"tcp://{self.address}")
        if self.address.endswith(":0"):
            self.address = str(listener.local_address)
        self._spawn(self._serve())

    async def close(self) -> None:
        """Stop serving and close the socket."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=CLOSE_S)
        if self._socket is not None:
            self._socket.close()

    async def broadcast(self, kind: str, msg: Any) -> None:
        """Send a note to every peer that is connected now."""
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
            await self._send(pipe, "heartbeat", envelope.ask, self._heartbeat())
            return
        handler = self._handlers.get(envelope.kind)
        if handler is None:
            return
        answer = await handler(str(pipe.id), bytes(envelope.body))
        if envelope.ask and answer is not None:
            await self._send(pipe, "answer", envelope.ask, answer)

    async def _send(self, pipe: pynng.Pipe, kind: str, ask: int, msg: Any) -> None:
        data = encode(Envelope(kind, ask, msgspec.Raw(encode(msg))))
        try:
            await asyncio.wait_for(pipe.asend(data), HEARTBEAT_S)
        except (pynng.NNGException, TimeoutError):
            self._pipes.pop(pipe.id, None)
            self.peers.pop(pipe.id, None)
            return
        self.traffic = self.traffic.plus_sent(len(data))


class Link:
    """Keep a control link to one peer, in one task, through every reconnection.

    Parameters
    ----------
    address : str
        ``host:port`` of the peer's `LinkServer`.
    heartbeat : callable
        Gives the heartbeat to send.
    on_heartbeat : callable
        Called with each heartbeat of the peer.
    on_down : callable
        Called when the peer has fallen silent.
    notes : dict of str to coroutine function
        Handlers of the peer's notes.
    clock : callable
        Monotonic clock, in seconds.
    """

    STATES = ["idle", "dialling", "up", "silent", "closed"]

    def __init__(
        self,
        address: str,
        heartbeat: Callable[[], Heartbeat],
        clock: Callable[[], float],
        on_heartbeat: Callable[[Heartbeat], None] = lambda beat: None,
        on_down: Callable[[], None] = lambda: None,
        notes: dict[str, Handler] | None = None,
        interval_s: float = HEARTBEAT_S,
    ) -> None:
        self.address = address
        self.traffic = Traffic()
        self.interval_s = interval_s
        self._heartbeat = heartbeat
        self._on_heartbeat = on_heartbeat
        self._on_down = on_down
        self._notes = notes or {}
        self._clock = clock
        self._asks: dict[int, asyncio.Future] = {}
        self._numbers = itertools.count(1)
        self._socket: pynng.Pair1 | None = None
        self._task: asyncio.Task | None = None
        self._note_tasks: set[asyncio.Task] = set()
        self._lifecycle = Machine(
            model=self, states=self.STATES, initial="idle", auto_transitions=False
        )
        self._lifecycle.add_transition("dial", ["idle", "silent"], "dialling")
        self._lifecycle.add_transition("receive", ["dialling", "up"], "up")
        self._lifecycle.add_transition("fall_silent", ["dialling", "up"], "silent")
        self._lifecycle.add_transition("shut", "*", "closed")

    def start(self) -> None:
        """Run the link in a task of its own until `close`."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Close the link; questions under way fail."""
        self.shut()
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait({self._task}, timeout=2 * CLOSE_S)
        self._hang_up()

    async def ask(
        self, kind: str, msg: Any, answer_cls: type, timeout_s: float = HEARTBEAT_S
    ) -> Any:
        """Send a question that may safely be asked twice, and wait for its answer.

        Raises
        ------
        LinkDownError
            If the link is down or no answer came in time.
        """
        number = next(self._numbers)
        fut = asyncio.get_running_loop().create_future()
        self._asks[number] = fut
        try:
            await self._send(kind, number, msg)
            data = await asyncio.wait_for(fut, timeout_s)
        except (pynng.NNGException, TimeoutError) as exc:
            raise LinkDownError(f"no answer from {self.address}") from exc
        finally:
            self._asks.pop(number, None)
        return decode(data, answer_cls)

    async def notify(self, kind: str, msg: Any) -> None:
        """Send a note; it is lost without a word if the peer is gone."""
        with contextlib.suppress(LinkDownError, pynng.NNGException, TimeoutError):
            await self._send(kind, 0, msg)

    async def _run(self) -> None:
        while True:
            self.dial()
            try:
                await self._converse()
            except (pynng.NNGException, TimeoutError, WireError):
                pass
            finally:
                self._hang_up()
            self.fall_silent()
            self._on_down()
            await asyncio.sleep(REDIAL_S)

    async def _converse(self) -> None:
        self._socket = pynng.Pair1()
        self._socket.dial(f"tcp://{self.address}", block=False)
        beats = asyncio.create_task(self._beat())
        try:
            while True:
                limit_s = self.interval_s * MISSED_HEARTBEATS
                msg = await asyncio.wait_for(self._socket.arecv_msg(), limit_s)
                self._take_in(msg.bytes)
        finally:
            beats.cancel()
            await asyncio.wait({beats}, timeout=CLOSE_S)

    async def _beat(self) -> None:
        while True:
            with contextlib.suppress(pynng.NNGException, TimeoutError):
                await self._send("heartbeat", 0, self._heartbeat())
            await asyncio.sleep(self.interval_s)

    def _take_in(self, data: bytes) -> None:
        envelope = decode(data, Envelope)
        self.traffic = self.traffic.plus_received(len(data))
        if self.state != "closed":
            self.receive()
        body = bytes(envelope.body)
        if envelope.kind == "heartbeat":
            self._on_heartbeat(decode(body, Heartbeat))
        elif envelope.kind == "answer":
            fut = self._asks.get(envelope.ask)
            if fut is not None and not fut.done():
                fut.set_result(body)
        elif envelope.kind in self._notes:
            task = asyncio.create_task(self._notes[envelope.kind](self.address, body))
            self._note_tasks.add(task)
            task.add_done_callback(self._note_tasks.discard)

    async def _send(self, kind: str, ask: int, msg: Any) -> None:
        if self._socket is None:
            raise LinkDownError(f"link to {self.address} is down")
        data = encode(Envelope(kind, ask, msgspec.Raw(encode(msg))))
        await asyncio.wait_for(self._socket.asend(data), HEARTBEAT_S)
        self.traffic = self.traffic.plus_sent(len(data))

    def _hang_up(self) -> None:
        socket, self._socket = self._socket, None
        if socket is not None:
            socket.close()

"""Relaying of an endpoint's event stream to a caller."""

import asyncio
from collections.abc import Callable

import aiohttp

from slatehoist.gateway.codec import HeaderCodec
from slatehoist.gateway.exchange import CallerLeftError, Exchange
from slatehoist.gateway.model import Endpoint
from slatehoist.gateway.upstream import BrokenReplyError
from slatehoist.http import (
    EventSplitter,
    InvalidHeaderError,
    OversizedEventError,
    RelayedResponse,
    check_headers,
    has_content,
    is_event_stream,
    media_type,
)
from slatehoist.observe import GatewayMetrics

#: Bytes of an event that is not whole yet which count as progress of its stream.
MIN_PROGRESS_BYTES = 1024
#: Seconds between checks whether a stalled stream can be continued elsewhere.
STALL_RECHECK_S = 0.25


class StreamRelay:
    """Pass streams on to callers, and move those of stragglers.

    Parameters
    ----------
    idle_timeout_s : float
        Seconds without progress after which a stream is stalled; see `_Progress`.

    Attributes
    ----------
    draining : bool
        True if each answer announces that its connection will be closed.
    """

    def __init__(
        self,
        codec: HeaderCodec,
        metrics: GatewayMetrics,
        idle_timeout_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._codec = codec
        self._metrics = metrics
        self._idle_timeout_s = idle_timeout_s
        self._clock = clock
        #: Watches of the movable streams, by endpoint.
        self._watches: dict[str, set[_StallWatch]] = {}
        self.draining = False
        #: Called with an exchange, the seconds between two of its events, and `now`.
        self.on_pause: Callable[[Exchange, float, float], None] | None = None

    async def relay(
        self,
        exchange: Exchange,
        endpoint: Endpoint,
        reply: aiohttp.ClientResponse,
        reserve_successor: Callable[[Exchange], bool],
        on_stall: Callable[[], None],
    ) -> None:
        """Pass the stream on to the caller as it arrives, until its end.

        On a resumable route only whole events are passed on until the stream ends, so
        that another endpoint can continue after the last of them. The rest is passed on
        at the end of the stream. The attempt times out if the stream makes no progress
        for too long and can be continued elsewhere, or if `move_streams` ends it. The
        time in which the caller does not take what was sent does not count.

        Parameters
        ----------
        reserve_successor : callable
            Reserves another attempt; returns False if none is possible now.
        on_stall : callable
            Called if the stream makes no progress for too long and is not ended.

        Raises
        ------
        BrokenReplyError
            If the stream ends within an event or, without a proved end, before any. It
            was broken off then. Also if the response cannot continue a stream of which
            the caller has got a part.
        """
        if exchange.stream is not None:
            _check_continuation(exchange, endpoint, reply)
        splitter = EventSplitter()
        has_events = is_event_stream(reply.headers, default=True)
        loop = asyncio.get_running_loop()
        watches = self._watches.setdefault(endpoint.endpoint_id, set())
        try:
            async with asyncio.timeout(None) as timeout:
                progress = _Progress(loop.time())
                watch = _StallWatch(
                    timeout,
                    progress,
                    self._idle_timeout_s,
                    lambda: _is_movable(exchange) and reserve_successor(exchange),
                    on_stall,
                )
                if _is_movable(exchange):
                    watches.add(watch)
                event_at: float | None = None
                while chunk := await reply.content.readany():
                    exchange.last_data_at = self._clock()
                    exchange.reply_bytes += len(chunk)
                    events = b""
                    if has_events or exchange.route.resumable:
                        events = _split_events(endpoint, splitter, chunk)
                    data = events if exchange.route.resumable else chunk
                    arrived_at = loop.time()
                    progress.record(chunk, events, has_events, arrived_at)
                    if events and self.on_pause is not None:
                        now = exchange.last_data_at
                        if event_at is not None:
                            self.on_pause(exchange, now - event_at, now)
                        event_at = now
                    if data:
                        watch.stop()
                        await self._write_to_caller(exchange, reply, data)
                        progress.at += loop.time() - arrived_at
                    watch.restart()
        finally:
            watch.stop()
            watches.discard(watch)
            if not watches and self._watches.get(endpoint.endpoint_id) is watches:
                del self._watches[endpoint.endpoint_id]
            exchange.partial_event_bytes = len(splitter.rest)
            exchange.last_event_id = splitter.last_event_id or exchange.last_event_id
        if has_events:
            _check_end(exchange, endpoint, splitter)
        rest = splitter.rest if exchange.route.resumable else b""
        await self._write_to_caller(exchange, reply, rest, last=True)

    async def _write_to_caller(
        self,
        exchange: Exchange,
        reply: aiohttp.ClientResponse,
        data: bytes,
        last: bool = False,
    ) -> None:
        """Send a part of a stream; mark the stream as whole after the last part.

        Raises
        ------
        CallerLeftError
            If the caller's connection is closed. aiohttp raises an error for that which
            it also raises for connections to endpoints.
        """
        try:
            if exchange.stream is None:
                await self._open_stream(exchange, reply)
            if data:
                await exchange.stream.write(data)
            if last:
                await exchange.stream.write_eof()
        except ConnectionError as exc:
            raise CallerLeftError(exchange.info.request_id) from exc

    async def _open_stream(
        self, exchange: Exchange, reply: aiohttp.ClientResponse
    ) -> None:
        headers = self._codec.reply_headers(reply.headers)
        try:
            check_headers(headers)
        except InvalidHeaderError as exc:
            raise BrokenReplyError(str(exc)) from exc
        exchange.stream = RelayedResponse(reply.status, headers, exchange.framing)
        exchange.stream_media_type = media_type(reply.headers)
        if self.draining:
            exchange.stream.force_close()
        await exchange.stream.prepare(exchange.req)
        exchange.record_first_byte(self._metrics, self._clock())

    def move_streams(self, endpoint_id: str) -> int:
        """End the movable streams of a straggler, so that other endpoints resume them.

        Those for which nothing can be reserved go on. Return the number of streams that
        were moved.
        """
        watches = list(self._watches.get(endpoint_id, ()))
        moved = sum(watch.move() for watch in watches)
        self._metrics.moved_streams.inc(moved)
        return moved


class _Progress:
    """Time at which a stream last made progress.

    An event with content is progress, and so are `MIN_PROGRESS_BYTES` of a large one.
    Comments, blank lines and a byte now and then are not: an endpoint that is stalled
    may send them for good.
    """

    def __init__(self, now: float) -> None:
        self.at = now
        #: How often the stream made progress.
        self.count = 0
        self._bytes = 0

    def record(self, chunk: bytes, events: bytes, has_events: bool, now: float) -> None:
        """Record data that arrived, and the events that it has completed."""
        self._bytes += len(chunk)
        is_progress = has_content(events) if has_events else True
        if is_progress or self._bytes >= MIN_PROGRESS_BYTES:
            self.at = now
            self.count += 1
            self._bytes = 0


class _StallWatch:
    """Watch that ends a stream without progress, once it can be continued elsewhere.

    Until then the endpoint may still go on, and an end would only lose the rest.
    """

    def __init__(
        self,
        timeout: asyncio.Timeout,
        progress: _Progress,
        idle_timeout_s: float,
        reserve: Callable[[], bool],
        on_stall: Callable[[], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._timeout = timeout
        self._progress = progress
        self._idle_timeout_s = idle_timeout_s
        self._reserve = reserve
        self._is_moved = False
        self._on_stall = on_stall
        #: Count of progress before the last stall that was reported.
        self._reported_after: int | None = None
        self._handle: asyncio.TimerHandle | None = None
        self.restart()

    def restart(self) -> None:
        """Watch for a stall since the last progress."""
        self.stop()
        due_at = self._progress.at + self._idle_timeout_s
        self._handle = self._loop.call_at(due_at, self._expire)

    def stop(self) -> None:
        """Cease to watch."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def move(self) -> bool:
        """End the stream if it can be continued elsewhere; return True if it ends."""
        if self._is_moved or self._timeout.expired() or not self._reserve():
            return False
        self._is_moved = True
        self._timeout.reschedule(0.0)
        return True

    def _expire(self) -> None:
        if self.move() or self._is_moved or self._timeout.expired():
            return
        if self._reported_after != self._progress.count:
            self._reported_after = self._progress.count
            self._on_stall()
        self._handle = self._loop.call_later(STALL_RECHECK_S, self._expire)


def _split_events(endpoint: Endpoint, splitter: EventSplitter, chunk: bytes) -> bytes:
    """Return the events that a chunk completes; raise BrokenReplyError if large."""
    try:
        return splitter.feed(chunk)
    except OversizedEventError as exc:
        raise BrokenReplyError(f"{endpoint.address}: {exc}") from exc


def _check_continuation(
    exchange: Exchange, endpoint: Endpoint, reply: aiohttp.ClientResponse
) -> None:
    """Raise BrokenReplyError unless a response has the form of the one it continues.

    Any other is an error or a response of its own, whatever its status.
    """
    expected = exchange.stream.status, exchange.stream_media_type
    found = reply.status, media_type(reply.headers)
    if found != expected:
        raise BrokenReplyError(
            f"{endpoint.address}: response {found} does not continue {expected}"
        )


def _check_end(exchange: Exchange, endpoint: Endpoint, splitter: EventSplitter) -> None:
    """Raise BrokenReplyError if the end of an event stream shows that it is cut.

    A stream without events is whole if its end is proved, or if it resumes another
    that may have had all its events. Otherwise the endpoint may have ended before
    the first one.
    """
    if splitter.within_event:
        raise BrokenReplyError(
            f"{endpoint.address}: stream ended within an event, after "
            f"{exchange.reply_bytes} bytes"
        )
    is_empty = exchange.reply_bytes == 0 and not exchange.last_event_id
    if is_empty and not exchange.framing.proves_end:
        raise BrokenReplyError(
            f"{endpoint.address}: stream ended with its connection before any event"
        )


def _is_movable(exchange: Exchange) -> bool:
    """Return True if the stream may be moved to another endpoint while it runs."""
    return (
        exchange.route.resumable and exchange.attempts + 1 < exchange.route.max_attempts
    )

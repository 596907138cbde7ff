"""Splitting of an event stream into whole events."""

#: Byte sequences that end an event.
_DELIMITERS = (b"\n\n", b"\r\n\r\n")
_ID_FIELD = b"id:"


class EventSplitter:
    """Split a byte stream into whole events, and buffer an incomplete one.

    Until the stream ends, only whole events are returned, so that another endpoint can
    continue a stream that is cut off within an event.
    """

    def __init__(self) -> None:
        self._rest = b""
        self.last_event_id = ""

    def feed(self, data: bytes) -> bytes:
        """Append bytes, and return the events that are whole and not yet returned."""
        self._rest += data
        end = max(
            (
                at + len(delimiter)
                for delimiter in _DELIMITERS
                if (at := self._rest.rfind(delimiter)) >= 0
            ),
            default=0,
        )
        whole, self._rest = self._rest[:end], self._rest[end:]
        if whole:
            self.last_event_id = _last_id(whole) or self.last_event_id
        return whole

    def discard(self) -> int:
        """Drop an incomplete event, and return its size in bytes."""
        size = len(self._rest)
        self._rest = b""
        return size

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last whole event."""
        return self._rest


def _last_id(events: bytes) -> str:
    for line in reversed(events.splitlines()):
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return ""

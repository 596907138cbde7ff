"""Splitting of an event stream into whole events."""

#: Ends of an event, in the order in which they are looked for.
_DELIMITERS = (b"\n\n", b"\r\n\r\n")
_ID_FIELD = b"id:"


class EventSplitter:
    """Cut a byte stream into whole events, and keep the rest for later.

    A stream that breaks off in the middle of an event can thus be continued at
    another endpoint after the last event that was whole.
    """

    def __init__(self) -> None:
        self._rest = b""
        self.last_event_id = ""

    def feed(self, data: bytes) -> bytes:
        """Take in bytes and give those of the events that are now whole."""
        self._rest += data
        end = max(
            (
                at + len(mark)
                for mark in _DELIMITERS
                if (at := self._rest.rfind(mark)) >= 0
            ),
            default=0,
        )
        whole, self._rest = self._rest[:end], self._rest[end:]
        if whole:
            self.last_event_id = _last_id(whole) or self.last_event_id
        return whole

    def discard(self) -> int:
        """Drop an event that broke off, and give its size in bytes."""
        size = len(self._rest)
        self._rest = b""
        return size

    @property
    def rest(self) -> bytes:
        """Bytes after the last whole event."""
        return self._rest


def _last_id(events: bytes) -> str:
    for line in reversed(events.splitlines()):
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return ""

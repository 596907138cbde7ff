"""Splitting of an event stream (``text/event-stream``) into whole events."""

from collections.abc import Mapping

#: Byte sequences with which a blank line ends an event. A line ends with LF, CR LF or
#: CR, also in one stream.
_BLANK_LINES = (b"\n\n", b"\n\r\n", b"\n\r", b"\r\r\n", b"\r\r")
_MAX_BLANK_LINE = max(len(blank_line) for blank_line in _BLANK_LINES)
_ID_FIELD = b"id:"
_COMMENT = b":"
_MEDIA_TYPE = "text/event-stream"
#: Largest event that is accepted, in bytes.
MAX_EVENT_BYTES = 1024 * 1024


class OversizedEventError(Exception):
    """Raised if an event does not end within `MAX_EVENT_BYTES`."""


def is_event_stream(headers: Mapping[str, str], default: bool = False) -> bool:
    """Return True if a response's body is an event stream.

    Parameters
    ----------
    default : bool
        Result if the headers do not state a type.
    """
    stated = media_type(headers)
    return stated == _MEDIA_TYPE if stated else default


def media_type(headers: Mapping[str, str]) -> str:
    """Return the media type of a body in lower case; empty if it is not stated."""
    return headers.get("Content-Type", "").partition(";")[0].strip().lower()


def has_content(events: bytes) -> bool:
    """Return True if events contain a line that is neither blank nor a comment."""
    return any(line and not line.startswith(_COMMENT) for line in events.splitlines())


class EventSplitter:
    """Split a byte stream into whole events, and buffer an incomplete one.

    Until the stream ends, only whole events are returned, so that another endpoint can
    continue a stream that is cut off within an event.
    """

    def __init__(self) -> None:
        self._rest = bytearray()
        self.last_event_id = ""

    def feed(self, data: bytes) -> bytes:
        """Append bytes, and return the events that are whole and not yet returned.

        Raises
        ------
        OversizedEventError
            If an event is too large.
        """
        # A blank line may have begun in the bytes before.
        start = max(0, len(self._rest) - _MAX_BLANK_LINE + 1)
        self._rest += data
        end = max(
            (
                at + len(blank_line)
                for blank_line in _BLANK_LINES
                if (at := self._rest.rfind(blank_line, start)) >= 0
            ),
            default=0,
        )
        whole = bytes(self._rest[:end])
        del self._rest[:end]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise OversizedEventError(f"an event has more than {MAX_EVENT_BYTES} bytes")
        if whole:
            self.last_event_id = _last_id(whole) or self.last_event_id
        return whole

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last whole event."""
        return bytes(self._rest)

    @property
    def within_event(self) -> bool:
        """Return True if the bytes after the last whole event are part of another.

        Whole lines that are blank or comments are not.
        """
        *lines, unfinished = self.rest.replace(b"\r", b"\n").split(b"\n")
        return bool(unfinished) or any(
            line and not line.startswith(_COMMENT) for line in lines
        )


def _last_id(events: bytes) -> str:
    for line in reversed(events.splitlines()):
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return ""

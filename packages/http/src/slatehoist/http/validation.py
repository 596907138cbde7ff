"""Validation of the responses that a connection receives (RFC 9112).

aiohttp's parsers accept more than the standard does, and each accepts something else.
A `ResponseValidator` reads the bytes before they do, and passes on a canonical form:
lines end with CR LF, nothing is folded, and chunks have no extensions. What it passes
on has one meaning only.
"""

import re
from collections.abc import Callable

from aiohttp.client_exceptions import ClientPayloadError

from slatehoist.http.framing import Framing, has_no_body

#: Largest head that is accepted, largest line of it or of the chunk framing, and most
#: fields in a head or a trailer section.
MAX_HEAD_BYTES = 256 * 1024
MAX_LINE_BYTES = 16 * 1024
MAX_FIELDS = 128
#: Informational responses (status below 200) that are accepted before the final one.
MAX_INFORMATIONAL = 16
#: Bytes of a chunk that are held back until its end was received. The start of a
#: larger chunk is passed on before.
MAX_HELD_BYTES = 64 * 1024
#: Digits of a length: enough for any body, few enough for 64 bits.
_MAX_LENGTH_DIGITS = 18
#: Bytes of a response that an error message quotes.
_MAX_QUOTED_BYTES = 40

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_QUOTED_TEXT = (
    rb'"(?:[\t\x20\x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*"'
)
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: " + _TEXT + rb")?")
#: Start of a status line, and a valid one that completes a part of it.
_STATUS_START = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}")
_STATUS_EXAMPLE = b"HTTP/1.1 200"
_FIELD = re.compile(_TOKEN + b":" + _TEXT)
_FIELD_NAME = re.compile(_TOKEN)
_CHUNK_EXTENSION = (
    rb"[ \t]*;[ \t]*" + _TOKEN + rb"(?:[ \t]*=[ \t]*(?:" + _TOKEN + b"|" + _QUOTED_TEXT
) + b"))?"
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:" + _CHUNK_EXTENSION + rb")*\r\n")
#: Start of a line with the size of a chunk, of which the rest is missing.
_CHUNK_LINE_START = re.compile(rb"[0-9A-Fa-f]{1,16}(?:[ \t;\r]|$)")
_TRAILER_LINE = re.compile(rb"(?:" + _TOKEN + b":" + _TEXT + rb")?\r\n")
_LINE_END = b"\r\n"
_BLANKS = b" \t"
_CODING = b"transfer-encoding"
_LENGTH = b"content-length"
_CHUNKED = b"chunked"
_FIRST_FINAL_STATUS = 200


class MalformedResponseError(ClientPayloadError):
    """Raised if a response breaks the rules of HTTP/1.1."""


class ResponseValidator:
    """Check the bytes of one response, and of informational ones before it.

    A head, and a chunk up to `MAX_HELD_BYTES`, is passed on only when it is whole, so
    that nothing of a broken one gets any further. In a head, lines that end with LF
    alone and folded values are repaired, unless they concern the framing.

    Parameters
    ----------
    has_body : bool
        False if the response has no body by the method of its request.

    Attributes
    ----------
    excess_bytes : int
        Number of bytes that were received after the response.
    """

    def __init__(self, has_body: bool = True) -> None:
        self._has_body = has_body
        self._buffer = bytearray()
        #: Reads the next part of the response. It returns nothing if more bytes are
        #: needed, and replaces itself when another kind of part follows.
        self._read: Callable[[], bytes] = self._read_head
        #: Lines of the head that were read.
        self._lines: list[bytes] = []
        #: Position in the buffer at which the next line of the head begins, and the one
        #: up to which its end was searched for.
        self._line_start = self._searched = 0
        #: Bytes to come of the body, or of a chunk that is passed on in parts.
        self._left = 0
        self._informational = self._trailers = 0
        self.excess_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Return those of the bytes received so far that are found to be valid.

        Raises
        ------
        MalformedResponseError
            If the response is broken.
        """
        self._buffer += data
        parts = []
        while self._buffer and (part := self._read()):
            parts.append(part)
        return b"".join(parts)

    def _take(self, size: int) -> bytes:
        """Remove bytes from the start of the buffer, and return them."""
        part = bytes(self._buffer[:size])
        del self._buffer[:size]
        return part

    def _read_head(self) -> bytes:
        buffer = self._buffer
        if not self._lines:
            _check_status_start(bytes(buffer[: len(_STATUS_EXAMPLE)]))
        while (end := buffer.find(b"\n", self._searched)) >= 0:
            line = bytes(buffer[self._line_start : end]).removesuffix(b"\r")
            self._line_start = self._searched = end + 1
            if not line:
                return self._end_head()
            self._add_line(line)
        self._searched = len(buffer)
        if len(buffer) > MAX_HEAD_BYTES:
            raise MalformedResponseError(f"head of over {MAX_HEAD_BYTES} bytes")
        _check_line_size(len(buffer) - self._line_start)
        return b""

    def _add_line(self, line: bytes) -> None:
        """Add a line to the head; a folded one continues the line before.

        Raises
        ------
        MalformedResponseError
            If the line is invalid.
        """
        if not self._lines:
            if _STATUS_LINE.fullmatch(line) is None:
                raise MalformedResponseError(f"status line {_quote(line)}")
        elif line[0] in _BLANKS and len(self._lines) > 1:
            continued = self._lines.pop()
            if _name(continued) in (_CODING, _LENGTH):
                raise MalformedResponseError(f"folded field {_quote(continued)}")
            line = continued + b" " + line.strip(_BLANKS)
            _check_field(line)
        else:
            _check_field(line)
        _check_line_size(len(line))
        if len(self._lines) > MAX_FIELDS:
            raise MalformedResponseError(f"head with over {MAX_FIELDS} fields")
        self._lines.append(line)

    def _end_head(self) -> bytes:
        """Return the canonical head, and prepare for what follows it."""
        self._take(self._line_start)
        lines, self._lines = self._lines, []
        self._line_start = self._searched = 0
        version, status = _STATUS_LINE.fullmatch(lines[0]).groups()
        framing, self._left = _read_framing(version, lines)
        if int(status) < _FIRST_FINAL_STATUS:
            self._informational += 1
            if self._informational > MAX_INFORMATIONAL:
                raise MalformedResponseError(
                    f"over {MAX_INFORMATIONAL} informational responses"
                )
        elif (
            not self._has_body
            or has_no_body(int(status))
            or (framing is Framing.LENGTH and not self._left)
        ):
            self._read = self._read_excess
        else:
            self._read = {
                Framing.CHUNKED: self._read_chunk,
                Framing.LENGTH: self._read_length,
                Framing.CONNECTION: self._read_to_end,
            }[framing]
        return _LINE_END.join([*map(_canonical_line, lines), b"", b""])

    def _read_length(self) -> bytes:
        part = self._take(self._left)
        self._left -= len(part)
        if not self._left:
            self._read = self._read_excess
        return part

    def _read_to_end(self) -> bytes:
        return self._take(len(self._buffer))

    def _read_excess(self) -> bytes:
        self.excess_bytes += len(self._take(len(self._buffer)))
        return b""

    def _read_chunk(self) -> bytes:
        """Return the next chunk, or the start of one that is large."""
        buffer = self._buffer
        if b"\n" not in buffer:
            if _CHUNK_LINE_START.match(buffer) is None:
                raise MalformedResponseError(f"size of a chunk {_quote(buffer)}")
            self._check_unfinished_line("size of a chunk")
            return b""
        line = _CHUNK_LINE.match(buffer)
        if line is None:
            raise MalformedResponseError(f"size of a chunk {_quote(buffer)}")
        size, start = int(line[1], 16), line.end()
        head = b"%x\r\n" % size
        if size == 0:
            self._take(start)
            self._read = self._read_trailer
            return head
        if len(buffer) < start + size and len(buffer) - start > MAX_HELD_BYTES:
            self._take(start)
            self._left = size
            self._read = self._read_chunk_part
            return head
        if not self._has_chunk_end(start + size):
            return b""
        self._take(start)
        return head + self._take(size + len(_LINE_END))

    def _read_chunk_part(self) -> bytes:
        """Return a part of a large chunk, or its end."""
        if self._left:
            part = self._take(self._left)
            self._left -= len(part)
            return part
        if not self._has_chunk_end(0):
            return b""
        self._read = self._read_chunk
        return self._take(len(_LINE_END))

    def _has_chunk_end(self, at: int) -> bool:
        """Return True if a chunk ends at a position, False if its end is to come.

        Raises
        ------
        MalformedResponseError
            If the chunk does not end there.
        """
        end = bytes(self._buffer[at : at + len(_LINE_END)])
        if not _LINE_END.startswith(end):
            raise MalformedResponseError(f"{_quote(end)} instead of the end of a chunk")
        return end == _LINE_END

    def _read_trailer(self) -> bytes:
        """Check the lines after the last chunk; return the end of the body."""
        while b"\n" in self._buffer:
            line = _TRAILER_LINE.match(self._buffer)
            if line is None:
                raise MalformedResponseError(f"trailer field {_quote(self._buffer)}")
            self._take(line.end())
            if line.end() == len(_LINE_END):
                self._read = self._read_excess
                return _LINE_END
            self._trailers += 1
            if self._trailers > MAX_FIELDS:
                raise MalformedResponseError(f"over {MAX_FIELDS} trailer fields")
        self._check_unfinished_line("trailer field")
        return b""

    def _check_unfinished_line(self, what: str) -> None:
        """Raise MalformedResponseError if a line without an end is too long."""
        if len(self._buffer) > MAX_LINE_BYTES:
            raise MalformedResponseError(f"{what} {_quote(self._buffer)}")


def _check_status_start(start: bytes) -> None:
    """Raise MalformedResponseError unless a status line can start like this."""
    if _STATUS_START.fullmatch(start + _STATUS_EXAMPLE[len(start) :]) is None:
        raise MalformedResponseError(f"status line {_quote(start)}")


def _check_line_size(size: int) -> None:
    """Raise MalformedResponseError if a line of a head is too long."""
    if size > MAX_LINE_BYTES:
        raise MalformedResponseError(f"line of over {MAX_LINE_BYTES} bytes")


def _check_field(line: bytes) -> None:
    """Raise MalformedResponseError unless a line of a head is a field."""
    if _FIELD.fullmatch(line) is not None:
        return
    name, colon, value = line.partition(b":")
    if not colon or _FIELD_NAME.fullmatch(name) is None:
        raise MalformedResponseError(f"field name {_quote(name)}")
    raise MalformedResponseError(f"value {_quote(value)} of field {_quote(name)}")


def _read_framing(version: bytes, lines: list[bytes]) -> tuple[Framing, int]:
    """Return what marks the end of the body, and the length that the head states.

    Raises
    ------
    MalformedResponseError
        If the head is ambiguous or states a transfer coding other than ``chunked``,
        which no request offers.
    """
    codings, lengths = [], []
    for line in lines[1:]:
        name = _name(line)
        if name in (_CODING, _LENGTH):
            value = line[len(name) + 1 :].strip(_BLANKS)
            (codings if name == _CODING else lengths).append(value)
    if codings:
        if len(codings) > 1 or codings[0].lower() != _CHUNKED:
            raise MalformedResponseError(
                f"transfer coding {_quote(b' and '.join(codings))}"
            )
        if lengths:
            raise MalformedResponseError("transfer coding and content length")
        if version == b"0":
            raise MalformedResponseError("transfer coding in HTTP/1.0")
        return Framing.CHUNKED, 0
    if not lengths:
        return Framing.CONNECTION, 0
    if len(lengths) > 1 or not lengths[0].isdigit():
        raise MalformedResponseError(f"content length {_quote(b' and '.join(lengths))}")
    if len(lengths[0]) > _MAX_LENGTH_DIGITS:
        raise MalformedResponseError(f"content length {_quote(lengths[0])}")
    return Framing.LENGTH, int(lengths[0])


def _canonical_line(line: bytes) -> bytes:
    """Return a line without blanks around its value if it concerns the framing."""
    if _name(line) not in (_CODING, _LENGTH):
        return line
    name, _, value = line.partition(b":")
    return name + b": " + value.strip(_BLANKS)


def _name(line: bytes) -> bytes:
    """Return the name of a field in lower case."""
    return line.partition(b":")[0].lower()


def _quote(data: bytes) -> str:
    """Return the first of some bytes as they are shown in a message."""
    return repr(bytes(data[:_MAX_QUOTED_BYTES]))

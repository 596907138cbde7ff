"""Builders of odd answers, and a strict reader of answers (RFC 9112)."""

import random
import re
from typing import NamedTuple

from slatehoist_standins.deployment_server import ID_MARK

BODY = b"id: 1\ndata: the whole body\n\n"
CHUNK = b"%x\r\n" % len(BODY) + BODY + b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"
LENGTH = b"Content-Length: %d" % len(BODY)
CHUNKED = b"Transfer-Encoding: chunked"
STATUS_LINE = b"HTTP/1.1 200 OK"


def make_answer(
    *fields: bytes,
    framing: bytes = LENGTH,
    body: bytes = BODY,
    status_line: bytes = STATUS_LINE,
    line_end: bytes = b"\r\n",
) -> bytes:
    """Build an answer of a server, whose fields and framing need not be valid."""
    lines = [
        status_line,
        b"Request-Id: " + ID_MARK,
        b"Server-Stamp: proof",
        b"Content-Type: text/event-stream",
        *fields,
        framing,
    ]
    return line_end.join([*(line for line in lines if line), b"", b""]) + body


def make_chunked(*parts: bytes, fields: tuple[bytes, ...] = ()) -> bytes:
    """Build an answer whose body has the parts, with their chunk framing."""
    return make_answer(*fields, framing=CHUNKED, body=b"".join(parts))


#: Status lines of which the status is no status code (RFC 9110, section 15).
BROKEN_STATUSES: dict[str, bytes] = {
    f"status {status!r}": make_answer(status_line=b"HTTP/1.1 " + status + b" X")
    for status in (
        *(b"000", b"001", b"042", b"099", b"600", b"777", b"999"),
        *(b"0", b"42", b"20", b"2000", b"0200", b"00200", b"2e2", b"-20", b"+20"),
        *(b"20x", b"0x1", b" 200", b"", b"\xb2\xb0\xb0", b"2_0"),
    )
} | {
    f"status line {line!r}": make_answer(status_line=line)
    for line in (
        b"HTTP/1.1\t200 OK",
        b"HTTP/1.1  200 OK",
        b"HTTP/0.9 200 OK",
        b"HTTP/2.0 200 OK",
        b"HTTP/1.10 200 OK",
        b"HTTP/11 200 OK",
        b"HTTP 200 OK",
        b"http/1.1 200 OK",
        b" HTTP/1.1 200 OK",
        b"\r\nHTTP/1.1 200 OK",
        b"ICY 200 OK",
        b"HTTP/1.1 200 O\x00K",
        b"HTTP/1.1 200 O\x07K",
        b"HTTP/1.1 200 O\rK",
        b"HTTP/1.1 200\x0bOK",
    )
}

_NAME_BYTES = b' \t\x00\x01\x0b\x0c\r\x1b\x7f\x80\xa0\xff()<>@,;\\"/[]?={}'
_KNOWN_NAMES = (b"X-A", b"Connection", b"Upgrade", b"Content-Length")

#: Fields whose names are no tokens (RFC 9110, section 5.1), or that have none.
BROKEN_NAMES: dict[str, bytes] = {
    f"name {name!r}": make_answer(name + b": 5")
    for known in _KNOWN_NAMES
    for byte in _NAME_BYTES
    for name in (
        known[:3] + bytes([byte]) + known[3:],
        known + bytes([byte]),
        *([] if byte in b" \t" else [bytes([byte]) + known]),
    )
} | {
    "no name": make_answer(b": 5"),
    "no colon": make_answer(b"X-A"),
    "blank before the only length": make_answer(framing=b"Content-Length : 31"),
    "blank before the only coding": make_answer(
        framing=b"Transfer-Encoding : chunked", body=CHUNK + LAST_CHUNK
    ),
    "blank before the first field": make_answer(status_line=STATUS_LINE + b"\r\n X: 1"),
}

_CONTROL_BYTES = [*range(0x09), 0x0B, 0x0C, *range(0x0E, 0x20), 0x7F]

#: Fields with a control byte, or a CR alone, in the value (RFC 9110, section 5.5).
BROKEN_VALUES: dict[str, bytes] = {
    f"byte {byte:#04x} in {name.decode()}": answer
    for byte in (*_CONTROL_BYTES, 0x0D)
    for name, answer in (
        (b"X-A", make_answer(b"X-A: a" + bytes([byte]) + b"b")),
        (b"X-B", make_chunked(CHUNK, LAST_CHUNK, fields=(b"X-B:" + bytes([byte]),))),
        (b"Content-Type", make_answer(b"Content-Type: a/b" + bytes([byte]) + b"c")),
    )
    if not (byte == 0x0D and name == b"X-B")  # CR CR LF is listed below.
} | {
    "CR before the line end": make_answer(b"X-A: b\r"),
    "20,000 bytes": make_answer(b"X-A: " + b"x" * 20000),
    "200 fields": make_answer(*[b"X-A: 1"] * 200),
}

_CODINGS = (
    *(b"ch,unked", b"chunked, chunked", b"gzip, chunked", b"chunked, gzip", b"gzip"),
    *(b"identity", b"x", b"xchunked", b"chunkedx", b"chunked;q=1", b"chunked chunked"),
    *(b"chunked\x0b", b"\x0bchunked", b"chunked\x00", b'"chunked"', b"chunk\xe9d"),
    *(b"chun\r\n ked", b"chunked\r\n\tx", b"\r\n chunked", b"", b",", b"identity, x"),
)

#: Heads whose framing is invalid or ambiguous (RFC 9112, section 6).
BROKEN_FRAMINGS: dict[str, bytes] = (
    {
        f"coding {coding!r}": make_answer(
            framing=b"Transfer-Encoding: " + coding, body=CHUNK + LAST_CHUNK
        )
        for coding in _CODINGS
    }
    | {
        f"coding {first!r} and {second!r}": make_answer(
            b"Transfer-Encoding: " + first,
            framing=b"Transfer-Encoding: " + second,
            body=CHUNK + LAST_CHUNK,
        )
        for first, second in (
            (b"chunked", b"chunked"),
            (b"gzip", b"chunked"),
            (b"chunked", b"x"),
            (b"x", b"chunked"),
            (b"chunked", b""),
        )
    }
    | {
        "coding and length": make_answer(
            LENGTH, framing=CHUNKED, body=CHUNK + LAST_CHUNK
        ),
        "coding in HTTP/1.0": make_answer(
            framing=CHUNKED, body=CHUNK + LAST_CHUNK, status_line=b"HTTP/1.0 200 OK"
        ),
        **{
            f"length {length!r}": make_answer(framing=b"Content-Length: " + length)
            for length in (
                *(b"", b"-1", b"+28", b"0x1c", b"28x", b"2 8", b"2_8", b"28.0", b"28;"),
                *(
                    b"28, 29",
                    b"9" * 19,
                    b"9" * 400,
                    b"\xb2\xb8",
                    b"\r\n 28",
                    b"2\r\n 8",
                ),
            )
        },
        "two lengths": make_answer(b"Content-Length: 5", framing=LENGTH),
    }
)

#: Bodies whose chunk framing is broken (RFC 9112, section 7.1).
BROKEN_CHUNKS: dict[str, bytes] = {
    "chunk one byte short": make_chunked(
        b"%x\r\n" % (len(BODY) + 1) + BODY + b"\r\n", LAST_CHUNK
    ),
    "chunk two bytes short": make_chunked(
        b"%x\r\n" % (len(BODY) + 2) + BODY + b"\r\n", LAST_CHUNK
    ),
    "chunk three bytes short": make_chunked(
        b"%x\r\n" % (len(BODY) + 3) + BODY + b"\r\n", LAST_CHUNK
    ),
    "chunk one byte long": make_chunked(
        b"%x\r\n" % (len(BODY) - 1) + BODY + b"\r\n", LAST_CHUNK
    ),
    "LF after the size": make_chunked(CHUNK.replace(b"\r\n", b"\n", 1), LAST_CHUNK),
    "LF after the chunk": make_chunked(CHUNK[:-2] + b"\n", LAST_CHUNK),
    "CR after the chunk": make_chunked(CHUNK[:-2] + b"\r", LAST_CHUNK),
    "nothing after the chunk": make_chunked(CHUNK[:-2], LAST_CHUNK),
    "LF after the last chunk": make_chunked(CHUNK, b"0\n\r\n"),
    "LF at the end": make_chunked(CHUNK, b"0\r\n\n"),
    "LF after both": make_chunked(CHUNK, b"0\n\n"),
    "CR CR LF at the end": make_chunked(CHUNK, b"0\r\n\r\r\n"),
    **{
        f"size {size!r}": make_chunked(size + b"\r\n" + BODY + b"\r\n", LAST_CHUNK)
        for size in (
            *(b"", b"g", b"-1c", b"+1c", b"0x1c", b" 1c", b"1 c", b"1_c", b"1c "),
            *(b"1c;", b"1c;=", b"1c;a=", b'1c;a="', b"1c;a\x00", b"1c\t", b"1c;a b"),
            *(b"f" * 17, b"1c\r", b"\xb2", b"1c,1c", b"1c;a\r"),
        )
    },
    **{
        f"trailer {trailer!r}": make_chunked(CHUNK, b"0\r\n" + trailer + b"\r\n\r\n")
        for trailer in (
            *(b"X Y: 1", b"X : 1", b"X", b": 1", b"X: \x00", b"X: \x07", b" X: 1"),
            *(b"X: 1\r\n y", b"X: 1\nY: 2", b"X: 1\rY: 2", b"\xe9: 1"),
        )
    },
}

#: All broken answers, by what is broken.
BROKEN = {
    "status": BROKEN_STATUSES,
    "name": BROKEN_NAMES,
    "value": BROKEN_VALUES,
    "framing": BROKEN_FRAMINGS,
    "chunk": BROKEN_CHUNKS,
}

#: Answers that are valid, though unusual.
SOUND: dict[str, bytes] = {
    "length": make_answer(),
    "chunks": make_chunked(CHUNK, LAST_CHUNK),
    "many chunks": make_chunked(
        *(b"1\r\n" + BODY[at : at + 1] + b"\r\n" for at in range(len(BODY))), LAST_CHUNK
    ),
    "leading zeros": make_chunked(b"000" + CHUNK, b"000\r\n\r\n"),
    "extensions": make_chunked(
        CHUNK.replace(b"\r\n", b' ; a = "b;\\" "; c;d=e\r\n', 1),
        b"0;x=y\r\n\r\n",
    ),
    "trailers": make_chunked(CHUNK, b"0\r\nX-Digest: a\r\nY:\r\n\r\n"),
    "coding in capitals": make_answer(
        framing=b"TRANSFER-ENCODING:CHUNKED", body=CHUNK + LAST_CHUNK
    ),
    "blanks around the coding": make_answer(
        framing=b"Transfer-Encoding:\t chunked \t", body=CHUNK + LAST_CHUNK
    ),
    "blanks around the length": make_answer(framing=b"Content-Length: \t28\t "),
    "empty values": make_answer(b"X-A:", b"X-B: \t"),
    "tab in a value": make_answer(b"X-A: a\tb"),
    "all name characters": make_answer(b"!#$%&'*+-.^_`|~09azAZ: 1"),
    "letters in ISO 8859-1": make_answer(b"X-A: caf\xe9"),
    "letters in UTF-8": make_answer("X-A: caf\u00e9 \u20ac".encode()),
    "offered upgrade": make_answer(b"Connection: Upgrade", b"Upgrade: websocket"),
    "HTTP/1.0": make_answer(status_line=b"HTTP/1.0 200 OK"),
    "no reason": make_answer(status_line=b"HTTP/1.1 200 "),
    "odd reason": make_answer(status_line=b"HTTP/1.1 200 \t\xe9 200"),
    "informational answers": b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n" + make_answer(),
}

#: Answers that a proxy may repair (RFC 9112, sections 2.2, 4 and 5.2) or reject.
REPAIRABLE: dict[str, bytes] = {
    "LF after the lines of the head": make_answer(line_end=b"\n"),
    "LF after one line": make_answer(b"X-A: 1\nX-B: 2"),
    "folded value": make_answer(b"X-A: 1\r\n 2\r\n\t3"),
    "folded value with LF": make_answer(b"X-A: 1\n 2"),
    "fold of blanks": make_answer(b"X-A: 1\r\n \t"),
    "no blank before the reason": make_answer(status_line=b"HTTP/1.1 200"),
    "same length twice": make_answer(LENGTH, framing=LENGTH),
    "list of one length": make_answer(framing=LENGTH + b", 28"),
}


class Message(NamedTuple):
    """Answer that a strict reader accepts, and the bytes behind it."""

    status: int
    fields: dict[bytes, bytes]
    body: bytes
    rest: bytes


_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_HEAD = re.compile(
    rb"HTTP/1\.([01]) ([1-5][0-9]{2}) " + _TEXT + rb"\r\n"
    rb"((?:" + _TOKEN + rb":" + _TEXT + rb"\r\n)*)\r\n"
)
_QUOTED = rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*"'
_EXTENSION = (
    rb"[ \t]*;[ \t]*"
    + _TOKEN
    + rb"(?:[ \t]*=[ \t]*(?:"
    + _TOKEN
    + b"|"
    + _QUOTED
    + b"))?"
)
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:" + _EXTENSION + rb")*\r\n")
_TRAILERS = re.compile(rb"(?:" + _TOKEN + rb":" + _TEXT + rb"\r\n)*\r\n")


def read_strictly(data: bytes, closed: bool = False) -> Message | None:
    """Return the answer with which some bytes begin; None if it is invalid or cut off.

    Parameters
    ----------
    closed : bool
        True if the connection was closed in order after the bytes.
    """
    head = _HEAD.match(data)
    if head is None:
        return None
    status, rest = int(head[2]), data[head.end() :]
    pairs = [
        (name.lower(), value.strip(b" \t"))
        for name, _, value in (line.partition(b":") for line in head[3].split(b"\r\n"))
        if name
    ]
    fields = dict(pairs)
    names = [name for name, _ in pairs]
    codings, lengths = (
        names.count(name) for name in (b"transfer-encoding", b"content-length")
    )
    if codings + lengths > 1:
        return None
    if lengths and not re.fullmatch(rb"[0-9]{1,18}", fields[b"content-length"]):
        return None
    is_chunked = fields.get(b"transfer-encoding", b"").lower() == b"chunked"
    if codings and (head[1] == b"0" or not is_chunked):
        return None
    if status < 200:
        return read_strictly(rest, closed)
    if status in (204, 304):
        return Message(status, fields, b"", rest)
    if codings:
        return _read_chunks(status, fields, rest)
    if lengths:
        size = int(fields[b"content-length"])
        if len(rest) < size:
            return None
        return Message(status, fields, rest[:size], rest[size:])
    return Message(status, fields, rest, b"") if closed else None


def _read_chunks(status: int, fields: dict, rest: bytes) -> Message | None:
    body = b""
    while True:
        line = _CHUNK_LINE.match(rest)
        if line is None:
            return None
        size = int(line[1], 16)
        rest = rest[line.end() :]
        if size == 0:
            trailers = _TRAILERS.match(rest)
            if trailers is None:
                return None
            return Message(status, fields, body, rest[trailers.end() :])
        if len(rest) < size + 2 or rest[size : size + 2] != b"\r\n":
            return None
        body, rest = body + rest[:size], rest[size + 2 :]


_FOLD = re.compile(rb"[ \t]*\r\n[ \t]+")
_FRAMING_FOLD = re.compile(
    rb"\r\n(?:content-length|transfer-encoding):[^\r\n]*\r\n[ \t]", re.IGNORECASE
)


def repair(data: bytes) -> bytes:
    """Return an answer after the repairs that a proxy may make, if any apply.

    They are a bare LF in the head, a folded value that does not concern the framing,
    and a missing blank before an empty reason.
    """
    blank_line = re.search(rb"\n\r?\n", data)
    if blank_line is None:
        return data
    head = re.sub(rb"\r?\n", b"\r\n", data[: blank_line.end()])
    rest = data[blank_line.end() :]
    first, _, fields = head.partition(b"\r\n")
    if re.fullmatch(rb"HTTP/1\.[01] [0-9]{3}", first):
        first += b" "
    if fields[:1] not in (b" ", b"\t") and not _FRAMING_FOLD.search(head):
        fields = _FOLD.sub(b" ", fields)
    if first[9:10] == b"1":
        rest = repair(rest)
    return first + b"\r\n" + fields + rest


#: Bytes that random changes put into answers.
_ODD_BYTES = (
    *(b"\r", b"\n", b"\r\n", b" ", b"\t", b":", b";", b",", b"0", b"1", b"9", b"a"),
    *(b"\x00", b"\x01", b"\x0b", b"\x7f", b"\x80", b"\xe9", b"=", b'"', b"chunked"),
    *(b"Content-Length", b"Transfer-Encoding", b"HTTP/1.1 200 X\r\n", b"\r\n\r\n"),
)


def change(answer: bytes, rng: random.Random) -> bytes:
    """Return an answer with one to three random changes outside of its body."""
    for _ in range(rng.randint(1, 3)):
        body_at = answer.find(BODY)
        places = [
            at
            for at in range(len(answer) + 1)
            if not body_at < at < body_at + len(BODY) or body_at < 0
        ]
        at = rng.choice(places)
        odd = rng.choice(_ODD_BYTES)
        match rng.randrange(4):
            case 0:
                answer = answer[:at] + odd + answer[at:]
            case 1:
                answer = answer[:at] + odd + answer[at + len(odd) :]
            case 2:
                answer = answer[:at] + answer[at + 1 :]
            case _:
                answer = answer[:at] + answer[at : at + 8] + answer[at:]
    return answer

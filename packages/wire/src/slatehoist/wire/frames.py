"""Length-prefixed frames of the streamed response to an attempt."""

import struct
from collections.abc import Iterable

import msgspec
import xxhash

from slatehoist.wire.codec import encode
from slatehoist.wire.exceptions import WireError
from slatehoist.wire.messages import (
    Accepted,
    Broken,
    Data,
    Final,
    Frame,
    Head,
    KeepAlive,
    NotRun,
)

#: Maximum length of a frame's body, in bytes.
MAX_FRAME_BYTES = 4 * 1024 * 1024

_HEADER = struct.Struct(">IB")
_TYPES = (Accepted, NotRun, Head, Data, KeepAlive, Final, Broken)
_TAGS = {cls: tag for tag, cls in enumerate(_TYPES)}
_DECODERS = [msgspec.msgpack.Decoder(cls) for cls in _TYPES]


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as a five-byte header (length, type) and a MessagePack body."""
    body = encode(frame)
    return _HEADER.pack(len(body), _TAGS[type(frame)]) + body


def answer_digest(attempt_id: str, chunks: Iterable[bytes]) -> str:
    """Return the digest of an attempt id and the chunks of the attempt's response."""
    state = xxhash.xxh3_64(attempt_id.encode())
    for chunk in chunks:
        state.update(chunk)
    return state.hexdigest()


class FrameDecoder:
    """Incremental decoder of a byte stream into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Append received bytes and return the frames that are now complete.

        Raises
        ------
        WireError
            If a frame is too long, has an unknown type or is malformed.
        """
        self._buffer += data
        frames = []
        start = 0
        while len(self._buffer) - start >= _HEADER.size:
            length, tag = _HEADER.unpack_from(self._buffer, start)
            if length > MAX_FRAME_BYTES or tag >= len(_TYPES):
                raise WireError(
                    f"invalid frame header: length {length} bytes, type {tag}"
                )
            end = start + _HEADER.size + length
            if len(self._buffer) < end:
                break
            body = bytes(self._buffer[start + _HEADER.size : end])
            frames.append(_decode_body(tag, body))
            start = end
        del self._buffer[:start]
        return frames


def _decode_body(tag: int, body: bytes) -> Frame:
    try:
        return _DECODERS[tag].decode(body)
    except msgspec.DecodeError as exc:
        raise WireError(f"malformed {_TYPES[tag].__name__} frame: {exc}") from exc

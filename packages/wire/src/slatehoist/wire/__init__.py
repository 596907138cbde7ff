"""Internal protocol between slatehoist processes: messages, codec, frames, links."""

from slatehoist.wire.codec import decode, encode
from slatehoist.wire.exceptions import LinkDownError, WireError
from slatehoist.wire.frames import FrameDecoder, answer_digest, encode_frame
from slatehoist.wire.links import Link, LinkServer, heartbeat_interval_s

__all__ = [
    "FrameDecoder",
    "Link",
    "LinkDownError",
    "LinkServer",
    "WireError",
    "answer_digest",
    "decode",
    "encode",
    "encode_frame",
    "heartbeat_interval_s",
]

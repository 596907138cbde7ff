"""MessagePack codec for typed messages."""

import functools
from typing import Any, TypeVar

import msgspec

from slatehoist.wire.exceptions import WireError

T = TypeVar("T")

_encoder = msgspec.msgpack.Encoder()


@functools.cache
def _decoder(cls: Any) -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(cls)


def encode(msg: Any) -> bytes:
    """Encode a message as MessagePack.

    Parameters
    ----------
    msg : NamedTuple or builtin
        The message. A ``NamedTuple`` is encoded as an array of its fields.

    Returns
    -------
    bytes
    """
    return _encoder.encode(msg)


def decode(data: bytes, cls: type[T]) -> T:
    """Decode MessagePack into a message of a known type.

    Parameters
    ----------
    data : bytes
    cls : type
        The expected type, against which every field is validated.

    Raises
    ------
    WireError
        If ``data`` is not a valid message of that type.
    """
    try:
        return _decoder(cls).decode(data)
    except msgspec.DecodeError as exc:
        raise WireError(f"not a valid {cls.__name__}: {exc}") from exc

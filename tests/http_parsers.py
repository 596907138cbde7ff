"""Choice of the code with which aiohttp reads and writes messages."""

import contextlib
from collections.abc import Iterator
from unittest import mock

from aiohttp import client_proto, http_parser, http_writer

PARSERS = ("C", "Python")


@contextlib.contextmanager
def use_parser(name: str) -> Iterator[None]:
    """Let aiohttp read answers, and write heads, with its C or its Python code.

    Without this, the variable ``AIOHTTP_NO_EXTENSIONS`` chooses when it is imported.
    """
    suffix, writer = ("Py", "_py") if name == "Python" else ("C", "_c")
    parser = getattr(http_parser, f"HttpResponseParser{suffix}")
    serialize = getattr(http_writer, f"{writer}_serialize_headers")
    with (
        mock.patch.object(client_proto, "HttpResponseParser", parser),
        mock.patch.object(http_writer, "_serialize_headers", serialize),
    ):
        yield

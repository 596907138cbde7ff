"""How HTTP messages and event streams end."""

from slatehoist.http.client import (
    ResettingResponseHandler,
    StrictResponseHandler,
    strict_connector,
)
from slatehoist.http.events import EventSplitter, is_event_stream
from slatehoist.http.framing import Framing, response_framing
from slatehoist.http.responses import RelayedResponse, reset_on_close

__all__ = [
    "EventSplitter",
    "Framing",
    "RelayedResponse",
    "ResettingResponseHandler",
    "StrictResponseHandler",
    "is_event_stream",
    "reset_on_close",
    "response_framing",
    "strict_connector",
]

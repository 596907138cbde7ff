"""How HTTP messages and event streams end."""

from slatehoist.http.events import EventSplitter, is_event_stream
from slatehoist.http.framing import Framing, response_framing

__all__ = ["EventSplitter", "Framing", "is_event_stream", "response_framing"]

"""How HTTP messages and event streams end, how large and how late they may be."""

from slatehoist.http.answer_times import AnswerTimes
from slatehoist.http.bodies import BufferBudget, OversizedBodyError, read_body
from slatehoist.http.client import (
    ResettingResponseHandler,
    StrictResponseHandler,
    log_rejected,
    strict_connector,
)
from slatehoist.http.events import (
    MAX_EVENT_BYTES,
    EventSplitter,
    OversizedEventError,
    has_content,
    is_event_stream,
    media_type,
)
from slatehoist.http.framing import Framing, response_framing
from slatehoist.http.responses import (
    InvalidHeaderError,
    RelayedResponse,
    WholeResponse,
    check_headers,
    reset_on_close,
)
from slatehoist.http.validation import MalformedResponseError, ResponseValidator

__all__ = [
    "MAX_EVENT_BYTES",
    "AnswerTimes",
    "BufferBudget",
    "EventSplitter",
    "Framing",
    "InvalidHeaderError",
    "MalformedResponseError",
    "OversizedBodyError",
    "OversizedEventError",
    "RelayedResponse",
    "ResettingResponseHandler",
    "ResponseValidator",
    "StrictResponseHandler",
    "WholeResponse",
    "check_headers",
    "has_content",
    "is_event_stream",
    "log_rejected",
    "media_type",
    "read_body",
    "reset_on_close",
    "response_framing",
    "strict_connector",
]

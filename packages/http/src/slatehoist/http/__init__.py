"""How HTTP messages and event streams end."""

from slatehoist.http.framing import Framing, response_framing

__all__ = ["Framing", "response_framing"]

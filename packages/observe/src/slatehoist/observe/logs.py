"""Event logs: one JSON line per event on standard output.

The volume is bounded, and a reader that does not read costs lines rather than time:
what was left out is counted, and the count is logged when there is room again.
"""

import logging
import os
import sys
import time

from pythonjsonlogger.json import JsonFormatter

#: Lines a second that a process writes at most in the long run. At twice the heaviest
#: standard load an entry decides on about 40 requests a second, with two lines each.
LINES_PER_S = 100.0
#: Lines that may be written at once, as at a start or a change of many endpoints.
BURST_LINES = 400.0


class BoundedHandler(logging.Handler):
    """Write lines to a file descriptor without blocking and within a rate."""

    def __init__(
        self,
        fd: int,
        lines_per_s: float = LINES_PER_S,
        burst: float = BURST_LINES,
        clock=time.monotonic,
    ) -> None:
        super().__init__()
        self._fd = fd
        self._rate = lines_per_s
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._at = clock()
        self._left_out = 0
        self._rest = b""
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it as left out."""
        now = self._clock()
        self._tokens = min(self._burst, self._tokens + (now - self._at) * self._rate)
        self._at = now
        important = record.levelno >= logging.ERROR
        if (self._tokens < 1 and not important) or not self._flush_rest():
            self._left_out += 1
            return
        self._tokens -= 1
        if self._left_out:
            note = logging.makeLogRecord(
                {
                    "msg": "lines_left_out",
                    "levelno": logging.WARNING,
                    "levelname": "WARNING",
                    "name": __name__,
                    "count": self._left_out,
                }
            )
            self._left_out = 0
            self._write(note)
        self._write(record)

    def _write(self, record: logging.LogRecord) -> None:
        try:
            line = self.format(record)
        except Exception:
            self.handleError(record)
            return
        self._rest += line.encode() + b"\n"
        self._flush_rest()

    def _flush_rest(self) -> bool:
        """Write what a full pipe left over; return whether nothing is left."""
        while self._rest:
            try:
                written = os.write(self._fd, self._rest)
            except BlockingIOError:
                return False
            except OSError:
                # The reader is gone for good; there is nowhere to report that.
                self._rest = b""
                return False
            self._rest = self._rest[written:]
        return True


def configure_logging(
    level: str = "info", fd: int | None = None, **common: str
) -> None:
    """Send all events to standard output.

    Parameters
    ----------
    common : str
        Fields of every line, such as the instance.
    """
    handler = BoundedHandler(sys.stdout.fileno() if fd is None else fd)
    handler.setFormatter(
        JsonFormatter(
            "%(created)f %(levelname)s %(name)s %(message)s",
            rename_fields={
                "created": "time",
                "levelname": "level",
                "name": "logger",
                "message": "event",
            },
            static_fields=common,
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("transitions").setLevel(logging.ERROR)
    for name in ("aiohttp.access", "aiohttp.server", "asyncio"):
        logging.getLogger(name).setLevel(logging.ERROR)


def milliseconds(seconds: float) -> int | None:
    """Give a time for the log; None if it is infinite, as the age of nothing is."""
    return None if seconds in (float("inf"), float("-inf")) else round(seconds * 1000)

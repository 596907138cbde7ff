"""Event logs: one JSON line per event on standard output.

The rate of lines is limited, and a reader that does not keep up never blocks the
process. Lines over the rate are left out and counted. So are lines that come while an
earlier line is only partly written because the pipe is full; the rest of that line is
written first. The count is logged before the next line that can be written.
"""

import logging
import os
import sys
import time

from pythonjsonlogger.json import JsonFormatter

#: Lines per second that a process may write on average. At twice the heaviest standard
#: load an entry handles about 40 requests per second and logs two lines for each.
LINES_PER_S = 100.0
#: Lines that may be written at once, as on startup or a change of many endpoints.
BURST_LINES = 400.0


class BoundedHandler(logging.Handler):
    """Write lines to a file descriptor, without blocking and at a limited rate.

    A token bucket limits the rate. Errors are written even if the bucket is empty,
    but not while the pipe is full.

    Parameters
    ----------
    fd : int
        File descriptor; it is made non-blocking.
    lines_per_s : float
        Rate at which the bucket is filled.
    burst : float
        Capacity of the bucket in lines.
    clock : callable
        Monotonic time in seconds.
    """

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
        self._refilled_at = clock()
        self._left_out_count = 0
        self._unwritten = b""
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or leave it out and count it."""
        now = self._clock()
        self._tokens = min(
            self._burst, self._tokens + (now - self._refilled_at) * self._rate
        )
        self._refilled_at = now
        important = record.levelno >= logging.ERROR
        if (self._tokens < 1 and not important) or not self._flush_unwritten():
            self._left_out_count += 1
            return
        self._tokens -= 1
        if self._left_out_count:
            notice = logging.makeLogRecord(
                {
                    "msg": "lines_left_out",
                    "levelno": logging.WARNING,
                    "levelname": "WARNING",
                    "name": __name__,
                    "count": self._left_out_count,
                }
            )
            self._left_out_count = 0
            self._write(notice)
        self._write(record)

    def _write(self, record: logging.LogRecord) -> None:
        try:
            line = self.format(record)
        except Exception:
            self.handleError(record)
            return
        self._unwritten += line.encode() + b"\n"
        self._flush_unwritten()

    def _flush_unwritten(self) -> bool:
        """Write the bytes left by a full pipe; return True if none are left now."""
        while self._unwritten:
            try:
                written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # The reader has closed the pipe, so the error cannot be logged either.
                self._unwritten = b""
                return False
            self._unwritten = self._unwritten[written:]
        return True


def configure_logging(
    level: str = "info", fd: int | None = None, **common: str
) -> None:
    """Configure the root logger to write events as JSON lines.

    Parameters
    ----------
    level : str
        Lowest level that is written.
    fd : int, optional
        File descriptor to write to; standard output by default.
    common : str
        Fields to add to every line, such as the instance.
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
    """Return a duration in whole milliseconds, or None if it is infinite.

    The age of a value that was never received is infinite.
    """
    return None if seconds in (float("inf"), float("-inf")) else round(seconds * 1000)

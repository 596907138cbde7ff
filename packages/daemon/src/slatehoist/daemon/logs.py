"""Logging of one line per event, as key=value pairs or JSON."""

import logging
import sys
import traceback
from types import TracebackType

from pythonjsonlogger.json import JsonFormatter

from slatehoist.config.settings import LogSettings

_RECORD_FIELDS = frozenset(logging.makeLogRecord({}).__dict__) | {"message", "asctime"}


class KeyValueFormatter(logging.Formatter):
    """Format an event as ``key=value`` pairs.

    Values that are empty or contain whitespace, a quote or ``=`` are quoted.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of an event."""
        fields = {
            "time": self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
            + f".{int(record.msecs):03d}",
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
        }
        extra = {k: v for k, v in record.__dict__.items() if k not in _RECORD_FIELDS}
        fields.update(extra)
        if record.exc_info:
            fields["error"] = repr(record.exc_info[1])
            fields["at"] = _origin(record.exc_info[2])
        return " ".join(f"{key}={_quote(value)}" for key, value in fields.items())


def _origin(tb: TracebackType | None) -> str:
    """Return the file and line at which an error was raised."""
    frames = traceback.extract_tb(tb)
    return f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""


def _quote(value: object) -> str:
    text = str(value)
    if text and not any(char in text for char in ' "=\n\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'


def configure_logging(cfg: LogSettings, **common: str) -> None:
    """Log all events to standard error in the format named in the settings.

    Parameters
    ----------
    common : str
        Fields added to every line, such as the instance.
    """
    handler = logging.StreamHandler(sys.stderr)
    if cfg.format == "json":
        handler.setFormatter(
            JsonFormatter(
                "%(asctime)s %(levelname)s %(name)s %(message)s",
                rename_fields={
                    "asctime": "time",
                    "levelname": "level",
                    "name": "logger",
                    "message": "event",
                },
                static_fields=common,
            )
        )
    else:
        handler.setFormatter(KeyValueFormatter())
        handler.addFilter(_add_fields(common))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(cfg.level.upper())
    logging.getLogger("transitions").setLevel(logging.ERROR)
    logging.getLogger("aiohttp.access").setLevel(logging.ERROR)


def _add_fields(common: dict[str, str]):
    def add(record: logging.LogRecord) -> bool:
        for key, value in common.items():
            setattr(record, key, value)
        return True

    return add

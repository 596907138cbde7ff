"""Record of what a stand-in did, which outlives the stand-in's own crash."""

import json


class Record:
    """Append events as JSON lines to a file, each flushed at once."""

    def __init__(self, path: str) -> None:
        self._file = open(path, "a", encoding="utf-8") if path else None  # noqa: SIM115

    def write(self, event: str, **fields: object) -> None:
        """Append one event."""
        if self._file is None:
            return
        self._file.write(json.dumps({"event": event, **fields}) + "\n")
        self._file.flush()


def read_record(path: str) -> list[dict]:
    """Read the events of a record; a file that is missing holds none."""
    try:
        with open(path, encoding="utf-8") as file:
            return [json.loads(line) for line in file]
    except FileNotFoundError:
        return []

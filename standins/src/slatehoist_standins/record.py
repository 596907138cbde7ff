"""Record of what a stand-in did, in a file that survives a crash of the stand-in."""

import json


class Record:
    """Append events as JSON lines to a file and flush each one.

    An empty path means that nothing is recorded.
    """

    def __init__(self, path: str) -> None:
        self._file = open(path, "a", encoding="utf-8") if path else None  # noqa: SIM115

    def write(self, event: str, **fields: object) -> None:
        """Append one event."""
        if self._file is None:
            return
        self._file.write(json.dumps({"event": event, **fields}) + "\n")
        self._file.flush()


def read_record(path: str) -> list[dict]:
    """Return the events of a record; a missing file has none."""
    try:
        with open(path, encoding="utf-8") as file:
            return [json.loads(line) for line in file]
    except FileNotFoundError:
        return []

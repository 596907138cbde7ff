"""Findings: what is wrong in a document, where, and what may help."""

import re
from typing import Any, NamedTuple

from pydantic import TypeAdapter, ValidationError

_HEADER = re.compile(r"^\s*\[+\s*([^\]]+?)\s*\]+")
_KEY = re.compile(r"^\s*([A-Za-z0-9_\-\"'.]+)\s*=")

_HINTS = {
    "extra_forbidden": "remove the key, or look for a misspelling in the reference",
    "missing": "add the key",
    "missing_argument": "add the key",
}


class Finding(NamedTuple):
    """One thing wrong in a document.

    Attributes
    ----------
    id : str
        Stable name of the check that failed.
    file : str
        Name of the document.
    line : int
        Line of the place, from 1; 0 if there is none.
    key : str
        Dotted path of the value.
    value : str
        The value found, shortened.
    reason : str
    hint : str
    """

    id: str
    file: str
    line: int
    key: str
    value: str
    reason: str
    hint: str = ""

    def __str__(self) -> str:
        hint = f" ({self.hint})" if self.hint else ""
        return (
            f"{self.file}:{self.line}: {self.key} = {self.value}: "
            f"{self.reason}{hint} [{self.id}]"
        )


def line_of(text: str, path: tuple[Any, ...]) -> int:
    """Find the line of a key in a TOML text, or of its nearest named parent."""
    lines = _lines_by_key(text)
    for end in range(len(path), 0, -1):
        line = lines.get(path[:end])
        if line is not None:
            return line
    return 0


def validate(adapter: TypeAdapter, data: Any, text: str, file: str) -> Any:
    """Check a document against a type and collect all findings.

    Returns
    -------
    tuple of (value or None, list of Finding)
    """
    try:
        return adapter.validate_python(data), []
    except ValidationError as exc:
        return None, [_finding(error, text, file) for error in exc.errors()]


def _finding(error: Any, text: str, file: str) -> Finding:
    path = tuple(error["loc"])
    missing = error["type"].startswith("missing")
    return Finding(
        id=f"settings.{error['type']}",
        file=file,
        line=line_of(text, path),
        key=".".join(str(part) for part in path),
        value="nothing" if missing else repr(error["input"])[:80],
        reason=error["msg"],
        hint=_HINTS.get(error["type"], ""),
    )


def _lines_by_key(text: str) -> dict[tuple[Any, ...], int]:
    """Map each key path of a TOML text to its line; array tables count from 0."""
    lines: dict[tuple[Any, ...], int] = {}
    counts: dict[tuple[Any, ...], int] = {}
    table: tuple[Any, ...] = ()
    for number, line in enumerate(text.splitlines(), start=1):
        header = _HEADER.match(line)
        key = _KEY.match(line)
        if header:
            table = _within_arrays(_split(header.group(1)), counts)
            if line.lstrip().startswith("[["):
                plain = _split(header.group(1))
                counts[plain] = counts.get(plain, -1) + 1
                table = (*plain, counts[plain])
            lines.setdefault(table, number)
        elif key:
            lines.setdefault((*table, *_split(key.group(1))), number)
    return lines


def _within_arrays(
    path: tuple[str, ...], counts: dict[tuple[Any, ...], int]
) -> tuple[Any, ...]:
    """Add to a table's path the index of each array of tables that it is in."""
    indexed: list[Any] = []
    for end, part in enumerate(path, start=1):
        indexed.append(part)
        if end < len(path) and path[:end] in counts:
            indexed.append(counts[path[:end]])
    return tuple(indexed)


def _split(dotted: str) -> tuple[str, ...]:
    return tuple(part.strip().strip("\"'") for part in dotted.split("."))

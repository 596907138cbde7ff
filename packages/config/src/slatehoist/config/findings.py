"""Findings: problems in a document, with their location and a hint."""

import re
from typing import Any, NamedTuple

from pydantic import TypeAdapter, ValidationError

_TABLE_HEADER = re.compile(r"^\s*\[+\s*([^\]]+?)\s*\]+")
_KEY = re.compile(r"^\s*([A-Za-z0-9_\-\"'.]+)\s*=")

_HINTS = {
    "extra_forbidden": "remove the key, or check its spelling in the reference",
    "missing": "add the required key",
    "missing_argument": "add the required key",
}


class Finding(NamedTuple):
    """One problem in a document.

    Attributes
    ----------
    id : str
        Stable identifier of the check that failed.
    file : str
        Name of the document.
    line : int
        Line number, starting at 1; 0 if unknown.
    key : str
        Dotted path of the value.
    value : str
        The invalid value, truncated.
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
    """Return the line of a key in a TOML text, or of its nearest parent, or 0."""
    lines = _lines_by_key(text)
    for end in range(len(path), 0, -1):
        line = lines.get(path[:end])
        if line is not None:
            return line
    return 0


def validate(adapter: TypeAdapter, data: Any, text: str, file: str) -> Any:
    """Validate a document against a type; return its value and all findings.

    Returns
    -------
    tuple of (value or None, list of Finding)
    """
    try:
        return adapter.validate_python(data), []
    except ValidationError as exc:
        return None, [_finding_from_error(error, text, file) for error in exc.errors()]


def _finding_from_error(error: Any, text: str, file: str) -> Finding:
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
    """Map each key path of a TOML text to its line; array indexes start at 0."""
    lines: dict[tuple[Any, ...], int] = {}
    last_index: dict[tuple[Any, ...], int] = {}
    table: tuple[Any, ...] = ()
    for number, line in enumerate(text.splitlines(), start=1):
        header = _TABLE_HEADER.match(line)
        key = _KEY.match(line)
        if header:
            table = _insert_array_indexes(_split_key(header.group(1)), last_index)
            if line.lstrip().startswith("[["):
                table_path = _split_key(header.group(1))
                last_index[table_path] = last_index.get(table_path, -1) + 1
                table = (*table_path, last_index[table_path])
            lines.setdefault(table, number)
        elif key:
            lines.setdefault((*table, *_split_key(key.group(1))), number)
    return lines


def _insert_array_indexes(
    path: tuple[str, ...], last_index: dict[tuple[Any, ...], int]
) -> tuple[Any, ...]:
    """Insert the index of each enclosing array of tables into a table's path."""
    indexed: list[Any] = []
    for end, part in enumerate(path, start=1):
        indexed.append(part)
        if end < len(path) and path[:end] in last_index:
            indexed.append(last_index[path[:end]])
    return tuple(indexed)


def _split_key(dotted: str) -> tuple[str, ...]:
    return tuple(part.strip().strip("\"'") for part in dotted.split("."))

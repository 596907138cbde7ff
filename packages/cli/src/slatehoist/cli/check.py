"""Check of a configuration document before it is sent, and its differences."""

import importlib
import json
import pathlib
import sys
from collections.abc import Collection, Mapping, Sequence
from typing import Any, NamedTuple, Protocol

from slatehoist.gateway import (
    UNKNOWN_DEPLOYMENT,
    Change,
    Configuration,
    Deployment,
    Finding,
    Severity,
    check_configuration,
    compare_configurations,
)

#: Folder of the adapter in the checkout that this file is part of.
DEFAULT_PLATFORM = pathlib.Path(__file__).resolve().parents[5] / "platform"
#: Value of ``--against`` that stands for the document in the store.
STORE = "store"
#: Exit codes by the most severe finding.
EXIT_NOTHING = 0
EXIT_WARNINGS = 1
EXIT_ERRORS = 2

_SIGNS = {"added": "+", "removed": "-", "changed": "~", "reordered": "~"}


class CheckedDocument(Protocol):
    """Configuration document, decoded by the adapter as far as possible."""

    #: Values with errors are None.
    configuration: Configuration
    #: Place and reason of each error.
    errors: Sequence[tuple[str, str]]
    #: Paths of the entries and sections with errors.
    malformed: Collection[tuple[str | int, ...]]

    def locate(self, path: tuple[str | int, ...]) -> str:
        """Return the place in the document of a path in its configuration."""


class InForce(Protocol):
    """Newest document in the store, or None, and the endpoints of each service."""

    document: CheckedDocument | None
    endpoint_counts: Mapping[str, int]


class Documents(Protocol):
    """Reader of documents, settings and the store, which the adapter implements."""

    def decode(self, data: bytes) -> CheckedDocument:
        """Decode a document; raise ValueError if it is no JSON."""

    def name_field(self, field: tuple[str, ...]) -> str:
        """Return the name that a field of an entry has in the document."""

    def show_value(self, field: tuple[str, ...], value: Any) -> Any:
        """Return a value of a field as the document has it, of bounded length."""

    def read_settings(self, text: str) -> tuple[Deployment, str]:
        """Return the facts and the store's address of a settings file.

        Raise ValueError if it is invalid.
        """

    async def read_in_force(self, address: str) -> InForce:
        """Read the store; raise PlatformError if that fails."""


def load_documents(folder: pathlib.Path) -> Documents:
    """Load the adapter in a folder.

    Raises
    ------
    ImportError
        If the folder has none.
    """
    path = str(folder)
    if path not in sys.path:
        sys.path.append(path)
    return importlib.import_module("adapter.checking").PlatformDocuments()


class Line(NamedTuple):
    """Finding with its place in the document."""

    check: str
    severity: str
    place: str
    entry: str
    reason: str


class Report(NamedTuple):
    """Result of a check.

    Attributes
    ----------
    against : str
        Name of the document that was compared; empty if none was.
    lines : list of Line
    changes, moves : list of dict, or None
        None if they are not known, since there is nothing to compare with or one of the
        documents has errors.
    """

    file: str
    against: str
    lines: list[Line]
    changes: list[dict[str, Any]] | None = None
    moves: list[dict[str, str]] | None = None

    @property
    def errors(self) -> int:
        """Return the number of errors."""
        return sum(line.severity == Severity.ERROR for line in self.lines)

    @property
    def exit_code(self) -> int:
        """Return the exit code: 0 no finding, 1 warnings, 2 errors."""
        if self.errors:
            return EXIT_ERRORS
        return EXIT_WARNINGS if self.lines else EXIT_NOTHING

    def as_json(self) -> dict[str, Any]:
        """Return the report as a JSON document."""
        return {
            "file": self.file,
            "against": self.against or None,
            "errors": self.errors,
            "warnings": len(self.lines) - self.errors,
            "findings": [line._asdict() for line in self.lines],
            "changes": self.changes,
            "moves": self.moves,
        }

    def as_text(self) -> str:
        """Return the report as text."""
        lines = [
            f"{self.file}: {line.severity}: {line.place or '(document)'}"
            + (f" ({line.entry})" if line.entry else "")
            + f": {line.reason} [{line.check}]"
            for line in self.lines
        ]
        lines.append(f"{self.errors} errors, {len(self.lines) - self.errors} warnings")
        if self.against and self.changes is None:
            lines.append(f"changes against {self.against} are not known")
        if self.changes is not None:
            lines.append(f"{len(self.changes)} changes against {self.against}")
            lines += [_format_change(change) for change in self.changes]
            lines += [
                f"  {move['callers']}: {move['before']} -> {move['after']}"
                for move in self.moves
            ]
        return "\n".join(lines)


def check_document(
    documents: Documents,
    data: bytes,
    file: str,
    deployment: Deployment = UNKNOWN_DEPLOYMENT,
    in_force: CheckedDocument | None = None,
    against: str = "",
) -> Report:
    """Check the bytes of a document, and compare it with the one in force.

    Parameters
    ----------
    against : str
        Name of the document in force; empty to compare with none. If it is given and
        `in_force` is None, no configuration is in force.
    """
    try:
        try:
            document = documents.decode(data)
        except ValueError as exc:
            lines = [_error("document", f"is not JSON: {exc}")]
            return Report(file, against, lines)
        return _check_decoded(documents, document, file, deployment, in_force, against)
    except RecursionError:
        lines = [_error("document", "is nested too deeply")]
        return Report(file, against, lines)


def _check_decoded(
    documents: Documents,
    document: CheckedDocument,
    file: str,
    deployment: Deployment,
    in_force: CheckedDocument | None,
    against: str,
) -> Report:
    cfg = document.configuration
    findings = check_configuration(cfg, deployment, document.malformed)
    lines = [
        *(_error("field", reason, place) for place, reason in document.errors),
        *(_locate(finding, document) for finding in findings),
    ]
    if not against or document.errors:
        return Report(file, against, lines)
    if in_force is not None and in_force.errors:
        reason = f"{against} has errors itself, so the changes are not known"
        warning = Line("against.malformed", Severity.WARNING.value, "", "", reason)
        return Report(file, against, [*lines, warning])
    old = _NOTHING if in_force is None else in_force.configuration
    diff = compare_configurations(old, cfg)
    if diff.changes and cfg.version <= old.version:
        reason = (
            f"{cfg.version} is not above {old.version}, the version in force, so"
            " gateways do not adopt the document"
        )
        lines.insert(0, _error("version.not_newer", reason, "version"))
    changes = [
        _show_change(documents, change, in_force if _is_removal(change) else document)
        for change in diff.changes
    ]
    moves = [move._asdict() for move in diff.moves]
    return Report(file, against, lines, changes, moves)


#: Configuration of a gateway that has none; versions in documents are at least 0.
_NOTHING = Configuration(-1, (), ())


def _is_removal(change: Change) -> bool:
    return change.kind == "removed"


def _error(check: str, reason: str, place: str = "") -> Line:
    return Line(check, Severity.ERROR.value, place, "", reason)


def _locate(finding: Finding, document: CheckedDocument) -> Line:
    return Line(
        finding.check,
        finding.severity.value,
        document.locate(finding.path),
        finding.entry,
        finding.reason,
    )


def _show_change(
    documents: Documents, change: Change, document: CheckedDocument
) -> dict[str, Any]:
    path = (change.section,) if change.index is None else (change.section, change.index)
    fields = {
        documents.name_field(field.field): {
            "before": documents.show_value(field.field, field.before),
            "after": documents.show_value(field.field, field.after),
        }
        for field in change.fields
    }
    return {
        "change": change.kind.value,
        "place": document.locate(path),
        "entry": change.entry,
        "fields": fields,
    }


def _format_change(change: dict[str, Any]) -> str:
    text = f"  {_SIGNS[change['change']]} {change['place']}"
    if change["entry"]:
        text += f" ({change['entry']})"
    if change["change"] == "reordered":
        text += ": other order"
    fields = [
        f"{name} {_format(field['before'])} -> {_format(field['after'])}"
        for name, field in change["fields"].items()
    ]
    if change["place"] in change["fields"]:
        fields = [field.partition(" ")[2] for field in fields]
    return text + (f": {'; '.join(fields)}" if fields else "")


def _format(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value, ensure_ascii=False)

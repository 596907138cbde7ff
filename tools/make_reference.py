"""Write the reference pages of settings, resources and metrics from the source code."""

import pathlib
import typing

from prometheus_client import CollectorRegistry

from slatehoist.config.resources import (
    EndpointSpec,
    GroupSpec,
    ModelVersionSpec,
    TeamSpec,
)
from slatehoist.config.settings import EntrySettings, SidecarSettings
from slatehoist.daemon.metrics import Metric
from slatehoist.observe import AgentMetrics, GatewayMetrics

REFERENCE_DIR = pathlib.Path(__file__).resolve().parent.parent / "docs" / "reference"


def key_rows(cls: type, prefix: str) -> list[str]:
    """Return table rows for the keys of a type, then for those of its nested types."""
    rows, nested = [], []
    hints = typing.get_type_hints(cls, include_extras=True)
    for name, hint in hints.items():
        nested_type = find_nested_type(hint)
        if nested_type is not None:
            nested += key_rows(nested_type, f"{prefix}{name}.")
            continue
        default = cls._field_defaults.get(name, "required")
        rows.append(f"| `{prefix}{name}` | `{default}` | {annotation_text(hint)} |")
    return rows + nested


def find_nested_type(hint) -> type | None:
    """Return the type with keys of its own in a type hint, or None if there is none."""
    candidates = [hint, *typing.get_args(hint)]
    for candidate in candidates:
        if isinstance(candidate, type) and hasattr(candidate, "_fields"):
            return candidate
    return None


def annotation_text(hint) -> str:
    """Return the description and the limits in the metadata of a type hint."""
    parts = []
    for extra in getattr(hint, "__metadata__", ()):
        if getattr(extra, "description", None):
            parts.append(extra.description)
        parts += [str(limit) for limit in getattr(extra, "metadata", ())]
    return "; ".join(parts)


def key_table(title: str, cls: type) -> str:
    """Return the heading and table of one type as Markdown."""
    head = f"## {title}\n\n| key | default | meaning |\n|---|---|---|\n"
    return head + "\n".join(key_rows(cls, "")) + "\n"


def metric_table(registry: CollectorRegistry) -> str:
    """Return a table of the metrics in a registry as Markdown."""
    rows = [
        f"| `{family.name}` | {family.type} | {family.documentation} |"
        for family in registry.collect()
    ]
    return "\n".join(["| name | kind | meaning |", "|---|---|---|", *rows, ""])


def main() -> None:
    """Write the reference pages."""
    settings = ["# Settings\n", "Made by `tools/make_reference.py`.\n"]
    settings.append(key_table("slatehoistd entry", EntrySettings))
    settings.append(key_table("slatehoistd sidecar", SidecarSettings))
    (REFERENCE_DIR / "settings.md").write_text("\n".join(settings))
    resources = ["# Resources\n", "Made by `tools/make_reference.py`.\n"]
    for name, cls in (
        ("group", GroupSpec),
        ("endpoint", EndpointSpec),
        ("team", TeamSpec),
        ("modelversion", ModelVersionSpec),
    ):
        resources.append(key_table(name, cls))
    (REFERENCE_DIR / "resources.md").write_text("\n".join(resources))
    names = "\n".join(f"- `slatehoist.{metric}`" for metric in Metric)
    pages = [f"# Metrics\n\n## entry and sidecar, over statsd\n\n{names}\n"]
    for title, metrics in (("gateway", GatewayMetrics()), ("agent", AgentMetrics())):
        pages.append(f"## {title}, as text on its metrics address\n")
        pages.append(metric_table(metrics.registry))
    (REFERENCE_DIR / "metrics.md").write_text("\n".join(pages))


if __name__ == "__main__":
    main()

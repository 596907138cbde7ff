"""Write the reference of settings, resources and metrics from the types."""

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

TARGET = pathlib.Path(__file__).resolve().parent.parent / "docs" / "reference"


def describe(cls: type, prefix: str) -> list[str]:
    """List a settings type's keys as rows of a table, nested ones too."""
    rows, nested = [], []
    hints = typing.get_type_hints(cls, include_extras=True)
    for name, hint in hints.items():
        inner = inner_table(hint)
        if inner is not None:
            nested += describe(inner, f"{prefix}{name}.")
            continue
        default = cls._field_defaults.get(name, "required")
        rows.append(f"| `{prefix}{name}` | `{default}` | {description(hint)} |")
    return rows + nested


def inner_table(hint) -> type | None:
    """Give the settings type within a hint, if there is one."""
    candidates = [hint, *typing.get_args(hint)]
    for candidate in candidates:
        if isinstance(candidate, type) and hasattr(candidate, "_fields"):
            return candidate
    return None


def description(hint) -> str:
    """Give the text and limits that an annotation carries."""
    parts = []
    for extra in getattr(hint, "__metadata__", ()):
        if getattr(extra, "description", None):
            parts.append(extra.description)
        parts += [str(limit) for limit in getattr(extra, "metadata", ())]
    return "; ".join(parts)


def table(title: str, cls: type) -> str:
    """Write one type's table."""
    head = f"## {title}\n\n| key | default | meaning |\n|---|---|---|\n"
    return head + "\n".join(describe(cls, "")) + "\n"


def metric_table(registry: CollectorRegistry) -> str:
    """List a registry's metrics as a table."""
    rows = [
        f"| `{family.name}` | {family.type} | {family.documentation} |"
        for family in registry.collect()
    ]
    return "\n".join(["| name | kind | meaning |", "|---|---|---|", *rows, ""])


def main() -> None:
    """Write the pages."""
    settings = ["# Settings\n", "Made by `tools/make_reference.py`.\n"]
    settings.append(table("slatehoistd entry", EntrySettings))
    settings.append(table("slatehoistd sidecar", SidecarSettings))
    (TARGET / "settings.md").write_text("\n".join(settings))
    resources = ["# Resources\n", "Made by `tools/make_reference.py`.\n"]
    for name, cls in (
        ("group", GroupSpec),
        ("endpoint", EndpointSpec),
        ("team", TeamSpec),
        ("modelversion", ModelVersionSpec),
    ):
        resources.append(table(name, cls))
    (TARGET / "resources.md").write_text("\n".join(resources))
    names = "\n".join(f"- `slatehoist.{metric}`" for metric in Metric)
    pages = [f"# Metrics\n\n## entry and sidecar, over statsd\n\n{names}\n"]
    for title, metrics in (("gateway", GatewayMetrics()), ("agent", AgentMetrics())):
        pages.append(f"## {title}, as text on its metrics address\n")
        pages.append(metric_table(metrics.registry))
    (TARGET / "metrics.md").write_text("\n".join(pages))


if __name__ == "__main__":
    main()

"""Resources that operators declare: kinds, specs and validation."""

import tomllib
from enum import StrEnum
from typing import Annotated, Any, Literal, NamedTuple

from pydantic import Field, TypeAdapter

from slatehoist.config.findings import Finding, line_of, validate

Name = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9.\-]{0,61}[a-z0-9])?$")]


class Kind(StrEnum):
    """Kinds of resource."""

    GROUP = "group"
    ENDPOINT = "endpoint"
    TEAM = "team"
    MODEL_VERSION = "modelversion"


class GroupSpec(NamedTuple):
    """Expert-parallel group of ranks that run their steps in lock-step.

    Attributes
    ----------
    experts : int
        Number of experts in each layer.
    spare_slots : int
        Number of slots in each layer, over all ranks, beyond one slot per expert.
    shares : dict of str to float
        Weight of each member in the fair queueing of the group's endpoints.
    skew_weight : float
        Weight of step-time skew relative to the cost of moving experts; see
        "Tune for skew or for cost" in docs/howto/operate.md.
    """

    ranks: Annotated[int, Field(ge=1, le=1024)]
    layers: Annotated[int, Field(ge=1, le=256)] = 1
    experts: Annotated[int, Field(ge=1, le=4096)] = 8
    spare_slots: Annotated[int, Field(ge=0, le=4096)] = 0
    shares: dict[str, Annotated[float, Field(gt=0)]] = {}
    skew_weight: Annotated[float, Field(gt=0, le=100)] = 1.0


class EndpointSpec(NamedTuple):
    """Endpoint that serves models or a plain service.

    Attributes
    ----------
    shares : dict of str to float
        Weight of each member in the fair queueing; overrides the group's share.
    members : list of str
        Members that may use the endpoint; empty for all.
    idempotent_methods : list of str
        HTTP methods of a plain service whose requests may be sent again even if an
        earlier attempt may have run.
    """

    models: list[str] = []
    service: str = ""
    group: str = ""
    shares: dict[str, Annotated[float, Field(gt=0)]] = {}
    members: list[str] = []
    idempotent_methods: list[str] = ["GET", "HEAD", "OPTIONS"]


class TeamSpec(NamedTuple):
    """Team of a member, with its limits.

    Attributes
    ----------
    rate_per_s : float
        Limit in requests per second, divided among all entries.
    weight : float
        Weight of the team among its member's teams in the fair queueing.
    priority : int
        Priority of all requests of the team; larger values are more urgent.
    """

    rate_per_s: Annotated[float, Field(gt=0)] = 1000.0
    weight: Annotated[float, Field(gt=0)] = 1.0
    priority: Annotated[int, Field(ge=0, le=9)] = 5


class ModelVersionSpec(NamedTuple):
    """Version of a model that callers may request."""

    model: Annotated[str, Field(min_length=1)]
    version: Annotated[str, Field(min_length=1)] = "1"
    adapters: list[str] = []
    state: Literal["active", "retired"] = "active"


class Resource(NamedTuple):
    """Resource as accepted by the store.

    Attributes
    ----------
    generation : int
        Number of changes of the spec, including creation and deletion.
    revision : int
        Configuration revision of the last change.
    deleted : bool
        True if this is the tombstone of a deleted resource.
    """

    kind: str
    name: str
    member: str
    spec: dict[str, Any]
    generation: int
    revision: int
    deleted: bool = False


class Manifest(NamedTuple):
    """Resource as declared in an operator's file."""

    kind: Kind
    name: Name
    spec: dict[str, Any] = {}


class _ManifestFile(NamedTuple):
    resource: list[Manifest]


_SPECS = {
    Kind.GROUP: TypeAdapter(GroupSpec),
    Kind.ENDPOINT: TypeAdapter(EndpointSpec),
    Kind.TEAM: TypeAdapter(TeamSpec),
    Kind.MODEL_VERSION: TypeAdapter(ModelVersionSpec),
}
_FILE = TypeAdapter(_ManifestFile)
_NAME = TypeAdapter(Name)


def parse_spec(kind: str, spec: dict[str, Any]) -> Any:
    """Return the spec of an accepted resource as an instance of its type."""
    return _SPECS[Kind(kind)].validate_python(spec)


def check_resource(
    kind: str, name: str, spec: Any, text: str = "", file: str = "request"
) -> list[Finding]:
    """Validate a resource and return all findings."""
    if kind not in list(Kind):
        kinds = ", ".join(Kind)
        reason = f"unknown kind; must be one of {kinds}"
        return [Finding("resource.kind", file, 0, "kind", repr(kind), reason)]
    _, findings = validate(_NAME, name, text, file)
    findings = [f._replace(key="name") for f in findings]
    _, spec_findings = validate(_SPECS[Kind(kind)], spec, text, file)
    return findings + spec_findings


def parse_manifests(text: str, file: str) -> tuple[list[Manifest], list[Finding]]:
    """Parse a TOML text of ``[[resource]]`` tables; return manifests and findings."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        return [], [Finding("resource.toml", file, 0, "(file)", "", str(exc))]
    manifests, findings = validate(_FILE, data, text, file)
    if findings:
        return [], findings
    for index, manifest in enumerate(manifests.resource):
        found = _check_spec(manifest, index, text, file)
        findings += found
    return manifests.resource, findings


def _check_spec(manifest: Manifest, index: int, text: str, file: str) -> list[Finding]:
    """Validate one manifest's spec; locate its findings in the file."""
    adapter = _SPECS[manifest.kind]
    _, findings = validate(adapter, manifest.spec, "", file)
    located = []
    for finding in findings:
        path = ("resource", index, "spec", *finding.key.split("."))
        located.append(_locate(finding, path, text))
    return located


def _locate(finding: Finding, path: tuple[Any, ...], text: str) -> Finding:
    """Return a finding with the key and line of a path in a text."""
    key = ".".join(str(part) for part in path)
    return finding._replace(line=line_of(text, path), key=key)

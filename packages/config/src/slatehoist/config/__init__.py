"""Daemon settings, declared resources and the versioned resource store."""

from slatehoist.config.exceptions import InvalidError
from slatehoist.config.findings import Finding
from slatehoist.config.replica import Replica
from slatehoist.config.resources import (
    EndpointSpec,
    GroupSpec,
    Kind,
    Manifest,
    ModelVersionSpec,
    Resource,
    TeamSpec,
    check_resource,
    parse_manifests,
    parse_spec,
)
from slatehoist.config.settings import (
    EntrySettings,
    SidecarSettings,
    guess_role,
    load_settings,
    parse_settings,
)
from slatehoist.config.store import Change, Refusal, ResourceStore

__all__ = [
    "Change",
    "EndpointSpec",
    "EntrySettings",
    "Finding",
    "GroupSpec",
    "InvalidError",
    "Kind",
    "Manifest",
    "ModelVersionSpec",
    "Refusal",
    "Replica",
    "Resource",
    "ResourceStore",
    "SidecarSettings",
    "TeamSpec",
    "check_resource",
    "guess_role",
    "load_settings",
    "parse_manifests",
    "parse_settings",
    "parse_spec",
]

"""Gateway: forwards callers' requests directly to the endpoints."""

from slatehoist.gateway.catalogue import Catalogue, RouteTable
from slatehoist.gateway.codec import (
    DeploymentSource,
    Forwarding,
    HeaderCodec,
    OperatorUpdate,
)
from slatehoist.gateway.configuration_checks import (
    UNKNOWN_DEPLOYMENT,
    Deployment,
    Finding,
    Severity,
    check_configuration,
    describe_deployment,
    format_path,
    label,
    shorten,
)
from slatehoist.gateway.configuration_diff import (
    Change,
    ChangeKind,
    ConfigurationDiff,
    FieldChange,
    Move,
    compare_configurations,
)
from slatehoist.gateway.directory import EndpointDirectory
from slatehoist.gateway.model import (
    CallerLimits,
    Configuration,
    Endpoint,
    EngineSpec,
    Kind,
    ReplyInfo,
    RequestInfo,
    Route,
    Service,
    Target,
    Team,
)
from slatehoist.gateway.process import GatewayProcess
from slatehoist.gateway.settings import GatewaySettings

__all__ = [
    "UNKNOWN_DEPLOYMENT",
    "CallerLimits",
    "Catalogue",
    "Change",
    "ChangeKind",
    "Configuration",
    "ConfigurationDiff",
    "Deployment",
    "DeploymentSource",
    "Endpoint",
    "EndpointDirectory",
    "EngineSpec",
    "FieldChange",
    "Finding",
    "Forwarding",
    "GatewayProcess",
    "GatewaySettings",
    "HeaderCodec",
    "Kind",
    "Move",
    "OperatorUpdate",
    "ReplyInfo",
    "RequestInfo",
    "Route",
    "RouteTable",
    "Service",
    "Severity",
    "Target",
    "Team",
    "check_configuration",
    "compare_configurations",
    "describe_deployment",
    "format_path",
    "label",
    "shorten",
]

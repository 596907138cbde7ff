"""Gateway: forwards callers' requests directly to the endpoints."""

from slatehoist.gateway.catalogue import Catalogue, RouteTable
from slatehoist.gateway.codec import (
    DeploymentSource,
    Forwarding,
    HeaderCodec,
    OperatorUpdate,
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
    "CallerLimits",
    "Catalogue",
    "Configuration",
    "DeploymentSource",
    "Endpoint",
    "EndpointDirectory",
    "EngineSpec",
    "Forwarding",
    "GatewayProcess",
    "GatewaySettings",
    "HeaderCodec",
    "Kind",
    "OperatorUpdate",
    "ReplyInfo",
    "RequestInfo",
    "Route",
    "RouteTable",
    "Service",
    "Target",
    "Team",
]

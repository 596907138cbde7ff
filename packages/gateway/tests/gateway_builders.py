"""Builders of test data for the gateway."""

from slatehoist.gateway import (
    Configuration,
    Endpoint,
    EngineSpec,
    Kind,
    Route,
    Service,
    Target,
    Team,
)
from slatehoist.routing import SharedRetryBudget


def make_endpoint(name: str, **fields) -> Endpoint:
    """Build an endpoint with defaults for the fields that are not given."""
    values = {"service": "app", "address": f"10.0.0.1:{name[-1]}", "zone": "a"}
    return Endpoint(name, **{**values, "concurrency": 6, **fields})


def make_route(prefix: str = "/a/", **fields) -> Route:
    """Build a route with defaults for the fields that are not given."""
    values = {
        "name": prefix,
        "host": "h",
        "prefix": prefix,
        "kind": Kind.SAFE,
        "timeout_s": 1.0,
        "objective_s": 0.4,
        "priority": 1,
        "targets": (Target("app", 1.0),),
        "max_attempts": 2,
    }
    return Route(**{**values, **fields})


def make_configuration(version: int, **fields) -> Configuration:
    """Build a configuration with defaults for the fields that are not given."""
    values = {
        "routes": (make_route(),),
        "services": (Service("app"),),
        "teams": (Team("t", ("key",)),),
    }
    return Configuration(version, **{**values, **fields})


def make_engine(report_lag_ms: float | None = None) -> EngineSpec:
    """Build the cost model of an engine."""
    return EngineSpec(6, 5.0, 0.4, 0.01, 74_000.0, 512, 7, 700.0, 150.0, report_lag_ms)


def send_retry(budget: SharedRetryBudget, now: float, fraction: float) -> bool:
    """Send a retry that arrives at once; return False if the budget has no room."""
    retry = budget.reserve(now, fraction)
    if retry is None:
        return False
    retry.record_arrival(now)
    return True

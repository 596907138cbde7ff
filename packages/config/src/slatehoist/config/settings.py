"""Settings of the daemons: types, defaults and limits."""

import os
import tomllib
from typing import Annotated, Literal, NamedTuple

from pydantic import Field, TypeAdapter

from slatehoist.config.exceptions import InvalidError
from slatehoist.config.findings import Finding, validate

#: ``host:port`` with a numeric host, since instances connect by IP address.
Address = Annotated[str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d+$")]
Url = Annotated[str, Field(pattern=r"^https?://")]
Seconds = Annotated[float, Field(gt=0, le=86400)]


class InstanceSettings(NamedTuple):
    """Name, location and addresses of this instance."""

    name: Annotated[str, Field(min_length=1, description="name of the instance")]
    zone: Annotated[str, Field(min_length=1, description="availability zone")]
    listen: Annotated[Address, Field(description="address for HTTP")]
    control: Annotated[Address, Field(description="address for control links")]
    region: Annotated[str, Field(description="region of the zone")] = "local"


class PlatformSettings(NamedTuple):
    """URLs of the platform's services."""

    table: Annotated[Url, Field(description="table service")]
    objects: Annotated[Url, Field(description="object store")]
    instances: Annotated[Url, Field(description="instance list")]
    weights: Annotated[Url, Field(description="weight store")]
    poll_s: Annotated[
        Seconds, Field(description="seconds between polls of table and instance list")
    ] = 1.0


class LogSettings(NamedTuple):
    """Format and level of log events."""

    format: Annotated[
        Literal["keyvalue", "json"], Field(description="format of a log line")
    ] = "keyvalue"
    level: Annotated[
        Literal["debug", "info", "warning", "error"],
        Field(description="lowest level that is logged"),
    ] = "info"


class ObserveSettings(NamedTuple):
    """Destinations of metrics and traces."""

    statsd: Annotated[str, Field(description="statsd host:port; empty for none")] = ""
    otlp: Annotated[str, Field(description="OTLP/HTTP traces URL; empty for none")] = ""
    sample: Annotated[
        float, Field(ge=0, le=1, description="share of requests that are traced")
    ] = 0.01


class TokenSettings(NamedTuple):
    """Bearer token with its member and team."""

    token: Annotated[str, Field(min_length=8, description="bearer token; secret")]
    member: Annotated[
        str, Field(min_length=1, description="member that the token belongs to")
    ]
    team: Annotated[
        str, Field(min_length=1, description="team that the token belongs to")
    ]
    operator: Annotated[
        bool, Field(description="true if the token may change resources")
    ] = False


class CallerSettings(NamedTuple):
    """Limits on the requests of callers."""

    max_body_bytes: Annotated[
        int, Field(gt=0, description="largest request body, in bytes")
    ] = 1_048_576
    body_timeout_s: Annotated[
        Seconds, Field(description="seconds within which a caller must send a body")
    ] = 10.0
    default_deadline_s: Annotated[
        Seconds, Field(description="default deadline of a request, in seconds")
    ] = 60.0
    max_deadline_s: Annotated[
        Seconds, Field(description="maximum deadline of a request, in seconds")
    ] = 3600.0


class RetrySettings(NamedTuple):
    """Conditions and limits for retries of a request."""

    budget_ratio: Annotated[
        float,
        Field(
            ge=0, le=1, description="retries that a member earns by each first attempt"
        ),
    ] = 0.09
    budget_floor: Annotated[
        float,
        Field(
            ge=0,
            description="retries available to each member even at low traffic, in case"
            " an endpoint is lost",
        ),
    ] = 20.0
    max_tries: Annotated[
        int, Field(ge=1, le=16, description="maximum number of attempts of a request")
    ] = 3
    silence_s: Annotated[
        Seconds,
        Field(
            description="seconds without data after which a stream from a sidecar"
            " counts as stalled"
        ),
    ] = 2.0
    query_timeout_s: Annotated[
        Seconds,
        Field(description="seconds to wait for the response to a query of an attempt"),
    ] = 1.5


class GuardSettings(NamedTuple):
    """Durations for which requests are suspected or refused after endpoint crashes."""

    conviction_s: Annotated[
        Seconds, Field(description="seconds that a convicted request is refused")
    ] = 3600.0
    suspicion_s: Annotated[
        Seconds, Field(description="seconds after which a suspicion expires")
    ] = 900.0


class EntrySettings(NamedTuple):
    """Settings of ``slatehoistd entry``."""

    instance: InstanceSettings
    platform: PlatformSettings
    token: list[TokenSettings]
    log: LogSettings = LogSettings()
    observe: ObserveSettings = ObserveSettings()
    caller: CallerSettings = CallerSettings()
    retry: RetrySettings = RetrySettings()
    guard: GuardSettings = GuardSettings()
    blind_s: Annotated[
        Seconds,
        Field(
            description="seconds without contact to the table or any peer after which"
            " the entry takes no new requests"
        ),
    ] = 15.0
    drain_s: Annotated[
        Seconds,
        Field(
            description="maximum seconds that a stopping process waits for its requests"
        ),
    ] = 600


class EndpointSettings(NamedTuple):
    """Endpoint on the instance of a sidecar."""

    name: Annotated[str, Field(min_length=1, description="name of the endpoint")]
    url: Annotated[Url, Field(description="URL of the engine or plain service")]
    kind: Annotated[
        Literal["engine", "plain"], Field(description="type of the endpoint's API")
    ] = "engine"
    concurrency: Annotated[
        int, Field(gt=0, description="maximum number of running requests")
    ] = 32
    min_concurrency: Annotated[
        int, Field(gt=0, description="lower bound of the adaptive concurrency limit")
    ] = 4
    target_step_s: Annotated[
        Seconds,
        Field(
            description="step time in seconds above which the adaptive concurrency"
            " limit is lowered"
        ),
    ] = 0.05
    max_queue: Annotated[
        int, Field(ge=0, description="maximum number of queued requests")
    ] = 512
    max_wait_s: Annotated[
        Seconds, Field(description="maximum expected wait in the queue, in seconds")
    ] = 3.0
    silence_s: Annotated[
        Seconds,
        Field(
            description="seconds without data after which an engine's stream is resumed"
            " on a new connection"
        ),
    ] = 2.0


class RankSettings(NamedTuple):
    """Rank that runs on the instance of a sidecar, and its group."""

    group: Annotated[str, Field(min_length=1, description="name of the group")]
    rank: Annotated[int, Field(ge=0, description="index of the rank")]
    url: Annotated[Url, Field(description="URL where the rank accepts orders")]
    lease_s: Annotated[
        Seconds, Field(description="lifetime of the coordinator's lease, in seconds")
    ] = 6.0
    plan_s: Annotated[
        Seconds, Field(description="seconds between evaluations of expert loads")
    ] = 30.0


class SidecarSettings(NamedTuple):
    """Settings of ``slatehoistd sidecar``."""

    instance: InstanceSettings
    platform: PlatformSettings
    endpoint: EndpointSettings
    rank: list[RankSettings] = []
    log: LogSettings = LogSettings()
    observe: ObserveSettings = ObserveSettings()
    retain_s: Annotated[
        Seconds,
        Field(description="seconds that the response of an ended attempt is kept"),
    ] = 30.0
    drain_s: Annotated[
        Seconds,
        Field(
            description="maximum seconds that a stopping process waits for its requests"
        ),
    ] = 600


#: Prefix of the environment variables that override tokens. It is followed by the index
#: of the token in the settings file, starting at 0.
TOKEN_VARIABLE_PREFIX = "SLATEHOIST_TOKEN_"

_ADAPTERS = {
    "entry": TypeAdapter(EntrySettings),
    "sidecar": TypeAdapter(SidecarSettings),
}


def load_settings(role: str, path: str) -> EntrySettings | SidecarSettings:
    """Read and validate a settings file.

    Parameters
    ----------
    role : {'entry', 'sidecar'}
    path : str

    Raises
    ------
    InvalidError
        If the file cannot be read or is invalid; carries all findings.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as exc:
        raise InvalidError([_file_finding(path, str(exc))]) from exc
    return parse_settings(role, text, path)


def parse_settings(
    role: str, text: str, name: str = "settings"
) -> EntrySettings | SidecarSettings:
    """Validate settings given as TOML text; see `load_settings`."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise InvalidError([_file_finding(name, str(exc))]) from exc
    _override_tokens(data)
    settings, findings = validate(_ADAPTERS[role], data, text, name)
    if findings:
        raise InvalidError(findings)
    return settings


def guess_role(path: str) -> str:
    """Return ``sidecar`` if a settings file has an ``endpoint`` table, else ``entry``.

    For a file that cannot be read, return ``entry``.
    """
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError):
        return "entry"
    return "sidecar" if "endpoint" in data else "entry"


def _file_finding(path: str, reason: str) -> Finding:
    return Finding("settings.file", path, 0, "(file)", "", reason)


def _override_tokens(data: dict) -> None:
    """Override tokens, the only secrets, with environment variables."""
    tokens = data.get("token", [])
    if not isinstance(tokens, list):
        return
    for index, token in enumerate(tokens):
        secret = os.environ.get(f"{TOKEN_VARIABLE_PREFIX}{index}")
        if secret and isinstance(token, dict):
            token["token"] = secret

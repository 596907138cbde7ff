"""Settings of the daemons: types, defaults and limits in one place."""

import os
import tomllib
from typing import Annotated, Literal, NamedTuple

from pydantic import Field, TypeAdapter

from slatehoist.config.exceptions import InvalidError
from slatehoist.config.findings import Finding, validate

#: ``host:port`` with a numeric host, since instances talk by IP numbers.
Address = Annotated[str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d+$")]
Url = Annotated[str, Field(pattern=r"^https?://")]
Seconds = Annotated[float, Field(gt=0, le=86400)]


class InstanceSettings(NamedTuple):
    """Who and where this process is."""

    name: Annotated[str, Field(min_length=1, description="name of the instance")]
    zone: Annotated[str, Field(min_length=1, description="availability zone")]
    listen: Annotated[Address, Field(description="address for HTTP")]
    control: Annotated[Address, Field(description="address for control links")]
    region: Annotated[str, Field(description="region of the zone")] = "local"


class PlatformSettings(NamedTuple):
    """Where the platform's services are."""

    table: Annotated[Url, Field(description="table service")]
    objects: Annotated[Url, Field(description="object store")]
    instances: Annotated[Url, Field(description="instance list")]
    weights: Annotated[Url, Field(description="weight store")]
    poll_s: Annotated[
        Seconds, Field(description="seconds between polls of table and list")
    ] = 1.0


class LogSettings(NamedTuple):
    """How events are logged."""

    format: Annotated[
        Literal["keyvalue", "json"], Field(description="form of an event's line")
    ] = "keyvalue"
    level: Annotated[
        Literal["debug", "info", "warning", "error"],
        Field(description="least level that is logged"),
    ] = "info"


class ObserveSettings(NamedTuple):
    """Where metrics and traces go."""

    statsd: Annotated[str, Field(description="statsd host:port; empty for none")] = ""
    otlp: Annotated[str, Field(description="OTLP/HTTP traces URL; empty: none")] = ""
    sample: Annotated[
        float, Field(ge=0, le=1, description="share of requests that are traced")
    ] = 0.01


class TokenSettings(NamedTuple):
    """One bearer token, its member and its team."""

    token: Annotated[str, Field(min_length=8, description="bearer token; secret")]
    member: Annotated[str, Field(min_length=1, description="member of the caller")]
    team: Annotated[str, Field(min_length=1, description="team of the caller")]
    operator: Annotated[bool, Field(description="may use the resource API")] = False


class CallerSettings(NamedTuple):
    """Limits towards callers."""

    max_body_bytes: Annotated[
        int, Field(gt=0, description="largest request body, in bytes")
    ] = 1_048_576
    body_timeout_s: Annotated[
        Seconds, Field(description="seconds that a caller may take to send a body")
    ] = 10.0
    default_deadline_s: Annotated[
        Seconds, Field(description="deadline of a request that states none")
    ] = 60.0
    max_deadline_s: Annotated[
        Seconds, Field(description="largest deadline that a caller may state")
    ] = 3600.0


class RetrySettings(NamedTuple):
    """When and how often a request is tried again."""

    budget_ratio: Annotated[
        float, Field(ge=0, le=1, description="retries per first try, by member")
    ] = 0.09
    budget_floor: Annotated[
        float, Field(ge=0, description="retries in hand for a sudden loss, by member")
    ] = 20.0
    max_tries: Annotated[
        int, Field(ge=1, le=16, description="attempts of one request at most")
    ] = 3
    silence_s: Annotated[
        Seconds, Field(description="silence on a stream before its path is given up")
    ] = 2.0
    query_timeout_s: Annotated[
        Seconds, Field(description="seconds to wait for what became of an attempt")
    ] = 1.5


class GuardSettings(NamedTuple):
    """Bounds of crash suspicion."""

    conviction_s: Annotated[
        Seconds, Field(description="seconds that a convicted request is refused")
    ] = 3600.0
    suspicion_s: Annotated[
        Seconds, Field(description="seconds after which a suspicion lapses")
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
        Seconds, Field(description="seconds without table and peers until not ready")
    ] = 15.0
    drain_s: Annotated[Seconds, Field(description="grace for requests at a stop")] = 600


class EndpointSettings(NamedTuple):
    """The endpoint beside a sidecar."""

    name: Annotated[str, Field(min_length=1, description="name of the endpoint")]
    url: Annotated[Url, Field(description="engine or plain service")]
    kind: Annotated[
        Literal["engine", "plain"], Field(description="what the endpoint speaks")
    ] = "engine"
    concurrency: Annotated[
        int, Field(gt=0, description="most requests running at once")
    ] = 32
    min_concurrency: Annotated[
        int, Field(gt=0, description="floor of the adaptive concurrency")
    ] = 4
    target_step_s: Annotated[
        Seconds, Field(description="step time that concurrency is adapted to")
    ] = 0.05
    max_queue: Annotated[
        int, Field(ge=0, description="most requests waiting at once")
    ] = 512
    max_wait_s: Annotated[
        Seconds, Field(description="longest wait in the queue that is accepted")
    ] = 3.0
    silence_s: Annotated[
        Seconds, Field(description="silence of the endpoint before it is given up")
    ] = 2.0


class RankSettings(NamedTuple):
    """A rank of a group that runs beside the sidecar."""

    group: Annotated[str, Field(min_length=1, description="name of the group")]
    rank: Annotated[int, Field(ge=0, description="index of the rank")]
    url: Annotated[Url, Field(description="where the rank takes orders")]
    lease_s: Annotated[
        Seconds, Field(description="lifetime of the coordinator's lease")
    ] = 6.0
    plan_s: Annotated[
        Seconds, Field(description="seconds between looks at the expert loads")
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
        Seconds, Field(description="seconds that a finished attempt is kept")
    ] = 30.0
    drain_s: Annotated[Seconds, Field(description="grace for requests at a stop")] = 600


#: Environment variable that replaces the token of a name, as NAME + index.
TOKEN_VARIABLE = "SLATEHOIST_TOKEN_"

_ADAPTERS = {
    "entry": TypeAdapter(EntrySettings),
    "sidecar": TypeAdapter(SidecarSettings),
}


def load_settings(role: str, path: str) -> EntrySettings | SidecarSettings:
    """Read and check a settings file.

    Parameters
    ----------
    role : {'entry', 'sidecar'}
    path : str

    Raises
    ------
    InvalidError
        With every finding of the file at once.
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
    """Check settings given as TOML text; see `load_settings`."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise InvalidError([_file_finding(name, str(exc))]) from exc
    _take_secrets(data)
    settings, findings = validate(_ADAPTERS[role], data, text, name)
    if findings:
        raise InvalidError(findings)
    return settings


def guess_role(path: str) -> str:
    """Tell which role's settings a file holds, by its tables."""
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError):
        return "entry"
    return "sidecar" if "endpoint" in data else "entry"


def _file_finding(path: str, reason: str) -> Finding:
    return Finding("settings.file", path, 0, "(file)", "", reason)


def _take_secrets(data: dict) -> None:
    """Let the environment replace tokens, which are the only secrets."""
    tokens = data.get("token", [])
    if not isinstance(tokens, list):
        return
    for index, token in enumerate(tokens):
        secret = os.environ.get(f"{TOKEN_VARIABLE}{index}")
        if secret and isinstance(token, dict):
            token["token"] = secret

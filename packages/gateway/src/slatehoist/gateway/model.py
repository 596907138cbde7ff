"""Data that the gateway decides on, as the adapter hands it over."""

from enum import StrEnum
from typing import NamedTuple


class Kind(StrEnum):
    """What may be repeated of a request."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Target(NamedTuple):
    """Service that a share of a route's requests goes to."""

    service: str
    weight: float


class Route(NamedTuple):
    """Rule that sends requests of a host and path prefix to services.

    Attributes
    ----------
    timeout_s : float
        Longest time that a caller is kept waiting.
    objective_s : float
        Latency objective, up to the first event for streams.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Most endpoints that one request may be sent to.
    public : bool
        Whether no credential is needed.
    resumable : bool
        Whether a stream may be continued at another endpoint.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    timeout_s: float
    objective_s: float
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run can be sent again from its start."""
        return self.kind == Kind.SAFE


class EngineSpec(NamedTuple):
    """Cost model of a model engine; times in milliseconds.

    Attributes
    ----------
    prompt_tokens_per_s : float
        Prompt tokens read in a second.
    steps_per_pass : int
        Token steps in one pass.
    """

    concurrency: int
    step_ms: float
    per_sequence_ms: float
    context_ms_per_1k: float
    prompt_tokens_per_s: float
    chunk: int
    steps_per_pass: int
    mean_prompt_tokens: float
    mean_answer_tokens: float


class Service(NamedTuple):
    """Set of endpoints that answer the same requests."""

    name: str
    engine: EngineSpec | None = None


class CallerLimits(NamedTuple):
    """Bounds on what a caller may send; sizes in bytes."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Team(NamedTuple):
    """Team and the credentials of its callers."""

    name: str
    credentials: tuple[str, ...]
    priority: int | None = None


class Configuration(NamedTuple):
    """One version of what the operators declare.

    Attributes
    ----------
    teams : tuple of Team or None
        None if callers need no credentials.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits = CallerLimits()
    teams: tuple[Team, ...] | None = None


class Endpoint(NamedTuple):
    """One running server of a service.

    Attributes
    ----------
    endpoint_id : str
    address : str
        ``host:port``.
    concurrency : int
        Requests that it runs at once.
    started_at_ms : int
        Time of its start, which tells two starts under one id apart; 0 if unknown.
    """

    endpoint_id: str
    service: str
    address: str
    zone: str
    concurrency: int
    draining: bool = False
    started_at_ms: int = 0


class RequestInfo(NamedTuple):
    """What the gateway needs to know of a caller's request.

    Attributes
    ----------
    deadline_s : float or None
        Seconds that the caller will wait.
    credential : str
        Empty if none was sent.
    last_event_id : str
        Event after which the caller wants a stream to go on; empty for its start.
    prompt_tokens, answer_tokens : int
        Sizes that the caller states; 0 if unknown.
    """

    request_id: str
    deadline_s: float | None
    credential: str
    last_event_id: str
    prompt_tokens: int = 0
    answer_tokens: int = 0


class ReplyInfo(NamedTuple):
    """What the gateway needs to know of an endpoint's response.

    Attributes
    ----------
    request_id : str
        Identity of the request that the response belongs to.
    not_run : bool
        Whether the endpoint states that it did not run the request.
    wrong_instance : bool
        Whether another endpoint has the address now.
    authentic : bool
        Whether the response carries the proof that the endpoint made it.
    running, waiting : int or None
        Load that the endpoint reports.
    """

    request_id: str
    not_run: bool
    wrong_instance: bool
    authentic: bool
    running: int | None = None
    waiting: int | None = None

"""Configuration, endpoints and messages in the form that the gateway works with.

The adapter of the platform converts its documents and headers to these types.
"""

from enum import StrEnum
from typing import NamedTuple


class Kind(StrEnum):
    """Kind of a route, which states whether its requests can be repeated.

    - ``safe``: a request can run more than once without harm.
    - ``unsafe``: a request that may have run is not repeated.
    - ``stream``: the response is an event stream, which may be resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Target(NamedTuple):
    """Service and its weight in the traffic split of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Rule that routes requests by host and path prefix to services.

    Attributes
    ----------
    timeout_s : float
        Upper bound on the deadline of a request.
    objective_s : float
        Latency objective; for streams, of the first event.
    priority : int
        0 is the highest priority.
    max_attempts : int
        Upper bound on the attempts of one request. Failed connects, and attempts that
        reached another endpoint than intended, do not count.
    public : bool
        True if no credential is needed.
    resumable : bool
        True if another endpoint can continue a stream.
    pause_s : float or None
        Longest pause between two events for which a stream is in time; None if the
        route states none.
    regions : tuple of str
        Regions whose endpoints may run the requests; all if empty.
    unused_targets : tuple of Target
        Services of the split that get no requests, since only others have a weight
        above 0.
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
    pause_s: float | None = None
    regions: tuple[str, ...] = ()
    unused_targets: tuple[Target, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Return True if a request that may have run can be sent once more."""
        return self.kind == Kind.SAFE


class EngineSpec(NamedTuple):
    """Cost model of a model engine; times in milliseconds.

    Attributes
    ----------
    prompt_tokens_per_s : float
        Prompt tokens processed in a second.
    steps_per_pass : int
        Token steps in one pass.
    report_lag_ms : float or None
        Age of an endpoint's report when it is read from another machine; None if not
        stated.
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
    report_lag_ms: float | None = None


class Service(NamedTuple):
    """Set of endpoints that answer the same requests.

    Attributes
    ----------
    cold_s : float
        Seconds for which an endpoint is cold after it starts.
    cold_rate : float
        Requests per second that a cold endpoint tolerates from all gateways together; 0
        if it tolerates any number.
    """

    name: str
    engine: EngineSpec | None = None
    cold_s: float = 0.0
    cold_rate: float = 0.0


class CallerLimits(NamedTuple):
    """Bounds on what a caller may send; sizes in bytes."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Team(NamedTuple):
    """Team and the credentials of its callers.

    Attributes
    ----------
    priority : int or None
        Takes precedence over the priority of the route; None if not stated.
    regions : tuple of str
        Regions whose endpoints may run the team's requests; all if empty.
    """

    name: str
    credentials: tuple[str, ...]
    priority: int | None = None
    regions: tuple[str, ...] = ()


class Configuration(NamedTuple):
    """One version of the operators' configuration.

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
        Requests that it can run at once.
    started_at_ms : int
        Time of its start, which identifies a restart under the same id; 0 if unknown.
    cold_s : float
        Seconds for which it stays cold, as listed.
    """

    endpoint_id: str
    service: str
    address: str
    zone: str
    concurrency: int
    draining: bool = False
    started_at_ms: int = 0
    cold_s: float = 0.0

    @property
    def run_id(self) -> str:
        """Return the id of the endpoint since its listed start time."""
        return f"{self.endpoint_id}@{self.started_at_ms}"


class RequestInfo(NamedTuple):
    """Fields of a caller's request that the gateway uses.

    Attributes
    ----------
    deadline_s : float or None
        Seconds that the caller will wait; None if it states none.
    credential : str
        Empty if none was sent.
    last_event_id : str
        Event after which the stream is to continue; empty to start at its beginning.
    prompt_tokens, answer_tokens : int
        Sizes that the caller states; 0 if unknown.
    prompt_parts : tuple of str
        Ids of the parts of the prompt that other requests may share, in order.
    """

    request_id: str
    deadline_s: float | None
    credential: str
    last_event_id: str
    prompt_tokens: int = 0
    answer_tokens: int = 0
    prompt_parts: tuple[str, ...] = ()


class ReplyInfo(NamedTuple):
    """Fields of an endpoint's response that the gateway uses.

    Attributes
    ----------
    request_id : str
        Id of the request that the response belongs to; empty if not stated.
    not_run : bool
        True if the endpoint states that it did not run the request.
    wrong_instance : bool
        True if another endpoint has the address now.
    authentic : bool
        True if the response carries proof that an endpoint made it.
    running, waiting : int or None
        Requests in progress and queued at the endpoint; None if not stated.
    leaving : bool
        True if the endpoint is leaving and wants no further requests.
    retry_after_s : float or None
        Seconds for which an endpoint that turned the request away wants no requests
        from this instance; None if not stated.
    rate_limit : float or None
        Requests per second that the endpoint takes from all instances together; None if
        not stated, or if the stated value cannot be used.
    states_rate_limit : bool
        True if the response states a rate, usable or not.
    cold_s : float or None
        Seconds for which the endpoint stays cold; None if not stated.
    """

    request_id: str
    not_run: bool
    wrong_instance: bool
    authentic: bool
    running: int | None = None
    waiting: int | None = None
    leaving: bool = False
    retry_after_s: float | None = None
    rate_limit: float | None = None
    states_rate_limit: bool = False
    cold_s: float | None = None

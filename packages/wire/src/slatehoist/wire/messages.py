"""Typed messages of the inner protocol.

Data between an entry and a sidecar travels as frames of one streamed response per
attempt. Control travels as notes and questions on links.
"""

from enum import StrEnum
from typing import NamedTuple


class NotRunReason(StrEnum):
    """Why a sidecar refused an attempt before its endpoint saw it."""

    DRAINING = "draining"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    OVER_SHARE = "over_share"
    WRONG_INCARNATION = "wrong_incarnation"
    TOMBSTONE = "tombstone"
    SUSPECT_BUSY = "suspect_busy"
    CONVICTED = "convicted"
    ENDPOINT_DOWN = "endpoint_down"
    CANCELLED = "cancelled"


class BrokenReason(StrEnum):
    """Why an attempt that reached its endpoint has no whole answer."""

    ENDPOINT_CRASHED = "endpoint_crashed"
    ENDPOINT_SILENT = "endpoint_silent"
    CANCELLED = "cancelled"
    BUFFER_LIMIT = "buffer_limit"
    DEADLINE = "deadline"


class AttemptState(StrEnum):
    """What a sidecar knows of an attempt."""

    NEVER_SEEN = "never_seen"
    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    NOT_RUN = "not_run"
    BROKEN = "broken"


class AttemptRequest(NamedTuple):
    """Order to run one attempt at one incarnation of one endpoint.

    Attributes
    ----------
    deadline_s : float
        Seconds left until the caller's deadline, counted from sending.
    cost : float
        Estimated service, in tokens.
    digest : str
        Digest of team and body, the identity used for crash suspicion.
    suspect : bool
        Whether the request was in flight on an endpoint that crashed.
    """

    attempt_id: str
    endpoint: str
    incarnation: str
    member: str
    team: str
    model: str
    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    priority: int
    deadline_s: float
    cost: float
    digest: str
    suspect: bool = False
    traceparent: str = ""


class Accepted(NamedTuple):
    """First frame of an attempt that the sidecar took in."""

    attempt_id: str


class NotRun(NamedTuple):
    """Last frame of an attempt that did not run and never will."""

    attempt_id: str
    reason: str
    retry_after_s: float = 0.0


class Head(NamedTuple):
    """Status and headers of the endpoint's answer."""

    status: int
    headers: dict[str, str]


class Data(NamedTuple):
    """One numbered piece of the answer's body; numbers start at 0."""

    seq: int
    data: bytes


class KeepAlive(NamedTuple):
    """Sign of life on an idle stream, with the endpoint's load."""

    load: float = 0.0


class Final(NamedTuple):
    """Last frame of a whole answer: number of data frames, digest, tokens, load."""

    attempt_id: str
    count: int
    digest: str
    tokens: int = 0
    load: float = 0.0


class Broken(NamedTuple):
    """Last frame of an attempt that may have run and has no whole answer.

    ``crash_id`` names the crash, so that several reporters of one crash agree.
    ``digests`` are all requests that were in flight on the crashed endpoint.
    """

    attempt_id: str
    reason: str
    crash_id: str = ""
    digests: list[str] = []


Frame = Accepted | NotRun | Head | Data | KeepAlive | Final | Broken


class Hello(NamedTuple):
    """First note on a link: who speaks."""

    instance: str
    role: str
    incarnation: str


class Heartbeat(NamedTuple):
    """Sign of life on a link, with the facts that every peer wants.

    Attributes
    ----------
    load : float
        Work queued and running, in units of the endpoint's concurrency.
    step_s : float
        Recent engine step time in seconds.
    revision : int
        Configuration revision in force at the sender.
    """

    instance: str
    incarnation: str
    draining: bool
    load: float
    step_s: float
    revision: int
    endpoint: str = ""
    endpoint_up: bool = True


class ConfigQuestion(NamedTuple):
    """Ask a peer for the resources changed since a revision."""

    since: int


class ConfigAnswer(NamedTuple):
    """Resources changed since a revision, as JSON documents."""

    revision: int
    documents: list[bytes]


class CrashReport(NamedTuple):
    """Requests that were in flight on an endpoint when it crashed."""

    crash_id: str
    digests: list[str]


class SuspectCleared(NamedTuple):
    """A suspect request ran to its end without a crash."""

    digest: str


class QuotaQuestion(NamedTuple):
    """Ask a team's home entry for a share of the team's limits."""

    team: str
    entry: str
    wanted_per_s: float


class QuotaAnswer(NamedTuple):
    """Short-lived share of a team's request rate."""

    rate_per_s: float
    lifetime_s: float


class MapOrder(NamedTuple):
    """Order from a group's coordinator to one rank.

    Attributes
    ----------
    verb : str
        One of ``query``, ``stage``, ``arm``, ``go``, ``lift``, ``drop``.
    fence : int
        Fencing number of the coordinator's lease.
    epoch : int
        Epoch of the map that the order is about.
    step : int
        First step of the new map, for ``arm`` and ``go``.
    """

    group: str
    rank: int
    verb: str
    fence: int
    epoch: int = 0
    step: int = 0
    weights: bytes = b""


class MapReply(NamedTuple):
    """A rank's answer to a coordinator.

    Attributes
    ----------
    done : bool
        Whether the order is in effect.
    next_step : int
        Index of the first step that this rank has not begun.
    """

    rank: int
    done: bool
    fence: int
    epoch: int
    staged: int
    armed_epoch: int
    armed_step: int
    next_step: int
    reason: str = ""
    decided_epoch: int = 0
    decided_step: int = 0

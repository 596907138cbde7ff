"""Typed messages of the inner protocol.

Data between an entry and a sidecar travels as frames of one streamed response per
attempt. Control travels as notes and questions on links.
"""

from enum import StrEnum
from typing import NamedTuple


class NotRunReason(StrEnum):
    """Why a sidecar refused an attempt before its endpoint saw it."""

    DRAINING = "draining"
    DEADLINE = "deadline"
    OVER_SHARE = "over_share"
    WRONG_INCARNATION = "wrong_incarnation"
    TOMBSTONE = "tombstone"
    SUSPECT_BUSY = "suspect_busy"
    CONVICTED = "convicted"
    ENDPOINT_DOWN = "endpoint_down"
    SIDECAR_DOWN = "sidecar_down"
    CANCELLED = "cancelled"
    BUSY = "busy"


class BrokenReason(StrEnum):
    """Why an attempt that reached its endpoint has no whole answer."""

    ENDPOINT_CRASHED = "endpoint_crashed"
    ENDPOINT_SILENT = "endpoint_silent"
    CONNECTION_LOST = "connection_lost"
    CANCELLED = "cancelled"
    BUFFER_LIMIT = "buffer_limit"
    DEADLINE = "deadline"
    ANSWER_GONE = "answer_gone"


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
    keyed : bool
        Whether the request has an idempotency key, so that others may ask for it.
    fail_fast : bool
        Whether to be refused rather than queued.
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
    keyed: bool = False
    fail_fast: bool = False
    traceparent: str = ""


class Accepted(NamedTuple):
    """First frame of an attempt that the sidecar took in."""

    attempt_id: str


class NotRun(NamedTuple):
    """Last frame of an attempt that did not run and never will."""

    attempt_id: str
    reason: str
    retry_after_s: float = 0.0
    load: float = 0.0


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
    concurrency: int = 1


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


class RanksQuestion(NamedTuple):
    """Ask a sidecar which ranks of a group are beside it."""

    group: str


class RanksAnswer(NamedTuple):
    """Ranks of a group beside a sidecar."""

    ranks: list[int]


class MapOrder(NamedTuple):
    """Order to one rank about its expert map.

    Attributes
    ----------
    verb : str
        A coordinator gives ``query``, ``stage``, ``arm``, ``go`` and ``drop``; anyone
        who settles an arm gives ``void``, ``settle`` and ``lift``.
    fence : int
        Fencing number of the coordinator's lease.
    incarnation : str
        Incarnation of the gate that the order is for, where it matters.
    epoch : int
        Epoch of the map that the order is about.
    step : int
        First step of the new map.
    placement : bytes
        The map, for ``stage``.
    """

    group: str
    rank: int
    verb: str
    fence: int = 0
    incarnation: str = ""
    epoch: int = 0
    step: int = 0
    placement: bytes = b""


class MapReply(NamedTuple):
    """A rank's answer to an order, with its state after it.

    Attributes
    ----------
    done : bool
        Whether the order is in effect; if not, ``reason`` says why.
    epoch : int
        Epoch of the map in use.
    loaded : list of int
        Epochs whose maps are loaded.
    hold_step : int
        Step that the rank will not begin; 0 for none.
    next_step : int
        First step that the rank has not begun.
    switch_epoch, switch_step : int
        Last switch that was ordered, done or to come.
    """

    rank: int
    done: bool
    reason: str
    fence: int
    incarnation: str
    epoch: int
    loaded: list[int]
    hold_step: int
    next_step: int
    switch_epoch: int
    switch_step: int

"""Typed messages of the internal protocol.

A sidecar answers each attempt of an entry with one streamed response, which consists of
frames. Control messages are sent over links: a question expects an answer, a
notification does not. Messages are encoded as arrays, so the order of the fields is
part of the protocol.
"""

from enum import StrEnum
from typing import NamedTuple


class NotRunReason(StrEnum):
    """Reason why an attempt ended before it was sent to the endpoint.

    The sidecar responds ``SUSPECT_BUSY`` to a suspect request while it holds another
    one, ``BUSY`` to a request that is to fail fast if no slot is free, and
    ``OVER_SHARE`` if its full queue evicts a request before the deadline. The entry
    itself sets ``SIDECAR_DOWN`` if it cannot connect to the sidecar.
    """

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
    """Reason why an attempt that may have run has no complete response."""

    ENDPOINT_CRASHED = "endpoint_crashed"
    ENDPOINT_SILENT = "endpoint_silent"
    CONNECTION_LOST = "connection_lost"
    CANCELLED = "cancelled"
    BUFFER_LIMIT = "buffer_limit"
    DEADLINE = "deadline"
    ANSWER_GONE = "answer_gone"


class AttemptState(StrEnum):
    """State of an attempt in a sidecar."""

    NEVER_SEEN = "never_seen"
    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    NOT_RUN = "not_run"
    BROKEN = "broken"


class AttemptRequest(NamedTuple):
    """Request to run one attempt on one incarnation of one endpoint.

    Attributes
    ----------
    deadline_s : float
        Seconds from the sending of this request until the caller's deadline.
    cost : float
        Estimated cost of the request, in tokens.
    digest : str
        Digest of member, team, method, path and body. It identifies equal requests for
        crash suspicion.
    suspect : bool
        True if an equal request was in flight on an endpoint when it crashed.
    keyed : bool
        True if the request has an idempotency key, so that other entries may query
        the outcome of this attempt or replay its response.
    fail_fast : bool
        True if the sidecar must refuse the attempt instead of queueing it.
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
    """First frame of each stream of an attempt that the sidecar knows, in any state."""

    attempt_id: str


class NotRun(NamedTuple):
    """Last frame of an attempt that has not run and will never run.

    ``load`` here and in other frames is the sidecar's load, as in `Heartbeat`. Some
    refusals leave it at 0.
    """

    attempt_id: str
    reason: str
    retry_after_s: float = 0.0
    load: float = 0.0


#: Header of a `Head` whose body ends with the endpoint's connection, so that nothing
#: proves its end. It is a header so that older versions can decode the frame.
UNPROVED_END_HEADER = "Slatehoist-End"
UNPROVED_END = "connection"


class Head(NamedTuple):
    """HTTP status and headers of the endpoint's response."""

    status: int
    headers: dict[str, str]

    @property
    def proves_end(self) -> bool:
        """Return True if a body that ended is known to be whole."""
        return self.headers.get(UNPROVED_END_HEADER) != UNPROVED_END

    @property
    def is_success(self) -> bool:
        """Return True if the status is that of a request that ran to its end."""
        return 200 <= self.status < 300


class Data(NamedTuple):
    """Chunk of the response's body with its sequence number, which starts at 0."""

    seq: int
    data: bytes


class KeepAlive(NamedTuple):
    """Keep-alive on an idle stream, with the sidecar's load."""

    load: float = 0.0


class Final(NamedTuple):
    """Last frame of a complete response: count of data frames, digest, tokens, load.

    ``digest`` covers the attempt id and the body of the response.
    """

    attempt_id: str
    count: int
    digest: str
    tokens: int = 0
    load: float = 0.0


class Broken(NamedTuple):
    """Last frame of an attempt that may have run and has no complete response.

    ``crash_id`` identifies the crash, so that several reports of one crash are counted
    once. ``digests`` holds the digests of all requests that were in flight on the
    crashed endpoint. Both are empty unless ``reason`` is ``endpoint_crashed``.
    """

    attempt_id: str
    reason: str
    crash_id: str = ""
    digests: list[str] = []


Frame = Accepted | NotRun | Head | Data | KeepAlive | Final | Broken


class Hello(NamedTuple):
    """First notification on a link; identifies the sender."""

    instance: str
    role: str
    incarnation: str


class Heartbeat(NamedTuple):
    """Heartbeat of a process, with the status that every peer needs.

    Attributes
    ----------
    draining : bool
        True if the process takes no new work, for example while it starts or drains.
    load : float
        Number of queued and running requests.
    step_s : float
        Recent step time of the engine, in seconds.
    revision : int
        Configuration revision in force in the sending process.
    concurrency : int
        Current limit on the number of running requests at a sidecar.
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
    """Question to a peer: which resources changed after a revision."""

    since: int


class ConfigAnswer(NamedTuple):
    """Resources that changed after a revision, as JSON documents.

    ``revision`` is the revision in force at the sender. The documents are the first
    changes that follow the revision asked about (`ConfigQuestion.since`), and may end
    before ``revision``. The message is also sent as a notification, after a change was
    accepted or to a peer that is behind; its documents then follow the revision in the
    peer's last heartbeat.
    """

    revision: int
    documents: list[bytes]


class CrashReport(NamedTuple):
    """Digests of the requests that were in flight on an endpoint when it crashed."""

    crash_id: str
    digests: list[str]


class SuspectCleared(NamedTuple):
    """Notification that a suspect request completed without a crash."""

    digest: str


class QuotaQuestion(NamedTuple):
    """Question to a team's home entry: a share of the team's request rate."""

    team: str
    entry: str
    wanted_per_s: float


class QuotaAnswer(NamedTuple):
    """Share of a team's request rate, granted for a short time."""

    rate_per_s: float
    lifetime_s: float


class RanksQuestion(NamedTuple):
    """Question to a sidecar: which ranks of a group run on its instance."""

    group: str


class RanksAnswer(NamedTuple):
    """Ranks of a group that run on the sidecar's instance."""

    ranks: list[int]


class MapOrder(NamedTuple):
    """Order to one rank in the two-phase switch of expert maps.

    `slatehoist.coord.gates` explains the gate of a rank and the settlement of an arm.

    Attributes
    ----------
    verb : str
        The coordinator sends ``query``, ``stage``, ``arm``, ``go`` and ``drop``; the
        process that settles an arm sends ``void``, ``settle`` and ``lift``.
    fence : int
        Fencing number of the coordinator's lease; 0 for ``void``, ``settle``, ``lift``.
    incarnation : str
        Incarnation of the gate that the order is for; checked for ``stage``, ``arm``,
        ``go`` and ``drop``.
    epoch : int
        Epoch of the map that the order refers to.
    step : int
        First step that runs with the new map.
    placement : bytes
        The encoded map; only for ``stage``.
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
    """Reply of a rank to an order, with the rank's state after the order.

    Attributes
    ----------
    done : bool
        True if the order is in effect; if not, ``reason`` says why.
    fence : int
        Highest fencing number that the gate has seen.
    incarnation : str
        Incarnation of the gate.
    epoch : int
        Epoch of the map in use.
    loaded : list of int
        Epochs whose maps are loaded.
    hold_step : int
        Step before which the rank waits; 0 for none.
    next_step : int
        First step that the rank has not yet begun.
    switch_epoch, switch_step : int
        Most recently ordered switch, whether completed or pending.
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

"""States of a group's ranks, exchanged between agents as datagrams.

Each datagram contains a complete state, which replaces the one before, so the loss of a
datagram only delays an update. The counts of choices are an exception: a state has only
those since the last state that had counts.

Datagrams are used rather than messages over `pynng`, whose connections may stop
delivering unnoticed and would need their own supervision.
"""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from slatehoist.maps.placement import Placement
from slatehoist.maps.rank import Armed, RankReport
from slatehoist.maps.status import RankStatus, Subscription

log = logging.getLogger(__name__)

#: Seconds after which a state or heartbeat expires: a little more than two heartbeat
#: intervals, since one datagram may be lost; see
#: `slatehoist.maps.agent.HEARTBEAT_INTERVAL_S`.
MAX_STATE_AGE_S = 0.55


class PeerState(msgspec.Struct, array_like=True, tag=0):
    """State of a rank, as its agent sends it; see `RankReport` for most fields.

    It is encoded as an array, so the order of the fields is part of the wire format.

    Attributes
    ----------
    address : str
        ``host:port`` at which the rank takes orders.
    experts : list
        Experts that the rank holds in the map in use, by set of layers. Empty in most
        states, if the receiver has had them with an earlier one of the same map.
    counts : list of int
        Choices of each expert since the last state that had counts; empty if the state
        has none. More than `slatehoist.maps.agent.MAX_DENSE_COUNTS` counts are sent as
        pairs of index and count, see `slatehoist.maps.demand.to_pairs`.
    """

    address: str
    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool
    step: int
    map_version: int
    prepared: int | None
    armed: tuple[int, int] | None
    held: int | None
    running: int
    waiting: int
    experts: list[list[int]]
    pace: float = 1.0
    counts: list[int] = []

    def to_report(self) -> RankReport:
        """Return the state as a report."""
        return RankReport(
            group=self.group,
            epoch=self.epoch,
            rank=self.rank,
            size=self.size,
            is_open=self.is_open,
            step=self.step,
            map_version=self.map_version,
            prepared=self.prepared,
            armed=None if self.armed is None else Armed(*self.armed),
            held=self.held,
            running=self.running,
            waiting=self.waiting,
            pace=self.pace,
        )


def make_state(address: str, report: RankReport, experts: list[list[int]]) -> PeerState:
    """Return a rank's state, built from its report."""
    armed = report.armed
    return PeerState(
        address=address,
        group=report.group,
        epoch=report.epoch,
        rank=report.rank,
        size=report.size,
        is_open=report.is_open,
        step=report.step,
        map_version=report.map_version,
        prepared=report.prepared,
        armed=None if armed is None else tuple(armed),
        held=report.held,
        running=report.running,
        waiting=report.waiting,
        experts=experts,
        pace=report.pace,
    )


def agent_address(rank_address: str, port: int) -> "Address":
    """Return the address of the agent on a rank's instance."""
    return rank_address.rpartition(":")[0], port


class GrantRequest(msgspec.Struct, array_like=True, tag=3):
    """Request to the holder's agent for permission to arm the coordinator's rank.

    The holder is the rank at which the group is held; see `slatehoist.maps.grants`.

    Attributes
    ----------
    rank : int
        Rank of the coordinator.
    version, step : int
        Version and pass of the switch.
    """

    group: str
    rank: int
    version: int
    step: int


class GrantResponse(msgspec.Struct, array_like=True, tag=4):
    """Response to a `GrantRequest`; `granted` is False if the request is refused."""

    version: int
    step: int
    granted: bool


class RankOrder(msgspec.Struct, array_like=True, tag=5):
    """Order of a coordinator to a rank, which the rank's agent passes on.

    See `slatehoist.maps.orders`. It is used for all orders but *prepare*.

    Attributes
    ----------
    order_id : int
        Number of the order at the coordinator, which the answer contains.
    rank : int
        Rank that is to carry it out; the agent of another rank ignores the order.
    args : list of int
        Arguments of the order after the epoch; see `RankClient`.
    """

    order_id: int
    group: str
    rank: int
    epoch: int
    order: str
    args: list[int]


class MapOrder(msgspec.Struct, array_like=True, tag=6):
    """Order to prepare a map, given as its changes to another one.

    Attributes
    ----------
    order_id : int
        Number of the order at the coordinator, which the answers contain.
    version, base_version : int
        Versions of the map, and of the one to which the changes apply.
    changes : list of int
        See `slatehoist.maps.known_maps.map_changes`.
    digest : int
        Digest of the map.
    reply_to : str
        Host of the coordinator's agent, which gets the answer.
    forward_to : list of str
        Hosts to which the receiver forwards the order.
    """

    order_id: int
    group: str
    epoch: int
    version: int
    base_version: int
    changes: list[int]
    digest: int
    reply_to: str
    forward_to: list[str] = []


class OrderAnswer(msgspec.Struct, array_like=True, tag=7):
    """Answer of an agent to an order.

    Attributes
    ----------
    answer : str
        Value of `slatehoist.maps.Answer`, or `UNKNOWN_MAP`.
    """

    order_id: int
    rank: int
    answer: str


#: Answer to a `MapOrder` whose changes do not apply to a map that the agent knows.
UNKNOWN_MAP = "unknown_map"

#: Messages that agents receive. The tag 2 belongs to `RankStatus`, which only gateways
#: receive.
Message = (
    PeerState
    | Subscription
    | GrantRequest
    | GrantResponse
    | RankOrder
    | MapOrder
    | OrderAnswer
)
Address = tuple[str, int]


class Group:
    """Newest states of the ranks of one group, and the heartbeats of their agents.

    Parameters
    ----------
    clock : callable
        Returns seconds. It is used only by `report`; the other methods get the time as
        an argument.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        #: State of each rank, and when it was recorded.
        self._states: dict[int, tuple[PeerState, float]] = {}
        self._heartbeat_at: dict[int, float] = {}
        #: Pass that each rank holds, and when the hold was first recorded.
        self._held_since: dict[int, tuple[int, float]] = {}
        #: Newest pass at which a rank was seen held or armed, in the newest epoch.
        self.last_switch_step = 0
        self.name = ""
        self.size = 0

    def record_heartbeat(self, state: PeerState, now: float) -> None:
        """Record a state that the rank's agent sent, which is also its heartbeat."""
        self.record_state(state, now)
        self._heartbeat_at[state.rank] = now

    def record_state(self, state: PeerState, now: float) -> None:
        """Record a state from any source; ignore one of an older epoch.

        A state that was requested from a rank directly is no heartbeat: it does not
        show that the rank's agent is alive.
        """
        if self.name not in ("", state.group):
            self._forget_all()
        known = self._states.get(state.rank)
        if known is not None and known[0].epoch > state.epoch:
            return
        if known is not None and not state.experts and _same_map(known[0], state):
            state = msgspec.structs.replace(state, experts=known[0].experts)
        self._states[state.rank] = (state, now)
        if known is not None and known[0].epoch < state.epoch:
            self.last_switch_step = 0
        steps = [state.held or 0, state.armed[1] if state.armed else 0]
        self.last_switch_step = max(self.last_switch_step, *steps)
        self.name = state.group
        self.size = state.size
        if state.held is None:
            self._held_since.pop(state.rank, None)
        else:
            since = self._held_since.get(state.rank)
            if since is None or since[0] != state.held:
                self._held_since[state.rank] = (state.held, now)

    def _forget_all(self) -> None:
        """Forget the states, since the own rank belongs to another group now."""
        self._states.clear()
        self._heartbeat_at.clear()
        self._held_since.clear()
        self.last_switch_step = 0

    def report(self, rank: int) -> RankReport | None:
        """Return the newest report of a rank, or None if it has expired."""
        state = self.state(rank, self._clock())
        return None if state is None else state.to_report()

    def state(self, rank: int, now: float) -> PeerState | None:
        """Return the newest state of a rank, or None if it has expired."""
        known = self._states.get(rank)
        if known is None or now - known[1] > MAX_STATE_AGE_S:
            return None
        return known[0]

    def placement(self, epoch: int, version: int) -> Placement | None:
        """Return the map that the ranks use, as their last states contain it.

        Return None unless the states of all ranks have that epoch and map version. The
        experts of a rank are sorted, so that all agents get the same result.
        """
        states = [known[0] for known in self._states.values()]
        if not states or len(states) != self.size:
            return None
        if any((s.epoch, s.map_version) != (epoch, version) for s in states):
            return None
        states.sort(key=lambda state: state.rank)
        sets = len(states[0].experts)
        if not sets or any(len(state.experts) != sets for state in states):
            return None
        return [[sorted(s.experts[index]) for s in states] for index in range(sets)]

    def address(self, rank: int) -> str | None:
        """Return the last known address at which a rank takes orders, or None."""
        known = self._states.get(rank)
        return None if known is None else known[0].address

    def fresh_states(self, now: float) -> list[PeerState]:
        """Return the states that have not expired, by rank."""
        states = (self.state(rank, now) for rank in range(self.size))
        return [state for state in states if state is not None]

    def is_alive(self, rank: int, now: float) -> bool:
        """Return True if the last heartbeat of a rank's agent has not expired."""
        return now - self._heartbeat_at.get(rank, float("-inf")) <= MAX_STATE_AGE_S

    def alive_ranks(self, now: float, below: int) -> list[int]:
        """Return the ranks below another one whose agents are alive, in order."""
        return [rank for rank in range(below) if self.is_alive(rank, now)]

    def leader(self, now: float) -> int | None:
        """Return the lowest rank whose agent is alive, or None."""
        alive = (rank for rank in range(self.size) if self.is_alive(rank, now))
        return next(alive, None)

    def addresses(self) -> list[str]:
        """Return the last known addresses at which the ranks take orders."""
        return [state.address for state, _ in self._states.values()]

    def held_for_s(self, rank: int, now: float) -> float:
        """Return the seconds for which a rank has held the same pass, 0 if none."""
        since = self._held_since.get(rank)
        return 0.0 if since is None else now - since[1]


def _same_map(a: PeerState, b: PeerState) -> bool:
    return (a.group, a.epoch, a.map_version) == (b.group, b.epoch, b.map_version)


class PeerSocket(asyncio.DatagramProtocol):
    """Datagram socket of an agent, for messages of other agents and of gateways."""

    def __init__(
        self,
        on_message: Callable[[Message, Address], None],
    ) -> None:
        self._on_message = on_message
        self._decoder = msgspec.msgpack.Decoder(Message)
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Decode a message and pass it on; log one that is malformed or fails."""
        try:
            self._on_message(self._decoder.decode(data), addr[:2])
        except msgspec.DecodeError as exc:
            log.warning("datagram_unreadable", extra={"from": addr[0], "why": str(exc)})
        except Exception:
            log.exception("datagram_failed", extra={"from": addr[0]})

    def error_received(self, exc: Exception) -> None:
        """Log an unreachable peer; its missing heartbeats show the failure anyway."""
        log.debug("datagram_refused", extra={"why": repr(exc)})

    def send(self, message: Message | RankStatus, addresses: list[Address]) -> None:
        """Send a message to the given peers or subscribers."""
        if self._transport is None or not addresses:
            return
        data = msgspec.msgpack.encode(message)
        for address in addresses:
            self._transport.sendto(data, address)

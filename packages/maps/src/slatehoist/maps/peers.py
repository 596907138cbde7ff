"""States of a group's ranks, told from agent to agent in datagrams.

A state is whole in each datagram and the next one replaces it, so a lost one costs
nothing but time and no connection can fall silent. That is why they are datagrams and
not messages over `pynng`, whose connections would need their own supervision.
"""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from slatehoist.maps.rank import Armed, RankReport
from slatehoist.maps.status import RankStatus, Subscription

log = logging.getLogger(__name__)

#: Seconds after which a state that was not renewed is no longer relied on: two
#: heartbeats, since single datagrams are lost.
FRESH_S = 0.55


class PeerState(msgspec.Struct, array_like=True, tag=0):
    """What an agent tells of its rank.

    Attributes
    ----------
    address : str
        ``host:port`` at which the rank takes orders.
    experts : list
        Experts of the rank by set, in the map in use.
    counts : list of int
        Choices of each expert since the last state that had counts; empty if none
        are told.
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

    def report(self) -> RankReport:
        """Give the state as a report."""
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
    """Make a rank's state of its report."""
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
    """Give where the agent beside a rank is reached."""
    return rank_address.rpartition(":")[0], port


class GrantRequest(msgspec.Struct, array_like=True, tag=3):
    """Whether a coordinator may arm its own rank, asked of the holding rank's agent."""

    group: str
    rank: int
    version: int
    step: int


class GrantResponse(msgspec.Struct, array_like=True, tag=4):
    """Answer to a `GrantRequest`."""

    version: int
    step: int
    granted: bool


Message = PeerState | Subscription | GrantRequest | GrantResponse
Address = tuple[str, int]


class Group:
    """Newest states of the ranks of one group.

    Parameters
    ----------
    clock : callable
        Gives seconds; only for how old the states are when they are asked for.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._states: dict[int, tuple[PeerState, float]] = {}
        self._heartbeat_at: dict[int, float] = {}
        self._held_since: dict[int, tuple[int, float]] = {}
        #: Last pass that a switch was seen to hold or arm, in the newest epoch.
        self.last_step = 0
        self.name = ""
        self.size = 0

    def record_heartbeat(self, state: PeerState, now: float) -> None:
        """Take in a state that the rank's agent told, which shows that it lives."""
        self._heartbeat_at[state.rank] = now
        self.observe(state, now)

    def observe(self, state: PeerState, now: float) -> None:
        """Take in a state, whoever it comes from; one of an older epoch is ignored."""
        known = self._states.get(state.rank)
        if known is not None and known[0].epoch > state.epoch:
            return
        self._states[state.rank] = (state, now)
        if known is not None and known[0].epoch < state.epoch:
            self.last_step = 0
        steps = [state.held or 0, state.armed[1] if state.armed else 0]
        self.last_step = max(self.last_step, *steps)
        self.name = state.group
        self.size = state.size
        if state.held is None:
            self._held_since.pop(state.rank, None)
        else:
            since = self._held_since.get(state.rank)
            if since is None or since[0] != state.held:
                self._held_since[state.rank] = (state.held, now)

    def report(self, rank: int) -> RankReport | None:
        """Give the newest report of a rank if it is fresh."""
        state = self.state(rank, self._clock())
        return None if state is None else state.report()

    def state(self, rank: int, now: float) -> PeerState | None:
        """Give the newest state of a rank if it is fresh."""
        known = self._states.get(rank)
        if known is None or now - known[1] > FRESH_S:
            return None
        return known[0]

    def last_states(self) -> list[PeerState]:
        """Give the last known states by rank, however old."""
        return [self._states[rank][0] for rank in sorted(self._states)]

    def address(self, rank: int) -> str | None:
        """Give where a rank takes orders, as it was last told."""
        known = self._states.get(rank)
        return None if known is None else known[0].address

    def fresh(self, now: float) -> list[PeerState]:
        """Give the fresh states by rank."""
        states = (self.state(rank, now) for rank in range(self.size))
        return [state for state in states if state is not None]

    def is_alive(self, rank: int, now: float) -> bool:
        """Whether the agent of a rank has been heard lately."""
        return now - self._heartbeat_at.get(rank, float("-inf")) <= FRESH_S

    def leader(self, now: float) -> int | None:
        """Give the lowest rank whose agent is heard."""
        heard = (rank for rank in range(self.size) if self.is_alive(rank, now))
        return next(heard, None)

    def held_for_s(self, rank: int, now: float) -> float:
        """Give the seconds for which a rank has held the same pass."""
        since = self._held_since.get(rank)
        return 0.0 if since is None else now - since[1]


class PeerSocket(asyncio.DatagramProtocol):
    """Socket on which agents talk to each other."""

    def __init__(
        self,
        on_message: Callable[[Message, Address], None],
    ) -> None:
        self._on_message = on_message
        self._decoder = msgspec.msgpack.Decoder(Message)
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Take in a state."""
        try:
            message = self._decoder.decode(data)
        except msgspec.DecodeError as exc:
            log.warning("datagram_unreadable", extra={"from": addr[0], "why": str(exc)})
            return
        self._on_message(message, addr[:2])

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer is not there; its silence shows the same."""
        log.debug("datagram_refused", extra={"why": repr(exc)})

    def send(self, message: Message | RankStatus, addresses: list[Address]) -> None:
        """Send a message to some peers or subscribers."""
        if self._transport is None or not addresses:
            return
        data = msgspec.msgpack.encode(message)
        for address in addresses:
            self._transport.sendto(data, address)

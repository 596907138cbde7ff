"""Orders to the ranks of a group, through the agents on their instances.

An order to a rank travels as a datagram to the rank's agent, which passes it on to its
own rank and sends the answer back. This costs the coordinator's link some 100 bytes
instead of a connection, and a new map is sent as its changes, along a tree of agents.
An order without an answer is sent to the rank directly the next time, so no agent has
to be alive.

For the protocol of `switch` both ways are the same: an order that got no answer may
have been carried out already, or may still be carried out later.
"""

import asyncio
import collections
import itertools
import logging
import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec

from slatehoist.http import AnswerTimes
from slatehoist.maps.known_maps import (
    KnownMaps,
    UnknownMapError,
    apply_changes,
    map_changes,
    map_digest,
)
from slatehoist.maps.peers import (
    UNKNOWN_MAP,
    Address,
    Group,
    MapOrder,
    Message,
    OrderAnswer,
    PeerState,
    RankOrder,
    agent_address,
)
from slatehoist.maps.placement import Placement
from slatehoist.maps.rank import (
    Answer,
    RankClient,
    RankCounts,
    RankReport,
    RankUnreachableError,
)

log = logging.getLogger(__name__)

#: Seconds that an agent may take to answer an order, unless it has proved to be slower.
#: Its rank usually answers within milliseconds, and a held group waits for the answer.
AGENT_TIMEOUT_S = 0.06
#: The same for a map, beyond the time for its bytes: the agent applies the changes and
#: sends the whole map to its rank.
MAP_TIMEOUT_S = 0.25
#: Longest time in seconds that an agent may take.
MAX_AGENT_TIMEOUT_S = 4.0
#: Orders that were given up, whose late answers still show how long an agent takes.
MAX_LATE_ORDERS = 512
#: Times that an agent sends an order to its rank while that does not answer. The
#: coordinator would find out only after its own time-out, which delays the switch.
LOCAL_ATTEMPTS = 3
#: Largest number of agents to which a map is sent without a tree.
MAX_DIRECT_AGENTS = 16
#: Largest datagram in bytes; larger maps are sent to the ranks directly.
MAX_ORDER_BYTES = 32 * 1024
#: Bytes to each agent that may be queued on this instance's link before an order.
QUEUED_BYTES = 300
#: Bytes of a host in a message.
HOST_BYTES = 18
#: Orders that an agent passes on to its rank, by the name of the client's method.
_ORDERS = frozenset({"arm", "disarm", "hold", "release"})


class OrderRelay:
    """Pass the orders of coordinators on to the rank on this instance.

    Parameters
    ----------
    own_client : RankClient
        Client of the rank on this instance.
    own_state : callable
        Returns the newest state of that rank, or None while it is unreachable.
    send : callable
        Sends a message to agents.
    port : int
        Port at which all agents receive datagrams.
    """

    def __init__(
        self,
        own_client: RankClient,
        own_state: Callable[[], PeerState | None],
        known_maps: KnownMaps,
        send: Callable[[Message, Sequence[Address]], None],
        port: int,
    ) -> None:
        self._own_client = own_client
        self._own_state = own_state
        self._known_maps = known_maps
        self._send = send
        self._port = port
        self._tasks: set[asyncio.Task] = set()

    def handle_order(self, message: RankOrder | MapOrder, sender: Address) -> None:
        """Forward an order as it asks for, and carry it out in the background.

        An order of another group or for another rank is ignored: it was sent to an
        address that now belongs to another rank.
        """
        if isinstance(message, MapOrder) and message.forward_to:
            forwarded = msgspec.structs.replace(message, forward_to=[])
            self._send(forwarded, [(host, self._port) for host in message.forward_to])
        state = self._own_state()
        if state is None or state.group != message.group:
            return
        if isinstance(message, RankOrder):
            if state.rank != message.rank or message.order not in _ORDERS:
                return
            work = self._carry_out(message, sender)
        else:
            work = self._prepare(message, state)
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry_out(self, message: RankOrder, sender: Address) -> None:
        answer = await self._order(message.order, message.epoch, *message.args)
        self._send(OrderAnswer(message.order_id, message.rank, answer.value), [sender])

    async def _prepare(self, message: MapOrder, state: PeerState) -> None:
        reply_to = (message.reply_to, self._port)
        try:
            placement = self._read_map(message)
        except UnknownMapError as exc:
            log.info("map_unknown", extra={"version": message.version, "why": str(exc)})
            answer = UNKNOWN_MAP
        else:
            result = await self._order(
                "prepare", message.epoch, message.version, placement
            )
            answer = result.value
        self._send(OrderAnswer(message.order_id, state.rank, answer), [reply_to])

    async def _order(self, order: str, *args) -> Answer:
        """Send an order to the own rank, and repeat it if there is no answer.

        All orders are idempotent; see `slatehoist.maps.switch` for those that are
        carried out late.
        """
        answer = Answer.UNKNOWN
        for _ in range(LOCAL_ATTEMPTS):
            answer = await getattr(self._own_client, order)(*args)
            if answer is not Answer.UNKNOWN:
                break
        return answer

    def _read_map(self, message: MapOrder) -> Placement:
        """Return the map that an order describes, and record it as known."""
        base = self._known_maps.get(message.epoch, message.base_version)
        if base is None:
            raise UnknownMapError(f"base version {message.base_version} is not known")
        placement = apply_changes(base, message.changes)
        if map_digest(placement) != message.digest:
            raise UnknownMapError(f"digest differs from base {message.base_version}")
        self._known_maps.record(message.epoch, message.version, placement)
        return placement


class _SentOrder(NamedTuple):
    """Order whose answer an agent owes.

    Attributes
    ----------
    at : float
        Time at which it was sent.
    least_s, extra_s : float
        Time-out at a prompt agent, and seconds that its bytes take.
    """

    at: float
    least_s: float
    extra_s: float


class GroupOrders:
    """Send the orders of this agent's coordinator to the ranks of the group.

    Parameters
    ----------
    own_host : str
        Host of this agent.
    link_bytes_per_s : float
        Bandwidth of this instance's link.
    """

    def __init__(
        self,
        group: Group,
        known_maps: KnownMaps,
        own_host: str,
        port: int,
        link_bytes_per_s: float,
        connect: Callable[[str], RankClient],
        send: Callable[[Message, Sequence[Address]], None],
        clock: Callable[[], float],
    ) -> None:
        self._group = group
        self._known_maps = known_maps
        self._own_host = own_host
        self._port = port
        self._link_bytes_per_s = link_bytes_per_s
        self._connect = connect
        self._send = send
        self._clock = clock
        self._ids = itertools.count(1)
        self._pending: dict[tuple[int, int], asyncio.Future] = {}
        #: Version that was last offered, and the pending answers of the agents by rank.
        self._offer: tuple[int, dict[int, asyncio.Future]] = (0, {})
        #: Number of the order that offers it, and the order.
        self._offer_sent: tuple[int, _SentOrder] = (0, _SentOrder(0.0, 0.0, 0.0))
        #: Usual time of each agent's answers, by rank and time-out at a prompt agent:
        #: maps take longer than other orders.
        self._times: dict[tuple[int, float], AnswerTimes] = {}
        #: Orders without an answer, the oldest first.
        self._late: collections.OrderedDict[tuple[int, int], _SentOrder] = (
            collections.OrderedDict()
        )
        #: Orders in a row that each rank has not answered, for those with any.
        self.unanswered: dict[int, int] = {}
        #: State of the own rank at the last offer.
        self._offered_by: PeerState | None = None

    def record_answer(self, rank: int, answer: Answer) -> None:
        """Count the orders in a row that a rank has not answered."""
        if answer is Answer.UNKNOWN:
            self.unanswered[rank] = self.unanswered.get(rank, 0) + 1
        else:
            self.unanswered.pop(rank, None)

    def handle_answer(self, message: OrderAnswer) -> None:
        """Complete the order that is answered, if it is still pending."""
        key = (message.order_id, message.rank)
        fut = self._pending.get(key)
        if fut is not None and not fut.done():
            fut.set_result(message.answer)
        elif key in self._late:
            self._record_time(message.rank, self._late.pop(key))

    def _agent_times(self, rank: int, least_s: float) -> AnswerTimes:
        key = (rank, least_s)
        if key not in self._times:
            peer = f"agent of rank {rank}"
            self._times[key] = AnswerTimes(peer, MAX_AGENT_TIMEOUT_S)
        return self._times[key]

    def _record_time(self, rank: int, sent: "_SentOrder") -> None:
        took_s = self._clock() - sent.at - sent.extra_s
        self._agent_times(rank, sent.least_s).record(max(0.0, took_s))

    def clients(self) -> list["RelayedRank"]:
        """Return a client of each rank of the group."""
        return [RelayedRank(self, rank) for rank in range(self._group.size)]

    def direct_client(self, rank: int) -> RankClient:
        """Return a client that reaches a rank without its agent.

        An agent that has just started knows the addresses of the ranks whose agents it
        has heard.
        """
        address = self._group.address(rank)
        return UnknownRank(rank) if address is None else self._connect(address)

    def _send_s(self, order: MapOrder) -> float:
        """Return the seconds that a map takes to reach all agents."""
        agents = self._group.size
        hops = 1 if agents <= MAX_DIRECT_AGENTS else 2
        fan_out = agents if hops == 1 else math.ceil(math.sqrt(agents))
        size = len(msgspec.msgpack.encode(order)) + fan_out * HOST_BYTES
        return hops * fan_out * size / self._link_bytes_per_s

    def _map_order(
        self, own: PeerState, base_version: int, placement: Placement, version: int
    ) -> MapOrder:
        base = self._known_maps.get(own.epoch, base_version)
        return MapOrder(
            order_id=next(self._ids),
            group=own.group,
            epoch=own.epoch,
            version=version,
            base_version=base_version,
            changes=map_changes(base, placement),
            digest=map_digest(placement),
            reply_to=self._own_host,
        )

    def offer(self, own: PeerState, placement: Placement, version: int) -> float:
        """Send a map to the agents of all other ranks, along a tree of agents.

        The next *prepare* of that version at a rank waits for its agent's answer.
        Return the seconds that the map takes to reach all agents.

        Parameters
        ----------
        placement : list
            Map to prepare, with sorted experts.
        """
        now = self._clock()
        self._known_maps.record(own.epoch, version, placement)
        self._offered_by = own
        order = self._map_order(own, own.map_version, placement, version)
        self._offer = (version, {})
        send_s = self._send_s(order)
        self._offer_sent = (order.order_id, _SentOrder(now, MAP_TIMEOUT_S, send_s))
        if len(msgspec.msgpack.encode(order)) > MAX_ORDER_BYTES:
            return send_s
        ranks = [
            rank
            for rank in range(self._group.size)
            if rank != own.rank and self._group.is_alive(rank, now)
        ]
        for rank in ranks:
            self._offer[1][rank] = self._expect(order.order_id, rank)
        # Another agent comes first each time, so that one that fails is not always
        # among those that forward.
        first = order.order_id % max(1, len(ranks))
        hosts = [self._agent(rank)[0] for rank in ranks[first:] + ranks[:first]]
        for host, forward_to in make_tree(hosts):
            message = msgspec.structs.replace(order, forward_to=forward_to)
            self._send(message, [(host, self._port)])
        return send_s

    def take_offer(self, rank: int, version: int) -> asyncio.Future | None:
        """Return the pending answer of a rank's agent to the offer of a version.

        Each answer is returned once; None if there is none.
        """
        offered, answers = self._offer
        return answers.pop(rank, None) if offered == version else None

    async def answer_to_offer(self, rank: int, fut: asyncio.Future) -> str:
        """Wait for the answer to an offer; `Answer.UNKNOWN` if it does not come."""
        order_id, sent = self._offer_sent
        return await self._wait(fut, (order_id, rank), sent)

    async def send_map(self, rank: int, version: int, placement: Placement) -> str:
        """Send a map to one agent, as changes to map 0, and return the answer.

        All agents know map 0, also those that were started after the map in use was
        prepared.
        """
        order = self._map_order(self._offered_by, 0, placement, version)
        fut = self._expect(order.order_id, rank)
        self._send(order, [self._agent(rank)])
        send_s = len(order.changes) * 2 / self._link_bytes_per_s
        sent = _SentOrder(self._clock(), MAP_TIMEOUT_S, send_s)
        return await self._wait(fut, (order.order_id, rank), sent)

    def is_relayed(self, rank: int) -> bool:
        """Return True if the agent of a rank is alive and on another instance."""
        if not self._group.is_alive(rank, self._clock()):
            return False
        return self._agent(rank)[0] != self._own_host

    async def send_order(
        self, rank: int, epoch: int, order: str, args: Sequence[int]
    ) -> str:
        """Send an order to the agent of a rank, and return the rank's answer."""
        order_id = next(self._ids)
        fut = self._expect(order_id, rank)
        message = RankOrder(order_id, self._group.name, rank, epoch, order, list(args))
        self._send(message, [self._agent(rank)])
        # Heartbeats to the whole group, or orders to all ranks, may be sent before it.
        queued_s = self._group.size * QUEUED_BYTES / self._link_bytes_per_s
        sent = _SentOrder(self._clock(), AGENT_TIMEOUT_S, queued_s)
        return await self._wait(fut, (order_id, rank), sent)

    def _agent(self, rank: int) -> Address:
        return agent_address(self._group.address(rank), self._port)

    def _expect(self, order_id: int, rank: int) -> asyncio.Future:
        fut = asyncio.get_running_loop().create_future()
        key = (order_id, rank)
        self._pending[key] = fut
        fut.add_done_callback(lambda _: self._pending.pop(key, None))
        return fut

    async def _wait(
        self, fut: asyncio.Future, key: tuple[int, int], sent: "_SentOrder"
    ) -> str:
        """Wait for an agent's answer; `Answer.UNKNOWN` if it does not come in time.

        Parameters
        ----------
        key : tuple of int
            Number of the order, and rank.
        """
        rank = key[1]
        timeout_s = self._agent_times(rank, sent.least_s).timeout_s(sent.least_s)
        await asyncio.wait([fut], timeout=timeout_s + sent.extra_s)
        if fut.done():
            self._record_time(rank, sent)
            return fut.result()
        fut.cancel()
        self._late[key] = sent
        if len(self._late) > MAX_LATE_ORDERS:
            self._late.popitem(last=False)
        return Answer.UNKNOWN


def make_tree(hosts: Sequence[str]) -> list[tuple[str, list[str]]]:
    """Return the hosts to send to, and those to which each of them forwards.

    There are about as many hosts to send to as each of them forwards to.
    """
    if len(hosts) <= MAX_DIRECT_AGENTS:
        return [(host, []) for host in hosts]
    relays = math.ceil(math.sqrt(len(hosts)))
    return [(hosts[i], list(hosts[i + relays :: relays])) for i in range(relays)]


class UnknownRank:
    """Client of a rank whose address is not known; see `RankClient`."""

    def __init__(self, rank: int) -> None:
        self._rank = rank

    async def report(self) -> RankReport:
        """Raise `RankUnreachableError`."""
        raise RankUnreachableError(f"the address of rank {self._rank} is not known")

    counts = experts = report

    async def prepare(self, *args) -> Answer:
        """Return `Answer.UNKNOWN`; the order is not sent."""
        return Answer.UNKNOWN

    arm = disarm = hold = release = prepare


class RelayedRank:
    """Client of one rank whose orders take the way through the rank's agent.

    Every second try of an order is sent to the rank directly; so are queries. The
    rank's address is looked up each time: it may become known after the first try.
    """

    def __init__(self, orders: GroupOrders, rank: int) -> None:
        self._orders = orders
        self._rank = rank
        self._failed = False

    @property
    def _direct(self) -> RankClient:
        return self._orders.direct_client(self._rank)

    async def report(self) -> RankReport:
        """Return the rank's state; see `RankClient`."""
        return await self._direct.report()

    async def counts(self) -> RankCounts:
        """Return the rank's counts; see `RankClient`."""
        return await self._direct.counts()

    async def experts(self) -> tuple[int, list[list[int]]]:
        """Return the rank's map version and experts; see `RankClient`."""
        return await self._direct.experts()

    async def prepare(self, epoch: int, version: int, placement: Placement) -> Answer:
        """Wait for the answer to the offered map, or send the map to the rank."""
        offered = self._orders.take_offer(self._rank, version)
        if offered is not None:
            answer = await self._orders.answer_to_offer(self._rank, offered)
            if answer == UNKNOWN_MAP:
                answer = await self._orders.send_map(self._rank, version, placement)
            if answer in set(Answer) and answer != Answer.UNKNOWN:
                return self._record(Answer(answer))
        return self._record(await self._direct.prepare(epoch, version, placement))

    async def arm(self, epoch: int, version: int, step: int) -> Answer:
        """Arm the rank; see `RankClient`."""
        return await self._order("arm", epoch, version, step)

    async def disarm(self, epoch: int, version: int) -> Answer:
        """Cancel an arm order; see `RankClient`."""
        return await self._order("disarm", epoch, version)

    async def hold(self, epoch: int, step: int) -> Answer:
        """Hold a pass; see `RankClient`."""
        return await self._order("hold", epoch, step)

    async def release(self, epoch: int, step: int) -> Answer:
        """Release a held pass; see `RankClient`."""
        return await self._order("release", epoch, step)

    async def _order(self, order: str, epoch: int, *args: int) -> Answer:
        if self._failed or not self._orders.is_relayed(self._rank):
            self._failed = False
            return self._record(await getattr(self._direct, order)(epoch, *args))
        answer = await self._orders.send_order(self._rank, epoch, order, args)
        self._failed = answer not in set(Answer) or answer == Answer.UNKNOWN
        return self._record(Answer.UNKNOWN if self._failed else Answer(answer))

    def _record(self, answer: Answer) -> Answer:
        self._orders.record_answer(self._rank, answer)
        return answer

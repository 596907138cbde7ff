"""Switch of a group to a new expert map, and the settling of unfinished ones.

The coordinator holds the group's lease. It stages the new map at every rank, writes
the decision, arms all ranks for one step, and tells them to go. An arm that nobody
settles in time is settled by whoever notices first, be it a new coordinator or a rank
that waits; that needs neither the lease nor the table.
"""

import asyncio
from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

from slatehoist.coord.leases import Lease
from slatehoist.storage import ABSENT, Check, ConflictError, Row, Table, Write
from slatehoist.wire import LinkDownError
from slatehoist.wire.messages import MapOrder, MapReply

MAPS = "maps"

#: Steps ahead of the furthest rank at which the first arm is set.
ARM_AHEAD_STEPS = 20
#: Factor by which the distance grows when an arm came too late.
ARM_AHEAD_GROWTH = 2
#: Arms tried before a switch is put off.
MAX_ARMS = 8
#: Seconds between questions to a rank that does not answer.
RETRY_S = 0.2


class SwitchFailedError(Exception):
    """Report that a switch was not finished; recover, then it may be tried again."""


class RankPeer(Protocol):
    """Way to give orders to one rank."""

    async def order(self, order: MapOrder) -> MapReply:
        """Give an order.

        Raises
        ------
        LinkDownError
            If no answer came; the order may yet be carried out.
        """


class SettlementOutcome(StrEnum):
    """How an arm was settled."""

    COMMITTED = "gone"
    ABORTED = "lifted"


class Settlement(NamedTuple):
    """Settled arm."""

    outcome: SettlementOutcome
    epoch: int
    step: int


def determine_settlement(replies: Sequence[MapReply], step: int) -> Settlement:
    """Judge a step from the replies of *all* ranks to ``void``.

    A rank that has gone shows it in its state; if none has, all have voided.
    """
    for reply in replies:
        if reply.reason == "gone" and reply.switch_step == step:
            return Settlement(SettlementOutcome.COMMITTED, reply.switch_epoch, step)
    return Settlement(SettlementOutcome.ABORTED, 0, step)


async def settle_arm(peers: Sequence[RankPeer], group: str, step: int) -> Settlement:
    """Settle an arm that has waited too long.

    Raises
    ------
    LinkDownError
        If a rank did not answer; the arm stands, and this may be tried again.
    """
    voids = [MapOrder(group, rank, "void", step=step) for rank in range(len(peers))]
    settlement = determine_settlement(await order_all(peers, voids), step)
    verb = "settle" if settlement.outcome == SettlementOutcome.COMMITTED else "lift"
    epoch = settlement.epoch
    orders = [
        MapOrder(group, rank, verb, epoch=epoch, step=step)
        for rank in range(len(peers))
    ]
    await order_all(peers, orders)
    return settlement


async def order_all(
    peers: Sequence[RankPeer], orders: Sequence[MapOrder]
) -> list[MapReply]:
    """Give each rank its order, all at the same time."""
    asks = [p.order(o) for p, o in zip(peers, orders, strict=True)]
    return list(await asyncio.gather(*asks))


class GroupSwitch:
    """Coordinator's side of the switch, for one tenure of the group's lease.

    Parameters
    ----------
    group : str
    peers : sequence of RankPeer
        All ranks of the group, by index.
    held : callable
        Gives the lease if it is still held, else None. It is asked before each
        order, since a process may have been paused at any line.
    """

    def __init__(
        self,
        table: Table,
        group: str,
        peers: Sequence[RankPeer],
        held: Callable[[], Lease | None],
        retry_s: float = RETRY_S,
    ) -> None:
        self._table = table
        self._group = group
        self._peers = peers
        self._held = held
        self._retry_s = retry_s
        self._incarnations = [""] * len(peers)

    async def recover(self) -> list[Settlement]:
        """Settle what an earlier coordinator, or an earlier try, left behind."""
        replies = await self._query()
        steps = sorted({reply.hold_step for reply in replies if reply.hold_step})
        settled = []
        for step in steps:
            self._lease()
            try:
                settled.append(await settle_arm(self._peers, self._group, step))
            except LinkDownError as exc:
                raise SwitchFailedError("a rank did not answer") from exc
        return settled

    async def switch(self, placement: bytes) -> int:
        """Switch the group to a new map.

        Parameters
        ----------
        placement : bytes
            The map, as the ranks understand it.

        Returns
        -------
        int
            First step of the new map.

        Raises
        ------
        SwitchFailedError
            If the lease was lost, a gate was replaced, or no arm could be set in
            time.
        PlatformError
            If the decision could not be written.
        """
        row = await self._table.get(MAPS, self._group)
        replies = await self._query()
        old = max(reply.epoch for reply in replies)
        loaded = [epoch for reply in replies for epoch in reply.loaded]
        epoch = max([old, _epoch(row), *loaded]) + 1
        await self._stage(epoch, placement)
        await self._decide(row, epoch, placement)
        step = await self._arm(epoch)
        await self._go(epoch, step)
        await self._wait_until_past(step)
        await self._drop_all_but(epoch)
        return step

    async def _stage(self, epoch: int, placement: bytes) -> None:
        """Have all ranks load the new map."""
        while True:
            replies = await self._tell_all("stage", epoch, placement=placement)
            if all(reply.done for reply in replies):
                return
            await asyncio.sleep(self._retry_s)

    async def _decide(self, row: Row | None, epoch: int, placement: bytes) -> None:
        """Write the decision; the row's fence keeps an older coordinator out."""
        lease = self._lease()
        if row is not None and row.value["fence"] > lease.fence:
            raise SwitchFailedError("a newer coordinator has decided")
        value = {
            "epoch": epoch,
            "fence": lease.fence,
            "placement": placement.decode("latin-1"),
        }
        check = Check(MAPS, self._group, row.version if row else ABSENT)
        try:
            await self._table.transact([check], [Write(MAPS, self._group, value)])
        except ConflictError as exc:
            raise SwitchFailedError("another coordinator has decided") from exc

    async def _arm(self, epoch: int) -> int:
        """Get all ranks' promise for one step; try later steps if too late."""
        ahead = ARM_AHEAD_STEPS
        replies = await self._query()
        for _ in range(MAX_ARMS):
            step = max(reply.next_step for reply in replies) + ahead
            replies = await self._tell_all("arm", epoch, step)
            if all(reply.done for reply in replies):
                return step
            ahead *= ARM_AHEAD_GROWTH
        await self.recover()
        raise SwitchFailedError("the ranks pass every step before they are armed")

    async def _go(self, epoch: int, step: int) -> None:
        replies = await self._tell_all("go", epoch, step)
        if all(reply.done for reply in replies):
            return
        if Settlement(SettlementOutcome.COMMITTED, epoch, step) in await self.recover():
            return
        if all(r.switch_step == step for r in await self._query()):
            return
        raise SwitchFailedError("the arm was lifted before go")

    async def _wait_until_past(self, step: int) -> None:
        while True:
            replies = await self._query()
            if all(reply.next_step > step for reply in replies):
                return
            await asyncio.sleep(self._retry_s)

    async def _drop_all_but(self, epoch: int) -> None:
        replies = await self._query()
        stale = {old for r in replies for old in r.loaded if old < epoch}
        for old in sorted(stale):
            await self._tell_all("drop", old)

    def _lease(self) -> Lease:
        lease = self._held()
        if lease is None:
            raise SwitchFailedError("the lease was lost")
        return lease

    async def _query(self) -> list[MapReply]:
        """Ask all ranks, and remember the gates that later orders are meant for."""
        replies = await self._tell_all("query")
        self._incarnations = [reply.incarnation for reply in replies]
        return replies

    async def _tell_all(
        self, verb: str, epoch: int = 0, step: int = 0, placement: bytes = b""
    ) -> list[MapReply]:
        """Give all ranks an order, again and again until each has answered."""
        replies: dict[int, MapReply] = {}
        while len(replies) < len(self._peers):
            missing = [i for i in range(len(self._peers)) if i not in replies]
            asks = [self._tell(i, verb, epoch, step, placement) for i in missing]
            answers = zip(missing, await asyncio.gather(*asks), strict=True)
            replies.update((i, reply) for i, reply in answers if reply is not None)
            if len(replies) < len(self._peers):
                await asyncio.sleep(self._retry_s)
        return [replies[index] for index in range(len(self._peers))]

    async def _tell(
        self, rank: int, verb: str, epoch: int, step: int, placement: bytes
    ) -> MapReply | None:
        """Give one rank an order; None if it did not answer."""
        fence = self._lease().fence
        pin = self._incarnations[rank]
        order = MapOrder(self._group, rank, verb, fence, pin, epoch, step, placement)
        try:
            reply = await self._peers[rank].order(order)
        except LinkDownError:
            return None
        if reply.reason == "fence":
            raise SwitchFailedError("a newer coordinator has taken over")
        if reply.reason == "incarnation" and verb != "go":
            raise SwitchFailedError("a gate was replaced")
        return reply


def _epoch(row: Row | None) -> int:
    return row.value["epoch"] if row else 0

"""Switch of a group to a new expert map, and settlement of interrupted switches.

A switch is a two-phase commit over the ranks of a group. The sidecar that holds the
group's lease is the coordinator and sends all orders of a switch, in this order:

1. ``query``: read the state of every rank and the incarnation of its gate.
2. ``stage``: every rank loads the new map beside the one in use.
3. Write the new epoch and its map to the table, conditionally on the row that was read.
4. ``arm`` (prepare): every rank promises not to begin one given step.
5. ``go`` (commit): every rank uses the new map from that step on.
6. ``drop``: once all ranks have passed the step, they unload the older maps.

An armed rank stops before its step until the arm is settled. If the coordinator fails
between ``arm`` and ``go``, the arm is settled by a new coordinator, or by the sidecar
of a rank that has been held for too long. The outcome depends on the state of the
ranks alone, so a settlement needs neither the lease nor the table, and several
processes may settle the same arm at the same time. `slatehoist.coord.gates` states the
invariant that makes this safe.
"""

import asyncio
from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

from slatehoist.coord.leases import Lease
from slatehoist.storage import ABSENT, Check, ConflictError, Row, Table, Write
from slatehoist.wire import LinkDownError
from slatehoist.wire.messages import MapOrder, MapReply

#: Table that holds, by group, the epoch and map that were decided last.
MAPS = "maps"

#: Distance in steps from the furthest rank to the armed step, in the first attempt.
ARM_AHEAD_STEPS = 20
#: Factor by which that distance grows with each further attempt.
ARM_AHEAD_GROWTH = 2
#: Attempts to arm all ranks before a switch fails.
MAX_ARM_ATTEMPTS = 8
#: Seconds before an order is repeated to a rank that did not answer, or before the
#: ranks are asked again whether they have loaded a map or passed a step.
RETRY_S = 0.2


class SwitchFailedError(Exception):
    """Raised for a failed switch; call `GroupSwitch.recover` before the next one."""


class RankPeer(Protocol):
    """Connection over which orders are sent to one rank."""

    async def order(self, order: MapOrder) -> MapReply:
        """Send an order and return the reply.

        Raises
        ------
        LinkDownError
            If no reply came. The rank may still carry out the order later.
        """


class SettlementOutcome(StrEnum):
    """Outcome of a settled arm: all ranks switched, or none did."""

    COMMITTED = "gone"
    ABORTED = "lifted"


class Settlement(NamedTuple):
    """Outcome, epoch and step of one settled arm.

    Attributes
    ----------
    epoch : int
        Epoch of the new map; 0 if the arm was aborted.
    step : int
        Armed step.
    """

    outcome: SettlementOutcome
    epoch: int
    step: int


def determine_settlement(replies: Sequence[MapReply], step: int) -> Settlement:
    """Determine how the arm at a step is settled from *all* ranks' ``void`` replies.

    A rank that has taken ``go`` or ``settle`` refuses ``void`` and reports the switch
    in its state. If no rank reports one, all ranks have voided the step.
    """
    for reply in replies:
        if reply.reason == "gone" and reply.switch_step == step:
            return Settlement(SettlementOutcome.COMMITTED, reply.switch_epoch, step)
    return Settlement(SettlementOutcome.ABORTED, 0, step)


async def settle_arm(peers: Sequence[RankPeer], group: str, step: int) -> Settlement:
    """Commit or abort an arm at all ranks and return the outcome.

    Sends ``void`` to all ranks first. Only when every rank has answered, sends
    ``settle`` to all ranks if one of them has taken ``go``, else ``lift``.

    Raises
    ------
    LinkDownError
        If a rank did not answer. The arm stays in place; the call may be repeated.
    """
    voids = [MapOrder(group, rank, "void", step=step) for rank in range(len(peers))]
    settlement = determine_settlement(await send_orders(peers, voids), step)
    verb = "settle" if settlement.outcome == SettlementOutcome.COMMITTED else "lift"
    epoch = settlement.epoch
    orders = [
        MapOrder(group, rank, verb, epoch=epoch, step=step)
        for rank in range(len(peers))
    ]
    await send_orders(peers, orders)
    return settlement


async def send_orders(
    peers: Sequence[RankPeer], orders: Sequence[MapOrder]
) -> list[MapReply]:
    """Send each rank its order, concurrently, and return the replies by rank."""
    calls = [p.order(o) for p, o in zip(peers, orders, strict=True)]
    return list(await asyncio.gather(*calls))


class GroupSwitch:
    """Switch a group to new maps, as the coordinator that holds the group's lease.

    Parameters
    ----------
    group : str
    peers : sequence of RankPeer
        All ranks of the group, by index.
    get_lease : callable
        Returns the lease if it is still valid, else None. Called before each order,
        because the process may be suspended past its lease between any two lines.
    """

    def __init__(
        self,
        table: Table,
        group: str,
        peers: Sequence[RankPeer],
        get_lease: Callable[[], Lease | None],
        retry_s: float = RETRY_S,
    ) -> None:
        self._table = table
        self._group = group
        self._peers = peers
        self._get_lease = get_lease
        self._retry_s = retry_s
        self._incarnations = [""] * len(peers)

    async def recover(self) -> list[Settlement]:
        """Settle the arms left by an earlier coordinator or a failed switch."""
        replies = await self._query_ranks()
        steps = sorted({reply.hold_step for reply in replies if reply.hold_step})
        settled = []
        for step in steps:
            self._require_lease()
            try:
                settled.append(await settle_arm(self._peers, self._group, step))
            except LinkDownError as exc:
                raise SwitchFailedError(
                    f"group {self._group!r}: a rank did not answer while the arm of"
                    f" step {step} was settled: {exc}"
                ) from exc
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
            If the lease was lost or taken over, another coordinator wrote a map, a
            gate was replaced, the ranks could not be armed in `MAX_ARM_ATTEMPTS`
            attempts, or the arm was aborted.
        PlatformError
            If the table could not be read or written.
        """
        row = await self._table.get(MAPS, self._group)
        replies = await self._query_ranks()
        current = max(reply.epoch for reply in replies)
        loaded = [epoch for reply in replies for epoch in reply.loaded]
        epoch = max([current, _decided_epoch(row), *loaded]) + 1
        await self._stage_map(epoch, placement)
        await self._write_decision(row, epoch, placement)
        step = await self._arm_ranks(epoch)
        await self._commit(epoch, step)
        await self._wait_until_past(step)
        await self._drop_older_maps(epoch)
        return step

    async def _stage_map(self, epoch: int, placement: bytes) -> None:
        """Repeat ``stage`` until all ranks have loaded the new map."""
        while True:
            replies = await self._order_all("stage", epoch, placement=placement)
            if all(reply.done for reply in replies):
                return
            await asyncio.sleep(self._retry_s)

    async def _write_decision(
        self, row: Row | None, epoch: int, placement: bytes
    ) -> None:
        """Write the new map to the table before any rank is armed for it.

        The fencing number in the row stops a coordinator whose lease was taken over,
        and the check on the row's version stops one that read an outdated row.
        """
        lease = self._require_lease()
        if row is not None and row.value["fence"] > lease.fence:
            raise SwitchFailedError(
                f"group {self._group!r}: the map in the table has fencing number"
                f" {row.value['fence']}; this coordinator has only {lease.fence}"
            )
        value = {
            "epoch": epoch,
            "fence": lease.fence,
            "placement": placement.decode("latin-1"),
        }
        check = Check(MAPS, self._group, row.version if row else ABSENT)
        try:
            await self._table.transact([check], [Write(MAPS, self._group, value)])
        except ConflictError as exc:
            raise SwitchFailedError(
                f"group {self._group!r}: another coordinator decided on a map while"
                f" epoch {epoch} was staged"
            ) from exc

    async def _arm_ranks(self, epoch: int) -> int:
        """Arm all ranks for one step and return it.

        If a rank refuses, for example because it has begun the step already, all ranks
        are armed for a later one, at a distance that grows with each attempt.
        """
        ahead = ARM_AHEAD_STEPS
        replies = await self._query_ranks()
        for _ in range(MAX_ARM_ATTEMPTS):
            step = max(reply.next_step for reply in replies) + ahead
            replies = await self._order_all("arm", epoch, step)
            if all(reply.done for reply in replies):
                return step
            ahead *= ARM_AHEAD_GROWTH
        await self.recover()
        raise SwitchFailedError(
            f"group {self._group!r}: epoch {epoch} could not be armed at all ranks in"
            f" {MAX_ARM_ATTEMPTS} attempts"
        )

    async def _commit(self, epoch: int, step: int) -> None:
        """Send ``go`` to all ranks; if one refuses, settle and check the outcome.

        A rank refuses if another process has settled the arm meanwhile, or if its
        gate was replaced. Either way the switch counts as committed if the settlement
        committed it, or if all ranks report the switch at this step.
        """
        replies = await self._order_all("go", epoch, step)
        if all(reply.done for reply in replies):
            return
        if Settlement(SettlementOutcome.COMMITTED, epoch, step) in await self.recover():
            return
        if all(r.switch_step == step for r in await self._query_ranks()):
            return
        raise SwitchFailedError(
            f"group {self._group!r}: the arm of epoch {epoch} at step {step} was"
            " aborted before go"
        )

    async def _wait_until_past(self, step: int) -> None:
        """Wait until every rank has begun the step, the first with the new map."""
        while True:
            replies = await self._query_ranks()
            if all(reply.next_step > step for reply in replies):
                return
            await asyncio.sleep(self._retry_s)

    async def _drop_older_maps(self, epoch: int) -> None:
        """Unload, at all ranks, the maps of all epochs before the given one."""
        replies = await self._query_ranks()
        stale = {old for r in replies for old in r.loaded if old < epoch}
        for old in sorted(stale):
            await self._order_all("drop", old)

    def _require_lease(self) -> Lease:
        """Return the lease, or raise SwitchFailedError if it is no longer valid."""
        lease = self._get_lease()
        if lease is None:
            raise SwitchFailedError(f"group {self._group!r}: the lease was lost")
        return lease

    async def _query_ranks(self) -> list[MapReply]:
        """Query all ranks and store the incarnations that later orders will name."""
        replies = await self._order_all("query")
        self._incarnations = [reply.incarnation for reply in replies]
        return replies

    async def _order_all(
        self, verb: str, epoch: int = 0, step: int = 0, placement: bytes = b""
    ) -> list[MapReply]:
        """Send an order to all ranks, and repeat it until each has answered."""
        replies: dict[int, MapReply] = {}
        while len(replies) < len(self._peers):
            missing = [i for i in range(len(self._peers)) if i not in replies]
            calls = [self._order(i, verb, epoch, step, placement) for i in missing]
            answers = zip(missing, await asyncio.gather(*calls), strict=True)
            replies.update((i, reply) for i, reply in answers if reply is not None)
            if len(replies) < len(self._peers):
                await asyncio.sleep(self._retry_s)
        return [replies[index] for index in range(len(self._peers))]

    async def _order(
        self, rank: int, verb: str, epoch: int, step: int, placement: bytes
    ) -> MapReply | None:
        """Send an order to one rank and return its reply, or None if none came.

        A ``go`` that a replaced gate refuses is returned, not raised: other ranks
        may have taken it, and `_commit` settles the arm.
        """
        fence = self._require_lease().fence
        incarnation = self._incarnations[rank]
        order = MapOrder(
            self._group, rank, verb, fence, incarnation, epoch, step, placement
        )
        try:
            reply = await self._peers[rank].order(order)
        except LinkDownError:
            return None
        if reply.reason == "fence":
            raise SwitchFailedError(
                f"rank {rank} of group {self._group!r} refused fencing number {fence}:"
                f" it has seen {reply.fence}"
            )
        if reply.reason == "incarnation" and verb != "go":
            raise SwitchFailedError(
                f"rank {rank} of group {self._group!r}: gate {incarnation!r} was"
                f" replaced by {reply.incarnation!r}"
            )
        return reply


def _decided_epoch(row: Row | None) -> int:
    return row.value["epoch"] if row else 0

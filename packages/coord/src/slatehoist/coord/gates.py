"""Gate of one rank: the rules by which it takes orders about its expert map.

An *arm* is a promise not to begin a step until the switch at that step is settled. It
is settled in one of two ways. Either some rank took *go*, and then all ranks switch at
that step. Or every rank has voided the step, which means that it will never take *go*
for it, and then the hold is lifted everywhere. Both can never be true of one step,
since a rank that has gone does not void and one that has voided does not go.

The rank's engine holds what must outlive the sidecar: the map in use, the hold and
the switch. The gate adds fencing, for engines that ignore it. Orders that could do
harm when late name the gate's incarnation, so that a new gate, which remembers no
promise, refuses those sent to an old one.
"""

import asyncio
from typing import NamedTuple, Protocol

from slatehoist.wire.messages import MapOrder, MapReply

#: Orders that only a coordinator with the newest fencing number may give.
FENCED_VERBS = frozenset({"query", "stage", "arm", "go", "drop"})
#: Orders that are refused by another incarnation than they were sent to.
PINNED_VERBS = FENCED_VERBS - {"query"}


class RankState(NamedTuple):
    """State of a rank, as its engine reports it; fields as in `MapReply`."""

    epoch: int
    next_step: int
    hold_step: int
    switch_epoch: int
    switch_step: int
    loaded: list[int]


class Rank(Protocol):
    """Orders that a rank's engine takes. All may be given twice."""

    async def state(self) -> RankState:
        """Report the state."""

    async def load(self, epoch: int, placement: bytes, fence: int) -> None:
        """Begin to load the map and weights of an epoch beside those in use."""

    async def hold(self, step: int, fence: int) -> bool:
        """Do not begin a step; False if it was begun already."""

    async def switch(self, epoch: int, step: int, fence: int) -> None:
        """Use an epoch's map from a step on, and lift the hold before it."""

    async def release(self, step: int, fence: int) -> None:
        """Lift the hold, if it is before this step."""

    async def drop(self, epoch: int, fence: int) -> None:
        """Unload an epoch's map."""


class RankUnreachableError(Exception):
    """Report that a rank's engine did not answer an order."""


class RankGate:
    """Take orders for one rank, by the rules of the switch.

    Parameters
    ----------
    index : int
        Index of the rank in its group.
    rank : Rank
    incarnation : str
        Identity of this gate.
    fence : int
        Lowest fencing number to obey.
    """

    def __init__(
        self, index: int, rank: Rank, incarnation: str, fence: int = 0
    ) -> None:
        self.index = index
        self.incarnation = incarnation
        self.fence = fence
        self.armed: tuple[int, int] | None = None
        self.going: tuple[int, int] | None = None
        self.voided: frozenset[int] = frozenset()
        self._rank = rank
        self._lock = asyncio.Lock()

    async def handle_order(self, order: MapOrder) -> MapReply:
        """Carry out an order, or refuse it, and tell the rank's state.

        Raises
        ------
        RankUnreachableError
            If the rank's engine did not answer.
        """
        async with self._lock:
            await self._finish_going()
            refusal = self._refusal_reason(order)
            if not refusal:
                refusal = await self._carry_out(order)
            return await self._reply(refusal)

    def _refusal_reason(self, order: MapOrder) -> str:
        if order.verb in FENCED_VERBS:
            if order.fence < self.fence:
                return "fence"
            self.fence = order.fence
        if order.verb in PINNED_VERBS and order.incarnation != self.incarnation:
            return "incarnation"
        return ""

    async def _carry_out(self, order: MapOrder) -> str:
        match order.verb:
            case "query":
                return ""
            case "stage":
                return await self._handle_stage(order)
            case "arm":
                return await self._handle_arm(order)
            case "go":
                return await self._handle_go(order)
            case "void":
                return await self._handle_void(order)
            case "settle":
                return await self._handle_settle(order)
            case "lift":
                return await self._handle_lift(order)
            case "drop":
                return await self._handle_drop(order)
        return "verb"

    async def _handle_stage(self, order: MapOrder) -> str:
        """Load a map beside the one in use; ask again until it is loaded."""
        state = await self._rank.state()
        if order.epoch not in state.loaded:
            await self._rank.load(order.epoch, order.placement, order.fence)
            state = await self._rank.state()
        return "" if order.epoch in state.loaded else "loading"

    async def _handle_arm(self, order: MapOrder) -> str:
        """Promise to wait before a step."""
        if order.step in self.voided:
            return "voided"
        if self.armed is not None and order.step < self.armed[1]:
            return "older"
        state = await self._rank.state()
        if order.epoch not in state.loaded:
            return "not_loaded"
        if state.switch_epoch >= order.epoch:
            return "switched"
        if not await self._rank.hold(order.step, order.fence):
            return "passed"
        self.armed = (order.epoch, order.step)
        return ""

    async def _handle_go(self, order: MapOrder) -> str:
        """Switch, if the promise for just this step still stands."""
        if await self._has_gone(order.step):
            return ""
        if order.step in self.voided:
            return "voided"
        if self.armed != (order.epoch, order.step):
            return "not_armed"
        self.going = self.armed
        await self._finish_going()
        return ""

    async def _handle_void(self, order: MapOrder) -> str:
        """Promise never to take go for a step, unless it has been taken."""
        if await self._has_gone(order.step):
            return "gone"
        self.voided |= {order.step}
        return ""

    async def _handle_settle(self, order: MapOrder) -> str:
        """Switch because another rank has taken go."""
        if await self._has_gone(order.step):
            return ""
        state = await self._rank.state()
        if state.next_step > order.step:
            return "passed"
        self.going = (order.epoch, order.step)
        await self._finish_going()
        return ""

    async def _handle_lift(self, order: MapOrder) -> str:
        """Lift the hold before a step that every rank has voided."""
        if await self._has_gone(order.step):
            return "gone"
        self.voided |= {order.step}
        await self._rank.release(order.step, self.fence)
        return ""

    async def _handle_drop(self, order: MapOrder) -> str:
        """Unload a map that is neither in use nor about to be."""
        state = await self._rank.state()
        if order.epoch in (state.epoch, state.switch_epoch):
            return "in_use"
        await self._rank.drop(order.epoch, order.fence)
        return ""

    async def _has_gone(self, step: int) -> bool:
        if self.going is not None and self.going[1] == step:
            return True
        state = await self._rank.state()
        return state.switch_step == step

    async def _finish_going(self) -> None:
        """Pass a switch on to the engine until the engine has it."""
        if self.going is None:
            return
        epoch, step = self.going
        await self._rank.switch(epoch, step, self.fence)
        self.going = None
        self.armed = None

    async def _reply(self, refusal: str) -> MapReply:
        state = await self._rank.state()
        return MapReply(
            rank=self.index,
            done=not refusal,
            reason=refusal,
            fence=self.fence,
            incarnation=self.incarnation,
            epoch=state.epoch,
            loaded=list(state.loaded),
            hold_step=state.hold_step,
            next_step=state.next_step,
            switch_epoch=state.switch_epoch,
            switch_step=state.switch_step,
        )

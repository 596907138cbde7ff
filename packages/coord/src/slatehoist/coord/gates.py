"""Gate of one rank: accepts or refuses orders about the rank's expert map.

An *arm* is a rank's promise not to begin a given step until the arm is settled; the
engine is held before that step. An arm is settled in one of two ways:

- At least one rank took ``go``. Then all ranks switch at that step (committed).
- Every rank voided the step, which is a promise never to take ``go`` for it. Then the
  hold is released at all ranks (aborted).

Invariant: both cannot hold for one step, because a rank that has taken ``go`` refuses
``void``, and a rank that has voided the step refuses ``go``. Hence no step runs with
two maps, whichever process settles the arm.

The rank's engine keeps what must survive a restart of the sidecar: the map in use, the
hold and the switch. The gate keeps the rest in memory, and checks fencing numbers for
engines that ignore them. A new gate has lost the promises of the old one, so an order
that could do harm when delivered late names the incarnation of the gate that it is
for, and any other gate refuses it.
"""

import asyncio
from typing import NamedTuple, Protocol

from slatehoist.wire.messages import MapOrder, MapReply

#: Orders that are refused if their fencing number is lower than the highest seen.
FENCED_VERBS = frozenset({"query", "stage", "arm", "go", "drop"})
#: Orders that a gate refuses unless they name its incarnation. A coordinator learns the
#: incarnation from the reply to ``query``.
INCARNATION_VERBS = FENCED_VERBS - {"query"}


class RankState(NamedTuple):
    """State of a rank as reported by its engine; fields as in `MapReply`."""

    epoch: int
    next_step: int
    hold_step: int
    switch_epoch: int
    switch_step: int
    loaded: list[int]


class Rank(Protocol):
    """Interface to a rank's engine. All orders are idempotent."""

    async def state(self) -> RankState:
        """Return the engine's state."""

    async def load(self, epoch: int, placement: bytes, fence: int) -> None:
        """Begin to load the map and weights of an epoch beside those in use."""

    async def hold(self, step: int, fence: int) -> bool:
        """Stop before a step; return False if the step has begun already."""

    async def switch(self, epoch: int, step: int, fence: int) -> None:
        """Use an epoch's map from a step on, and release the hold before that step."""

    async def release(self, step: int, fence: int) -> None:
        """Release the hold before this step; leave a hold before any other step."""

    async def drop(self, epoch: int, fence: int) -> None:
        """Unload an epoch's map."""


class RankUnreachableError(Exception):
    """Raised if a rank's engine did not answer an order."""


class RankGate:
    """Apply the rules of the switch to the orders for one rank.

    Orders are handled one at a time.

    Parameters
    ----------
    index : int
        Index of the rank in its group.
    rank : Rank
    incarnation : str
        Identity of this gate.
    fence : int
        Lowest fencing number to accept.

    Attributes
    ----------
    armed : tuple of (int, int), optional
        Epoch and step of the current arm.
    pending_switch : tuple of (int, int), optional
        Epoch and step of a switch that was accepted, but that the engine has not
        confirmed yet.
    voided_steps : frozenset of int
        Steps for which ``go`` is refused.
    """

    def __init__(
        self, index: int, rank: Rank, incarnation: str, fence: int = 0
    ) -> None:
        self.index = index
        self.incarnation = incarnation
        self.fence = fence
        self.armed: tuple[int, int] | None = None
        self.pending_switch: tuple[int, int] | None = None
        self.voided_steps: frozenset[int] = frozenset()
        self._rank = rank
        self._lock = asyncio.Lock()

    async def handle_order(self, order: MapOrder) -> MapReply:
        """Carry out or refuse an order and return the rank's state after it.

        Raises
        ------
        RankUnreachableError
            If the rank's engine did not answer.
        """
        async with self._lock:
            await self._apply_pending_switch()
            refusal = self._refusal_reason(order)
            if not refusal:
                refusal = await self._execute(order)
            return await self._reply(refusal)

    def _refusal_reason(self, order: MapOrder) -> str:
        """Check fencing number and incarnation; return a reason to refuse, or "".

        A higher fencing number is stored, so that orders of earlier holders of the
        lease are refused from then on.
        """
        if order.verb in FENCED_VERBS:
            if order.fence < self.fence:
                return "fence"
            self.fence = order.fence
        if order.verb in INCARNATION_VERBS and order.incarnation != self.incarnation:
            return "incarnation"
        return ""

    async def _execute(self, order: MapOrder) -> str:
        """Carry out an order and return "", or return the reason to refuse it."""
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
        """Start to load a map beside the one in use, unless it is loaded.

        Loading continues in the background: the coordinator repeats the order until it
        is no longer refused with ``loading``.
        """
        state = await self._rank.state()
        if order.epoch not in state.loaded:
            await self._rank.load(order.epoch, order.placement, order.fence)
            state = await self._rank.state()
        return "" if order.epoch in state.loaded else "loading"

    async def _handle_arm(self, order: MapOrder) -> str:
        """Hold the rank before a step, to be switched or released there.

        An arm for an earlier step than the current one is refused: it was delayed, and
        it would replace the promise for the later step.
        """
        if order.step in self.voided_steps:
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
        """Switch if the rank is armed for exactly this epoch and step."""
        if await self._has_committed(order.step):
            return ""
        if order.step in self.voided_steps:
            return "voided"
        if self.armed != (order.epoch, order.step):
            return "not_armed"
        self.pending_switch = self.armed
        await self._apply_pending_switch()
        return ""

    async def _handle_void(self, order: MapOrder) -> str:
        """Promise to refuse ``go`` for a step, unless ``go`` has been taken."""
        if await self._has_committed(order.step):
            return "gone"
        self.voided_steps |= {order.step}
        return ""

    async def _handle_settle(self, order: MapOrder) -> str:
        """Switch because another rank has taken ``go`` for this step.

        The switch is made even if this rank has voided the step: a void forbids only
        ``go``, not ``settle``.
        """
        if await self._has_committed(order.step):
            return ""
        state = await self._rank.state()
        if state.next_step > order.step:
            return "passed"
        self.pending_switch = (order.epoch, order.step)
        await self._apply_pending_switch()
        return ""

    async def _handle_lift(self, order: MapOrder) -> str:
        """Release the hold before a step that every rank has voided."""
        if await self._has_committed(order.step):
            return "gone"
        self.voided_steps |= {order.step}
        await self._rank.release(order.step, self.fence)
        return ""

    async def _handle_drop(self, order: MapOrder) -> str:
        """Unload a map, unless it is in use or will be after the next switch."""
        state = await self._rank.state()
        if order.epoch in (state.epoch, state.switch_epoch):
            return "in_use"
        await self._rank.drop(order.epoch, order.fence)
        return ""

    async def _has_committed(self, step: int) -> bool:
        """Return True if this rank has taken ``go`` or ``settle`` for the step."""
        if self.pending_switch is not None and self.pending_switch[1] == step:
            return True
        state = await self._rank.state()
        return state.switch_step == step

    async def _apply_pending_switch(self) -> None:
        """Send an accepted switch to the engine.

        The switch stays pending until the engine confirms it. Until then, this is
        tried again before each order, and no order is handled if it fails.
        """
        if self.pending_switch is None:
            return
        epoch, step = self.pending_switch
        await self._rank.switch(epoch, step, self.fence)
        self.pending_switch = None
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

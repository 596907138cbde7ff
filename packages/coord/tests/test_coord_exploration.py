"""Model checking of the map switch with the real gates.

A state holds the ranks and their gates, the orders in flight, which may be lost,
delayed or duplicated, a coordinator that may crash between any two orders, a process
that settles the arm, and the number of gate restarts, at most one. Ranks run up to
`LAST_STEP`. A breadth-first search visits every reachable state once, and checks that
no step runs with two maps.
"""

import unittest
from collections import deque
from typing import NamedTuple

from builders import FakeRank
from slatehoist.coord import RankGate, SettlementOutcome, determine_settlement
from slatehoist.wire.messages import MapOrder

#: Step that is armed, and the last step that ranks run.
ARM_STEP = 2
LAST_STEP = 4


def run_coroutine(coro):
    """Return the result of a coroutine that never suspends."""
    try:
        coro.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine suspended")


class GateState(NamedTuple):
    """State of one rank and its gate, and the epochs of the steps the rank has run."""

    epoch: int
    next_step: int
    hold_step: int
    switch_epoch: int
    switch_step: int
    loaded: tuple[int, ...]
    fence: int
    incarnation: int
    armed: tuple[int, int] | None
    voided_steps: frozenset[int]
    used_epochs: tuple[int, ...]


class World(NamedTuple):
    """One state of the search.

    Attributes
    ----------
    in_flight : frozenset of tuple of (int, str)
        Rank and verb of the orders sent by the coordinator.
    phase : str
        Verb that the coordinator sends now, or ``dead``.
    acked : frozenset of int
        Ranks that have acknowledged the verb.
    settler : str
        ``idle``, or the verb that the settling process sends now.
    voids : frozenset of tuple of (int, bool)
        Rank, and whether it had taken ``go``, of each reply to ``void``.
    restarts : int
        Gates restarted so far.
    """

    ranks: tuple[GateState, ...]
    in_flight: frozenset[tuple[int, str]]
    phase: str
    acked: frozenset[int]
    settler: str
    voids: frozenset[tuple[int, bool]]
    restarts: int


def initial_world(count: int) -> World:
    """Return the initial state: the new map is loaded at all ranks."""
    rank = GateState(1, 1, 0, 1, 0, (1, 2), 1, 0, None, frozenset(), ())
    empty = frozenset()
    return World((rank,) * count, empty, "arm", empty, "idle", empty, 0)


def restore(state: GateState) -> tuple[FakeRank, RankGate]:
    """Build a rank and its real gate from a state."""
    rank = FakeRank()
    rank.epoch, rank.next_step = state.epoch, state.next_step
    rank.hold_step = state.hold_step
    rank.switch_epoch, rank.switch_step = state.switch_epoch, state.switch_step
    rank.loaded = list(state.loaded)
    gate = RankGate(0, rank, str(state.incarnation), state.fence)
    gate.armed, gate.voided_steps = state.armed, state.voided_steps
    return rank, gate


def capture(rank: FakeRank, gate: RankGate, state: GateState) -> GateState:
    """Return the state of a rank and its real gate."""
    return state._replace(
        epoch=rank.epoch,
        next_step=rank.next_step,
        hold_step=rank.hold_step,
        switch_epoch=rank.switch_epoch,
        switch_step=rank.switch_step,
        loaded=tuple(rank.loaded),
        fence=gate.fence,
        armed=gate.armed,
        voided_steps=gate.voided_steps,
    )


def make_order(verb: str, rank: int) -> MapOrder:
    """Build an order with the first fencing number, for the first incarnation."""
    return MapOrder("g", rank, verb, 1, "0", 2, ARM_STEP)


def deliver(world: World, index: int, verb: str):
    """Have a rank's real gate handle an order; return the new state and the reply."""
    rank, gate = restore(world.ranks[index])
    reply = run_coroutine(gate.handle_order(make_order(verb, index)))
    ranks = list(world.ranks)
    ranks[index] = capture(rank, gate, world.ranks[index])
    return world._replace(ranks=tuple(ranks)), reply


def successors(world: World, mutate: str = "") -> list[World]:
    """Return all states that can follow a state."""
    return [
        *rank_steps(world),
        *deliveries(world, mutate),
        *coordinator_moves(world),
        *settler_moves(world),
        *gate_restarts(world),
    ]


def rank_steps(world: World) -> list[World]:
    """Begin the next step at one of the ranks that are furthest behind."""
    found = []
    slowest = min(state.next_step for state in world.ranks)
    for index, state in enumerate(world.ranks):
        rank, gate = restore(state)
        if state.next_step > min(slowest, LAST_STEP) or not rank.may_begin_step():
            continue
        epoch = rank.begin_step()
        after = capture(rank, gate, state)._replace(
            used_epochs=(*state.used_epochs, epoch)
        )
        ranks = list(world.ranks)
        ranks[index] = after
        found.append(world._replace(ranks=tuple(ranks)))
    return found


def deliveries(world: World, mutate: str) -> list[World]:
    """Deliver each order in flight, and either keep it in flight or remove it.

    An order that stays in flight can be delivered again, as a duplicate.
    """
    found = []
    for index, verb in world.in_flight:
        after, reply = deliver(world, index, verb)
        if verb == "go" and mutate == "go_without_arm" and not reply.done:
            continue
        if verb == world.phase and reply.done:
            found.append(after._replace(acked=after.acked | {index}))
        found.append(after)
        found.append(after._replace(in_flight=after.in_flight - {(index, verb)}))
    return found


def coordinator_moves(world: World) -> list[World]:
    """Send ``arm``; once all ranks acknowledge it, send ``go``; crash at any point."""
    found = []
    all_ranks = frozenset(range(len(world.ranks)))
    if world.phase in ("arm", "go"):
        sent = frozenset((index, world.phase) for index in all_ranks)
        if not sent <= world.in_flight and world.acked != all_ranks:
            found += [
                world._replace(in_flight=world.in_flight | {message})
                for message in sorted(sent - world.in_flight)
            ]
        found.append(world._replace(phase="dead"))
    if world.phase == "arm" and world.acked == all_ranks:
        found.append(world._replace(phase="go", acked=frozenset()))
    return found


def settler_moves(world: World) -> list[World]:
    """Send ``void`` to all ranks, then ``settle`` or ``lift`` by their replies."""
    found = []
    waiting = any(state.hold_step == ARM_STEP for state in world.ranks)
    if world.settler == "idle" and waiting:
        found.append(world._replace(settler="void"))
    if world.settler == "void":
        answered = {index for index, _ in world.voids}
        for index in set(range(len(world.ranks))) - answered:
            after, reply = deliver(world, index, "void")
            voids = after.voids | {(index, reply.reason == "gone")}
            found.append(after._replace(voids=voids))
        if len(answered) == len(world.ranks):
            found.append(world._replace(settler=settlement_verb(world)))
    if world.settler in ("settle", "lift"):
        for index in range(len(world.ranks)):
            after, _ = deliver(world, index, world.settler)
            if after != world:
                found.append(after)
    return found


def settlement_verb(world: World) -> str:
    """Return the verb that `determine_settlement` implies for the ``void`` replies."""
    replies = []
    for index, gone in sorted(world.voids):
        rank, gate = restore(world.ranks[index])
        reply = run_coroutine(gate._reply("gone" if gone else ""))
        replies.append(reply)
    gone = (
        determine_settlement(replies, ARM_STEP).outcome == SettlementOutcome.COMMITTED
    )
    return "settle" if gone else "lift"


def gate_restarts(world: World) -> list[World]:
    """Restart one gate, which loses its promises and fencing number, at most once."""
    if world.restarts:
        return []
    found = []
    for index, state in enumerate(world.ranks):
        fresh = state._replace(
            incarnation=1, fence=0, armed=None, voided_steps=frozenset()
        )
        ranks = list(world.ranks)
        ranks[index] = fresh
        found.append(world._replace(ranks=tuple(ranks), restarts=1))
    return found


def violation(world: World) -> str:
    """Return a description if a step ran with two maps, else an empty string."""
    for used in zip(*(state.used_epochs for state in world.ranks), strict=False):
        if len(set(used)) > 1:
            return f"a step ran with maps {used}"
    return ""


def explore(count: int, mutate: str = "", max_states: int = 400_000) -> tuple[int, str]:
    """Visit the reachable states; return their number and the first violation.

    The search ends early once it has found ``max_states`` states.
    """
    first = initial_world(count)
    seen = {first}
    queue = deque([first])
    while queue and len(seen) < max_states:
        world = queue.popleft()
        problem = violation(world)
        if problem:
            return len(seen), problem
        for after in successors(world, mutate):
            if after not in seen:
                seen.add(after)
                queue.append(after)
    return len(seen), ""


def can_finish(count: int) -> bool:
    """Return True if ranks can run all steps from every state without a coordinator.

    Checks the first 20,000 states that the search finds.
    """
    first = initial_world(count)
    seen = {first}
    queue = deque([first])
    while queue:
        world = queue.popleft()
        if not runs_to_last_step(world._replace(phase="dead", in_flight=frozenset())):
            return False
        for after in successors(world):
            if after not in seen:
                seen.add(after)
                queue.append(after)
        if len(seen) > 20_000:
            return True
    return True


def runs_to_last_step(world: World) -> bool:
    """Run ranks and settle the arm, and return True if the last step is run."""
    for _ in range(200):
        if all(state.next_step > LAST_STEP for state in world.ranks):
            return True
        moves = [*rank_steps(world), *settler_moves(world)]
        if not moves:
            return False
        world = moves[0]
    return False


class ExplorationTests(unittest.TestCase):
    def test_two_ranks_never_run_a_step_with_two_maps(self):
        states, problem = explore(2)
        print(f"{states} states visited")
        self.assertEqual(problem, "")
        self.assertLess(
            states, 400_000, "the search stopped before it had visited all states"
        )

    def test_ranks_run_all_steps_from_every_state_without_a_coordinator(self):
        self.assertTrue(can_finish(2))

    def test_without_void_promises_a_step_runs_with_two_maps(self):
        """The search finds the fault if ``void`` and ``lift`` do not forbid ``go``."""
        original_void = RankGate._handle_void

        async def void_without_promise(self, order):
            return "gone" if await self._has_committed(order.step) else ""

        async def lift_without_promise(self, order):
            await self._rank.release(order.step, self.fence)
            return ""

        original_lift = RankGate._handle_lift
        RankGate._handle_void, RankGate._handle_lift = (
            void_without_promise,
            lift_without_promise,
        )
        try:
            _, problem = explore(2)
        finally:
            RankGate._handle_void, RankGate._handle_lift = original_void, original_lift
        self.assertIn("a step ran", problem)

    def test_without_fence_and_incarnation_checks_a_step_runs_with_two_maps(self):
        """The search finds the fault if a new gate takes orders for the old one."""
        original = RankGate._refusal_reason
        RankGate._refusal_reason = lambda self, order: ""
        try:
            _, problem = explore(2)
        finally:
            RankGate._refusal_reason = original
        self.assertIn("a step ran", problem)

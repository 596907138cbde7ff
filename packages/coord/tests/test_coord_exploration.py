"""Explore the interleavings of the map switch, driving the real gates.

The state holds two or three ranks with their gates, the messages under way, which may
be lost, late or doubled, a coordinator that may die between any two orders, and a
rank that settles an arm on its own. Every reachable state up to the bounds is
visited once.
"""

import unittest
from collections import deque
from typing import NamedTuple

from builders import FakeRank
from slatehoist.coord import RankGate, SettlementOutcome, determine_settlement
from slatehoist.wire.messages import MapOrder

#: Step at which the first arm is set, and steps that the ranks may run.
ARM_STEP = 2
LAST_STEP = 4


def drive(coro):
    """Run a coroutine that never really waits."""
    try:
        coro.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine waits")


class GateState(NamedTuple):
    """What of one rank and its gate can change."""

    epoch: int
    next_step: int
    hold_step: int
    switch_epoch: int
    switch_step: int
    loaded: tuple[int, ...]
    fence: int
    incarnation: int
    armed: tuple[int, int] | None
    voided: frozenset[int]
    used: tuple[int, ...]


class World(NamedTuple):
    """One state of the exploration.

    ``inbox`` holds the orders under way to each rank. ``phase`` and ``told`` say how
    far the coordinator, and ``settler`` and ``voids`` how far whoever settles.
    """

    ranks: tuple[GateState, ...]
    inbox: frozenset[tuple[int, str]]
    phase: str
    acked: frozenset[int]
    settler: str
    voids: frozenset[tuple[int, bool]]
    restarts: int


def start(count: int) -> World:
    """Build the first state: the new map is loaded everywhere."""
    rank = GateState(1, 1, 0, 1, 0, (1, 2), 1, 0, None, frozenset(), ())
    empty = frozenset()
    return World((rank,) * count, empty, "arm", empty, "idle", empty, 0)


def revive(state: GateState) -> tuple[FakeRank, RankGate]:
    """Make the real gate of a state."""
    rank = FakeRank()
    rank.epoch, rank.next_step = state.epoch, state.next_step
    rank.hold_step = state.hold_step
    rank.switch_epoch, rank.switch_step = state.switch_epoch, state.switch_step
    rank.loaded = list(state.loaded)
    gate = RankGate(0, rank, str(state.incarnation), state.fence)
    gate.armed, gate.voided_steps = state.armed, state.voided
    return rank, gate


def freeze(rank: FakeRank, gate: RankGate, state: GateState) -> GateState:
    """Take down the state of a real gate."""
    return state._replace(
        epoch=rank.epoch,
        next_step=rank.next_step,
        hold_step=rank.hold_step,
        switch_epoch=rank.switch_epoch,
        switch_step=rank.switch_step,
        loaded=tuple(rank.loaded),
        fence=gate.fence,
        armed=gate.armed,
        voided=gate.voided_steps,
    )


def order(verb: str, rank: int) -> MapOrder:
    """Build an order of the first coordinator, for the first incarnation."""
    return MapOrder("g", rank, verb, 1, "0", 2, ARM_STEP)


def give(world: World, index: int, verb: str):
    """Give an order to a rank's real gate."""
    rank, gate = revive(world.ranks[index])
    reply = drive(gate.handle_order(order(verb, index)))
    ranks = list(world.ranks)
    ranks[index] = freeze(rank, gate, world.ranks[index])
    return world._replace(ranks=tuple(ranks)), reply


def successors(world: World, mutate: str = "") -> list[World]:
    """List all states that can follow."""
    return [
        *steps_of_ranks(world),
        *deliveries(world, mutate),
        *moves_of_coordinator(world),
        *moves_of_settler(world),
        *restarts(world),
    ]


def steps_of_ranks(world: World) -> list[World]:
    """Let a rank begin its next step; none is more than one step ahead."""
    found = []
    slowest = min(state.next_step for state in world.ranks)
    for index, state in enumerate(world.ranks):
        rank, gate = revive(state)
        if state.next_step > min(slowest, LAST_STEP) or not rank.may_begin():
            continue
        epoch = rank.begin()
        after = freeze(rank, gate, state)._replace(used=(*state.used, epoch))
        ranks = list(world.ranks)
        ranks[index] = after
        found.append(world._replace(ranks=tuple(ranks)))
    return found


def deliveries(world: World, mutate: str) -> list[World]:
    """Deliver an order, which may come again later, or never."""
    found = []
    for index, verb in world.inbox:
        after, reply = give(world, index, verb)
        if verb == "go" and mutate == "go_without_arm" and not reply.done:
            continue
        if verb == world.phase and reply.done:
            found.append(after._replace(acked=after.acked | {index}))
        found.append(after)
        found.append(after._replace(inbox=after.inbox - {(index, verb)}))
    return found


def moves_of_coordinator(world: World) -> list[World]:
    """Send arms; once all are acknowledged, send go; or die at any point."""
    found = []
    everyone = frozenset(range(len(world.ranks)))
    if world.phase in ("arm", "go"):
        sent = frozenset((index, world.phase) for index in everyone)
        if not sent <= world.inbox and world.acked != everyone:
            found += [
                world._replace(inbox=world.inbox | {message})
                for message in sorted(sent - world.inbox)
            ]
        found.append(world._replace(phase="dead"))
    if world.phase == "arm" and world.acked == everyone:
        found.append(world._replace(phase="go", acked=frozenset()))
    return found


def moves_of_settler(world: World) -> list[World]:
    """Void at every rank, then settle or lift everywhere by what was heard."""
    found = []
    waiting = any(state.hold_step == ARM_STEP for state in world.ranks)
    if world.settler == "idle" and waiting:
        found.append(world._replace(settler="void"))
    if world.settler == "void":
        asked = {index for index, _ in world.voids}
        for index in set(range(len(world.ranks))) - asked:
            after, reply = give(world, index, "void")
            voids = after.voids | {(index, reply.reason == "gone")}
            found.append(after._replace(voids=voids))
        if len(asked) == len(world.ranks):
            found.append(world._replace(settler=verdict_of(world)))
    if world.settler in ("settle", "lift"):
        for index in range(len(world.ranks)):
            after, _ = give(world, index, world.settler)
            if after != world:
                found.append(after)
    return found


def verdict_of(world: World) -> str:
    """Judge the voids with the real function."""
    replies = []
    for index, gone in sorted(world.voids):
        rank, gate = revive(world.ranks[index])
        reply = drive(gate._reply("gone" if gone else ""))
        replies.append(reply)
    gone = (
        determine_settlement(replies, ARM_STEP).outcome == SettlementOutcome.COMMITTED
    )
    return "settle" if gone else "lift"


def restarts(world: World) -> list[World]:
    """Replace a gate, which forgets all promises, at most once."""
    if world.restarts:
        return []
    found = []
    for index, state in enumerate(world.ranks):
        fresh = state._replace(incarnation=1, fence=0, armed=None, voided=frozenset())
        ranks = list(world.ranks)
        ranks[index] = fresh
        found.append(world._replace(ranks=tuple(ranks), restarts=1))
    return found


def violation(world: World) -> str:
    """Tell whether some step ran with two maps."""
    for used in zip(*(state.used for state in world.ranks), strict=False):
        if len(set(used)) > 1:
            return f"a step ran with maps {used}"
    return ""


def explore(count: int, mutate: str = "", most: int = 400_000) -> tuple[int, str]:
    """Visit all reachable states; give their number and the first violation."""
    first = start(count)
    seen = {first}
    queue = deque([first])
    while queue and len(seen) < most:
        world = queue.popleft()
        found = violation(world)
        if found:
            return len(seen), found
        for after in successors(world, mutate):
            if after not in seen:
                seen.add(after)
                queue.append(after)
    return len(seen), ""


def can_finish(count: int) -> bool:
    """Tell whether the group can step on from every state without the coordinator."""
    first = start(count)
    seen = {first}
    queue = deque([first])
    while queue:
        world = queue.popleft()
        if not steps_to_end(world._replace(phase="dead", inbox=frozenset())):
            return False
        for after in successors(world):
            if after not in seen:
                seen.add(after)
                queue.append(after)
        if len(seen) > 20_000:
            return True
    return True


def steps_to_end(world: World) -> bool:
    """Step on and settle as whoever waits would, until the last step."""
    for _ in range(200):
        if all(state.next_step > LAST_STEP for state in world.ranks):
            return True
        moves = [*steps_of_ranks(world), *moves_of_settler(world)]
        if not moves:
            return False
        world = moves[0]
    return False


class ExplorationTests(unittest.TestCase):
    def test_two_ranks_never_run_a_step_with_two_maps(self):
        states, found = explore(2)
        print(f"{states} states visited")
        self.assertEqual(found, "")
        self.assertLess(states, 400_000, "the exploration was cut short")

    def test_a_group_steps_on_from_every_state_without_a_coordinator(self):
        self.assertTrue(can_finish(2))

    def test_without_the_void_promise_a_step_runs_with_two_maps(self):
        original = RankGate._handle_void

        async def no_promise(self, order):
            return "gone" if await self._has_committed(order.step) else ""

        async def lift(self, order):
            await self._rank.release(order.step, self.fence)
            return ""

        original_lift = RankGate._handle_lift
        RankGate._handle_void, RankGate._handle_lift = no_promise, lift
        try:
            _, found = explore(2)
        finally:
            RankGate._handle_void, RankGate._handle_lift = original, original_lift
        self.assertIn("a step ran", found)

    def test_without_pinned_incarnations_a_step_runs_with_two_maps(self):
        original = RankGate._refusal_reason
        RankGate._refusal_reason = lambda self, order: ""
        try:
            _, found = explore(2)
        finally:
            RankGate._refusal_reason = original
        self.assertIn("a step ran", found)

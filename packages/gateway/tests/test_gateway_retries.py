"""Tests of the users' rule on retries: what all gateways together send to a service.

A retry counts when it arrives at a server. A gateway decides earlier to send it, so
what delays a retry in between must not move too many into one window.
"""

import functools
import logging
import random
import unittest
from collections.abc import Callable

from retry_world import STALL_S, WINDOW_S, RetryWorld
from simulated_time import run_in_simulated_time

from slatehoist.gateway import Kind

#: Seconds from a failure until a second one finds the whole retry budget unused again.
NEXT_WAVE_S = WINDOW_S + 0.05
#: Seeds of the drawn worlds, and their gateways, requests per second and length.
SEEDS = range(1, 9)
GATEWAYS = 8
#: Slow requests that each gateway gets at once.
BURST = 30
PER_S = 90.0
LENGTH_S = 45.0


def setUpModule():
    logging.getLogger("slatehoist").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("slatehoist").setLevel(logging.NOTSET)


def draw_events(
    world: RetryWorld, rng: random.Random
) -> list[tuple[float, Callable[[], None]]]:
    """Draw disruptions of the group, of links, of the store and of gateways.

    The group breaks about once in a window, so that the whole budget can be used then.
    """
    group = world.group

    def sample(ratio: float) -> list:
        return rng.sample(world.gateways, round(len(world.gateways) * ratio))

    def begin_wave() -> None:
        group.break_down(rng.uniform(0.3, 1.4))
        group.has_statuses = rng.random() < 0.6

    def cut_links() -> None:
        world.cut_links(sample(rng.choice((0.5, 1.0))), rng.uniform(2.0, 6.0))

    def set_cut_off(ratio: float) -> None:
        cut = sample(ratio)
        for gateway in world.gateways:
            gateway.cut_off = gateway in cut

    def restart(ratio: float) -> None:
        for gateway in sample(ratio):
            world.restart(gateway)

    events, first = [], rng.uniform(3.0, 12.0)
    for number in range(4):
        at = first + number * NEXT_WAVE_S
        events.append((at, begin_wave))
        if rng.random() < 0.4:
            events.append((at + STALL_S - 0.1, cut_links))
    others = [
        lambda: vars(group).update(shed_ratio=rng.choice((0.0, 0.3, 0.6))),
        lambda: vars(world).update(connect_s=rng.choice((0.0, 0.0, 0.35))),
        lambda: set_cut_off(rng.choice((0.0, 0.5, 1.0))),
        lambda: restart(rng.choice((0.3, 1.0))),
        lambda: world.add(rng.randrange(3)),
    ]
    events += [(rng.uniform(2.0, LENGTH_S), rng.choice(others)) for _ in range(5)]
    return [*events, (LENGTH_S, lambda: None)]


class RetryTests(unittest.TestCase):
    def play(
        self, world_fields: dict, make_events: Callable[[RetryWorld], list]
    ) -> RetryWorld:
        """Run a world in simulated time."""

        async def run() -> RetryWorld:
            world = RetryWorld(**world_fields)
            await world.run(make_events(world))
            return world

        return run_in_simulated_time(run())

    def check(self, world: RetryWorld) -> None:
        self.assertIsNone(world.find_excess())
        # All requests have ended, so none may keep room in a budget.
        self.assertEqual(sum(g.count_reserved() for g in world.processes), 0)

    # Guards against two waves of retries in one window, of which the first waited for
    # the group to form.
    def test_retries_that_wait_for_the_group_stay_within_the_rule(self):
        def make_events(world: RetryWorld) -> list:
            group = world.group
            return [
                (12.0, lambda: group.break_down(1.3)),
                (21.2, lambda: vars(group).update(has_statuses=False)),
                (12.0 + NEXT_WAVE_S, lambda: group.break_down(1.3)),
                (27.0, lambda: None),
            ]

        world = self.play({}, make_events)
        self.check(world)
        self.assertGreater(world.most_repeats(), 200)

    # Guards against two waves of retries in one window, of which the first was under
    # way in links that were cut.
    def test_retries_that_are_under_way_for_long_stay_within_the_rule(self):
        def make_events(world: RetryWorld) -> list:
            group = world.group
            group.has_statuses = False
            cut_at = 12.0 + STALL_S - 0.1
            return [
                (12.0, lambda: group.break_down(0.5)),
                (cut_at, lambda: world.cut_links(world.gateways, 5.0)),
                (12.0 + NEXT_WAVE_S, lambda: group.break_down(0.5)),
                (27.0, lambda: None),
            ]

        world = self.play({}, make_events)
        self.check(world)
        self.assertGreater(world.most_repeats(), 200)

    # Guards against slow answers that all gateways give up in the same moment, more of
    # them than may be retried, so that the rest is lost (LOST).
    def test_slow_answers_are_given_up_only_for_a_retry(self):
        def make_events(world: RetryWorld) -> list:
            def send_all() -> None:
                for gateway in world.gateways:
                    for number in range(BURST):
                        gateway.send(f"{gateway.name}-{number}")

            return [(12.0, send_all), (24.0, lambda: None)]

        world = self.play({"per_s": 1.0, "kind": Kind.SAFE}, make_events)
        self.check(world)
        failed, answered = map(
            sum, zip(*(g.answers for g in world.processes), strict=True)
        )
        self.assertEqual(failed, 0)
        self.assertGreater(answered, BURST * len(world.processes))
        self.assertGreater(world.most_repeats(), len(world.processes))

    def test_rule_holds_under_drawn_disruptions(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fields = {"gateways": GATEWAYS, "per_s": PER_S, "seed": seed}
                rng = random.Random(seed)
                world = self.play(fields, functools.partial(draw_events, rng=rng))
                print(f"seed {seed}: most repeats {world.most_repeats()}")
                self.check(world)


if __name__ == "__main__":
    unittest.main()

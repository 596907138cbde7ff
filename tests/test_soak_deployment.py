"""Losses of a whole deployment whose processes return under disturbances."""

import asyncio
import random
import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tools"))

from soak.deployment import (  # noqa: E402
    NEVER,
    Loss,
    LossError,
    check_size,
    draw_loss,
    format_outcome,
    parse_loss,
    run_loss,
)

GROUP = 6
GATEWAYS = 2
#: Loss right after the group was held for a switch of maps.
HELD = Loss(trigger="hold")


class RecoveryTests(unittest.IsolatedAsyncioTestCase):
    async def check(self, **losses: Loss) -> None:
        """Play losses at the same time, each in a deployment of its own."""
        played = [
            run_loss(seed, loss, GROUP, GATEWAYS)
            for seed, loss in enumerate(losses.values())
        ]
        for name, outcome in zip(losses, await asyncio.gather(*played), strict=True):
            with self.subTest(name):
                print(format_outcome(0, outcome))
                self.assertEqual(outcome.broken, [])

    # Guards against a group that stays held since its ranks answer orders later than
    # agents wait for them (RECOVER).
    async def test_service_returns_although_ranks_answer_late(self):
        await self.check(
            after_30_ms=HELD._replace(answer_s=0.03),
            after_300_ms=HELD._replace(answer_s=0.3),
        )

    # Guards against a group that stays held since the agent of a rank that its
    # settlement needs does not return (RECOVER).
    async def test_service_returns_although_an_agent_does_not(self):
        absent = {"absent": (0,), "absent_s": NEVER}
        await self.check(
            after_hold=HELD._replace(**absent),
            after_arm=Loss(trigger="arm", orders=GROUP // 2, **absent),
        )

    # Guards against gateways that serve nothing since the store answers each call later
    # than they wait for it (RECOVER).
    async def test_service_returns_although_the_store_answers_late(self):
        await self.check(
            after_1_s=Loss(store_delay_s=1.0), after_2_s=Loss(store_delay_s=2.0)
        )


class LossTests(unittest.TestCase):
    def test_bad_input_is_refused_with_option_and_reason(self):
        for text, words in {
            "fault=x": "unknown field 'fault'",
            "share=1.5": "share=1.5",
            "trigger=never": "trigger='never'",
            "answer_s=soon": "answer_s='soon'",
            "servers=maybe": "servers='maybe'",
        }.items():
            with self.subTest(text), self.assertRaisesRegex(LossError, words):
                parse_loss(text, Loss())
        with self.assertRaisesRegex(LossError, "GROUP=300 GATEWAYS=6"):
            check_size(300, 6)

    def test_fields_replace_those_of_a_loss(self):
        loss = parse_loss("absent=0+3,absent_s=inf,servers=1", HELD)
        self.assertEqual(
            loss, HELD._replace(absent=(0, 3), absent_s=NEVER, servers=True)
        )

    def test_equal_seeds_draw_equal_losses(self):
        drawn = [
            [draw_loss(random.Random(seed), 8) for seed in range(50)] for _ in "ab"
        ]
        self.assertEqual(*drawn)
        self.assertGreater(len(set(drawn[0])), 20)


if __name__ == "__main__":
    unittest.main()

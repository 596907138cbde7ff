"""Tests of servers that ask a gateway for rest, in fleets of all sizes.

The users' rule: between half a second after a server has answered a gateway 503 with
``Retry-After`` and the end of that time, at most two requests reach it from there.
"""

import asyncio
import random
import unittest

from gateway_fleet import STEP_S, Fleet, SimulatedGateway

#: Seconds after a server's answer from which arrivals count, and how many may.
SLACK_S = 0.5
MAX_ARRIVALS = 2
#: Numbers of servers and gateways, from the smallest deployment to the largest.
SIZES = ((12, 2), (72, 14), (200, 100))
#: Real seconds after which an attempt at a simulated server ends; longer than any test.
_OBJECTIVE_S = 60.0


class RestTests(unittest.IsolatedAsyncioTestCase):
    async def play(
        self,
        servers: int,
        gateways: int,
        seed: int,
        seconds: float = 30.0,
        reply_delay_s: float = 0.4,
    ) -> Fleet:
        """Send requests for a while, of which servers turn some away for some time.

        Parameters
        ----------
        reply_delay_s : float
            Longest time for which a refusal is under way, so that refusals overtake
            each other.
        """
        fleet = await Fleet(servers, gateways, seed).start()
        rng = random.Random(seed)
        fleet.draw_rest_s = lambda: rng.choice((0.0, 0.0, 0.3, 1.0, 3.0, 8.0))
        fleet.draw_reply_delay_s = lambda: rng.random() * reply_delay_s
        tasks = []
        for _ in range(round(seconds / STEP_S)):
            for _ in range(max(2, gateways // 4)):
                gateway = rng.choice(fleet.gateways)
                send = gateway.send(b"sound", objective_s=_OBJECTIVE_S)
                tasks.append(asyncio.create_task(send))
            await fleet.advance(STEP_S)
        await fleet.advance(2.0)
        await asyncio.gather(*tasks)
        return fleet

    def worst_rest(self, fleet: Fleet) -> int:
        """Return the most requests that reached a server from a gateway in its rest."""
        worst = 0
        for rest in fleet.rests:
            arrivals = fleet.rest_arrivals[rest.server, rest.gateway]
            late = [at for at in arrivals if SLACK_S < at - rest.at < rest.for_s - 1e-9]
            worst = max(worst, len(late))
        return worst

    # Guards against requests to a server that asked for rest, in any order in which its
    # answers arrive.
    async def test_server_that_asked_for_rest_gets_at_most_two_requests(self):
        for servers, gateways in SIZES:
            with self.subTest(servers=servers, gateways=gateways):
                fleet = await self.play(servers, gateways, seed=1, seconds=15.0)
                self.assertGreater(len(fleet.rests), 20)
                self.assertLessEqual(self.worst_rest(fleet), MAX_ARRIVALS)

    async def test_rule_holds_for_drawn_fleets(self):
        for seed in range(10, 20):
            rng = random.Random(seed)
            servers, gateways = rng.choice((12, 24)), rng.choice((2, 5))
            with self.subTest(seed=seed, servers=servers, gateways=gateways):
                fleet = await self.play(servers, gateways, seed)
                self.assertLessEqual(self.worst_rest(fleet), MAX_ARRIVALS)

    # A hold must not outlast what the server asked for.
    async def test_server_gets_requests_again_after_its_rest(self):
        fleet = await Fleet(1, 1, 1).start()
        gateway: SimulatedGateway = fleet.gateways[0]
        fleet.draw_rest_s = lambda: 3.0
        await gateway.send(b"sound", objective_s=_OBJECTIVE_S)
        fleet.draw_rest_s = lambda: 0.0
        await fleet.advance(2.8)
        held = await gateway.send(b"sound", objective_s=_OBJECTIVE_S)
        self.assertEqual(held.tried, set())
        self.assertIsNotNone(held.hold)
        await fleet.advance(0.4)
        sent = await gateway.send(b"sound", objective_s=_OBJECTIVE_S)
        self.assertEqual(len(sent.tried), 1)


if __name__ == "__main__":
    unittest.main()

"""Tests of a group of 64 ranks whose instances have links of 3 Mbit/s.

The pattern: other experts are in demand every few seconds, and the link of the agent
that leads has to carry what the group exchanges.
"""

import asyncio
import logging
import random
import unittest
from types import SimpleNamespace
from unittest import mock

import uvloop
from group_world import GroupSize, GroupWorld
from hypothesis import given
from hypothesis import strategies as st

from slatehoist.maps.coordinator import passes_ahead
from slatehoist.maps.known_maps import (
    UnknownMapError,
    apply_changes,
    map_changes,
    map_digest,
)
from slatehoist.maps.orders import LOCAL_ATTEMPTS, OrderRelay, make_tree
from slatehoist.maps.peers import PeerSocket, RankOrder
from slatehoist.maps.placement import initial_placement
from slatehoist.maps.rank import Answer

LARGE = GroupSize(64, 12, 256, 5, link_mbps=3.0)
#: Seconds from the first order to prepare a map until the group uses it.
MAX_SWITCH_S = 0.6
#: Seconds between two changes of demand.
SHIFT_S = 3.0


def setUpModule():
    logging.getLogger("slatehoist").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("slatehoist").setLevel(logging.NOTSET)


class LargeGroupTests(unittest.TestCase):
    # Guards against maps that never take effect: sent in full to each rank by the
    # leader, they took 2.1 s of its link, longer than the time-out of the preparation.
    def test_group_of_64_ranks_follows_a_change_of_demand(self):
        world = GroupWorld(LARGE, SHIFT_S)
        world.run(SHIFT_S + 2.0)
        for version, used_at in world.used_from.items():
            took_s = used_at - world.engine.prepared_from[version]
            self.assertLess(took_s, MAX_SWITCH_S, version)
        after = [skew for at, skew in world.passes if at > SHIFT_S + 1.0]
        self.assertLess(max(after), 3.0)
        self.assertEqual(world.engine.violations, [])

    # Guards against switches that make the whole group wait: the leader handles 64
    # answers, which takes half of a pass, while the next pass is held.
    def test_switches_of_a_busy_leader_delay_few_passes(self):
        world = GroupWorld(LARGE._replace(handling_s=0.0005), SHIFT_S)
        world.run(3 * SHIFT_S)
        self.assertGreaterEqual(len(world.used_from), 3)
        self.assertLessEqual(world.held_passes, 2)
        self.assertEqual(world.engine.violations, [])

    def test_next_candidate_leads_after_the_leaders_instance_fails(self):
        world = GroupWorld(LARGE, SHIFT_S)
        world.events.append((1.5, lambda: world.stopped_hosts.add(world.host(0))))
        world.run(SHIFT_S + 2.0)
        leading = [agent._leads for agent in world.agents]
        self.assertEqual(leading.index(True, 1), 1)
        self.assertEqual(leading.count(True), 2)
        self.assertEqual(world.engine.violations, [])

    # Guards against messages that grow with the square of the group.
    def test_bytes_of_a_follower_do_not_grow_with_the_group(self):
        sent = []
        for ranks in (24, 64):
            size = GroupSize(ranks, 12, 256, 12, link_mbps=100.0)
            world = GroupWorld(size, 60.0)
            world.run(1.0)
            sent.append(world.links[world.host(20)].bytes_sent)
        self.assertLess(sent[1], 1.3 * sent[0])

    def test_settled_group_reads_the_list_of_peers_rarely(self):
        world = GroupWorld(GroupSize(24, 2, 96, 6, link_mbps=4.0), 60.0)
        world.run(20.0)
        # At 0, 1, 3, 7 and 15 s.
        self.assertLessEqual(world.list_reads, 5 * 24)


class PassesAheadTests(unittest.TestCase):
    def test_next_pass_is_held_if_arming_is_quick(self):
        self.assertEqual(passes_ahead(0.008, 0.08), 1)

    def test_later_pass_is_held_if_arming_takes_much_of_a_pass(self):
        self.assertEqual(passes_ahead(0.04, 0.08), 2)

    def test_unknown_times_have_defaults(self):
        self.assertEqual(passes_ahead(0.0, 0.0), 1)
        self.assertEqual(passes_ahead(0.04, 0.0), 2)


class OrderRelayTests(unittest.IsolatedAsyncioTestCase):
    """An agent passes orders on to its rank, which leaves some without an answer."""

    async def relay(self, answers):
        client = SimpleNamespace(arm=mock.AsyncMock(side_effect=answers))
        sent = []
        state = SimpleNamespace(group="g", rank=3)
        relay = OrderRelay(
            client, lambda: state, None, lambda message, to: sent.append(message), 7000
        )
        order = RankOrder(1, "g", 3, 1, "arm", [4096, 12])
        relay.handle_order(order, ("10.0.0.1", 7000))
        while not sent:
            await asyncio.sleep(0)
        return client.arm.await_count, sent[0].answer

    # Guards against switches of a second, in which the coordinator waits for each
    # order that a rank does not answer.
    async def test_order_without_an_answer_is_repeated(self):
        answers = [Answer.UNKNOWN, Answer.BEGUN]
        self.assertEqual(await self.relay(answers), (2, Answer.BEGUN.value))

    async def test_refused_order_is_not_repeated(self):
        self.assertEqual(await self.relay([Answer.REFUSED]), (1, Answer.REFUSED.value))

    async def test_coordinator_learns_that_a_rank_does_not_answer(self):
        answers = [Answer.UNKNOWN] * LOCAL_ATTEMPTS
        expected = (LOCAL_ATTEMPTS, Answer.UNKNOWN.value)
        self.assertEqual(await self.relay(answers), expected)


class ChangesTests(unittest.TestCase):
    @given(st.integers(0, 10**6))
    def test_changes_describe_the_new_map(self, seed):
        rng = random.Random(seed)
        old = initial_placement(2, 4, 16)
        new = [[sorted(rng.sample(range(16), 5)) for _ in range(4)] for _ in range(2)]
        self.assertEqual(apply_changes(old, map_changes(old, new)), new)
        self.assertEqual(map_changes(new, new), [])
        self.assertNotEqual(map_digest(old), map_digest(new))

    @given(st.lists(st.integers(-3, 300), max_size=30))
    def test_malformed_changes_raise_only_their_own_error(self, changes):
        try:
            apply_changes(initial_placement(2, 4, 16), changes)
        except UnknownMapError:
            pass

    def test_tree_reaches_each_agent_once(self):
        for count in (0, 1, 16, 17, 63, 500):
            with self.subTest(count=count):
                hosts = [str(number) for number in range(count)]
                tree = make_tree(hosts)
                reached = [host for host, _ in tree]
                reached += [host for _, children in tree for host in children]
                self.assertEqual(sorted(reached), sorted(hosts))
                fan_out = max((len(c) for _, c in tree), default=0)
                self.assertLessEqual(fan_out, max(16, len(tree)))


class PeerSocketTests(unittest.TestCase):
    # Guards against an agent that is deaf after one message that it cannot handle.
    def test_message_that_fails_does_not_close_the_socket(self):
        handled = []

        def handle(message, sender):
            handled.append(message.subscriber)
            raise ValueError("count is out of range")

        async def run():
            loop = asyncio.get_running_loop()
            transport, socket = await loop.create_datagram_endpoint(
                lambda: PeerSocket(handle), local_addr=("127.0.0.1", 0)
            )
            address = transport.get_extra_info("sockname")
            sender, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, remote_addr=address
            )
            for data in (b"\x92\x01\xa1a", b"\xff", b"\x92\x01\xa1b"):
                sender.sendto(data)
                await asyncio.sleep(0.05)
            self.assertFalse(transport.is_closing())
            sender.close()
            transport.close()

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run())
        self.assertEqual(handled, ["a", "b"])


if __name__ == "__main__":
    unittest.main()

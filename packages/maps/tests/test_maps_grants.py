"""Tests of what the agent of a held rank knows of the grants of its predecessor."""

import unittest

from map_builders import make_report

from slatehoist.maps import Armed, RankUnreachableError
from slatehoist.maps.grants import Grants
from slatehoist.maps.peers import GrantRequest

VERSION, STEP = 4096, 13
HELD = make_report(1, held=STEP, armed=Armed(VERSION, STEP))
ARMED = make_report(1, armed=Armed(VERSION, STEP))


class ScriptedRank:
    """Client of the own rank; `now` is its report, or None if it does not answer."""

    def __init__(self, now):
        self.now = now

    async def report(self):
        if self.now is None:
            raise RankUnreachableError("no answer")
        return self.now


class GrantsTests(unittest.IsolatedAsyncioTestCase):
    def start(self, first=None) -> Grants:
        """Start an agent's grants, with the first report of its rank if it has one."""
        self.rank = ScriptedRank(first)
        self.sent = []
        grants = Grants(
            self.rank, None, lambda message, _: self.sent.append(message), None
        )
        if first is not None:
            grants.record_report(first)
        return grants

    async def ask(self, grants: Grants, version: int, step: int) -> bool | None:
        """Return the response to a grant request, or None if there is none."""
        self.sent.clear()
        grants.handle_message(GrantRequest("g", 0, version, step), ("10.0.0.1", 7000))
        for task in list(grants._tasks):
            await task
        return self.sent[0].granted if self.sent else None

    # Guards against an agent that undoes a switch which its predecessor has granted:
    # the switch has ended, and its hold is carried out late (MAP).
    def test_pass_for_which_the_rank_was_armed_at_the_start_may_be_granted(self):
        grants = self.start(ARMED)
        self.assertTrue(grants.may_have_granted(1, STEP))
        self.assertFalse(grants.may_have_granted(1, STEP + 1))

    def test_pass_that_was_held_at_the_start_may_be_granted(self):
        for first in (HELD, make_report(1, held=STEP)):
            with self.subTest(first=first):
                self.assertTrue(self.start(first).may_have_granted(1, STEP))

    def test_any_pass_may_be_granted_before_the_first_report(self):
        self.assertTrue(self.start().may_have_granted(1, STEP))

    def test_no_pass_is_granted_if_the_rank_was_neither_held_nor_armed(self):
        self.assertFalse(self.start(make_report(1)).may_have_granted(1, STEP))

    def test_passes_of_a_new_epoch_are_not_granted(self):
        self.assertFalse(self.start(HELD).may_have_granted(2, STEP))

    # Guards against an agent that remembers its newest grant only, and takes the late
    # hold of an earlier switch for one that it never granted (MAP).
    async def test_earlier_grant_counts_after_a_newer_one(self):
        grants = self.start(make_report(1))
        self.rank.now = HELD
        self.assertTrue(await self.ask(grants, VERSION, STEP))
        newer = Armed(VERSION + 4096, STEP + 1)
        self.rank.now = make_report(1, held=newer.step, armed=newer)
        self.assertTrue(await self.ask(grants, *newer))
        self.assertTrue(grants.may_have_granted(1, STEP))

    async def test_repeated_request_gets_the_same_grant(self):
        grants = self.start(make_report(1))
        self.rank.now = HELD
        self.assertTrue(await self.ask(grants, VERSION, STEP))
        self.rank.now = None
        self.assertTrue(await self.ask(grants, VERSION, STEP))

    async def test_no_grant_is_given_without_a_report_of_the_rank(self):
        self.assertIsNone(await self.ask(self.start(), VERSION, STEP))

    # Guards against a grant for a switch that the predecessor has begun to undo since
    # it had not granted it (MAP).
    async def test_pass_that_was_held_at_the_start_is_not_granted(self):
        self.assertFalse(await self.ask(self.start(HELD), VERSION, STEP))

    async def test_request_before_the_first_poll_is_not_granted(self):
        grants = self.start()
        self.rank.now = HELD
        self.assertFalse(await self.ask(grants, VERSION, STEP))

    async def test_denied_pass_is_not_granted_after_another_one_was_denied(self):
        grants = self.start(make_report(1))
        grants.deny(1, STEP)
        grants.deny(1, STEP + 1)
        self.rank.now = HELD
        self.assertFalse(await self.ask(grants, VERSION, STEP))


if __name__ == "__main__":
    unittest.main()

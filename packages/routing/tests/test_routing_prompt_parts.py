"""Tests of the tally of prompt parts that crash endpoints."""

import itertools
import random
import unittest

from slatehoist.routing import CONVICTION_S, PROOF_S, PartTally, PromptPart
from slatehoist.routing.prompt_parts import (
    _MAX_CONVICTIONS,
    _MAX_KEPT_CRASHES,
    _MAX_PARTS_OF_CRASH,
    _MAX_PROOFS,
    MAX_CRASHES,
    MAX_CRASHES_OF_PROVEN,
    MAX_TRIALS,
    SEPARATE_CRASHES_S,
    SUCCESSES_OF_SOUND,
    TRIAL_DELAYS_S,
    PartConviction,
)

FIRST = PromptPart("app", "first")
BAD = PromptPart("app", "bad")
SUBJECT = PromptPart("app", "subject")


class PartTallyTests(unittest.TestCase):
    def setUp(self):
        self.tally = PartTally()
        self.numbers = itertools.count()

    def crash(self, *parts: PromptPart, at: float, count: int = 1) -> None:
        """Record crashes, each of one request, far enough apart to count."""
        for number in range(count):
            crash_id = f"crash-{next(self.numbers)}"
            self.tally.record_crash(crash_id, parts, at + number * SEPARATE_CRASHES_S)

    def blocked(self, *parts: PromptPart, at: float = 50.0) -> list[PromptPart]:
        return self.tally.blocking_parts(parts, at)

    def test_unproven_part_is_blocked_after_max_crashes(self):
        self.crash(BAD, at=0.0, count=MAX_CRASHES - 1)
        self.assertEqual(self.blocked(BAD), [])
        self.crash(BAD, at=10.0)
        self.assertEqual(self.blocked(BAD, SUBJECT), [BAD])

    def test_reports_of_one_crash_count_once(self):
        for _ in range(MAX_CRASHES):
            self.tally.record_crash("one", [BAD], 0.0)
        self.assertEqual(self.blocked(BAD), [])

    def test_part_that_succeeded_is_not_blocked_beside_one_that_did_not(self):
        self.tally.record_success([FIRST], 0.0)
        self.crash(FIRST, BAD, at=1.0, count=2 * MAX_CRASHES_OF_PROVEN)
        self.assertEqual(self.blocked(FIRST, BAD), [BAD])
        self.assertEqual(self.blocked(FIRST, SUBJECT), [])

    # Both are convicted if no success of the first part is known.
    def test_part_does_not_block_requests_without_the_part_that_explains_it(self):
        self.crash(FIRST, BAD, at=0.0, count=MAX_CRASHES)
        self.assertEqual(self.blocked(FIRST, BAD), [FIRST, BAD])
        self.assertEqual(self.blocked(FIRST, SUBJECT), [])

    def test_part_that_crashes_alone_is_not_explained_any_more(self):
        self.crash(FIRST, BAD, at=0.0, count=MAX_CRASHES)
        self.crash(BAD, at=10.0)
        self.assertEqual(self.blocked(BAD, SUBJECT), [BAD])
        self.assertEqual(self.blocked(FIRST, SUBJECT), [])

    def test_two_parts_that_crash_endpoints_are_both_blocked(self):
        other = PromptPart("app", "other")
        for number in range(MAX_CRASHES):
            self.crash(FIRST, BAD, at=number)
            self.crash(FIRST, other, at=number)
        self.assertIn(BAD, self.blocked(FIRST, BAD, at=9.0))
        self.assertIn(other, self.blocked(FIRST, other, at=9.0))
        self.assertEqual(self.blocked(FIRST, SUBJECT, at=9.0), [])

    def test_success_ends_the_block(self):
        self.crash(BAD, at=0.0, count=MAX_CRASHES)
        self.assertEqual(self.tally.record_success([BAD], 10.0), [BAD])
        self.assertEqual(self.blocked(BAD), [])
        self.assertEqual(self.tally.record_success([BAD], 11.0), [])

    def test_proven_part_is_blocked_after_more_crashes_that_nothing_explains(self):
        self.tally.record_success([BAD, FIRST], 0.0)
        self.crash(FIRST, BAD, at=1.0, count=MAX_CRASHES_OF_PROVEN - 1)
        self.assertEqual(self.blocked(FIRST, BAD), [])
        self.crash(FIRST, BAD, at=30.0)
        self.assertEqual(self.blocked(FIRST, BAD), [FIRST, BAD])
        self.tally.record_success([FIRST], 31.0)
        self.assertEqual(self.blocked(FIRST, BAD), [BAD])

    def test_endpoints_that_crash_at_once_do_not_block_a_sound_part(self):
        for _ in range(SUCCESSES_OF_SOUND):
            self.tally.record_success([FIRST], 0.0)
        for number in range(20):
            self.tally.record_crash(f"c{number}", [FIRST], 1.0 + number * 0.1)
        self.assertEqual(self.blocked(FIRST), [])

    def test_successes_that_another_instance_reports_make_a_part_sound(self):
        self.tally.record_earlier_proof(FIRST, 0.0, SUCCESSES_OF_SOUND)
        for number in range(20):
            self.tally.record_crash(f"c{number}", [FIRST], 1.0 + number * 0.1)
        self.assertEqual(self.blocked(FIRST), [])

    # Guards against a part that crashes endpoints one after the other, and counts as
    # proven by a single success (BUDGET).
    def test_part_that_succeeded_once_is_blocked_by_crashes_at_once(self):
        self.tally.record_success([BAD], 0.0)
        for number in range(MAX_CRASHES_OF_PROVEN):
            self.assertEqual(self.blocked(BAD), [])
            self.tally.record_crash(f"c{number}", [BAD], 1.0 + number * 0.1)
        self.assertEqual(self.blocked(BAD), [BAD])

    # Guards against a part whose crashes a single success drops, so that it crashes as
    # many endpoints again (BUDGET).
    def test_crashes_before_a_single_success_count(self):
        self.crash(BAD, at=0.0, count=MAX_CRASHES)
        self.tally.record_success([BAD], 10.0)
        self.crash(BAD, at=11.0, count=MAX_CRASHES_OF_PROVEN - MAX_CRASHES - 1)
        self.assertEqual(self.blocked(BAD), [])
        self.crash(BAD, at=20.0)
        self.assertEqual(self.blocked(BAD), [BAD])

    def test_crashes_before_several_successes_do_not_count(self):
        self.crash(BAD, at=0.0, count=MAX_CRASHES)
        for _ in range(SUCCESSES_OF_SOUND):
            self.tally.record_success([BAD], 10.0)
        self.crash(BAD, at=11.0, count=MAX_CRASHES_OF_PROVEN - 1)
        self.assertEqual(self.blocked(BAD), [])

    def test_first_trial_comes_early_if_all_crashes_were_at_once(self):
        for number in range(MAX_CRASHES):
            self.tally.record_crash(f"c{number}", [BAD], 1.0)
        self.assertTrue(self.tally.is_trial_due(BAD, 1.0 + TRIAL_DELAYS_S[0]))
        self.setUp()
        self.crash(BAD, at=0.0, count=MAX_CRASHES)
        last_at = (MAX_CRASHES - 1) * SEPARATE_CRASHES_S
        self.assertFalse(self.tally.is_trial_due(BAD, last_at + TRIAL_DELAYS_S[0]))
        self.assertTrue(self.tally.is_trial_due(BAD, last_at + TRIAL_DELAYS_S[1]))

    def test_number_of_trials_is_bounded(self):
        conviction = PartConviction(0.0, trials=MAX_TRIALS)
        self.assertEqual(conviction.trial_due_at, float("inf"))
        self.tally.convict(BAD, conviction)
        self.assertEqual(self.blocked(BAD, at=CONVICTION_S - 1.0), [BAD])
        self.assertEqual(self.blocked(BAD, at=CONVICTION_S), [])

    def test_proof_of_another_instance_ends_a_conviction_without_it(self):
        self.crash(FIRST, at=0.0, count=MAX_CRASHES)
        self.tally.record_earlier_proof(FIRST, 10.0)
        self.assertEqual(self.blocked(FIRST), [])

    def test_proof_of_another_instance_does_not_clear_crashes(self):
        self.crash(FIRST, at=0.0, count=MAX_CRASHES_OF_PROVEN)
        self.tally.record_earlier_proof(FIRST, 10.0)
        self.assertEqual(self.blocked(FIRST), [FIRST])

    def test_proven_part_in_doubt_is_told_to_the_others(self):
        self.tally.record_success([FIRST], 0.0)
        self.crash(FIRST, BAD, at=1.0)
        self.assertEqual(self.tally.proven_parts_in_doubt([FIRST, BAD], 2.0), [])
        self.crash(FIRST, BAD, at=3.0)
        self.assertEqual(self.tally.proven_parts_in_doubt([FIRST, BAD], 4.0), [FIRST])

    def test_part_convicted_at_one_service_needs_one_crash_at_another(self):
        self.crash(BAD, at=0.0, count=MAX_CRASHES)
        other = BAD._replace(service="other")
        self.assertEqual(self.blocked(other), [])
        self.crash(other, at=10.0)
        self.assertEqual(self.blocked(other), [other])

    def test_success_at_one_service_says_nothing_of_another(self):
        self.crash(BAD, at=0.0, count=MAX_CRASHES)
        self.tally.record_success([BAD._replace(service="other")], 10.0)
        self.assertEqual(self.blocked(BAD), [BAD])

    def test_proof_and_crashes_expire(self):
        self.tally.record_success([BAD], 0.0)
        self.crash(BAD, at=PROOF_S + 1.0, count=MAX_CRASHES)
        self.assertEqual(self.blocked(BAD, at=PROOF_S + 10.0), [BAD])
        self.setUp()
        self.crash(BAD, at=0.0, count=MAX_CRASHES - 1)
        self.crash(BAD, at=CONVICTION_S + 10.0)
        self.assertEqual(self.blocked(BAD, at=CONVICTION_S + 11.0), [])

    def test_suspected_part_is_one_crash_short_of_a_block(self):
        self.crash(BAD, at=0.0, count=MAX_CRASHES - 2)
        self.assertFalse(self.tally.is_suspected([FIRST, BAD]))
        self.crash(BAD, at=10.0)
        self.assertTrue(self.tally.is_suspected([FIRST, BAD]))

    def test_what_is_kept_is_bounded(self):
        rng = random.Random(1)
        for number in range(3 * _MAX_PROOFS):
            self.tally.record_success([PromptPart("app", f"s{number}")], number * 0.01)
        for number in range(3 * _MAX_KEPT_CRASHES):
            parts = [PromptPart("app", f"{rng.random()}") for _ in range(4)]
            self.tally.record_crash(f"c{number}", parts, 1000.0)
        many = [PromptPart("app", f"m{n}") for n in range(2 * _MAX_PARTS_OF_CRASH)]
        self.tally.record_crash("large", many, 1000.0)
        for number in range(2 * _MAX_CONVICTIONS):
            part = PromptPart("app", f"v{number}")
            self.tally.convict(part, PartConviction(1000.0))
        self.assertLessEqual(len(self.tally._proofs), _MAX_PROOFS)
        self.assertLessEqual(len(self.tally._crashes), _MAX_KEPT_CRASHES)
        self.assertLessEqual(len(self.tally._convicted), _MAX_CONVICTIONS)
        most = 4 * _MAX_KEPT_CRASHES + _MAX_PARTS_OF_CRASH
        self.assertLessEqual(len(self.tally._crashes_of), most)


if __name__ == "__main__":
    unittest.main()

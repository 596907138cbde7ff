import random
import unittest

from slatehoist.routing import SuspectStatus, SuspectTracker

TRIALS = 10_000
SEED = 20261203


def make_ledger() -> SuspectTracker:
    return SuspectTracker(suspicion_s=900.0, conviction_s=3600.0)


class LedgerTests(unittest.TestCase):
    def test_one_crash_makes_suspects_of_all(self):
        ledger = make_ledger()
        ledger.report_crash("c1", ["a", "b"], 0.0)
        self.assertEqual(ledger.status("a", 1.0), SuspectStatus.SUSPECT)
        self.assertEqual(ledger.status("z", 1.0), SuspectStatus.CLEAR)

    def test_running_to_the_end_clears(self):
        ledger = make_ledger()
        ledger.report_crash("c1", ["a", "b"], 0.0)
        ledger.report_cleared("a", 1.0)
        self.assertEqual(ledger.status("a", 1.0), SuspectStatus.CLEAR)

    def test_second_crash_holds_at_once(self):
        ledger = make_ledger()
        ledger.report_crash("c1", ["p", "b"], 0.0)
        ledger.report_crash("c2", ["p", "f"], 1.0)
        self.assertEqual(ledger.status("p", 1.0), SuspectStatus.HELD)
        self.assertEqual(ledger.status("f", 1.0), SuspectStatus.SUSPECT)

    def test_clearing_the_others_convicts(self):
        ledger = make_ledger()
        ledger.report_crash("c1", ["p", "b"], 0.0)
        ledger.report_crash("c2", ["p", "f"], 1.0)
        ledger.report_cleared("f", 2.0)
        self.assertEqual(ledger.status("p", 2.0), SuspectStatus.CONVICTED)
        self.assertEqual(ledger.status("b", 2.0), SuspectStatus.CLEAR)

    def test_who_was_held_runs_again_once_all_its_crashes_are_explained(self):
        ledger = make_ledger()
        ledger.report_crash("c1", ["p", "a"], 0.0)
        ledger.report_crash("c2", ["a", "q"], 1.0)
        self.assertEqual(ledger.status("a", 1.0), SuspectStatus.HELD)
        ledger.report_crash("c3", ["p"], 2.0)
        self.assertEqual(ledger.status("p", 2.0), SuspectStatus.CONVICTED)
        self.assertEqual(ledger.status("a", 2.0), SuspectStatus.HELD)
        ledger.report_crash("c4", ["q"], 3.0)
        self.assertEqual(ledger.status("q", 3.0), SuspectStatus.CONVICTED)
        self.assertEqual(ledger.status("a", 3.0), SuspectStatus.SUSPECT)

    def test_the_same_report_twice_is_one_crash(self):
        ledger = make_ledger()
        ledger.report_crash("c1", ["p"], 0.0)
        self.assertFalse(ledger.report_crash("c1", ["p"], 1.0))
        self.assertEqual(ledger.status("p", 1.0), SuspectStatus.SUSPECT)

    def test_suspicion_lapses_and_a_hold_lasts_longer(self):
        ledger = make_ledger()
        ledger.report_crash("c1", ["a", "p"], 0.0)
        self.assertEqual(ledger.status("a", 901.0), SuspectStatus.CLEAR)
        ledger = make_ledger()
        ledger.report_crash("c1", ["p", "a"], 0.0)
        ledger.report_crash("c2", ["p", "f"], 1.0)
        self.assertEqual(ledger.status("p", 901.0), SuspectStatus.HELD)

    def test_trials_convict_no_innocent_and_bound_the_crashes(self):
        rng = random.Random(SEED)
        print(f"seed {SEED}, {TRIALS} trials")
        wrong = worst = 0
        for _ in range(TRIALS):
            trial = Trial(rng)
            trial.run()
            wrong += len(trial.convicted() - trial.poisons)
            worst = max(worst, *trial.crashes.values())
        self.assertEqual(wrong, 0)
        self.assertLessEqual(worst, 2)


class Trial:
    """Requests on a few endpoints, some of them poison, sent again after a crash.

    Suspects run alone among suspects, as the sidecars see to it.
    """

    ENDPOINTS = 4

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.ledger = make_ledger()
        count = rng.randint(4, 14)
        self.requests = [f"r{i}" for i in range(count)]
        self.poisons = set(rng.sample(self.requests, rng.randint(1, 2)))
        self.crashes = dict.fromkeys(self.poisons, 0)
        self.running: list[list[str]] = [[] for _ in range(self.ENDPOINTS)]
        self.waiting = list(self.requests)
        self.number = 0

    def run(self) -> None:
        for now in range(60):
            self.place(float(now))
            index = self.rng.randrange(self.ENDPOINTS)
            if self.running[index]:
                self.end_one(index, float(now))

    def place(self, now: float) -> None:
        for digest in list(self.waiting):
            verdict = self.ledger.status(digest, now)
            if verdict in (SuspectStatus.HELD, SuspectStatus.CONVICTED):
                if self.rng.random() < 0.2:
                    self.waiting.remove(digest)
                continue
            index = self.rng.randrange(self.ENDPOINTS)
            beside = self.running[index]
            suspects = [
                d for d in beside if self.ledger.status(d, now) != SuspectStatus.CLEAR
            ]
            if verdict == SuspectStatus.SUSPECT and suspects:
                continue
            if len(beside) < 4:
                self.waiting.remove(digest)
                beside.append(digest)

    def end_one(self, index: int, now: float) -> None:
        digest = self.rng.choice(self.running[index])
        if digest not in self.poisons:
            self.running[index].remove(digest)
            self.ledger.report_cleared(digest, now)
            return
        self.number += 1
        self.crashes[digest] += 1
        lost, self.running[index] = self.running[index], []
        self.ledger.report_crash(f"c{self.number}", lost, now)
        self.waiting += lost

    def convicted(self) -> set[str]:
        verdicts = {d: self.ledger.status(d, 60.0) for d in self.requests}
        return {d for d, v in verdicts.items() if v == SuspectStatus.CONVICTED}

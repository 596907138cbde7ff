import random
import unittest

from slatehoist.routing import SuspectStatus, SuspectTracker

TRIALS = 10_000
SEED = 20261203


def make_tracker() -> SuspectTracker:
    return SuspectTracker(suspicion_s=900.0, conviction_s=3600.0)


class SuspectTrackerTests(unittest.TestCase):
    def test_one_crash_makes_every_request_in_flight_a_suspect(self):
        tracker = make_tracker()
        tracker.report_crash("c1", ["a", "b"], 0.0)
        self.assertEqual(tracker.status("a", 1.0), SuspectStatus.SUSPECT)
        self.assertEqual(tracker.status("z", 1.0), SuspectStatus.CLEAR)

    def test_completed_request_is_clear(self):
        tracker = make_tracker()
        tracker.report_crash("c1", ["a", "b"], 0.0)
        tracker.report_cleared("a", 1.0)
        self.assertEqual(tracker.status("a", 1.0), SuspectStatus.CLEAR)

    def test_second_crash_holds_the_request(self):
        tracker = make_tracker()
        tracker.report_crash("c1", ["p", "b"], 0.0)
        tracker.report_crash("c2", ["p", "f"], 1.0)
        self.assertEqual(tracker.status("p", 1.0), SuspectStatus.HELD)
        self.assertEqual(tracker.status("f", 1.0), SuspectStatus.SUSPECT)

    def test_held_request_is_convicted_once_the_others_completed(self):
        tracker = make_tracker()
        tracker.report_crash("c1", ["p", "b"], 0.0)
        tracker.report_crash("c2", ["p", "f"], 1.0)
        tracker.report_cleared("f", 2.0)
        self.assertEqual(tracker.status("p", 2.0), SuspectStatus.CONVICTED)
        self.assertEqual(tracker.status("b", 2.0), SuspectStatus.CLEAR)

    def test_held_request_is_a_suspect_once_all_its_crashes_are_explained(self):
        tracker = make_tracker()
        tracker.report_crash("c1", ["p", "a"], 0.0)
        tracker.report_crash("c2", ["a", "q"], 1.0)
        self.assertEqual(tracker.status("a", 1.0), SuspectStatus.HELD)
        tracker.report_crash("c3", ["p"], 2.0)
        self.assertEqual(tracker.status("p", 2.0), SuspectStatus.CONVICTED)
        self.assertEqual(tracker.status("a", 2.0), SuspectStatus.HELD)
        tracker.report_crash("c4", ["q"], 3.0)
        self.assertEqual(tracker.status("q", 3.0), SuspectStatus.CONVICTED)
        self.assertEqual(tracker.status("a", 3.0), SuspectStatus.SUSPECT)

    def test_repeated_report_counts_as_one_crash(self):
        tracker = make_tracker()
        tracker.report_crash("c1", ["p"], 0.0)
        self.assertFalse(tracker.report_crash("c1", ["p"], 1.0))
        self.assertEqual(tracker.status("p", 1.0), SuspectStatus.SUSPECT)

    def test_suspicion_expires_before_a_hold(self):
        tracker = make_tracker()
        tracker.report_crash("c1", ["a", "p"], 0.0)
        self.assertEqual(tracker.status("a", 901.0), SuspectStatus.CLEAR)
        tracker = make_tracker()
        tracker.report_crash("c1", ["p", "a"], 0.0)
        tracker.report_crash("c2", ["p", "f"], 1.0)
        self.assertEqual(tracker.status("p", 901.0), SuspectStatus.HELD)

    def test_trials_convict_only_poisons_with_at_most_two_crashes_each(self):
        rng = random.Random(SEED)
        print(f"seed {SEED}, {TRIALS} trials")
        wrong = max_crashes = 0
        for _ in range(TRIALS):
            trial = Trial(rng)
            trial.run()
            wrong += len(trial.convicted() - trial.poisons)
            max_crashes = max(max_crashes, *trial.crashes.values())
        self.assertEqual(wrong, 0)
        self.assertLessEqual(max_crashes, 2)


class Trial:
    """Simulation of requests on a few endpoints, with one or two poison requests.

    A poison request crashes its endpoint; the requests in flight there are retried. As
    in a sidecar, an endpoint runs at most one suspect at a time.
    """

    ENDPOINTS = 4

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.tracker = make_tracker()
        count = rng.randint(4, 14)
        self.requests = [f"r{i}" for i in range(count)]
        self.poisons = set(rng.sample(self.requests, rng.randint(1, 2)))
        self.crashes = dict.fromkeys(self.poisons, 0)
        self.running: list[list[str]] = [[] for _ in range(self.ENDPOINTS)]
        self.waiting = list(self.requests)
        self.crash_number = 0

    def run(self) -> None:
        for now in range(60):
            self.place_waiting(float(now))
            index = self.rng.randrange(self.ENDPOINTS)
            if self.running[index]:
                self.finish_one(index, float(now))

    def place_waiting(self, now: float) -> None:
        for digest in list(self.waiting):
            status = self.tracker.status(digest, now)
            if status in (SuspectStatus.HELD, SuspectStatus.CONVICTED):
                if self.rng.random() < 0.2:
                    self.waiting.remove(digest)
                continue
            index = self.rng.randrange(self.ENDPOINTS)
            in_flight = self.running[index]
            suspects = [
                d
                for d in in_flight
                if self.tracker.status(d, now) != SuspectStatus.CLEAR
            ]
            if status == SuspectStatus.SUSPECT and suspects:
                continue
            if len(in_flight) < 4:
                self.waiting.remove(digest)
                in_flight.append(digest)

    def finish_one(self, index: int, now: float) -> None:
        digest = self.rng.choice(self.running[index])
        if digest not in self.poisons:
            self.running[index].remove(digest)
            self.tracker.report_cleared(digest, now)
            return
        self.crash_number += 1
        self.crashes[digest] += 1
        lost, self.running[index] = self.running[index], []
        self.tracker.report_crash(f"c{self.crash_number}", lost, now)
        self.waiting += lost

    def convicted(self) -> set[str]:
        statuses = {d: self.tracker.status(d, 60.0) for d in self.requests}
        return {
            d for d, status in statuses.items() if status == SuspectStatus.CONVICTED
        }

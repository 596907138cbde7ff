"""Tests of time-outs that follow the time which a peer takes to answer."""

import asyncio
import unittest

from simulated_time import run_in_simulated_time

from slatehoist.http import AnswerTimes

LEAST_S = 0.04
MAX_S = 4.0


class Peer:
    """Peer that answers after a time of its own.

    Attributes
    ----------
    active : int
        Calls that have not ended.
    """

    def __init__(self, answer_s: float) -> None:
        self.answer_s = answer_s
        self.calls = 0
        self.active = self.most_active = 0

    async def answer(self) -> str:
        self.calls += 1
        self.active += 1
        self.most_active = max(self.most_active, self.active)
        try:
            await asyncio.sleep(self.answer_s)
        finally:
            self.active -= 1
        return "answer"


async def call_until_answered(times: AnswerTimes, peer: Peer, most: int) -> int:
    """Return the calls until one is answered, or `most` if none is."""
    for number in range(1, most + 1):
        try:
            await times.call(peer.answer, LEAST_S)
        except TimeoutError:
            await asyncio.sleep(0.01)
            continue
        return number
    return most


class AnswerTimesTests(unittest.TestCase):
    # Guards against calls that are repeated for ever since each is given up before its
    # answer arrives (RECOVER).
    def test_peer_that_is_slower_than_the_time_out_is_answered(self):
        for answer_s in (0.01, 0.05, 0.3, 1.0, 3.0):
            with self.subTest(answer_s=answer_s):
                times, peer = AnswerTimes("rank", MAX_S), Peer(answer_s)
                calls = run_in_simulated_time(call_until_answered(times, peer, 400))
                self.assertLess(calls, 3 + answer_s / LEAST_S)
                again = run_in_simulated_time(call_until_answered(times, peer, 2))
                self.assertEqual(again, 1)

    def test_silent_peer_leaves_the_time_out_and_few_calls_open(self):
        times, peer = AnswerTimes("rank", MAX_S), Peer(1e6)
        calls = run_in_simulated_time(call_until_answered(times, peer, 200))
        self.assertEqual(calls, 200)
        self.assertEqual(times.timeout_s(LEAST_S), LEAST_S)
        self.assertEqual(peer.most_active, 2)

    def test_time_out_falls_again_with_prompt_answers(self):
        times = AnswerTimes("rank", MAX_S)
        times.record(1.0)
        self.assertEqual(times.timeout_s(LEAST_S), 2.0)
        for _ in range(6):
            times.record(0.002)
        self.assertEqual(times.timeout_s(LEAST_S), LEAST_S)

    def test_time_out_is_bounded(self):
        times = AnswerTimes("rank", MAX_S)
        times.record(60.0)
        self.assertEqual(times.timeout_s(LEAST_S), MAX_S)

    def test_call_that_is_cancelled_ends(self):
        async def cancel() -> int:
            times, peer = AnswerTimes("rank", MAX_S), Peer(1.0)
            await call_until_answered(times, peer, 1)
            task = asyncio.create_task(times.call(peer.answer, LEAST_S))
            await asyncio.sleep(0.01)
            task.cancel()
            await asyncio.sleep(0.01)
            return peer.active

        self.assertEqual(run_in_simulated_time(cancel()), 0)

    def test_failure_after_the_time_out_is_ignored(self):
        async def fail() -> None:
            await asyncio.sleep(0.1)
            raise ConnectionResetError

        async def call() -> float:
            times = AnswerTimes("rank", MAX_S)
            for _ in range(2):
                with self.assertRaises(TimeoutError):
                    await times.call(fail, LEAST_S)
            await asyncio.sleep(1.0)
            return times.timeout_s(LEAST_S)

        self.assertEqual(run_in_simulated_time(call()), LEAST_S)


if __name__ == "__main__":
    unittest.main()

"""Tests of the log lines that say why a service answers no request."""

import logging
import unittest
from types import SimpleNamespace

from slatehoist.gateway.service_stalls import ServiceStalls

LOGGER = "slatehoist.gateway.service_stalls"
SERVICE = SimpleNamespace(name="model")


class PendingRequest:
    """Fields of an `Exchange` that the log of stalls reads."""

    def __init__(self) -> None:
        self.service = SERVICE
        self.first_byte_at: float | None = None


class ServiceStallTests(unittest.TestCase):
    def setUp(self):
        self.stalls = ServiceStalls(lambda service, now: {"listed": 3})

    def check(self, *times: float) -> list[logging.LogRecord]:
        with self.assertLogs(LOGGER) as logs:
            logging.getLogger(LOGGER).info("end")
            for now in times:
                self.stalls.check([SERVICE], now)
        return logs.records[1:]

    def test_stall_is_logged_at_its_begin_and_every_ten_seconds(self):
        self.stalls.begin(PendingRequest(), 0.0)
        records = self.check(*range(25))
        self.assertEqual([r.getMessage() for r in records], ["service_stalled"] * 3)
        self.assertEqual([r.for_ms for r in records], [3000, 13000, 23000])
        self.assertEqual(records[0].listed, 3)

    def test_stall_ends_with_the_first_answer(self):
        failed, answered = PendingRequest(), PendingRequest()
        self.stalls.begin(failed, 0.0)
        self.stalls.begin(answered, 1.0)
        self.check(4.0)
        self.stalls.end(failed, False, 8.0)
        answered.first_byte_at = 8.5
        (record,) = self.check(9.0, 20.0)
        self.assertEqual(record.getMessage(), "service_resumed")
        self.assertEqual((record.after_ms, record.failed), (9000, 1))

    def test_stall_ends_when_nobody_sends_requests_any_more(self):
        exchange = PendingRequest()
        self.stalls.begin(exchange, 0.0)
        self.stalls.end(exchange, False, 1.0)
        records = self.check(*map(float, range(2, 60)))
        self.assertEqual([r.for_ms for r in records], [3000])

    def test_service_without_requests_is_no_stall(self):
        exchange = PendingRequest()
        self.stalls.begin(exchange, 0.0)
        self.stalls.end(exchange, True, 0.5)
        self.assertEqual(self.check(30.0), [])

    def test_missing_reads_are_logged_after_the_start(self):
        with self.assertLogs(LOGGER) as logs:
            for now in range(15):
                self.stalls.check_start(["configuration"], 0.0, float(now))
        self.assertEqual([r.for_ms for r in logs.records], [3000, 13000])


if __name__ == "__main__":
    unittest.main()

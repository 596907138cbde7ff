"""Event logs are bounded, never block and tell what they left out."""

import json
import logging
import os
import unittest

from slatehoist.observe import BoundedHandler, GatewayMetrics, configure_logging
from slatehoist.observe.metrics import AgentMetrics, generate_latest


class BoundedHandlerTests(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.read_fd, self.write_fd = os.pipe()
        os.set_blocking(self.read_fd, False)
        self.addCleanup(os.close, self.read_fd)
        self.addCleanup(os.close, self.write_fd)
        self.log = logging.Logger("test")

    def handler(self, **fields):
        handler = BoundedHandler(self.write_fd, clock=lambda: self.now, **fields)
        handler.setFormatter(logging.Formatter("%(message)s"))
        self.log.addHandler(handler)
        return handler

    def lines(self):
        data = b""
        while True:
            try:
                part = os.read(self.read_fd, 1 << 20)
            except BlockingIOError:
                return data.decode().splitlines()
            data += part

    def test_rate_is_kept_and_what_was_left_out_is_counted(self):
        handler = self.handler(lines_per_s=10, burst=5)
        handler.setFormatter(
            logging.Formatter("%(message)s %(count)s", defaults={"count": ""})
        )
        for index in range(50):
            self.log.info("line %d", index)
        self.assertEqual(len(self.lines()), 5)
        self.now = 1.0
        self.log.info("after")
        self.assertEqual(self.lines(), ["lines_left_out 45", "after "])

    def test_reader_that_does_not_read_does_not_block(self):
        self.handler(lines_per_s=1e9, burst=1e9)
        for _ in range(5000):
            self.log.info("x" * 200)
        self.lines()
        self.log.info("first after")
        self.log.info("second after")
        self.assertIn("second after", self.lines())

    def test_lines_are_json_with_the_common_fields(self):
        root = logging.getLogger()
        before, level = root.handlers[:], root.level
        self.addCleanup(root.setLevel, level)
        self.addCleanup(setattr, root, "handlers", before)
        configure_logging(fd=self.write_fd, instance="i-1")
        logging.getLogger("slatehoist.x").info("happened", extra={"request": "r"})
        doc = json.loads(self.lines()[-1])
        self.assertEqual(doc["event"], "happened")
        self.assertEqual((doc["instance"], doc["request"]), ("i-1", "r"))


class MetricsTests(unittest.TestCase):
    def test_metrics_are_text_with_help(self):
        for metrics in (GatewayMetrics(), AgentMetrics()):
            text = generate_latest(metrics.registry).decode()
            self.assertIn("# HELP slatehoist_", text)


if __name__ == "__main__":
    unittest.main()

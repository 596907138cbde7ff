"""Event logs and metrics.

The logs are tested for the rate limit, the behaviour with a slow reader, and the format
of the lines. Both sets of metrics are tested for exporting a help text.
"""

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

    def add_handler(self, **fields):
        handler = BoundedHandler(self.write_fd, clock=lambda: self.now, **fields)
        handler.setFormatter(logging.Formatter("%(message)s"))
        self.log.addHandler(handler)
        return handler

    def read_lines(self):
        data = b""
        while True:
            try:
                chunk = os.read(self.read_fd, 1 << 20)
            except BlockingIOError:
                return data.decode().splitlines()
            data += chunk

    def test_lines_over_the_rate_are_left_out_and_counted(self):
        handler = self.add_handler(lines_per_s=10, burst=5)
        handler.setFormatter(
            logging.Formatter("%(message)s %(count)s", defaults={"count": ""})
        )
        for index in range(50):
            self.log.info("line %d", index)
        self.assertEqual(len(self.read_lines()), 5)
        self.now = 1.0
        self.log.info("after")
        self.assertEqual(self.read_lines(), ["lines_left_out 45", "after "])

    def test_full_pipe_does_not_block_the_writer(self):
        """A full pipe must not stop the process; lines are left out until it drains."""
        self.add_handler(lines_per_s=1e9, burst=1e9)
        for _ in range(5000):
            self.log.info("x" * 200)
        self.read_lines()
        self.log.info("first after")
        self.log.info("second after")
        self.assertIn("second after", self.read_lines())

    def test_lines_are_json_with_the_common_fields(self):
        root = logging.getLogger()
        handlers, level = root.handlers[:], root.level
        self.addCleanup(root.setLevel, level)
        self.addCleanup(setattr, root, "handlers", handlers)
        configure_logging(fd=self.write_fd, instance="i-1")
        logging.getLogger("slatehoist.x").info("happened", extra={"request": "r"})
        doc = json.loads(self.read_lines()[-1])
        self.assertEqual(doc["event"], "happened")
        self.assertEqual((doc["instance"], doc["request"]), ("i-1", "r"))


class MetricsTests(unittest.TestCase):
    def test_metrics_have_help_texts(self):
        for metrics in (GatewayMetrics(), AgentMetrics()):
            text = generate_latest(metrics.registry).decode()
            self.assertIn("# HELP slatehoist_", text)


if __name__ == "__main__":
    unittest.main()

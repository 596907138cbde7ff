import random
import unittest
from types import SimpleNamespace

from builders import make_instance
from slatehoist.daemon.entry.directory import PeerInstance
from slatehoist.daemon.entry.dispatch import Dispatcher
from slatehoist.daemon.entry.outcomes import AttemptHistory
from slatehoist.routing import HOLD_CRASHES
from slatehoist.wire.messages import Broken, BrokenReason


class RetryTests(unittest.TestCase):
    def may_retry(self, reason: BrokenReason) -> bool:
        """Return True if a request is sent again after as many losses as crash it."""
        retry = SimpleNamespace(budget_ratio=1.0, budget_floor=100.0, max_tries=10)
        dispatcher = Dispatcher(
            SimpleNamespace(retry=retry),
            None,
            None,
            None,
            None,
            None,
            lambda: 0.0,
            random.Random(1),
        )
        attempts = AttemptHistory()
        for number in range(HOLD_CRASHES):
            peer = PeerInstance(make_instance(f"s{number}"))
            attempts.record(peer, Broken("a", reason), 0.0)
        req = SimpleNamespace(deadline=60.0, idempotent=True, member="m")
        answer = SimpleNamespace(started=False)
        return dispatcher._may_retry(req, answer, attempts)

    # The crash of a silent endpoint is known only when the endpoint has started again.
    def test_request_under_which_two_endpoints_fell_silent_is_not_sent_again(self):
        self.assertFalse(self.may_retry(BrokenReason.ENDPOINT_SILENT))

    def test_request_whose_connections_were_lost_is_sent_again(self):
        self.assertTrue(self.may_retry(BrokenReason.CONNECTION_LOST))


if __name__ == "__main__":
    unittest.main()

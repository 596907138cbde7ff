"""Tests of the evenness of load, in a simulation of gateways with late statuses."""

import unittest

from models.stale_statuses import Outcome, Setup, run

#: Standard deviation of the requests at an endpoint, as a multiple of that of the exact
#: choice, which is 0.48 on these arrivals. The users' limits are 1.0 and 0.9.
MAX_DEVIATION_16 = 2.1
MAX_DEVIATION_6 = 1.8


class EvenLoadTests(unittest.TestCase):
    def compare(self, setup: Setup) -> tuple[Outcome, Outcome, Outcome]:
        """Return the outcomes of the product, the former chooser and the exact one."""
        return run(setup, "product"), run(setup, "today"), run(setup, "exact")

    # Guards against many gateways that choose the same endpoint at the same moment,
    # since all of them see the same list.
    def test_sixteen_gateways_fill_endpoints_evenly(self):
        product, former, exact = self.compare(Setup(gateways=16))
        self.assertLessEqual(product.deviation / exact.deviation, MAX_DEVIATION_16)
        self.assertLess(product.full, former.full / 2)

    def test_six_gateways_fill_endpoints_evenly(self):
        product, former, exact = self.compare(Setup(gateways=6))
        self.assertLessEqual(product.deviation / exact.deviation, MAX_DEVIATION_6)
        self.assertLess(product.full, former.full / 2)


if __name__ == "__main__":
    unittest.main()

"""The benchmarks of the dispatcher run; their figures are not checked."""

import unittest
from unittest import mock

from acacialine.tests import support
from acacialine.tools import ordercost
from acacialine.tools import placercost


class BenchesTest(unittest.TestCase):
    def test_order_cost_runs(self):
        with mock.patch.object(ordercost, "ORDERS", 20):
            support.run(self._check_order_cost, seconds=60)

    async def _check_order_cost(self):
        cost = await ordercost.measure()
        self.assertGreater(cost.httpcore_us, 0)
        self.assertGreater(cost.client_us, 0)

    def test_placer_cost_runs(self):
        support.run(self._check_placer_cost, seconds=60)

    async def _check_placer_cost(self):
        cost = await placercost.measure(2, (4.0, 12.0), 2.0)
        self.assertGreater(cost.starts_per_s, 0)
        self.assertGreater(cost.polls_per_start, 0)


if __name__ == "__main__":
    unittest.main()

"""How often dispatchers of one zone claim it when all of them start."""

import unittest

from acacialine import ownership
from acacialine.tests import zonestart

SEEDS = range(40)


class ZoneStartTest(unittest.TestCase):
    def test_dispatchers_that_start_together_claim_once_or_twice(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                start = zonestart.ZoneStart(seed).run()
                self.assertIn(len(start.claims), (1, 2))
                self.assertEqual(len(start.owned), 1)

    def test_the_zone_has_a_placer_soon(self):
        limit_s = zonestart.START_SPAN_S + ownership.ISOLATED_WAIT_S
        for seed in SEEDS:
            with self.subTest(seed=seed):
                start = zonestart.ZoneStart(seed).run()
                self.assertLess(start.claims[0][0], limit_s)


if __name__ == "__main__":
    unittest.main()

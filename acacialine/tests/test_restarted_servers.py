"""Backend servers that restart while orders for them are late.

The simulation of `test_combined_faults`; besides, servers restart under their
id with a clock that starts anew, and what is on its way outlives that.
"""

import os
import unittest

import hypothesis
from hypothesis import strategies

from acacialine.tests import test_combined_faults
from acacialine.tests import test_lost_dispatchers

EXAMPLES = int(os.environ.get("ACACIALINE_EXAMPLES", "25"))
RESTART_RATE = 0.004


class Simulation(test_lost_dispatchers.Simulation):
    """Zones whose backend servers restart, with late orders."""

    outlives_servers = True
    ORDER_TIMEOUT_S = 0.03
    LATE_ORDER_S = (0.3, 3.0)

    def __init__(self, seed):
        super().__init__(seed, test_combined_faults.FAULTS)
        self.fault_rate = 0.1
        self.server_pool.resets_clocks = True
        for server in self.server_pool.servers.values():
            server.clock_origin = -100.0

    def draw_deaths(self):
        super().draw_deaths()
        if self.random.random() >= RESTART_RATE:
            return
        server = self.random.choice(list(self.server_pool.servers.values()))
        self.server_pool.down_s = self.random.uniform(0.02, 1.0)
        server.crash_at = self.now
        server.end_due_runs(self.now)
        self.note_zone(f"{server.id} restarts")


class RestartedServersTest(unittest.TestCase):
    def check(self, seed):
        simulation = Simulation(seed).run()
        text = simulation.describe_violations()
        self.assertEqual(simulation.server_pool.violations, [], text)

    @hypothesis.settings(max_examples=EXAMPLES, deadline=None, database=None)
    @hypothesis.seed(20261208)
    @hypothesis.given(seed=strategies.integers(0, 2**32))
    def test_no_job_runs_twice_at_once_when_servers_restart(self, seed):
        self.check(seed)

    def test_seeds_that_failed(self):
        for seed in (93703, 93747, 96227, 97890, 97998):
            with self.subTest(seed=seed):
                self.check(seed)


if __name__ == "__main__":
    unittest.main()

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
JOB = test_lost_dispatchers.JOB
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


class ScriptedSimulation(test_lost_dispatchers.ScriptedSimulation):
    """Scripted zones with late starts, in which idle servers aren't polled."""

    outlives_servers = True
    polls_idle_servers = False
    ORDER_TIMEOUT_S = 0.03
    DISCOVERY_S = 0.0
    LATE_START_S = 1.5
    starts_late_until = 0.0

    def draw_delays(self):
        if self.now < self.starts_late_until:
            return self.LATE_START_S, None
        return super().draw_delays()

    def draw_poll_delays(self):
        return super().draw_delays()

    def draw_stop_delays(self, run):
        return super().draw_delays()


class IdleServersTest(unittest.TestCase):
    def setUp(self):
        self.simulation = ScriptedSimulation()
        self.simulation.starts_late_until = 0.22
        self.simulation.submit("zone-a", JOB)
        self.simulation.run_until(0.6)

    def restart_idle_server(self):
        simulation = self.simulation
        (idle,) = (s for s in simulation.servers_of("zone-a") if not s.runs)
        simulation.server_pool.down_s = 0.2
        simulation.server_pool.resets_clocks = True
        idle.crash_at = simulation.now
        simulation.run_until(4.0)
        self.assertIn(JOB, simulation.server_pool.started_jobs)
        self.assertEqual(simulation.late_orders, 1)
        text = simulation.describe_violations()
        self.assertEqual(simulation.server_pool.violations, [], text)

    def test_an_idle_server_that_has_restarted_starts_no_task_late(self):
        self.restart_idle_server()

    def test_an_idle_server_starts_no_task_of_a_lost_placer_late(self):
        self.simulation.succeeded_after_s = (0.1, 0.1)
        self.simulation.lose_placer("zone-a")
        self.simulation.run_until(1.0)
        self.restart_idle_server()


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

"""Backend servers that need time to kill the runs of an expired lease.

The simulation of `test_combined_faults`; besides, servers are cut off from
their placer, which then goes by the leases that it has given.
"""

import os
import unittest

import hypothesis
from hypothesis import strategies

from acacialine.tests import test_combined_faults
from acacialine.tests import test_lost_dispatchers

EXAMPLES = int(os.environ.get("ACACIALINE_EXAMPLES", "25"))
JOB = test_lost_dispatchers.JOB
CUT_RATE = 0.01
KILL_DURATIONS_S = (0.0, 0.05, 0.15)


class Simulation(test_lost_dispatchers.Simulation):
    """Zones whose backend servers are cut off."""

    def __init__(self, seed, kill_s):
        super().__init__(seed, test_combined_faults.FAULTS)
        self.server_pool.kill_s = kill_s

    def draw_deaths(self):
        super().draw_deaths()
        if self.random.random() < CUT_RATE:
            server_id = self.random.choice(list(self.server_pool.servers))
            until = self.now + self.random.uniform(0.1, 3.0)
            self.note_zone(f"{server_id} is cut off until {until:.3f}")
            cut_off(self, server_id, until)


def cut_off(simulation, server_id, until):
    """Cuts a backend server off, which its placer notices at once."""
    simulation.cut_off_until[server_id] = until
    for zone in simulation.zones.values():
        owner = zone.owner
        if owner is not None and server_id in owner.placer.tables.servers:
            owner.unreachable_until[server_id] = until
            server = owner.placer.tables.servers[server_id]
            owner.placer.runs.record_poll_timeout(server, simulation.now)


class CutOffServersTest(unittest.TestCase):
    def start_and_cut_off(self, kill_s):
        """Starts a job whose server is cut off at once."""
        simulation = test_lost_dispatchers.ScriptedSimulation()
        simulation.server_pool.kill_s = kill_s
        simulation.submit("zone-a", JOB, length_s=5.0)
        simulation.run_until(0.5)
        (server,) = (s for s in simulation.servers_of("zone-a") if s.runs)
        cut_off(simulation, server.id, 9.0)
        return simulation, server

    def check(self, simulation):
        text = simulation.describe_violations()
        self.assertEqual(simulation.server_pool.violations, [], text)

    def test_no_task_starts_elsewhere_while_its_cut_off_server_kills_it(self):
        for kill_s in KILL_DURATIONS_S:
            with self.subTest(kill_s=kill_s):
                simulation, cut_off = self.start_and_cut_off(kill_s)
                simulation.run_until(2.5)
                (running,) = (
                    s for s in simulation.servers_of("zone-a") if s.runs
                )
                self.assertIsNot(running, cut_off)
                self.check(simulation)


class CombinedFaultsTest(unittest.TestCase):
    @hypothesis.settings(max_examples=EXAMPLES, deadline=None, database=None)
    @hypothesis.seed(20261209)
    @hypothesis.given(
        seed=strategies.integers(0, 2**32),
        kill_s=strategies.sampled_from(KILL_DURATIONS_S[:2]),
    )
    def test_no_job_runs_twice_at_once_when_servers_are_cut_off(
        self, seed, kill_s
    ):
        simulation = Simulation(seed, kill_s).run()
        text = simulation.describe_violations()
        self.assertEqual(simulation.server_pool.violations, [], text)


if __name__ == "__main__":
    unittest.main()

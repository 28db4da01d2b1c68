"""Dispatchers that die while the zones are cut off from each other.

The simulation of `test_lost_dispatchers` with all its faults in one run. The
client sends its job again 1.3 s after its dispatcher was lost.
"""

import os
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from acacialine import directory as directory_lib
from acacialine import ids
from acacialine.tests import test_lost_dispatchers

EXAMPLES = int(os.environ.get("ACACIALINE_EXAMPLES", "25"))
FAULTS = attrs.evolve(
    test_lost_dispatchers.ALL_FAULTS, has_cuts=True, outage_rate=0.02
)
JOB = test_lost_dispatchers.JOB
NEIGHBOUR = test_lost_dispatchers.NEIGHBOUR
SECOND_NEIGHBOUR = "00000000000000cc"


class LostZonesTest(test_lost_dispatchers.ScriptedTestCase):
    def test_a_job_that_starts_late_gets_the_lease_of_its_neighbour(self):
        simulation = self.simulation
        simulation.succeeded_after_s = (0.9, 0.9)
        simulation.lose_placer("zone-b")
        for server in simulation.servers_of("zone-a")[1:]:
            server.cpu = 0
        simulation.zones["zone-a"].owner.read_servers(simulation.now)
        simulation.submit("zone-b", JOB, latency_s=2.0)
        simulation.submit("zone-a", NEIGHBOUR)
        simulation.submit("zone-a", SECOND_NEIGHBOUR, length_s=0.95)
        simulation.run_until(0.46)
        simulation.silence_s = (1.15, 1.15)
        simulation.lose_dispatcher("zone-b", True, False)
        simulation.stops_lost_until = 4.0
        simulation.target = "zone-b"
        simulation.run_until(1.2)
        simulation.cut_zones(3.0)
        self.check()

    def test_a_job_whose_other_zone_is_lost_after_it_was_told_of_it(self):
        simulation = self.simulation
        simulation.replaced_after_s = (0.3, 0.3)
        simulation.succeeded_after_s = (0.3, 0.3)
        simulation.submit("zone-a", JOB)
        simulation.run_until(0.5)
        simulation.stops_lost_until = 4.0
        simulation.lose_dispatcher("zone-a", True, False)
        simulation.run_until(0.8)
        simulation.lose_zone("zone-b")
        simulation.cut_zones(3.0)
        simulation.target = "zone-b"
        self.check()

    def test_a_job_whose_other_zone_is_lost_before_its_candidates_were_told(
        self,
    ):
        simulation = self.simulation
        simulation.replaced_after_s = (0.3, 0.3)
        simulation.succeeded_after_s = (0.3, 0.3)
        simulation.submit("zone-a", JOB)
        simulation.run_until(0.5)
        simulation.stops_lost_until = 4.0
        simulation.lose_dispatcher("zone-a", True, False)
        simulation.run_until(0.8)
        simulation.lose_dispatcher("zone-b", False, True)
        simulation.zones["zone-b"].known_jobs = {}
        simulation.cut_zones(3.0)
        simulation.target = "zone-b"
        self.check()

    def test_a_client_that_leaves_a_cut_off_zone_unseen(self):
        simulation = self.simulation
        simulation.cut_zones_silently(6.0)
        job = simulation.submit("zone-a", JOB, left_s=1.5)
        simulation.run_until(0.26)
        simulation.target = "zone-b"
        simulation.send_again(job, 2)
        self.check()

    def test_a_cut_off_zone_whose_records_have_expired_in_the_store(self):
        simulation = self.simulation
        simulation.cut_zones(10.0)
        directory = directory_lib.Directory()
        for port, zone in enumerate(test_lost_dispatchers.ZONES, 9000):
            incarnation = ids.new_incarnation("127.0.0.1", port)
            record = directory_lib.EntryRecord(
                str(incarnation), zone, zone, f"127.0.0.1:{port}", 0.0, 0
            )
            directory.apply(record.id, directory_lib.encode(record), 0.0)
        directory.apply(record.id, b"", 20.0)
        simulation.zones["zone-a"].owner.placer.notices.update_zones(
            directory.zones - {"zone-a"}
        )
        simulation.stops_lost_until = 4.0
        simulation.submit("zone-a", JOB)
        simulation.run_until(0.6)
        simulation.lose_dispatcher("zone-a", True, False)
        simulation.target = "zone-b"
        self.check()

    def lose_own_zone(self):
        """Loses the zone of a job whose server the next placer can't reach."""
        simulation = self.simulation
        simulation.submit("zone-a", JOB)
        simulation.run_until(0.5)
        simulation.lose_dispatcher("zone-a", True, False)
        simulation.run_until(1.2)
        simulation.succeeded_after_s = (0.3, 0.3)
        simulation.unreachable_until["zone-a-0"] = 3.0
        simulation.lose_zone("zone-a")
        simulation.target = "zone-a"

    def test_a_job_whose_own_zone_is_lost_with_a_server_out_of_reach(self):
        self.lose_own_zone()
        self.check()

    def test_a_job_whose_own_zone_is_lost_and_then_its_new_placer(self):
        simulation = self.simulation
        self.lose_own_zone()
        simulation.run_until(1.6)
        simulation.succeeded_after_s = (0.1, 0.1)
        simulation.lose_placer("zone-a")
        self.check()


class CombinedFaultsTest(unittest.TestCase):
    def check(self, seed):
        simulation = test_lost_dispatchers.Simulation(seed, FAULTS).run()
        text = simulation.describe_violations()
        self.assertEqual(simulation.server_pool.violations, [], text)

    @hypothesis.settings(max_examples=EXAMPLES, deadline=None, database=None)
    @hypothesis.seed(20261207)
    @hypothesis.given(seed=strategies.integers(0, 2**32))
    def test_no_job_runs_twice_at_once_when_faults_come_together(self, seed):
        self.check(seed)

    def test_seeds_that_failed(self):
        for seed in (41673, 42560, 44314, 45788, 46728, 46899):
            with self.subTest(seed=seed):
                self.check(seed)


if __name__ == "__main__":
    unittest.main()

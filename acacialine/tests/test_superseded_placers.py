"""Jobs that pass between placers of one zone, of which each believes to own it.

Dispatchers that start together may claim their zone one after the other.
"""

import math
import unittest

from acacialine import intake as intake_lib
from acacialine.tests import zonebuilders as build
from acacialine.tests import zonesimulation

JOB = "00000000000000aa"
TICK_S = 0.01
RETRANSMIT_S = 1.3  # after which a client sends a job again
SUSPECT_SILENCE_S = 0.6
SILENCE_S = 1.15  # until a placer counts a silent dispatcher as lost


class Owner(zonesimulation.Owner):
    """A placer that, as its host, polls no backend server without runs.

    It reads the list of servers again only after a job was handed over.
    """

    def __init__(self, simulation, epoch, now):
        super().__init__(simulation, epoch, now)
        self.placer.runs.list_sent_at = now

    def tick(self, now):
        runs = self.placer.runs
        jobs = self.placer.tables.jobs.values()
        if any(job.handed_over_at > runs.list_sent_at for job in jobs):
            self.read_servers(now)
            runs.list_sent_at = now
        for server in self.placer.tables.servers.values():
            is_idle = (
                server.runs_listed
                and not server.runs
                and not server.must_acknowledge
            )
            if is_idle:
                self.next_poll[server.id] = math.inf
            elif self.next_poll.get(server.id) == math.inf:
                self.next_poll[server.id] = now
        super().tick(now)


class Simulation(zonesimulation.Network):
    """One dispatcher with an intake, and placers by the ids of their hosts."""

    def __init__(self):
        super().__init__(1, 0.0)
        self.server_pool.add("i-0", 16000)
        self.server_pool.add("i-1", 16000)
        self.server_pool.job_length_s[JOB] = 0.9
        self.intake = intake_lib.Intake("zone-a")
        self.owners = {}

    def own(self, placer_id, epoch):
        self.owners[placer_id] = Owner(self, epoch, self.now)
        return self.owners[placer_id]

    def answer(self, owner, order):
        """The dispatcher hears of no verdict but those of the script."""

    def hand_over_fenced(self, owner):
        """The dispatcher hears that a placer is fenced from the script."""

    def share(self, owner, job_id):
        """No other dispatcher is told of a job."""

    def share_with_all_zones(self, owner, job_id):
        """There is no other zone."""
        return []

    def run(self, seconds, placer_id):
        """Runs while the dispatcher knows one placer."""
        until = self.now + seconds
        owner = self.owners[placer_id]
        info = intake_lib.PlacerInfo(
            placer_id, "zone-a", owner.epoch, 4, self.now
        )
        while self.now < until:
            self.intake.update_placers({"zone-a": info}, self.now)
            self.intake.tick(self.now)
            for order in self.intake.take_orders():
                if isinstance(order, intake_lib.HandOverJob):
                    self.owners[order.placer.peer_id].placer.submit(
                        order.submission, "session", self.now
                    )
            for each in self.owners.values():
                each.tick(self.now)
            self.advance(TICK_S)

    def resign(self, placer_id):
        self.owners[placer_id].is_closed = True
        self.intake.receive_verdict(
            placer_id, JOB, "resigned", "", 0.0, self.now
        )


class TwoZonesSimulation(Simulation):
    """The same; another zone confirms open jobs."""

    def __init__(self):
        super().__init__()
        self.server_pool.shows_progress = True
        self.server_pool.job_length_s[JOB] = 5.0

    def own(self, placer_id, epoch):
        owner = super().own(placer_id, epoch)
        owner.placer.notices.update_zones(frozenset(("zone-b",)))
        return owner

    def share_open_jobs(self, owner, job_ids, number):
        owner.placer.notices.confirm(number, "zone-b")


class IsolatedPlacerSimulation(TwoZonesSimulation):
    """The same; stops are lost."""

    def draw_stop_delays(self, run):
        return None, None


class SupersededPlacersTest(unittest.TestCase):
    def own_twice(self, simulation):
        """Returns two placers of the zone; the second one reaches only i-1."""
        first = simulation.own("first", 1)
        simulation.run(0.1, "first")
        second = simulation.own("second", 2)
        second.unreachable_until["i-0"] = 9.0
        simulation.run(2.0, "first")
        return first, second

    def start(self, simulation, placer_id, seconds=0.1, **changes):
        """Starts a job at a placer."""
        job = build.submission(job_id=JOB, **changes)
        simulation.intake.receive(job, lambda answer: None, simulation.now)
        simulation.run(seconds, placer_id)
        self.assertIn(JOB, simulation.server_pool.started_jobs)
        return job

    def test_a_job_does_not_return_to_a_placer_that_was_superseded(self):
        simulation = Simulation()
        simulation.own("first", 1)
        simulation.run(0.1, "first")
        second = simulation.own("second", 2)
        second.unreachable_until["i-0"] = 3.0
        self.start(simulation, "second")
        simulation.resign("second")
        simulation.run(0.5, "first")
        self.assertEqual(simulation.server_pool.violations, [])

    def test_a_job_of_a_placer_that_was_superseded_long_ago(self):
        simulation = Simulation()
        self.own_twice(simulation)
        self.start(simulation, "first")
        simulation.resign("first")
        simulation.run(0.5, "second")
        self.assertEqual(simulation.server_pool.violations, [])

    def test_a_job_that_another_zone_knows_of_a_placer_superseded_long_ago(
        self,
    ):
        simulation = Simulation()
        _, second = self.own_twice(simulation)
        job = self.start(simulation, "first")
        second.placer.record_remote_job(JOB, "zone-a", simulation.now)
        second.placer.submit(job, "other session", simulation.now)
        simulation.run(0.5, "first")
        self.assertEqual(simulation.server_pool.violations, [])

    def test_a_job_on_a_server_that_the_next_placer_does_not_list_yet(self):
        simulation = Simulation()
        simulation.own("first", 1)
        simulation.run(0.1, "first")
        simulation.own("second", 2)
        pool = simulation.server_pool
        first = simulation.owners["first"]
        for server in pool.servers.values():
            server.cpu = 0
        pool.add("i-2", 16000)
        first.read_servers(simulation.now)
        simulation.run(0.1, "first")
        self.start(simulation, "first")
        self.assertTrue(pool.servers["i-2"].runs)
        for server in pool.servers.values():
            server.cpu = 16000
        simulation.resign("first")
        simulation.run(0.3, "second")
        self.assertEqual(pool.violations, [])

    def test_a_job_whose_placer_does_not_hear_its_zone_any_more(self):
        # The first placer does not poll i-1, as it is idle.
        simulation = IsolatedPlacerSimulation()
        first, _ = self.own_twice(simulation)
        self.start(simulation, "first", 0.5, step=build.step(1), left_s=9.0)
        self.assertTrue(simulation.server_pool.servers["i-0"].runs)
        cut_at = simulation.now
        first.placer.record_heard("session", cut_at)
        simulation.at(
            cut_at + SUSPECT_SILENCE_S,
            lambda at: first.placer.set_suspect("session", True, at),
        )
        simulation.at(
            cut_at + SILENCE_S,
            lambda at: first.placer.remove_origin("session", True, at),
        )
        simulation.run(4.0, "second")
        self.assertEqual(simulation.server_pool.violations, [])

    def test_a_kept_job_whose_client_comes_to_another_placer_of_its_zone(self):
        # The other zones know of the job, but not this placer.
        simulation = TwoZonesSimulation()
        first, second = self.own_twice(simulation)
        job = build.submission(job_id=JOB, step=build.step(1), left_s=1.5)
        first.placer.submit(job, "session", simulation.now)
        simulation.run(1.46, "first")
        self.assertTrue(simulation.server_pool.servers["i-0"].runs)
        for is_confirmed in (False, True):
            first.placer.keep_job(JOB, "session", is_confirmed, simulation.now)
        simulation.run(RETRANSMIT_S, "first")
        second.placer.submit(job, "other session", simulation.now)
        simulation.run(0.5, "first")
        self.assertEqual(simulation.server_pool.violations, [])


if __name__ == "__main__":
    unittest.main()

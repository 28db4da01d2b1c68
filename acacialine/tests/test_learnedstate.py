"""State that candidates keep for the case that they succeed the placer."""

import unittest

from acacialine import codec
from acacialine import learnedstate
from acacialine import ownership
from acacialine import schedule
from acacialine import zonetables
from acacialine.tests import zonebuilders as build

SPEEDS = (0.6, 0.8, 1.0, 1.2, 1.6)


def new_tables(slownesses=SPEEDS, incarnation=7):
    """Returns the tables of a placer that has learned these speeds."""
    tables = zonetables.ZoneTables("zone-a")
    for number, slowness in enumerate(slownesses):
        server = build.server(
            f"i-{number}",
            incarnation=incarnation,
            announced_incarnation=incarnation,
            slowness=slowness,
        )
        tables.servers[server.id] = server
    tables.estimate_ratio["gate-check"] = 1.3
    return tables


class LearnedStateTest(unittest.TestCase):
    def setUp(self):
        self.tables = new_tables()
        self.reporter = learnedstate.Reporter("zone-a")
        self.state = learnedstate.LearnedState()

    def report(self, now):
        """Reports once, through the codec."""
        self.reporter.update(self.tables)
        report = self.reporter.report_for("candidate")
        frame = codec.encode(codec.Frame(0, report))
        self.state.record_report(codec.decode(frame).message, now)
        return report

    def successor(self, now, **changes):
        """Returns the tables of a successor that applies the state."""
        tables = new_tables([1.0] * len(SPEEDS), **changes)
        tables.estimate_ratio.clear()
        for server in tables.servers.values():
            self.state.apply_to_server(server, now)
        self.state.apply_to_queues(tables, now)
        return tables

    def test_a_successor_expects_durations_within_a_fifth(self):
        self.report(10.0)
        successor = self.successor(11.0)
        for server_id, server in self.tables.servers.items():
            known = successor.servers[server_id].slowness
            self.assertLess(abs(known / server.slowness - 1), 0.2)
        job = build.placer()._new_job(build.submission(), None, None, 0.0)
        expected_s = schedule.expected_task_s(successor, job)
        self.assertLess(abs(expected_s / (0.1 * 1.3) - 1), 0.2)

    def test_only_changed_values_are_reported_again(self):
        self.assertEqual(len(self.report(1.0).servers), len(SPEEDS))
        self.tables.servers["i-0"].slowness *= 1.01
        self.tables.servers["i-1"].slowness *= 1.2
        second = self.report(2.0)
        self.assertEqual([s.id for s in second.servers], ["i-1"])
        self.assertEqual(second.queues, [])

    def test_a_receiver_that_returns_gets_all_values(self):
        self.report(1.0)
        self.reporter.retain_receivers(["another"])
        self.assertEqual(len(self.report(2.0).servers), len(SPEEDS))

    def test_old_knowledge_fades(self):
        self.report(10.0)
        fresh = self.successor(10.0).servers["i-4"].slowness
        old = self.successor(10.0 + learnedstate.HALF_LIFE_S).servers["i-4"]
        dropped = self.successor(11.0 + learnedstate.MAX_AGE_S).servers["i-4"]
        self.assertAlmostEqual(fresh, 1.6)
        self.assertAlmostEqual(old.slowness, 1.6**0.5)
        self.assertEqual(dropped.slowness, 1.0)

    def test_unchanged_values_stay_fresh_while_reports_arrive(self):
        for now in (1.0, 100.0):
            self.report(now)
        self.assertAlmostEqual(
            self.successor(100.0).servers["i-4"].slowness, 1.6
        )

    def test_a_restarted_server_starts_anew(self):
        self.report(1.0)
        successor = self.successor(1.0, incarnation=8)
        self.assertEqual(successor.servers["i-4"].slowness, 1.0)

    def test_values_out_of_range_are_bounded(self):
        self.tables.servers["i-0"].slowness = float("inf")
        self.tables.servers["i-1"].slowness = 1e9
        self.report(1.0)
        servers = self.successor(1.0).servers
        self.assertEqual(servers["i-0"].slowness, 1.0)
        self.assertEqual(servers["i-1"].slowness, learnedstate.MAX_FACTOR)


class UninformedCandidateTest(unittest.TestCase):
    """A candidate without the list of servers would refuse all jobs."""

    def new_ownership(self, server_count, started=5.0):
        local = ownership.Ownership("a", started, 0.0)
        local.server_count = server_count
        return local

    def decide(self, local, now):
        return local.decide(now, 1_790_000_000.0, 5)

    def test_a_stopping_placer_waits_for_a_successor_that_knows_its_servers(
        self,
    ):
        local = self.new_ownership(44)
        self.assertIs(self.decide(local, 1.3), ownership.Role.PLACER)
        local.is_candidate = False
        local.record_heartbeat("b", 9.0, 0, True, 1.4, server_count=0)
        self.assertIsNone(self.decide(local, 1.4))
        local.record_heartbeat("b", 9.0, 0, True, 1.5, server_count=43)
        self.assertIs(self.decide(local, 1.5), ownership.Role.FOLLOWER)

    def test_a_placer_keeps_its_zone_from_a_stronger_uninformed_member(self):
        local = self.new_ownership(44)
        self.decide(local, 1.3)
        for now in (1.4, 3.0, 5.0):
            local.record_heartbeat("b", 9.0, 0, True, now, 4.0, 3)
        self.assertIsNone(self.decide(local, 5.0))

    def test_an_informed_candidate_claims_before_an_older_uninformed_one(self):
        informed = self.new_ownership(44, started=9.0)
        informed.record_heartbeat("b", 1.0, 0, True, 1.3, server_count=0)
        self.assertIs(self.decide(informed, 1.3), ownership.Role.PLACER)
        uninformed = self.new_ownership(0, started=1.0)
        uninformed.record_heartbeat("b", 9.0, 0, True, 1.3, server_count=44)
        self.assertIsNone(self.decide(uninformed, 1.3))

    def test_candidates_that_start_together_do_not_both_claim(self):
        # Each has just read the list, which the other's heartbeat lacks.
        older, younger = (self.new_ownership(44, started=s) for s in (1.0, 9.0))
        older.record_heartbeat("b", 9.0, 0, True, 0.6, server_count=0)
        younger.record_heartbeat("b", 1.0, 0, True, 0.6, server_count=0)
        self.assertIsNone(self.decide(younger, 0.8))
        self.assertIs(self.decide(older, 0.8), ownership.Role.PLACER)

    def test_candidates_that_all_know_no_server_claim_by_rank(self):
        oldest = self.new_ownership(0, started=1.0)
        oldest.record_heartbeat("b", 9.0, 0, True, 1.3)
        self.assertIs(self.decide(oldest, 1.3), ownership.Role.PLACER)


class UnreadListTest(unittest.TestCase):
    """Jobs that arrive before the placer has any list of servers."""

    def setUp(self):
        self.placer = build.placer()
        self.placer.tables.servers.clear()
        self.placer.tables.is_list_known = False

    def test_a_job_waits_for_the_list(self):
        self.placer.submit(build.submission(), "origin", 0.0)
        self.placer.refuse_unservable_jobs(0.01)
        self.assertEqual(build.answers(self.placer.take_orders()), [])
        self.placer.runs.apply_servers([build.server()], 0.1)
        self.placer.tables.is_list_known = True
        self.assertIn("00000000000000aa", self.placer.tables.jobs)

    def test_a_job_goes_to_another_zone_with_free_slots(self):
        self.placer.admission.free_slots_elsewhere = 4
        self.placer.submit(build.submission(), "origin", 0.0)
        (answer,) = build.answers(self.placer.take_orders())
        self.assertEqual(answer.reason, "unservable")

    def test_a_job_that_waited_too_long_is_refused_as_not_run(self):
        self.placer.submit(build.submission(), "origin", 0.0)
        self.placer.tick(1.99)
        (answer,) = build.answers(self.placer.take_orders())
        self.assertIs(answer.verdict, zonetables.Verdict.NOT_RUN)


if __name__ == "__main__":
    unittest.main()

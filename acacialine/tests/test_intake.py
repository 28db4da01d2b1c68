"""Requests on their way to a placer, and what callers are told."""

import unittest

from acacialine import intake as intake_lib
from acacialine.tests import zonebuilders as build

JOB = "00000000000000aa"
NOT_RUN = intake_lib.AnswerKind.NOT_RUN


def target(peer_id="p1", zone="zone-a", epoch=1, free=0, at=0.0):
    return intake_lib.Target(peer_id, zone, epoch, free, at)


class IntakeTest(unittest.TestCase):
    def setUp(self):
        self.answers = []
        self.intake = intake_lib.Intake("zone-a")

    def receive(self, now=0.0, **changes):
        self.intake.receive(
            build.submission(**changes), self.answers.append, now
        )
        return self.tick(now)

    def tick(self, now):
        self.intake.tick(now)
        return self.orders()

    def orders(self, kind=intake_lib.HandOver):
        taken = self.intake.take_orders()
        return [o for o in taken if isinstance(o, kind)]

    def targets(self, now, *found):
        self.intake.update_targets({t.zone: t for t in found}, now)

    def verdict(self, peer_id, verdict, reason="", now=0.1):
        self.intake.verdict(peer_id, JOB, verdict, reason, 2.0, now)
        return self.orders()

    def test_a_job_goes_to_the_placer_of_the_own_zone(self):
        self.targets(0.0, target(), target("p2", "zone-b", free=20))
        (order,) = self.receive()
        self.assertEqual(order.target.peer_id, "p1")
        self.verdict("p1", "completed")
        (answer,) = self.answers
        self.assertIs(answer.kind, intake_lib.AnswerKind.COMPLETED)

    def test_a_refusal_tries_a_zone_with_room_once(self):
        self.targets(0.0, target(), target("p2", "zone-b", free=20))
        self.receive()
        (order,) = self.verdict("p1", "not_run", "overloaded")
        self.assertEqual(order.target.peer_id, "p2")
        self.assertTrue(order.submission.is_spilled)
        self.assertEqual(self.verdict("p2", "not_run", "overloaded"), [])
        (answer,) = self.answers
        self.assertIs(answer.kind, NOT_RUN)
        self.assertEqual(answer.retry_after_s, 2.0)

    def test_a_refusal_is_answered_at_once_without_room_elsewhere(self):
        self.targets(0.0, target(), target("p2", "zone-b", free=1))
        self.receive()
        self.assertEqual(self.verdict("p1", "not_run", "overloaded"), [])
        self.assertIs(self.answers[0].kind, NOT_RUN)

    def test_a_job_of_a_lost_placer_goes_to_its_successor(self):
        self.targets(0.0, target())
        self.receive()
        self.targets(0.3, target("p3", epoch=2))
        (order,) = self.tick(0.3)
        self.assertEqual(order.target.peer_id, "p3")
        self.assertEqual(order.submission.handovers, 1)

    def test_a_job_of_a_lost_placer_waits_before_another_zone(self):
        # Its runs may hold leases for a second.
        self.targets(0.0, target())
        self.receive(left_s=5.0)
        other = target("p2", "zone-b", free=20, at=0.9)
        self.targets(0.3, other)
        self.assertEqual(self.tick(0.9), [])
        # Baekdu rolling-storm 762286807343: a successor that this entry does
        # not know may renew them just before they lapse.
        other = target("p2", "zone-b", free=20, at=2.6)
        self.targets(2.6, other)
        self.assertEqual(self.tick(2.6), [])
        other = target("p2", "zone-b", free=20, at=2.8)
        self.targets(2.8, other)
        (order,) = self.tick(2.8)
        self.assertEqual(order.target.peer_id, "p2")
        self.assertEqual(order.submission.handovers, 1)

    def test_a_resigned_placer_counts_as_lost(self):
        # Baekdu trouble-2: such jobs were handed on as never started, and
        # refused with 429 while a run of theirs was going on.
        self.targets(0.0, target())
        self.receive()
        self.verdict("p1", "resigned")
        request = self.intake.requests[JOB]
        self.assertEqual(request.handovers, 1)
        self.targets(0.2, target("p3", epoch=2))
        (order,) = self.tick(0.2)
        self.assertEqual(order.submission.handovers, 1)

    def test_a_job_that_no_placer_took_is_not_run(self):
        self.receive(left_s=0.5)
        self.tick(0.5)
        self.assertIs(self.answers[0].kind, NOT_RUN)

    def test_a_job_at_a_placer_is_unknown_at_its_deadline(self):
        # Its run may still end; failed would be false, and so not run.
        self.targets(0.0, target())
        self.receive(left_s=0.5)
        self.tick(0.5)
        self.assertIs(self.answers[0].kind, intake_lib.AnswerKind.UNKNOWN)

    def test_a_job_is_kept_after_its_deadline_and_all_zones_know(self):
        # Ticketworks trouble-2 813414482892: the next try came to another
        # zone and started tasks beside those that ran on.
        self.intake.zones = frozenset({"zone-a", "zone-b"})
        self.targets(0.0, target(), target("p2", "zone-b"))
        self.receive(left_s=0.5)
        self.intake.tick(0.5)
        taken = self.intake.take_orders()
        self.assertIn(intake_lib.Keep("p1", JOB), taken)
        self.assertIn(intake_lib.Announce("p2", JOB, "zone-a"), taken)

    def test_a_spilled_job_that_is_kept_is_announced_to_the_own_zone(self):
        self.targets(0.0, target(), target("p2", "zone-b", free=20))
        self.receive(left_s=0.5)
        self.verdict("p1", "not_run", "overloaded")
        self.intake.tick(0.5)
        taken = self.intake.take_orders()
        self.assertIn(intake_lib.Keep("p2", JOB), taken)
        self.assertIn(intake_lib.Announce("p1", JOB, "zone-b"), taken)

    def test_a_job_is_not_kept_while_a_zone_can_not_be_told(self):
        self.intake.zones = frozenset({"zone-a", "zone-b"})
        self.targets(0.0, target())
        self.receive(left_s=0.5)
        (order,) = self.withdrawn(0.5)
        self.assertEqual(order.peer_id, "p1")

    def withdrawn(self, now):
        self.intake.tick(now)
        return self.orders(intake_lib.Withdraw)

    def test_a_job_goes_to_the_zone_that_runs_it_on(self):
        self.targets(0.0, target(), target("p2", "zone-b"))
        self.receive()
        (order,) = self.verdict("p1", "elsewhere", "zone-b")
        self.assertEqual(order.target.peer_id, "p2")
        self.assertEqual(order.submission.handovers, 1)

    def test_a_job_waits_for_the_zone_that_runs_it_on(self):
        self.targets(0.0, target())
        self.receive(left_s=1.0)
        self.assertEqual(self.verdict("p1", "elsewhere", "zone-b"), [])
        self.assertEqual(self.tick(0.5), [])
        self.tick(1.0)
        self.assertIs(self.answers[0].kind, intake_lib.AnswerKind.UNKNOWN)

    def test_verdicts_of_an_earlier_placer_are_ignored(self):
        self.targets(0.0, target())
        self.receive()
        self.targets(0.3, target("p3", epoch=2))
        self.tick(0.3)
        self.verdict("p1", "not_run", "overloaded")
        self.assertEqual(self.answers, [])

    def test_the_job_ends_when_its_last_caller_leaves(self):
        self.targets(0.0, target())
        self.receive()
        other = []
        self.intake.receive(build.submission(), other.append, 0.1)
        self.intake.leave(JOB, self.answers.append)
        self.assertEqual(self.orders(intake_lib.Withdraw), [])


class IntakeLeaveTest(unittest.TestCase):
    def test_the_placer_is_told_when_nobody_waits(self):
        intake = intake_lib.Intake("zone-a")
        intake.update_targets({"zone-a": target()}, 0.0)

        def notify(answer):
            self.fail(f"nobody waits for {answer}")

        intake.receive(build.submission(), notify, 0.0)
        intake.tick(0.0)
        intake.leave(JOB, notify)
        taken = intake.take_orders()
        self.assertEqual(
            [o.peer_id for o in taken if isinstance(o, intake_lib.Withdraw)],
            ["p1"],
        )
        self.assertEqual(intake.requests, {})


if __name__ == "__main__":
    unittest.main()

"""Handover of requests to placers, and the answers to clients."""

import unittest

from acacialine import intake as intake_lib
from acacialine.tests import zonebuilders as build

JOB = "00000000000000aa"
NOT_RUN = intake_lib.AnswerKind.NOT_RUN


def placer(peer_id="p1", zone="zone-a", epoch=1, free=0, at=0.0):
    return intake_lib.PlacerInfo(peer_id, zone, epoch, free, at)


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
        return self.take_orders()

    def take_orders(self, kind=intake_lib.HandOverJob):
        orders = self.intake.take_orders()
        return [o for o in orders if isinstance(o, kind)]

    def set_placers(self, now, *placers):
        self.intake.update_placers({p.zone: p for p in placers}, now)

    def receive_verdict(self, peer_id, verdict, reason="", now=0.1, job_id=JOB):
        self.intake.receive_verdict(peer_id, job_id, verdict, reason, 2.0, now)
        return self.take_orders()

    def test_a_job_goes_to_the_placer_of_the_local_zone(self):
        self.set_placers(0.0, placer(), placer("p2", "zone-b", free=20))
        (order,) = self.receive()
        self.assertEqual(order.placer.peer_id, "p1")
        self.receive_verdict("p1", "completed")
        (answer,) = self.answers
        self.assertIs(answer.kind, intake_lib.AnswerKind.COMPLETED)

    def test_a_refused_job_spills_once_to_a_zone_with_free_slots(self):
        self.set_placers(0.0, placer(), placer("p2", "zone-b", free=20))
        self.receive()
        (order,) = self.receive_verdict("p1", "not_run", "overloaded")
        self.assertEqual(order.placer.peer_id, "p2")
        self.assertTrue(order.submission.is_spilled)
        self.assertEqual(
            self.receive_verdict("p2", "not_run", "overloaded"), []
        )
        (answer,) = self.answers
        self.assertIs(answer.kind, NOT_RUN)
        self.assertEqual(answer.retry_after_s, 2.0)

    def test_each_report_of_free_slots_allows_spilling_again(self):
        # Guards against spills that were subtracted for ever, so that a
        # dispatcher spilled three jobs in its life.
        for number in range(12):
            at = number * 0.4
            job_id = f"{number:016x}"
            other = placer("p2", "zone-b", free=8, at=at)
            self.set_placers(at, placer(at=at), other)
            self.receive(at, job_id=job_id)
            (order,) = self.receive_verdict(
                "p1", "not_run", "overloaded", job_id=job_id
            )
            self.assertEqual(order.placer.peer_id, "p2")
            self.receive_verdict("p2", "completed", job_id=job_id)

    def test_spilled_tasks_count_until_the_next_report(self):
        other = placer("p2", "zone-b", free=5)
        spilled = 0
        for _ in range(4):
            self.set_placers(0.0, placer(), other)
            self.receive()
            spilled += len(self.receive_verdict("p1", "not_run", "overloaded"))
            self.intake.requests.clear()
        self.assertEqual(spilled, 2)  # jobs of two tasks into five slots

    def test_a_refusal_is_answered_at_once_without_free_slots_elsewhere(self):
        self.set_placers(0.0, placer(), placer("p2", "zone-b", free=1))
        self.receive()
        self.assertEqual(
            self.receive_verdict("p1", "not_run", "overloaded"), []
        )
        self.assertIs(self.answers[0].kind, NOT_RUN)

    def test_a_job_of_a_lost_placer_goes_to_its_successor(self):
        self.set_placers(0.0, placer())
        self.receive()
        self.set_placers(0.3, placer("p3", epoch=2))
        (order,) = self.tick(0.3)
        self.assertEqual(order.placer.peer_id, "p3")
        self.assertEqual(order.submission.handovers, 1)

    def test_a_job_of_a_lost_placer_waits_for_its_leases_before_another_zone(
        self,
    ):
        # Its runs may hold leases for 1 s.
        self.set_placers(0.0, placer())
        self.receive(left_s=5.0)
        other = placer("p2", "zone-b", free=20, at=0.9)
        self.set_placers(0.3, other)
        self.assertEqual(self.tick(0.9), [])
        # A successor that this dispatcher does not know may renew them just
        # before they expire (Baekdu rolling-storm 762286807343).
        other = placer("p2", "zone-b", free=20, at=2.6)
        self.set_placers(2.6, other)
        self.assertEqual(self.tick(2.6), [])
        other = placer("p2", "zone-b", free=20, at=2.8)
        self.set_placers(2.8, other)
        (order,) = self.tick(2.8)
        self.assertEqual(order.placer.peer_id, "p2")
        self.assertEqual(order.submission.handovers, 1)

    def test_a_job_of_a_lost_placer_goes_to_no_placer_of_an_earlier_epoch(self):
        self.set_placers(0.0, placer("p2", epoch=2))
        self.receive()
        self.assertEqual(self.receive_verdict("p2", "resigned"), [])
        self.set_placers(0.2, placer("p1", epoch=1))
        self.assertEqual(self.tick(0.2), [])
        self.set_placers(0.3, placer("p3", epoch=3))
        (order,) = self.tick(0.3)
        self.assertEqual(order.placer.peer_id, "p3")

    def test_a_resigned_placer_counts_as_lost(self):
        # Guards against a second placer that treats the job as never started
        # and refuses it with 429 while a run of it continues (Baekdu
        # trouble-2).
        self.set_placers(0.0, placer())
        self.receive()
        self.receive_verdict("p1", "resigned")
        request = self.intake.requests[JOB]
        self.assertEqual(request.handovers, 1)
        self.set_placers(0.2, placer("p3", epoch=2))
        (order,) = self.tick(0.2)
        self.assertEqual(order.submission.handovers, 1)

    def test_a_job_that_no_placer_took_is_not_run(self):
        self.receive(left_s=0.5)
        self.tick(0.5)
        self.assertIs(self.answers[0].kind, NOT_RUN)

    def test_a_job_at_a_placer_is_unknown_at_its_deadline(self):
        # Its run may still end well, so neither "failed" nor "not run" holds.
        self.set_placers(0.0, placer())
        self.receive(left_s=0.5)
        self.tick(0.5)
        self.assertIs(self.answers[0].kind, intake_lib.AnswerKind.UNKNOWN)

    def test_a_job_is_kept_after_its_deadline_and_announced_to_all_zones(self):
        # Guards against a retry that arrives in another zone and starts tasks
        # a second time (Ticketworks trouble-2 813414482892).
        self.intake.zones = frozenset({"zone-a", "zone-b"})
        self.set_placers(0.0, placer(), placer("p2", "zone-b"))
        self.receive(left_s=0.5)
        self.intake.tick(0.5)
        orders = self.intake.take_orders()
        self.assertIn(intake_lib.KeepJob("p1", JOB, False), orders)
        self.assertIn(intake_lib.AnnounceKeptJob("p2", JOB, "zone-a"), orders)

    def test_a_spilled_job_that_is_kept_is_announced_to_the_local_zone(self):
        self.intake.zones = frozenset({"zone-a", "zone-b"})
        self.set_placers(0.0, placer(), placer("p2", "zone-b", free=20))
        self.receive(left_s=0.5)
        self.receive_verdict("p1", "not_run", "overloaded")
        self.intake.tick(0.5)
        orders = self.intake.take_orders()
        self.assertIn(intake_lib.KeepJob("p2", JOB, False), orders)
        self.assertIn(intake_lib.AnnounceKeptJob("p1", JOB, "zone-b"), orders)

    def test_a_dispatcher_that_exits_answers_all_requests(self):
        # A planned stop cut off the requests that were open at its end, also
        # those of which no task had started (review/8).
        self.set_placers(0.0, placer())
        self.receive()
        self.intake.answer_all(5.0)
        (order,) = self.take_orders(intake_lib.CancelJob)
        self.assertEqual(order.job_id, JOB)
        (answer,) = self.answers
        self.assertIs(answer.kind, intake_lib.AnswerKind.UNKNOWN)
        self.assertFalse(self.intake.has_waiting_clients)

    def test_a_dispatcher_that_exits_answers_cancellations(self):
        # Their clients were cut off, as only requests were waited for
        # (review/9).
        outcomes = []
        self.intake.zones = frozenset({"zone-a", "zone-b"})
        self.set_placers(0.0, placer())
        self.intake.cancel_for_all(JOB, outcomes.append, 0.0)
        self.intake.cancellations.receive_reply("p1", JOB, False, 0.1)
        self.assertTrue(self.intake.has_waiting_clients)
        self.intake.answer_all(0.5)
        self.assertEqual(len(outcomes), 1)
        self.assertFalse(self.intake.has_waiting_clients)

    def test_a_job_is_not_kept_while_a_zone_is_unreachable(self):
        self.intake.zones = frozenset({"zone-a", "zone-b"})
        self.set_placers(0.0, placer())
        self.receive(left_s=0.5)
        (order,) = self.cancel_orders(0.5)
        self.assertEqual(order.peer_id, "p1")

    def test_a_job_is_not_kept_while_the_zones_are_unknown(self):
        self.set_placers(0.0, placer())
        self.receive(left_s=0.5)
        (order,) = self.cancel_orders(0.5)
        self.assertEqual(order.peer_id, "p1")

    def keep_job(self):
        """Lets a job expire that is then kept in zone-a."""
        self.intake.zones = frozenset({"zone-a", "zone-b"})
        self.set_placers(0.0, placer(), placer("p2", "zone-b"))
        self.receive(left_s=0.5)
        self.assertEqual(self.cancel_orders(0.5), [])

    def test_a_kept_job_that_a_zone_does_not_confirm_is_cancelled(self):
        self.keep_job()
        self.assertEqual(self.cancel_orders(0.6), [])
        (order,) = self.cancel_orders(0.75)
        self.assertEqual(order.peer_id, "p1")
        self.assertFalse(self.intake.is_busy)

    def test_a_confirmed_kept_job_runs_on(self):
        self.keep_job()
        self.intake.take_orders()
        self.intake.confirm_kept_job("p2", JOB)
        keep = intake_lib.KeepJob("p1", JOB, True)
        self.assertEqual(self.intake.take_orders(), [keep])
        for now in (0.75, 2.0, 3.0):
            self.assertEqual(self.cancel_orders(now), [])
        self.assertFalse(self.intake.is_busy)

    def test_a_kept_job_is_cancelled_when_another_zone_loses_its_placer(self):
        self.keep_job()
        self.intake.confirm_kept_job("p2", JOB)
        self.set_placers(0.9, placer(), placer("p3", "zone-b", epoch=2))
        (order,) = self.cancel_orders(0.9)
        self.assertEqual((order.peer_id, order.job_id), ("p1", JOB))

    def test_a_kept_job_that_returns_is_not_cancelled_any_more(self):
        self.keep_job()
        self.intake.confirm_kept_job("p2", JOB)
        self.receive(0.8)
        self.set_placers(0.9, placer(), placer("p3", "zone-b", epoch=2))
        self.assertEqual(self.cancel_orders(0.9), [])

    def test_the_local_placer_learns_where_an_abandoned_job_ran(self):
        # Else it refuses the job as not run when its client sends it again.
        self.set_placers(0.0, placer(), placer("p2", "zone-b", free=20))
        notify = self.answers.append
        self.intake.receive(build.submission(), notify, 0.0)
        self.tick(0.0)
        self.receive_verdict("p1", "not_run", "overloaded")
        self.intake.remove_client(JOB, notify, 0.0)
        self.assertIn(
            intake_lib.AnnounceKeptJob("p1", JOB, "zone-b"),
            self.intake.take_orders(),
        )

    def announced(self, now):
        self.intake.tick(now)
        return self.take_orders(intake_lib.AnnounceKeptJob)

    def test_all_placers_learn_of_a_job_that_expired_without_one(self):
        # Property test of lost runs, seed 4: the placer was lost, the job was
        # answered 504 and ran a second time in the zone it was sent to next.
        self.set_placers(0.0, placer(), placer("p2", "zone-b"))
        self.receive(left_s=1.0)
        self.set_placers(0.5, placer("p2", "zone-b"))
        expected = intake_lib.AnnounceKeptJob("p2", JOB, "zone-a")
        self.assertEqual(self.announced(1.0), [expected])
        self.set_placers(1.2, placer("p3", epoch=2), placer("p2", "zone-b"))
        expected = intake_lib.AnnounceKeptJob("p3", JOB, "zone-a")
        self.assertEqual(self.announced(1.2), [expected])
        (order,) = self.receive(1.3)
        self.assertEqual(order.placer.peer_id, "p3")
        self.assertEqual(order.submission.handovers, 1)

    def test_all_placers_learn_of_a_cancellation_that_may_be_lost(self):
        # Property test of kept jobs, seed 7932.
        for lost_at, is_announced in ((0.5, True), (1.5, False)):
            self.setUp()
            self.set_placers(0.0, placer(), placer("p2", "zone-b"))
            notify = self.answers.append
            self.intake.receive(build.submission(), notify, 0.0)
            self.tick(0.0)
            self.intake.remove_client(JOB, notify, 0.1)
            self.set_placers(lost_at, placer("p2", "zone-b"))
            announced = self.announced(lost_at)
            self.assertEqual(bool(announced), is_announced)

    def cancel_orders(self, now):
        self.intake.tick(now)
        return self.take_orders(intake_lib.CancelJob)

    def test_a_job_goes_to_the_zone_that_keeps_it_running(self):
        self.set_placers(0.0, placer(), placer("p2", "zone-b"))
        self.receive()
        (order,) = self.receive_verdict("p1", "elsewhere", "zone-b")
        self.assertEqual(order.placer.peer_id, "p2")
        self.assertEqual(order.submission.handovers, 1)

    def test_a_job_waits_for_the_zone_that_keeps_it_running(self):
        self.set_placers(0.0, placer())
        self.receive(left_s=1.0)
        self.assertEqual(self.receive_verdict("p1", "elsewhere", "zone-b"), [])
        self.assertEqual(self.tick(0.5), [])
        self.tick(1.0)
        self.assertIs(self.answers[0].kind, intake_lib.AnswerKind.UNKNOWN)

    def test_verdicts_of_an_earlier_placer_are_ignored(self):
        self.set_placers(0.0, placer())
        self.receive()
        self.set_placers(0.3, placer("p3", epoch=2))
        self.tick(0.3)
        self.receive_verdict("p1", "not_run", "overloaded")
        self.assertEqual(self.answers, [])

    def test_the_job_continues_while_another_client_waits(self):
        self.set_placers(0.0, placer())
        self.receive()
        other = []
        self.intake.receive(build.submission(), other.append, 0.1)
        self.intake.remove_client(JOB, self.answers.append, 0.1)
        self.assertEqual(self.take_orders(intake_lib.CancelJob), [])


class IntakeLastClientTest(unittest.TestCase):
    def test_the_job_is_cancelled_when_its_last_client_leaves(self):
        intake = intake_lib.Intake("zone-a")
        intake.update_placers({"zone-a": placer()}, 0.0)

        def notify(answer):
            self.fail(f"unexpected answer {answer}")

        intake.receive(build.submission(), notify, 0.0)
        intake.tick(0.0)
        intake.remove_client(JOB, notify, 0.0)
        orders = intake.take_orders()
        self.assertEqual(
            [o.peer_id for o in orders if isinstance(o, intake_lib.CancelJob)],
            ["p1"],
        )
        self.assertEqual(intake.requests, {})


if __name__ == "__main__":
    unittest.main()

"""The forecast by sizes and speeds, on small zones."""

import unittest
from unittest import mock

import attrs

from acacialine import lookahead
from acacialine import placementpolicy
from acacialine import placer as placer_lib
from acacialine import resources
from acacialine import schedule
from acacialine import zonetables
from acacialine.tests import zonebuilders as build


def waiting_job(placer, job_id="00000000000000bb", now=0.0, **changes):
    """Adds a job whose tasks wait; returns it."""
    submission = build.submission(job_id, **changes)
    job = placer._new_job(submission, "dispatcher", None, now)
    placer.tables.jobs[job.id] = job
    return job


def new_job(placer, now=0.0, **changes):
    """Returns a job that has not been admitted."""
    return placer._new_job(build.submission(**changes), "dispatcher", None, now)


class ForecastTest(unittest.TestCase):
    def test_tasks_that_do_not_fit_together_end_one_after_the_other(self):
        # By slots of the job's own 7 cores two of the three tasks would start
        # at once, though a waiting task takes 10 of the 16 cores.
        placer = build.placer()
        waiting_job(placer, step=build.step(1, 10000, 0.1))
        late_queue = build.queue(target_latency_s=1.0)
        job = new_job(placer, queue=late_queue, step=build.step(1, 7000, 0.2))
        sized = lookahead.new_forecast(placer.tables, job, 0.0)
        self.assertAlmostEqual(sized.end, 0.3)
        self.assertFalse(sized.starts_now)
        by_slots = schedule.new_forecast(placer.tables, job, 0.0)
        self.assertAlmostEqual(by_slots.end, 0.2)

    def test_small_tasks_fit_beside_a_large_one(self):
        placer = build.placer()
        waiting_job(placer, step=build.step(1, 10000, 0.1))
        late_queue = build.queue(target_latency_s=1.0)
        job = new_job(placer, queue=late_queue, step=build.step(2, 3000, 0.2))
        sized = lookahead.new_forecast(placer.tables, job, 0.0)
        self.assertAlmostEqual(sized.end, 0.2)
        self.assertTrue(sized.starts_now)

    def test_a_wide_job_ends_with_its_task_on_the_slow_server(self):
        placer = build.placer(build.server("i-1"), build.server("i-2"))
        placer.tables.servers["i-2"].slowness = 1.6
        waiting_job(placer, step=build.step(1, 1000, 0.01))
        job = new_job(
            placer,
            queue=build.queue(target_latency_s=1.0),
            step=build.step(2, 10000, 0.2),
        )
        sized = lookahead.new_forecast(placer.tables, job, 0.0)
        self.assertAlmostEqual(sized.end, 0.32)

    def test_memory_and_gpu_count(self):
        placer = build.placer()
        for demand in (
            resources.Resources(1000, 20000, 0),
            resources.Resources(1000, 0, 1),
        ):
            step = attrs.evolve(build.step(1, 1000, 0.1), demand=demand)
            placer.tables.servers["i-1"].resize(
                resources.Resources(16000, 32768, 1)
            )
            placer.tables.jobs.clear()
            waiting_job(placer, step=step)
            job = new_job(
                placer, queue=build.queue(target_latency_s=1.0), step=step
            )
            sized = lookahead.new_forecast(placer.tables, job, 0.0)
            self.assertAlmostEqual(sized.end, 0.2, msg=demand)

    def test_a_task_that_fits_on_no_server_has_no_end(self):
        placer = build.placer()
        waiting_job(placer)
        job = new_job(placer, step=build.step(1, 17000, 0.1))
        sized = lookahead.new_forecast(placer.tables, job, 0.0)
        self.assertIsNone(sized.end)

    def test_without_waiting_work_it_is_the_forecast_by_slots(self):
        placer = build.placer()
        job = new_job(placer)
        self.assertEqual(
            lookahead.new_forecast(placer.tables, job, 0.0),
            schedule.new_forecast(placer.tables, job, 0.0),
        )

    def test_work_beyond_the_planned_tasks_delays_the_end(self):
        # A bound on the planned tasks must not make the rest of the queue
        # invisible: the job would be accepted behind it.
        placer = build.placer()
        count = 2 * lookahead.MAX_PLANNED_TASKS
        waiting_job(placer, step=build.step(count, 8000, 0.1))
        job = new_job(
            placer,
            queue=build.queue(target_latency_s=1.0),
            step=build.step(1, 8000, 0.1),
        )
        sized = lookahead.new_forecast(placer.tables, job, 0.0)
        self.assertAlmostEqual(sized.end, count * 0.1 / 2 + 0.1)

    def test_a_server_with_an_isolated_run_is_free_after_it(self):
        placer = build.placer()
        placer.submit(
            build.submission(step=build.step(1, 1000, 0.5)), "dispatcher", 0.0
        )
        placer.tick(0.0)
        (run,) = build.starts(placer.take_orders())
        run.is_isolated = True
        run.server.isolated_runs = 1
        job = new_job(
            placer,
            job_id="00000000000000cc",
            queue=build.queue(target_latency_s=1.0),
            step=build.step(1, 1000, 0.1),
        )
        sized = lookahead.new_forecast(placer.tables, job, 0.0)
        self.assertAlmostEqual(sized.end, 0.6)


class AdmissionTest(unittest.TestCase):
    def test_a_refusal_while_a_place_is_free_is_counted(self):
        policy = placementpolicy.PlacementPolicy(sized_forecast=True)
        placer = placer_lib.new_placer("zone-a", 0.3, 0.0, policy=policy)
        placer.runs.apply_servers([build.server()], 0.0)
        for server in placer.tables.servers.values():
            server.runs_listed = True
        for number in range(3):
            waiting_job(placer, f"{number:016x}", step=build.step(1, 9000, 0.4))
        job = build.submission(
            "00000000000000dd", step=build.step(2, 7000, 0.5)
        )
        placer.submit(job, "dispatcher", 0.0)
        (answer,) = build.answers(placer.take_orders())
        self.assertEqual(answer.reason, "overloaded")
        counters = placer.tables.counters
        self.assertEqual(counters["contention.refused_while_free"], 1)


class PlacementTest(unittest.TestCase):
    def placer(self, *servers):
        policy = placementpolicy.PlacementPolicy(look_ahead=True)
        built = placer_lib.new_placer("zone-a", 0.3, 0.0, policy=policy)
        built.runs.apply_servers(list(servers), 0.0)
        built.admission.total_slots = 100  # no job passes its admission
        for server in built.tables.servers.values():
            server.runs_listed = True
            server.lease_until = 1.0
        return built

    def start(self, placer, job_id, step, now=0.0, **queue):
        """Adds a job that waits, and returns the servers of all starts."""
        waiting_job(
            placer, job_id, now=now, step=step, queue=build.queue(**queue)
        )
        placer.tick(now)
        runs = build.starts(placer.take_orders())
        for run in runs:
            run.confirm(now)
            run.state = zonetables.RunState.RUNNING
        return [(run.key.job_id, run.server.id) for run in runs]

    def test_a_small_task_does_not_take_the_room_of_a_more_urgent_large_one(
        self,
    ):
        placer = self.placer(build.server("i-1"))
        self.start(placer, "aa", build.step(1, 8000, 0.1))
        # 12 cores wait for the end of the first task; 8 cores are free.
        self.assertEqual(
            self.start(placer, "bb", build.step(1, 12000, 0.1)), []
        )
        long_step = build.step(1, 6000, 0.5)
        self.assertEqual(
            self.start(placer, "cc", long_step, target_latency_s=1.0), []
        )
        counters = placer.tables.counters
        self.assertEqual(counters["contention.reserved"], 1)
        self.assertGreater(counters["contention.held_back"], 0)
        # Ends before the reservation, also with the spread of estimates.
        short_step = build.step(1, 6000, 0.06)
        self.assertEqual(
            self.start(placer, "dd", short_step, target_latency_s=1.0),
            [("dd", "i-1")],
        )
        self.assertEqual(counters["contention.backfilled"], 1)

    def test_backfill_counts_the_spread_of_estimates(self):
        placer = self.placer(build.server("i-1"))
        self.start(placer, "aa", build.step(1, 8000, 0.1))
        self.start(placer, "bb", build.step(1, 12000, 0.1))
        placer.tables.estimate_spread["gate-check"] = 0.6
        # 0.06 s may last 0.105 s, longer than the 0.1 s until the reservation.
        self.assertEqual(
            self.start(
                placer, "dd", build.step(1, 6000, 0.06), target_latency_s=1.0
            ),
            [],
        )

    def stale_job(self, placer, job_id):
        """Adds a job whose dispatcher was last heard at 0.05."""
        waiting_job(
            placer,
            job_id,
            step=build.step(1, 12000, 0.1),
            queue=build.queue(target_latency_s=1.0),
        )
        job = placer.tables.jobs[job_id]
        job.origins_heard_at = dict.fromkeys(job.origins, 0.05)

    def test_a_lease_of_another_service_keeps_no_reservation_away(self):
        for lease_until in (1.0, 1.31):
            placer = self.placer(
                build.server("i-1"), build.server("i-2", service="other")
            )
            placer.tables.servers["i-2"].lease_until = lease_until
            self.start(placer, "aa", build.step(1, 8000, 0.5))
            self.stale_job(placer, "bb")
            started = self.start(
                placer,
                "cc",
                build.step(1, 6000, 0.8),
                now=0.3,
                target_latency_s=2.0,
            )
            self.assertEqual(started, [])

    def test_jobs_that_wait_for_leases_to_end_are_not_tried_one_by_one(self):
        placer = self.placer(build.server("i-1"))
        placer.tables.servers["i-1"].lease_until = 1.31
        for number in range(200):
            self.stale_job(placer, f"{number:016x}")
        starter = type(placer._starter)
        with mock.patch.object(
            starter,
            "_choose_server",
            autospec=True,
            side_effect=starter._choose_server,
        ) as choose:
            placer.tick(0.3)
        self.assertEqual(choose.call_count, 1)

    def test_a_task_that_fits_beside_the_reserved_one_starts(self):
        placer = self.placer(build.server("i-1"))
        self.start(placer, "aa", build.step(1, 8000, 0.1))
        self.start(placer, "bb", build.step(1, 12000, 0.1))
        self.assertEqual(
            self.start(
                placer, "cc", build.step(1, 4000, 0.5), target_latency_s=1.0
            ),
            [("cc", "i-1")],
        )

    def test_a_task_waits_for_a_fast_server_on_which_it_ends_in_target(self):
        placer = self.placer(build.server("i-1"), build.server("i-2"))
        placer.tables.servers["i-2"].slowness = 3.0
        self.start(placer, "aa", build.step(1, 10000, 0.02))
        # The target is 0.22 s: 0.3 s on the slow server are too long, and
        # 0.12 s with the wait are not.
        step = build.step(1, 10000, 0.1)
        self.assertEqual(self.start(placer, "bb", step), [])
        counters = placer.tables.counters
        self.assertEqual(counters["contention.waited_for_faster"], 1)
        # Once waiting does not help it starts on the slow server.
        placer.tick(0.13)
        runs = build.starts(placer.take_orders())
        self.assertEqual([run.server.id for run in runs], ["i-2"])

    def test_a_task_fills_the_smallest_hole_under_contention(self):
        placer = self.placer(
            build.server("i-1"), build.server("i-2"), build.server("i-3", 8000)
        )
        for server_id, cpu in (("i-1", 8500), ("i-2", 6000)):
            server = placer.tables.servers[server_id]
            server.occupy(resources.Resources(cpu, 0, 0))
        # The server with the smaller hole is slower.
        placer.tables.servers["i-1"].slowness = 1.3
        placer.tables.servers["i-3"].occupy(resources.Resources(8000, 0, 0))
        self.start(placer, "aa", build.step(1, 17000, 0.1))
        self.assertEqual(
            self.start(
                placer, "bb", build.step(1, 7500, 0.1), target_latency_s=0.2
            ),
            [("bb", "i-1")],
        )

    def test_nothing_changes_while_no_task_waits(self):
        placer = self.placer(build.server("i-1"), build.server("i-2"))
        placer.tables.servers["i-1"].slowness = 1.3
        self.assertEqual(
            self.start(placer, "aa", build.step(1, 8000, 0.1)),
            [("aa", "i-2")],
        )


if __name__ == "__main__":
    unittest.main()

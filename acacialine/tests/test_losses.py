"""Tasks whose backend servers crash while they run them."""

import unittest

import attrs
import hypothesis
from hypothesis import strategies

from acacialine import intake as intake_lib
from acacialine import losses as losses_lib
from acacialine import orders
from acacialine import placer as placer_lib
from acacialine import zonetables
from acacialine.tests import test_kept_jobs
from acacialine.tests import zonebuilders as build

SERVERS = 8
MAX_STARTS = 5  # three crashes, and at most two starts after them


class CrashingTaskTest(unittest.TestCase):
    def restart(self, placer, server, now):
        """Lets a server crash, restart and be announced and listed again."""
        incarnation = server.incarnation + 1
        server.announced_incarnation = incarnation
        result = orders.PollResult(incarnation, 1000, (), ())
        placer.runs.apply_poll(server, result, now, now)

    def list_run(self, placer, run, now):
        """Lets a poll list a run."""
        row = orders.RunningRow(run.key, run.number, 50)
        result = orders.PollResult(run.server.incarnation, 1000, (row,), ())
        placer.runs.apply_poll(run.server, result, now, now)

    def crash_each_start(self, placer, now, until, confirm):
        """Crashes each server on which a run starts; returns starts, answers.

        A start is answered, or a poll lists its run, or neither; 0.1 s after it
        the server has restarted. Servers confirm stops.
        """
        starts, answers = [], []
        while now < until:
            placer.tick(now)
            new_orders = placer.take_orders()
            answers += build.answers(new_orders)
            now += 0.1
            for server in placer.tables.servers.values():
                result = orders.PollResult(server.incarnation, 1000, (), ())
                placer.runs.apply_poll(server, result, now, now)
            for run in build.stops(new_orders):
                placer.runs.handle_stop_result(run, True, now)
            for run in build.starts(new_orders):
                starts.append(run)
                match confirm:
                    case "answer":
                        placer.runs.handle_start_result(
                            run, orders.StartOutcome.STARTED, now
                        )
                    case "poll":
                        self.list_run(placer, run, now)
                self.restart(placer, run.server, now)
        return starts, answers

    def test_a_task_that_crashes_its_servers_is_given_up(self):
        for confirm in ("answer", "poll", "none"):
            placer = build.placer(
                *(build.server(f"i-{n}") for n in range(SERVERS))
            )
            job = build.submission(step=build.step(1), left_s=9.0)
            placer.submit(job, "dispatcher", 0.0)
            starts, answers = self.crash_each_start(placer, 0.0, 5.0, confirm)
            self.assertLessEqual(len(starts), MAX_STARTS)
            verdicts = [a.verdict for a in answers]
            self.assertEqual(verdicts, [zonetables.Verdict.FAILED])

    def crash(self, placer, server, now):
        """Lets the address of a server refuse connections, for good."""
        placer.runs.record_poll_timeout(server, now)
        placer.runs.crashes.record(server, "refused", now)

    def start(self, placer, now, **changes):
        """Submits a job and confirms what starts."""
        if changes:
            placer.submit(build.submission(**changes), "dispatcher", now)
        placer.tick(now)
        new_orders = placer.take_orders()
        runs = build.starts(new_orders)
        for run in runs:
            placer.runs.handle_start_result(
                run, orders.StartOutcome.STARTED, now
            )
            run.server.lease_until = run.not_after = now + 1.0
        return runs, build.answers(new_orders)

    def test_a_task_beside_a_crashing_one_is_not_given_up(self):
        placer = build.placer(*(build.server(f"i-{n}") for n in range(3)))
        step = build.step(1)
        (guilty,), _ = self.start(placer, 0.0, step=step, left_s=9.0)
        other_id = "00000000000000bb"
        (beside,), _ = self.start(
            placer, 0.01, job_id=other_id, step=step, left_s=9.0
        )
        self.assertIs(beside.server, guilty.server)
        self.crash(placer, guilty.server, 0.1)
        retried, _ = self.start(placer, 1.25)
        self.assertEqual(len(retried), 2)
        self.assertIsNot(retried[0].server, retried[1].server)
        (second,) = [r for r in retried if r.key == guilty.key]
        self.crash(placer, second.server, 1.3)
        _, (answer,) = self.start(placer, 1.31)
        self.assertEqual(answer.job_id, guilty.key.job_id)
        self.assertIs(answer.verdict, zonetables.Verdict.FAILED)
        self.assertEqual(answer.reason, "servers crashed")
        self.assertIn(other_id, placer.tables.jobs)

    def test_no_task_joins_a_suspect_one_on_its_server(self):
        placer = build.placer(build.server("i-1"), build.server("i-2"))
        (run,), _ = self.start(placer, 0.0, step=build.step(1), left_s=9.0)
        self.crash(placer, run.server, 0.1)
        (suspect,), _ = self.start(placer, 1.25)
        joining, _ = self.start(
            placer, 1.26, job_id="00000000000000bb", step=build.step(1)
        )
        self.assertEqual(joining, [])
        self.assertEqual(suspect.server.isolated_runs, 1)

    def test_a_suspect_task_gets_a_server_under_steady_load(self):
        placer = build.placer(*(build.server(f"i-{n}") for n in range(3)))
        (run,), _ = self.start(placer, 0.0, step=build.step(1), left_s=9.0)
        self.crash(placer, run.server, 0.01)
        running = []
        for tick in range(1, 300):
            now = 0.01 * tick
            changes = {"job_id": f"{tick:016x}", "step": build.step(1)}
            started, _ = self.start(placer, now, **changes)
            if any(r.key == run.key for r in started):
                return
            running += [(now + 0.09, r) for r in started]
            for ends_at, ended in [r for r in running if r[0] <= now]:
                running.remove((ends_at, ended))
                server = ended.server
                row = orders.EndedRow(
                    server.last_ended_seq + 1,
                    ended.key,
                    ended.number,
                    zonetables.EndKind.DONE,
                )
                rows = tuple(
                    orders.RunningRow(r.key, r.number, 50)
                    for _, r in running
                    if r.server is server
                )
                result = orders.PollResult(1, 1000, rows, (row,))
                placer.runs.apply_poll(server, result, now, now)
        self.fail("the suspect task has not started in 3 s")

    def test_a_suspect_task_is_not_started_past_its_deadline(self):
        placer = build.placer(build.server("i-1"), build.server("i-2"))
        (run,), _ = self.start(placer, 0.0, step=build.step(1), left_s=1.0)
        self.crash(placer, run.server, 0.1)
        placer.keep_job(run.key.job_id, "dispatcher", True, 1.0)
        for now in (1.2, 1.5, 2.0):
            self.assertEqual(self.start(placer, now)[0], [])

    def test_a_job_that_was_given_up_starts_nowhere_again(self):
        first = build.placer(*(build.server(f"i-{n}") for n in range(3)))
        other_zone = build.placer()
        successor = build.placer()
        (run,), _ = self.start(first, 0.0, step=build.step(1), left_s=9.0)
        self.crash(first, run.server, 0.1)
        (run,), _ = self.start(first, 1.25)
        self.crash(first, run.server, 1.3)
        for order in first.take_orders():
            if isinstance(order, orders.ShareLosses):
                for placer in (other_zone, successor):
                    placer.tables.losses.merge(
                        order.key.job_id, order.key.index, order.losses, 1.3
                    )
        for placer, handovers in ((other_zone, 0), (successor, 1), (first, 0)):
            started, (answer,) = self.start(
                placer, 2.0, step=build.step(1), handovers=handovers
            )
            self.assertEqual(started, [])
            self.assertIs(answer.verdict, zonetables.Verdict.FAILED)

    def test_silent_servers_never_give_a_task_up(self):
        placer = build.placer(*(build.server(f"i-{n}") for n in range(6)))
        (run,), _ = self.start(placer, 0.0, step=build.step(1), left_s=9.0)
        servers = [run.server]
        for now in (0.1, 1.4, 2.7, 4.0):
            placer.runs.record_poll_timeout(run.server, now)
            (run,), answers = self.start(placer, now + 1.2)
            servers.append(run.server)
            self.assertEqual(answers, [])
            self.assertEqual(len(placer.tables.losses), 0)
        self.assertEqual(len({s.id for s in servers[:4]}), 4)

    def test_a_lapsed_run_is_not_lost_with_its_server(self):
        # At 1.04 the lease has ended, but not for certain; at 1.2 it has.
        for crashed_at in (1.04, 1.2):
            for crash in (self.crash, self.restart):
                placer = build.placer(build.server("i-1"), build.server("i-2"))
                job = {"step": build.step(1), "left_s": 9.0}
                (run,), _ = self.start(placer, 0.0, **job)
                run.server.lease_until = run.not_after = 1.1
                placer.runs.record_poll_timeout(run.server, 0.1)
                if crashed_at > 1.1:
                    placer.tick(crashed_at)
                crash(placer, run.server, crashed_at + 0.01)
                key = (run.key.job_id, run.key.index)
                self.assertFalse(placer.tables.losses.is_suspect(*key))

    def test_a_poll_that_lists_a_run_renews_its_lease(self):
        placer = build.placer(build.server("i-1"), build.server("i-2"))
        (run,), _ = self.start(placer, 0.0, step=build.step(1), left_s=9.0)
        self.list_run(placer, run, 0.8)
        run.server.lease_until = run.not_after = 1.9
        self.crash(placer, run.server, 1.5)
        losses = placer.tables.losses
        self.assertTrue(losses.is_suspect(run.key.job_id, run.key.index))

    def test_a_poll_right_after_a_pause_renews_no_lease(self):
        placer = build.placer(build.server("i-1"), build.server("i-2"))
        (run,), _ = self.start(placer, 0.0, step=build.step(1), left_s=9.0)
        placer.handle_process_pause(0.8)
        self.list_run(placer, run, 0.85)
        run.server.lease_until = run.not_after = 1.9
        self.crash(placer, run.server, 1.5)
        losses = placer.tables.losses
        self.assertFalse(losses.is_suspect(run.key.job_id, run.key.index))

    def test_a_crash_before_the_answer_to_a_start_proves_nothing_alone(self):
        for crash in (self.crash, self.restart):
            for is_doubtful in (False, True):
                placer = build.placer(build.server("i-1"), build.server("i-2"))
                job = build.submission(step=build.step(1), left_s=9.0)
                placer.submit(job, "dispatcher", 0.0)
                placer.tick(0.0)
                (run,) = build.starts(placer.take_orders())
                if is_doubtful:
                    unknown = orders.StartOutcome.UNKNOWN
                    placer.runs.handle_start_result(run, unknown, 0.25)
                crash(placer, run.server, 0.3)
                key = (run.key.job_id, run.key.index)
                losses = placer.tables.losses
                self.assertEqual(losses.get(*key), losses_lib.TaskLosses(0, 1))
                self.assertFalse(losses.is_suspect(*key))
                self.assertFalse(losses.is_given_up(run.key.job_id))

    def test_a_run_that_was_told_to_stop_is_not_lost_with_its_server(self):
        placer = build.placer(build.server("i-1"), build.server("i-2"))
        (run,), _ = self.start(placer, 0.0, step=build.step(1), left_s=9.0)
        placer.runs.stop(run, 0.1)
        self.crash(placer, run.server, 0.3)
        self.assertEqual(len(placer.tables.losses), 0)

    def test_a_server_that_refused_and_returns_has_not_crashed(self):
        placer = build.placer(build.server("i-1"), build.server("i-2"))
        (run,), _ = self.start(placer, 0.0, step=build.step(1), left_s=9.0)
        self.crash(placer, run.server, 0.1)
        losses = placer.tables.losses
        self.assertTrue(losses.is_suspect(run.key.job_id, run.key.index))
        self.list_run(placer, run, 0.4)
        self.assertFalse(losses.is_suspect(run.key.job_id, run.key.index))
        # A later loss of the same run counts again.
        self.crash(placer, run.server, 0.6)
        self.assertTrue(losses.is_suspect(run.key.job_id, run.key.index))

    def test_a_silent_server_that_restarted_has_crashed(self):
        placer = build.placer(build.server("i-1"), build.server("i-2"))
        (run,), _ = self.start(placer, 0.0, step=build.step(1), left_s=9.0)
        placer.runs.record_poll_timeout(run.server, 0.1)
        self.restart(placer, run.server, 0.7)
        losses = placer.tables.losses.get(run.key.job_id, run.key.index)
        self.assertEqual(losses.crashes, 1)

    def test_a_run_is_lost_with_one_incarnation(self):
        placer = build.placer(build.server("i-1"), build.server("i-2"))
        (run,), _ = self.start(placer, 0.0, step=build.step(1), left_s=9.0)
        self.crash(placer, run.server, 0.1)
        self.crash(placer, run.server, 0.2)
        self.restart(placer, run.server, 0.3)
        self.restart(placer, run.server, 0.4)
        losses = placer.tables.losses.get(run.key.job_id, run.key.index)
        self.assertEqual(losses.crashes, 1)

    def test_a_start_without_an_answer_outlives_two_incarnations(self):
        placer = build.placer(build.server("i-1"), build.server("i-2"))
        placer.submit(build.submission(step=build.step(1)), "dispatcher", 0.0)
        placer.tick(0.0)
        (run,) = build.starts(placer.take_orders())
        self.restart(placer, run.server, 0.1)
        self.restart(placer, run.server, 0.2)
        losses = placer.tables.losses.get(run.key.job_id, run.key.index)
        self.assertEqual(losses, losses_lib.TaskLosses(0, 1))
        self.assertIn(run.id, run.server.runs)

    def test_the_exit_of_a_draining_server_is_no_crash(self):
        placer = build.placer(build.server("i-1"), build.server("i-2"))
        (run,), _ = self.start(placer, 0.0, step=build.step(1), left_s=9.0)
        run.server.draining = True
        self.crash(placer, run.server, 0.1)
        self.start(placer, 1.2)
        self.assertEqual(len(placer.tables.losses), 0)

    def test_a_start_that_was_not_sent_is_not_lost_with_its_server(self):
        placer = build.placer(build.server("i-1"), build.server("i-2"))
        placer.submit(build.submission(step=build.step(1)), "dispatcher", 0.0)
        placer.tick(0.0)
        (run,) = build.starts(placer.take_orders())
        run.may_have_started = False
        self.crash(placer, run.server, 0.1)
        self.assertEqual(len(placer.tables.losses), 0)

    def test_a_replaced_server_frees_its_tasks_at_once(self):
        placer = build.placer(build.server("i-1"), build.server("i-2"))
        (run,), _ = self.start(placer, 0.0, step=build.step(1), left_s=9.0)
        placer.runs.record_poll_timeout(run.server, 0.1)
        placer.runs.record_replacement(run.server, 0.1)
        (retried,), _ = self.start(placer, 0.11)
        self.assertIsNot(retried.server, run.server)


class LossTableTest(unittest.TestCase):
    def test_losses_expire_and_the_oldest_make_room(self):
        table = losses_lib.LossTable()
        for number in range(losses_lib.MAX_JOBS + 5):
            table.add(f"job-{number}", 0, True, number * 0.001)
        self.assertEqual(len(table), losses_lib.MAX_JOBS)
        self.assertFalse(table.is_suspect("job-4", 0))
        self.assertTrue(table.is_suspect("job-5", 0))
        table.drop_expired(0.005 + losses_lib.RETENTION_S)
        self.assertFalse(table.is_suspect("job-5", 0))
        self.assertTrue(table.is_suspect("job-6", 0))

    def test_merging_the_same_news_twice_counts_once(self):
        table = losses_lib.LossTable()
        for _ in range(2):
            table.merge("job", 3, losses_lib.TaskLosses(1, 1), 0.0)
        self.assertEqual(table.get("job", 3), losses_lib.TaskLosses(1, 1))
        self.assertFalse(table.is_given_up("job"))


class Simulation(test_kept_jobs.Simulation):
    """Two zones to which some jobs come that crash their servers."""

    CRASHING_SHARE = 0.15

    def __init__(self, seed, fault_rate):
        super().__init__(seed, fault_rate)
        for zone in test_kept_jobs.ZONES:
            for number in range(2, 6):
                self.server_pool.add(f"{zone}-{number}", 16000)
        self.server_pool.down_s = self.random.uniform(0.1, 3.0)
        for zone in test_kept_jobs.ZONES:
            self._own(zone, 2, 0.0)

    def prepare_job(self, job_id):
        if self.random.random() < self.CRASHING_SHARE:
            key = zonetables.TaskKey(job_id, 0, 0, 0)
            self.server_pool.crashing_tasks.add(key)


class CutSimulation(Simulation):
    """The same, where servers are cut off for a while and some crash."""

    CUT_RATE = 0.03  # chance in a tick
    CRASH_RATE = 0.02

    def build_job(self, job_id):
        return attrs.evolve(super().build_job(job_id), left_s=4.0)

    def tick(self):
        if self.random.random() < self.CUT_RATE:
            server = self.random.choice(list(self.server_pool.servers))
            seconds = self.random.uniform(0.2, 2.5)
            self.cut_off_until[server] = self.now + seconds
        if self.random.random() < self.CRASH_RATE:
            self.crash_a_server()
        super().tick()

    def crash_a_server(self):
        """Crashes any server or, as often, one that is cut off."""
        servers = list(self.server_pool.servers.values())
        if self.random.random() < 0.5:
            servers = [s for s in servers if self.is_cut_off(s.id)] or servers
        server = self.random.choice(servers)
        if not server.is_down(self.now):
            server.down_until = self.now + self.server_pool.down_s
            server.crash()

    def share_losses(self, owner, key, task_losses):
        """Checks that so many servers have crashed under a task."""
        pool = self.server_pool
        # An end that no poll has listed is lost with its server.
        crashes = pool.crash_counts[key] + pool.lost_end_counts[key]
        if task_losses.crashes > crashes:
            pool.violations.append(f"LOST {key}: {task_losses} of {crashes}")
        super().share_losses(owner, key, task_losses)

    def answer(self, owner, order):
        """Checks that two servers have crashed under a task given up."""
        pool = self.server_pool
        counts = pool.crash_counts + pool.lost_end_counts
        if order.reason == placer_lib.GIVEN_UP_REASON and not any(
            key.job_id == order.job_id and count >= losses_lib.MAX_CRASHES
            for key, count in counts.items()
        ):
            pool.violations.append(f"LOST {order.job_id}: given up")
        super().answer(owner, order)


class CrashingTasksPropertyTest(unittest.TestCase):
    @hypothesis.settings(
        max_examples=test_kept_jobs.EXAMPLES, deadline=None, database=None
    )
    @hypothesis.seed(20261204)
    @hypothesis.given(
        seed=strategies.integers(0, 2**32),
        fault_rate=strategies.sampled_from((0.0, 0.05)),
    )
    def test_no_task_crashes_server_after_server(self, seed, fault_rate):
        simulation = Simulation(seed, fault_rate).run()
        self.assertEqual(simulation.server_pool.violations, [])

    @hypothesis.settings(
        max_examples=test_kept_jobs.EXAMPLES, deadline=None, database=None
    )
    @hypothesis.seed(20261204)
    @hypothesis.given(
        seed=strategies.integers(0, 2**32),
        fault_rate=strategies.sampled_from((0.05, 0.15)),
    )
    def test_only_tasks_under_two_crashes_are_given_up(self, seed, fault_rate):
        simulation = CutSimulation(seed, fault_rate).run()
        lost = [
            v for v in simulation.server_pool.violations if v.startswith("LOST")
        ]
        self.assertEqual(lost, [])

    def test_seeds_that_failed(self):
        # 4: a job was answered 504 while it had no placer, and ran twice.
        self.assertEqual(Simulation(4, 0.0).run().server_pool.violations, [])

    def test_only_tasks_that_crash_servers_are_given_up(self):
        all_failed = set()
        for seed in range(3, 7):
            simulation = Simulation(seed, 0.0)
            simulation.take_over = lambda zone: None
            simulation.run()
            crashing = {k.job_id for k in simulation.server_pool.crashing_tasks}
            failed = {
                job_id
                for job_id, kinds in simulation.answers.items()
                if intake_lib.AnswerKind.FAILED in kinds
            }
            self.assertLessEqual(failed, crashing)
            all_failed |= failed
        self.assertTrue(all_failed)


if __name__ == "__main__":
    unittest.main()
